#include "wire.hpp"

#include "cbor_shape.hpp"

#include <spdlog/fmt/fmt.h>

namespace vanillahill::peer::wire {

const Json *FieldReader::next(std::string_view Field) {
  if (!good()) {
    return nullptr;
  }
  if (!hasMore()) {
    fail(Field, "missing");
    return nullptr;
  }
  return &(*m_Items)[m_Next++];
}

const Json *FieldReader::list(std::string_view Field) {
  const Json *Item = next(Field);
  if (Item != nullptr && !Item->is_array()) {
    fail(Field, "expected an array");
    return nullptr;
  }
  return Item;
}

std::int64_t FieldReader::integer(std::string_view Field) {
  const Json *Item = next(Field);
  if (Item == nullptr) {
    return 0;
  }
  constexpr std::uint64_t Max = std::numeric_limits<std::int64_t>::max();
  if (!Item->is_number_integer() ||
      (Item->is_number_unsigned() && Item->get<std::uint64_t>() > Max)) {
    fail(Field, "expected a 64-bit signed integer");
    return 0;
  }
  return Item->get<std::int64_t>();
}

std::string FieldReader::text(std::string_view Field) {
  const Json *Item = next(Field);
  if (Item == nullptr) {
    return {};
  }
  if (!Item->is_string()) {
    fail(Field, "expected a string");
    return {};
  }
  return Item->get<std::string>();
}

Duration FieldReader::duration(std::string_view Field) {
  constexpr std::uint64_t Max = std::numeric_limits<std::int64_t>::max();
  return Duration(static_cast<std::int64_t>(number<std::uint64_t>(Field, Max)));
}

ReplyPtr FieldReader::reply(std::string_view Field) {
  const Json *Item = next(Field);
  if (Item == nullptr || Item->is_null()) {
    return nullptr;
  }
  if (!Item->is_array()) {
    fail(Field, "expected an array or null");
    return nullptr;
  }
  FieldReader Parts(*Item, 0, m_Path, *m_Failure);
  auto Out = std::make_shared<Reply>();
  Out->m_Status = Parts.number<std::uint32_t>("reply.status");
  Out->m_ContentType = Parts.text("reply.content_type");
  const Json *Body = Parts.next("reply.body");
  if (Body != nullptr && !Body->is_binary()) {
    Parts.fail("reply.body", "expected a byte string");
  }
  if (!good()) {
    return nullptr;
  }
  const auto &Bytes = Body->get_binary();
  Out->m_Body.assign(Bytes.begin(), Bytes.end());
  return Out;
}

void FieldReader::failRange(std::string_view Field, const Json &Found, std::uint64_t Max) {
  const std::string Value = Found.is_number() ? Found.dump() : Found.type_name();
  fail(Field, fmt::format("expected an integer from 0 to {}, found {}", Max, Value));
}

void FieldReader::fail(const FieldPath &Where, std::string_view Field, std::string_view What) {
  if (!good()) {
    return;
  }
  if (Where.m_List.empty()) {
    *m_Failure = fmt::format("field {}.{}: {}", Where.m_Message, Field, What);
    return;
  }
  *m_Failure = fmt::format("field {}.{}[{}].{}: {}", Where.m_Message, Where.m_List, Where.m_Index,
                           Field, What);
}

Error malformed(std::string Detail) {
  return {Errc::PeerFrameMalformed, "decode peer frame", "", std::move(Detail)};
}

Result<ParsedFrame> parseFrame(std::span<const std::uint8_t> Frame) {
  if (std::string Problem = checkCborShape(Frame); !Problem.empty()) {
    return malformed("field frame: " + Problem);
  }
  ParsedFrame Out;
  Out.m_Items = Json::from_cbor(Frame.begin(), Frame.end(), /*strict=*/true,
                                /*allow_exceptions=*/false);
  if (!Out.m_Items.is_array()) {
    return malformed("field frame: expected an array");
  }
  std::string Failure;
  FieldReader Header(Out.m_Items, 0, FieldPath{.m_Message = "frame"}, Failure);
  const auto Version = Header.number<std::uint64_t>("version");
  Out.m_Type = Header.number<std::uint64_t>("type");
  if (!Failure.empty()) {
    return malformed(std::move(Failure));
  }
  if (Version != ProtocolVersion) {
    return Error{Errc::PeerVersionUnsupported, "decode peer frame", "",
                 fmt::format("version {}, expected {}", Version, ProtocolVersion)};
  }
  return Out;
}

Json startMessage(MessageType Type) {
  return Json::array({ProtocolVersion, static_cast<std::uint64_t>(Type)});
}

std::vector<std::uint8_t> toBytes(const Json &Items) { return Json::to_cbor(Items); }

Json toItems(const std::vector<FileVersion> &Values) {
  Json Out = Json::array();
  for (const FileVersion &Value : Values) {
    Out.push_back(Json::array({Value.m_File, Value.m_Version}));
  }
  return Out;
}

Json toItems(const std::vector<ServiceHint> &Values) {
  Json Out = Json::array();
  for (const ServiceHint &Value : Values) {
    Out.push_back(Json::array({raw(Value.m_Service), Value.m_IdleSlots, Value.m_Queued}));
  }
  return Out;
}

namespace {

template <typename Id> Json toIdItems(const std::vector<Id> &Values) {
  Json Out = Json::array();
  for (const Id Value : Values) {
    Out.push_back(raw(Value));
  }
  return Out;
}

} // namespace

Json toItems(const std::vector<ServerId> &Values) { return toIdItems(Values); }
Json toItems(const std::vector<VmId> &Values) { return toIdItems(Values); }

Json toItems(const std::vector<std::string> &Values) {
  Json Out = Json::array();
  for (const std::string &Value : Values) {
    Out.push_back(Value);
  }
  return Out;
}

std::vector<FileVersion> readVersions(FieldReader &From) {
  return From.records<FileVersion>("versions", [](FieldReader &Entry) {
    FileVersion Out;
    Out.m_File = Entry.text("file");
    Out.m_Version = Entry.number<std::uint64_t>("version");
    return Out;
  });
}

std::vector<ServiceHint> readHints(FieldReader &From) {
  return From.records<ServiceHint>("hints", [](FieldReader &Entry) {
    ServiceHint Out;
    Out.m_Service = Entry.id<ServiceId>("service");
    Out.m_IdleSlots = Entry.number<std::uint32_t>("idle_slots");
    Out.m_Queued = Entry.number<std::uint32_t>("queued");
    return Out;
  });
}

std::vector<ServerId> readServers(FieldReader &From, std::string_view Field) {
  return From.values<ServerId>(Field,
                               [](FieldReader &Entry) { return Entry.id<ServerId>("server"); });
}

std::vector<VmId> readVms(FieldReader &From, std::string_view Field) {
  return From.values<VmId>(Field, [](FieldReader &Entry) { return Entry.id<VmId>("vm"); });
}

std::vector<std::string> readTexts(FieldReader &From, std::string_view Field) {
  return From.values<std::string>(Field, [](FieldReader &Entry) { return Entry.text("text"); });
}

} // namespace vanillahill::peer::wire
