#include "vanillahill/core/time.hpp"

#include <ctime>

namespace vanillahill {

namespace {

Duration readClock(clockid_t Clock) {
  timespec Read{};
  clock_gettime(Clock, &Read);
  return std::chrono::seconds(Read.tv_sec) + std::chrono::nanoseconds(Read.tv_nsec);
}

} // namespace

Duration suspendedTime() { return readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC); }

} // namespace vanillahill
