#include "vanillahill/fleet/news.hpp"

#include "vanillahill/core/nesting.hpp"

#include <nlohmann/json.hpp>
#include <zlib.h>

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <span>

namespace vanillahill::fleet {

namespace {

using Json = nlohmann::json;

constexpr int FormatVersion = 3;
/// Space for the fields of a Piece other than its bytes.
constexpr std::size_t EnvelopeBytes = 64;
constexpr std::size_t PieceBytes = MaxDatagramBytes - EnvelopeBytes;
/// Limit on the pieces of one message.
constexpr std::uint32_t MaxPieces = 8192;
/// Limit on the size of a frame after decompression.
constexpr std::size_t MaxFrameBytes = 16U << 20U;
/// Type of a frame that contains another frame in compressed form.
constexpr std::size_t CompressedType = 100;

Json encodeBytes(std::string_view Bytes) {
  return Json::binary(std::vector<std::uint8_t>(Bytes.begin(), Bytes.end()));
}

std::string decodeBytes(const Json &Value) {
  const auto &Bytes = Value.get_binary();
  return {Bytes.begin(), Bytes.end()};
}

Json encodeRecords(std::span<const Record> Records) {
  Json List = Json::array();
  for (const Record &Entry : Records) {
    Json One = Json::array({encodeBytes(Entry.m_Key)});
    if (Entry.m_Value) {
      One.push_back(encodeBytes(*Entry.m_Value));
    }
    List.push_back(std::move(One));
  }
  return List;
}

std::vector<Record> decodeRecords(const Json &List) {
  std::vector<Record> Records;
  for (const Json &One : List) {
    Record Entry{.m_Key = decodeBytes(One.at(0))};
    if (One.size() > 1) {
      Entry.m_Value = decodeBytes(One.at(1));
    }
    Records.push_back(std::move(Entry));
  }
  return Records;
}

/// Length of an IPv4 address in a list, and of the address with the silence in seconds.
constexpr std::size_t IpBytes = 4;
constexpr std::size_t ListedBytes = IpBytes + 1;

/// Packs each VM into five bytes; one whose address is not IPv4 is left out.
Json encodeListed(std::span<const ListedVm> Listed) {
  std::string Bytes;
  for (const ListedVm &Vm : Listed) {
    std::array<char, IpBytes> Packed{};
    if (inet_pton(AF_INET, Vm.m_Ip.c_str(), Packed.data()) != 1) {
      continue;
    }
    constexpr std::int64_t MaxSeconds = 255;
    const auto Seconds = std::chrono::ceil<std::chrono::seconds>(Vm.m_Silence).count();
    Bytes.append(Packed.data(), Packed.size());
    Bytes.push_back(static_cast<char>(std::clamp<std::int64_t>(Seconds, 0, MaxSeconds)));
  }
  return encodeBytes(Bytes);
}

std::vector<ListedVm> decodeListed(const Json &Value) {
  const std::string Bytes = decodeBytes(Value);
  if (Bytes.size() % ListedBytes != 0) {
    throw std::invalid_argument("list of " + std::to_string(Bytes.size()) + " bytes");
  }
  std::vector<ListedVm> Listed;
  for (std::size_t At = 0; At < Bytes.size(); At += ListedBytes) {
    std::array<char, INET_ADDRSTRLEN> Text{};
    inet_ntop(AF_INET, Bytes.data() + At, Text.data(), Text.size());
    const auto Seconds = static_cast<unsigned char>(Bytes[At + IpBytes]);
    Listed.push_back({.m_Ip = Text.data(), .m_Silence = std::chrono::seconds(Seconds)});
  }
  return Listed;
}

Json encodeInfo(const VmInfo &Sender) {
  Json Fields = Json::array(
      {Sender.m_DataCenter, Sender.m_LocalVms, Sender.m_HasCatalog, Sender.m_Capabilities});
  if (Sender.m_LinkClass != VmInfo::UnknownLink) {
    Fields.push_back(Sender.m_LinkClass);
  }
  return Fields;
}

VmInfo decodeInfo(const Json &Fields) {
  return {.m_DataCenter = Fields.at(0).get<std::string>(),
          .m_LocalVms = Fields.at(1).get<std::uint32_t>(),
          .m_HasCatalog = Fields.at(2).get<bool>(),
          // Earlier versions send three or four elements.
          .m_Capabilities = Fields.size() > 3 ? Fields.at(3).get<std::uint32_t>() : 0U,
          .m_LinkClass =
              Fields.size() > 4 ? Fields.at(4).get<std::uint32_t>() : VmInfo::UnknownLink};
}

std::int64_t toMicros(Duration Value) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Value).count();
}

Duration decodeAge(const Json &Value) {
  const auto Micros = Value.get<std::int64_t>();
  constexpr std::int64_t MaxMicros =
      std::chrono::microseconds(std::chrono::hours(24 * 365)).count();
  if (Micros < 0 || Micros > MaxMicros) {
    throw std::invalid_argument("age of " + std::to_string(Micros) + " microseconds");
  }
  return std::chrono::microseconds(Micros);
}

Json encodePosition(const Position &Shown) { return Json::array({Shown.m_Era, Shown.m_Offset}); }

Position decodePosition(const Json &Value) {
  return {.m_Era = Value.at(0).get<std::uint64_t>(), .m_Offset = Value.at(1).get<std::uint64_t>()};
}

Json encodeBody(const Hello &Message) {
  return Json::array({encodeInfo(Message.m_Sender), Message.m_AsksForPeers});
}

Json encodeBody(const PeerList &Message) {
  Json Groups = Json::array();
  for (const VmGroup &Group : Message.m_Groups) {
    Groups.push_back(Json::array({Group.m_DataCenter, Group.m_Vms, encodeListed(Group.m_Listed)}));
  }
  return Json::array({encodeInfo(Message.m_Sender), std::move(Groups)});
}

Json encodeBody(const StoreNews &Message) {
  Json Body =
      Json::array({static_cast<int>(Message.m_Stream), encodePosition(Message.m_From),
                   encodePosition(Message.m_To), toMicros(Message.m_Age), Message.m_MayHaveLapsed,
                   Message.m_IsSteady, Message.m_IsPartial, encodeRecords(Message.m_Records),
                   encodeInfo(Message.m_Sender), Message.m_IsForRelay});
  if (Message.m_KeeperRank || Message.m_IsNotice) {
    const auto &Rank = Message.m_KeeperRank;
    Body.push_back(toMicros(Message.m_HeldFor));
    Body.push_back(Rank ? Json::array({Rank->m_LinkClass, Rank->m_Vm}) : Json::array());
    Body.push_back(Message.m_IsNotice);
    Body.push_back(Message.m_HolderIp);
  }
  return Body;
}

Json encodeBody(const ServerFailed &Message) { return Json::array({raw(Message.m_Server)}); }

Json encodeBody(const ServerLimited &Message) {
  return Json::array({raw(Message.m_Server),
                      Message.m_PerSecond ? Json(*Message.m_PerSecond) : Json(nullptr),
                      toMicros(Message.m_Age), Message.m_IsForRelay});
}

Json encodeBody(const VmReach &Message) {
  return Json::array({Message.m_Ip, Message.m_IsCutOff, Message.m_IsForRelay});
}

Json encodeBody(const RequestCrashes &Message) {
  const CrashReport &Report = Message.m_Report;
  Json Crashes = Json::array();
  for (const ServerCrash &Each : Report.m_Crashes) {
    Crashes.push_back(Json::array({raw(Each.m_Server), toMicros(Each.m_Age)}));
  }
  return Json::array({Report.m_Content.m_Hash, Report.m_Content.m_Digest[0],
                      Report.m_Content.m_Digest[1], Report.m_Generation, Report.m_Trials,
                      std::move(Crashes), Message.m_IsForRelay});
}

Json encodeBody(const ServerCold &Message) {
  return Json::array({raw(Message.m_Server), toMicros(Message.m_ColdFor), toMicros(Message.m_Age),
                      Message.m_IsForRelay});
}

Json encodeBody(const TenantQuery &Message) {
  return Json::array({Message.m_Number, raw(Message.m_Tenant), Message.m_Units, Message.m_AskerIp,
                      Message.m_IsForSecond, Message.m_Hops});
}

Json encodeBody(const TenantVerdict &Message) {
  return Json::array(
      {Message.m_Number, static_cast<int>(Message.m_Verdict), toMicros(Message.m_RetryAfter)});
}

Json encodeBody(const TenantReturn &Message) {
  return Json::array({raw(Message.m_Tenant), Message.m_Units});
}

/// Demands travel as whole tenths of a request per second: short, and never not a number.
constexpr double DemandUnits = 10.0;
/// Limits on what a VM may state about its part of a budget.
constexpr std::uint64_t MaxDemandUnits = 10'000'000;
constexpr std::uint64_t MaxTokens = 10'000'000;

Json encodeBody(const TokenRequest &Message) {
  const double Units =
      std::clamp(Message.m_Demand * DemandUnits, 0.0, static_cast<double>(MaxDemandUnits));
  return Json::array({Message.m_Number, raw(Message.m_Service),
                      static_cast<std::uint64_t>(std::lround(Units)), Message.m_Tokens});
}

Json encodeBody(const TokenGrant &Message) {
  return Json::array({Message.m_Number, raw(Message.m_Service), Message.m_Tokens});
}

std::uint64_t decodeBounded(const Json &Value, std::uint64_t Largest, std::string_view Name) {
  if (!Value.is_number_unsigned() || Value.get<std::uint64_t>() > Largest) {
    throw std::invalid_argument(std::string(Name) + " is " + Value.dump() + ", allowed 0 to " +
                                std::to_string(Largest));
  }
  return Value.get<std::uint64_t>();
}

TokenRequest decodeTokenRequest(const Json &Fields) {
  const std::uint64_t Units = decodeBounded(Fields.at(2), MaxDemandUnits, "demand");
  return {.m_Number = Fields.at(0).get<std::uint64_t>(),
          .m_Service = ServiceId{Fields.at(1).get<std::uint32_t>()},
          .m_Demand = static_cast<double>(Units) / DemandUnits,
          .m_Tokens = static_cast<std::uint32_t>(decodeBounded(Fields.at(3), MaxTokens, "tokens"))};
}

TokenGrant decodeTokenGrant(const Json &Fields) {
  return {.m_Number = Fields.at(0).get<std::uint64_t>(),
          .m_Service = ServiceId{Fields.at(1).get<std::uint32_t>()},
          .m_Tokens = static_cast<std::uint32_t>(decodeBounded(Fields.at(2), MaxTokens, "tokens"))};
}

Json encodeBody(const Piece &Message) {
  return Json::array(
      {Message.m_MessageNumber, Message.m_Index, Message.m_Count, encodeBytes(Message.m_Bytes)});
}

Json encodeBody(const Snapshot &Message) {
  Json Body = Json::array(
      {encodePosition(Message.m_ConfigurationPosition), toMicros(Message.m_ConfigurationAge),
       encodeBytes(Message.m_ConfigurationText), encodePosition(Message.m_ServersPosition),
       toMicros(Message.m_ServersAge), encodeRecords(Message.m_Servers)});
  if (Message.m_Evacuated) {
    Body.push_back(*Message.m_Evacuated);
  }
  return Body;
}

Snapshot decodeSnapshot(const Json &Fields) {
  Snapshot Message{.m_ConfigurationPosition = decodePosition(Fields.at(0)),
                   .m_ConfigurationAge = decodeAge(Fields.at(1)),
                   .m_ConfigurationText = decodeBytes(Fields.at(2)),
                   .m_ServersPosition = decodePosition(Fields.at(3)),
                   .m_ServersAge = decodeAge(Fields.at(4)),
                   .m_Servers = decodeRecords(Fields.at(5))};
  constexpr std::size_t EvacuatedIndex = 6;
  if (Fields.size() > EvacuatedIndex) {
    Message.m_Evacuated = Fields.at(EvacuatedIndex).get<std::vector<std::string>>();
  }
  return Message;
}

StoreNews decodeStoreNews(const Json &Fields) {
  const auto Which = Fields.at(0).get<std::size_t>();
  if (Which >= StreamCount) {
    throw std::invalid_argument("unknown stream " + std::to_string(Which));
  }
  StoreNews Message{.m_Sender = decodeInfo(Fields.at(8)),
                    .m_IsForRelay = Fields.at(9).get<bool>(),
                    .m_Stream = static_cast<Stream>(Which),
                    .m_From = decodePosition(Fields.at(1)),
                    .m_To = decodePosition(Fields.at(2)),
                    .m_Age = decodeAge(Fields.at(3)),
                    .m_MayHaveLapsed = Fields.at(4).get<bool>(),
                    .m_IsSteady = Fields.at(5).get<bool>(),
                    .m_Records = decodeRecords(Fields.at(7)),
                    .m_IsPartial = Fields.at(6).get<bool>()};
  if (Message.m_From > Message.m_To) {
    throw std::invalid_argument("range ends before it begins");
  }
  constexpr std::size_t HeldIndex = 10;
  constexpr std::size_t RankIndex = 11;
  constexpr std::size_t NoticeIndex = 12;
  constexpr std::size_t HolderIndex = 13;
  if (Fields.size() > HolderIndex) {
    Message.m_HeldFor = decodeAge(Fields.at(HeldIndex));
    if (Message.m_HeldFor > Message.m_Age) {
      throw std::invalid_argument("read was held for longer than its age");
    }
    if (const Json &Rank = Fields.at(RankIndex); !Rank.empty()) {
      Message.m_KeeperRank = ReaderRank{.m_LinkClass = Rank.at(0).get<std::uint32_t>(),
                                        .m_Vm = Rank.at(1).get<std::uint32_t>()};
    }
    Message.m_IsNotice = Fields.at(NoticeIndex).get<bool>();
    Message.m_HolderIp = Fields.at(HolderIndex).get<std::string>();
  }
  return Message;
}

ServerLimited decodeServerLimited(const Json &Fields) {
  ServerLimited Message{.m_Server = ServerId{Fields.at(0).get<std::uint32_t>()},
                        .m_Age = decodeAge(Fields.at(2)),
                        .m_IsForRelay = Fields.at(3).get<bool>()};
  if (!Fields.at(1).is_null()) {
    Message.m_PerSecond = Fields.at(1).get<double>();
    if (!std::isfinite(*Message.m_PerSecond) || *Message.m_PerSecond < 0.0) {
      throw std::invalid_argument("limit of " + std::to_string(*Message.m_PerSecond) +
                                  " requests per second");
    }
  }
  return Message;
}

RequestCrashes decodeRequestCrashes(const Json &Fields) {
  RequestCrashes Message{.m_IsForRelay = Fields.at(6).get<bool>()};
  CrashReport &Report = Message.m_Report;
  Report.m_Content = {
      .m_Hash = Fields.at(0).get<std::uint64_t>(),
      .m_Digest = {Fields.at(1).get<std::uint64_t>(), Fields.at(2).get<std::uint64_t>()}};
  Report.m_Generation = Fields.at(3).get<std::uint32_t>();
  Report.m_Trials = Fields.at(4).get<std::uint32_t>();
  const Json &Crashes = Fields.at(5);
  if (Crashes.size() > CrashReport::MaxCrashes) {
    throw std::invalid_argument("report of " + std::to_string(Crashes.size()) + " crashes");
  }
  for (const Json &Each : Crashes) {
    Report.m_Crashes.push_back(
        {.m_Server = ServerId{Each.at(0).get<std::uint32_t>()}, .m_Age = decodeAge(Each.at(1))});
  }
  return Message;
}

TenantVerdict decodeTenantVerdict(const Json &Fields) {
  const auto Verdict = Fields.at(1).get<std::uint32_t>();
  if (Verdict > static_cast<std::uint32_t>(CapVerdict::Unknown)) {
    throw std::invalid_argument("unknown verdict " + std::to_string(Verdict));
  }
  return {.m_Number = Fields.at(0).get<std::uint64_t>(),
          .m_Verdict = static_cast<CapVerdict>(Verdict),
          .m_RetryAfter = decodeAge(Fields.at(2))};
}

PeerList decodePeerList(const Json &Fields) {
  PeerList Message{.m_Sender = decodeInfo(Fields.at(0))};
  for (const Json &Group : Fields.at(1)) {
    Message.m_Groups.push_back({.m_DataCenter = Group.at(0).get<std::string>(),
                                .m_Vms = Group.at(1).get<std::uint32_t>(),
                                .m_Listed = decodeListed(Group.at(2))});
  }
  return Message;
}

News decodeBody(std::size_t Type, const Json &Fields) {
  switch (Type) {
  case 0:
    return Hello{.m_Sender = decodeInfo(Fields.at(0)), .m_AsksForPeers = Fields.at(1).get<bool>()};
  case 1:
    return decodePeerList(Fields);
  case 2:
    return decodeStoreNews(Fields);
  case 3:
    return ServerFailed{.m_Server = ServerId{Fields.at(0).get<std::uint32_t>()}};
  case 4:
    return Piece{.m_MessageNumber = Fields.at(0).get<std::uint64_t>(),
                 .m_Index = Fields.at(1).get<std::uint32_t>(),
                 .m_Count = Fields.at(2).get<std::uint32_t>(),
                 .m_Bytes = decodeBytes(Fields.at(3))};
  case 5:
    return decodeSnapshot(Fields);
  case 6:
    return decodeServerLimited(Fields);
  case 7:
    return decodeRequestCrashes(Fields);
  case 8:
    return VmReach{.m_Ip = Fields.at(0).get<std::string>(),
                   .m_IsCutOff = Fields.at(1).get<bool>(),
                   .m_IsForRelay = Fields.at(2).get<bool>()};
  case 9:
    return ServerCold{.m_Server = ServerId{Fields.at(0).get<std::uint32_t>()},
                      .m_ColdFor = decodeAge(Fields.at(1)),
                      .m_Age = decodeAge(Fields.at(2)),
                      .m_IsForRelay = Fields.at(3).get<bool>()};
  case 10:
    return TenantQuery{.m_Number = Fields.at(0).get<std::uint64_t>(),
                       .m_Tenant = TenantId{Fields.at(1).get<std::uint32_t>()},
                       .m_Units = Fields.at(2).get<std::uint32_t>(),
                       .m_AskerIp = Fields.at(3).get<std::string>(),
                       .m_IsForSecond = Fields.at(4).get<bool>(),
                       .m_Hops = Fields.at(5).get<std::uint32_t>()};
  case 11:
    return decodeTenantVerdict(Fields);
  case 12:
    return TenantReturn{.m_Tenant = TenantId{Fields.at(0).get<std::uint32_t>()},
                        .m_Units = Fields.at(1).get<std::uint32_t>()};
  case 13:
    return decodeTokenRequest(Fields);
  case 14:
    return decodeTokenGrant(Fields);
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

/// \return the compressed frame, or the frame unchanged when zlib fails
std::string compressFrame(const std::string &Frame) {
  uLongf Size = compressBound(Frame.size());
  std::string Bytes(Size, '\0');
  const int Status =
      compress2(reinterpret_cast<Bytef *>(Bytes.data()), &Size,
                reinterpret_cast<const Bytef *>(Frame.data()), Frame.size(), Z_DEFAULT_COMPRESSION);
  if (Status != Z_OK) {
    return Frame;
  }
  Bytes.resize(Size);
  return encodeFrame(CompressedType, Json::array({Frame.size(), encodeBytes(Bytes)}));
}

Result<std::string> decompressFrame(const Json &Fields) {
  const auto FrameBytes = Fields.at(0).get<std::size_t>();
  if (FrameBytes > MaxFrameBytes) {
    return malformed("uncompressed size exceeds the limit");
  }
  const auto &Bytes = Fields.at(1).get_binary();
  std::string Frame(FrameBytes, '\0');
  uLongf Size = FrameBytes;
  const int Status =
      ::uncompress(reinterpret_cast<Bytef *>(Frame.data()), &Size, Bytes.data(), Bytes.size());
  if (Status != Z_OK || Size != FrameBytes) {
    return malformed("decompression failed");
  }
  return Frame;
}

/// Decodes a frame that is not compressed.
Result<News> decodePlainFrame(const Json &Frame) {
  return decodeBody(Frame.at(1).get<std::size_t>(), Frame.at(2));
}

Json parseFrame(std::string_view Bytes) {
  if (isCborTooDeep(Bytes)) {
    throw std::invalid_argument("nests deeper than " + std::to_string(MaxNesting) + " levels");
  }
  Json Frame = Json::from_cbor(Bytes.begin(), Bytes.end(), true, false);
  if (!Frame.is_array() || Frame.size() != 3 || Frame[0] != FormatVersion) {
    throw std::invalid_argument("not a message of this format version");
  }
  return Frame;
}

} // namespace

std::string encodeNews(const News &Message) {
  return encodeFrame(Message.index(),
                     std::visit([](const auto &Typed) { return encodeBody(Typed); }, Message));
}

std::string encodeCompressed(const News &Message) { return compressFrame(encodeNews(Message)); }

Result<News> decodeNews(std::string_view Frame) {
  try {
    const Json Outer = parseFrame(Frame);
    if (Outer.at(1).get<std::size_t>() != CompressedType) {
      return decodePlainFrame(Outer);
    }
    const auto Inner = decompressFrame(Outer.at(2));
    return Inner ? decodePlainFrame(parseFrame(*Inner)) : Result<News>(Inner.error());
  } catch (const Json::exception &Raised) {
    return malformed(Raised.what());
  } catch (const std::invalid_argument &Raised) {
    return malformed(Raised.what());
  }
}

std::vector<std::string> packNews(const News &Message, std::uint64_t Number) {
  std::string Frame = encodeNews(Message);
  if (Frame.size() > MaxDatagramBytes) {
    Frame = compressFrame(Frame);
  }
  if (Frame.size() <= MaxDatagramBytes) {
    return {std::move(Frame)};
  }
  const auto Count = static_cast<std::uint32_t>((Frame.size() + PieceBytes - 1) / PieceBytes);
  std::vector<std::string> Datagrams;
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    Datagrams.push_back(encodeNews(Piece{.m_MessageNumber = Number,
                                         .m_Index = Index,
                                         .m_Count = Count,
                                         .m_Bytes = Frame.substr(Index * PieceBytes, PieceBytes)}));
  }
  return Datagrams;
}

std::optional<std::string> PieceCollector::take(std::string_view Sender, Piece Received) {
  if (Received.m_Count == 0 || Received.m_Count > MaxPieces ||
      Received.m_Index >= Received.m_Count) {
    return std::nullopt;
  }
  auto Found =
      std::find_if(m_Incomplete.begin(), m_Incomplete.end(), [&](const IncompleteMessage &One) {
        return One.m_Sender == Sender && One.m_MessageNumber == Received.m_MessageNumber;
      });
  if (Found == m_Incomplete.end()) {
    if (m_Incomplete.size() == MaxIncompleteMessages) {
      m_Incomplete.erase(m_Incomplete.begin());
    }
    m_Incomplete.push_back(
        {.m_Sender = std::string(Sender), .m_MessageNumber = Received.m_MessageNumber});
    Found = std::prev(m_Incomplete.end());
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
  m_Incomplete.erase(Found);
  return Frame;
}

} // namespace vanillahill::fleet
