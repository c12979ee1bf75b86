/// \file
/// Keeps a VM that is cut off from most others from taking over their work.
#pragma once

#include "vanillahill/core/time.hpp"

#include <cstddef>

namespace vanillahill::fleet {

/// Compares the VMs that are known in a data centre now with the most that were known within the
/// last minute. When half of these or more are missing, this VM may be the one that is cut off. Not
/// thread safe.
class MajorityGuard {
public:
  /// VMs that are still missing after this time are taken to be gone.
  static constexpr Duration Memory = std::chrono::seconds(60);
  /// VMs that a cut separates are missed one after another: only when none was missed for this long
  /// is it clear how many they are.
  static constexpr Duration QuietTime = std::chrono::seconds(8);

  /// \brief Whether the VMs that are known now may share the work of those that are missing.
  /// \param LocalVms VMs known in this data centre, this one included
  bool mayTakeOver(std::size_t LocalVms, TimePoint Now) {
    if (LocalVms < m_Previous) {
      m_MissedAt = Now;
    }
    m_Previous = LocalVms;
    if (LocalVms >= m_Largest || Now - m_LargestAt >= Memory) {
      m_Largest = LocalVms;
      m_LargestAt = Now;
      return true;
    }
    return 2 * LocalVms > m_Largest && Now - m_MissedAt >= QuietTime;
  }

private:
  std::size_t m_Previous = 0;
  TimePoint m_MissedAt{};
  std::size_t m_Largest = 0;
  TimePoint m_LargestAt{};
};

} // namespace vanillahill::fleet
