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

/// A complete reply of a backend server, as passed to the caller and stored for repeated requests.
struct Reply {
  std::uint32_t m_Status = 200;
  std::string m_ContentType;
  std::string m_Body;
  /// Further headers that go to the caller. Not stored for repeated requests.
  std::vector<ReplyHeader> m_Headers = {};
};
using ReplyPtr = std::shared_ptr<const Reply>;

namespace peer {

/// Idle slots that a VM could lend and requests queued there, for one service.
struct ServiceHint {
  ServiceId m_Service{};
  std::uint32_t m_IdleSlots = 0;
  std::uint32_t m_Queued = 0;
};

/// Lifecycle state of a VM.
enum class VmState : std::uint8_t { Starting = 0, Serving = 1, Leaving = 2 };

/// Version of one configuration file that is in force.
struct FileVersion {
  std::string m_File;
  std::uint64_t m_Version = 0;
};

/// Sent to each peer once per heartbeat period; answered by HeartbeatAck.
struct Heartbeat {
  /// Chosen at each start of the process; a higher one replaces a lower one.
  std::uint64_t m_Incarnation = 0;
  std::uint64_t m_Sequence = 0;
  VmState m_State = VmState::Starting;
  std::vector<FileVersion> m_Versions;
  std::vector<ServiceHint> m_Hints;
  /// Backend servers that this VM has seen fail.
  std::vector<ServerId> m_Avoid;
  /// Peers that this VM knows, so that a new VM learns of them.
  std::vector<std::string> m_Known;
  /// Backend servers that have announced to this VM that they are leaving.
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

/// One slot of a backend server, identified by its index.
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

/// Lends slots for a limited time. An empty list declines the request.
struct SlotLoan {
  ServiceId m_Service{};
  std::vector<Slot> m_Slots;
  Duration m_Term{};
};

/// Returns borrowed slots.
struct SlotReturn {
  ServiceId m_Service{};
  std::vector<Slot> m_Slots;
};

/// Asks whether the peer has seen an idempotency key. If it has not, the peer seals the key: it
/// refuses a first attempt that arrives later.
struct KeyQuery {
  std::uint64_t m_Query = 0;
  std::string m_Key;
};

/// What a peer knows about an idempotency key.
enum class KeyState : std::uint8_t {
  /// Never seen; sealed from now on, so a first attempt that arrives later is refused there.
  Sealed = 0,
  /// An attempt is running or its outcome is not known.
  Unknown = 1,
  /// Completed; the reply is attached.
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
  /// Incarnation of the answering process: a restarted one no longer has the keys of the earlier.
  std::uint64_t m_Incarnation = 0;
  /// The answering VM and all VMs that it would query itself: the querying VM must know them all.
  std::vector<VmId> m_Members;
};

/// Configuration records, as stored in the log.
struct ConfigPush {
  std::vector<std::string> m_Records;
};

/// Requests every record that is in force at the peer.
struct ConfigPull {};

using Message = std::variant<Heartbeat, HeartbeatAck, SlotRequest, SlotLoan, SlotReturn, KeyQuery,
                             KeyAnswer, ConfigPush, ConfigPull>;

} // namespace peer
} // namespace vanillahill
