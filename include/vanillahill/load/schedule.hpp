/// \file
/// Arrivals of an open loop: Poisson in time, a mix of kinds, the same for the same seed.
#pragma once

#include "vanillahill/core/time.hpp"
#include "vanillahill/load/service_time.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace vanillahill::load {

/// One kind of request in the load.
struct KindLoad {
  /// "service/kind".
  std::string m_Name{};
  /// Part of all requests, relative to the other kinds.
  double m_Share = 1.0;
  double m_Weight = 1.0;
  Duration m_Deadline = std::chrono::seconds(2);
  bool m_Idempotent = false;
};

struct Arrival {
  /// After the start of the load.
  Duration m_At{};
  /// Index into the kinds.
  std::size_t m_Kind = 0;
};

struct ScheduleOptions {
  double m_RequestsPerSecond = 100;
  std::uint64_t m_Seed = 1;
};

/// Endless sequence of arrivals. Not thread safe.
class Schedule {
public:
  /// \param Kinds at least one with a share above zero
  Schedule(const std::vector<KindLoad> &Kinds, ScheduleOptions Options);

  /// \brief Draws the next arrival; times never go back.
  Arrival next();

private:
  Engine m_Random;
  std::exponential_distribution<double> m_Gap;
  std::discrete_distribution<std::size_t> m_Mix;
  double m_Seconds = 0;
};

} // namespace vanillahill::load
