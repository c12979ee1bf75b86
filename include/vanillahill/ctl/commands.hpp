/// \file
/// The commands of vanillahill-ctl. Results go to stdout, everything else to stderr.
#pragma once

#include "vanillahill/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace vanillahill::ctl {

/// Exit codes of vanillahill-ctl.
enum ExitCode : int {
  ExitOk = 0,
  /// diff: the file differs. status, publish --wait: not in force on every VM.
  ExitDifferent = 1,
  ExitUsage = 2,
  ExitInvalid = 3,
  ExitLostRace = 4,
  ExitUnconfirmed = 5,
  ExitUnavailable = 6,
};

/// What the commands are told; each uses its part.
struct Options {
  /// IP:port of the platform.
  std::string m_Platform;
  /// "base" or "overlay/<site>".
  std::string m_Name;
  /// Path of the file to check, compare or publish; "-" is stdin.
  std::string m_Path;
  /// Paths for check.
  std::string m_BasePath;
  std::string m_OverlayPath;
  std::string m_Site;
  std::string m_Operator;
  /// Empty makes a new one.
  std::string m_ChangeId;
  std::optional<std::uint64_t> m_BuildsOn;
  /// Withdraw the overlay instead of publishing a file.
  bool m_Withdraw = false;
  bool m_Wait = false;
  bool m_Json = false;
  Duration m_Timeout = std::chrono::seconds(10);
  /// Admin addresses.
  std::vector<std::string> m_Vms;
  std::string m_Token;
};

int check(const Options &Given);
int diff(const Options &Given);
int publish(const Options &Given);
int show(const Options &Given);
int status(const Options &Given);

} // namespace vanillahill::ctl
