/// \file
/// What a backend server has said about itself in its replies to this VM, and which requests it may
/// get therefore.
#pragma once

#include "vanillahill/core/ids.hpp"
#include "vanillahill/core/time.hpp"

#include <cstddef>
#include <map>
#include <optional>

namespace vanillahill::kernel::probed {

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

  /// \brief Whether there is anything to remember.
  bool isEmpty() const { return !m_LeavingSince; }

  /// \brief When the server made its last statement; TimePoint::min() without one.
  TimePoint statedAt() const { return m_LeavingSince.value_or(TimePoint::min()); }

private:
  std::optional<TimePoint> m_LeavingSince;
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
