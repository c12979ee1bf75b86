/// \file
/// JSON text to a document, with duplicate keys refused.
#pragma once

#include "vanillahill/settings/problem.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace vanillahill::settings {

/// \brief Parses a JSON text; each problem found is appended.
/// \param Text the whole file
/// \param File how problems name it
/// \param Found receives SettingsNotJson, and SettingsConflict for each duplicate key
/// \return the document; nothing when it is not JSON
std::optional<nlohmann::json> parseJson(std::string_view Text, const std::string &File,
                                        Problems &Found);

} // namespace vanillahill::settings
