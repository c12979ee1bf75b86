#include "vanillahill/kernel/node.hpp"

#include "vanillahill/config/replica.hpp"
#include "vanillahill/idempotency/key_guard.hpp"
#include "vanillahill/kernel/dispatcher_base.hpp"
#include "vanillahill/membership/members.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>

namespace vanillahill::kernel {

namespace {

membership::MembersOptions membersOptions(const NodeOptions &Options) {
  return {.m_Self = {.m_Name = Options.m_Name,
                     .m_PeerAddress = Options.m_PeerAddress,
                     .m_DataCenter = Options.m_DataCenter},
          .m_Incarnation = Options.m_Incarnation,
          .m_Settings = {},
          .m_Seed = Options.m_Seed};
}

/// The service that a slot message is about; nothing for other messages.
std::optional<ServiceId> serviceOf(const peer::Message &Message) {
  if (const auto *Request = std::get_if<peer::SlotRequest>(&Message)) {
    return Request->m_Service;
  }
  if (const auto *Loan = std::get_if<peer::SlotLoan>(&Message)) {
    return Loan->m_Service;
  }
  if (const auto *Returned = std::get_if<peer::SlotReturn>(&Message)) {
    return Returned->m_Service;
  }
  return std::nullopt;
}

/// A request that has no answer yet.
struct OpenRequest {
  ServiceId m_Service{};
  KindId m_Kind{};
  TimePoint m_Deadline{};
  /// Must not run twice.
  bool m_Guarded = false;
  /// Handed to the dispatcher; before that its peers are asked for its key.
  bool m_Running = false;
};

} // namespace

struct Node::State final : DispatchGate {
  explicit State(NodeOptions Given)
      : m_Options(std::move(Given)), m_Members(membersOptions(m_Options)),
        m_Keys({.m_Settings = {},
                .m_Incarnation = m_Options.m_Incarnation,
                .m_Seed = m_Options.m_Seed}),
        m_Replica({.m_Site = m_Options.m_Site,
                   .m_Seed = m_Options.m_Seed ^ raw(idOf<VmId>(m_Options.m_Name)),
                   .m_Policies = m_Policies}) {
    m_Context.m_Self = idOf<VmId>(m_Options.m_Name);
    m_Context.m_DataCenter = m_Options.m_DataCenter;
    m_Context.m_Gate = this;
    m_Context.m_Random.seed(m_Options.m_Seed);
  }

  Reason mayDispatch(RequestId Request, TimePoint Now) override {
    if (!m_Settings->m_Idempotency.m_Enabled) {
      return Reason::None;
    }
    return m_Keys.mayDispatch(Request, m_Members.view(Now));
  }

  /// Puts the settings in force that were given at the start.
  void begin(TimePoint Now, Actions &Out) {
    if (!m_Settings && m_Options.m_Settings) {
      Out.push_back(SettingsChanged{});
      apply(m_Options.m_Settings, Now);
    }
  }

  void apply(std::shared_ptr<const SiteSettings> Next, TimePoint Now) {
    m_Settings = std::move(Next);
    m_Members.updateSettings(m_Settings->m_Membership);
    m_Keys.updateSettings(m_Settings->m_Idempotency);
    for (auto &[Id, Dispatcher] : m_Dispatchers) {
      const bool Kept = std::any_of(m_Settings->m_Services.begin(), m_Settings->m_Services.end(),
                                    [Id = Id](const auto &Service) { return Service.m_Id == Id; });
      if (!Kept) {
        Dispatcher->configure(ServiceSettings{.m_Id = Id}, Now);
      }
    }
    for (const ServiceSettings &Service : m_Settings->m_Services) {
      applyService(Service, Now);
    }
    for (const auto &[Id, Dispatcher] : m_Dispatchers) {
      touch(Id);
    }
    serveIfReady();
    m_Sharers.clear();
    shareSlots();
  }

  /// Puts in force what the replica has come to.
  void followReplica(TimePoint Now) {
    const std::shared_ptr<const SiteSettings> Next = m_Replica.settings();
    if (Next && Next != m_Settings && !m_Options.m_Settings) {
      apply(Next, Now);
    }
  }

  void applyService(const ServiceSettings &Service, TimePoint Now) {
    const auto Found = m_Dispatchers.find(Service.m_Id);
    if (Found != m_Dispatchers.end()) {
      Found->second->configure(Service, Now);
      return;
    }
    const DispatcherOptions Options{
        .m_Settings = Service, .m_MaxVms = m_Settings->m_Membership.m_MaxVms, .m_Now = Now};
    m_Dispatchers.emplace(Service.m_Id, makeDispatcher(Options, m_Context));
  }

  /// A VM serves once it has settings and has joined the others.
  void serveIfReady() {
    const bool Starting = m_Members.state() == peer::VmState::Starting;
    if (Starting && m_Settings && m_Members.joined()) {
      m_Members.setState(peer::VmState::Serving);
    }
  }

  /// Shares the slots out over the VMs that are alive, with this one unless it leaves. A VM that
  /// has not joined yet counts itself too, or it could serve nothing while the VM list is down.
  void shareSlots() {
    const std::span<const VmId> Alive = m_Members.alive();
    std::vector<VmId> Sharers(Alive.begin(), Alive.end());
    const auto Place = std::lower_bound(Sharers.begin(), Sharers.end(), m_Context.m_Self);
    const bool Present = Place != Sharers.end() && *Place == m_Context.m_Self;
    if (!Present && !m_StopAt) {
      Sharers.insert(Place, m_Context.m_Self);
    }
    if (Sharers == m_Sharers) {
      return;
    }
    m_Sharers = std::move(Sharers);
    for (auto &[Id, Dispatcher] : m_Dispatchers) {
      Dispatcher->setMembers(m_Sharers);
      touch(Id);
    }
  }

  /// Notes that an event changed a dispatcher, so that its timer is read again.
  void touch(ServiceId Service) { m_Touched.push_back(Service); }

  void rescheduleTouched(TimePoint Now) {
    for (const ServiceId Service : m_Touched) {
      const TimePoint Next = find(Service)->nextTimer(Now);
      auto [Known, Inserted] = m_DueAt.try_emplace(Service, Next);
      if (!Inserted && Known->second != Next) {
        m_Due.erase({Known->second, Service});
        Known->second = Next;
        Inserted = true;
      }
      if (Inserted && Next != TimePoint::max()) {
        m_Due.emplace(Next, Service);
      }
    }
    m_Touched.clear();
  }

  /// Lets the dispatchers act whose time has come.
  void tickDue(TimePoint Now, Actions &Out) {
    for (const auto &[At, Service] : m_Due) {
      if (At > Now) {
        return;
      }
      find(Service)->tick(Now, Out);
      touch(Service);
    }
  }

  DispatcherBase *find(ServiceId Service) {
    const auto Found = m_Dispatchers.find(Service);
    return Found == m_Dispatchers.end() ? nullptr : Found->second.get();
  }

  const KindSettings *findKind(ServiceId Wanted, KindId Kind) const {
    if (!m_Settings) {
      return nullptr;
    }
    for (const ServiceSettings &Service : m_Settings->m_Services) {
      if (Service.m_Id != Wanted) {
        continue;
      }
      const auto Found = std::find_if(Service.m_Kinds.begin(), Service.m_Kinds.end(),
                                      [Kind](const auto &Each) { return Each.m_Id == Kind; });
      return Found == Service.m_Kinds.end() ? nullptr : &*Found;
    }
    return nullptr;
  }

  void on(const RequestArrived &Input, TimePoint Now, Actions &Out) {
    const KindSettings *Kind = findKind(Input.m_Service, Input.m_Kind);
    if (Kind == nullptr) {
      const Reason Why = m_Settings ? Reason::UnknownKind : Reason::NotServing;
      Out.push_back(Answer{.m_Request = Input.m_Request, .m_Reason = Why});
      return;
    }
    const Duration Allowed =
        Input.m_TimeLeft ? std::min(Kind->m_Deadline, *Input.m_TimeLeft) : Kind->m_Deadline;
    const bool IsGuarded = !Kind->m_Idempotent && m_Settings->m_Idempotency.m_Enabled;
    const OpenRequest Open{.m_Service = Input.m_Service,
                           .m_Kind = Input.m_Kind,
                           .m_Deadline = Now + Allowed,
                           .m_Guarded = IsGuarded};
    m_Open.emplace(Input.m_Request, Open);
    const auto Verdict = !IsGuarded ? idempotency::Verdict::Run
                                    : m_Keys.arrived(Input.m_Request, Input.m_Key, Input.m_KeyAge,
                                                     m_Members.view(Now), Now, Out);
    if (Verdict == idempotency::Verdict::Run) {
      run(Input.m_Request, Now, Out);
    }
  }

  /// Hands a request to the dispatcher of its service.
  void run(RequestId Request, TimePoint Now, Actions &Out) {
    OpenRequest &Open = m_Open.at(Request);
    Open.m_Running = true;
    find(Open.m_Service)->arrive(Request, Open.m_Kind, Open.m_Deadline, Now, Out);
    touch(Open.m_Service);
  }

  void on(const CallerGone &Input, TimePoint Now, Actions &Out) {
    const auto Found = m_Open.find(Input.m_Request);
    if (Found == m_Open.end()) {
      return;
    }
    if (Found->second.m_Running) {
      find(Found->second.m_Service)->callerGone(Input.m_Request, Now, Out);
      touch(Found->second.m_Service);
    } else if (m_Keys.callerGone(Input.m_Request, Now)) {
      Out.push_back(Answer{.m_Request = Input.m_Request, .m_Reason = Reason::CallerGone});
    }
  }

  void on(const AttemptEnded &Input, TimePoint Now, Actions &Out) {
    const auto Found = m_Attempts.find(Input.m_Attempt);
    if (Found == m_Attempts.end()) {
      return;
    }
    const ServiceId Service = Found->second;
    m_Attempts.erase(Found);
    find(Service)->attemptEnded(Input, Now, Out);
    touch(Service);
  }

  void on(const ProbeEnded &Input, TimePoint Now, Actions &Out) {
    for (auto &[Id, Dispatcher] : m_Dispatchers) {
      Dispatcher->probeEnded(Input, Now, Out);
      touch(Id);
    }
  }

  void on(const PeerReceived &Input, TimePoint Now, Actions &Out) {
    if (const std::optional<ServiceId> Service = serviceOf(Input.m_Message)) {
      if (DispatcherBase *Dispatcher = find(*Service)) {
        Dispatcher->peerMessage(Input.m_From, Input.m_Message, Now, Out);
        touch(*Service);
      }
    } else if (const auto *Beat = std::get_if<peer::Heartbeat>(&Input.m_Message)) {
      onHeartbeat(Input.m_From, *Beat, Now, Out);
    } else if (const auto *Ack = std::get_if<peer::HeartbeatAck>(&Input.m_Message)) {
      m_Members.onAck(Input.m_From, *Ack, Now);
      tick(Now, Out);
    } else if (const auto *Query = std::get_if<peer::KeyQuery>(&Input.m_Message)) {
      m_Keys.onQuery(Input.m_From, *Query, m_Members.view(Now), Now, Out);
    } else if (const auto *Known = std::get_if<peer::KeyAnswer>(&Input.m_Message)) {
      for (const RequestId Request :
           m_Keys.onAnswer(Input.m_From, *Known, m_Members.view(Now), Now, Out)) {
        run(Request, Now, Out);
      }
    } else if (const auto *Push = std::get_if<peer::ConfigPush>(&Input.m_Message)) {
      m_Replica.onPeerRecords(Push->m_Records, Now, Out);
      followReplica(Now);
    } else if (std::holds_alternative<peer::ConfigPull>(Input.m_Message)) {
      m_Replica.onPull(Input.m_From, Out);
    }
  }

  void onHeartbeat(VmId From, const peer::Heartbeat &Beat, TimePoint Now, Actions &Out) {
    m_Members.onHeartbeat(From, Beat, Now, Out);
    std::vector<peer::FileVersion> &Versions = m_PeerVersions[From];
    if (!Beat.m_Versions.empty()) {
      Versions = Beat.m_Versions;
    }
    m_Replica.onPeerVersions(From, Versions, Now, Out);
    for (const peer::ServiceHint &Hint : Beat.m_Hints) {
      if (DispatcherBase *Dispatcher = find(Hint.m_Service)) {
        Dispatcher->peerHint(From, Hint, Now);
      }
    }
    for (auto &[Id, Dispatcher] : m_Dispatchers) {
      for (const ServerId Server : Beat.m_Avoid) {
        Dispatcher->peerMark(Server, false, Now);
      }
      for (const ServerId Server : Beat.m_Leaving) {
        Dispatcher->peerMark(Server, true, Now);
      }
    }
    serveIfReady();
    shareSlots();
  }

  void on(const VmListRead &Input, TimePoint Now, Actions &Out) {
    m_Members.onVmList(Input.m_Vms, Now, Out);
    tick(Now, Out);
  }

  void on(const LogRead &Input, TimePoint Now, Actions &Out) {
    m_Replica.onLogRead(Input, Now, Out);
    followReplica(Now);
  }

  void on(const SettingsRead &Input, TimePoint Now, Actions &Out) {
    apply(Input.m_Settings, Now);
    Out.push_back(SettingsChanged{});
  }

  void on(const ServerFailureHeard &Input, TimePoint Now, Actions & /*Out*/) {
    for (auto &[Id, Dispatcher] : m_Dispatchers) {
      Dispatcher->peerMark(Input.m_Server, false, Now);
    }
  }

  void on(const StopRequested & /*Input*/, TimePoint Now, Actions &Out) {
    if (!m_StopAt) {
      m_StopAt = Now + m_Options.m_DrainLinger;
      m_Members.setState(peer::VmState::Leaving);
      tick(Now, Out);
    }
  }

  void on(const TimerFired & /*Input*/, TimePoint Now, Actions &Out) {
    tick(Now, Out);
    m_Keys.tick(Now, Out);
    m_Replica.tick(Now, Out);
    tickDue(Now, Out);
  }

  /// Sends the heartbeats that are due and follows changes of the membership.
  void tick(TimePoint Now, Actions &Out) {
    serveIfReady();
    if (m_Members.nextTimer() <= Now) {
      m_Members.tick(Now, Out, heartbeat(Now));
      serveIfReady();
    }
    shareSlots();
  }

  peer::Heartbeat heartbeat(TimePoint Now) const {
    peer::Heartbeat Beat{.m_Versions = m_Replica.versions()};
    for (const auto &[Id, Dispatcher] : m_Dispatchers) {
      Beat.m_Hints.push_back(Dispatcher->hint());
      Dispatcher->appendMarks(Now, Beat.m_Avoid, Beat.m_Leaving);
    }
    return Beat;
  }

  /// Keeps the tables in step with what was decided. Answers of the key guard may follow from the
  /// end of a request; they are followed in the same pass.
  void follow(std::size_t First, TimePoint Now, Actions &Out) {
    for (std::size_t Index = First; Index < Out.size(); ++Index) {
      if (const auto *Sent = std::get_if<Dispatch>(&Out[Index])) {
        m_Attempts.emplace(Sent->m_Attempt, m_Open.at(Sent->m_Request).m_Service);
      } else if (const auto *Final = std::get_if<Answer>(&Out[Index])) {
        close(Answer(*Final), Now, Out);
      } else if (std::holds_alternative<SendPeer>(Out[Index])) {
        ++m_MessagesSent;
      }
    }
  }

  void close(const Answer &Final, TimePoint Now, Actions &Out) {
    const auto Found = m_Open.find(Final.m_Request);
    if (Found == m_Open.end()) {
      return;
    }
    const OpenRequest Open = Found->second;
    m_Open.erase(Found);
    if (!Open.m_Running) {
      countGuarded(Open, Final);
    } else if (Open.m_Guarded) {
      m_Keys.finished(Final.m_Request, Final.m_Outcome, Final.m_Reason, Final.m_Reply, Now, Out);
    }
  }

  /// Counts an answer that was given without the dispatcher.
  void countGuarded(const OpenRequest &Open, const Answer &Final) {
    KindCounters &Counters = m_GuardCounters[Open.m_Kind];
    ++Counters.m_Arrived;
    const auto Index = static_cast<std::size_t>(Final.m_Reason);
    switch (Final.m_Outcome) {
    case Outcome::Completed:
      ++Counters.m_Completed;
      return;
    case Outcome::NotRun:
      ++Counters.m_NotRun[Index];
      return;
    case Outcome::Unknown:
      ++Counters.m_Unknown[Index];
      return;
    }
  }

  void stopWhenDone(TimePoint Now, Actions &Out) {
    if (!m_StopAt || Now < *m_StopAt) {
      return;
    }
    if (!m_StoppedAccepting) {
      m_StoppedAccepting = true;
      Out.push_back(StopAccepting{});
    }
    const bool Idle = m_Open.empty() && m_Attempts.empty();
    if (Idle && !m_Stopped) {
      m_Stopped = true;
      Out.push_back(Stopped{});
    }
  }

  TimePoint nextTimer() const {
    TimePoint Next = std::min({m_Members.nextTimer(), m_Keys.nextTimer(), m_Replica.nextTimer()});
    if (m_StopAt && m_Now < *m_StopAt) {
      Next = std::min(Next, *m_StopAt);
    }
    if (!m_Due.empty()) {
      Next = std::min(Next, m_Due.begin()->first);
    }
    return Next;
  }

  NodeStatus status(TimePoint Now) const {
    NodeStatus Status{.m_Name = m_Options.m_Name,
                      .m_State = m_Members.state(),
                      .m_HasLease = m_Members.hasLease(Now),
                      .m_Versions = m_Replica.versions(),
                      .m_Members = m_Members.status(Now),
                      .m_Keys = m_Keys.size(),
                      .m_PeerMessagesSent = m_MessagesSent};
    for (const auto &[Id, Dispatcher] : m_Dispatchers) {
      Dispatcher->appendStatus(Now, Status);
    }
    for (KindCounters &Counters : Status.m_Kinds) {
      const auto Found = m_GuardCounters.find(Counters.m_Kind);
      if (Found != m_GuardCounters.end()) {
        Counters.add(Found->second);
      }
    }
    return Status;
  }

  NodeOptions m_Options;
  DispatcherContext m_Context;
  membership::Members m_Members;
  idempotency::KeyGuard m_Keys;
  const std::vector<std::string_view> m_Policies = policyNames();
  config::Replica m_Replica;
  /// What each VM last said of its versions.
  std::map<VmId, std::vector<peer::FileVersion>> m_PeerVersions;
  std::shared_ptr<const SiteSettings> m_Settings;
  std::map<ServiceId, std::unique_ptr<DispatcherBase>> m_Dispatchers;
  /// When each dispatcher wants to act, and the same in order of time.
  std::map<ServiceId, TimePoint> m_DueAt;
  std::set<std::pair<TimePoint, ServiceId>> m_Due;
  /// Dispatchers that this event changed.
  std::vector<ServiceId> m_Touched;
  std::unordered_map<RequestId, OpenRequest> m_Open;
  std::unordered_map<AttemptId, ServiceId> m_Attempts;
  std::map<KindId, KindCounters> m_GuardCounters;
  /// VMs that share the slots, as last told to the dispatchers.
  std::vector<VmId> m_Sharers;
  std::optional<TimePoint> m_StopAt;
  bool m_StoppedAccepting = false;
  bool m_Stopped = false;
  std::uint64_t m_MessagesSent = 0;
  TimePoint m_Now{};
};

Node::Node(NodeOptions Options) : m_State(std::make_unique<State>(std::move(Options))) {}

Node::~Node() = default;

void Node::handle(const Event &Input, TimePoint Now, Actions &Out) {
  const std::size_t Before = Out.size();
  m_State->m_Now = Now;
  m_State->begin(Now, Out);
  std::visit([&](const auto &Typed) { m_State->on(Typed, Now, Out); }, Input);
  m_State->follow(Before, Now, Out);
  m_State->stopWhenDone(Now, Out);
  m_State->rescheduleTouched(Now);
}

TimePoint Node::nextTimer() const { return m_State->nextTimer(); }

std::shared_ptr<const SiteSettings> Node::settings() const { return m_State->m_Settings; }

NodeStatus Node::status(TimePoint Now) const { return m_State->status(Now); }

} // namespace vanillahill::kernel
