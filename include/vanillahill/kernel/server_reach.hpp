/// \file
/// Whether this VM reaches backend servers at all.
#pragma once

#include "vanillahill/core/ids.hpp"
#include "vanillahill/core/time.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace vanillahill::kernel {

/// When many servers do not answer and none does, this VM has lost its links to them, or all of
/// them are down, which it cannot tell. Kept for all servers together and for those of each
/// service. Not thread safe.
class ServerReach {
public:
  /// Servers that did not answer, with no reply from any server since.
  static constexpr std::size_t MinSilentServers = 4;
  /// Time without a reply from any server.
  static constexpr Duration MinSilence = std::chrono::milliseconds(200);
  /// Interval in which a VM that is cut off looks whether a server answers again.
  static constexpr Duration CheckInterval = std::chrono::milliseconds(100);

  /// \brief Sets how many servers are known; with fewer than MinSilentServers, all must be silent.
  void setServerCount(std::size_t Count) { m_ServerCount = Count; }

  /// \brief Notes that a server replied.
  /// \return whether that ends a cut
  bool noteReply(TimePoint Now) {
    m_RepliedAt = Now;
    m_Silent.clear();
    if (!m_IsCutOff) {
      return false;
    }
    m_IsCutOff = false;
    ++m_Returns;
    return true;
  }

  /// \brief Notes that a server did not answer, or could not be connected to.
  /// \return whether the VM is found to be cut off
  bool noteSilence(ServerId Server, TimePoint Now) {
    if (m_IsCutOff) {
      return false;
    }
    if (std::find(m_Silent.begin(), m_Silent.end(), Server) == m_Silent.end()) {
      m_Silent.push_back(Server);
    }
    const std::size_t Needed = std::clamp<std::size_t>(m_ServerCount, 1, MinSilentServers);
    m_IsCutOff = m_Silent.size() >= Needed && Now - m_RepliedAt >= MinSilence;
    return m_IsCutOff;
  }

  /// \brief Whether no server can be reached.
  bool isCutOff() const { return m_IsCutOff; }

  /// \brief Whether to look now whether a server answers again; counts as done.
  bool takeCheck(TimePoint Now) {
    if (!m_IsCutOff || Now - m_CheckedAt < CheckInterval) {
      return false;
    }
    m_CheckedAt = Now;
    return true;
  }

  /// \brief Whether to announce now that this VM is cut off; counts as done.
  bool takeAnnouncement(TimePoint Now, Duration Interval) {
    if (!m_IsCutOff || Now - m_AnnouncedAt < Interval) {
      return false;
    }
    m_AnnouncedAt = Now;
    return true;
  }

  /// \brief How often a cut has ended. Failures of servers that were recorded before say nothing
  /// about the servers.
  std::uint64_t returns() const { return m_Returns; }

  /// \brief Time since the last reply of any server.
  Duration silence(TimePoint Now) const { return Now - m_RepliedAt; }

  /// \brief Servers that did not answer since the last reply, at most as many as were needed.
  std::size_t silentServers() const { return m_Silent.size(); }

private:
  std::size_t m_ServerCount = MinSilentServers;
  std::vector<ServerId> m_Silent;
  TimePoint m_RepliedAt{};
  TimePoint m_CheckedAt{};
  TimePoint m_AnnouncedAt{};
  bool m_IsCutOff = false;
  std::uint64_t m_Returns = 0;
};

} // namespace vanillahill::kernel
