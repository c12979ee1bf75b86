#include "vanillahill/kernel/probed/dispatcher.hpp"

namespace vanillahill::kernel::probed {

namespace {

/// Source of a limit that another VM announced.
constexpr std::string_view LimitAnnouncement = "vm";

} // namespace

void Dispatcher::appendAttemptEnd(const Attempt &Sent, const AttemptEnded &Ended, TimePoint Now,
                                  Actions &Out) {
  Decision Entry{.m_Type = DecisionType::AttemptEnded,
                 .m_Request = Sent.m_Request,
                 .m_Took = Now - Sent.m_Started,
                 .m_Outcome = Sent.m_Cancelled ? "cancelled" : toString(Ended.m_Result),
                 .m_Cause = Ended.m_ClosedUnanswered ? "closed_unanswered" : "",
                 .m_Status = Ended.m_Reply ? Ended.m_Reply->m_Status : 0};
  if (const BackendView *Backend = findBackend(Sent.m_Server)) {
    addBackendState(Entry, *Backend, Now);
  }
  Out.push_back(std::move(Entry));
}

Decision Dispatcher::makeDecision(DecisionType Type, const Request &Pending, TimePoint Now) const {
  return {.m_Type = Type,
          .m_Request = Pending.m_Id,
          .m_Took = Now - Pending.m_Arrived,
          .m_TimeLeft = Pending.m_Deadline - Now};
}

void Dispatcher::addBackendState(Decision &Entry, const BackendView &Backend, TimePoint Now) {
  Entry.m_Server = Backend.m_Settings.m_Name;
  Entry.m_Load = Backend.m_Load;
  Entry.m_LoadAge = Now - Backend.m_LoadReceivedAt;
  Entry.m_Failures = Backend.m_FailureScore.value(Now);
}

Fitness &Dispatcher::fitnessOf(ServerId Server) {
  BackendView *Backend = findBackend(Server);
  return Backend != nullptr ? Backend->m_Fitness : m_UnlistedFitness.at(Server);
}

/// \param Source what the server replied to
/// \param Age how long ago that was sent
void Dispatcher::recordLeaving(ServerId Server, std::string_view Source, Duration Age,
                               TimePoint Now, Actions &Out) {
  if (!fitnessOf(Server).recordLeaving(Now)) {
    return;
  }
  chooseSubset();
  Decision Entry{.m_Type = DecisionType::ServerSaidLeaving, .m_Took = Age, .m_Outcome = Source};
  if (const BackendView *Backend = findBackend(Server)) {
    addBackendState(Entry, *Backend, Now);
  }
  Out.push_back(std::move(Entry));
}

/// \param Length how long the server wants no request
/// \param Source what the server replied to
/// \param Age how long ago that was sent
void Dispatcher::recordPause(ServerId Server, Duration Length, std::string_view Source,
                             Duration Age, TimePoint Now, Actions &Out) {
  if (!fitnessOf(Server).recordPause(Length, Now)) {
    return;
  }
  Decision Entry{.m_Type = DecisionType::ServerPaused,
                 .m_Expected = Length,
                 .m_Took = Age,
                 .m_Outcome = Source};
  if (const BackendView *Backend = findBackend(Server)) {
    addBackendState(Entry, *Backend, Now);
  }
  Out.push_back(std::move(Entry));
}

/// \param Source what the server replied to, or "vm" for an announcement of another VM
void Dispatcher::recordLimit(ServerId Server, const LimitStatement &Stated, std::string_view Source,
                             TimePoint Now, Actions &Out) {
  BackendView *Backend = findBackend(Server);
  // A probe's reply is passed to the dispatchers of all services.
  const bool IsForeign = Backend == nullptr && Source != "request";
  if (IsForeign || (Backend == nullptr && !std::isfinite(Stated.m_PerSecond))) {
    return;
  }
  RequestLimit &Limit = fitnessOf(Server).limit();
  if (!std::isfinite(Stated.m_PerSecond) && !Limit.isWatched(Now)) {
    return;
  }
  std::uniform_real_distribution<double> Delay(0.0, 1.0);
  const LimitChange Change = Limit.record(Stated, Delay(m_Context.m_Random), Now);
  if (Change == LimitChange::Outdated) {
    return;
  }
  const bool IsChanged = Change == LimitChange::Changed;
  if (Source == LimitAnnouncement) {
    Limit.noteAnnounced(Now);
  } else if (Limit.takeAnnouncement(IsChanged, Now)) {
    Out.push_back(AnnounceServerLimit{
        .m_Server = Server, .m_PerSecond = Stated.m_PerSecond, .m_Age = Now - Stated.m_SentAt});
  }
  if (!IsChanged) {
    return;
  }
  Decision Entry{.m_Type = DecisionType::ServerLimitChanged,
                 .m_Took = Now - Stated.m_SentAt,
                 .m_RequestLimit = Stated.m_PerSecond,
                 .m_Outcome = Source};
  if (Backend != nullptr) {
    updateLimitShare(*Backend, Now);
    Entry.m_LimitShare = Limit.share();
    addBackendState(Entry, *Backend, Now);
  }
  Out.push_back(std::move(Entry));
}

void Dispatcher::updateLimitShare(BackendView &Backend, TimePoint Now) {
  RequestLimit &Limit = Backend.m_Fitness.limit();
  if (Limit.isKnown()) {
    Limit.setShare(limitShare(m_Context.m_Fleet, Backend.m_Settings, Limit.perSecond()),
                   m_Context.m_Fleet.m_ChangedAt + TakeOverDelay, Now);
  }
}

void Dispatcher::limitAnnounced(const ServerLimitReceived &Announced, TimePoint Now, Actions &Out) {
  recordLimit(Announced.m_Server,
              {.m_PerSecond = Announced.m_PerSecond, .m_SentAt = Now - Announced.m_Age},
              LimitAnnouncement, Now, Out);
}

void Dispatcher::fleetChanged(TimePoint Now) {
  for (BackendView &Backend : m_Backends) {
    updateLimitShare(Backend, Now);
    updateColdShare(Backend, Now);
  }
}

void Dispatcher::noticePauseEnd(BackendView &Backend, TimePoint Now, Actions &Out) {
  const auto Age = Backend.m_Fitness.noticePauseEnd(Now);
  if (!Age) {
    return;
  }
  Decision Entry{.m_Type = DecisionType::ServerPauseEnded, .m_Took = *Age};
  addBackendState(Entry, Backend, Now);
  Out.push_back(std::move(Entry));
}

/// Retry-After of a request that is refused because the servers are paused or limited. The callers
/// are spread over the time in which the first server takes more and more requests again.
Duration Dispatcher::timeUntilResumed(TimePoint UsableAt, TimePoint Now) {
  // New servers may start before that.
  constexpr Duration LongestWait = std::chrono::seconds(10);
  constexpr Duration ShortestSpread = std::chrono::milliseconds(100);
  std::uniform_int_distribution<Duration::rep> Spread(ShortestSpread.count(),
                                                      PauseRecoveryTime.count());
  return std::min<Duration>(UsableAt - Now, LongestWait) + Duration(Spread(m_Context.m_Random));
}

void Dispatcher::appendMarks(TimePoint Now, std::vector<ServerId> &Avoid,
                             std::vector<ServerId> & /*Leaving*/) const {
  for (const BackendView &Backend : m_Backends) {
    if (Backend.m_FailureScore.value(Now) >= SetAsideScore) {
      Avoid.push_back(Backend.m_Settings.m_Id);
    }
  }
}

void Dispatcher::appendStatus(TimePoint Now, NodeStatus &Status) const {
  appendUsed(m_Kinds.allCounters(), Status.m_Kinds);
  for (const BackendView &Backend : m_Backends) {
    const RequestLimit &Limit = Backend.m_Fitness.limit();
    Status.m_Servers.push_back(
        {.m_Server = Backend.m_Settings.m_Id,
         .m_Name = m_Settings.m_Name + "/" + Backend.m_Settings.m_Name,
         .m_InFlight = Backend.m_InFlight,
         .m_Ejected = Backend.m_FailureScore.value(Now) >= SetAsideScore,
         .m_Leaving = Backend.isLeaving(),
         .m_SaidLeaving = Backend.m_Fitness.isLeaving(),
         .m_PauseLeft =
             Backend.m_Fitness.isPaused(Now) ? Backend.m_Fitness.pausedUntil() - Now : Duration{},
         .m_Pauses = Backend.m_Fitness.pauses(),
         .m_RequestLimit = Limit.isKnown() ? std::optional(Limit.perSecond()) : std::nullopt,
         .m_ColdLeft = Backend.m_Fitness.cold().isCold(Now) ? Backend.m_Fitness.cold().until() - Now
                                                            : Duration{},
         .m_ColdShare = Backend.m_Fitness.cold().share(),
         .m_Probes = Backend.m_Probes});
  }
  Status.m_ProbeBudgets.push_back({.m_Service = m_Settings.m_Name,
                                   .m_Part = m_ProbeBudget.perSecond(),
                                   .m_Tokens = m_ProbeBudget.tokens(Now),
                                   .m_Demand = m_ArrivalRate.perSecond(Now),
                                   .m_Moved = m_TokenCounters});
  Status.m_InFlight += m_Attempts.size();
  Status.m_Queued += m_SearchingRequests.size();
}

} // namespace vanillahill::kernel::probed
