/// \file
/// Service times of a stand-in backend server: seeded, with a heavy tail.
#pragma once

#include "vanillahill/core/time.hpp"

#include <cstdint>
#include <random>

namespace vanillahill::load {

/// The engine of every random choice of the tools.
using Engine = std::mt19937_64;

/// Shape of the distribution of service times.
enum class Tail : std::uint8_t { Fixed, Lognormal, Pareto };

struct ServiceTimeOptions {
  Duration m_Mean = std::chrono::milliseconds(50);
  Tail m_Tail = Tail::Lognormal;
  /// Sigma of the lognormal, alpha (above 1) of the Pareto distribution.
  double m_Shape = 1.0;
};

/// Draws service times with a given mean.
class ServiceTime {
public:
  explicit ServiceTime(ServiceTimeOptions Options) : m_Options(Options) {}

  /// \brief Draws one service time.
  /// \param Random the engine
  /// \return a positive duration
  Duration draw(Engine &Random) const;

private:
  ServiceTimeOptions m_Options;
};

} // namespace vanillahill::load
