/// \file
/// Reads settings: the file of one VM, and the base file merged with the overlay of a site.
#pragma once

#include "vanillahill/settings/problem.hpp"
#include "vanillahill/settings/settings.hpp"

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace vanillahill::settings {

/// Names of policy sets that are accepted where the caller gives no list.
std::span<const std::string_view> defaultPolicyNames();

/// Policy names that settings are checked against, and the file names shown in problems.
struct CheckOptions {
  std::string m_Site;
  /// Names of the registered policy sets.
  std::span<const std::string_view> m_Policies = defaultPolicyNames();
  /// Names of the two files in problems.
  std::string m_BaseFile = "base";
  std::string m_OverlayFile = "overlay";
};

/// Result of a check: either the settings or all problems found, never both.
struct Checked {
  std::shared_ptr<const SiteSettings> m_Settings;
  Problems m_Problems;
};

/// \brief Reads a complete file.
/// \return the text, or SettingsUnreadable
Result<std::string> readText(const std::string &Path);

/// \brief Reads and checks the settings of one entry process.
/// \return the settings, or one Error that lists every problem
Result<VmSettings> loadVmSettings(const std::string &Path);

/// \brief Merges an overlay into the base (RFC 7396) and checks the result.
/// \param Base text of the base file
/// \param Overlay text of the overlay of Options.m_Site
/// \return the settings, or all problems, each with the file that contains the value
/// \note Pure and thread safe; linear in the size of both files.
Checked checkSite(std::string_view Base, std::string_view Overlay, const CheckOptions &Options);

/// \brief Checks a base file alone: JSON, unknown fields, types and ranges. Missing
/// fields and conflicts, such as unresolved references, are not reported: an overlay may add what
/// is missing.
Problems checkBase(std::string_view Base, const CheckOptions &Options);

} // namespace vanillahill::settings
