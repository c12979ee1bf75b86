/// \file
/// The VMs of the fleet as one VM knows them.
#pragma once

#include "vanillahill/core/ids.hpp"
#include "vanillahill/core/time.hpp"

#include <algorithm>
#include <string>
#include <vector>

namespace vanillahill::kernel {

/// Which VMs share the work in this VM's data centre, and which other data centres have VMs.
struct FleetView {
  VmId m_Self{};
  std::string m_DataCenter;
  /// VMs of this data centre, this one included.
  std::vector<VmId> m_Local;
  /// Other data centres with at least one VM.
  std::vector<std::string> m_OtherDataCenters;
  /// When the view last changed.
  TimePoint m_ChangedAt = TimePoint::min();
};

/// \brief Whether a view has VMs of this data centre that an earlier one lacks.
inline bool hasNewVms(const FleetView &Previous, const FleetView &Next) {
  return std::any_of(Next.m_Local.begin(), Next.m_Local.end(), [&Previous](VmId Vm) {
    const auto &Known = Previous.m_Local;
    return std::find(Known.begin(), Known.end(), Vm) == Known.end();
  });
}

} // namespace vanillahill::kernel
