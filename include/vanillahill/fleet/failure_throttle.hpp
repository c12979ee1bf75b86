/// \file
/// Limits how often the failure of a backend server is announced.
#pragma once

#include "vanillahill/core/ids.hpp"
#include "vanillahill/core/time.hpp"

#include <map>

namespace vanillahill::fleet {

/// Remembers when the failure of each server was last announced. Not thread safe.
class FailureThrottle {
public:
  /// The failure of one server is announced at most once in this time.
  static constexpr Duration MinInterval = std::chrono::milliseconds(150);
  /// Maximum number of servers that are remembered; when it is reached, all are forgotten.
  static constexpr std::size_t MaxServers = 4096;

  /// \brief Records an announcement, unless the last one of the server was too recent.
  /// \return whether the failure may be announced
  bool mayAnnounce(ServerId Server, TimePoint Now) {
    if (m_AnnouncedAt.size() >= MaxServers) {
      m_AnnouncedAt.clear();
    }
    const auto [Known, IsNew] = m_AnnouncedAt.try_emplace(Server, Now);
    if (!IsNew && Now - Known->second < MinInterval) {
      return false;
    }
    Known->second = Now;
    return true;
  }

private:
  std::map<ServerId, TimePoint> m_AnnouncedAt;
};

} // namespace vanillahill::fleet
