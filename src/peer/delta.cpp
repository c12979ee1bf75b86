#include "vanillahill/peer/delta.hpp"

#include "wire.hpp"

#include <algorithm>
#include <utility>

namespace vanillahill::peer {

namespace {

using wire::FieldReader;
using wire::Json;

/// Bit mask of the heartbeat fields that a difference contains, in this order.
enum DeltaField : std::uint32_t {
  DeltaState = 1U << 0U,
  DeltaVersions = 1U << 1U,
  /// The complete list of hints.
  DeltaHints = 1U << 2U,
  /// The changed hints: position, idle slots and queued requests of each, in one flat list.
  DeltaHintChanges = 1U << 3U,
  DeltaAvoid = 1U << 4U,
  DeltaKnown = 1U << 5U,
  DeltaLeaving = 1U << 6U,
  DeltaAll = (1U << 7U) - 1,
};

constexpr std::size_t NumbersPerHintChange = 3;

bool sameVersions(const std::vector<FileVersion> &Left, const std::vector<FileVersion> &Right) {
  return std::ranges::equal(Left, Right, [](const FileVersion &A, const FileVersion &B) {
    return A.m_File == B.m_File && A.m_Version == B.m_Version;
  });
}

bool sameServices(const std::vector<ServiceHint> &Left, const std::vector<ServiceHint> &Right) {
  return std::ranges::equal(Left, Right, {}, &ServiceHint::m_Service, &ServiceHint::m_Service);
}

bool sameLoad(const ServiceHint &Left, const ServiceHint &Right) {
  return Left.m_IdleSlots == Right.m_IdleSlots && Left.m_Queued == Right.m_Queued;
}

/// \brief Collects changed hints up to a limit; the others keep the values that the receiver has.
/// \param Base the hints that the receiver has
/// \param Next the current hints; those beyond the limit are reset to Base
/// \param MaxChanges maximum number of changed hints to collect
/// \param Start index where the search begins; set to the one after the last collected hint
Json collectHintChanges(const std::vector<ServiceHint> &Base, std::vector<ServiceHint> &Next,
                        std::size_t MaxChanges, std::size_t &Start) {
  Json Out = Json::array();
  std::size_t Found = 0;
  const std::size_t First = Start;
  for (std::size_t Step = 0; Step < Next.size(); ++Step) {
    const std::size_t Index = (First + Step) % Next.size();
    ServiceHint &Hint = Next[Index];
    if (sameLoad(Hint, Base[Index])) {
      continue;
    }
    if (Found == MaxChanges) {
      Hint = Base[Index];
      continue;
    }
    ++Found;
    Start = Index + 1;
    Out.push_back(Index);
    Out.push_back(Hint.m_IdleSlots);
    Out.push_back(Hint.m_Queued);
  }
  return Out;
}

std::int64_t difference(std::uint64_t Next, std::uint64_t Base) {
  return static_cast<std::int64_t>(Next - Base);
}

/// The fields of a difference, with the mask of the fields present.
struct DeltaFields {
  std::uint32_t m_Mask = 0;
  Json m_Values = Json::array();

  void add(DeltaField Field, Json Value) {
    m_Mask |= Field;
    m_Values.push_back(std::move(Value));
  }
};

std::vector<std::uint8_t> toBytes(std::int64_t SequenceStep, const DeltaFields &Fields) {
  Json Out = wire::startMessage(MessageType::HeartbeatDelta);
  Out.push_back(SequenceStep);
  if (Fields.m_Mask != 0) {
    Out.push_back(Fields.m_Mask);
    Out.insert(Out.end(), Fields.m_Values.begin(), Fields.m_Values.end());
  }
  return wire::toBytes(Out);
}

std::vector<std::uint8_t> encodeAckDelta(const HeartbeatAck &Base, const HeartbeatAck &Next) {
  Json Out = wire::startMessage(MessageType::HeartbeatAckDelta);
  Out.push_back(difference(Next.m_Sequence, Base.m_Sequence));
  return wire::toBytes(Out);
}

void applyHintChanges(FieldReader &From, std::vector<ServiceHint> &Hints) {
  const auto Numbers = From.values<std::uint32_t>(
      "hint_changes", [](FieldReader &Entry) { return Entry.number<std::uint32_t>("number"); });
  if (!From.good()) {
    return;
  }
  if (Numbers.size() % NumbersPerHintChange != 0) {
    From.fail("hint_changes", "expected three numbers for each change");
    return;
  }
  for (std::size_t Index = 0; Index < Numbers.size(); Index += NumbersPerHintChange) {
    if (Numbers[Index] >= Hints.size()) {
      From.fail("hint_changes", "position is beyond the list of hints");
      return;
    }
    ServiceHint &Hint = Hints[Numbers[Index]];
    Hint.m_IdleSlots = Numbers[Index + 1];
    Hint.m_Queued = Numbers[Index + 2];
  }
}

void applyFields(FieldReader &From, std::uint32_t Mask, Heartbeat &Value) {
  if ((Mask & DeltaState) != 0) {
    Value.m_State = From.enumeration("state", VmState::Leaving);
  }
  if ((Mask & DeltaVersions) != 0) {
    Value.m_Versions = wire::readVersions(From);
  }
  if ((Mask & DeltaHints) != 0) {
    Value.m_Hints = wire::readHints(From);
  }
  if ((Mask & DeltaHintChanges) != 0) {
    applyHintChanges(From, Value.m_Hints);
  }
  if ((Mask & DeltaAvoid) != 0) {
    Value.m_Avoid = wire::readServers(From, "avoid");
  }
  if ((Mask & DeltaKnown) != 0) {
    Value.m_Known = wire::readTexts(From, "known");
  }
  if ((Mask & DeltaLeaving) != 0) {
    Value.m_Leaving = wire::readServers(From, "leaving");
  }
}

Result<DecodedMessage> applyHeartbeatDelta(const wire::ParsedFrame &Parsed,
                                           std::optional<Heartbeat> &Base) {
  if (!Base) {
    return wire::malformed("field HeartbeatDelta: no heartbeat came before it");
  }
  std::string Failure;
  FieldReader Fields(Parsed.m_Items, wire::FirstField,
                     wire::FieldPath{.m_Message = "HeartbeatDelta"}, Failure);
  Heartbeat Value = *Base;
  Value.m_Sequence += static_cast<std::uint64_t>(Fields.integer("sequence"));
  const std::uint32_t Mask = Fields.hasMore() ? Fields.number<std::uint32_t>("mask", DeltaAll) : 0;
  applyFields(Fields, Mask, Value);
  if (!Failure.empty()) {
    return wire::malformed(std::move(Failure));
  }
  Base = Value;
  return DecodedMessage{.m_Message = std::move(Value), .m_Type = Parsed.m_Type};
}

Result<DecodedMessage> applyAckDelta(const wire::ParsedFrame &Parsed,
                                     std::optional<HeartbeatAck> &Base) {
  if (!Base) {
    return wire::malformed("field HeartbeatAckDelta: no acknowledgement came before it");
  }
  std::string Failure;
  FieldReader Fields(Parsed.m_Items, wire::FirstField,
                     wire::FieldPath{.m_Message = "HeartbeatAckDelta"}, Failure);
  const auto Step = static_cast<std::uint64_t>(Fields.integer("sequence"));
  if (!Failure.empty()) {
    return wire::malformed(std::move(Failure));
  }
  Base->m_Sequence += Step;
  return DecodedMessage{.m_Message = *Base, .m_Type = Parsed.m_Type};
}

/// Stores a message as the base of later differences.
template <typename T> void storeBase(const Message &Value, std::optional<T> &Base) {
  if (const T *Found = std::get_if<T>(&Value)) {
    Base = *Found;
  }
}

} // namespace

std::vector<std::uint8_t> DeltaEncoder::encodeHeartbeatDelta(const Heartbeat &Value) {
  const Heartbeat &Base = *m_Heartbeat;
  Heartbeat Next = Value;
  DeltaFields Fields;
  if (Next.m_State != Base.m_State) {
    Fields.add(DeltaState, raw(Next.m_State));
  }
  if (!sameVersions(Next.m_Versions, Base.m_Versions)) {
    Fields.add(DeltaVersions, wire::toItems(Next.m_Versions));
  }
  if (!sameServices(Next.m_Hints, Base.m_Hints)) {
    Fields.add(DeltaHints, wire::toItems(Next.m_Hints));
  } else if (Json Changes =
                 collectHintChanges(Base.m_Hints, Next.m_Hints, m_MaxHintChanges, m_NextHint);
             !Changes.empty()) {
    Fields.add(DeltaHintChanges, std::move(Changes));
  }
  if (Next.m_Avoid != Base.m_Avoid) {
    Fields.add(DeltaAvoid, wire::toItems(Next.m_Avoid));
  }
  if (Next.m_Known != Base.m_Known) {
    Fields.add(DeltaKnown, wire::toItems(Next.m_Known));
  }
  if (Next.m_Leaving != Base.m_Leaving) {
    Fields.add(DeltaLeaving, wire::toItems(Next.m_Leaving));
  }
  const std::int64_t Step = difference(Next.m_Sequence, Base.m_Sequence);
  m_Heartbeat = std::move(Next);
  return toBytes(Step, Fields);
}

std::vector<std::uint8_t> DeltaEncoder::encode(const Message &Value) {
  const auto *NewHeartbeat = std::get_if<Heartbeat>(&Value);
  const auto *NewAck = std::get_if<HeartbeatAck>(&Value);
  if (NewHeartbeat != nullptr && m_Heartbeat &&
      m_Heartbeat->m_Incarnation == NewHeartbeat->m_Incarnation) {
    return encodeHeartbeatDelta(*NewHeartbeat);
  }
  if (NewAck != nullptr && m_Ack && m_Ack->m_Incarnation == NewAck->m_Incarnation) {
    const HeartbeatAck Base = std::exchange(*m_Ack, *NewAck);
    return encodeAckDelta(Base, *NewAck);
  }
  storeBase(Value, m_Heartbeat);
  storeBase(Value, m_Ack);
  return peer::encode(Value);
}

Result<DecodedMessage> DeltaDecoder::decode(std::span<const std::uint8_t> Frame) {
  const Result<wire::ParsedFrame> Parsed = wire::parseFrame(Frame);
  if (!Parsed) {
    return Parsed.error();
  }
  if (Parsed->m_Type == static_cast<std::uint64_t>(MessageType::HeartbeatDelta)) {
    return applyHeartbeatDelta(*Parsed, m_Heartbeat);
  }
  if (Parsed->m_Type == static_cast<std::uint64_t>(MessageType::HeartbeatAckDelta)) {
    return applyAckDelta(*Parsed, m_Ack);
  }
  Result<DecodedMessage> Out = wire::decodeParsed(*Parsed);
  if (Out && Out->m_Message) {
    storeBase(*Out->m_Message, m_Heartbeat);
    storeBase(*Out->m_Message, m_Ack);
  }
  return Out;
}

} // namespace vanillahill::peer
