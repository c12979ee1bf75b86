/// \file
/// Umbrella header: the kernel and the types of its interface.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/core/ids.hpp"
#include "vanillahill/core/time.hpp"
#include "vanillahill/kernel/node.hpp"
#include "vanillahill/peer/message.hpp"
#include "vanillahill/settings/settings.hpp"
