/// \file
/// How many probes one VM may send to a service.
#pragma once

#include "vanillahill/core/time.hpp"

#include <algorithm>
#include <cstddef>

namespace vanillahill::kernel::probed {

/// A token bucket. Its rate is this VM's equal part of what all VMs together may ask, so the sum
/// holds whatever load each VM has. The less is left, the fewer servers a search asks.
class ProbeBudget {
public:
  /// Probes that may be saved up, as seconds of the rate.
  static constexpr double SavedSeconds = 1.0;
  /// Level, as a share of what may be saved up, from which a search may ask a further round.
  static constexpr double LevelForMoreRounds = 0.5;
  /// Level from which a round asks as many servers as it wants.
  static constexpr double LevelForFullRound = 0.25;
  /// Servers asked in a round below that level.
  static constexpr std::size_t ReducedRound = 2;

  /// \param PerSecond probes that this VM may send in a second
  void configure(double PerSecond, TimePoint Now) {
    refill(Now);
    if (m_PerSecond == 0.0) {
      m_Tokens = PerSecond * SavedSeconds;
    }
    m_PerSecond = PerSecond;
    m_Tokens = std::min(m_Tokens, most());
  }

  /// \brief How many of the wanted servers a round may ask.
  std::size_t roundSize(std::size_t Wanted, TimePoint Now) {
    refill(Now);
    const std::size_t Allowed = m_Tokens < LevelForFullRound * most() ? ReducedRound : Wanted;
    return std::min({Wanted, Allowed, static_cast<std::size_t>(m_Tokens)});
  }

  /// \brief Whether a search that found no good server may ask a further round.
  bool allowsMoreRounds(TimePoint Now) {
    refill(Now);
    return m_Tokens >= LevelForMoreRounds * most();
  }

  /// \brief One probe was sent.
  void take() { m_Tokens = std::max(m_Tokens - 1.0, 0.0); }

private:
  double most() const { return std::max(m_PerSecond * SavedSeconds, 1.0); }

  void refill(TimePoint Now) {
    const std::chrono::duration<double> Passed = Now - m_RefilledAt;
    m_RefilledAt = Now;
    m_Tokens = std::min(m_Tokens + Passed.count() * m_PerSecond, most());
  }

  double m_PerSecond = 0.0;
  double m_Tokens = 0.0;
  TimePoint m_RefilledAt{};
};

} // namespace vanillahill::kernel::probed
