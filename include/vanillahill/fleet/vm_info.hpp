/// \file
/// What VMs tell each other about themselves and about the VMs that they know.
#pragma once

#include "vanillahill/core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillahill::fleet {

/// What a VM tells about itself.
struct VmInfo {
  std::string m_DataCenter;
  /// Number of VMs that it knows in its data centre, itself included.
  std::uint32_t m_LocalVms = 1;
  /// It has read the store, or another VM's snapshot, and can send a snapshot.
  bool m_HasCatalog = false;
};

/// A VM that another one knows.
struct ListedVm {
  /// IPv4 address.
  std::string m_Ip;
  /// Time since the VM was last heard from, by anyone.
  Duration m_Silence{};
};

/// Some or all VMs of one data centre.
struct VmGroup {
  std::string m_DataCenter;
  /// Number of VMs in the data centre; may be larger than that of the listed ones.
  std::uint32_t m_Vms = 0;
  std::vector<ListedVm> m_Listed;
};

} // namespace vanillahill::fleet
