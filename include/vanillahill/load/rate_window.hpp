/// \file
/// Counts events and the most that fell into any one second.
#pragma once

#include "vanillahill/core/time.hpp"

#include <cstdint>
#include <deque>

namespace vanillahill::load {

/// Sliding window of one second. Not thread safe.
class RateWindow {
public:
  /// \brief Counts one event. \param Now its time, not before the last
  void add(TimePoint Now);

  std::uint64_t total() const { return m_Total; }
  /// \brief The most events in any second. \return a count
  std::uint64_t mostPerSecond() const { return m_Most; }

private:
  std::deque<TimePoint> m_Recent;
  std::uint64_t m_Total = 0;
  std::uint64_t m_Most = 0;
};

} // namespace vanillahill::load
