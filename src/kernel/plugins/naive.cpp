#include "vanillahill/kernel/dispatcher.hpp"

namespace vanillahill::kernel {

namespace {

/// Round robin without slots, ejection or retries: the baseline that measurements compare with.
struct NaivePolicies {
  using Choice = RoundRobin;
  using Queue = WeightedDeadlineQueue;
  using Retry = NoRetry;
  using Ejection = NoEjection;
  using Slots = UnlimitedSlots;
};

const PolicyRegistration Registered("naive", &makePolicySet<NaivePolicies>);

} // namespace

} // namespace vanillahill::kernel
