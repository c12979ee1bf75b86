#include "vanillahill/kernel/dispatcher.hpp"

namespace vanillahill::kernel {

namespace {

/// Round robin without slots, ejection, retries or state shared between VMs: the baseline of every
/// measurement.
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
