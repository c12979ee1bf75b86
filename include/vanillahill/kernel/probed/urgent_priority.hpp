/// \file
/// The most urgent priority that a service has seen lately.
#pragma once

#include "vanillahill/core/time.hpp"

#include <algorithm>
#include <cstdint>
#include <map>

namespace vanillahill::kernel::probed {

/// Remembers when requests of each priority arrived last. Not thread safe.
class UrgentPriority {
public:
  /// A priority counts as seen for this long. A VM receives about one request a second for a
  /// service, so that a shorter time would often miss the urgent ones.
  static constexpr Duration Lifetime = std::chrono::seconds(10);

  /// \brief Notes the arrival of a request.
  /// \param Priority 0 is the most urgent
  void note(std::uint32_t Priority, TimePoint Now) {
    std::erase_if(m_SeenAt, [Now](const auto &Seen) { return Now - Seen.second > Lifetime; });
    m_SeenAt[Priority] = Now;
  }

  /// \brief Whether requests of a more urgent priority have arrived lately.
  bool hasMoreUrgent(std::uint32_t Priority, TimePoint Now) const {
    return std::any_of(m_SeenAt.begin(), m_SeenAt.lower_bound(Priority),
                       [Now](const auto &Seen) { return Now - Seen.second <= Lifetime; });
  }

private:
  std::map<std::uint32_t, TimePoint> m_SeenAt;
};

} // namespace vanillahill::kernel::probed
