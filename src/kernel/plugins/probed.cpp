#include "vanillahill/kernel/probed/dispatcher.hpp"

namespace vanillahill::kernel::probed {

namespace {

std::unique_ptr<DispatcherBase> makeProbedDispatcher(const DispatcherOptions &Options,
                                                     DispatcherContext &Context) {
  return std::make_unique<Dispatcher>(Options, Context);
}

const PolicyRegistration Registration("probed", &makeProbedDispatcher);

} // namespace

} // namespace vanillahill::kernel::probed
