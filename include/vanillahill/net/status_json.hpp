/// \file
/// The kernel's status as JSON, for /status.
#pragma once

#include "vanillahill/kernel/status.hpp"

#include <string>

namespace vanillahill::net {

/// \brief Writes the status of a VM.
/// \return one JSON object
std::string statusJson(const kernel::NodeStatus &Status);

} // namespace vanillahill::net
