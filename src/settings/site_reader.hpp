/// \file
/// A merged JSON document to SiteSettings.
#pragma once

#include "object_reader.hpp"

#include "vanillahill/settings/load.hpp"

namespace vanillahill::settings {

/// \brief Reads every field of a merged document.
/// \param Merged base and overlay after the merge patch
/// \param Out receives the problems
/// \return the settings; only of use when Out stayed empty
SiteSettings readSite(const nlohmann::json &Merged, const CheckOptions &Options, Report &Out);

} // namespace vanillahill::settings
