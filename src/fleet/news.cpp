#include "vanillahill/fleet/news.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace vanillahill::fleet {

namespace {

using Json = nlohmann::json;

constexpr int FormatVersion = 1;
/// Room for the fields around the records of a datagram.
constexpr std::size_t EnvelopeBytes = 64;
/// Room for the lengths around one record.
constexpr std::size_t RecordOverhead = 12;
constexpr std::size_t PieceBytes = MostDatagramBytes - EnvelopeBytes;
/// Pieces of one configuration at most.
constexpr std::uint32_t MostPieces = 65536;

Json binary(std::string_view Bytes) {
  return Json::binary(std::vector<std::uint8_t>(Bytes.begin(), Bytes.end()));
}

std::string textOf(const Json &Value) {
  const auto &Bytes = Value.get_binary();
  return {Bytes.begin(), Bytes.end()};
}

Json listOf(std::span<const Record> Records) {
  Json List = Json::array();
  for (const Record &Entry : Records) {
    Json One = Json::array({binary(Entry.m_Key)});
    if (Entry.m_Value) {
      One.push_back(binary(*Entry.m_Value));
    }
    List.push_back(std::move(One));
  }
  return List;
}

std::vector<Record> recordsOf(const Json &List) {
  std::vector<Record> Records;
  for (const Json &One : List) {
    Record Entry{.m_Key = textOf(One.at(0))};
    if (One.size() > 1) {
      Entry.m_Value = textOf(One.at(1));
    }
    Records.push_back(std::move(Entry));
  }
  return Records;
}

Json body(const Hello &Message) { return {Message.m_AsksForPeers}; }

Json body(const PeerList &Message) {
  Json Ips = Json::array();
  for (const std::string &Ip : Message.m_Ips) {
    Ips.push_back(Ip);
  }
  return Json::array({Ips});
}

Json body(const StoreNews &Message) {
  return Json::array({static_cast<int>(Message.m_Stream), Message.m_From, Message.m_To,
                      std::chrono::duration_cast<std::chrono::microseconds>(Message.m_Age).count(),
                      Message.m_MayHaveLapsed, Message.m_IsSteady, Message.m_IsPartial,
                      listOf(Message.m_Records)});
}

Json body(const ServerFailed &Message) { return Json::array({raw(Message.m_Server)}); }

Json body(const SnapshotWanted &Message) {
  return Json::array({Message.m_Version, Message.m_ServersPosition});
}

Json body(const SnapshotPiece &Message) {
  return Json::array({Message.m_Number, Message.m_Index, Message.m_Count, binary(Message.m_Bytes)});
}

StoreNews readStoreNews(const Json &Fields) {
  const auto Which = Fields.at(0).get<std::size_t>();
  const auto AgeMicros = Fields.at(3).get<std::int64_t>();
  if (Which >= StreamCount || AgeMicros < 0) {
    throw std::invalid_argument("unknown stream or negative age");
  }
  StoreNews Message{.m_Stream = static_cast<Stream>(Which),
                    .m_From = Fields.at(1).get<std::uint64_t>(),
                    .m_To = Fields.at(2).get<std::uint64_t>(),
                    .m_Age = std::chrono::microseconds(AgeMicros),
                    .m_MayHaveLapsed = Fields.at(4).get<bool>(),
                    .m_IsSteady = Fields.at(5).get<bool>(),
                    .m_Records = recordsOf(Fields.at(7)),
                    .m_IsPartial = Fields.at(6).get<bool>()};
  if (Message.m_From > Message.m_To) {
    throw std::invalid_argument("range is reversed");
  }
  return Message;
}

News readBody(std::size_t Type, const Json &Fields) {
  switch (Type) {
  case 0:
    return Hello{.m_AsksForPeers = Fields.at(0).get<bool>()};
  case 1:
    return PeerList{.m_Ips = Fields.at(0).get<std::vector<std::string>>()};
  case 2:
    return readStoreNews(Fields);
  case 3:
    return ServerFailed{.m_Server = ServerId{Fields.at(0).get<std::uint32_t>()}};
  case 4:
    return SnapshotWanted{.m_Version = Fields.at(0).get<std::uint64_t>(),
                          .m_ServersPosition = Fields.at(1).get<std::uint64_t>()};
  case 5:
    return SnapshotPiece{.m_Number = Fields.at(0).get<std::uint64_t>(),
                         .m_Index = Fields.at(1).get<std::uint32_t>(),
                         .m_Count = Fields.at(2).get<std::uint32_t>(),
                         .m_Bytes = textOf(Fields.at(3))};
  default:
    throw std::invalid_argument("unknown type " + std::to_string(Type));
  }
}

Error malformed(std::string Detail) {
  return {Errc::PeerFrameMalformed, "read datagram", "", std::move(Detail)};
}

std::size_t sizeOf(const Record &Entry) {
  return Entry.m_Key.size() + (Entry.m_Value ? Entry.m_Value->size() : 0) + RecordOverhead;
}

} // namespace

std::string encodeNews(const News &Message) {
  Json Frame = Json::array({FormatVersion, Message.index()});
  Frame.push_back(std::visit([](const auto &Typed) { return body(Typed); }, Message));
  const std::vector<std::uint8_t> Bytes = Json::to_cbor(Frame);
  return {Bytes.begin(), Bytes.end()};
}

Result<News> decodeNews(std::string_view Datagram) {
  const Json Frame = Json::from_cbor(Datagram.begin(), Datagram.end(), true, false);
  if (!Frame.is_array() || Frame.size() != 3 || Frame[0] != FormatVersion) {
    return malformed("not a message of this version");
  }
  try {
    return readBody(Frame[1].get<std::size_t>(), Frame[2]);
  } catch (const Json::exception &Raised) {
    return malformed(Raised.what());
  } catch (const std::invalid_argument &Raised) {
    return malformed(Raised.what());
  }
}

std::vector<StoreNews> splitNews(const RecordRange &Range, std::span<const bool> Keeps,
                                 const StoreNews &Common) {
  std::vector<StoreNews> Parts;
  const auto Begin = [&](std::uint64_t From) {
    Parts.push_back(Common);
    Parts.back().m_Stream = Range.m_Stream;
    Parts.back().m_From = From;
    Parts.back().m_To = Range.m_To;
  };
  Begin(Range.m_From);
  std::size_t Bytes = EnvelopeBytes;
  for (std::size_t Index = 0; Index < Range.m_Records.size(); ++Index) {
    if (!Keeps[Index]) {
      continue;
    }
    const Record &Entry = Range.m_Records[Index];
    const std::size_t Needed = sizeOf(Entry);
    if (EnvelopeBytes + Needed > MostDatagramBytes) {
      Parts.back().m_IsPartial = true;
      continue;
    }
    if (Bytes + Needed > MostDatagramBytes) {
      const std::uint64_t Cut = Range.m_From + Index;
      Parts.back().m_To = Cut;
      Begin(Cut);
      Bytes = EnvelopeBytes;
    }
    Parts.back().m_Records.push_back(Entry);
    Bytes += Needed;
  }
  return Parts;
}

std::vector<SnapshotPiece> cutSnapshot(std::uint64_t Number, const Snapshot &Whole) {
  const Json Document =
      Json::array({Whole.m_ConfigurationPosition, binary(Whole.m_ConfigurationText),
                   Whole.m_ServersPosition, listOf(Whole.m_Servers)});
  const std::vector<std::uint8_t> Bytes = Json::to_cbor(Document);
  const std::string_view Text(reinterpret_cast<const char *>(Bytes.data()), Bytes.size());
  const auto Count = static_cast<std::uint32_t>((Text.size() + PieceBytes - 1) / PieceBytes);
  std::vector<SnapshotPiece> Pieces;
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    Pieces.push_back({.m_Number = Number,
                      .m_Index = Index,
                      .m_Count = Count,
                      .m_Bytes = std::string(Text.substr(Index * PieceBytes, PieceBytes))});
  }
  return Pieces;
}

std::optional<Snapshot> PieceCollector::take(std::string_view Sender, SnapshotPiece Piece) {
  if (Piece.m_Count == 0 || Piece.m_Count > MostPieces || Piece.m_Index >= Piece.m_Count) {
    return std::nullopt;
  }
  const bool IsSame = Sender == m_Sender && Piece.m_Number == m_Number;
  if (!IsSame && Sender == m_Sender && Piece.m_Number < m_Number) {
    return std::nullopt;
  }
  if (!IsSame || Piece.m_Count != m_Pieces.size()) {
    m_Sender = std::string(Sender);
    m_Number = Piece.m_Number;
    m_Pieces.assign(Piece.m_Count, std::nullopt);
  }
  m_Pieces[Piece.m_Index] = std::move(Piece.m_Bytes);
  if (!std::all_of(m_Pieces.begin(), m_Pieces.end(), [](const auto &One) { return One; })) {
    return std::nullopt;
  }
  std::string Text;
  for (const auto &One : m_Pieces) {
    Text += *One;
  }
  m_Pieces.clear();
  const Json Document = Json::from_cbor(Text, true, false);
  try {
    return Snapshot{.m_ConfigurationPosition = Document.at(0).get<std::uint64_t>(),
                    .m_ConfigurationText = textOf(Document.at(1)),
                    .m_ServersPosition = Document.at(2).get<std::uint64_t>(),
                    .m_Servers = recordsOf(Document.at(3))};
  } catch (const Json::exception &) {
    // A sender that writes anything else is treated like one that is not heard.
    return std::nullopt;
  }
}

} // namespace vanillahill::fleet
