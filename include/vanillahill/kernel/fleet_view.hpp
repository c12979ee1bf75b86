/// \file
/// The VMs of the fleet as one VM knows them.
#pragma once

#include "vanillahill/core/ids.hpp"
#include "vanillahill/core/time.hpp"

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

} // namespace vanillahill::kernel
