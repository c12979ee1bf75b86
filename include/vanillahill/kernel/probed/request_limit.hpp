/// \file
/// The number of requests per second that a backend server takes from all VMs together, as far as
/// this VM knows.
#pragma once

#include "vanillahill/kernel/events.hpp"

#include <algorithm>
#include <cmath>

namespace vanillahill::kernel::probed {

/// The limit that one incarnation of a backend server has named.
class RequestLimit {
public:
  /// \brief Records what a reply said. A lower limit holds at once. A higher one, or none, holds
  /// only if the request was sent after the last statement was received: replies on several
  /// connections may overtake each other. \param PerSecond requests per second, or NoRequestLimit
  /// \param SentAt when the request to which the server replied was sent
  /// \return whether the limit changed
  bool record(double PerSecond, TimePoint SentAt, TimePoint Now) {
    if (PerSecond > m_PerSecond && SentAt < m_StatedAt) {
      return false;
    }
    const bool Changes = PerSecond != m_PerSecond;
    m_PerSecond = PerSecond;
    m_StatedAt = std::max(m_StatedAt, Now);
    return Changes;
  }

  /// \brief Whether the server has named a limit that holds.
  bool isInForce() const { return std::isfinite(m_PerSecond); }

  /// \brief Requests per second, or NoRequestLimit.
  double perSecond() const { return m_PerSecond; }

  /// \brief When the last statement was received; TimePoint::min() without one.
  TimePoint statedAt() const { return m_StatedAt; }

private:
  double m_PerSecond = NoRequestLimit;
  TimePoint m_StatedAt = TimePoint::min();
};

} // namespace vanillahill::kernel::probed
