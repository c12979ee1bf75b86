#include "vanillahill/kernel/dispatcher.hpp"

namespace vanillahill::kernel {

namespace {

/// Slots are divided among the VMs and lent between them; see docs/design/decisions.md.
struct LeasedPolicies {
  using Choice = FastestIdle;
  using Queue = WeightedDeadlineQueue;
  using Retry = BudgetedRetry;
  using Ejection = ConsecutiveFailureEjection;
  using Slots = LentSlots;
};

const PolicyRegistration Registered("leased", &makePolicySet<LeasedPolicies>);

} // namespace

} // namespace vanillahill::kernel
