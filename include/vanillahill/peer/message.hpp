/// \file
/// Messages between VMs. One versioned frame each; an unknown type is ignored by the receiver.
#pragma once

#include "vanillahill/core/ids.hpp"
#include "vanillahill/core/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace vanillahill {

/// One header of a reply.
struct ReplyHeader {
  std::string m_Name;
  std::string m_Value;
};

/// A whole answer of a backend server, as it is passed to the caller and kept for repeats.
struct Reply {
  std::uint32_t m_Status = 200;
  std::string m_ContentType;
  std::string m_Body;
  /// Further headers that go to the caller. Not kept for repeats.
  std::vector<ReplyHeader> m_Headers = {};
};
using ReplyPtr = std::shared_ptr<const Reply>;

namespace peer {

/// Slots that a VM could lend and requests that wait there, for one service.
struct ServiceHint {
  ServiceId m_Service{};
  std::uint32_t m_IdleSlots = 0;
  std::uint32_t m_Queued = 0;
};

/// Where a VM stands in its life.
enum class VmState : std::uint8_t { Starting = 0, Serving = 1, Leaving = 2 };

/// Version in force of one configuration file.
struct FileVersion {
  std::string m_File;
  std::uint64_t m_Version = 0;
};

/// Sent to each peer once a heartbeat period; answered by HeartbeatAck.
struct Heartbeat {
  /// Chosen at each start of the process; a higher one replaces a lower one.
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Sequence = 0;
  VmState m_State = VmState::Starting;
  std::vector<FileVersion> m_Versions;
  std::vector<ServiceHint> m_Hints;
  /// Backend servers that this VM found failing.
  std::vector<ServerId> m_Avoid;
  /// Peers that this VM knows: a newcomer learns of them.
  std::vector<std::string> m_Known;
  /// Backend servers that told this VM that they are leaving.
  std::vector<ServerId> m_Leaving;
};

struct HeartbeatAck {
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Sequence = 0;
};

/// Asks a peer for idle slots of a service.
struct SlotRequest {
  ServiceId m_Service{};
  std::uint32_t m_Count = 1;
};

/// One slot: the n-th of a backend server.
struct Slot {
  ServerId m_Server{};
  std::uint32_t m_Index = 0;

  friend bool operator==(const Slot &A, const Slot &B) {
    return A.m_Server == B.m_Server && A.m_Index == B.m_Index;
  }
  friend bool operator<(const Slot &A, const Slot &B) {
    return A.m_Server != B.m_Server ? A.m_Server < B.m_Server : A.m_Index < B.m_Index;
  }
};

/// Lends slots for a term. An empty list declines.
struct SlotLoan {
  ServiceId m_Service{};
  std::vector<Slot> m_Slots;
  Duration m_Term{};
};

/// Gives borrowed slots back.
struct SlotReturn {
  ServiceId m_Service{};
  std::vector<Slot> m_Slots;
};

/// Asks whether the peer has seen an idempotency key; "not seen" seals it there.
struct KeyQuery {
  std::uint64_t m_Query = 0;
  std::string m_Key;
};

/// What a peer knows of a key.
enum class KeyState : std::uint8_t {
  /// Never seen; sealed from now on: a late first attempt is refused there.
  Sealed = 0,
  /// An attempt is running or its outcome is not known.
  Unknown = 1,
  /// Answered; the reply is attached.
  Answered = 2,
  /// Was refused there and did not run; sealed.
  NotRun = 3,
  /// Never run there; sealed by an earlier query, so a repeat may have run elsewhere.
  SealedBefore = 4,
};

struct KeyAnswer {
  std::uint64_t m_Query = 0;
  KeyState m_State = KeyState::Unknown;
  /// Set for Answered.
  ReplyPtr m_Reply;
  /// Start of the process that answers: one started anew has forgotten the keys of the earlier.
  std::uint64_t m_Incarnation = 0;
  /// VMs that the answering VM would itself ask, and itself: the asker must know them all.
  std::vector<VmId> m_Members;
};

/// One configuration record as it stands in the log.
struct ConfigPush {
  std::vector<std::string> m_Records;
};

/// Asks for every record that the peer holds in force.
struct ConfigPull {};

using Message = std::variant<Heartbeat, HeartbeatAck, SlotRequest, SlotLoan, SlotReturn, KeyQuery,
                             KeyAnswer, ConfigPush, ConfigPull>;

} // namespace peer
} // namespace vanillahill
