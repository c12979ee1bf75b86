#include "vanillahill/kernel/probed/dispatcher.hpp"
#include "vanillahill/kernel/probed/seconds.hpp"

namespace vanillahill::kernel::probed {

namespace {

/// Added when a server refused a request before it ran, or reset a connection while nearly full.
constexpr double RefusedRequestWeight = 0.3;

bool isServerError(const Reply &Value) {
  constexpr std::uint32_t FirstServerError = 500;
  return Value.m_Status >= FirstServerError;
}

} // namespace

void Dispatcher::callerGone(RequestId Id, TimePoint Now, Actions &Out) {
  const auto Found = m_Requests.find(Id);
  if (Found == m_Requests.end()) {
    return;
  }
  Request &Pending = Found->second;
  const bool IsIdempotent = m_Kinds[Pending.m_Kind].m_Settings.m_Idempotent;
  if (Pending.m_Running.empty() || IsIdempotent) {
    refuseRequest(Pending, Reason::CallerGone, Duration::zero(), Now, Out);
  }
}

void Dispatcher::attemptEnded(const AttemptEnded &Ended, TimePoint Now, Actions &Out) {
  const auto Found = m_Attempts.find(Ended.m_Attempt);
  if (Found == m_Attempts.end()) {
    return;
  }
  const Attempt Sent = Found->second;
  m_Attempts.erase(Found);
  if (Sent.m_IsRelay) {
    relayEnded(Sent, Ended, Now, Out);
    checkInvariants();
    return;
  }
  appendAttemptEnd(Sent, Ended, Now, Out);
  if (Ended.m_ServerLeaving) {
    recordLeaving(Sent.m_Server, "request", Now - Sent.m_Started, Now, Out);
  }
  if (Ended.m_PauseFor > Duration::zero()) {
    recordPause(Sent.m_Server, Ended.m_PauseFor, "request", Now - Sent.m_Started, Now, Out);
  }
  if (Ended.m_RequestLimit) {
    recordLimit(Sent.m_Server, {.m_PerSecond = *Ended.m_RequestLimit, .m_SentAt = Sent.m_Started},
                "request", Now, Out);
  }
  if (Ended.m_IdleTime) {
    m_SubsetSize.noteIdleTime(*Ended.m_IdleTime);
  }
  updateBackend(Sent, Ended, Now, Out);
  if (Ended.m_Result == AttemptResult::Completed || Ended.m_Result == AttemptResult::NotRun) {
    noteReply(Sent.m_Server, true, Now, Out);
  } else if (!Sent.m_Cancelled) {
    noteSilence(Sent.m_Server, Now, Out);
  }
  if (Ended.m_ClosedUnanswered && !Sent.m_Cancelled) {
    noteLostRequest(Sent, Now, Out);
  } else if (Ended.m_ConnectionRefused) {
    noteServerCrashed(Sent.m_Server, Now, Out);
  } else if (Ended.m_Result == AttemptResult::Completed) {
    noteCompletion(Sent, Now, Out);
  }
  if (Sent.m_IsAdditional && Ended.m_Result == AttemptResult::NotSent) {
    m_RetryBudget.returnToken();
  }
  const auto Owner = m_Requests.find(Sent.m_Request);
  if (Owner != m_Requests.end()) {
    Request &Pending = Owner->second;
    const auto Position = std::find(Pending.m_Running.begin(), Pending.m_Running.end(), Sent.m_Id);
    Pending.m_Running.erase(Position);
    handleAttemptResult(Pending, Ended, Now, Out);
  }
  checkInvariants();
}

void Dispatcher::addFailure(BackendView &Backend, double Weight, TimePoint Now, Actions &Out) {
  const bool WasSetAside = Backend.m_FailureScore.value(Now) >= SetAsideScore;
  Backend.addFailure(Weight, Now);
  if (!WasSetAside && Backend.m_FailureScore.value(Now) >= SetAsideScore) {
    Decision Entry{.m_Type = DecisionType::ServerSetAside};
    addBackendState(Entry, Backend, Now);
    Out.push_back(std::move(Entry));
  }
}

void Dispatcher::updateBackend(const Attempt &Sent, const AttemptEnded &Ended, TimePoint Now,
                               Actions &Out) {
  BackendView *Backend = findBackend(Sent.m_Server);
  if (Backend == nullptr) {
    return;
  }
  --Backend->m_InFlight;
  if (Ended.m_Load) {
    Backend->setLoad(*Ended.m_Load, Now);
  } else {
    Backend->countEndedRequest();
  }
  if (Sent.m_Cancelled) {
    learnDuration(*Backend, Sent, Now);
    return;
  }
  switch (Ended.m_Result) {
  case AttemptResult::Completed:
    if (isServerError(*Ended.m_Reply)) {
      addFailure(*Backend, 1.0, Now, Out);
      announceFailure(Sent.m_Server, Out);
    } else {
      Backend->recordSuccess(Now);
      learnDuration(*Backend, Sent, Now);
    }
    return;
  case AttemptResult::NotRun:
    addFailure(*Backend, Ended.m_WrongServer ? SetAsideScore : RefusedRequestWeight, Now, Out);
    return;
  case AttemptResult::NotSent:
    // During a pause, when a limit falls, an evacuation or a stop begins, requests that wait for a
    // connection are not sent.
    if (!Backend->m_Fitness.isPaused(Now) && !Backend->m_Fitness.limit().hasJustFallen(Now) &&
        !Backend->m_Settings.m_IsEvacuated && !isStopping()) {
      addFailure(*Backend, 1.0, Now, Out);
    }
    return;
  case AttemptResult::Unknown:
    if (Sent.m_WasNearlyFull) {
      // Some servers reset connections when they are full: a sign of load, not of failure.
      addFailure(*Backend, RefusedRequestWeight, Now, Out);
      return;
    }
    addFailure(*Backend, 1.0, Now, Out);
    announceFailure(Sent.m_Server, Out);
    return;
  }
}

/// Learns from the duration of an attempt; for a cancelled one it is a lower bound.
void Dispatcher::learnDuration(BackendView &Backend, const Attempt &Sent, TimePoint Now) {
  Kind &AttemptKind = m_Kinds[Sent.m_Kind];
  const double Took = toSeconds(Now - Sent.m_Started);
  const double Usual =
      AttemptKind.m_Work.usualSeconds() * Sent.m_UnreportedFactor *
      AttemptKind.m_Work.slowdownFactor(Sent.m_ReportedSlowdown, Sent.m_WasNearlyFull);
  constexpr double MaxSlowness = 8.0;
  const double Excess = std::clamp(Took / Usual - 1.0, 0.0, MaxSlowness);
  constexpr double NewSampleWeight = 0.5;
  const double Known = Backend.m_Slowness.value(Now);
  const bool IsInformative = !Sent.m_Cancelled || Excess > Known;
  if (IsInformative) {
    Backend.m_Slowness.set(Known + NewSampleWeight * (Excess - Known), Now);
  }
  if (!Sent.m_Cancelled) {
    AttemptKind.m_Work.addSample({.m_Seconds = Took,
                                  .m_ReportedSlowdown = Sent.m_ReportedSlowdown,
                                  .m_WasNearlyFull = Sent.m_WasNearlyFull,
                                  .m_UnreportedFactor = Sent.m_UnreportedFactor});
  }
}

void Dispatcher::handleAttemptResult(Request &Pending, const AttemptEnded &Ended, TimePoint Now,
                                     Actions &Out) {
  const bool IsIdempotent = m_Kinds[Pending.m_Kind].m_Settings.m_Idempotent;
  const bool Failed = Ended.m_Result == AttemptResult::Completed && isServerError(*Ended.m_Reply);
  if (Ended.m_Result == AttemptResult::Completed && !(Failed && IsIdempotent)) {
    completeRequest(Pending, Ended.m_Reply, Now, Out);
    return;
  }
  if (Failed) {
    Pending.m_FailedReply = Ended.m_Reply;
  }
  if (Ended.m_Result == AttemptResult::Unknown || Failed) {
    Pending.m_MayHaveRun = true;
  }
  if (!Pending.m_Running.empty()) {
    return;
  }
  if (Pending.m_Search) {
    // A hedge's search is already in progress; it becomes the retry.
    return;
  }
  const bool MustNotRepeat = Pending.m_MayHaveRun && !IsIdempotent;
  const bool NotSent = Ended.m_Result == AttemptResult::NotSent;
  Pending.m_Unreached += NotSent ? 1 : 0;
  if (NotSent && !MustNotRepeat && Pending.m_Unreached >= UnreachedBeforeRelay &&
      tryRelay(Pending, Now, Out)) {
    return;
  }
  const RetryReason Why = NotSent                                   ? RetryReason::NotSent
                          : Ended.m_Result == AttemptResult::NotRun ? RetryReason::ServerNotRun
                                                                    : RetryReason::LostIdempotent;
  if (MustNotRepeat || !tryRetry(Pending, Why, !NotSent, Now, Out)) {
    giveUpRequest(Pending, Now, Out);
  }
}

bool Dispatcher::tryRetry(Request &Pending, RetryReason Why, bool IsCharged, TimePoint Now,
                          Actions &Out) {
  const Kind &RequestKind = m_Kinds[Pending.m_Kind];
  const std::size_t MaxAttempts =
      std::min<std::size_t>(RequestKind.m_Settings.m_MaxAttempts, MaxAttemptsPerRequest);
  if (!IsCharged && !Pending.m_Tried.empty()) {
    // No byte was sent: the attempt does not count against the kind's limit, but the server is not
    // tried again.
    if (Pending.m_Tried.size() >= MaxAttemptsPerRequest) {
      return false;
    }
  } else if (Pending.m_Tried.size() >= MaxAttempts) {
    return false;
  }
  const bool HasTime = Now + toDuration(RequestKind.m_Work.usualSeconds()) < Pending.m_Deadline;
  if (!HasTime || isHeldBack(Pending, Now) || isTooLate(Pending, Now) ||
      !hasUsableBackend(m_Backends, criteriaOf(Pending, Now), Now) ||
      (IsCharged && !m_RetryBudget.tryTakeToken())) {
    return false;
  }
  ++m_Kinds.counters(Pending.m_Kind).m_Retries[static_cast<std::size_t>(Why)];
  startSearch(Pending, SearchPurpose::Retry, Now, Out);
  return true;
}

/// Answers a request that gets no further attempt.
void Dispatcher::giveUpRequest(Request &Pending, TimePoint Now, Actions &Out) {
  if (Pending.m_FailedReply) {
    completeRequest(Pending, ReplyPtr(Pending.m_FailedReply), Now, Out);
    return;
  }
  if (!Pending.m_MayHaveRun) {
    if (isTooLate(Pending, Now)) {
      refuseLate(Pending, Now, Out);
      return;
    }
    const bool IsUnreached = isUnreachable() || Pending.m_Unreached > 0;
    if (IsUnreached && tryRelay(Pending, Now, Out)) {
      return;
    }
    if (const auto Resumed = firstResumption(m_Backends, criteriaOf(Pending, Now), Now)) {
      refuseRequest(Pending, Resumed->m_Reason, timeUntilResumed(Resumed->m_At, Now), Now, Out);
      return;
    }
  }
  // Servers that turn requests away answer, and may take the next one: the caller can return in
  // time for its target. Servers that are not reached need longer.
  const bool IsTurnedAway =
      !Pending.m_MayHaveRun && !Pending.m_Tried.empty() && Pending.m_Unreached == 0;
  constexpr double UnreachedSeconds = 0.2;
  std::uniform_real_distribution<double> Jitter(0.5, 1.5);
  const double Wait =
      (IsTurnedAway ? returnSeconds(Pending) : UnreachedSeconds) * Jitter(m_Context.m_Random);
  Reason Why = Reason::NoServer;
  if (Pending.m_MayHaveRun) {
    Why = Reason::AttemptLost;
  } else if (!Pending.m_Tried.empty()) {
    Why = m_RetryBudget.hasToken() ? Reason::AttemptsRefused : Reason::RetryBudget;
  }
  refuseRequest(Pending, Why, toDuration(Wait), Now, Out);
}

} // namespace vanillahill::kernel::probed
