/// \file
/// Conversion between durations and seconds.
#pragma once

#include "vanillahill/core/time.hpp"

namespace vanillahill::kernel::probed {

inline Duration toDuration(double Seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Seconds));
}

inline double toSeconds(Duration Value) { return std::chrono::duration<double>(Value).count(); }

} // namespace vanillahill::kernel::probed
