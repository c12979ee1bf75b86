/// \file
/// One function for each group of checks; each appends the violations that it finds.
#pragma once

#include "index.hpp"
#include "vanillahill/history/checker.hpp"

namespace vanillahill::history {

/// \brief At most once, truthful refusals, own and whole answers, one answer for each request.
void checkRequests(const Index &History, const CheckOptions &Options, std::vector<Violation> &Out);

/// \brief Leaving servers and the measuring budget.
void checkServers(const Index &History, const CheckOptions &Options, std::vector<Violation> &Out);

/// \brief Planned stops.
void checkStops(const Index &History, std::vector<Violation> &Out);

/// \brief Configuration in force in time and never reverted.
void checkConfiguration(const Index &History, const CheckOptions &Options,
                        std::vector<Violation> &Out);

} // namespace vanillahill::history
