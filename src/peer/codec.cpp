#include "vanillahill/peer/codec.hpp"

#include "wire.hpp"

namespace vanillahill::peer {

namespace {

using wire::FieldReader;
using wire::Json;

Json toItems(const std::vector<Slot> &Values) {
  Json Out = Json::array();
  for (const Slot &Value : Values) {
    Out.push_back(Json::array({raw(Value.m_Server), Value.m_Index}));
  }
  return Out;
}

std::vector<Slot> readSlots(FieldReader &From) {
  return From.records<Slot>("slots", [](FieldReader &Entry) {
    Slot Out;
    Out.m_Server = Entry.id<ServerId>("server");
    Out.m_Index = Entry.number<std::uint32_t>("index");
    return Out;
  });
}

Json toItems(const ReplyPtr &Value) {
  if (!Value) {
    return nullptr;
  }
  Json::binary_t::container_type Body(Value->m_Body.begin(), Value->m_Body.end());
  return Json::array({Value->m_Status, Value->m_ContentType, Json::binary(std::move(Body))});
}

/// Appends the fields of each message to its array. Messages that other parts extend are unpacked
/// by structured bindings, so that a new field that is not encoded here fails to compile.
struct FieldWriter {
  Json operator()(const Heartbeat &Value) const {
    const auto &[Incarnation, Sequence, State, Versions, Hints, Avoid, Known, Leaving] = Value;
    Json Out = wire::startMessage(MessageType::Heartbeat);
    Out.push_back(Incarnation);
    Out.push_back(Sequence);
    Out.push_back(raw(State));
    Out.push_back(wire::toItems(Versions));
    Out.push_back(wire::toItems(Hints));
    Out.push_back(wire::toItems(Avoid));
    Out.push_back(wire::toItems(Known));
    Out.push_back(wire::toItems(Leaving));
    return Out;
  }
  Json operator()(const HeartbeatAck &Value) const {
    Json Out = wire::startMessage(MessageType::HeartbeatAck);
    Out.push_back(Value.m_Incarnation);
    Out.push_back(Value.m_Sequence);
    return Out;
  }
  Json operator()(const SlotRequest &Value) const {
    Json Out = wire::startMessage(MessageType::SlotRequest);
    Out.push_back(raw(Value.m_Service));
    Out.push_back(Value.m_Count);
    return Out;
  }
  Json operator()(const SlotLoan &Value) const {
    Json Out = wire::startMessage(MessageType::SlotLoan);
    Out.push_back(raw(Value.m_Service));
    Out.push_back(toItems(Value.m_Slots));
    Out.push_back(static_cast<std::uint64_t>(Value.m_Term.count()));
    return Out;
  }
  Json operator()(const SlotReturn &Value) const {
    Json Out = wire::startMessage(MessageType::SlotReturn);
    Out.push_back(raw(Value.m_Service));
    Out.push_back(toItems(Value.m_Slots));
    return Out;
  }
  Json operator()(const KeyQuery &Value) const {
    Json Out = wire::startMessage(MessageType::KeyQuery);
    Out.push_back(Value.m_Query);
    Out.push_back(Value.m_Key);
    return Out;
  }
  Json operator()(const KeyAnswer &Value) const {
    const auto &[Query, State, Kept, Incarnation, Members] = Value;
    Json Out = wire::startMessage(MessageType::KeyAnswer);
    Out.push_back(Query);
    Out.push_back(raw(State));
    Out.push_back(toItems(Kept));
    Out.push_back(Incarnation);
    Out.push_back(wire::toItems(Members));
    return Out;
  }
  Json operator()(const ConfigPush &Value) const {
    Json Out = wire::startMessage(MessageType::ConfigPush);
    Out.push_back(wire::toItems(Value.m_Records));
    return Out;
  }
  Json operator()(const ConfigPull &) const { return wire::startMessage(MessageType::ConfigPull); }
};

Heartbeat readHeartbeat(FieldReader &From) {
  Heartbeat Out;
  Out.m_Incarnation = From.number<std::uint64_t>("incarnation");
  Out.m_Sequence = From.number<std::uint64_t>("sequence");
  Out.m_State = From.enumeration("state", VmState::Leaving);
  Out.m_Versions = wire::readVersions(From);
  Out.m_Hints = wire::readHints(From);
  Out.m_Avoid = wire::readServers(From, "avoid");
  Out.m_Known = wire::readTexts(From, "known");
  Out.m_Leaving = wire::readServers(From, "leaving");
  return Out;
}

HeartbeatAck readHeartbeatAck(FieldReader &From) {
  HeartbeatAck Out;
  Out.m_Incarnation = From.number<std::uint64_t>("incarnation");
  Out.m_Sequence = From.number<std::uint64_t>("sequence");
  return Out;
}

SlotRequest readSlotRequest(FieldReader &From) {
  SlotRequest Out;
  Out.m_Service = From.id<ServiceId>("service");
  Out.m_Count = From.number<std::uint32_t>("count");
  return Out;
}

SlotLoan readSlotLoan(FieldReader &From) {
  SlotLoan Out;
  Out.m_Service = From.id<ServiceId>("service");
  Out.m_Slots = readSlots(From);
  Out.m_Term = From.duration("term");
  return Out;
}

SlotReturn readSlotReturn(FieldReader &From) {
  SlotReturn Out;
  Out.m_Service = From.id<ServiceId>("service");
  Out.m_Slots = readSlots(From);
  return Out;
}

KeyQuery readKeyQuery(FieldReader &From) {
  KeyQuery Out;
  Out.m_Query = From.number<std::uint64_t>("query");
  Out.m_Key = From.text("key");
  return Out;
}

KeyAnswer readKeyAnswer(FieldReader &From) {
  KeyAnswer Out;
  Out.m_Query = From.number<std::uint64_t>("query");
  Out.m_State = From.enumeration("state", KeyState::SealedBefore);
  Out.m_Reply = From.reply("reply");
  Out.m_Incarnation = From.number<std::uint64_t>("incarnation");
  Out.m_Members = wire::readVms(From, "members");
  return Out;
}

ConfigPush readConfigPush(FieldReader &From) {
  return ConfigPush{.m_Records = wire::readTexts(From, "records")};
}

/// Decodes the fields of a message of one type.
template <typename Read>
Result<DecodedMessage> decodeAs(const wire::ParsedFrame &Parsed, std::string_view Name,
                                Read ReadFields) {
  std::string Failure;
  FieldReader Fields(Parsed.m_Items, wire::FirstField, wire::FieldPath{.m_Message = Name}, Failure);
  Message Value = ReadFields(Fields);
  if (!Failure.empty()) {
    return wire::malformed(std::move(Failure));
  }
  return DecodedMessage{.m_Message = std::move(Value), .m_Type = Parsed.m_Type};
}

} // namespace

Result<DecodedMessage> wire::decodeParsed(const ParsedFrame &Parsed) {
  switch (static_cast<MessageType>(Parsed.m_Type)) {
  case MessageType::Heartbeat:
    return decodeAs(Parsed, "Heartbeat", readHeartbeat);
  case MessageType::HeartbeatAck:
    return decodeAs(Parsed, "HeartbeatAck", readHeartbeatAck);
  case MessageType::SlotRequest:
    return decodeAs(Parsed, "SlotRequest", readSlotRequest);
  case MessageType::SlotLoan:
    return decodeAs(Parsed, "SlotLoan", readSlotLoan);
  case MessageType::SlotReturn:
    return decodeAs(Parsed, "SlotReturn", readSlotReturn);
  case MessageType::KeyQuery:
    return decodeAs(Parsed, "KeyQuery", readKeyQuery);
  case MessageType::KeyAnswer:
    return decodeAs(Parsed, "KeyAnswer", readKeyAnswer);
  case MessageType::ConfigPush:
    return decodeAs(Parsed, "ConfigPush", readConfigPush);
  case MessageType::ConfigPull:
    return DecodedMessage{.m_Message = ConfigPull{}, .m_Type = Parsed.m_Type};
  case MessageType::HeartbeatDelta:
  case MessageType::HeartbeatAckDelta:
    break;
  }
  return DecodedMessage{.m_Message = std::nullopt, .m_Type = Parsed.m_Type};
}

std::vector<std::uint8_t> encode(const Message &Value) {
  return wire::toBytes(std::visit(FieldWriter{}, Value));
}

Result<DecodedMessage> decode(std::span<const std::uint8_t> Frame) {
  const Result<wire::ParsedFrame> Parsed = wire::parseFrame(Frame);
  if (!Parsed) {
    return Parsed.error();
  }
  return wire::decodeParsed(*Parsed);
}

} // namespace vanillahill::peer
