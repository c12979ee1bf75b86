/// \file
/// What VMs tell each other about themselves and about the VMs that they know.
#pragma once

#include "vanillahill/core/time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillahill::fleet {

/// What a VM can do beyond what every version could; bits of VmInfo::m_Capabilities.
namespace capability {
/// It announces every record of the operator that it reads, not only configurations.
inline constexpr std::uint32_t OperatorRecords = 1U << 0U;
/// It counts requests of tenants for other VMs.
inline constexpr std::uint32_t TenantCaps = 1U << 1U;
} // namespace capability

/// What a VM tells about itself.
struct VmInfo {
  std::string m_DataCenter;
  /// Number of VMs that it knows in its data centre, itself included.
  std::uint32_t m_LocalVms = 1;
  /// It has read the store, or another VM's snapshot, and can send a snapshot.
  bool m_HasCatalog = false;
  /// Zero for a VM of a version without them.
  std::uint32_t m_Capabilities = 0;

  /// See ReaderRank; UnknownLink for a VM of an earlier version.
  std::uint32_t m_LinkClass = UnknownLink;

  static constexpr std::uint32_t UnknownLink = 255;

  bool can(std::uint32_t Capability) const { return (m_Capabilities & Capability) != 0; }
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
