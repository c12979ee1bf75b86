/// \file
/// RapidCheck generators of peer messages, and a text form of all fields for comparison.
#pragma once

#include "vanillahill/peer/message.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <sstream>

namespace vanillahill::peer {

/// Writes every field of a message as text.
struct Describer {
  std::ostringstream &m_Out;

  void put(const std::string &Text) { m_Out << Text.size() << ':' << Text << ' '; }
  template <typename T>
  requires std::is_enum_v<T> || std::is_integral_v<T>
  void put(T Value) {
    if constexpr (std::is_enum_v<T>) {
      m_Out << +raw(Value) << ' ';
    } else {
      m_Out << Value << ' ';
    }
  }
  template <typename T> void put(const std::vector<T> &Values) {
    m_Out << '[';
    for (const T &Value : Values) {
      put(Value);
    }
    m_Out << ']';
  }
  void put(const ServiceHint &V) { put(V.m_Service), put(V.m_IdleSlots), put(V.m_Queued); }
  void put(const FileVersion &V) { put(V.m_File), put(V.m_Version); }
  void put(const Slot &V) { put(V.m_Server), put(V.m_Index); }

  void operator()(const Heartbeat &V) {
    put(V.m_Incarnation), put(V.m_Sequence), put(V.m_State), put(V.m_Versions);
    put(V.m_Hints), put(V.m_Avoid), put(V.m_Known), put(V.m_Leaving);
  }
  void operator()(const HeartbeatAck &V) { put(V.m_Incarnation), put(V.m_Sequence); }
  void operator()(const SlotRequest &V) { put(V.m_Service), put(V.m_Count); }
  void operator()(const SlotLoan &V) { put(V.m_Service), put(V.m_Slots), put(V.m_Term.count()); }
  void operator()(const SlotReturn &V) { put(V.m_Service), put(V.m_Slots); }
  void operator()(const KeyQuery &V) { put(V.m_Query), put(V.m_Key); }
  void operator()(const KeyAnswer &V) {
    put(V.m_Query), put(V.m_State), put(V.m_Reply != nullptr);
    if (V.m_Reply) {
      put(V.m_Reply->m_Status), put(V.m_Reply->m_ContentType), put(V.m_Reply->m_Body);
    }
    put(V.m_Incarnation), put(V.m_Members);
  }
  void operator()(const ConfigPush &V) { put(V.m_Records); }
  void operator()(const ConfigPull &) {}
};

inline std::string describe(const Message &Value) {
  std::ostringstream Out;
  Out << Value.index() << ' ';
  std::visit(Describer{Out}, Value);
  return Out.str();
}

/// Increments the sequence of Value and copies one field from Other into it.
inline void changeOneField(Heartbeat &Value, const Heartbeat &Other, int Field) {
  ++Value.m_Sequence;
  switch (Field) {
  case 0:
    Value.m_State = Other.m_State;
    break;
  case 1:
    Value.m_Versions = Other.m_Versions;
    break;
  case 2:
    Value.m_Hints = Other.m_Hints;
    break;
  case 3:
    if (!Value.m_Hints.empty()) {
      Value.m_Hints.back().m_Queued = static_cast<std::uint32_t>(Other.m_Sequence);
    }
    break;
  case 4:
    Value.m_Avoid = Other.m_Avoid;
    break;
  case 5:
    Value.m_Leaving = Other.m_Leaving;
    break;
  default:
    Value.m_Known = Other.m_Known;
  }
}

} // namespace vanillahill::peer

namespace rc {

namespace vh = vanillahill;
namespace vhp = vanillahill::peer;

template <typename Id> Gen<Id> arbitraryId() {
  return gen::map(gen::arbitrary<std::uint32_t>(), [](std::uint32_t Value) { return Id{Value}; });
}

template <> struct Arbitrary<vh::ServiceId> {
  static auto arbitrary() { return arbitraryId<vh::ServiceId>(); }
};
template <> struct Arbitrary<vh::ServerId> {
  static auto arbitrary() { return arbitraryId<vh::ServerId>(); }
};
template <> struct Arbitrary<vh::VmId> {
  static auto arbitrary() { return arbitraryId<vh::VmId>(); }
};
template <> struct Arbitrary<vhp::VmState> {
  static auto arbitrary() {
    return gen::element(vhp::VmState::Starting, vhp::VmState::Serving, vhp::VmState::Leaving);
  }
};
template <> struct Arbitrary<vhp::KeyState> {
  static auto arbitrary() {
    return gen::element(vhp::KeyState::Sealed, vhp::KeyState::Unknown, vhp::KeyState::Answered,
                        vhp::KeyState::NotRun, vhp::KeyState::SealedBefore);
  }
};
template <> struct Arbitrary<vh::Duration> {
  static auto arbitrary() {
    return gen::map(gen::nonNegative<std::int64_t>(),
                    [](std::int64_t Value) { return vh::Duration(Value); });
  }
};
template <> struct Arbitrary<vhp::ServiceHint> {
  static auto arbitrary() {
    return gen::build<vhp::ServiceHint>(gen::set(&vhp::ServiceHint::m_Service),
                                        gen::set(&vhp::ServiceHint::m_IdleSlots),
                                        gen::set(&vhp::ServiceHint::m_Queued));
  }
};
template <> struct Arbitrary<vhp::FileVersion> {
  static auto arbitrary() {
    return gen::build<vhp::FileVersion>(gen::set(&vhp::FileVersion::m_File),
                                        gen::set(&vhp::FileVersion::m_Version));
  }
};
template <> struct Arbitrary<vhp::Slot> {
  static auto arbitrary() {
    return gen::build<vhp::Slot>(gen::set(&vhp::Slot::m_Server), gen::set(&vhp::Slot::m_Index));
  }
};
template <> struct Arbitrary<vh::ReplyPtr> {
  static Gen<vh::ReplyPtr> arbitrary() {
    return gen::map(gen::tuple(gen::arbitrary<bool>(), gen::arbitrary<std::uint32_t>(),
                               gen::arbitrary<std::string>(), gen::arbitrary<std::string>()),
                    [](const auto &Parts) -> vh::ReplyPtr {
                      const auto &[Present, Status, Type, Body] = Parts;
                      if (!Present) {
                        return nullptr;
                      }
                      return std::make_shared<const vh::Reply>(vh::Reply{Status, Type, Body});
                    });
  }
};
template <> struct Arbitrary<vhp::Heartbeat> {
  static auto arbitrary() {
    using T = vhp::Heartbeat;
    return gen::build<T>(gen::set(&T::m_Incarnation), gen::set(&T::m_Sequence),
                         gen::set(&T::m_State), gen::set(&T::m_Versions), gen::set(&T::m_Hints),
                         gen::set(&T::m_Avoid), gen::set(&T::m_Known), gen::set(&T::m_Leaving));
  }
};
template <> struct Arbitrary<vhp::Message> {
  static Gen<vhp::Message> arbitrary() {
    const auto Any = [](const auto &Source) {
      return gen::map(Source, [](const auto &Value) { return vhp::Message(Value); });
    };
    using namespace vhp;
    return gen::oneOf(
        Any(gen::arbitrary<Heartbeat>()),
        Any(gen::build<HeartbeatAck>(gen::set(&HeartbeatAck::m_Incarnation),
                                     gen::set(&HeartbeatAck::m_Sequence))),
        Any(gen::build<SlotRequest>(gen::set(&SlotRequest::m_Service),
                                    gen::set(&SlotRequest::m_Count))),
        Any(gen::build<SlotLoan>(gen::set(&SlotLoan::m_Service), gen::set(&SlotLoan::m_Slots),
                                 gen::set(&SlotLoan::m_Term))),
        Any(gen::build<SlotReturn>(gen::set(&SlotReturn::m_Service),
                                   gen::set(&SlotReturn::m_Slots))),
        Any(gen::build<KeyQuery>(gen::set(&KeyQuery::m_Query), gen::set(&KeyQuery::m_Key))),
        Any(gen::build<KeyAnswer>(gen::set(&KeyAnswer::m_Query), gen::set(&KeyAnswer::m_State),
                                  gen::set(&KeyAnswer::m_Reply),
                                  gen::set(&KeyAnswer::m_Incarnation),
                                  gen::set(&KeyAnswer::m_Members))),
        Any(gen::build<ConfigPush>(gen::set(&ConfigPush::m_Records))),
        Any(gen::just(ConfigPull{})));
  }
};

} // namespace rc
