#include "vanillahill/kernel/probed/dispatcher.hpp"
#include "vanillahill/kernel/probed/seconds.hpp"

#include <cassert>

namespace vanillahill::kernel::probed {

namespace {

/// An attempt that still runs at the deadline gets this much more time, as its reply may be in
/// transit.
constexpr Duration DeadlineGrace = std::chrono::milliseconds(40);
/// Added to the failure score for a probe without any reply.
constexpr double UnansweredProbeWeight = 0.6;
/// Added for an unhealthy reply to a probe; low because health endpoints may be wrong.
constexpr double UnhealthyProbeWeight = 0.3;
/// Added when a peer marked the server as failing.
constexpr double PeerMarkWeight = 0.5;

/// At servers with at most this many slots, no idempotent request waits that would miss its target.
constexpr std::uint32_t MaxSlotsWithoutQueue = 2;

} // namespace

Dispatcher::Dispatcher(const DispatcherOptions &Options, DispatcherContext &Context)
    : m_Context(Context), m_CreatedAt(Options.m_Now), m_SubsetSize(Options.m_Now),
      m_ArrivalRate(Options.m_Now) {
  configure(Options.m_Settings, Options.m_Now);
}

void Dispatcher::configure(const ServiceSettings &Settings, TimePoint Now) {
  m_Settings = Settings;
  assignBackends(Now);
  assignKinds();
  m_RetryBudget.configure(m_Settings.m_Policy.m_RetryRatio, m_Settings.m_Policy.m_RetryWindow);
  m_ProbeBudget.configure(m_Settings.m_Policy.m_ProbesPerSecond, Now);
}

void Dispatcher::assignBackends(TimePoint Now) {
  std::vector<BackendView> Next;
  Next.reserve(m_Settings.m_Servers.size());
  for (const ServerSettings &Server : m_Settings.m_Servers) {
    const BackendView *Known = findBackend(Server.m_Id);
    BackendView View = Known != nullptr ? *Known : BackendView{};
    if (Known == nullptr) {
      View.m_Fitness = m_UnlistedFitness.take(Server.m_Id);
      // Attempts that were sent before the server's record lapsed may still run.
      View.m_InFlight = static_cast<std::uint32_t>(
          std::count_if(m_Attempts.begin(), m_Attempts.end(),
                        [&](const auto &Sent) { return Sent.second.m_Server == Server.m_Id; }));
    }
    View.m_Settings = Server;
    View.m_IsLocal = Server.m_DataCenter == m_Context.m_DataCenter;
    if (Known == nullptr) {
      updateLimitShare(View, Now);
    }
    if (m_Settings.m_ColdPerSecond > 0.0) {
      View.m_Fitness.cold().recordListed(Server.m_ColdUntil, Now);
    }
    updateColdShare(View, Now);
    Next.push_back(std::move(View));
  }
  m_Backends.swap(Next);
  for (const BackendView &Previous : Next) {
    if (findBackend(Previous.m_Settings.m_Id) == nullptr) {
      m_UnlistedFitness.keep(Previous.m_Settings.m_Id, Previous.m_Fitness);
    }
  }
  m_ServiceReach.setServerCount(usedServerCount(m_Settings.m_Servers));
  chooseSubset();
  // The indices have changed: running searches forget their servers and start a new round.
  for (const RequestId Id : m_SearchingRequests) {
    Search &CurrentSearch = *m_Requests.at(Id).m_Search;
    CurrentSearch.m_Sampled.clear();
    CurrentSearch.m_RoundBegin = 0;
    CurrentSearch.m_RoundDeadline = TimePoint{};
  }
}

void Dispatcher::chooseSubset() {
  m_HasSmallSubset = m_Settings.m_Policy.m_LowRatePlacement != LowRatePlacement::Usual &&
                     m_SubsetSize.isReduced() &&
                     usedServerCount(m_Settings.m_Servers) > MaxPreferred;
  choosePreferred(m_Backends, m_Context.m_Self,
                  m_HasSmallSubset ? m_SubsetSize.counts() : PreferredCounts{});
}

void Dispatcher::assignKinds() {
  m_Kinds.assign(m_Settings, [](Kind &Added) {
    // Assumed until the first reply: operators set targets to a small multiple of the usual time of
    // a request.
    constexpr double WorkShareOfTarget = 0.4;
    const Duration Target = Added.m_Settings.m_TargetLatency;
    if (Target > Duration::zero()) {
      Added.m_Work.setAssumedSeconds(toSeconds(Target) * WorkShareOfTarget);
    }
  });
}

BackendView *Dispatcher::findBackend(ServerId Server) {
  const auto Found =
      std::find_if(m_Backends.begin(), m_Backends.end(), [Server](const BackendView &Backend) {
        return Backend.m_Settings.m_Id == Server;
      });
  return Found == m_Backends.end() ? nullptr : &*Found;
}

SearchCriteria Dispatcher::criteriaOf(const Request &Pending, TimePoint Now) const {
  const Kind &RequestKind = m_Kinds[Pending.m_Kind];
  SearchCriteria Criteria{.m_Work = RequestKind.m_Work,
                          .m_Idempotent = RequestKind.m_Settings.m_Idempotent,
                          .m_Tried = {Pending.m_Tried.data(), Pending.m_Tried.size()},
                          .m_Arrived = Pending.m_Arrived,
                          .m_DrainBound = m_Settings.m_Policy.m_DrainBound};
  Criteria.m_SparesLastSlot =
      Criteria.m_Idempotent && m_UrgentPriority.hasMoreUrgent(Pending.m_Priority, Now);
  Criteria.m_EnoughSeconds = enoughSeconds(Pending, Now);
  Criteria.m_UsesLeaving = !hasUsableBackend(m_Backends, Criteria, Now);
  return Criteria;
}

void Dispatcher::arrive(RequestId Id, KindId Kind, TimePoint Deadline, TimePoint Now,
                        Actions &Out) {
  const auto Index = m_Kinds.find(Kind);
  if (!Index) {
    Out.push_back(kernel::Answer{.m_Request = Id, .m_Reason = Reason::UnknownKind});
    return;
  }
  ++m_Kinds.counters(*Index).m_Arrived;
  Request &Added = m_Requests
                       .emplace(Id, Request{.m_Id = Id,
                                            .m_Kind = *Index,
                                            .m_Priority = m_Kinds[*Index].m_Settings.m_Priority,
                                            .m_Arrived = Now,
                                            .m_Deadline = Deadline})
                       .first->second;
  m_UrgentPriority.note(m_Kinds[*Index].m_Settings.m_Priority, Now);
  if (refuseIfHeldBack(Added, Now, Out)) {
    return;
  }
  if (isTooLate(Added, Now)) {
    refuseLate(Added, Now, Out);
    return;
  }
  m_Timers.push({.m_At = Deadline, .m_Type = RequestTimerType::Deadline, .m_Request = Id});
  checkReach(Now, Out);
  if (!isUnreachable()) {
    startSearch(Added, SearchPurpose::FirstAttempt, Now, Out);
  } else if (!tryRelay(Added, Now, Out)) {
    giveUpRequest(Added, Now, Out);
  }
  checkInvariants();
}

/// Whether to send a request to a nearly full server anyway, to measure the slowdown there.
bool Dispatcher::drawTrial() {
  constexpr double TrialShare = 1.0 / 64.0;
  return std::bernoulli_distribution(TrialShare)(m_Context.m_Random);
}

bool Dispatcher::hasRoom(const Request &Pending, const Candidate &Best, TimePoint Now) {
  if (Best.m_IsReserved) {
    return false;
  }
  const BackendView &Backend = m_Backends[Best.m_Backend];
  const Kind &RequestKind = m_Kinds[Pending.m_Kind];
  const bool IsIdempotent = RequestKind.m_Settings.m_Idempotent;
  // Where filling a server gains no throughput, the last slots are reserved for non-idempotent
  // requests. If all requests took them, servers would slow down so much that their throughput
  // falls, and would stay full after the burst that filled them.
  if (IsIdempotent && Backend.extraRequestGainsNoThroughput(RequestKind.m_Work) && !drawTrial()) {
    return false;
  }
  if (!Backend.isFull()) {
    return true;
  }
  const double MaxWaitingPerSlot = IsIdempotent ? 0.5 : 1.0;
  const bool HasShortQueue = Backend.waiting() < MaxWaitingPerSlot * Backend.slots();
  const TimePoint End = Now + toDuration(Backend.expectedSeconds(RequestKind.m_Work, Now));
  const Duration Target = RequestKind.m_Settings.m_TargetLatency;
  // Load pattern: more requests than the servers of a service finish in time. At a server of few
  // slots, each one that waits delays the next by a large part of its work, so that soon all of
  // them miss their targets. Those that would are refused instead and may come back.
  const bool MustMeetTarget =
      IsIdempotent && Target > Duration::zero() && Backend.slots() <= MaxSlotsWithoutQueue;
  return HasShortQueue && End < Pending.m_Deadline &&
         (!MustMeetTarget || End <= Pending.m_Arrived + Target);
}

Duration Dispatcher::timeUntilRoom(const Request &Pending, const Candidate &Best, TimePoint Now) {
  const BackendView &Backend = m_Backends[Best.m_Backend];
  const WorkEstimate &Work = m_Kinds[Pending.m_Kind].m_Work;
  // One of the running requests ends in this time on average, and one more for each that waits.
  const double SlotSeconds =
      Work.usualSeconds() *
      Work.slowdownFactor(Backend.reportedSlowdown(), Backend.isNearlyFull()) *
      Backend.unreportedFactor(Now) / Backend.slots();
  std::uniform_real_distribution<double> Jitter(0.5, 1.5);
  return toDuration(std::max(SlotSeconds * (Backend.waiting() + 1.0), returnSeconds(Pending)) *
                    Jitter(m_Context.m_Random));
}

/// Callers return only a few times: these are spread over the time in which the target can be met.
double Dispatcher::returnSeconds(const Request &Pending) const {
  constexpr double Returns = 4.0;
  constexpr double ShortestSeconds = 0.01;
  const Kind &RequestKind = m_Kinds[Pending.m_Kind];
  const double SpareSeconds =
      toSeconds(RequestKind.m_Settings.m_TargetLatency) - RequestKind.m_Work.usualSeconds();
  return std::max(SpareSeconds / Returns, ShortestSeconds);
}

void Dispatcher::placeRequest(Request &Pending, BackendIndex Index, TimePoint Now, Actions &Out) {
  if (refuseIfHeldBack(Pending, Now, Out)) {
    return;
  }
  if (isUnreachable()) {
    // Found during the search.
    if (!tryRelay(Pending, Now, Out)) {
      giveUpRequest(Pending, Now, Out);
    }
    return;
  }
  if (isTooLate(Pending, m_Backends[Index], Now)) {
    refuseLate(Pending, Now, Out);
    return;
  }
  const bool IsFirst = Pending.m_Purpose == SearchPurpose::FirstAttempt;
  const Kind &RequestKind = m_Kinds[Pending.m_Kind];
  if (!RequestKind.m_Settings.m_Idempotent && m_Context.m_Gate != nullptr) {
    if (const Reason Why = m_Context.m_Gate->mayDispatch(Pending.m_Id, Now); Why != Reason::None) {
      refuseRequest(Pending, Why, Duration::zero(), Now, Out);
      return;
    }
  }
  if (IsFirst) {
    m_RetryBudget.countFirstAttempt(Now);
  }
  sendAttempt(Pending, Index, Now, Out);
}

void Dispatcher::sendAttempt(Request &Pending, BackendIndex Index, TimePoint Now, Actions &Out) {
  BackendView &Backend = m_Backends[Index];
  noticePauseEnd(Backend, Now, Out);
  const Attempt Sent{.m_Id = AttemptId{m_Context.m_NextAttempt++},
                     .m_Request = Pending.m_Id,
                     .m_Kind = Pending.m_Kind,
                     .m_Server = Backend.m_Settings.m_Id,
                     .m_Started = Now,
                     .m_ReportedSlowdown = Backend.reportedSlowdown(),
                     .m_UnreportedFactor = Backend.unreportedFactor(Now),
                     .m_WasNearlyFull = Backend.isNearlyFull(),
                     .m_IsAdditional = Pending.m_Purpose != SearchPurpose::FirstAttempt};
  Decision Entry =
      makeDecision(Pending.m_Purpose == SearchPurpose::FirstAttempt ? DecisionType::Placed
                   : Pending.m_Purpose == SearchPurpose::Retry      ? DecisionType::Retried
                                                                    : DecisionType::Hedged,
                   Pending, Now);
  addBackendState(Entry, Backend, Now);
  const double ExpectedSeconds = Backend.expectedSeconds(m_Kinds[Pending.m_Kind].m_Work, Now);
  Entry.m_Expected = toDuration(ExpectedSeconds);
  Entry.m_Asked = m_LastSampled;
  Out.push_back(std::move(Entry));
  Backend.countSentRequest();
  Backend.m_Fitness.limit().countRequest(Now);
  Backend.m_Fitness.cold().countRequest(Now);
  announceIfTrial(Pending, Now, Out);
  m_Attempts.emplace(Sent.m_Id, Sent);
  Pending.m_Running.push_back(Sent.m_Id);
  Pending.m_Tried.push_back(Sent.m_Server);
  Out.push_back(Dispatch{.m_Request = Pending.m_Id,
                         .m_Attempt = Sent.m_Id,
                         .m_Server = Sent.m_Server,
                         .m_Deadline = std::min(Pending.m_Deadline, m_Context.m_EndsAt),
                         .m_SendBy = sendBy(Pending, ExpectedSeconds)});
  if (Pending.m_Purpose != SearchPurpose::Hedge) {
    startHedgeTimer(Pending, Now);
  }
}

void Dispatcher::startHedgeTimer(Request &Pending, TimePoint Now) {
  const Kind &RequestKind = m_Kinds[Pending.m_Kind];
  const Duration Target = RequestKind.m_Settings.m_TargetLatency;
  if (!RequestKind.m_Settings.m_Idempotent || Target <= Duration::zero()) {
    return;
  }
  // Late enough that most attempts have ended, early enough that a second one meets the target.
  constexpr double EarliestMultiple = 1.1;
  constexpr double SecondMultiple = 1.3;
  constexpr Duration CallerTransit = std::chrono::milliseconds(30);
  const double WorkSeconds = RequestKind.m_Work.usualSeconds();
  const TimePoint Latest =
      Pending.m_Arrived + Target - CallerTransit - toDuration(WorkSeconds * SecondMultiple);
  const TimePoint Earliest = Now + toDuration(WorkSeconds * EarliestMultiple);
  m_Timers.push({.m_At = std::max(Earliest, Latest),
                 .m_Type = RequestTimerType::Hedge,
                 .m_Request = Pending.m_Id});
}

void Dispatcher::startHedgeSearch(Request &Pending, TimePoint Now, Actions &Out) {
  const Kind &RequestKind = m_Kinds[Pending.m_Kind];
  const bool HasAttemptsLeft =
      Pending.m_Tried.size() <
      std::min<std::size_t>(RequestKind.m_Settings.m_MaxAttempts, MaxAttemptsPerRequest);
  // First attempts have priority for probes: with few left, hedges would leave them fewer servers
  // to choose from.
  // A request that may have crashed a server is not sent to two at a time.
  const auto Tracked = trackedContent(Pending.m_Id);
  if ((Tracked && m_Context.m_Poison.moments(*Tracked) > 0) || Pending.m_Running.size() != 1 ||
      Pending.m_Search || !HasAttemptsLeft || isTooLate(Pending, Now) ||
      !m_RetryBudget.hasToken() || !m_ProbeBudget.allowsMoreRounds(Now)) {
    return;
  }
  if (isUnreachable()) {
    if (tryRelay(Pending, Now, Out)) {
      m_RetryBudget.tryTakeToken();
    }
    return;
  }
  startSearch(Pending, SearchPurpose::Hedge, Now, Out);
}

void Dispatcher::finishHedgeSearch(Request &Pending, const std::optional<Candidate> &Best,
                                   TimePoint Now, Actions &Out) {
  // The running attempt may have failed during the search.
  if (Pending.m_Running.empty()) {
    if (Best && !Best->m_IsReserved && !isHeldBack(Pending, Now) &&
        !isTooLate(Pending, m_Backends[Best->m_Backend], Now) && m_RetryBudget.tryTakeToken()) {
      sendAttempt(Pending, Best->m_Backend, Now, Out);
    } else {
      giveUpRequest(Pending, Now, Out);
    }
    return;
  }
  const bool HasSpareSlots = Best && !m_Backends[Best->m_Backend].isNearlyFull();
  const double WorkSeconds = m_Kinds[Pending.m_Kind].m_Work.usualSeconds();
  constexpr double MaxCostMultiple = 2.0;
  if (!HasSpareSlots || Best->m_Cost > MaxCostMultiple * WorkSeconds ||
      isTooLate(Pending, m_Backends[Best->m_Backend], Now) || !m_RetryBudget.tryTakeToken()) {
    return;
  }
  ++m_Kinds.counters(Pending.m_Kind).m_Retries[static_cast<std::size_t>(RetryReason::Hedge)];
  sendAttempt(Pending, Best->m_Backend, Now, Out);
}

void Dispatcher::probeEnded(const ProbeEnded &Ended, TimePoint Now, Actions &Out) {
  BackendView *Backend = findBackend(Ended.m_Server);
  if (Ended.m_Answered) {
    noteReply(Ended.m_Server, Backend != nullptr, Now, Out);
  } else if (Backend != nullptr) {
    noteSilence(Ended.m_Server, Now, Out);
  }
  const bool IsTimed = Backend != nullptr && Backend->m_ProbeSince;
  const Duration Age = IsTimed ? Now - *Backend->m_ProbeSince : Duration{};
  if (Ended.m_ServerLeaving) {
    recordLeaving(Ended.m_Server, "probe", Age, Now, Out);
  }
  if (Ended.m_PauseFor > Duration::zero()) {
    recordPause(Ended.m_Server, Ended.m_PauseFor, "probe", Age, Now, Out);
  }
  if (Ended.m_RequestLimit) {
    recordLimit(Ended.m_Server, {.m_PerSecond = *Ended.m_RequestLimit, .m_SentAt = Now - Age},
                "probe", Now, Out);
  }
  if (Backend == nullptr) {
    m_Unconfirmed.erase(Ended.m_Server);
    return;
  }
  if (Ended.m_ColdFor && !Ended.m_WrongServer) {
    recordCold(*Backend, {.m_For = *Ended.m_ColdFor, .m_SaidAt = Now - Age}, "probe", Now, Out);
  }
  if (Backend->m_ProbeSince) {
    if (Ended.m_Answered) {
      m_ProbeSeconds.add(toSeconds(Now - *Backend->m_ProbeSince));
    }
    Backend->m_ProbeSince.reset();
  }
  if (Ended.m_WrongServer) {
    Backend->m_Load.reset();
    addFailure(*Backend, SetAsideScore, Now, Out);
  } else if (!Ended.m_Answered) {
    Backend->m_Load.reset();
    addFailure(*Backend, UnansweredProbeWeight, Now, Out);
  } else if (Ended.m_Load) {
    m_ReportsLoad = true;
    Backend->setLoad(*Ended.m_Load, Now);
  } else if (!m_ReportsLoad) {
    m_ReportsLoad = false;
  }
  if (Ended.m_Answered && !Ended.m_Healthy && !Ended.m_ServerLeaving) {
    addFailure(*Backend, UnhealthyProbeWeight, Now, Out);
  }
  advanceSearches(Now, Out);
  if (Ended.m_ConnectionRefused) {
    noteServerCrashed(Ended.m_Server, Now, Out);
  } else if (Ended.m_Answered) {
    noteServerAlive(Ended.m_Server);
  } else {
    checkServer(Ended.m_Server, Now, Out);
  }
  checkInvariants();
}

void Dispatcher::peerMark(ServerId Server, bool Leaving, TimePoint Now) {
  if (BackendView *Backend = findBackend(Server); Backend != nullptr && !Leaving) {
    Backend->addFailure(PeerMarkWeight, Now);
  }
}

void Dispatcher::tick(TimePoint Now, Actions &Out) {
  fireTimers(Now, Out);
  advanceSearches(Now, Out);
  checkInvariants();
}

TimePoint Dispatcher::nextTimer(TimePoint /*Now*/) const {
  TimePoint Next = m_Timers.empty() ? TimePoint::max() : m_Timers.top().m_At;
  for (const RequestId Id : m_SearchingRequests) {
    Next = std::min(Next, m_Requests.at(Id).m_Search->m_RoundDeadline);
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
    Request &Pending = Found->second;
    switch (Due.m_Type) {
    case RequestTimerType::Deadline:
      if (!Pending.m_Running.empty()) {
        m_Timers.push({.m_At = Pending.m_Deadline + DeadlineGrace,
                       .m_Type = RequestTimerType::Overdue,
                       .m_Request = Pending.m_Id});
        break;
      }
      handleMissedDeadline(Pending, Now, Out);
      break;
    case RequestTimerType::Overdue:
      handleMissedDeadline(Pending, Now, Out);
      break;
    case RequestTimerType::Hedge:
      startHedgeSearch(Pending, Now, Out);
      break;
    }
  }
}

void Dispatcher::handleMissedDeadline(Request &Pending, TimePoint Now, Actions &Out) {
  if (Pending.m_FailedReply) {
    giveUpRequest(Pending, Now, Out);
    return;
  }
  const bool MayHaveRun = Pending.m_MayHaveRun || !Pending.m_Running.empty();
  refuseRequest(Pending, MayHaveRun ? Reason::DeadlineRunning : Reason::DeadlineMissed,
                Duration::zero(), Now, Out);
}

void Dispatcher::completeRequest(Request &Pending, const ReplyPtr &FinalReply, TimePoint Now,
                                 Actions &Out) {
  Decision Entry = makeDecision(DecisionType::Answered, Pending, Now);
  Entry.m_Status = FinalReply->m_Status;
  Out.push_back(std::move(Entry));
  ++m_Kinds.counters(Pending.m_Kind).m_Completed;
  Out.push_back(kernel::Answer{
      .m_Request = Pending.m_Id, .m_Outcome = Outcome::Completed, .m_Reply = FinalReply});
  finishRequest(Pending, Out);
}

/// Refuses a request because even the best server found has no room.
void Dispatcher::refuseOverloaded(Request &Pending, const Candidate &Best, TimePoint Now,
                                  Actions &Out) {
  Decision Entry = makeDecision(DecisionType::Refused, Pending, Now);
  Entry.m_Outcome = toString(Reason::Overload);
  Entry.m_Asked = m_LastSampled;
  addBackendState(Entry, m_Backends[Best.m_Backend], Now);
  Out.push_back(std::move(Entry));
  answerRefusal(Pending, Reason::Overload, timeUntilRoom(Pending, Best, Now), Out);
}

void Dispatcher::refuseRequest(Request &Pending, Reason Why, Duration RetryAfter, TimePoint Now,
                               Actions &Out) {
  Decision Entry = makeDecision(DecisionType::Refused, Pending, Now);
  Entry.m_Outcome = toString(Why);
  if (!Pending.m_Tried.empty()) {
    if (const BackendView *Last = findBackend(Pending.m_Tried.back())) {
      addBackendState(Entry, *Last, Now);
    }
  }
  Out.push_back(std::move(Entry));
  answerRefusal(Pending, Why, RetryAfter, Out);
}

void Dispatcher::answerRefusal(Request &Pending, Reason Why, Duration RetryAfter, Actions &Out) {
  const bool MayHaveRun = Pending.m_MayHaveRun || !Pending.m_Running.empty();
  KindCounters &Counters = m_Kinds.counters(Pending.m_Kind);
  ++(MayHaveRun ? Counters.m_Unknown : Counters.m_NotRun)[static_cast<std::size_t>(Why)];
  Out.push_back(kernel::Answer{.m_Request = Pending.m_Id,
                               .m_Outcome = MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                               .m_Reason = Why,
                               .m_RetryAfter = RetryAfter});
  finishRequest(Pending, Out);
}

/// Cancels the attempts of an answered request that still run, and removes the request.
void Dispatcher::finishRequest(Request &Pending, Actions &Out) {
  for (const AttemptId Id : Pending.m_Running) {
    m_Attempts.at(Id).m_Cancelled = true;
    Out.push_back(CancelAttempt{Id});
  }
  std::erase(m_SearchingRequests, Pending.m_Id);
  m_Requests.erase(Pending.m_Id);
}

void Dispatcher::checkInvariants() const {
#ifndef NDEBUG
  std::size_t InFlight = 0;
  for (const BackendView &Backend : m_Backends) {
    InFlight += Backend.m_InFlight;
  }
  assert(InFlight <= m_Attempts.size());
  assert(m_SearchingRequests.size() <= m_Requests.size());
  for (const RequestId Id : m_SearchingRequests) {
    assert(m_Requests.at(Id).m_Search);
  }
#endif
}

} // namespace vanillahill::kernel::probed
