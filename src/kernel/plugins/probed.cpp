#include "vanillahill/kernel/probed/dispatcher.hpp"

namespace vanillahill::kernel::probed {

namespace {

std::unique_ptr<DispatcherBase> make(const DispatcherOptions &Options, DispatcherContext &Context) {
  return std::make_unique<Dispatcher>(Options, Context);
}

const PolicyRegistration Registered("probed", &make);

} // namespace

} // namespace vanillahill::kernel::probed
