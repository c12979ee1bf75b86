/// \file
/// Problems found in settings: each names the file, the JSON pointer, what was found and what is
/// allowed.
#pragma once

#include "vanillahill/core/error.hpp"

#include <span>
#include <string>
#include <vector>

namespace vanillahill::settings {

/// One fault of a settings file.
struct Problem {
  Errc m_Code = Errc::SettingsOutOfRange;
  /// The file as its reader named it: a path, "base" or "overlay/<site>".
  std::string m_File;
  /// JSON pointer (RFC 6901) of the value; empty for the whole document.
  std::string m_Pointer;
  /// The value found, as JSON; "nothing" for a missing one.
  std::string m_Found;
  /// What would be accepted, with unit and range.
  std::string m_Allowed;
  bool operator==(const Problem &) const = default;
};

using Problems = std::vector<Problem>;

/// \brief One line for a person: file, pointer, message, value found and values allowed.
std::string toString(const Problem &Value);

/// \brief A problem as an Error; the file is the peer.
Error toError(const Problem &Value);

/// \brief All problems of a file as one Error.
/// \param Found at least one problem; the first gives the code
/// \return an Error whose detail has one line for each problem
Error toError(std::span<const Problem> Found);

} // namespace vanillahill::settings
