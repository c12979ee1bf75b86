/// \file
/// Converts a merged JSON document to SiteSettings.
#pragma once

#include "object_reader.hpp"

#include "vanillahill/settings/load.hpp"

namespace vanillahill::settings {

/// \brief Reads every field of a merged document.
/// \param Merged base and overlay after the merge patch
/// \param Out receives the problems
/// \return the settings; valid only if Out has no problems
SiteSettings readSite(const nlohmann::json &Merged, const CheckOptions &Options,
                      ProblemCollector &Out);

} // namespace vanillahill::settings
