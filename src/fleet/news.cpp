#include "vanillahill/fleet/news.hpp"

#include <nlohmann/json.hpp>
#include <zlib.h>

#include <algorithm>
#include <span>

namespace vanillahill::fleet {

namespace {

using Json = nlohmann::json;

constexpr int FormatVersion = 1;
/// Room for the fields around the bytes of a piece.
constexpr std::size_t EnvelopeBytes = 64;
constexpr std::size_t PieceBytes = MostDatagramBytes - EnvelopeBytes;
/// Pieces of one message at most.
constexpr std::uint32_t MostPieces = 8192;
/// Bytes of a message at most, before it is compressed.
constexpr std::size_t MostFrameBytes = 16U << 20U;
/// Type of a frame that holds another one, compressed.
constexpr std::size_t CompressedType = 100;

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

Json body(const Piece &Message) {
  return Json::array({Message.m_Number, Message.m_Index, Message.m_Count, binary(Message.m_Bytes)});
}

Json body(const Snapshot &Message) {
  return Json::array({Message.m_ConfigurationPosition, binary(Message.m_ConfigurationText),
                      Message.m_ServersPosition, listOf(Message.m_Servers)});
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
    return Piece{.m_Number = Fields.at(0).get<std::uint64_t>(),
                 .m_Index = Fields.at(1).get<std::uint32_t>(),
                 .m_Count = Fields.at(2).get<std::uint32_t>(),
                 .m_Bytes = textOf(Fields.at(3))};
  case 6:
    return Snapshot{.m_ConfigurationPosition = Fields.at(0).get<std::uint64_t>(),
                    .m_ConfigurationText = textOf(Fields.at(1)),
                    .m_ServersPosition = Fields.at(2).get<std::uint64_t>(),
                    .m_Servers = recordsOf(Fields.at(3))};
  default:
    throw std::invalid_argument("unknown type " + std::to_string(Type));
  }
}

Error malformed(std::string Detail) {
  return {Errc::PeerFrameMalformed, "read datagram", "", std::move(Detail)};
}

std::string encodeFrame(std::size_t Type, Json Body) {
  const std::vector<std::uint8_t> Bytes =
      Json::to_cbor(Json::array({FormatVersion, Type, std::move(Body)}));
  return {Bytes.begin(), Bytes.end()};
}

/// \return the frame when zlib cannot compress it, which it then is not
std::string compress(const std::string &Frame) {
  uLongf Size = compressBound(Frame.size());
  std::string Bytes(Size, '\0');
  const int Status =
      compress2(reinterpret_cast<Bytef *>(Bytes.data()), &Size,
                reinterpret_cast<const Bytef *>(Frame.data()), Frame.size(), Z_DEFAULT_COMPRESSION);
  if (Status != Z_OK) {
    return Frame;
  }
  Bytes.resize(Size);
  return encodeFrame(CompressedType, Json::array({Frame.size(), binary(Bytes)}));
}

Result<std::string> uncompress(const Json &Fields) {
  const auto Whole = Fields.at(0).get<std::size_t>();
  if (Whole > MostFrameBytes) {
    return malformed("too large");
  }
  const auto &Bytes = Fields.at(1).get_binary();
  std::string Frame(Whole, '\0');
  uLongf Size = Whole;
  const int Status =
      ::uncompress(reinterpret_cast<Bytef *>(Frame.data()), &Size, Bytes.data(), Bytes.size());
  if (Status != Z_OK || Size != Whole) {
    return malformed("cannot be uncompressed");
  }
  return Frame;
}

/// Reads a frame that is not compressed.
Result<News> readPlain(const Json &Frame) {
  return readBody(Frame.at(1).get<std::size_t>(), Frame.at(2));
}

Json parseFrame(std::string_view Bytes) {
  Json Frame = Json::from_cbor(Bytes.begin(), Bytes.end(), true, false);
  if (!Frame.is_array() || Frame.size() != 3 || Frame[0] != FormatVersion) {
    throw std::invalid_argument("not a message of this version");
  }
  return Frame;
}

} // namespace

std::string encodeNews(const News &Message) {
  return encodeFrame(Message.index(),
                     std::visit([](const auto &Typed) { return body(Typed); }, Message));
}

Result<News> decodeNews(std::string_view Frame) {
  try {
    const Json Outer = parseFrame(Frame);
    if (Outer.at(1).get<std::size_t>() != CompressedType) {
      return readPlain(Outer);
    }
    const auto Inner = uncompress(Outer.at(2));
    return Inner ? readPlain(parseFrame(*Inner)) : Result<News>(Inner.error());
  } catch (const Json::exception &Raised) {
    return malformed(Raised.what());
  } catch (const std::invalid_argument &Raised) {
    return malformed(Raised.what());
  }
}

std::vector<std::string> packNews(const News &Message, std::uint64_t Number) {
  std::string Frame = encodeNews(Message);
  if (Frame.size() > MostDatagramBytes) {
    Frame = compress(Frame);
  }
  if (Frame.size() <= MostDatagramBytes) {
    return {std::move(Frame)};
  }
  const auto Count = static_cast<std::uint32_t>((Frame.size() + PieceBytes - 1) / PieceBytes);
  std::vector<std::string> Datagrams;
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    Datagrams.push_back(encodeNews(Piece{.m_Number = Number,
                                         .m_Index = Index,
                                         .m_Count = Count,
                                         .m_Bytes = Frame.substr(Index * PieceBytes, PieceBytes)}));
  }
  return Datagrams;
}

std::optional<std::string> PieceCollector::take(std::string_view Sender, Piece Received) {
  if (Received.m_Count == 0 || Received.m_Count > MostPieces ||
      Received.m_Index >= Received.m_Count) {
    return std::nullopt;
  }
  auto Found = std::find_if(m_Unfinished.begin(), m_Unfinished.end(), [&](const Unfinished &One) {
    return One.m_Sender == Sender && One.m_Number == Received.m_Number;
  });
  if (Found == m_Unfinished.end()) {
    if (m_Unfinished.size() == MostUnfinished) {
      m_Unfinished.erase(m_Unfinished.begin());
    }
    m_Unfinished.push_back({.m_Sender = std::string(Sender), .m_Number = Received.m_Number});
    Found = std::prev(m_Unfinished.end());
    Found->m_Pieces.resize(Received.m_Count);
  }
  if (Received.m_Count != Found->m_Pieces.size()) {
    return std::nullopt;
  }
  Found->m_Pieces[Received.m_Index] = std::move(Received.m_Bytes);
  if (!std::all_of(Found->m_Pieces.begin(), Found->m_Pieces.end(),
                   [](const auto &One) { return One.has_value(); })) {
    return std::nullopt;
  }
  std::string Frame;
  for (const auto &One : Found->m_Pieces) {
    Frame += *One;
  }
  m_Unfinished.erase(Found);
  return Frame;
}

} // namespace vanillahill::fleet
