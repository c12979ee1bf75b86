/// \file
/// The dispatcher of one service, put together from policies.
#pragma once

#include "vanillahill/kernel/dispatcher_base.hpp"
#include "vanillahill/kernel/policy/choice.hpp"
#include "vanillahill/kernel/policy/health.hpp"
#include "vanillahill/kernel/policy/queue.hpp"
#include "vanillahill/kernel/policy/retry.hpp"
#include "vanillahill/kernel/policy/slots.hpp"
#include "vanillahill/kernel/request_table.hpp"

#include <cassert>

namespace vanillahill::kernel {

/// A choice of one policy for each concern.
template <typename T>
concept PolicySet = ChoicePolicy<typename T::Choice> && QueuePolicy<typename T::Queue> &&
    RetryPolicy<typename T::Retry> && HealthPolicy<typename T::Ejection> &&
    SlotPolicy<typename T::Slots>;

/// Decides for one service with the policies P. Every event ends with serving the queue, so that
/// no request waits while it could run.
template <PolicySet P> class Dispatcher final : public DispatcherBase {
public:
  /// While requests wait, the queue is served at least this often.
  static constexpr Duration QueuePoll = std::chrono::milliseconds(10);
  /// Word that a server is leaving holds for this long unless it is repeated.
  static constexpr Duration LeavingMemory = std::chrono::seconds(10);
  /// A peer's word that a server fails holds for this long unless it is repeated.
  static constexpr Duration AvoidMemory = std::chrono::seconds(1);
  /// Servers that come new are cold for this long.
  static constexpr Duration ColdTime = std::chrono::seconds(2);

  Dispatcher(const DispatcherOptions &Options, DispatcherContext &Context)
      : m_Context(Context), m_MaxVms(Options.m_MaxVms) {
    configureWith(Options.m_Settings, Options.m_Now, Options.m_Now);
  }

  void configure(const ServiceSettings &Settings, TimePoint Now) override {
    configureWith(Settings, Now, Now + ColdTime);
  }

  void setMembers(std::span<const VmId> Alive) override {
    m_Alive.assign(Alive.begin(), Alive.end());
    m_Slots.assign(m_Settings.m_Id, m_Servers, m_Context.m_Self, m_Alive);
  }

  void arrive(RequestId Request, KindId Kind, TimePoint Deadline, TimePoint Now,
              Actions &Out) override {
    const std::optional<KindIndex> Index = findKind(Kind);
    if (!Index) {
      Out.push_back(kernel::Answer{.m_Request = Request, .m_Reason = Reason::UnknownKind});
      return;
    }
    ++m_Counters[*Index].m_Arrived;
    m_Requests.add({.m_Id = Request, .m_Kind = *Index, .m_Arrived = Now, .m_Deadline = Deadline});
    m_Timers.push({.m_At = Deadline, .m_Type = TimerType::Deadline, .m_Request = Request});
    enqueue(Request, Now, Out);
    serve(Now, Out);
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
      answer(*State, outcomeWithout(*State), Reason::CallerGone, Out);
    } else if (m_Kinds[State->m_Kind].m_Settings.m_Idempotent) {
      answer(*State, Outcome::Unknown, Reason::CallerGone, Out);
    }
    serve(Now, Out);
  }

  void attemptEnded(const AttemptEnded &Ended, TimePoint Now, Actions &Out) override {
    const std::optional<AttemptState> Attempt = m_Requests.removeAttempt(Ended.m_Attempt);
    if (!Attempt) {
      return;
    }
    if (Attempt->m_Slot) {
      m_Slots.release(*Attempt->m_Slot, demand(Now));
    } else {
      --m_Overflowing;
    }
    noteServer(*Attempt, Ended, Now);
    if (RequestState *State = m_Requests.find(Attempt->m_Request)) {
      conclude(*State, Ended, Now, Out);
    }
    serve(Now, Out);
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
    m_Slots.onPeer(From, Message, m_Servers, demand(Now), Out);
    serve(Now, Out);
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
      m_Servers.at(*Index).m_PeerLeavingUntil = Now + AvoidMemory;
    } else {
      m_Servers.at(*Index).m_PeerAvoidsUntil = Now + AvoidMemory;
    }
  }

  void tick(TimePoint Now, Actions &Out) override {
    fireTimers(Now, Out);
    m_Ejection.tick(m_Servers, Now);
    sendProbes(Now, Out);
    serve(Now, Out);
  }

  TimePoint nextTimer(TimePoint Now) const override {
    TimePoint Next = m_Slots.nextTimer(Now);
    if (!m_Timers.empty()) {
      Next = std::min(Next, m_Timers.top().m_At);
    }
    if (m_Queue.size() > 0) {
      Next = std::min({Next, m_Queue.nextDrop(m_Kinds), m_LastServe + QueuePoll});
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
    Status.m_Kinds.insert(Status.m_Kinds.end(), m_Counters.begin(), m_Counters.end());
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
  struct Pick {
    ServerIndex m_Server = 0;
    std::optional<SlotHandle> m_Slot;
  };

  void configureWith(const ServiceSettings &Settings, TimePoint Now, TimePoint ColdUntil) {
    m_Settings = Settings;
    m_Servers.assign(Settings.m_Servers, ColdUntil);
    for (const KindSettings &Kind : Settings.m_Kinds) {
      configureKind(Kind);
    }
    m_Queue.resizeKinds(m_Kinds.size());
    m_Retry.configure(Settings.m_Policy);
    m_Slots.assign(m_Settings.m_Id, m_Servers, m_Context.m_Self, m_Alive);
    configureProbes(Now);
  }

  void configureKind(const KindSettings &Settings) {
    if (const std::optional<KindIndex> Known = findKind(Settings.m_Id)) {
      m_Kinds[*Known].m_Settings = Settings;
      return;
    }
    m_Kinds.push_back({.m_Settings = Settings});
    m_Counters.push_back({.m_Service = m_Settings.m_Id,
                          .m_Kind = Settings.m_Id,
                          .m_Name = m_Settings.m_Name + "/" + Settings.m_Name});
  }

  /// Each VM may send the whole part of its share of the budget in any second, counted over the
  /// VMs that may exist at once. So the sum holds whatever any VM believes of the others.
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

  std::optional<KindIndex> findKind(KindId Kind) const {
    for (KindIndex Index = 0; Index < m_Kinds.size(); ++Index) {
      if (m_Kinds[Index].m_Settings.m_Id == Kind) {
        return Index;
      }
    }
    return std::nullopt;
  }

  Demand demand(TimePoint Now) const { return {.m_Queued = m_Queue.size(), .m_Now = Now}; }

  void enqueue(RequestId Request, TimePoint Now, Actions &Out) {
    RequestState &State = *m_Requests.find(Request);
    State.m_Waiting = true;
    const Waiting Item{.m_Request = Request,
                       .m_Kind = State.m_Kind,
                       .m_Since = Now,
                       .m_Deadline = State.m_Deadline};
    m_Queue.push(Item, m_Kinds, m_Settings.m_Policy.m_QueueLimit, m_Drops);
    answerDropped(Out);
  }

  void serve(TimePoint Now, Actions &Out) {
    m_LastServe = Now;
    m_Queue.serve(m_Kinds, Now, m_Drops,
                  [&](const Waiting &Item) { return tryStart(Item, Now, Out); });
    answerDropped(Out);
    if (m_Queue.size() > 0) {
      m_Slots.ask(demand(Now), m_Context.m_Random, m_Context.m_Asks, Out);
    }
    m_Slots.flush(m_Servers, demand(Now), Out);
    checkInvariants();
  }

  bool tryStart(const Waiting &Item, TimePoint Now, Actions &Out) {
    RequestState &State = *m_Requests.find(Item.m_Request);
    if (!hasServerLeft(State, Now)) {
      State.m_Waiting = false;
      const Reason Why = State.m_Tried.empty() ? Reason::NoServer : Reason::AttemptsRefused;
      answer(State, outcomeWithout(State), Why, Out);
      return true;
    }
    const bool WaitedLong = Now - Item.m_Since > m_Kinds[Item.m_Kind].usual() / 2;
    const std::optional<Pick> Chosen = pick(State, WaitedLong, Now);
    if (!Chosen) {
      return false;
    }
    State.m_Waiting = false;
    if (const Reason Why = gate(State, Now); Why != Reason::None) {
      giveBack(*Chosen, Now);
      answer(State, outcomeWithout(State), Why, Out);
      return true;
    }
    if (State.m_Tried.empty()) {
      m_Retry.firstAttempt();
    }
    start(State, *Chosen, Now, Out);
    return true;
  }

  Reason gate(const RequestState &State, TimePoint Now) {
    if (isIdempotent(State) || m_Context.m_Gate == nullptr) {
      return Reason::None;
    }
    return m_Context.m_Gate->mayDispatch(State.m_Id, Now);
  }

  void giveBack(const Pick &Chosen, TimePoint Now) {
    if (Chosen.m_Slot) {
      m_Slots.release(*Chosen.m_Slot, demand(Now));
    }
  }

  bool isIdempotent(const RequestState &State) const {
    return m_Kinds[State.m_Kind].m_Settings.m_Idempotent;
  }

  /// Whether any server may take the request now or once a slot is free.
  bool hasServerLeft(const RequestState &State, TimePoint Now) const {
    if (State.m_Tried.size() == MostAttempts) {
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

  /// A request that waited long may go to a suspect server, and without a slot from a VM that holds
  /// none: with more VMs than slots, asking may fail for long.
  std::optional<Pick> pick(const RequestState &State, bool WaitedLong, TimePoint Now) {
    if (std::optional<Pick> Held = pickHeld(State, false, Now)) {
      return Held;
    }
    const bool MayOverflow =
        m_Slots.mayOverflow(m_Servers, Now) || (WaitedLong && m_Slots.held() == 0);
    if (std::optional<Pick> Overflow = MayOverflow ? pickOverflow(State, Now) : std::nullopt) {
      return Overflow;
    }
    return WaitedLong ? pickHeld(State, true, Now) : std::nullopt;
  }

  std::optional<Pick> pickHeld(const RequestState &State, bool MayUseSuspect, TimePoint Now) {
    const std::span<const std::uint32_t> Idle = m_Slots.idleByServer(m_Servers, Now);
    collect(State, MayUseSuspect, Now, [Idle](ServerIndex Index) { return Idle[Index] > 0; });
    if (m_Candidates.empty()) {
      return std::nullopt;
    }
    const ServerIndex Server = m_Choice.choose(m_Servers, m_Candidates, Now, m_Context.m_Random);
    return Pick{.m_Server = Server, .m_Slot = m_Slots.take(m_Servers, Server, Now)};
  }

  /// A server that is used without a slot.
  std::optional<Pick> pickOverflow(const RequestState &State, TimePoint Now) {
    constexpr std::uint32_t LeastOverflow = 2;
    const std::uint32_t Most = std::max(LeastOverflow, m_Slots.held());
    if (m_Overflowing >= Most) {
      return std::nullopt;
    }
    collect(State, false, Now, [&](ServerIndex Index) {
      const ServerState &Server = m_Servers.at(Index);
      return Server.m_Health == Health::Good && Server.m_InFlight < Server.m_Settings.m_Slots;
    });
    if (m_Candidates.empty()) {
      return std::nullopt;
    }
    return Pick{.m_Server = m_Choice.choose(m_Servers, m_Candidates, Now, m_Context.m_Random),
                .m_Slot = std::nullopt};
  }

  template <typename F>
  void collect(const RequestState &State, bool MayUseSuspect, TimePoint Now, F &&HasRoom) {
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

  void start(RequestState &State, const Pick &Chosen, TimePoint Now, Actions &Out) {
    ServerState &Server = m_Servers.at(Chosen.m_Server);
    const KindState &Kind = m_Kinds[State.m_Kind];
    const AttemptState Attempt{.m_Id = AttemptId{m_Context.m_NextAttempt++},
                               .m_Request = State.m_Id,
                               .m_Kind = State.m_Kind,
                               .m_Server = Server.m_Settings.m_Id,
                               .m_Started = Now,
                               .m_Slot = Chosen.m_Slot};
    Server.updateEvidence(Now);
    Server.m_UsualSeconds = Kind.m_UsualSeconds.value();
    ++Server.m_InFlight;
    if (!Chosen.m_Slot) {
      ++m_Overflowing;
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

  /// Learns from the end of an attempt what it says of the server and of the kind.
  void noteServer(const AttemptState &Attempt, const AttemptEnded &Ended, TimePoint Now) {
    const std::optional<ServerIndex> Index = m_Servers.find(Attempt.m_Server);
    if (!Index) {
      return;
    }
    ServerState &Server = m_Servers.at(*Index);
    Server.updateEvidence(Now);
    --Server.m_InFlight;
    if (Ended.m_ServerLeaving) {
      Server.m_LeavingUntil = Now + LeavingMemory;
    }
    if (Attempt.m_Cancelled) {
      return;
    }
    if (Ended.m_Result != AttemptResult::Completed) {
      m_Ejection.failed(m_Servers, *Index, Ended.m_Result, Now, m_Context.m_Random);
    } else if (isServerError(*Ended.m_Reply)) {
      m_Ejection.failed(m_Servers, *Index, AttemptResult::Unknown, Now, m_Context.m_Random);
    } else {
      Server.takeCompletion();
      noteTime(Server, m_Kinds[Attempt.m_Kind], Now - Attempt.m_Started, Now);
      m_Ejection.succeeded(m_Servers, *Index, Now);
    }
  }

  static void noteTime(ServerState &Server, KindState &Kind, Duration Took, TimePoint Now) {
    const double Seconds = std::chrono::duration<double>(Took).count();
    if (!Kind.m_UsualSeconds.empty()) {
      Server.addSlowness(Seconds / Kind.m_UsualSeconds.value(), Now);
    }
    Kind.m_UsualSeconds.add(Seconds);
  }

  static bool isServerError(const Reply &Value) {
    constexpr std::uint32_t FirstServerError = 500;
    return Value.m_Status >= FirstServerError;
  }

  /// Decides what follows for the request from the end of one of its attempts.
  void conclude(RequestState &State, const AttemptEnded &Ended, TimePoint Now, Actions &Out) {
    if (Ended.m_Result == AttemptResult::Completed) {
      const bool Failed = isServerError(*Ended.m_Reply);
      if (!Failed || !retryServerError(State, Now, Out)) {
        answerWith(State, Ended.m_Reply, Out);
      }
      return;
    }
    if (Ended.m_Result == AttemptResult::Unknown) {
      State.m_MayHaveRun = true;
    }
    if (!State.m_Attempts.empty()) {
      return;
    }
    const RetryVerdict Verdict = m_Retry.afterFailure(Ended.m_Result, isIdempotent(State));
    if (Verdict == RetryVerdict::Retry) {
      retry(State, retryReason(Ended.m_Result), Now, Out);
      return;
    }
    answer(State, outcomeWithout(State), refusalReason(State, Verdict), Out);
  }

  /// An idempotent request whose server answered with an error may try another server.
  bool retryServerError(RequestState &State, TimePoint Now, Actions &Out) {
    if (!isIdempotent(State) || !State.m_Attempts.empty() || !hasServerLeft(State, Now)) {
      return false;
    }
    if (m_Retry.afterFailure(AttemptResult::Unknown, true) != RetryVerdict::Retry) {
      return false;
    }
    State.m_MayHaveRun = true;
    retry(State, RetryReason::LostIdempotent, Now, Out);
    return true;
  }

  void retry(RequestState &State, RetryReason Why, TimePoint Now, Actions &Out) {
    ++m_Counters[State.m_Kind].m_Retries[static_cast<std::size_t>(Why)];
    enqueue(State.m_Id, Now, Out);
  }

  static RetryReason retryReason(AttemptResult Result) {
    switch (Result) {
    case AttemptResult::NotRun:
      return RetryReason::ServerNotRun;
    case AttemptResult::NotSent:
      return RetryReason::NotSent;
    default:
      return RetryReason::LostIdempotent;
    }
  }

  static Reason refusalReason(const RequestState &State, RetryVerdict Verdict) {
    if (State.m_MayHaveRun) {
      return Reason::AttemptLost;
    }
    return Verdict == RetryVerdict::BudgetSpent ? Reason::RetryBudget : Reason::AttemptsRefused;
  }

  static Outcome outcomeWithout(const RequestState &State) {
    return State.m_MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
  }

  void answerWith(RequestState &State, const ReplyPtr &Whole, Actions &Out) {
    ++m_Counters[State.m_Kind].m_Completed;
    Out.push_back(
        kernel::Answer{.m_Request = State.m_Id, .m_Outcome = Outcome::Completed, .m_Reply = Whole});
    finish(State, Out);
  }

  void answer(RequestState &State, Outcome What, Reason Why, Actions &Out) {
    KindCounters &Counters = m_Counters[State.m_Kind];
    auto &ByReason = What == Outcome::NotRun ? Counters.m_NotRun : Counters.m_Unknown;
    ++ByReason[static_cast<std::size_t>(Why)];
    Out.push_back(kernel::Answer{.m_Request = State.m_Id,
                                 .m_Outcome = What,
                                 .m_Reason = Why,
                                 .m_RetryAfter = retryAfter(Why)});
    finish(State, Out);
  }

  /// Cancels what still runs for an answered request and forgets the request.
  void finish(RequestState &State, Actions &Out) {
    for (const AttemptId Attempt : State.m_Attempts) {
      m_Requests.markCancelled(Attempt);
      Out.push_back(CancelAttempt{Attempt});
    }
    m_Requests.remove(State.m_Id);
  }

  /// When the caller should come back: after the queue has had time to empty.
  Duration retryAfter(Reason Why) {
    constexpr Duration Shortest = std::chrono::milliseconds(50);
    constexpr Duration WhenOverloaded = std::chrono::milliseconds(500);
    const Duration Base =
        Why == Reason::Overload || Why == Reason::DeadlineMissed || Why == Reason::NoServer
            ? WhenOverloaded
            : Shortest;
    std::uniform_real_distribution<double> Jitter(1.0, 2.0);
    return std::chrono::duration_cast<Duration>(Base * Jitter(m_Context.m_Random));
  }

  void answerDropped(Actions &Out) {
    std::vector<Dropped> Drops;
    Drops.swap(m_Drops);
    for (const Dropped &Drop : Drops) {
      RequestState &State = *m_Requests.find(Drop.m_Request);
      State.m_Waiting = false;
      answer(State, outcomeWithout(State), Drop.m_Reason, Out);
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
        missDeadline(*State, Out);
      } else {
        hedge(*State, Now, Out);
      }
    }
  }

  void missDeadline(RequestState &State, Actions &Out) {
    if (m_Queue.remove(State.m_Id)) {
      State.m_Waiting = false;
    }
    if (State.m_Attempts.empty()) {
      answer(State, outcomeWithout(State), Reason::DeadlineMissed, Out);
    } else {
      answer(State, Outcome::Unknown, Reason::DeadlineRunning, Out);
    }
  }

  /// Sends a second attempt of a slow idempotent request when a slot is idle for it.
  void hedge(RequestState &State, TimePoint Now, Actions &Out) {
    if (State.m_Waiting || State.m_Attempts.size() != 1 || !hasServerLeft(State, Now) ||
        m_Queue.size() > 0) {
      return;
    }
    const std::optional<Pick> Chosen = pickHeld(State, false, Now);
    if (!Chosen) {
      return;
    }
    if (!m_Retry.takeHedge()) {
      giveBack(*Chosen, Now);
      return;
    }
    ++m_Counters[State.m_Kind].m_Retries[static_cast<std::size_t>(RetryReason::Hedge)];
    start(State, *Chosen, Now, Out);
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
    assert(m_Overflowing <= m_Requests.attempts());
#endif
  }

  DispatcherContext &m_Context;
  std::uint32_t m_MaxVms;
  ServiceSettings m_Settings;
  std::vector<VmId> m_Alive;
  ServerTable m_Servers;
  std::vector<KindState> m_Kinds;
  std::vector<KindCounters> m_Counters;
  RequestTable m_Requests;
  TimerQueue m_Timers;
  typename P::Choice m_Choice;
  typename P::Queue m_Queue;
  typename P::Retry m_Retry;
  typename P::Ejection m_Ejection;
  typename P::Slots m_Slots;
  std::uint32_t m_Overflowing = 0;
  std::optional<Duration> m_ProbeSpacing;
  TimePoint m_LastServe{};
  /// Scratch space of collect().
  std::vector<ServerIndex> m_Candidates;
  /// Given up by the queue and not yet answered; empty between events.
  std::vector<Dropped> m_Drops;
};

/// \brief Makes a dispatcher with the policies P; given to PolicyRegistration.
template <PolicySet P>
std::unique_ptr<DispatcherBase> makePolicySet(const DispatcherOptions &Options,
                                              DispatcherContext &Context) {
  return std::make_unique<Dispatcher<P>>(Options, Context);
}

} // namespace vanillahill::kernel
