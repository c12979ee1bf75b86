/// \file
/// The pool of workers.
#pragma once

#include "vanillahill/net/detail/types.hpp"

namespace vanillahill::net {

/// \brief Runs an io_context with a oneTBB task arena until it is stopped.
/// \param Io what to run
/// \param Workers threads, the calling one included; at least 1
void runWorkers(asio::io_context &Io, unsigned Workers);

} // namespace vanillahill::net
