/// \file
/// How many requests per second arrive at this VM for one service.
#pragma once

#include "vanillahill/core/time.hpp"
#include "vanillahill/kernel/probed/seconds.hpp"

#include <algorithm>
#include <cmath>

namespace vanillahill::kernel::probed {

/// An exponentially weighted rate. Its time constant is short, so that a tenfold change is visible
/// within a second.
class ArrivalRate {
public:
  static constexpr Duration TimeConstant = std::chrono::seconds(1);
  /// Before so much time has passed, few arrivals say little about the rate.
  static constexpr Duration ShortestPeriod = std::chrono::milliseconds(200);

  explicit ArrivalRate(TimePoint Now) : m_Begin(Now), m_CountedAt(Now) {}

  void count(TimePoint Now) {
    m_Arrivals = decayed(Now) + 1.0;
    m_CountedAt = Now;
  }

  /// \brief Arrivals per second.
  double perSecond(TimePoint Now) const {
    const Duration Period = std::max<Duration>(Now - m_Begin, ShortestPeriod);
    const double Weights =
        toSeconds(TimeConstant) * -std::expm1(-toSeconds(Period) / toSeconds(TimeConstant));
    return decayed(Now) / Weights;
  }

private:
  double decayed(TimePoint Now) const {
    return m_Arrivals * std::exp(-toSeconds(Now - m_CountedAt) / toSeconds(TimeConstant));
  }

  TimePoint m_Begin;
  TimePoint m_CountedAt;
  /// Arrivals, each weighted by its age.
  double m_Arrivals = 0.0;
};

} // namespace vanillahill::kernel::probed
