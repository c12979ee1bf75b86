/// \file
/// The budget of second sends: retries and hedges of one service at one VM.
#pragma once

#include "vanillahill/core/time.hpp"

#include <algorithm>
#include <deque>

namespace vanillahill::kernel::probed {

/// Earns a share of a token with each first attempt and pays one for each further attempt. Every VM
/// keeps to its own first attempts, so the sum over all VMs keeps to all first attempts, also when
/// VMs cannot hear each other. A VM that starts anew begins with an almost empty budget.
class RetryBudget {
public:
  /// Tokens of a VM that has sent nothing yet.
  static constexpr double InitialTokens = 1.0;
  /// Share of the allowed ratio that is earned steadily; the rest is what may be saved up.
  static constexpr double EarnedShare = 0.8;

  /// \param Ratio second sends allowed for each first attempt, over any Window
  void configure(double Ratio, Duration Window) {
    m_Ratio = Ratio;
    m_Window = Window;
  }

  /// \brief A request was sent to its first server.
  void firstAttempt(TimePoint Now) {
    m_Firsts.push_back(Now);
    forgetOld(Now);
    m_Tokens = std::min(m_Tokens + m_Ratio * EarnedShare, mostTokens());
  }

  /// \brief Whether one further attempt is allowed now.
  bool canTake() const { return m_Tokens >= 1.0; }

  /// \brief Pays for one further attempt.
  /// \return false when the budget is spent
  bool take() {
    if (!canTake()) {
      return false;
    }
    m_Tokens -= 1.0;
    return true;
  }

  /// \brief A further attempt that was paid for never left this VM.
  void giveBack() { m_Tokens = std::min(m_Tokens + 1.0, mostTokens()); }

  double tokens() const { return m_Tokens; }

private:
  double mostTokens() const {
    const double Saved = m_Ratio * (1.0 - EarnedShare) * static_cast<double>(m_Firsts.size());
    return InitialTokens + Saved;
  }

  void forgetOld(TimePoint Now) {
    while (!m_Firsts.empty() && Now - m_Firsts.front() > m_Window) {
      m_Firsts.pop_front();
    }
  }

  double m_Ratio = 0.1;
  Duration m_Window = std::chrono::seconds(10);
  double m_Tokens = InitialTokens;
  /// First attempts within the window.
  std::deque<TimePoint> m_Firsts;
};

} // namespace vanillahill::kernel::probed
