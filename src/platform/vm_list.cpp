#include "vanillahill/platform/vm_list.hpp"

namespace vanillahill::platform {

void VmList::put(kernel::VmEntry Vm, TimePoint Now) {
  const std::string Name = Vm.m_Name;
  m_Current[Name] = std::move(Vm);
  remember(Now);
}

bool VmList::remove(const std::string &Name, TimePoint Now) {
  const bool Listed = m_Current.erase(Name) != 0;
  remember(Now);
  return Listed;
}

void VmList::remember(TimePoint Now) {
  m_History[Now] = m_Current;
  if (m_History.size() > MaxHistory) {
    m_History.erase(m_History.begin());
  }
}

std::vector<kernel::VmEntry> VmList::read(TimePoint Now, Duration Lag) const {
  std::vector<kernel::VmEntry> Vms;
  const auto After = m_History.upper_bound(Now - Lag);
  if (After == m_History.begin()) {
    return Vms;
  }
  for (const auto &[Name, Vm] : std::prev(After)->second) {
    Vms.push_back(Vm);
  }
  return Vms;
}

} // namespace vanillahill::platform
