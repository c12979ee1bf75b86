#include "vanillahill/membership/members.hpp"

#include <algorithm>

namespace vanillahill::membership {

namespace {

using namespace std::chrono_literals;

/// Heartbeat period per known VM: the period grows with the fleet, so that the number of heartbeats
/// that one VM sends per second is bounded.
constexpr Duration HeartbeatPeriodPerVm = 10ms;
/// Acknowledgement period per known VM.
constexpr Duration AckPeriodPerVm = 50ms;
/// A VM counts as alive for this many heartbeat periods after it was last heard from, and at least
/// for the duration of the lease.
constexpr int AlivePeriods = 3;

std::uint64_t combineHash(std::uint64_t Hash, std::uint64_t Input) {
  constexpr std::uint64_t Prime = 1099511628211ULL;
  return (Hash ^ Input) * Prime;
}

} // namespace

Members::Members(MembersOptions Options)
    : m_Self(std::move(Options.m_Self)), m_SelfId(idOf<VmId>(m_Self.m_Name)),
      m_Incarnation(Options.m_Incarnation), m_Settings(Options.m_Settings), m_Seed(Options.m_Seed) {
}

void Members::recordStart(TimePoint Now) {
  if (!m_StartedAt) {
    m_StartedAt = Now;
    m_KnownSince = Now;
  }
}

Members::PeerState &Members::findOrAddPeer(const kernel::VmEntry &Entry, TimePoint Now) {
  const VmId Id = idOf<VmId>(Entry.m_Name);
  const auto [Found, Inserted] = m_Peers.try_emplace(Id);
  PeerState &Peer = Found->second;
  if (Inserted) {
    Peer.m_Entry = Entry;
    Peer.m_KnownAt = Now;
    Peer.m_NextHeartbeatAt = Now;
  }
  if (Peer.m_Entry.m_Name.empty()) {
    Peer.m_Entry = Entry;
  }
  return Peer;
}

void Members::addNamedPeers(std::span<const std::string> Names, TimePoint Now) {
  for (const std::string &Name : Names) {
    if (Name == m_Self.m_Name) {
      continue;
    }
    kernel::VmEntry Entry;
    Entry.m_Name = Name;
    PeerState &Peer = findOrAddPeer(Entry, Now);
    Peer.m_ListOnly = false;
    Peer.m_ReportedAt = Now;
  }
}

void Members::onVmList(std::span<const kernel::VmEntry> List, TimePoint Now, kernel::Actions &Out) {
  recordStart(Now);
  m_ListReadAt = Now;
  for (auto &[Id, Peer] : m_Peers) {
    Peer.m_Listed = false;
  }
  bool SelfListed = false;
  bool Changed = false;
  for (const kernel::VmEntry &Entry : List) {
    if (Entry.m_Name == m_Self.m_Name) {
      SelfListed = true;
      continue;
    }
    const bool New = !m_Peers.contains(idOf<VmId>(Entry.m_Name));
    PeerState &Peer = findOrAddPeer(Entry, Now);
    Peer.m_ListOnly = Peer.m_ListOnly || (New && m_Joined);
    Changed = Changed || New || Peer.m_Entry.m_PeerAddress != Entry.m_PeerAddress;
    Peer.m_Entry = Entry;
    Peer.m_Listed = true;
  }
  m_Delisted = m_FirstListedAt.has_value() && !SelfListed;
  if (SelfListed && !m_FirstListedAt) {
    m_FirstListedAt = Now;
    m_KnownSince = Now;
  }
  if (Changed) {
    requestConnections(Out);
  }
  tryJoin(Now);
}

void Members::requestConnections(kernel::Actions &Out) const {
  kernel::ConnectPeers Wanted;
  for (const auto &[Id, Peer] : m_Peers) {
    if (!Peer.m_Entry.m_PeerAddress.empty()) {
      Wanted.m_Vms.push_back(Peer.m_Entry);
    }
  }
  Out.emplace_back(std::move(Wanted));
}

void Members::onHeartbeat(VmId From, const peer::Heartbeat &Beat, TimePoint Now,
                          kernel::Actions &Out) {
  recordStart(Now);
  if (From == m_SelfId) {
    return;
  }
  const auto [Found, Inserted] = m_Peers.try_emplace(From);
  PeerState &Peer = Found->second;
  if (Inserted) {
    Peer.m_KnownAt = Now;
    Peer.m_NextHeartbeatAt = Now;
  }
  if (Beat.m_Incarnation < Peer.m_Incarnation) {
    return;
  }
  if (Peer.m_Incarnation != 0 && Beat.m_Incarnation > Peer.m_Incarnation) {
    // The idempotency keys of the previous incarnation are lost.
    m_KnownSince = Now;
    Peer.m_AckedHeartbeatAt.reset();
    Peer.m_AckSentAt.reset();
    Peer.m_State = peer::VmState::Starting;
    Peer.m_HeartbeatsSent = 0;
  }
  Peer.m_Incarnation = Beat.m_Incarnation;
  Peer.m_ListOnly = false;
  Peer.m_HeardAt = Now;
  if (Peer.m_State != peer::VmState::Leaving) {
    Peer.m_State = Beat.m_State;
  }
  Peer.m_Versions = Beat.m_Versions;
  addNamedPeers(Beat.m_Known, Now);
  const bool AckDue = !Peer.m_AckSentAt || *Peer.m_AckSentAt + ackPeriod() <= Now;
  if (AckDue || Beat.m_State == peer::VmState::Starting) {
    Peer.m_AckSentAt = Now;
    Out.emplace_back(
        kernel::SendPeer{From, peer::HeartbeatAck{Beat.m_Incarnation, Beat.m_Sequence}});
  }
}

void Members::onAck(VmId From, const peer::HeartbeatAck &Ack, TimePoint Now) {
  const auto Found = m_Peers.find(From);
  if (Found == m_Peers.end() || Ack.m_Incarnation != m_Incarnation) {
    return;
  }
  // The sequence of a heartbeat is its send time.
  const TimePoint SentAt{Duration{static_cast<Duration::rep>(Ack.m_Sequence)}};
  if (SentAt > Now) {
    return;
  }
  PeerState &Peer = Found->second;
  Peer.m_AckedHeartbeatAt = std::max(SentAt, Peer.m_AckedHeartbeatAt.value_or(SentAt));
  renewLease(SentAt, Now);
  tryJoin(Now);
}

void Members::renewLease(TimePoint SentAt, TimePoint Now) {
  const TimePoint End = SentAt + m_Settings.m_Lease;
  if (End <= Now) {
    return;
  }
  if (!m_LeaseEnd || *m_LeaseEnd <= Now) {
    m_LeaseSince = Now;
  }
  m_LeaseEnd = std::max(End, m_LeaseEnd.value_or(End));
}

bool Members::isSilent(const PeerState &Peer, TimePoint Now) const {
  const TimePoint Last = Peer.m_HeardAt.value_or(Peer.m_KnownAt);
  return Last + m_Settings.m_Lease + m_Settings.m_LeaseMargin <= Now;
}

bool Members::isGone(const PeerState &Peer, TimePoint Now) const {
  if (!isSilent(Peer, Now)) {
    return false;
  }
  if (Peer.m_State == peer::VmState::Leaving) {
    return true;
  }
  const TimePoint Last = Peer.m_HeardAt.value_or(Peer.m_KnownAt);
  const Duration SilenceTimeout = m_Settings.m_Lease + m_Settings.m_LeaseMargin;
  const bool Reported = Peer.m_ReportedAt && *Peer.m_ReportedAt + SilenceTimeout > Now;
  const bool ListIsLater = m_ListReadAt && *m_ListReadAt > Last;
  return !Peer.m_Listed && ListIsLater && !Reported;
}

bool Members::allowsJoin(const PeerState &Peer, TimePoint Now) const {
  if (Peer.m_AckedHeartbeatAt && *Peer.m_AckedHeartbeatAt >= *m_FirstListedAt) {
    return true;
  }
  const Duration SilenceTimeout = m_Settings.m_Lease + m_Settings.m_LeaseMargin;
  const bool WaitedLongEnough = std::max(Peer.m_KnownAt, *m_FirstListedAt) + SilenceTimeout <= Now;
  return WaitedLongEnough && isSilent(Peer, Now);
}

void Members::tryJoin(TimePoint Now) {
  if (m_Joined || !m_FirstListedAt) {
    return;
  }
  bool Acked = false;
  bool AnyListed = false;
  for (const auto &[Id, Peer] : m_Peers) {
    if (!allowsJoin(Peer, Now)) {
      return;
    }
    AnyListed = AnyListed || Peer.m_Listed;
    Acked = Acked || (Peer.m_Listed && Peer.m_AckedHeartbeatAt &&
                      *Peer.m_AckedHeartbeatAt >= *m_FirstListedAt);
  }
  const bool WaitedLeaseMargin = *m_FirstListedAt + m_Settings.m_LeaseMargin <= Now;
  if (AnyListed ? Acked : WaitedLeaseMargin) {
    m_Joined = true;
    m_LeaseSince = Now;
  }
}

bool Members::hasLease(TimePoint Now) const {
  if (!m_Joined || m_Delisted) {
    return false;
  }
  return m_Peers.empty() || (m_LeaseEnd && Now < *m_LeaseEnd);
}

View Members::view(TimePoint Now) {
  m_MustAsk.clear();
  for (const auto &[Id, Peer] : m_Peers) {
    if (Peer.m_ListOnly) {
      continue;
    }
    const bool Reachable = Peer.m_HeardAt && *Peer.m_HeardAt + aliveTimeout() > Now;
    m_MustAsk.push_back(AskTarget{Id, Peer.m_Incarnation, Reachable});
  }
  return View{.m_Self = m_SelfId,
              .m_Incarnation = m_Incarnation,
              .m_HasLease = hasLease(Now),
              .m_LeaseSince = m_LeaseSince,
              .m_KnownSince = m_KnownSince,
              .m_MustAsk = m_MustAsk};
}

void Members::removeGonePeers(TimePoint Now, kernel::Actions &Out) {
  bool KeysLost = false;
  const std::size_t Dropped = std::erase_if(m_Peers, [&](const auto &Item) {
    const bool Drop = isGone(Item.second, Now);
    KeysLost = KeysLost || (Drop && !Item.second.m_ListOnly);
    return Drop;
  });
  if (KeysLost) {
    m_KnownSince = Now;
  }
  if (Dropped != 0) {
    requestConnections(Out);
  }
}

void Members::refreshAlive(TimePoint Now) {
  m_Alive.clear();
  if (m_State == peer::VmState::Serving) {
    m_Alive.push_back(m_SelfId);
  }
  for (const auto &[Id, Peer] : m_Peers) {
    const bool Heard = Peer.m_HeardAt && *Peer.m_HeardAt + aliveTimeout() > Now;
    if (Heard && Peer.m_State == peer::VmState::Serving && !Peer.m_Entry.m_Leaving) {
      m_Alive.push_back(Id);
    }
  }
  std::ranges::sort(m_Alive);
}

std::vector<std::string> Members::heardPeerNames(TimePoint Now) const {
  std::vector<std::string> Names;
  for (const auto &[Id, Peer] : m_Peers) {
    if (Peer.m_HeardAt && !isSilent(Peer, Now) && !Peer.m_Entry.m_Name.empty()) {
      Names.push_back(Peer.m_Entry.m_Name);
    }
  }
  return Names;
}

void Members::sendHeartbeat(VmId To, PeerState &Peer, TimePoint Now, kernel::Actions &Out,
                            const peer::Heartbeat &Payload) {
  peer::Heartbeat Beat;
  Beat.m_Incarnation = m_Incarnation;
  Beat.m_Sequence = static_cast<std::uint64_t>(Now.time_since_epoch().count());
  Beat.m_State = m_State;
  Beat.m_Hints = Payload.m_Hints;
  Beat.m_Avoid = Payload.m_Avoid;
  Beat.m_Known = heardPeerNames(Now);
  Beat.m_Versions = Payload.m_Versions;
  ++Peer.m_HeartbeatsSent;
  Out.emplace_back(kernel::SendPeer{To, std::move(Beat)});
}

void Members::tick(TimePoint Now, kernel::Actions &Out, const peer::Heartbeat &Payload) {
  recordStart(Now);
  removeGonePeers(Now, Out);
  tryJoin(Now);
  for (auto &[Id, Peer] : m_Peers) {
    if (Peer.m_NextHeartbeatAt > Now) {
      continue;
    }
    sendHeartbeat(Id, Peer, Now, Out, Payload);
    const bool First = Peer.m_HeartbeatsSent == 1;
    Peer.m_NextHeartbeatAt =
        Now + heartbeatPeriod() - (First ? firstPeriodReduction() : Duration{});
  }
  refreshAlive(Now);
}

TimePoint Members::nextTimer() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Id, Peer] : m_Peers) {
    Next = std::min(Next, Peer.m_NextHeartbeatAt);
  }
  const bool WaitingForLeaseMargin = m_FirstListedAt && !m_Joined && m_Peers.empty();
  if (WaitingForLeaseMargin) {
    Next = std::min(Next, *m_FirstListedAt + m_Settings.m_LeaseMargin);
  }
  return Next;
}

void Members::setState(peer::VmState State) {
  if (m_State != peer::VmState::Leaving) {
    m_State = State;
  }
  for (auto &[Id, Peer] : m_Peers) {
    Peer.m_NextHeartbeatAt = TimePoint{};
  }
}

std::vector<kernel::MemberStatus> Members::status(TimePoint Now) const {
  std::vector<kernel::MemberStatus> Statuses;
  Statuses.push_back(kernel::MemberStatus{.m_Vm = m_SelfId,
                                          .m_Name = m_Self.m_Name,
                                          .m_DataCenter = m_Self.m_DataCenter,
                                          .m_Alive = true,
                                          .m_State = m_State,
                                          .m_SilentFor = {},
                                          .m_Versions = {}});
  for (const auto &[Id, Peer] : m_Peers) {
    const TimePoint Last = Peer.m_HeardAt.value_or(Peer.m_KnownAt);
    Statuses.push_back(kernel::MemberStatus{.m_Vm = Id,
                                            .m_Name = Peer.m_Entry.m_Name,
                                            .m_DataCenter = Peer.m_Entry.m_DataCenter,
                                            .m_Alive = std::ranges::binary_search(m_Alive, Id),
                                            .m_State = Peer.m_State,
                                            .m_SilentFor = Now - Last,
                                            .m_Versions = Peer.m_Versions});
  }
  return Statuses;
}

void Members::updateSettings(const MembershipSettings &Settings) { m_Settings = Settings; }

Duration Members::heartbeatPeriod() const {
  const Duration Scaled = HeartbeatPeriodPerVm * static_cast<Duration::rep>(m_Peers.size() + 1);
  const Duration MaxPeriod = std::max(m_Settings.m_Lease / 2, m_Settings.m_HeartbeatPeriod);
  return std::clamp(Scaled, m_Settings.m_HeartbeatPeriod, MaxPeriod);
}

Duration Members::firstPeriodReduction() const {
  const std::uint64_t Hash = combineHash(combineHash(m_Seed, m_Incarnation), raw(m_SelfId));
  return Duration{static_cast<Duration::rep>(
      Hash % static_cast<std::uint64_t>(m_Settings.m_HeartbeatPeriod.count() / 2 + 1))};
}

Duration Members::ackPeriod() const {
  const Duration Scaled = AckPeriodPerVm * static_cast<Duration::rep>(m_Peers.size() + 1);
  return std::max(Scaled, m_Settings.m_Lease / 4);
}

Duration Members::aliveTimeout() const {
  return std::max(m_Settings.m_Lease, heartbeatPeriod() * AlivePeriods);
}

} // namespace vanillahill::membership
