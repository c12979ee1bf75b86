/// \file
/// Retries after an attempt that did not complete, and hedges of slow attempts.
#pragma once

#include "vanillahill/kernel/server_table.hpp"
#include "vanillahill/kernel/status.hpp"

#include <algorithm>
#include <concepts>
#include <optional>

namespace vanillahill::kernel {

/// What a retry policy says after an attempt that did not complete.
enum class RetryVerdict : std::uint8_t { Retry, NotAllowed, BudgetSpent };

/// Decides whether a request gets another attempt.
template <typename T>
concept RetryPolicy = requires(T Policy, const PolicySettings &Settings, AttemptResult Result,
                               bool Idempotent, const KindState &Kind) {
  { Policy.configure(Settings) } -> std::same_as<void>;
  { Policy.firstAttempt() } -> std::same_as<void>;
  { Policy.afterFailure(Result, Idempotent) } -> std::same_as<RetryVerdict>;
  { Policy.hedgeDelay(Kind) } -> std::same_as<std::optional<Duration>>;
  { Policy.takeHedge() } -> std::same_as<bool>;
};

/// Never retries and never hedges.
struct NoRetry {
  static void configure(const PolicySettings &) {}
  static void firstAttempt() {}
  static RetryVerdict afterFailure(AttemptResult, bool) { return RetryVerdict::NotAllowed; }
  static std::optional<Duration> hedgeDelay(const KindState &) { return std::nullopt; }
  static bool takeHedge() { return false; }
};

/// Retries what did not run and what is idempotent, hedges idempotent requests; both from one
/// budget that is a share of first attempts, so that a fleet cannot multiply an outage.
class BudgetedRetry {
public:
  /// Retries that are possible after a quiet time.
  static constexpr double LargestBalance = 20.0;

  void configure(const PolicySettings &Settings) {
    m_Ratio = Settings.m_RetryRatio;
    m_HedgeFactor = Settings.m_HedgeFactor;
  }

  /// \brief A first attempt was sent: the budget grows.
  void firstAttempt() { m_Balance = std::min(m_Balance + m_Ratio, LargestBalance); }

  /// \brief Decides after an attempt that did not complete, and takes from the budget.
  RetryVerdict afterFailure(AttemptResult Result, bool Idempotent) {
    if (Result == AttemptResult::Unknown && !Idempotent) {
      return RetryVerdict::NotAllowed;
    }
    return take() ? RetryVerdict::Retry : RetryVerdict::BudgetSpent;
  }

  /// \brief How long an idempotent attempt may run before a hedge is sent.
  std::optional<Duration> hedgeDelay(const KindState &Kind) const {
    if (m_HedgeFactor <= 0.0 || !Kind.m_Settings.m_Idempotent || Kind.m_UsualSeconds.empty()) {
      return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(Kind.usual() * m_HedgeFactor);
  }

  /// \brief Takes a hedge from the budget; half of the balance is kept for retries.
  bool takeHedge() { return m_Balance >= LargestBalance / 2 && take(); }

private:
  bool take() {
    if (m_Balance < 1.0) {
      return false;
    }
    m_Balance -= 1.0;
    return true;
  }

  double m_Ratio = 0.1;
  double m_HedgeFactor = 0.0;
  double m_Balance = LargestBalance;
};

static_assert(RetryPolicy<NoRetry>);
static_assert(RetryPolicy<BudgetedRetry>);

} // namespace vanillahill::kernel
