#include "vanillahill/kernel/relay_helpers.hpp"

#include <algorithm>

namespace vanillahill::kernel {

ServerId helperId(std::string_view Ip) { return idOf<ServerId>("relay/" + std::string(Ip)); }

void RelayHelpers::set(std::span<const HelperVm> Helpers) {
  std::vector<Helper> Next;
  Next.reserve(Helpers.size());
  for (const HelperVm &Vm : Helpers) {
    const Helper *Known = findHelper(Vm.m_Id);
    Next.push_back(Known != nullptr ? *Known : Helper{});
    Next.back().m_Vm = Vm;
  }
  m_Helpers = std::move(Next);
  m_All.assign(Helpers.begin(), Helpers.end());
}

std::optional<ServerId> RelayHelpers::choose(std::span<const ServerId> Tried, TimePoint Now,
                                             std::mt19937_64 &Random) const {
  for (const bool IsLocal : {true, false}) {
    std::vector<const Helper *> Usable;
    for (const Helper &Each : m_Helpers) {
      if (Each.m_Vm.m_IsLocal == IsLocal && Each.m_AvoidUntil <= Now &&
          std::find(Tried.begin(), Tried.end(), Each.m_Vm.m_Id) == Tried.end()) {
        Usable.push_back(&Each);
      }
    }
    if (Usable.empty()) {
      continue;
    }
    std::uniform_int_distribution<std::size_t> Position(0, Usable.size() - 1);
    const Helper *First = Usable[Position(Random)];
    const Helper *Second = Usable[Position(Random)];
    return (Second->m_InFlight < First->m_InFlight ? Second : First)->m_Vm.m_Id;
  }
  return std::nullopt;
}

const HelperVm *RelayHelpers::find(ServerId Id) const {
  const auto Found = std::find_if(m_Helpers.begin(), m_Helpers.end(),
                                  [Id](const Helper &Each) { return Each.m_Vm.m_Id == Id; });
  return Found == m_Helpers.end() ? nullptr : &Found->m_Vm;
}

RelayHelpers::Helper *RelayHelpers::findHelper(ServerId Id) {
  const auto Found = std::find_if(m_Helpers.begin(), m_Helpers.end(),
                                  [Id](const Helper &Each) { return Each.m_Vm.m_Id == Id; });
  return Found == m_Helpers.end() ? nullptr : &*Found;
}

void RelayHelpers::noteAnnounced(ServerId Id, bool IsCutOff, TimePoint Now) {
  if (Helper *Announcer = findHelper(Id)) {
    Announcer->m_AvoidUntil = IsCutOff ? Now + AnnouncementLifetime : Now;
  }
}

void RelayHelpers::countSent(ServerId Id) {
  if (Helper *Chosen = findHelper(Id)) {
    ++Chosen->m_InFlight;
  }
}

void RelayHelpers::noteEnd(ServerId Id, bool WasServed, TimePoint Now) {
  Helper *Chosen = findHelper(Id);
  if (Chosen == nullptr) {
    return;
  }
  // The helper may have left and come back meanwhile.
  Chosen->m_InFlight -= std::min(Chosen->m_InFlight, 1U);
  if (!WasServed) {
    Chosen->m_AvoidUntil = std::max(Chosen->m_AvoidUntil, Now + AvoidTime);
  }
}

} // namespace vanillahill::kernel
