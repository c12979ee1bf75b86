/// \file
/// The budget for additional attempts (retries and hedges) of one service at one VM.
#pragma once

#include "vanillahill/core/time.hpp"

#include <algorithm>
#include <deque>

namespace vanillahill::kernel::probed {

/// Each first attempt earns a fraction of a token, each additional attempt takes one token. Every
/// VM stays within the ratio for its own first attempts, so all VMs together do as well, even when
/// they cannot reach each other. A VM that restarts begins with an almost empty budget.
class RetryBudget {
public:
  /// Tokens of a VM that has sent nothing yet.
  static constexpr double InitialTokens = 1.0;
  /// Share of the allowed ratio that each first attempt earns; the rest bounds the tokens that can
  /// be saved.
  static constexpr double EarnedShare = 0.8;

  /// \param Ratio additional attempts allowed per first attempt, over any period of length Window
  void configure(double Ratio, Duration Window) {
    m_Ratio = Ratio;
    m_Window = Window;
  }

  /// \brief Counts a first attempt and adds what it earns.
  void countFirstAttempt(TimePoint Now) {
    m_FirstAttempts.push_back(Now);
    dropExpired(Now);
    m_Tokens = std::min(m_Tokens + m_Ratio * EarnedShare, maxTokens());
  }

  /// \brief Whether an additional attempt is allowed now.
  bool hasToken() const { return m_Tokens >= 1.0; }

  /// \brief Takes the token of an additional attempt.
  /// \return false when the budget is spent
  bool tryTakeToken() {
    if (!hasToken()) {
      return false;
    }
    m_Tokens -= 1.0;
    return true;
  }

  /// \brief Returns the token of an additional attempt that was never sent.
  void returnToken() { m_Tokens = std::min(m_Tokens + 1.0, maxTokens()); }

  double tokens() const { return m_Tokens; }

private:
  double maxTokens() const {
    const double Saved =
        m_Ratio * (1.0 - EarnedShare) * static_cast<double>(m_FirstAttempts.size());
    return InitialTokens + Saved;
  }

  void dropExpired(TimePoint Now) {
    while (!m_FirstAttempts.empty() && Now - m_FirstAttempts.front() > m_Window) {
      m_FirstAttempts.pop_front();
    }
  }

  double m_Ratio = 0.1;
  Duration m_Window = std::chrono::seconds(10);
  double m_Tokens = InitialTokens;
  /// Times of the first attempts within the window.
  std::deque<TimePoint> m_FirstAttempts;
};

} // namespace vanillahill::kernel::probed
