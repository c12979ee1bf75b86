/// \file
/// How many servers of a large service one VM prefers.
#pragma once

#include "vanillahill/core/time.hpp"

#include <cstddef>
#include <optional>

namespace vanillahill::kernel::probed {

/// Largest sizes of the subset of a service's servers that one VM prefers: servers in its own data
/// centre (local) and in others (remote). Small enough to keep connections in use, large enough to
/// contain quick servers.
inline constexpr std::size_t MaxPreferredLocal = 24;
inline constexpr std::size_t MaxPreferredRemote = 12;
inline constexpr std::size_t MaxPreferred = MaxPreferredLocal + MaxPreferredRemote;

/// Sizes of the subset of a service's servers that one VM prefers.
struct PreferredCounts {
  std::size_t m_Local = MaxPreferredLocal;
  std::size_t m_Remote = MaxPreferredRemote;

  bool operator==(const PreferredCounts &) const = default;
};

/// Derives the size of the subset from the rate at which this VM sends to the service, so that each
/// server of the subset is used again before it closes its idle connection. The largest subset is
/// preferred until the rate is known. Sizes have hysteresis, as each change costs connections.
class SubsetSize {
public:
  /// Servers preferred for each request that is sent within the idle time. Together with
  /// MaxPreferred, this gives the largest subset from 4.5 requests per second at an idle time of
  /// 10 s.
  static constexpr double ServersPerRequest = 0.8;
  /// Fewest servers preferred: among fewer, too often all are slow or busy at once.
  static constexpr std::size_t MinPreferred = 6;
  /// Assumed until a server states how long it keeps idle connections open.
  static constexpr Duration DefaultIdleTime = std::chrono::seconds(10);
  /// Stated idle times count within these bounds.
  static constexpr Duration ShortestIdleTime = std::chrono::seconds(1);
  static constexpr Duration LongestIdleTime = std::chrono::seconds(60);
  /// Time constant of the measured rate.
  static constexpr Duration RateTimeConstant = std::chrono::seconds(10);
  /// The rate counts as known when it has been measured for this long.
  static constexpr Duration RateKnownAfter = std::chrono::seconds(10);
  /// The subset shrinks when the wanted size has been at most this share of it for ShrinkAfter.
  static constexpr double ShrinkShare = 0.7;
  static constexpr Duration ShrinkAfter = std::chrono::seconds(10);
  /// The subset grows when the wanted size has been at least this multiple of it, or MaxPreferred,
  /// for GrowAfter: with too few servers requests are lost, with too many only connections.
  static constexpr double GrowMultiple = 1.2;
  static constexpr Duration GrowAfter = std::chrono::seconds(1);

  explicit SubsetSize(TimePoint Now) : m_Begin(Now), m_CountedAt(Now) {}

  /// \brief Counts a first attempt.
  /// \return whether the size has changed
  bool countRequest(TimePoint Now);

  /// \brief Notes how long a server keeps idle connections open.
  void noteIdleTime(Duration Stated);

  /// \brief How long servers keep idle connections open.
  Duration idleTime() const { return m_IdleTime; }

  /// \brief The size in force.
  PreferredCounts counts() const;

  /// \brief Whether the subset is smaller than the largest one.
  bool isReduced() const { return m_Size < MaxPreferred; }

  /// \brief Measured requests per second.
  double perSecond(TimePoint Now) const;

private:
  std::size_t wantedSize(TimePoint Now) const;

  TimePoint m_Begin;
  TimePoint m_CountedAt;
  /// Requests, each weighted by its age.
  double m_Requests = 0.0;
  Duration m_IdleTime = DefaultIdleTime;
  std::size_t m_Size = MaxPreferred;
  /// Since when the wanted size has called for a smaller or larger subset.
  std::optional<TimePoint> m_TooLargeSince;
  std::optional<TimePoint> m_TooSmallSince;
};

} // namespace vanillahill::kernel::probed
