/// \file
/// Problems found in settings: each names the file, the JSON pointer, what was found and what is
/// allowed.
#pragma once

#include "vanillahill/core/error.hpp"

#include <span>
#include <string>
#include <vector>

namespace vanillahill::settings {

/// One problem in a settings file.
struct Problem {
  Errc m_Code = Errc::SettingsOutOfRange;
  /// Name of the file as the caller of the check gave it: a path, "base" or "overlay/<site>".
  std::string m_File;
  /// JSON pointer (RFC 6901) of the value; empty for the whole document.
  std::string m_Pointer;
  /// The value found, as JSON; "nothing" for a missing one.
  std::string m_Found;
  /// The accepted values, with unit and range.
  std::string m_Allowed;
  bool operator==(const Problem &) const = default;
};

using Problems = std::vector<Problem>;

/// \brief Human-readable line: file, pointer, message, value found and values allowed.
std::string toString(const Problem &Value);

/// \brief Converts a problem to an Error whose peer is the file.
Error toError(const Problem &Value);

/// \brief Combines all problems of a file into one Error.
/// \param Found at least one problem; the first gives the code
/// \return an Error whose detail has one line for each problem
Error toError(std::span<const Problem> Found);

} // namespace vanillahill::settings
