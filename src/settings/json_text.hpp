/// \file
/// JSON text to a document, with duplicate keys refused.
#pragma once

#include "vanillahill/settings/problem.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace vanillahill::settings {

/// Objects and lists inside one another at most.
inline constexpr int MaxJsonDepth = 32;

/// \brief Parses a JSON text; each problem found is appended.
/// \param Text the whole file
/// \param File how problems name it
/// \param Found receives SettingsNotJson, SettingsConflict for each duplicate key and
/// SettingsOutOfRange for nesting deeper than MaxJsonDepth
/// \return the document; nothing when it is not JSON
std::optional<nlohmann::json> parseJson(std::string_view Text, const std::string &File,
                                        Problems &Found);

} // namespace vanillahill::settings
