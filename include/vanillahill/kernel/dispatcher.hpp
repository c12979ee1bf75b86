/// \file
/// The dispatcher of one service, composed of policies.
#pragma once

#include "vanillahill/kernel/dispatcher_base.hpp"
#include "vanillahill/kernel/kind_table.hpp"
#include "vanillahill/kernel/policy/policy_set.hpp"
#include "vanillahill/kernel/request_outcome.hpp"
#include "vanillahill/kernel/request_table.hpp"

#include <cassert>

namespace vanillahill::kernel {

/// Dispatches the requests of one service according to the policies P. Every event ends with
/// serving the queue, so that no request waits while it could run.
template <PolicySet P> class Dispatcher final : public DispatcherBase {
public:
  /// While requests wait, the queue is served at least once per interval.
  static constexpr Duration QueuePollInterval = std::chrono::milliseconds(10);
  /// How long a server counts as leaving after it last told this VM so.
  static constexpr Duration LeavingTtl = std::chrono::seconds(10);
  /// How long a peer's mark of a server, failing or leaving, holds unless it is repeated.
  static constexpr Duration PeerMarkTtl = std::chrono::seconds(1);
  /// How long a server added by new settings counts as cold and is preferred less.
  static constexpr Duration NewServerColdTime = std::chrono::seconds(2);

  Dispatcher(const DispatcherOptions &Options, DispatcherContext &Context)
      : m_Context(Context), m_MaxVms(Options.m_MaxVms) {
    applySettings(Options.m_Settings, Options.m_Now, Options.m_Now);
  }

  void configure(const ServiceSettings &Settings, TimePoint Now) override {
    applySettings(Settings, Now, Now + NewServerColdTime);
  }

  void setMembers(std::span<const VmId> Alive) override {
    m_Alive.assign(Alive.begin(), Alive.end());
    m_Slots.assign(m_Settings.m_Id, m_Servers, m_Context.m_Self, m_Alive);
  }

  void arrive(RequestId Request, KindId Kind, TimePoint Deadline, TimePoint Now,
              Actions &Out) override {
    const std::optional<KindIndex> Index = m_Kinds.find(Kind);
    if (!Index) {
      Out.push_back(kernel::Answer{.m_Request = Request, .m_Reason = Reason::UnknownKind});
      return;
    }
    ++m_Kinds.counters(*Index).m_Arrived;
    m_Requests.add({.m_Id = Request, .m_Kind = *Index, .m_Arrived = Now, .m_Deadline = Deadline});
    m_Timers.push({.m_At = Deadline, .m_Type = TimerType::Deadline, .m_Request = Request});
    enqueue(Request, Now, Out);
    serveQueue(Now, Out);
  }

  void callerGone(RequestId Request, TimePoint Now, Actions &Out) override {
    RequestState *State = m_Requests.find(Request);
    if (State == nullptr) {
      return;
    }
    if (m_Queue.remove(Request)) {
      State->m_Waiting = false;
    }
    if (State->m_Attempts.empty()) {
      answerWithoutReply(*State, outcomeWithoutReply(*State), Reason::CallerGone, Out);
    } else if (m_Kinds[State->m_Kind].m_Settings.m_Idempotent) {
      answerWithoutReply(*State, Outcome::Unknown, Reason::CallerGone, Out);
    }
    serveQueue(Now, Out);
  }

  void attemptEnded(const AttemptEnded &Ended, TimePoint Now, Actions &Out) override {
    const std::optional<AttemptState> Attempt = m_Requests.removeAttempt(Ended.m_Attempt);
    if (!Attempt) {
      return;
    }
    if (Attempt->m_Slot) {
      m_Slots.release(*Attempt->m_Slot, demand(Now));
    } else {
      --m_OverflowAttempts;
    }
    recordAttemptEnd(*Attempt, Ended, Now);
    if (RequestState *State = m_Requests.find(Attempt->m_Request)) {
      handleAttemptEnd(*State, Ended, Now, Out);
    }
    serveQueue(Now, Out);
  }

  void probeEnded(const ProbeEnded &Ended, TimePoint Now, Actions &Out) override {
    const std::optional<ServerIndex> Index = m_Servers.find(Ended.m_Server);
    if (!Index) {
      return;
    }
    ServerState &Server = m_Servers.at(*Index);
    if (Ended.m_Healthy && Server.m_Health == Health::Ejected) {
      Server.m_EjectedUntil = Now;
    }
    tick(Now, Out);
  }

  void peerMessage(VmId From, const peer::Message &Message, TimePoint Now, Actions &Out) override {
    m_Slots.handlePeerMessage(From, Message, m_Servers, demand(Now), Out);
    serveQueue(Now, Out);
  }

  void peerHint(VmId From, const peer::ServiceHint &Hint, TimePoint Now) override {
    m_Slots.setHint(From, Hint.m_IdleSlots, Now);
  }

  void peerMark(ServerId Server, bool Leaving, TimePoint Now) override {
    const std::optional<ServerIndex> Index = m_Servers.find(Server);
    if (!Index) {
      return;
    }
    if (Leaving) {
      m_Servers.at(*Index).m_PeerLeavingUntil = Now + PeerMarkTtl;
    } else {
      m_Servers.at(*Index).m_PeerAvoidsUntil = Now + PeerMarkTtl;
    }
  }

  void tick(TimePoint Now, Actions &Out) override {
    fireTimers(Now, Out);
    m_Ejection.startTrials(m_Servers, Now);
    sendProbes(Now, Out);
    serveQueue(Now, Out);
  }

  TimePoint nextTimer(TimePoint Now) const override {
    TimePoint Next = m_Slots.nextTimer(Now);
    if (!m_Timers.empty()) {
      Next = std::min(Next, m_Timers.top().m_At);
    }
    if (m_Queue.size() > 0) {
      Next = std::min({Next, m_Queue.nextDrop(m_Kinds.all()), m_LastServe + QueuePollInterval});
    }
    for (const ServerState &Server : m_Servers.all()) {
      if (Server.m_Health == Health::Ejected) {
        Next = std::min(Next, Server.m_EjectedUntil);
      }
      if (Server.m_Health != Health::Good && m_ProbeSpacing) {
        Next = std::min(Next, Server.m_NextProbe);
      }
    }
    return Next;
  }

  peer::ServiceHint hint() const override {
    return {.m_Service = m_Settings.m_Id,
            .m_IdleSlots = m_Slots.idle(),
            .m_Queued = static_cast<std::uint32_t>(m_Queue.size())};
  }

  const KindSettings *findKind(KindId Kind) const override { return m_Kinds.findSettings(Kind); }

  void appendMarks(TimePoint Now, std::vector<ServerId> &Avoid,
                   std::vector<ServerId> &Leaving) const override {
    for (const ServerState &Server : m_Servers.all()) {
      if (Now < Server.m_LeavingUntil) {
        Leaving.push_back(Server.m_Settings.m_Id);
      } else if (Server.m_Health == Health::Ejected) {
        Avoid.push_back(Server.m_Settings.m_Id);
      }
    }
  }

  void appendStatus(TimePoint Now, NodeStatus &Status) const override {
    appendUsed(m_Kinds.allCounters(), Status.m_Kinds);
    for (const ServerState &Server : m_Servers.all()) {
      Status.m_Servers.push_back({.m_Server = Server.m_Settings.m_Id,
                                  .m_Name = m_Settings.m_Name + "/" + Server.m_Settings.m_Name,
                                  .m_InFlight = Server.m_InFlight,
                                  .m_SlotsHeld = m_Slots.heldAt(Server.m_Settings.m_Id),
                                  .m_Ejected = Server.m_Health != Health::Good,
                                  .m_Leaving = Server.isLeaving(Now),
                                  .m_Probes = Server.m_Probes});
    }
    Status.m_InFlight += m_Requests.attempts();
    Status.m_Queued += m_Queue.size();
  }

  std::size_t unfinished() const override { return m_Requests.size() + m_Requests.attempts(); }

private:
  struct Selection {
    ServerIndex m_Server = 0;
    std::optional<SlotHandle> m_Slot;
  };

  void applySettings(const ServiceSettings &Settings, TimePoint Now, TimePoint ColdUntil) {
    m_Settings = Settings;
    m_Servers.assign(Settings.m_Servers, ColdUntil);
    m_Kinds.assign(Settings, [](const KindState &) {});
    m_Queue.resizeKinds(m_Kinds.size());
    m_Retry.configure(Settings.m_Policy);
    m_Slots.assign(m_Settings.m_Id, m_Servers, m_Context.m_Self, m_Alive);
    configureProbes(Now);
  }

  /// Divides the measuring budget by the largest possible number of VMs and rounds down to whole
  /// probes per second. The sum over all VMs thus stays within the budget even when they disagree
  /// about which VMs are alive.
  void configureProbes(TimePoint Now) {
    const auto PerSecond =
        static_cast<std::uint32_t>(m_Settings.m_Policy.m_MeasuringBudget / m_MaxVms);
    m_ProbeSpacing.reset();
    if (PerSecond > 0) {
      m_ProbeSpacing = Duration(std::chrono::seconds(1)) / PerSecond + std::chrono::milliseconds(1);
    }
    for (ServerState &Server : m_Servers.all()) {
      Server.m_NextProbe = std::max(Server.m_NextProbe, Now + std::chrono::seconds(1));
    }
  }

  Demand demand(TimePoint Now) const { return {.m_Queued = m_Queue.size(), .m_Now = Now}; }

  void enqueue(RequestId Request, TimePoint Now, Actions &Out) {
    RequestState &State = *m_Requests.find(Request);
    State.m_Waiting = true;
    const WaitingRequest Item{.m_Request = Request,
                              .m_Kind = State.m_Kind,
                              .m_WaitingSince = Now,
                              .m_Deadline = State.m_Deadline};
    m_Queue.push(Item, m_Kinds.all(), m_Settings.m_Policy.m_QueueLimit, m_Drops);
    answerDropped(Out);
  }

  void serveQueue(TimePoint Now, Actions &Out) {
    m_LastServe = Now;
    m_Queue.serve(m_Kinds.all(), Now, m_Drops,
                  [&](const WaitingRequest &Item) { return tryStart(Item, Now, Out); });
    answerDropped(Out);
    if (m_Queue.size() > 0) {
      m_Slots.requestSlots(demand(Now), m_Context.m_Random, m_Context.m_Asks, Out);
    }
    m_Slots.flush(m_Servers, demand(Now), Out);
    checkInvariants();
  }

  bool tryStart(const WaitingRequest &Item, TimePoint Now, Actions &Out) {
    RequestState &State = *m_Requests.find(Item.m_Request);
    if (!hasUntriedServer(State, Now)) {
      State.m_Waiting = false;
      const Reason Cause = State.m_Tried.empty() ? Reason::NoServer : Reason::AttemptsRefused;
      answerWithoutReply(State, outcomeWithoutReply(State), Cause, Out);
      return true;
    }
    const bool WaitedLong = Now - Item.m_WaitingSince > m_Kinds[Item.m_Kind].usualTime() / 2;
    const std::optional<Selection> Chosen = selectServer(State, WaitedLong, Now);
    if (!Chosen) {
      return false;
    }
    State.m_Waiting = false;
    if (const Reason Cause = checkGate(State, Now); Cause != Reason::None) {
      releaseSlot(*Chosen, Now);
      answerWithoutReply(State, outcomeWithoutReply(State), Cause, Out);
      return true;
    }
    if (State.m_Tried.empty()) {
      m_Retry.recordFirstAttempt();
    }
    startAttempt(State, *Chosen, Now, Out);
    return true;
  }

  Reason checkGate(const RequestState &State, TimePoint Now) {
    if (isIdempotent(State) || m_Context.m_Gate == nullptr) {
      return Reason::None;
    }
    return m_Context.m_Gate->mayDispatch(State.m_Id, Now);
  }

  void releaseSlot(const Selection &Chosen, TimePoint Now) {
    if (Chosen.m_Slot) {
      m_Slots.release(*Chosen.m_Slot, demand(Now));
    }
  }

  bool isIdempotent(const RequestState &State) const {
    return m_Kinds[State.m_Kind].m_Settings.m_Idempotent;
  }

  /// Whether a server is left that may take the request, now or once it has a free slot.
  bool hasUntriedServer(const RequestState &State, TimePoint Now) const {
    if (State.m_Tried.size() == MaxAttempts) {
      return false;
    }
    for (ServerIndex Index = 0; Index < m_Servers.size(); ++Index) {
      const ServerState &Server = m_Servers.at(Index);
      if (!Server.isLeaving(Now) && !State.wasTried(Server.m_Settings.m_Id)) {
        return true;
      }
    }
    return false;
  }

  /// Selects a server with an idle slot, else one for an overflow attempt, which runs without a
  /// slot. A request that waited long may also go to a suspect server, and may always overflow if
  /// this VM holds no slot: with more VMs than slots, slot requests may fail for a long time.
  std::optional<Selection> selectServer(const RequestState &State, bool WaitedLong, TimePoint Now) {
    if (std::optional<Selection> Held = selectWithHeldSlot(State, false, Now)) {
      return Held;
    }
    const bool MayOverflow =
        m_Slots.mayOverflow(m_Servers, Now) || (WaitedLong && m_Slots.held() == 0);
    if (std::optional<Selection> Overflow =
            MayOverflow ? selectForOverflow(State, Now) : std::nullopt) {
      return Overflow;
    }
    return WaitedLong ? selectWithHeldSlot(State, true, Now) : std::nullopt;
  }

  std::optional<Selection> selectWithHeldSlot(const RequestState &State, bool MayUseSuspect,
                                              TimePoint Now) {
    const std::span<const std::uint32_t> Idle = m_Slots.idleByServer(m_Servers, Now);
    collectCandidates(State, MayUseSuspect, Now,
                      [Idle](ServerIndex Index) { return Idle[Index] > 0; });
    if (m_Candidates.empty()) {
      return std::nullopt;
    }
    const ServerIndex Server = m_Choice.choose(m_Servers, m_Candidates, Now, m_Context.m_Random);
    return Selection{.m_Server = Server, .m_Slot = m_Slots.take(m_Servers, Server, Now)};
  }

  /// Selects a server for an attempt without a slot. At most as many such attempts run at once as
  /// slots are held, or MinOverflowLimit if that is more.
  std::optional<Selection> selectForOverflow(const RequestState &State, TimePoint Now) {
    constexpr std::uint32_t MinOverflowLimit = 2;
    const std::uint32_t OverflowLimit = std::max(MinOverflowLimit, m_Slots.held());
    if (m_OverflowAttempts >= OverflowLimit) {
      return std::nullopt;
    }
    collectCandidates(State, false, Now, [&](ServerIndex Index) {
      const ServerState &Server = m_Servers.at(Index);
      return Server.m_Health == Health::Good && Server.m_InFlight < Server.m_Settings.m_Slots;
    });
    if (m_Candidates.empty()) {
      return std::nullopt;
    }
    return Selection{.m_Server = m_Choice.choose(m_Servers, m_Candidates, Now, m_Context.m_Random),
                     .m_Slot = std::nullopt};
  }

  template <typename F>
  void collectCandidates(const RequestState &State, bool MayUseSuspect, TimePoint Now,
                         F &&HasRoom) {
    m_Candidates.clear();
    for (ServerIndex Index = 0; Index < m_Servers.size(); ++Index) {
      const bool Usable = m_Ejection.mayUse(m_Servers, Index, isIdempotent(State), Now) &&
                          !State.wasTried(m_Servers.at(Index).m_Settings.m_Id) &&
                          (MayUseSuspect || !m_Ejection.isSuspect(m_Servers, Index, Now));
      if (Usable && HasRoom(Index)) {
        m_Candidates.push_back(Index);
      }
    }
  }

  void startAttempt(RequestState &State, const Selection &Chosen, TimePoint Now, Actions &Out) {
    ServerState &Server = m_Servers.at(Chosen.m_Server);
    const KindState &Kind = m_Kinds[State.m_Kind];
    const AttemptState Attempt{.m_Id = AttemptId{m_Context.m_NextAttempt++},
                               .m_Request = State.m_Id,
                               .m_Kind = State.m_Kind,
                               .m_Server = Server.m_Settings.m_Id,
                               .m_Started = Now,
                               .m_Slot = Chosen.m_Slot};
    Server.updateSlowEvidence(Now);
    Server.m_UsualSeconds = Kind.m_UsualSeconds.value();
    ++Server.m_InFlight;
    if (!Chosen.m_Slot) {
      ++m_OverflowAttempts;
    }
    m_Requests.addAttempt(State, Attempt);
    if (const std::optional<Duration> Delay = m_Retry.hedgeDelay(Kind)) {
      m_Timers.push({.m_At = Now + *Delay, .m_Type = TimerType::Hedge, .m_Request = State.m_Id});
    }
    Out.push_back(Dispatch{.m_Request = State.m_Id,
                           .m_Attempt = Attempt.m_Id,
                           .m_Server = Attempt.m_Server,
                           .m_Deadline = State.m_Deadline});
  }

  /// Updates the state of the server and the usual time of the kind from the result of an attempt.
  void recordAttemptEnd(const AttemptState &Attempt, const AttemptEnded &Ended, TimePoint Now) {
    const std::optional<ServerIndex> Index = m_Servers.find(Attempt.m_Server);
    if (!Index) {
      return;
    }
    ServerState &Server = m_Servers.at(*Index);
    Server.updateSlowEvidence(Now);
    --Server.m_InFlight;
    if (Ended.m_ServerLeaving) {
      Server.m_LeavingUntil = Now + LeavingTtl;
    }
    if (Attempt.m_Cancelled) {
      return;
    }
    if (Ended.m_Result != AttemptResult::Completed) {
      m_Ejection.recordFailure(m_Servers, *Index, Ended.m_Result, Now, m_Context.m_Random);
    } else if (isServerError(*Ended.m_Reply)) {
      m_Ejection.recordFailure(m_Servers, *Index, AttemptResult::Unknown, Now, m_Context.m_Random);
    } else {
      Server.recordCompletion();
      recordDuration(Server, m_Kinds[Attempt.m_Kind], Now - Attempt.m_Started, Now);
      m_Ejection.recordSuccess(m_Servers, *Index, Now);
    }
  }

  static void recordDuration(ServerState &Server, KindState &Kind, Duration Elapsed,
                             TimePoint Now) {
    const double Seconds = std::chrono::duration<double>(Elapsed).count();
    if (!Kind.m_UsualSeconds.empty()) {
      Server.recordSlowness(Seconds / Kind.m_UsualSeconds.value(), Now);
    }
    Kind.m_UsualSeconds.add(Seconds);
  }

  /// Answers or retries a request after one of its attempts ended.
  void handleAttemptEnd(RequestState &State, const AttemptEnded &Ended, TimePoint Now,
                        Actions &Out) {
    if (Ended.m_Result == AttemptResult::Completed) {
      const bool Failed = isServerError(*Ended.m_Reply);
      if (!Failed || !retryServerError(State, Now, Out)) {
        answerWithReply(State, Ended.m_Reply, Out);
      }
      return;
    }
    if (Ended.m_Result == AttemptResult::Unknown) {
      State.m_MayHaveRun = true;
    }
    if (!State.m_Attempts.empty()) {
      return;
    }
    const RetryVerdict Verdict = m_Retry.decideRetry(Ended.m_Result, isIdempotent(State));
    if (Verdict == RetryVerdict::Retry) {
      retryRequest(State, retryReason(Ended.m_Result), Now, Out);
      return;
    }
    answerWithoutReply(State, outcomeWithoutReply(State), noRetryReason(State, Verdict), Out);
  }

  /// Retries an idempotent request on another server after a server error.
  /// \return whether the request was queued again
  bool retryServerError(RequestState &State, TimePoint Now, Actions &Out) {
    if (!isIdempotent(State) || !State.m_Attempts.empty() || !hasUntriedServer(State, Now)) {
      return false;
    }
    if (m_Retry.decideRetry(AttemptResult::Unknown, true) != RetryVerdict::Retry) {
      return false;
    }
    State.m_MayHaveRun = true;
    retryRequest(State, RetryReason::LostIdempotent, Now, Out);
    return true;
  }

  void retryRequest(RequestState &State, RetryReason Cause, TimePoint Now, Actions &Out) {
    ++m_Kinds.counters(State.m_Kind).m_Retries[static_cast<std::size_t>(Cause)];
    enqueue(State.m_Id, Now, Out);
  }

  void answerWithReply(RequestState &State, const ReplyPtr &FullReply, Actions &Out) {
    ++m_Kinds.counters(State.m_Kind).m_Completed;
    Out.push_back(kernel::Answer{
        .m_Request = State.m_Id, .m_Outcome = Outcome::Completed, .m_Reply = FullReply});
    finishRequest(State, Out);
  }

  void answerWithoutReply(RequestState &State, Outcome RequestOutcome, Reason Cause, Actions &Out) {
    KindCounters &Counters = m_Kinds.counters(State.m_Kind);
    auto &ByReason = RequestOutcome == Outcome::NotRun ? Counters.m_NotRun : Counters.m_Unknown;
    ++ByReason[static_cast<std::size_t>(Cause)];
    Out.push_back(kernel::Answer{.m_Request = State.m_Id,
                                 .m_Outcome = RequestOutcome,
                                 .m_Reason = Cause,
                                 .m_RetryAfter = retryAfter(Cause, m_Context.m_Random)});
    finishRequest(State, Out);
  }

  /// Cancels the running attempts of an answered request and removes the request.
  void finishRequest(RequestState &State, Actions &Out) {
    for (const AttemptId Attempt : State.m_Attempts) {
      m_Requests.markCancelled(Attempt);
      Out.push_back(CancelAttempt{Attempt});
    }
    m_Requests.remove(State.m_Id);
  }

  void answerDropped(Actions &Out) {
    std::vector<DroppedRequest> Drops;
    Drops.swap(m_Drops);
    for (const DroppedRequest &Drop : Drops) {
      RequestState &State = *m_Requests.find(Drop.m_Request);
      State.m_Waiting = false;
      answerWithoutReply(State, outcomeWithoutReply(State), Drop.m_Reason, Out);
    }
  }

  void fireTimers(TimePoint Now, Actions &Out) {
    while (!m_Timers.empty() && m_Timers.top().m_At <= Now) {
      const Timer Due = m_Timers.top();
      m_Timers.pop();
      RequestState *State = m_Requests.find(Due.m_Request);
      if (State == nullptr) {
        continue;
      }
      if (Due.m_Type == TimerType::Deadline) {
        handleMissedDeadline(*State, Out);
      } else {
        sendHedge(*State, Now, Out);
      }
    }
  }

  void handleMissedDeadline(RequestState &State, Actions &Out) {
    if (m_Queue.remove(State.m_Id)) {
      State.m_Waiting = false;
    }
    if (State.m_Attempts.empty()) {
      answerWithoutReply(State, outcomeWithoutReply(State), Reason::DeadlineMissed, Out);
    } else {
      answerWithoutReply(State, Outcome::Unknown, Reason::DeadlineRunning, Out);
    }
  }

  /// Sends a second attempt of a slow idempotent request if an idle slot is held and nothing waits.
  void sendHedge(RequestState &State, TimePoint Now, Actions &Out) {
    if (State.m_Waiting || State.m_Attempts.size() != 1 || !hasUntriedServer(State, Now) ||
        m_Queue.size() > 0) {
      return;
    }
    const std::optional<Selection> Chosen = selectWithHeldSlot(State, false, Now);
    if (!Chosen) {
      return;
    }
    if (!m_Retry.takeHedge()) {
      releaseSlot(*Chosen, Now);
      return;
    }
    ++m_Kinds.counters(State.m_Kind).m_Retries[static_cast<std::size_t>(RetryReason::Hedge)];
    startAttempt(State, *Chosen, Now, Out);
  }

  void sendProbes(TimePoint Now, Actions &Out) {
    if (!m_ProbeSpacing) {
      return;
    }
    for (ServerState &Server : m_Servers.all()) {
      if (Server.m_Health != Health::Good && Now >= Server.m_NextProbe) {
        Server.m_NextProbe = Now + *m_ProbeSpacing;
        ++Server.m_Probes;
        Out.push_back(Probe{Server.m_Settings.m_Id});
      }
    }
  }

  void checkInvariants() const {
#ifndef NDEBUG
    std::size_t InFlight = 0;
    for (const ServerState &Server : m_Servers.all()) {
      InFlight += Server.m_InFlight;
    }
    assert(InFlight <= m_Requests.attempts());
    assert(m_Queue.size() <= m_Requests.size());
    assert(m_Drops.empty());
    assert(m_OverflowAttempts <= m_Requests.attempts());
#endif
  }

  DispatcherContext &m_Context;
  std::uint32_t m_MaxVms;
  ServiceSettings m_Settings;
  std::vector<VmId> m_Alive;
  ServerTable m_Servers;
  KindTable<KindState> m_Kinds;
  RequestTable m_Requests;
  TimerQueue m_Timers;
  typename P::Choice m_Choice;
  typename P::Queue m_Queue;
  typename P::Retry m_Retry;
  typename P::Ejection m_Ejection;
  typename P::Slots m_Slots;
  std::uint32_t m_OverflowAttempts = 0;
  std::optional<Duration> m_ProbeSpacing;
  TimePoint m_LastServe{};
  /// Scratch space of collectCandidates().
  std::vector<ServerIndex> m_Candidates;
  /// Requests that the queue dropped and that are not answered yet; empty between events.
  std::vector<DroppedRequest> m_Drops;
};

/// \brief Makes a dispatcher with the policies P; passed to PolicyRegistration as the factory.
template <PolicySet P>
std::unique_ptr<DispatcherBase> makePolicySet(const DispatcherOptions &Options,
                                              DispatcherContext &Context) {
  return std::make_unique<Dispatcher<P>>(Options, Context);
}

} // namespace vanillahill::kernel
