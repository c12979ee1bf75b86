/// \file
/// The pool of worker threads.
#pragma once

#include "vanillahill/net/detail/types.hpp"

namespace vanillahill::net {

/// \brief Runs an io_context with a oneTBB task arena until it is stopped.
/// \param Io the io_context to run
/// \param Workers number of threads, including the calling one; at least 1
void runWorkers(asio::io_context &Io, unsigned Workers);

} // namespace vanillahill::net
