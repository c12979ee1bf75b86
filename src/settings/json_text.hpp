/// \file
/// Parses JSON text and reports duplicate keys.
#pragma once

#include "vanillahill/settings/problem.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace vanillahill::settings {

/// Maximum nesting depth of objects and arrays.
inline constexpr int MaxJsonDepth = 32;

/// \brief Parses a JSON text; each problem found is appended.
/// \param Text the complete file
/// \param File name of the file in problems
/// \param Found receives SettingsNotJson, SettingsConflict for each duplicate key and
/// SettingsOutOfRange for nesting deeper than MaxJsonDepth
/// \return the document; nullopt when it is not JSON or is nested too deeply
std::optional<nlohmann::json> parseJson(std::string_view Text, const std::string &File,
                                        Problems &Found);

} // namespace vanillahill::settings
