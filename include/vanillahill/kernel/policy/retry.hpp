/// \file
/// Retries after attempts that did not complete, and hedges of slow attempts.
#pragma once

#include "vanillahill/kernel/server_table.hpp"
#include "vanillahill/kernel/status.hpp"

#include <algorithm>
#include <concepts>
#include <optional>

namespace vanillahill::kernel {

/// Decision of a retry policy after an attempt that did not complete.
enum class RetryVerdict : std::uint8_t { Retry, NotAllowed, BudgetSpent };

/// Decides whether a request gets another attempt.
template <typename T>
concept RetryPolicy = requires(T Policy, const PolicySettings &Settings, AttemptResult Result,
                               bool Idempotent, const KindState &Kind) {
  { Policy.configure(Settings) } -> std::same_as<void>;
  { Policy.recordFirstAttempt() } -> std::same_as<void>;
  { Policy.decideRetry(Result, Idempotent) } -> std::same_as<RetryVerdict>;
  { Policy.hedgeDelay(Kind) } -> std::same_as<std::optional<Duration>>;
  { Policy.takeHedge() } -> std::same_as<bool>;
};

/// Never retries and never hedges.
struct NoRetry {
  static void configure(const PolicySettings &) {}
  static void recordFirstAttempt() {}
  static RetryVerdict decideRetry(AttemptResult, bool) { return RetryVerdict::NotAllowed; }
  static std::optional<Duration> hedgeDelay(const KindState &) { return std::nullopt; }
  static bool takeHedge() { return false; }
};

/// Retries requests that did not run and idempotent requests, and hedges idempotent requests. Both
/// draw on one budget that grows by a share of the first attempts, so that retries of many VMs do
/// not multiply the load during an outage.
class BudgetedRetry {
public:
  /// Limit of the budget: retries that are possible in a row after a time without any.
  static constexpr double MaxBalance = 20.0;

  void configure(const PolicySettings &Settings) {
    m_Ratio = Settings.m_RetryRatio;
    m_HedgeFactor = Settings.m_HedgeFactor;
  }

  /// \brief Adds to the budget for a first attempt.
  void recordFirstAttempt() { m_Balance = std::min(m_Balance + m_Ratio, MaxBalance); }

  /// \brief Decides whether to retry after an attempt that did not complete; a retry is taken from
  /// the budget.
  RetryVerdict decideRetry(AttemptResult Result, bool Idempotent) {
    if (Result == AttemptResult::Unknown && !Idempotent) {
      return RetryVerdict::NotAllowed;
    }
    return takeToken() ? RetryVerdict::Retry : RetryVerdict::BudgetSpent;
  }

  /// \brief How long an idempotent attempt may run before a hedge is sent.
  std::optional<Duration> hedgeDelay(const KindState &Kind) const {
    if (m_HedgeFactor <= 0.0 || !Kind.m_Settings.m_Idempotent || Kind.m_UsualSeconds.empty()) {
      return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(Kind.usualTime() * m_HedgeFactor);
  }

  /// \brief Takes a hedge from the budget if the balance is at least half of MaxBalance; the rest
  /// is kept for retries.
  /// \return whether a hedge may be sent
  bool takeHedge() { return m_Balance >= MaxBalance / 2 && takeToken(); }

private:
  bool takeToken() {
    if (m_Balance < 1.0) {
      return false;
    }
    m_Balance -= 1.0;
    return true;
  }

  double m_Ratio = 0.1;
  double m_HedgeFactor = 0.0;
  double m_Balance = MaxBalance;
};

static_assert(RetryPolicy<NoRetry>);
static_assert(RetryPolicy<BudgetedRetry>);

} // namespace vanillahill::kernel
