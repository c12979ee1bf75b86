/// \file
/// Membership among the entry VMs: the platform's VM list joined with direct heartbeats.
///
/// A VM joins (may take keyed requests) once it has seen itself in the VM list and every VM that it
/// knows has acknowledged a heartbeat sent after that; VMs that stay silent are passed over when at
/// least one listed VM acknowledged. docs/design/membership.md gives the rules and their proof.
#pragma once

#include "vanillahill/kernel/events.hpp"
#include "vanillahill/kernel/status.hpp"
#include "vanillahill/settings/settings.hpp"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace vanillahill::membership {

/// A VM that may have taken a keyed request and must be asked before a repeat runs.
struct AskTarget {
  VmId m_Vm{};
  /// The process start that is known; an answer of another one does not count.
  std::uint64_t m_Incarnation = 0;
  /// Heard from within the lease; one that is not cannot be asked.
  bool m_Reachable = false;
};

/// What the idempotency rules need to know of the membership at one moment.
/// The span is valid until the next call of a non-const member of Members.
struct View {
  VmId m_Self{};
  std::uint64_t m_Incarnation = 0;
  /// This VM may dispatch keyed requests.
  bool m_HasLease = false;
  /// Since when the lease has held without a break.
  TimePoint m_LeaseSince{};
  /// A first attempt sent before this may have been seen by a VM that is gone.
  TimePoint m_KnownSince{};
  /// All VMs other than this one that may have taken a keyed request, sorted by id.
  std::span<const AskTarget> m_MustAsk;
};

/// What Members is told at its start.
struct MembersOptions {
  kernel::VmEntry m_Self;
  /// Higher at each start of the same VM.
  std::uint64_t m_Incarnation = 1;
  MembershipSettings m_Settings;
  /// Spreads the heartbeats of one VM over the period.
  std::uint64_t m_Seed = 0;
};

/// The membership of one VM: a deterministic state machine, not thread safe, a value that may be
/// copied.
class Members {
public:
  explicit Members(MembersOptions Options);

  /// \brief Takes the VM list; asks for connections when the set of known VMs has changed.
  /// \param List the whole list as the platform gave it
  /// \note Complexity: O(n log n) in the number of VMs.
  void onVmList(std::span<const kernel::VmEntry> List, TimePoint Now, kernel::Actions &Out);

  /// \brief Takes a heartbeat and acknowledges it when an acknowledgement is due.
  /// \param From the sender; a heartbeat of this VM itself is ignored
  void onHeartbeat(VmId From, const peer::Heartbeat &Beat, TimePoint Now, kernel::Actions &Out);

  /// \brief Takes an acknowledgement; one for another start of this VM is ignored.
  void onAck(VmId From, const peer::HeartbeatAck &Ack, TimePoint Now);

  /// \brief Sends the heartbeats that are due and drops VMs that are gone.
  /// \param Payload versions, hints and servers to avoid; the rest is filled in here. The
  /// link sends only what changed since the heartbeat before.
  void tick(TimePoint Now, kernel::Actions &Out, const peer::Heartbeat &Payload);

  /// \brief When tick() is wanted next.
  TimePoint nextTimer() const;

  /// \brief VMs that serve and were heard of lately, this one included while it serves.
  /// \return sorted ids; valid until the next non-const call; brought up to date by tick()
  std::span<const VmId> alive() const { return m_Alive; }

  /// \brief Whether this VM may dispatch keyed requests: joined, listed and acknowledged within
  /// the lease. It still may while it leaves, so that accepted requests are finished.
  /// \note Complexity: O(1).
  bool hasLease(TimePoint Now) const;

  /// \brief What the idempotency rules need.
  /// \note Complexity: O(n) in the number of VMs.
  View view(TimePoint Now);

  /// \brief Says where this VM stands; it is sent with each heartbeat. Leaving is final.
  void setState(peer::VmState State);
  peer::VmState state() const { return m_State; }

  /// \brief Every known VM, this one first.
  std::vector<kernel::MemberStatus> status(TimePoint Now) const;

  /// \brief Takes new settings from the next call on.
  void updateSettings(const MembershipSettings &Settings);

  /// \brief Whether this VM has joined: the state Serving should wait for it.
  bool joined() const { return m_Joined; }

  /// \brief Time between two heartbeats to one peer at the present number of VMs.
  Duration heartbeatPeriod() const;

  /// \brief Least time between two acknowledgements to one peer that serves.
  Duration ackPeriod() const;

private:
  struct Peer {
    kernel::VmEntry m_Entry;
    TimePoint m_KnownAt{};
    bool m_Listed = false;
    /// Known from the VM list only, and only since this VM joined: it cannot serve yet.
    bool m_ListOnly = false;
    std::uint64_t m_Incarnation = 0;
    peer::VmState m_State = peer::VmState::Starting;
    std::optional<TimePoint> m_HeardAt;
    /// When another VM last named it as one that it hears.
    std::optional<TimePoint> m_VouchedAt;
    /// Send time of the newest heartbeat that it acknowledged.
    std::optional<TimePoint> m_AckedSend;
    std::optional<TimePoint> m_AckGivenAt;
    TimePoint m_NextSend{};
    std::uint32_t m_Sent = 0;
    std::vector<peer::FileVersion> m_Versions;
  };

  Peer &learn(const kernel::VmEntry &Entry, TimePoint Now);
  void learnNames(std::span<const std::string> Names, TimePoint Now);
  void start(TimePoint Now);
  bool silent(const Peer &Value, TimePoint Now) const;
  bool gone(const Peer &Value, TimePoint Now) const;
  bool joinedPeer(const Peer &Value, TimePoint Now) const;
  void tryJoin(TimePoint Now);
  void dropGone(TimePoint Now, kernel::Actions &Out);
  void refreshAlive(TimePoint Now);
  void requestConnections(kernel::Actions &Out) const;
  void renewLease(TimePoint SentAt, TimePoint Now);
  void sendHeartbeat(VmId To, Peer &Value, TimePoint Now, kernel::Actions &Out,
                     const peer::Heartbeat &Payload);
  std::vector<std::string> heardNames(TimePoint Now) const;
  Duration aliveTimeout() const;
  /// Shortens the first period, so that VMs started together do not send together.
  Duration firstPeriodCut() const;

  kernel::VmEntry m_Self;
  VmId m_SelfId{};
  std::uint64_t m_Incarnation = 0;
  MembershipSettings m_Settings;
  std::uint64_t m_Seed = 0;
  peer::VmState m_State = peer::VmState::Starting;
  std::map<VmId, Peer> m_Peers;
  std::vector<VmId> m_Alive;
  std::vector<AskTarget> m_MustAsk;
  std::optional<TimePoint> m_StartedAt;
  /// When this VM first saw itself in the list.
  std::optional<TimePoint> m_ListedAt;
  std::optional<TimePoint> m_ListReadAt;
  bool m_Delisted = false;
  bool m_Joined = false;
  TimePoint m_KnownSince{};
  std::optional<TimePoint> m_LeaseEnd;
  TimePoint m_LeaseSince{};
};

} // namespace vanillahill::membership
