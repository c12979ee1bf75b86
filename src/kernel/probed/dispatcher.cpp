#include "vanillahill/kernel/probed/dispatcher.hpp"

#include <cassert>

namespace vanillahill::kernel::probed {

namespace {

/// An attempt that runs at the deadline gets this long for a reply that is on its way.
constexpr Duration OverdueGrace = std::chrono::milliseconds(40);
/// Bounds of the time for which a search waits for its probes.
constexpr Duration ShortestProbeWait = std::chrono::milliseconds(3);
constexpr Duration LongestProbeWait = std::chrono::milliseconds(20);
/// A search waits for this multiple of the usual round trip of a probe.
constexpr double ProbeWaitMultiple = 2.5;
/// Failure that a probe without any reply counts as.
constexpr double UnansweredProbe = 0.6;
/// Failure that an unhealthy reply to a probe counts as; health endpoints may be wrong.
constexpr double UnhealthyProbe = 0.3;
/// Failure that a refusal before the work counts as.
constexpr double RefusedWork = 0.3;
/// Failure that a peer's word counts as.
constexpr double PeerWord = 0.5;

Duration seconds(double Value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Value));
}

double inSeconds(Duration Value) { return std::chrono::duration<double>(Value).count(); }

bool isServerError(const Reply &Value) {
  constexpr std::uint32_t FirstServerError = 500;
  return Value.m_Status >= FirstServerError;
}

} // namespace

Dispatcher::Dispatcher(const DispatcherOptions &Options, DispatcherContext &Context)
    : m_Context(Context) {
  configure(Options.m_Settings, Options.m_Now);
}

void Dispatcher::configure(const ServiceSettings &Settings, TimePoint Now) {
  m_Settings = Settings;
  assignBackends();
  assignKinds();
  m_Budget.configure(m_Settings.m_Policy.m_RetryRatio, m_Settings.m_Policy.m_RetryWindow);
  m_Probes.configure(m_Settings.m_Policy.m_ProbesPerSecond, Now);
}

void Dispatcher::assignBackends() {
  std::vector<BackendView> Next;
  Next.reserve(m_Settings.m_Servers.size());
  for (const ServerSettings &Server : m_Settings.m_Servers) {
    const BackendView *Known = findBackend(Server.m_Id);
    BackendView View = Known != nullptr ? *Known : BackendView{};
    View.m_Settings = Server;
    View.m_IsNear = Server.m_DataCenter == m_Context.m_DataCenter;
    Next.push_back(std::move(View));
  }
  m_Backends = std::move(Next);
  choosePreferred(m_Backends, m_Context.m_Self);
  // Positions have changed: searches begin anew with the next round.
  for (const RequestId Id : m_Searching) {
    Search &Looking = *m_Requests.at(Id).m_Search;
    Looking.m_Asked.clear();
    Looking.m_RoundBegin = 0;
    Looking.m_DecideAt = TimePoint{};
  }
}

void Dispatcher::assignKinds() {
  for (const KindSettings &Settings : m_Settings.m_Kinds) {
    // Before the first answer: an operator sets targets to a small multiple of the work.
    constexpr double TargetToWork = 0.4;
    if (const auto Known = findKind(Settings.m_Id)) {
      m_Kinds[*Known].m_Settings = Settings;
      continue;
    }
    m_Kinds.push_back({.m_Settings = Settings});
    if (Settings.m_TargetLatency > Duration::zero()) {
      m_Kinds.back().m_Work.assume(inSeconds(Settings.m_TargetLatency) * TargetToWork);
    }
    m_Counters.push_back({.m_Service = m_Settings.m_Id,
                          .m_Kind = Settings.m_Id,
                          .m_Name = m_Settings.m_Name + "/" + Settings.m_Name});
  }
}

std::optional<std::uint32_t> Dispatcher::findKind(KindId Kind) const {
  for (std::uint32_t Index = 0; Index < m_Kinds.size(); ++Index) {
    if (m_Kinds[Index].m_Settings.m_Id == Kind) {
      return Index;
    }
  }
  return std::nullopt;
}

BackendView *Dispatcher::findBackend(ServerId Server) {
  const auto Found =
      std::find_if(m_Backends.begin(), m_Backends.end(), [Server](const BackendView &Backend) {
        return Backend.m_Settings.m_Id == Server;
      });
  return Found == m_Backends.end() ? nullptr : &*Found;
}

SearchTarget Dispatcher::targetOf(const Request &Value) const {
  const Kind &Wanted = m_Kinds[Value.m_Kind];
  return {.m_Work = Wanted.m_Work,
          .m_Idempotent = Wanted.m_Settings.m_Idempotent,
          .m_Tried = {Value.m_Tried.data(), Value.m_Tried.size()}};
}

void Dispatcher::arrive(RequestId Id, KindId Kind, TimePoint Deadline, TimePoint Now,
                        Actions &Out) {
  const auto Index = findKind(Kind);
  if (!Index) {
    Out.push_back(kernel::Answer{.m_Request = Id, .m_Reason = Reason::UnknownKind});
    return;
  }
  ++m_Counters[*Index].m_Arrived;
  Request &Added =
      m_Requests
          .emplace(Id,
                   Request{.m_Id = Id, .m_Kind = *Index, .m_Arrived = Now, .m_Deadline = Deadline})
          .first->second;
  m_Timers.push({.m_At = Deadline, .m_Type = RequestTimerType::Deadline, .m_Request = Id});
  search(Added, SearchFor::FirstSend, Now, Out);
  checkInvariants();
}

void Dispatcher::search(Request &Value, SearchFor Purpose, TimePoint Now, Actions &Out) {
  Value.m_Purpose = Purpose;
  Value.m_Search.emplace();
  m_Searching.push_back(Value.m_Id);
  askRound(Value, Now, Out);
}

void Dispatcher::askRound(Request &Value, TimePoint Now, Actions &Out) {
  Search &Looking = *Value.m_Search;
  const SearchTarget Target = targetOf(Value);
  ++Looking.m_Rounds;
  Looking.m_RoundBegin = Looking.m_Asked.size();
  const Duration Wait = std::clamp(seconds(m_ProbeSeconds.value() * ProbeWaitMultiple),
                                   ShortestProbeWait, LongestProbeWait);
  Looking.m_DecideAt = Now + Wait;
  if (m_TellsLoad == false) {
    decide(Value, Now, Out);
    return;
  }
  auto Drawn = drawRound(m_Backends, Target, Looking.m_Asked, Now, m_Context.m_Random);
  Drawn.resize(std::min(Drawn.size(), m_Probes.roundSize(Drawn.size(), Now)));
  for (const BackendIndex Index : Drawn) {
    Looking.m_Asked.push_back(Index);
    ask(Index, Now, Out);
  }
  if (isRoundOver(Looking, Now)) {
    decide(Value, Now, Out);
  }
}

bool Dispatcher::ask(BackendIndex Index, TimePoint Now, Actions &Out) {
  BackendView &Backend = m_Backends[Index];
  if (Backend.m_ProbeSince || Backend.hasFreshLoad(Now)) {
    return false;
  }
  Backend.m_ProbeSince = Now;
  ++Backend.m_Probes;
  m_Probes.take();
  Out.push_back(Probe{Backend.m_Settings.m_Id});
  return true;
}

bool Dispatcher::isRoundOver(const Search &Looking, TimePoint Now) const {
  if (Now >= Looking.m_DecideAt) {
    return true;
  }
  return std::none_of(Looking.m_Asked.begin(), Looking.m_Asked.end(), [this](BackendIndex Index) {
    return m_Backends[Index].m_ProbeSince.has_value();
  });
}

void Dispatcher::advanceSearches(TimePoint Now, Actions &Out) {
  // Deciding may end searches and start others.
  const std::vector<RequestId> Looking = m_Searching;
  for (const RequestId Id : Looking) {
    const auto Found = m_Requests.find(Id);
    if (Found == m_Requests.end() || !Found->second.m_Search) {
      continue;
    }
    Request &Value = Found->second;
    const auto Best = cheapest(m_Backends, targetOf(Value), Value.m_Search->m_Asked, Now);
    if ((Best && Best->m_IsGood) || isRoundOver(*Value.m_Search, Now)) {
      decide(Value, Now, Out);
    }
  }
}

void Dispatcher::decide(Request &Value, TimePoint Now, Actions &Out) {
  const SearchTarget Target = targetOf(Value);
  const auto Best = cheapest(m_Backends, Target, Value.m_Search->m_Asked, Now);
  const bool MayAskMore = m_TellsLoad != false && Value.m_Search->m_Rounds < MostRounds &&
                          m_Probes.allowsMoreRounds(Now);
  const bool IsGood = Best && Best->m_IsGood;
  if (!IsGood && MayAskMore && Value.m_Search->m_Asked.size() < m_Backends.size()) {
    askRound(Value, Now, Out);
    return;
  }
  m_LastAsked = static_cast<std::uint32_t>(Value.m_Search->m_Asked.size());
  std::erase(m_Searching, Value.m_Id);
  Value.m_Search.reset();
  if (Value.m_Purpose == SearchFor::Hedge) {
    settleHedge(Value, Best, Now, Out);
  } else {
    settle(Value, Best, Now, Out);
  }
}

void Dispatcher::settle(Request &Value, const std::optional<Candidate> &Best, TimePoint Now,
                        Actions &Out) {
  if (Best) {
    if (hasRoom(Value, *Best, Now)) {
      place(Value, Best->m_Backend, Now, Out);
    } else if (Value.m_MayHaveRun || Value.m_FailedReply) {
      giveUp(Value, Now, Out);
    } else {
      refuseFull(Value, *Best, Now, Out);
    }
    return;
  }
  const auto Blind = chooseBlind(m_Backends, targetOf(Value), Now, m_Context.m_Random);
  if (Blind) {
    place(Value, *Blind, Now, Out);
    return;
  }
  giveUp(Value, Now, Out);
}

/// Whether a request is sent to a nearly full server all the same, to learn what that costs.
bool Dispatcher::isTrial() {
  constexpr double TrialShare = 1.0 / 64.0;
  return std::bernoulli_distribution(TrialShare)(m_Context.m_Random);
}

bool Dispatcher::hasRoom(const Request &Value, const Candidate &Best, TimePoint Now) {
  const BackendView &Backend = m_Backends[Best.m_Backend];
  const Kind &Wanted = m_Kinds[Value.m_Kind];
  const bool IsIdempotent = Wanted.m_Settings.m_Idempotent;
  // The last slots are for requests that must not run twice. If all took them, servers would slow
  // down so much that they do less, and stay full after the burst that filled them.
  if (IsIdempotent && Backend.losesByOneMore(Wanted.m_Work) && !isTrial()) {
    return false;
  }
  if (!Backend.isFull()) {
    return true;
  }
  const double MostWaiting = IsIdempotent ? 0.5 : 1.0;
  const bool IsShort = Backend.waiting() < MostWaiting * Backend.slots();
  const double Expected = Backend.expectedSeconds(Wanted.m_Work, Now);
  return IsShort && Now + seconds(Expected) < Value.m_Deadline;
}

Duration Dispatcher::timeUntilRoom(const Request &Value, const Candidate &Best, TimePoint Now) {
  const BackendView &Backend = m_Backends[Best.m_Backend];
  const WorkEstimate &Work = m_Kinds[Value.m_Kind].m_Work;
  const double QueueSeconds = Backend.expectedSeconds(Work, Now) - Work.seconds();
  std::uniform_real_distribution<double> Spread(0.5, 1.5);
  constexpr double ShortestSeconds = 0.1;
  return seconds(std::max(QueueSeconds, ShortestSeconds) * Spread(m_Context.m_Random));
}

void Dispatcher::place(Request &Value, BackendIndex Index, TimePoint Now, Actions &Out) {
  const bool IsFirst = Value.m_Purpose == SearchFor::FirstSend;
  const Kind &Wanted = m_Kinds[Value.m_Kind];
  if (!Wanted.m_Settings.m_Idempotent && m_Context.m_Gate != nullptr) {
    if (const Reason Why = m_Context.m_Gate->mayDispatch(Value.m_Id, Now); Why != Reason::None) {
      refuse(Value, Why, Duration::zero(), Now, Out);
      return;
    }
  }
  if (IsFirst) {
    m_Budget.firstAttempt(Now);
  }
  send(Value, Index, Now, Out);
}

void Dispatcher::send(Request &Value, BackendIndex Index, TimePoint Now, Actions &Out) {
  BackendView &Backend = m_Backends[Index];
  const Attempt Sent{.m_Id = AttemptId{m_Context.m_NextAttempt++},
                     .m_Request = Value.m_Id,
                     .m_Kind = Value.m_Kind,
                     .m_Server = Backend.m_Settings.m_Id,
                     .m_Started = Now,
                     .m_ToldSlowdown = Backend.toldSlowdown(),
                     .m_UntoldFactor = Backend.untoldFactor(Now),
                     .m_WasNearlyFull = Backend.isNearlyFull(),
                     .m_IsPaid = Value.m_Purpose != SearchFor::FirstSend};
  Decision Made = about(Value.m_Purpose == SearchFor::FirstSend ? DecisionType::Placed
                        : Value.m_Purpose == SearchFor::Retry   ? DecisionType::Retried
                                                                : DecisionType::Hedged,
                        Value, Now);
  describe(Made, Backend, Now);
  Made.m_Expected = seconds(Backend.expectedSeconds(m_Kinds[Value.m_Kind].m_Work, Now));
  Made.m_Asked = m_LastAsked;
  Out.push_back(std::move(Made));
  Backend.countSent();
  m_Attempts.emplace(Sent.m_Id, Sent);
  Value.m_Running.push_back(Sent.m_Id);
  Value.m_Tried.push_back(Sent.m_Server);
  Out.push_back(Dispatch{.m_Request = Value.m_Id,
                         .m_Attempt = Sent.m_Id,
                         .m_Server = Sent.m_Server,
                         .m_Deadline = Value.m_Deadline});
  if (Value.m_Purpose != SearchFor::Hedge) {
    armHedge(Value, Now);
  }
}

void Dispatcher::armHedge(Request &Value, TimePoint Now) {
  const Kind &Wanted = m_Kinds[Value.m_Kind];
  const Duration Target = Wanted.m_Settings.m_TargetLatency;
  if (!Wanted.m_Settings.m_Idempotent || Target <= Duration::zero()) {
    return;
  }
  // Late enough that most attempts have ended, early enough that a second one meets the target.
  constexpr double EarliestMultiple = 1.1;
  constexpr double SecondMultiple = 1.3;
  constexpr Duration CallerTransit = std::chrono::milliseconds(30);
  const double Work = Wanted.m_Work.seconds();
  const TimePoint Latest =
      Value.m_Arrived + Target - CallerTransit - seconds(Work * SecondMultiple);
  const TimePoint Earliest = Now + seconds(Work * EarliestMultiple);
  m_Timers.push({.m_At = std::max(Earliest, Latest),
                 .m_Type = RequestTimerType::Hedge,
                 .m_Request = Value.m_Id});
}

void Dispatcher::hedge(Request &Value, TimePoint Now, Actions &Out) {
  const Kind &Wanted = m_Kinds[Value.m_Kind];
  const bool MayTryMore =
      Value.m_Tried.size() < std::min<std::size_t>(Wanted.m_Settings.m_MaxAttempts, MostAttempts);
  // Probes for first sends come first: with few left, hedges would make these choose worse.
  if (Value.m_Running.size() != 1 || Value.m_Search || !MayTryMore || !m_Budget.canTake() ||
      !m_Probes.allowsMoreRounds(Now)) {
    return;
  }
  search(Value, SearchFor::Hedge, Now, Out);
}

void Dispatcher::settleHedge(Request &Value, const std::optional<Candidate> &Best, TimePoint Now,
                             Actions &Out) {
  // While one looked, the first attempt may have failed.
  if (Value.m_Running.empty()) {
    if (Best && m_Budget.take()) {
      send(Value, Best->m_Backend, Now, Out);
    } else {
      giveUp(Value, Now, Out);
    }
    return;
  }
  const bool HasSlot = Best && !m_Backends[Best->m_Backend].isNearlyFull();
  const double Work = m_Kinds[Value.m_Kind].m_Work.seconds();
  constexpr double WorthMultiple = 2.0;
  if (!HasSlot || Best->m_Cost > WorthMultiple * Work || !m_Budget.take()) {
    return;
  }
  ++m_Counters[Value.m_Kind].m_Retries[static_cast<std::size_t>(RetryReason::Hedge)];
  send(Value, Best->m_Backend, Now, Out);
}

void Dispatcher::callerGone(RequestId Id, TimePoint Now, Actions &Out) {
  const auto Found = m_Requests.find(Id);
  if (Found == m_Requests.end()) {
    return;
  }
  Request &Value = Found->second;
  const bool IsIdempotent = m_Kinds[Value.m_Kind].m_Settings.m_Idempotent;
  if (Value.m_Running.empty() || IsIdempotent) {
    refuse(Value, Reason::CallerGone, Duration::zero(), Now, Out);
  }
}

void Dispatcher::attemptEnded(const AttemptEnded &Ended, TimePoint Now, Actions &Out) {
  const auto Found = m_Attempts.find(Ended.m_Attempt);
  if (Found == m_Attempts.end()) {
    return;
  }
  const Attempt Sent = Found->second;
  m_Attempts.erase(Found);
  explainEnd(Sent, Ended, Now, Out);
  noteServer(Sent, Ended, Now, Out);
  if (Sent.m_IsPaid && Ended.m_Result == AttemptResult::NotSent) {
    m_Budget.giveBack();
  }
  const auto Owner = m_Requests.find(Sent.m_Request);
  if (Owner != m_Requests.end()) {
    Request &Value = Owner->second;
    const auto Position = std::find(Value.m_Running.begin(), Value.m_Running.end(), Sent.m_Id);
    Value.m_Running.erase(Position);
    conclude(Value, Ended, Now, Out);
  }
  checkInvariants();
}

void Dispatcher::explainEnd(const Attempt &Sent, const AttemptEnded &Ended, TimePoint Now,
                            Actions &Out) {
  Decision Made{.m_Type = DecisionType::AttemptEnded,
                .m_Request = Sent.m_Request,
                .m_Took = Now - Sent.m_Started,
                .m_Outcome = Sent.m_Cancelled ? "cancelled" : toString(Ended.m_Result),
                .m_Status = Ended.m_Reply ? Ended.m_Reply->m_Status : 0};
  if (const BackendView *Backend = findBackend(Sent.m_Server)) {
    describe(Made, *Backend, Now);
  }
  Out.push_back(std::move(Made));
}

Decision Dispatcher::about(DecisionType Type, const Request &Value, TimePoint Now) const {
  return {.m_Type = Type,
          .m_Request = Value.m_Id,
          .m_Took = Now - Value.m_Arrived,
          .m_TimeLeft = Value.m_Deadline - Now};
}

void Dispatcher::describe(Decision &Made, const BackendView &Backend, TimePoint Now) {
  Made.m_Server = Backend.m_Settings.m_Name;
  Made.m_Load = Backend.m_Load;
  Made.m_LoadAge = Now - Backend.m_LoadAt;
  Made.m_Failures = Backend.m_Failures.value(Now);
}

void Dispatcher::addFailure(BackendView &Backend, double Weight, TimePoint Now, Actions &Out) {
  const bool WasAside = Backend.m_Failures.value(Now) >= SetAsideFailures;
  Backend.addFailure(Weight, Now);
  if (!WasAside && Backend.m_Failures.value(Now) >= SetAsideFailures) {
    Decision Made{.m_Type = DecisionType::ServerSetAside};
    describe(Made, Backend, Now);
    Out.push_back(std::move(Made));
  }
}

void Dispatcher::noteServer(const Attempt &Sent, const AttemptEnded &Ended, TimePoint Now,
                            Actions &Out) {
  BackendView *Backend = findBackend(Sent.m_Server);
  if (Backend == nullptr) {
    return;
  }
  --Backend->m_InFlight;
  if (Ended.m_Load) {
    Backend->takeLoad(*Ended.m_Load, Now);
  } else {
    Backend->countEnded();
  }
  if (Sent.m_Cancelled) {
    noteTime(*Backend, Sent, Now);
    return;
  }
  switch (Ended.m_Result) {
  case AttemptResult::Completed:
    if (isServerError(*Ended.m_Reply)) {
      addFailure(*Backend, 1.0, Now, Out);
      Out.push_back(TellServerFailure{Sent.m_Server});
    } else {
      Backend->takeSuccess(Now);
      noteTime(*Backend, Sent, Now);
    }
    return;
  case AttemptResult::NotRun:
    addFailure(*Backend, Ended.m_WrongServer ? SetAsideFailures : RefusedWork, Now, Out);
    return;
  case AttemptResult::NotSent:
    addFailure(*Backend, 1.0, Now, Out);
    return;
  case AttemptResult::Unknown:
    if (Sent.m_WasNearlyFull) {
      // Some servers reset connections when they are full: that is load, not failure.
      addFailure(*Backend, RefusedWork, Now, Out);
      return;
    }
    addFailure(*Backend, 1.0, Now, Out);
    Out.push_back(TellServerFailure{Sent.m_Server});
    return;
  }
}

/// Learns from how long an attempt took; one that was cancelled took at least that long.
void Dispatcher::noteTime(BackendView &Backend, const Attempt &Sent, TimePoint Now) {
  Kind &Learnt = m_Kinds[Sent.m_Kind];
  const double Took = inSeconds(Now - Sent.m_Started);
  const double Usual = Learnt.m_Work.seconds() * Sent.m_UntoldFactor *
                       Learnt.m_Work.factor(Sent.m_ToldSlowdown, Sent.m_WasNearlyFull);
  constexpr double MostSlowness = 8.0;
  const double Excess = std::clamp(Took / Usual - 1.0, 0.0, MostSlowness);
  constexpr double NewShare = 0.5;
  const double Known = Backend.m_Slowness.value(Now);
  const bool SaysMore = !Sent.m_Cancelled || Excess > Known;
  if (SaysMore) {
    Backend.m_Slowness.set(Known + NewShare * (Excess - Known), Now);
  }
  if (!Sent.m_Cancelled) {
    Learnt.m_Work.learn({.m_Seconds = Took,
                         .m_Slowdown = Sent.m_ToldSlowdown,
                         .m_WasNearlyFull = Sent.m_WasNearlyFull,
                         .m_OtherFactor = Sent.m_UntoldFactor});
  }
}

void Dispatcher::conclude(Request &Value, const AttemptEnded &Ended, TimePoint Now, Actions &Out) {
  const bool IsIdempotent = m_Kinds[Value.m_Kind].m_Settings.m_Idempotent;
  const bool Failed = Ended.m_Result == AttemptResult::Completed && isServerError(*Ended.m_Reply);
  if (Ended.m_Result == AttemptResult::Completed && !(Failed && IsIdempotent)) {
    complete(Value, Ended.m_Reply, Now, Out);
    return;
  }
  if (Failed) {
    Value.m_FailedReply = Ended.m_Reply;
  }
  if (Ended.m_Result == AttemptResult::Unknown || Failed) {
    Value.m_MayHaveRun = true;
  }
  if (!Value.m_Running.empty()) {
    return;
  }
  if (Value.m_Search) {
    // A hedge looks for a server already; it becomes the retry.
    return;
  }
  const bool MayHaveRunOnce = Value.m_MayHaveRun && !IsIdempotent;
  const bool NotSent = Ended.m_Result == AttemptResult::NotSent;
  const RetryReason Why = NotSent                                   ? RetryReason::NotSent
                          : Ended.m_Result == AttemptResult::NotRun ? RetryReason::ServerNotRun
                                                                    : RetryReason::LostIdempotent;
  if (MayHaveRunOnce || !retry(Value, Why, !NotSent, Now, Out)) {
    giveUp(Value, Now, Out);
  }
}

bool Dispatcher::retry(Request &Value, RetryReason Why, bool PaysToken, TimePoint Now,
                       Actions &Out) {
  const Kind &Wanted = m_Kinds[Value.m_Kind];
  const std::size_t Most = std::min<std::size_t>(Wanted.m_Settings.m_MaxAttempts, MostAttempts);
  if (!PaysToken && !Value.m_Tried.empty()) {
    // Nothing arrived there: the send does not count, but the server is not tried again.
    if (Value.m_Tried.size() >= MostAttempts) {
      return false;
    }
  } else if (Value.m_Tried.size() >= Most) {
    return false;
  }
  const bool HasTime = Now + seconds(Wanted.m_Work.seconds()) < Value.m_Deadline;
  if (!HasTime || !anyUsable(m_Backends, targetOf(Value)) || (PaysToken && !m_Budget.take())) {
    return false;
  }
  ++m_Counters[Value.m_Kind].m_Retries[static_cast<std::size_t>(Why)];
  search(Value, SearchFor::Retry, Now, Out);
  return true;
}

/// Answers a request for which nothing more can be done.
void Dispatcher::giveUp(Request &Value, TimePoint Now, Actions &Out) {
  if (Value.m_FailedReply) {
    complete(Value, ReplyPtr(Value.m_FailedReply), Now, Out);
    return;
  }
  constexpr double ShortestSeconds = 0.1;
  constexpr double LongestSeconds = 0.3;
  std::uniform_real_distribution<double> Spread(ShortestSeconds, LongestSeconds);
  Reason Why = Reason::NoServer;
  if (Value.m_MayHaveRun) {
    Why = Reason::AttemptLost;
  } else if (!Value.m_Tried.empty()) {
    Why = m_Budget.canTake() ? Reason::AttemptsRefused : Reason::RetryBudget;
  }
  refuse(Value, Why, seconds(Spread(m_Context.m_Random)), Now, Out);
}

void Dispatcher::probeEnded(const ProbeEnded &Ended, TimePoint Now, Actions &Out) {
  BackendView *Backend = findBackend(Ended.m_Server);
  if (Backend == nullptr) {
    return;
  }
  if (Backend->m_ProbeSince) {
    if (Ended.m_Answered) {
      m_ProbeSeconds.add(inSeconds(Now - *Backend->m_ProbeSince));
    }
    Backend->m_ProbeSince.reset();
  }
  if (Ended.m_WrongServer) {
    Backend->m_Load.reset();
    addFailure(*Backend, SetAsideFailures, Now, Out);
  } else if (!Ended.m_Answered) {
    Backend->m_Load.reset();
    addFailure(*Backend, UnansweredProbe, Now, Out);
  } else if (Ended.m_Load) {
    m_TellsLoad = true;
    Backend->takeLoad(*Ended.m_Load, Now);
  } else if (!m_TellsLoad) {
    m_TellsLoad = false;
  }
  if (Ended.m_Answered && !Ended.m_Healthy) {
    addFailure(*Backend, UnhealthyProbe, Now, Out);
  }
  advanceSearches(Now, Out);
  checkInvariants();
}

void Dispatcher::peerMark(ServerId Server, bool Leaving, TimePoint Now) {
  if (BackendView *Backend = findBackend(Server); Backend != nullptr && !Leaving) {
    Backend->addFailure(PeerWord, Now);
  }
}

void Dispatcher::tick(TimePoint Now, Actions &Out) {
  fireTimers(Now, Out);
  advanceSearches(Now, Out);
  checkInvariants();
}

TimePoint Dispatcher::nextTimer(TimePoint /*Now*/) const {
  TimePoint Next = m_Timers.empty() ? TimePoint::max() : m_Timers.top().m_At;
  for (const RequestId Id : m_Searching) {
    Next = std::min(Next, m_Requests.at(Id).m_Search->m_DecideAt);
  }
  return Next;
}

void Dispatcher::fireTimers(TimePoint Now, Actions &Out) {
  while (!m_Timers.empty() && m_Timers.top().m_At <= Now) {
    const RequestTimer Due = m_Timers.top();
    m_Timers.pop();
    const auto Found = m_Requests.find(Due.m_Request);
    if (Found == m_Requests.end()) {
      continue;
    }
    Request &Value = Found->second;
    switch (Due.m_Type) {
    case RequestTimerType::Deadline:
      if (!Value.m_Running.empty()) {
        m_Timers.push({.m_At = Value.m_Deadline + OverdueGrace,
                       .m_Type = RequestTimerType::Overdue,
                       .m_Request = Value.m_Id});
        break;
      }
      missDeadline(Value, Now, Out);
      break;
    case RequestTimerType::Overdue:
      missDeadline(Value, Now, Out);
      break;
    case RequestTimerType::Hedge:
      hedge(Value, Now, Out);
      break;
    }
  }
}

void Dispatcher::missDeadline(Request &Value, TimePoint Now, Actions &Out) {
  if (Value.m_FailedReply) {
    giveUp(Value, Now, Out);
    return;
  }
  const bool MayHaveRun = Value.m_MayHaveRun || !Value.m_Running.empty();
  refuse(Value, MayHaveRun ? Reason::DeadlineRunning : Reason::DeadlineMissed, Duration::zero(),
         Now, Out);
}

void Dispatcher::complete(Request &Value, const ReplyPtr &Whole, TimePoint Now, Actions &Out) {
  Decision Made = about(DecisionType::Answered, Value, Now);
  Made.m_Status = Whole->m_Status;
  Out.push_back(std::move(Made));
  ++m_Counters[Value.m_Kind].m_Completed;
  Out.push_back(
      kernel::Answer{.m_Request = Value.m_Id, .m_Outcome = Outcome::Completed, .m_Reply = Whole});
  finish(Value, Out);
}

/// Refuses a request because the best server that was found has no room either.
void Dispatcher::refuseFull(Request &Value, const Candidate &Best, TimePoint Now, Actions &Out) {
  Decision Made = about(DecisionType::Refused, Value, Now);
  Made.m_Outcome = toString(Reason::Overload);
  Made.m_Asked = m_LastAsked;
  describe(Made, m_Backends[Best.m_Backend], Now);
  Out.push_back(std::move(Made));
  answerRefused(Value, Reason::Overload, timeUntilRoom(Value, Best, Now), Out);
}

void Dispatcher::refuse(Request &Value, Reason Why, Duration RetryAfter, TimePoint Now,
                        Actions &Out) {
  Decision Made = about(DecisionType::Refused, Value, Now);
  Made.m_Outcome = toString(Why);
  if (!Value.m_Tried.empty()) {
    if (const BackendView *Last = findBackend(Value.m_Tried.back())) {
      describe(Made, *Last, Now);
    }
  }
  Out.push_back(std::move(Made));
  answerRefused(Value, Why, RetryAfter, Out);
}

void Dispatcher::answerRefused(Request &Value, Reason Why, Duration RetryAfter, Actions &Out) {
  const bool MayHaveRun = Value.m_MayHaveRun || !Value.m_Running.empty();
  KindCounters &Counters = m_Counters[Value.m_Kind];
  ++(MayHaveRun ? Counters.m_Unknown : Counters.m_NotRun)[static_cast<std::size_t>(Why)];
  Out.push_back(kernel::Answer{.m_Request = Value.m_Id,
                               .m_Outcome = MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                               .m_Reason = Why,
                               .m_RetryAfter = RetryAfter});
  finish(Value, Out);
}

/// Cancels what still runs for an answered request and forgets the request.
void Dispatcher::finish(Request &Value, Actions &Out) {
  for (const AttemptId Id : Value.m_Running) {
    m_Attempts.at(Id).m_Cancelled = true;
    Out.push_back(CancelAttempt{Id});
  }
  std::erase(m_Searching, Value.m_Id);
  m_Requests.erase(Value.m_Id);
}

void Dispatcher::appendMarks(TimePoint Now, std::vector<ServerId> &Avoid,
                             std::vector<ServerId> & /*Leaving*/) const {
  for (const BackendView &Backend : m_Backends) {
    if (Backend.m_Failures.value(Now) >= SetAsideFailures) {
      Avoid.push_back(Backend.m_Settings.m_Id);
    }
  }
}

void Dispatcher::appendStatus(TimePoint Now, NodeStatus &Status) const {
  Status.m_Kinds.insert(Status.m_Kinds.end(), m_Counters.begin(), m_Counters.end());
  for (const BackendView &Backend : m_Backends) {
    Status.m_Servers.push_back({.m_Server = Backend.m_Settings.m_Id,
                                .m_Name = m_Settings.m_Name + "/" + Backend.m_Settings.m_Name,
                                .m_InFlight = Backend.m_InFlight,
                                .m_Ejected = Backend.m_Failures.value(Now) >= SetAsideFailures,
                                .m_Leaving = Backend.m_Settings.m_Leaving,
                                .m_Probes = Backend.m_Probes});
  }
  Status.m_InFlight += m_Attempts.size();
  Status.m_Queued += m_Searching.size();
}

void Dispatcher::checkInvariants() const {
#ifndef NDEBUG
  std::size_t InFlight = 0;
  for (const BackendView &Backend : m_Backends) {
    InFlight += Backend.m_InFlight;
  }
  assert(InFlight <= m_Attempts.size());
  assert(m_Searching.size() <= m_Requests.size());
  for (const RequestId Id : m_Searching) {
    assert(m_Requests.at(Id).m_Search);
  }
#endif
}

} // namespace vanillahill::kernel::probed
