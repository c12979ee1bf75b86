#include "vanillahill/load/service_time.hpp"

#include <algorithm>
#include <cmath>

namespace vanillahill::load {

namespace {

double relativeTime(const ServiceTimeOptions &Options, Engine &Random) {
  if (Options.m_Tail == Tail::Lognormal) {
    const double Sigma = Options.m_Shape;
    return std::lognormal_distribution<double>(-Sigma * Sigma / 2.0, Sigma)(Random);
  }
  if (Options.m_Tail == Tail::Pareto) {
    const double Alpha = Options.m_Shape;
    const double Uniform = 1.0 - std::uniform_real_distribution<double>(0.0, 1.0)(Random);
    return (Alpha - 1.0) / Alpha / std::pow(Uniform, 1.0 / Alpha);
  }
  return 1.0;
}

} // namespace

Duration ServiceTime::draw(Engine &Random) const {
  const double Nanos =
      static_cast<double>(m_Options.m_Mean.count()) * relativeTime(m_Options, Random);
  return Duration(std::max<std::int64_t>(1, static_cast<std::int64_t>(Nanos)));
}

} // namespace vanillahill::load
