/// \file
/// Which VM counts the requests of a tenant, as one VM sees the fleet.
#pragma once

#include "vanillahill/core/ids.hpp"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahill::kernel::tenants {

/// VMs of one data centre that can count requests of tenants.
struct CountingGroup {
  std::string m_DataCenter;
  /// IPs. All of them for the own data centre, some for others.
  std::vector<std::string> m_Vms;
};

/// Ranks data centres and VMs for a tenant by rendezvous hashing, so that a VM that joins or leaves
/// moves few tenants. A VM knows only some VMs of another data centre, so the VM there is chosen by
/// the VMs there: a query goes to any of them, which passes it on.
class CountingVms {
public:
  /// \param SelfIp of this VM, which is in the first group
  CountingVms(std::string SelfIp, std::string DataCenter);

  /// \brief Replaces the known VMs; the group of the own data centre includes this VM.
  void set(std::vector<CountingGroup> Groups);

  /// Where the VM is that counts a tenant's requests.
  struct Place {
    /// Null when there is none.
    const CountingGroup *m_Group = nullptr;
    /// IP, if this VM knows which one it is: in the own data centre.
    std::string_view m_Ip;
  };

  /// \param Rank 0 for the VM that counts, 1 for the one that takes over
  Place placeOf(TenantId Tenant, std::size_t Rank) const;

  bool isSelf(const Place &Found) const { return Found.m_Ip == m_SelfIp; }
  const std::string &selfIp() const { return m_SelfIp; }

private:
  std::string m_SelfIp;
  std::string m_DataCenter;
  std::vector<CountingGroup> m_Groups;
};

} // namespace vanillahill::kernel::tenants
