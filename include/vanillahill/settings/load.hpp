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

/// What settings are checked against, and the names that problems show.
struct CheckOptions {
  std::string m_Site;
  /// Registered policy sets.
  std::span<const std::string_view> m_Policies = defaultPolicyNames();
  /// How problems name the two files.
  std::string m_BaseFile = "base";
  std::string m_OverlayFile = "overlay";
};

/// Settings, or every problem that was found; never both.
struct Checked {
  std::shared_ptr<const SiteSettings> m_Settings;
  Problems m_Problems;
};

/// \brief Reads a whole file.
/// \return the text, or SettingsUnreadable
Result<std::string> readText(const std::string &Path);

/// \brief Reads and checks the settings of one entry process.
/// \return the settings, or one Error that lists every problem
Result<VmSettings> loadVmSettings(const std::string &Path);

/// \brief Merges an overlay into the base (RFC 7396) and checks the result.
/// \param Base text of the base file
/// \param Overlay text of the overlay of Options.m_Site
/// \return the settings, or all problems, each with the file that holds the value
/// \note Pure and thread safe; linear in the size of both files.
Checked checkSite(std::string_view Base, std::string_view Overlay, const CheckOptions &Options);

/// \brief Checks a base file alone: JSON, unknown fields, types and ranges. Fields that an overlay
/// may still add are not missed, and references are not followed.
Problems checkBase(std::string_view Base, const CheckOptions &Options);

} // namespace vanillahill::settings
