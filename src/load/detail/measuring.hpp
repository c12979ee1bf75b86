/// \file
/// Reads the measuring cost from the control port of the backend server stand-in.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/load/result.hpp"

#include <string>
#include <vector>

namespace vanillahill::load::detail {

/// \brief Reads the counts of every server. \return one entry each, or what httpCall returns
Result<std::vector<MeasuringCost>> readMeasuring(const std::string &Control);

} // namespace vanillahill::load::detail
