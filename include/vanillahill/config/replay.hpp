/// \file
/// The replay rule: which changes of the log take effect. It depends on the records alone, so every
/// VM and every operator's command that replayed the same prefix of the log has the same state.
///
/// A change takes effect (wins) if and only if
/// 1. it is well formed and matches its digest,
/// 2. its change id is not one of the last RecentChanges that won for its file,
/// 3. it builds on the current version of its file (0 when there is none),
/// 4. the settings stay valid: a base passes the checks alone and merged with every overlay that
///    is not withdrawn; an overlay passes merged with the base, which must exist; a withdrawn
///    overlay always passes.
#pragma once

#include "vanillahill/config/record.hpp"
#include "vanillahill/settings/load.hpp"

#include <map>
#include <span>
#include <string>
#include <string_view>

namespace vanillahill::config {

/// Number of won change ids remembered for each file.
inline constexpr std::size_t RecentChanges = 16;

/// The result of replaying one change.
enum class Verdict : std::uint8_t {
  /// It is the current version of its file.
  Won,
  /// It builds on a version other than the current one.
  LostRace,
  /// The settings would not pass the checks.
  Invalid,
  /// Its change id won before.
  Repeat,
};

/// \brief Readable name of a verdict.
std::string_view toString(Verdict Value);

/// A verdict with its version and problems.
struct Outcome {
  Verdict m_Verdict = Verdict::LostRace;
  /// Version in force afterwards; for Repeat, the version at which the change id won.
  std::uint64_t m_Version = 0;
  /// Set for Invalid.
  settings::Problems m_Problems;
};

/// The state that follows from a prefix of the log. Not thread safe.
class Replay {
public:
  /// \param Policies registered policy sets; must be the same on every VM and outlive this object
  explicit Replay(std::span<const std::string_view> Policies = settings::defaultPolicyNames())
      : m_Policies(Policies) {}

  /// \brief Applies the next change of the log.
  Outcome apply(const Change &Next);

  /// \brief The outcome that apply would return; changes nothing.
  Outcome evaluate(const Change &Next) const;

  /// \brief The file's current state. \return null when the file does not exist
  const FileState *find(std::string_view File) const;

  /// \brief Version of a file. \return 0 when the file does not exist
  std::uint64_t versionOf(std::string_view File) const;

  /// \brief The checked settings of a site.
  /// \return settings, or problems; neither when base or overlay is missing or withdrawn
  settings::Checked settingsOf(std::string_view Site) const;

  /// \brief The state as a checkpoint. \param AsOf offset up to which records were applied
  Checkpoint checkpoint(std::uint64_t AsOf) const;

  /// \brief Replaces the state.
  void restore(const Checkpoint &From);

  const std::map<std::string, FileState, std::less<>> &files() const { return m_Files; }

private:
  settings::Problems checkChange(const Change &Next) const;
  settings::Problems checkNewBase(const Change &Next) const;
  settings::Checked checkMerged(std::string_view Base, std::string_view Overlay,
                                std::string_view File) const;

  std::span<const std::string_view> m_Policies;
  std::map<std::string, FileState, std::less<>> m_Files;
};

} // namespace vanillahill::config
