/// \file
/// State of a kernel and its handlers of events.
#pragma once

#include "vanillahill/config/replica.hpp"
#include "vanillahill/idempotency/key_guard.hpp"
#include "vanillahill/kernel/dispatcher_base.hpp"
#include "vanillahill/kernel/held_counters.hpp"
#include "vanillahill/kernel/node.hpp"
#include "vanillahill/kernel/open_requests.hpp"
#include "vanillahill/kernel/tenants/tenant_caps.hpp"
#include "vanillahill/membership/members.hpp"
#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <unordered_set>

namespace vanillahill::kernel {

struct Node::State final : DispatchGate {
  explicit State(NodeOptions Options);

  Reason mayDispatch(RequestId Request, TimePoint Now) override {
    if (!m_Settings->m_Idempotency.m_Enabled) {
      return Reason::None;
    }
    return m_KeyGuard.mayDispatch(Request, m_Members.view(Now));
  }

  /// Applies the settings of NodeOptions, if any, at the first event.
  void applyInitialSettings(TimePoint Now, Actions &Out) {
    if (!m_Settings && m_Options.m_Settings) {
      Out.push_back(SettingsChanged{});
      applySettings(m_Options.m_Settings, Now);
    }
  }

  void applySettings(std::shared_ptr<const SiteSettings> Settings, TimePoint Now) {
    m_Settings = std::move(Settings);
    m_Members.updateSettings(m_Settings->m_Membership);
    m_KeyGuard.updateSettings(m_Settings->m_Idempotency);
    m_TenantCaps.configure(*m_Settings, Now);
    for (auto &[Id, Dispatcher] : m_Dispatchers) {
      const bool StillConfigured =
          std::any_of(m_Settings->m_Services.begin(), m_Settings->m_Services.end(),
                      [Id = Id](const auto &Service) { return Service.m_Id == Id; });
      if (!StillConfigured) {
        Dispatcher->configure(ServiceSettings{.m_Id = Id}, Now);
      }
    }
    for (const ServiceSettings &Service : m_Settings->m_Services) {
      configureService(Service, Now);
    }
    std::size_t Servers = 0;
    for (const ServiceSettings &Service : m_Settings->m_Services) {
      Servers += usedServerCount(Service.m_Servers);
    }
    m_Context.m_Reach.setServerCount(Servers);
    for (const auto &[Id, Dispatcher] : m_Dispatchers) {
      markDispatcherChanged(Id);
    }
    startServingIfReady();
    m_SlotVms.clear();
    updateSlotVms();
  }

  /// Applies the settings of the configuration replica when they changed, unless NodeOptions fixed
  /// them.
  void applyReplicaSettings(TimePoint Now) {
    const std::shared_ptr<const SiteSettings> Settings = m_Replica.settings();
    if (Settings && Settings != m_Settings && !m_Options.m_Settings) {
      applySettings(Settings, Now);
    }
  }

  void configureService(const ServiceSettings &Service, TimePoint Now) {
    const auto Found = m_Dispatchers.find(Service.m_Id);
    if (Found != m_Dispatchers.end()) {
      Found->second->configure(Service, Now);
      return;
    }
    const DispatcherOptions Options{
        .m_Settings = Service, .m_MaxVms = m_Settings->m_Membership.m_MaxVms, .m_Now = Now};
    m_Dispatchers.emplace(Service.m_Id, makeDispatcher(Options, m_Context));
  }

  /// Changes the state from Starting to Serving once the VM has settings and has joined the
  /// membership.
  void startServingIfReady() {
    const bool Starting = m_Members.state() == peer::VmState::Starting;
    if (Starting && m_Settings && m_Members.joined()) {
      m_Members.setState(peer::VmState::Serving);
    }
  }

  /// Passes to the dispatchers which VMs divide the slots among themselves: those that are alive,
  /// and this VM unless it is leaving. This VM is included even before it has joined; otherwise it
  /// could serve nothing while the VM list is unavailable.
  void updateSlotVms() {
    const std::span<const VmId> Alive = m_Members.alive();
    std::vector<VmId> SlotVms(Alive.begin(), Alive.end());
    const auto Position = std::lower_bound(SlotVms.begin(), SlotVms.end(), m_Context.m_Self);
    const bool IncludesSelf = Position != SlotVms.end() && *Position == m_Context.m_Self;
    if (!IncludesSelf && !m_AcceptUntil) {
      SlotVms.insert(Position, m_Context.m_Self);
    }
    if (SlotVms == m_SlotVms) {
      return;
    }
    m_SlotVms = std::move(SlotVms);
    for (auto &[Id, Dispatcher] : m_Dispatchers) {
      Dispatcher->setMembers(m_SlotVms);
      markDispatcherChanged(Id);
    }
  }

  /// Notes that an event may have changed a dispatcher's timer; see updateDispatcherTimers().
  void markDispatcherChanged(ServiceId Service) { m_ChangedDispatchers.push_back(Service); }

  void updateDispatcherTimers(TimePoint Now) {
    if (m_EndsRequests) {
      m_ChangedDispatchers.clear();
      return;
    }
    for (const ServiceId Service : m_ChangedDispatchers) {
      const TimePoint Next = findDispatcher(Service)->nextTimer(Now);
      auto [Known, Inserted] = m_NextTimers.try_emplace(Service, Next);
      if (!Inserted && Known->second != Next) {
        m_TimerQueue.erase({Known->second, Service});
        Known->second = Next;
        Inserted = true;
      }
      if (Inserted && Next != TimePoint::max()) {
        m_TimerQueue.emplace(Next, Service);
      }
    }
    m_ChangedDispatchers.clear();
  }

  /// Calls tick() of each dispatcher whose timer has expired.
  void tickDueDispatchers(TimePoint Now, Actions &Out) {
    for (const auto &[At, Service] : m_TimerQueue) {
      if (At > Now) {
        return;
      }
      findDispatcher(Service)->tick(Now, Out);
      markDispatcherChanged(Service);
    }
  }

  DispatcherBase *findDispatcher(ServiceId Service) {
    const auto Found = m_Dispatchers.find(Service);
    return Found == m_Dispatchers.end() ? nullptr : Found->second.get();
  }

  const KindSettings *findKind(ServiceId Service, KindId Kind) {
    const DispatcherBase *Found = findDispatcher(Service);
    return Found == nullptr ? nullptr : Found->findKind(Kind);
  }

  void onEvent(const RequestArrived &Input, TimePoint Now, Actions &Out);
  void admit(const RequestArrived &Input, TimePoint Now, Actions &Out);

  void endWait(const tenants::Admitted &Ended, TimePoint Now, Actions &Out);
  void passToDispatcher(RequestId Request, TimePoint Now, Actions &Out);

  void onEvent(const CallerGone &Input, TimePoint Now, Actions &Out);
  void onEvent(const AttemptEnded &Input, TimePoint Now, Actions &Out);

  void onEvent(const ProbeEnded &Input, TimePoint Now, Actions &Out) {
    if (m_EndsRequests) {
      return;
    }
    for (auto &[Id, Dispatcher] : m_Dispatchers) {
      Dispatcher->probeEnded(Input, Now, Out);
      markDispatcherChanged(Id);
    }
  }

  void onEvent(const PeerReceived &Input, TimePoint Now, Actions &Out);
  void onHeartbeat(VmId From, const peer::Heartbeat &Beat, TimePoint Now, Actions &Out);

  void onEvent(const VmListRead &Input, TimePoint Now, Actions &Out) {
    m_Members.onVmList(Input.m_Vms, Now, Out);
    tickMembership(Now, Out);
  }

  void onEvent(const LogRead &Input, TimePoint Now, Actions &Out) {
    m_Replica.onLogRead(Input, Now, Out);
    applyReplicaSettings(Now);
  }

  void onEvent(const SettingsRead &Input, TimePoint Now, Actions &Out) {
    applySettings(Input.m_Settings, Now);
    Out.push_back(SettingsChanged{});
  }

  void onEvent(const ServerFailureHeard &Input, TimePoint Now, Actions & /*Out*/) {
    for (auto &[Id, Dispatcher] : m_Dispatchers) {
      Dispatcher->peerMark(Input.m_Server, false, Now);
    }
  }

  void onEvent(const ServerLimitReceived &Input, TimePoint Now, Actions &Out) {
    if (m_EndsRequests) {
      return;
    }
    for (auto &[Id, Dispatcher] : m_Dispatchers) {
      Dispatcher->limitAnnounced(Input, Now, Out);
    }
  }

  void onEvent(const ServerColdReceived &Input, TimePoint Now, Actions &Out) {
    if (m_EndsRequests) {
      return;
    }
    for (auto &[Id, Dispatcher] : m_Dispatchers) {
      Dispatcher->coldAnnounced(Input, Now, Out);
    }
  }

  void onEvent(const CountingVmsChanged &Input, TimePoint Now, Actions & /*Out*/) {
    m_TenantCaps.setCountingVms(Input.m_Groups, Now);
  }

  void onEvent(const TenantQueryReceived &Input, TimePoint Now, Actions &Out) {
    m_TenantCaps.onQuery(Input.m_Query, Now, Out);
  }

  void onEvent(const TenantVerdictReceived &Input, TimePoint Now, Actions &Out) {
    if (const auto Ended = m_TenantCaps.onVerdict(Input.m_FromIp, Input.m_Verdict, Now, Out)) {
      endWait(*Ended, Now, Out);
    }
  }

  void onEvent(const TenantReturnReceived &Input, TimePoint Now, Actions & /*Out*/) {
    m_TenantCaps.onReturn(Input.m_Returned, Now);
  }

  void onEvent(const TokenRequestReceived &Input, TimePoint Now, Actions &Out) {
    DispatcherBase *Dispatcher = findDispatcher(Input.m_Request.m_Service);
    if (Dispatcher != nullptr && !m_EndsRequests) {
      Dispatcher->tokensRequested(Input, Now, Out);
    }
  }

  void onEvent(const TokenGrantReceived &Input, TimePoint Now, Actions & /*Out*/) {
    if (DispatcherBase *Dispatcher = findDispatcher(Input.m_Grant.m_Service)) {
      Dispatcher->tokensGranted(Input.m_Grant, Now);
    }
  }

  void onEvent(const CrashReportReceived &Input, TimePoint Now, Actions &Out);

  void onEvent(const HelpersChanged &Input, TimePoint /*Now*/, Actions & /*Out*/) {
    m_Context.m_Helpers.set(Input.m_Helpers);
  }

  void onEvent(const ReachAnnounced &Input, TimePoint Now, Actions & /*Out*/) {
    m_Context.m_Helpers.noteAnnounced(Input.m_Helper, Input.m_IsCutOff, Now);
  }

  void onEvent(const FleetChanged &Input, TimePoint Now, Actions &Out);

  void onEvent(const StopRequested &Input, TimePoint Now, Actions &Out) {
    if (!m_AcceptUntil) {
      m_AcceptUntil = Now + m_Options.m_DrainLinger;
      if (Input.m_EndsAfter) {
        m_Context.m_EndsAt = Now + *Input.m_EndsAfter;
        Out.push_back(EndWaitingAttempts{m_Context.m_EndsAt});
      }
      m_Members.setState(peer::VmState::Leaving);
      tickMembership(Now, Out);
    }
  }

  void onEvent(const StopOverdue & /*Input*/, TimePoint Now, Actions &Out) {
    if (m_EndsRequests) {
      return;
    }
    m_EndsRequests = true;
    m_AcceptUntil = std::min(m_AcceptUntil.value_or(Now), Now);
    m_TimerQueue.clear();
    m_OpenRequests.endAll(Now, Out);
  }

  void onEvent(const TimerFired & /*Input*/, TimePoint Now, Actions &Out) {
    tickMembership(Now, Out);
    m_KeyGuard.tick(Now, Out);
    m_Replica.tick(Now, Out);
    for (const tenants::Admitted &Ended : m_TenantCaps.tick(Now, Out)) {
      endWait(Ended, Now, Out);
    }
    tickDueDispatchers(Now, Out);
  }

  void tickMembership(TimePoint Now, Actions &Out);
  peer::Heartbeat makeHeartbeat(TimePoint Now) const;

  void recordActions(std::size_t FirstIndex, TimePoint Now, Actions &Out);
  void closeRequest(const Answer &Final, TimePoint Now, Actions &Out);

  void stopIfDrained(TimePoint Now, Actions &Out) {
    if (!m_AcceptUntil || Now < *m_AcceptUntil) {
      return;
    }
    if (!m_StoppedAccepting) {
      m_StoppedAccepting = true;
      Out.push_back(StopAccepting{});
    }
    if (m_OpenRequests.empty() && !m_Stopped) {
      m_Stopped = true;
      Out.push_back(Stopped{});
    }
  }

  TimePoint nextTimer() const {
    TimePoint Next = std::min({m_Members.nextTimer(), m_KeyGuard.nextTimer(), m_Replica.nextTimer(),
                               m_TenantCaps.nextTimer()});
    if (m_AcceptUntil && m_Now < *m_AcceptUntil) {
      Next = std::min(Next, *m_AcceptUntil);
    }
    if (!m_TimerQueue.empty()) {
      Next = std::min(Next, m_TimerQueue.begin()->first);
    }
    return Next;
  }

  NodeStatus status(TimePoint Now) const {
    NodeStatus Status{.m_Name = m_Options.m_Name,
                      .m_State = m_Members.state(),
                      .m_HasLease = m_Members.hasLease(Now),
                      .m_Versions = m_Replica.versions(),
                      .m_Members = m_Members.status(Now),
                      .m_Keys = m_KeyGuard.size(),
                      .m_PeerMessagesSent = m_PeerMessagesSent,
                      .m_PoisonRequests = m_Context.m_Poison.suspects()};
    for (const auto &[Id, Dispatcher] : m_Dispatchers) {
      Dispatcher->appendStatus(Now, Status);
    }
    m_HeldCounters.appendTo(Status);
    m_TenantCaps.appendStatus(Now, Status);
    for (const auto &Each : m_Settings
                                ? std::span<const EvacuatedDataCenter>(m_Settings->m_Evacuated)
                                : std::span<const EvacuatedDataCenter>()) {
      Status.m_Evacuated.push_back({.m_DataCenter = Each.m_Name, .m_For = Now - Each.m_Since});
    }
    return Status;
  }

  NodeOptions m_Options;
  DispatcherContext m_Context;
  membership::Members m_Members;
  idempotency::KeyGuard m_KeyGuard;
  const std::vector<std::string_view> m_PolicyNames = policyNames();
  config::Replica m_Replica;
  tenants::TenantCaps m_TenantCaps;
  /// File versions last received from each VM.
  std::map<VmId, std::vector<peer::FileVersion>> m_PeerVersions;
  std::shared_ptr<const SiteSettings> m_Settings;
  std::map<ServiceId, std::unique_ptr<DispatcherBase>> m_Dispatchers;
  /// Next timer of each dispatcher, including those that have none (max()).
  std::map<ServiceId, TimePoint> m_NextTimers;
  /// The timers other than max(), in order of time.
  std::set<std::pair<TimePoint, ServiceId>> m_TimerQueue;
  /// Dispatchers whose timers the present event may have changed; may hold duplicates.
  std::vector<ServiceId> m_ChangedDispatchers;
  OpenRequests m_OpenRequests;
  HeldCounters m_HeldCounters;
  /// VMs that divide the slots, as last passed to DispatcherBase::setMembers().
  std::vector<VmId> m_SlotVms;
  /// Until when new requests are still accepted; set once a stop is requested.
  std::optional<TimePoint> m_AcceptUntil;
  /// Set by StopOverdue. From then on the dispatchers neither get events nor fire timers, since
  /// they would send requests that are already ended.
  bool m_EndsRequests = false;
  bool m_StoppedAccepting = false;
  bool m_Stopped = false;
  std::uint64_t m_PeerMessagesSent = 0;
  TimePoint m_Now{};
};

} // namespace vanillahill::kernel
