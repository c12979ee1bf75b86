/// \file
/// Membership among the entry VMs: the platform's VM list combined with direct heartbeats.
///
/// A VM joins (may take keyed requests) once it has seen itself in the VM list and every VM that it
/// knows has acknowledged a heartbeat sent after that. VMs that stay silent need not acknowledge
/// when at least one listed VM did. docs/design/membership.md gives the rules and their proof.
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
  /// Its last known incarnation; an answer from another incarnation does not count.
  std::uint64_t m_Incarnation = 0;
  /// Whether it was heard from within the lease or three heartbeat periods, whichever is longer;
  /// otherwise it cannot be asked.
  bool m_Reachable = false;
};

/// The membership at one moment, as far as the idempotency rules need it.
/// The span is valid until the next call of a non-const member of Members.
struct View {
  VmId m_Self{};
  std::uint64_t m_Incarnation = 0;
  /// This VM may dispatch keyed requests.
  bool m_HasLease = false;
  /// Since when the lease has been held without interruption.
  TimePoint m_LeaseSince{};
  /// A first attempt sent before this may have reached a VM that is gone and cannot be asked.
  TimePoint m_KnownSince{};
  /// All VMs other than this one that may have taken a keyed request, sorted by id.
  std::span<const AskTarget> m_MustAsk;
};

/// Options of Members.
struct MembersOptions {
  kernel::VmEntry m_Self;
  /// Increases with each start of the same VM.
  std::uint64_t m_Incarnation = 1;
  MembershipSettings m_Settings;
  /// Varies the first heartbeat period, so that VMs started together do not send together.
  std::uint64_t m_Seed = 0;
};

/// The membership of one VM: a deterministic state machine, not thread safe, a value that may be
/// copied.
class Members {
public:
  explicit Members(MembersOptions Options);

  /// \brief Takes the VM list; requests connections when a VM or its address is new.
  /// \param List the complete list as the platform returned it
  /// \note Complexity: O(n log n) in the number of VMs.
  void onVmList(std::span<const kernel::VmEntry> List, TimePoint Now, kernel::Actions &Out);

  /// \brief Handles a heartbeat and acknowledges it when an acknowledgement is due.
  /// \param From the sender; a heartbeat of this VM itself is ignored
  void onHeartbeat(VmId From, const peer::Heartbeat &Beat, TimePoint Now, kernel::Actions &Out);

  /// \brief Handles an acknowledgement; one for another incarnation of this VM is ignored.
  void onAck(VmId From, const peer::HeartbeatAck &Ack, TimePoint Now);

  /// \brief Sends the heartbeats that are due and removes VMs that are gone.
  /// \param Payload versions, hints and servers to avoid; the other fields are filled in here. The
  /// link sends only what changed since the previous heartbeat.
  void tick(TimePoint Now, kernel::Actions &Out, const peer::Heartbeat &Payload);

  /// \brief When tick() is due.
  TimePoint nextTimer() const;

  /// \brief VMs that serve and were heard from recently, including this one while it serves.
  /// \return sorted ids; valid until the next non-const call; updated by tick()
  std::span<const VmId> alive() const { return m_Alive; }

  /// \brief Whether this VM may dispatch keyed requests: joined, listed and acknowledged within
  /// the lease. A VM that is leaving keeps the lease, so that accepted requests are finished.
  /// \note Complexity: O(1).
  bool hasLease(TimePoint Now) const;

  /// \brief The membership at this moment, for the idempotency rules.
  /// \note Complexity: O(n) in the number of VMs.
  View view(TimePoint Now);

  /// \brief Sets the state of this VM, which is sent with each heartbeat. Leaving is final.
  void setState(peer::VmState State);
  peer::VmState state() const { return m_State; }

  /// \brief Every known VM, this one first.
  std::vector<kernel::MemberStatus> status(TimePoint Now) const;

  /// \brief Replaces the settings; they take effect with the next call.
  void updateSettings(const MembershipSettings &Settings);

  /// \brief Whether this VM has joined; the caller sets the state Serving only after that.
  bool joined() const { return m_Joined; }

  /// \brief Time between two heartbeats to one peer at the current number of VMs.
  Duration heartbeatPeriod() const;

  /// \brief Minimum time between two acknowledgements to one peer, unless it is starting.
  Duration ackPeriod() const;

private:
  struct PeerState {
    kernel::VmEntry m_Entry;
    TimePoint m_KnownAt{};
    bool m_Listed = false;
    /// Known only from the VM list, and only since this VM joined: it cannot serve yet.
    bool m_ListOnly = false;
    std::uint64_t m_Incarnation = 0;
    peer::VmState m_State = peer::VmState::Starting;
    std::optional<TimePoint> m_HeardAt;
    /// When another VM last reported in a heartbeat that it hears from this peer.
    std::optional<TimePoint> m_ReportedAt;
    /// Send time of the latest heartbeat that it acknowledged.
    std::optional<TimePoint> m_AckedHeartbeatAt;
    /// When this VM last acknowledged a heartbeat of it.
    std::optional<TimePoint> m_AckSentAt;
    TimePoint m_NextHeartbeatAt{};
    std::uint32_t m_HeartbeatsSent = 0;
    std::vector<peer::FileVersion> m_Versions;
  };

  PeerState &findOrAddPeer(const kernel::VmEntry &Entry, TimePoint Now);
  void addNamedPeers(std::span<const std::string> Names, TimePoint Now);
  void recordStart(TimePoint Now);
  bool isSilent(const PeerState &Peer, TimePoint Now) const;
  bool isGone(const PeerState &Peer, TimePoint Now) const;
  /// Whether this VM, before it joins, need not wait for the peer any longer.
  bool allowsJoin(const PeerState &Peer, TimePoint Now) const;
  void tryJoin(TimePoint Now);
  void removeGonePeers(TimePoint Now, kernel::Actions &Out);
  void refreshAlive(TimePoint Now);
  void requestConnections(kernel::Actions &Out) const;
  void renewLease(TimePoint SentAt, TimePoint Now);
  void sendHeartbeat(VmId To, PeerState &Peer, TimePoint Now, kernel::Actions &Out,
                     const peer::Heartbeat &Payload);
  std::vector<std::string> heardPeerNames(TimePoint Now) const;
  Duration aliveTimeout() const;
  /// Time by which the first period is shortened, so that VMs started together do not send
  /// together.
  Duration firstPeriodReduction() const;

  kernel::VmEntry m_Self;
  VmId m_SelfId{};
  std::uint64_t m_Incarnation = 0;
  MembershipSettings m_Settings;
  std::uint64_t m_Seed = 0;
  peer::VmState m_State = peer::VmState::Starting;
  std::map<VmId, PeerState> m_Peers;
  std::vector<VmId> m_Alive;
  std::vector<AskTarget> m_MustAsk;
  std::optional<TimePoint> m_StartedAt;
  /// When this VM first found itself in the VM list.
  std::optional<TimePoint> m_FirstListedAt;
  std::optional<TimePoint> m_ListReadAt;
  bool m_Delisted = false;
  bool m_Joined = false;
  TimePoint m_KnownSince{};
  std::optional<TimePoint> m_LeaseEnd;
  TimePoint m_LeaseSince{};
};

} // namespace vanillahill::membership
