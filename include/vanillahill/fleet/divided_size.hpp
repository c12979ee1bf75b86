/// \file
/// Over how many VMs a budget of the fleet is divided.
#pragma once

#include "vanillahill/core/time.hpp"

#include <cstddef>

namespace vanillahill::fleet {

/// The largest size of the fleet that was known lately. VMs that are missing may only be cut off
/// from this one, and go on using their parts: a part grows late and shrinks at once. Not thread
/// safe.
class DividedSize {
public:
  /// VMs that are missing for this long are taken to be gone.
  static constexpr Duration Memory = std::chrono::seconds(60);

  /// \brief Notes the size that is known now.
  /// \return the size to divide by
  std::size_t note(std::size_t Vms, TimePoint Now) {
    if (Vms >= m_Largest || Now - m_LargestAt >= Memory) {
      m_Largest = Vms;
      m_LargestAt = Now;
    }
    return m_Largest;
  }

private:
  std::size_t m_Largest = 0;
  TimePoint m_LargestAt{};
};

} // namespace vanillahill::fleet
