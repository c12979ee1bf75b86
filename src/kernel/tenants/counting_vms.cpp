#include "vanillahill/kernel/tenants/counting_vms.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>

namespace vanillahill::kernel::tenants {

namespace {

std::uint64_t rankOf(TenantId Tenant, std::string_view Name) {
  return XXH3_64bits_withSeed(Name.data(), Name.size(), raw(Tenant));
}

/// The element with the given place in the order of ranks; null when there are fewer.
template <typename Container, typename NameOf>
const typename Container::value_type *ranked(const Container &From, TenantId Tenant,
                                             std::size_t Rank, NameOf Name) {
  using Item = typename Container::value_type;
  std::array<const Item *, 2> Best{};
  for (const Item &Each : From) {
    const auto Own = rankOf(Tenant, Name(Each));
    if (Best[0] == nullptr || Own < rankOf(Tenant, Name(*Best[0]))) {
      Best = {&Each, Best[0]};
    } else if (Best[1] == nullptr || Own < rankOf(Tenant, Name(*Best[1]))) {
      Best[1] = &Each;
    }
  }
  return Rank < Best.size() ? Best[Rank] : nullptr;
}

} // namespace

CountingVms::CountingVms(std::string SelfIp, std::string DataCenter)
    : m_SelfIp(std::move(SelfIp)),
      m_DataCenter(std::move(DataCenter)), m_Groups{{.m_DataCenter = m_DataCenter,
                                                     .m_Vms = {m_SelfIp}}} {}

void CountingVms::set(std::vector<CountingGroup> Groups) {
  std::erase_if(Groups, [](const CountingGroup &Group) { return Group.m_Vms.empty(); });
  m_Groups = std::move(Groups);
}

CountingVms::Place CountingVms::placeOf(TenantId Tenant, std::size_t Rank) const {
  const bool HasOneGroup = m_Groups.size() == 1;
  const CountingGroup *Group =
      ranked(m_Groups, Tenant, HasOneGroup ? 0 : Rank,
             [](const CountingGroup &Each) -> std::string_view { return Each.m_DataCenter; });
  if (Group == nullptr) {
    return {};
  }
  if (Group->m_DataCenter != m_DataCenter) {
    return {.m_Group = Group, .m_Ip = {}};
  }
  const std::string *Ip = ranked(Group->m_Vms, Tenant, HasOneGroup ? Rank : 0,
                                 [](const std::string &Each) -> std::string_view { return Each; });
  return Ip == nullptr ? Place{} : Place{.m_Group = Group, .m_Ip = *Ip};
}

} // namespace vanillahill::kernel::tenants
