/// \file
/// What a backend server has said about itself in its replies to this VM, and which requests it may
/// get therefore.
#pragma once

#include "vanillahill/core/ids.hpp"
#include "vanillahill/core/time.hpp"
#include "vanillahill/kernel/probed/cold_state.hpp"
#include "vanillahill/kernel/probed/request_limit.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace vanillahill::kernel::probed {

/// After a pause, a server gets more and more requests at once from this VM, for so long.
inline constexpr Duration PauseRecoveryTime = std::chrono::seconds(1);

/// The statements of one incarnation of a backend server. A later incarnation has another ServerId
/// and starts without any.
class Fitness {
public:
  /// \brief Records a reply which says that the server is leaving.
  /// \return whether it is the first one
  bool recordLeaving(TimePoint Now) {
    if (m_LeavingSince) {
      return false;
    }
    m_LeavingSince = Now;
    return true;
  }

  /// \brief Whether the server has said that it is leaving.
  bool isLeaving() const { return m_LeavingSince.has_value(); }

  /// \brief Whether the server is leaving and a request arrived too late for it.
  /// \param Arrived when the request arrived at this VM
  /// \param DrainBound time for which a leaving server still serves requests
  bool isTooLate(TimePoint Arrived, Duration DrainBound) const {
    return m_LeavingSince && Arrived > *m_LeavingSince + DrainBound;
  }

  /// \brief Records a reply with which the server asks for a pause. Pauses that overlap are joined;
  /// a later and shorter one does not end an earlier one.
  /// \param Length time for which the server wants no request, not zero
  /// \return whether a pause begins
  bool recordPause(Duration Length, TimePoint Now) {
    const bool Begins = !isPaused(Now);
    if (Begins) {
      m_PausedSince = Now;
      ++m_Pauses;
    }
    m_PausedUntil = std::max(m_PausedUntil, Now + Length);
    m_IsEndUnnoticed = true;
    return Begins;
  }

  /// \brief Whether the server wants no request now.
  bool isPaused(TimePoint Now) const { return Now < m_PausedUntil; }

  /// \brief End of the last pause; TimePoint::min() when there was none.
  TimePoint pausedUntil() const { return m_PausedUntil; }

  /// \brief How many requests this VM may have in flight at the server: none during a pause, then
  /// one, growing to all slots.
  std::uint32_t maxInFlight(std::uint32_t Slots, TimePoint Now) const {
    if (isPaused(Now)) {
      return 0;
    }
    if (m_PausedUntil == TimePoint::min() || Now - m_PausedUntil >= PauseRecoveryTime) {
      return UINT32_MAX;
    }
    const std::chrono::duration<double> Since = Now - m_PausedUntil;
    const std::chrono::duration<double> Whole = PauseRecoveryTime;
    return std::max(static_cast<std::uint32_t>(Slots * (Since / Whole)), 1U);
  }

  /// \brief Called when something is sent to the server.
  /// \return how long ago the last pause began, the first time after its end
  std::optional<Duration> noticePauseEnd(TimePoint Now) {
    if (!m_IsEndUnnoticed) {
      return std::nullopt;
    }
    m_IsEndUnnoticed = false;
    return Now - m_PausedSince;
  }

  /// \brief How many pauses have begun.
  std::uint64_t pauses() const { return m_Pauses; }

  /// \brief The limit on the server's requests.
  RequestLimit &limit() { return m_Limit; }
  const RequestLimit &limit() const { return m_Limit; }

  /// \brief Whether the server is cold.
  ColdState &cold() { return m_Cold; }
  const ColdState &cold() const { return m_Cold; }

  /// \brief Whether there is anything to remember.
  bool isEmpty() const {
    return !m_LeavingSince && m_Pauses == 0 && !m_Limit.isKnown() &&
           m_Cold.until() == TimePoint::min();
  }

  /// \brief The latest time that a statement names; TimePoint::min() without one.
  TimePoint statedAt() const {
    return std::max({m_LeavingSince.value_or(TimePoint::min()), m_PausedUntil, m_Cold.until(),
                     m_Limit.isKnown() ? m_Limit.statedAt() : TimePoint::min()});
  }

private:
  std::optional<TimePoint> m_LeavingSince;
  TimePoint m_PausedSince{};
  TimePoint m_PausedUntil = TimePoint::min();
  std::uint64_t m_Pauses = 0;
  bool m_IsEndUnnoticed = false;
  RequestLimit m_Limit;
  ColdState m_Cold;
};

/// Statements of servers that the settings do not list at present. The record of a server may lapse
/// in the store and come back while the server is leaving.
class UnlistedFitness {
public:
  /// Servers that are remembered at most. With one more, the one whose statement is oldest is
  /// forgotten.
  static constexpr std::size_t MaxServers = 1024;

  /// \brief The statements of a server, for recording another one.
  Fitness &at(ServerId Server);

  /// \brief Keeps the statements of a server that is no longer listed.
  void keep(ServerId Server, const Fitness &Stated);

  /// \brief Removes the statements of a server that is listed again.
  /// \return those statements, empty when there are none
  Fitness take(ServerId Server);

  std::size_t size() const { return m_Servers.size(); }

private:
  void makeRoom();

  std::map<ServerId, Fitness> m_Servers;
};

} // namespace vanillahill::kernel::probed
