/// \file
/// What becomes of a request whose attempts have ended without a reply that it can be answered
/// with.
#pragma once

#include "vanillahill/kernel/policy/retry.hpp"
#include "vanillahill/kernel/request_table.hpp"
#include "vanillahill/kernel/status.hpp"

#include <random>

namespace vanillahill::kernel {

/// \brief Whether a reply is a server error.
inline bool isServerError(const Reply &Value) {
  constexpr std::uint32_t FirstServerError = 500;
  return Value.m_Status >= FirstServerError;
}

/// \brief Why a request whose attempt ended so is sent again.
inline RetryReason retryReason(AttemptResult Result) {
  switch (Result) {
  case AttemptResult::NotRun:
    return RetryReason::ServerNotRun;
  case AttemptResult::NotSent:
    return RetryReason::NotSent;
  default:
    return RetryReason::LostIdempotent;
  }
}

/// \brief Why a request is not sent again.
inline Reason noRetryReason(const RequestState &State, RetryVerdict Verdict) {
  if (State.m_MayHaveRun) {
    return Reason::AttemptLost;
  }
  return Verdict == RetryVerdict::BudgetSpent ? Reason::RetryBudget : Reason::AttemptsRefused;
}

/// \brief The outcome of a request that gets no reply of a server.
inline Outcome outcomeWithoutReply(const RequestState &State) {
  return State.m_MayHaveRun ? Outcome::Unknown : Outcome::NotRun;
}

/// \brief How long the caller should wait before it repeats the request, so that the queue has time
/// to empty.
inline Duration retryAfter(Reason Cause, std::mt19937_64 &Random) {
  constexpr Duration NormalDelay = std::chrono::milliseconds(50);
  constexpr Duration OverloadDelay = std::chrono::milliseconds(500);
  const Duration Base =
      Cause == Reason::Overload || Cause == Reason::DeadlineMissed || Cause == Reason::NoServer
          ? OverloadDelay
          : NormalDelay;
  std::uniform_real_distribution<double> Jitter(1.0, 2.0);
  return std::chrono::duration_cast<Duration>(Base * Jitter(Random));
}

} // namespace vanillahill::kernel
