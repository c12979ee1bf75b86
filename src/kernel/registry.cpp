#include "vanillahill/kernel/dispatcher_base.hpp"

#include <map>

namespace vanillahill::kernel {

namespace {

using PolicyMap = std::map<std::string_view, DispatcherFactory>;

PolicyMap &registeredPolicies() {
  static PolicyMap Instance;
  return Instance;
}

} // namespace

PolicyRegistration::PolicyRegistration(std::string_view Name, DispatcherFactory Factory) {
  registeredPolicies().emplace(Name, Factory);
}

std::unique_ptr<DispatcherBase> makeDispatcher(const DispatcherOptions &Options,
                                               DispatcherContext &Context) {
  const auto Found = registeredPolicies().find(Options.m_Settings.m_Policy.m_Name);
  if (Found == registeredPolicies().end()) {
    return nullptr;
  }
  return Found->second(Options, Context);
}

std::vector<std::string_view> policyNames() {
  std::vector<std::string_view> Names;
  for (const auto &[Name, Factory] : registeredPolicies()) {
    Names.push_back(Name);
  }
  return Names;
}

} // namespace vanillahill::kernel
