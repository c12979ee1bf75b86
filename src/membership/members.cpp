#include "vanillahill/membership/members.hpp"

#include <algorithm>

namespace vanillahill::membership {

namespace {

using namespace std::chrono_literals;

/// The period of heartbeats grows by this much with each VM, so that the rate of one VM is bounded.
constexpr Duration PeriodPerVm = 10ms;
/// The period of acknowledgements grows by this much with each VM.
constexpr Duration AckPeriodPerVm = 50ms;
/// A VM counts as alive for so many heartbeat periods, and at least for the lease.
constexpr int AlivePeriods = 3;

std::uint64_t mix(std::uint64_t Digest, std::uint64_t Value) {
  constexpr std::uint64_t Prime = 1099511628211ULL;
  return (Digest ^ Value) * Prime;
}

} // namespace

Members::Members(MembersOptions Options)
    : m_Self(std::move(Options.m_Self)), m_SelfId(idOf<VmId>(m_Self.m_Name)),
      m_Incarnation(Options.m_Incarnation), m_Settings(Options.m_Settings), m_Seed(Options.m_Seed) {
}

void Members::start(TimePoint Now) {
  if (!m_StartedAt) {
    m_StartedAt = Now;
    m_KnownSince = Now;
  }
}

Members::Peer &Members::learn(const kernel::VmEntry &Entry, TimePoint Now) {
  const VmId Id = idOf<VmId>(Entry.m_Name);
  const auto [Found, Inserted] = m_Peers.try_emplace(Id);
  Peer &Value = Found->second;
  if (Inserted) {
    Value.m_Entry = Entry;
    Value.m_KnownAt = Now;
    Value.m_NextSend = Now;
  }
  if (Value.m_Entry.m_Name.empty()) {
    Value.m_Entry = Entry;
  }
  return Value;
}

void Members::learnNames(std::span<const std::string> Names, TimePoint Now) {
  for (const std::string &Name : Names) {
    if (Name == m_Self.m_Name) {
      continue;
    }
    kernel::VmEntry Entry;
    Entry.m_Name = Name;
    Peer &Value = learn(Entry, Now);
    Value.m_ListOnly = false;
    Value.m_VouchedAt = Now;
  }
}

void Members::onVmList(std::span<const kernel::VmEntry> List, TimePoint Now, kernel::Actions &Out) {
  start(Now);
  m_ListReadAt = Now;
  for (auto &[Id, Value] : m_Peers) {
    Value.m_Listed = false;
  }
  bool SelfListed = false;
  bool Changed = false;
  for (const kernel::VmEntry &Entry : List) {
    if (Entry.m_Name == m_Self.m_Name) {
      SelfListed = true;
      continue;
    }
    const bool New = !m_Peers.contains(idOf<VmId>(Entry.m_Name));
    Peer &Value = learn(Entry, Now);
    Value.m_ListOnly = Value.m_ListOnly || (New && m_Joined);
    Changed = Changed || New || Value.m_Entry.m_PeerAddress != Entry.m_PeerAddress;
    Value.m_Entry = Entry;
    Value.m_Listed = true;
  }
  m_Delisted = m_ListedAt.has_value() && !SelfListed;
  if (SelfListed && !m_ListedAt) {
    m_ListedAt = Now;
    m_KnownSince = Now;
  }
  if (Changed) {
    requestConnections(Out);
  }
  tryJoin(Now);
}

void Members::requestConnections(kernel::Actions &Out) const {
  kernel::ConnectPeers Wanted;
  for (const auto &[Id, Value] : m_Peers) {
    if (!Value.m_Entry.m_PeerAddress.empty()) {
      Wanted.m_Vms.push_back(Value.m_Entry);
    }
  }
  Out.emplace_back(std::move(Wanted));
}

void Members::onHeartbeat(VmId From, const peer::Heartbeat &Beat, TimePoint Now,
                          kernel::Actions &Out) {
  start(Now);
  if (From == m_SelfId) {
    return;
  }
  const auto [Found, Inserted] = m_Peers.try_emplace(From);
  Peer &Value = Found->second;
  if (Inserted) {
    Value.m_KnownAt = Now;
    Value.m_NextSend = Now;
  }
  if (Beat.m_Incarnation < Value.m_Incarnation) {
    return;
  }
  if (Value.m_Incarnation != 0 && Beat.m_Incarnation > Value.m_Incarnation) {
    // The earlier process took its keys with it.
    m_KnownSince = Now;
    Value.m_AckedSend.reset();
    Value.m_AckGivenAt.reset();
    Value.m_State = peer::VmState::Starting;
    Value.m_Sent = 0;
  }
  Value.m_Incarnation = Beat.m_Incarnation;
  Value.m_ListOnly = false;
  Value.m_HeardAt = Now;
  if (Value.m_State != peer::VmState::Leaving) {
    Value.m_State = Beat.m_State;
  }
  Value.m_Versions = Beat.m_Versions;
  learnNames(Beat.m_Known, Now);
  const bool AckDue = !Value.m_AckGivenAt || *Value.m_AckGivenAt + ackPeriod() <= Now;
  if (AckDue || Beat.m_State == peer::VmState::Starting) {
    Value.m_AckGivenAt = Now;
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
  Peer &Value = Found->second;
  Value.m_AckedSend = std::max(SentAt, Value.m_AckedSend.value_or(SentAt));
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

bool Members::silent(const Peer &Value, TimePoint Now) const {
  const TimePoint Last = Value.m_HeardAt.value_or(Value.m_KnownAt);
  return Last + m_Settings.m_Lease + m_Settings.m_LeaseMargin <= Now;
}

bool Members::gone(const Peer &Value, TimePoint Now) const {
  if (!silent(Value, Now)) {
    return false;
  }
  if (Value.m_State == peer::VmState::Leaving) {
    return true;
  }
  const TimePoint Last = Value.m_HeardAt.value_or(Value.m_KnownAt);
  const Duration Hold = m_Settings.m_Lease + m_Settings.m_LeaseMargin;
  const bool Vouched = Value.m_VouchedAt && *Value.m_VouchedAt + Hold > Now;
  const bool ListIsLater = m_ListReadAt && *m_ListReadAt > Last;
  return !Value.m_Listed && ListIsLater && !Vouched;
}

bool Members::joinedPeer(const Peer &Value, TimePoint Now) const {
  if (Value.m_AckedSend && *Value.m_AckedSend >= *m_ListedAt) {
    return true;
  }
  const Duration Hold = m_Settings.m_Lease + m_Settings.m_LeaseMargin;
  const bool WaitedLong = std::max(Value.m_KnownAt, *m_ListedAt) + Hold <= Now;
  return WaitedLong && silent(Value, Now);
}

void Members::tryJoin(TimePoint Now) {
  if (m_Joined || !m_ListedAt) {
    return;
  }
  bool Acked = false;
  bool AnyListed = false;
  for (const auto &[Id, Value] : m_Peers) {
    if (!joinedPeer(Value, Now)) {
      return;
    }
    AnyListed = AnyListed || Value.m_Listed;
    Acked = Acked || (Value.m_Listed && Value.m_AckedSend && *Value.m_AckedSend >= *m_ListedAt);
  }
  const bool Listened = *m_ListedAt + m_Settings.m_LeaseMargin <= Now;
  if (AnyListed ? Acked : Listened) {
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
  for (const auto &[Id, Value] : m_Peers) {
    if (Value.m_ListOnly) {
      continue;
    }
    const bool Reachable = Value.m_HeardAt && *Value.m_HeardAt + aliveTimeout() > Now;
    m_MustAsk.push_back(AskTarget{Id, Value.m_Incarnation, Reachable});
  }
  return View{.m_Self = m_SelfId,
              .m_Incarnation = m_Incarnation,
              .m_HasLease = hasLease(Now),
              .m_LeaseSince = m_LeaseSince,
              .m_KnownSince = m_KnownSince,
              .m_MustAsk = m_MustAsk};
}

void Members::dropGone(TimePoint Now, kernel::Actions &Out) {
  bool KeysLost = false;
  const std::size_t Dropped = std::erase_if(m_Peers, [&](const auto &Item) {
    const bool Drop = gone(Item.second, Now);
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
  for (const auto &[Id, Value] : m_Peers) {
    const bool Heard = Value.m_HeardAt && *Value.m_HeardAt + aliveTimeout() > Now;
    if (Heard && Value.m_State == peer::VmState::Serving && !Value.m_Entry.m_Leaving) {
      m_Alive.push_back(Id);
    }
  }
  std::ranges::sort(m_Alive);
}

std::vector<std::string> Members::heardNames(TimePoint Now) const {
  std::vector<std::string> Names;
  for (const auto &[Id, Value] : m_Peers) {
    if (Value.m_HeardAt && !silent(Value, Now) && !Value.m_Entry.m_Name.empty()) {
      Names.push_back(Value.m_Entry.m_Name);
    }
  }
  return Names;
}

void Members::sendHeartbeat(VmId To, Peer &Value, TimePoint Now, kernel::Actions &Out,
                            const peer::Heartbeat &Payload) {
  peer::Heartbeat Beat;
  Beat.m_Incarnation = m_Incarnation;
  Beat.m_Sequence = static_cast<std::uint64_t>(Now.time_since_epoch().count());
  Beat.m_State = m_State;
  Beat.m_Hints = Payload.m_Hints;
  Beat.m_Avoid = Payload.m_Avoid;
  Beat.m_Known = heardNames(Now);
  Beat.m_Versions = Payload.m_Versions;
  ++Value.m_Sent;
  Out.emplace_back(kernel::SendPeer{To, std::move(Beat)});
}

void Members::tick(TimePoint Now, kernel::Actions &Out, const peer::Heartbeat &Payload) {
  start(Now);
  dropGone(Now, Out);
  tryJoin(Now);
  for (auto &[Id, Value] : m_Peers) {
    if (Value.m_NextSend > Now) {
      continue;
    }
    sendHeartbeat(Id, Value, Now, Out, Payload);
    const bool First = Value.m_Sent == 1;
    Value.m_NextSend = Now + heartbeatPeriod() - (First ? firstPeriodCut() : Duration{});
  }
  refreshAlive(Now);
}

TimePoint Members::nextTimer() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Id, Value] : m_Peers) {
    Next = std::min(Next, Value.m_NextSend);
  }
  const bool Listening = m_ListedAt && !m_Joined && m_Peers.empty();
  if (Listening) {
    Next = std::min(Next, *m_ListedAt + m_Settings.m_LeaseMargin);
  }
  return Next;
}

void Members::setState(peer::VmState State) {
  if (m_State != peer::VmState::Leaving) {
    m_State = State;
  }
  for (auto &[Id, Value] : m_Peers) {
    Value.m_NextSend = TimePoint{};
  }
}

std::vector<kernel::MemberStatus> Members::status(TimePoint Now) const {
  std::vector<kernel::MemberStatus> Result;
  Result.push_back(kernel::MemberStatus{.m_Vm = m_SelfId,
                                        .m_Name = m_Self.m_Name,
                                        .m_DataCenter = m_Self.m_DataCenter,
                                        .m_Alive = true,
                                        .m_State = m_State,
                                        .m_SilentFor = {},
                                        .m_Versions = {}});
  for (const auto &[Id, Value] : m_Peers) {
    const TimePoint Last = Value.m_HeardAt.value_or(Value.m_KnownAt);
    Result.push_back(kernel::MemberStatus{.m_Vm = Id,
                                          .m_Name = Value.m_Entry.m_Name,
                                          .m_DataCenter = Value.m_Entry.m_DataCenter,
                                          .m_Alive = std::ranges::binary_search(m_Alive, Id),
                                          .m_State = Value.m_State,
                                          .m_SilentFor = Now - Last,
                                          .m_Versions = Value.m_Versions});
  }
  return Result;
}

void Members::updateSettings(const MembershipSettings &Settings) { m_Settings = Settings; }

Duration Members::heartbeatPeriod() const {
  const Duration Grown = PeriodPerVm * static_cast<Duration::rep>(m_Peers.size() + 1);
  const Duration Longest = std::max(m_Settings.m_Lease / 2, m_Settings.m_HeartbeatPeriod);
  return std::clamp(Grown, m_Settings.m_HeartbeatPeriod, Longest);
}

Duration Members::firstPeriodCut() const {
  const std::uint64_t Draw = mix(mix(m_Seed, m_Incarnation), raw(m_SelfId));
  return Duration{static_cast<Duration::rep>(
      Draw % static_cast<std::uint64_t>(m_Settings.m_HeartbeatPeriod.count() / 2 + 1))};
}

Duration Members::ackPeriod() const {
  const Duration Grown = AckPeriodPerVm * static_cast<Duration::rep>(m_Peers.size() + 1);
  return std::max(Grown, m_Settings.m_Lease / 4);
}

Duration Members::aliveTimeout() const {
  return std::max(m_Settings.m_Lease, heartbeatPeriod() * AlivePeriods);
}

} // namespace vanillahill::membership
