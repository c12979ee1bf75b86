/// \file
/// Open-loop load: sends at the times of a seeded schedule, whatever the answers do.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/load/entry_chooser.hpp"
#include "vanillahill/load/result.hpp"
#include "vanillahill/load/schedule.hpp"

#include <functional>
#include <string>
#include <vector>

namespace vanillahill::load {

struct LoadOptions {
  std::vector<KindLoad> m_Kinds;
  /// Caller addresses of the entry VMs, IP:port.
  std::vector<std::string> m_Entries;
  /// Their names for the history; empty: the addresses.
  std::vector<std::string> m_EntryNames;
  Spread m_Spread = Spread::Random;
  double m_RequestsPerSecond = 100;
  /// Operations of this first part are checked and recorded but not counted.
  Duration m_Warmup{};
  Duration m_Time = std::chrono::seconds(10);
  /// A caller waits for its deadline and this much longer.
  Duration m_Patience = std::chrono::seconds(2);
  /// One way between caller and entry VM, added twice to each latency.
  Duration m_Distance{};
  /// Repeats of an operation whose outcome is not known, through another VM.
  std::uint32_t m_Repeats = 0;
  /// Part of the non-idempotent operations that are repeated while the first attempt may run.
  double m_ImpatientShare = 0;
  Duration m_SkipTime = std::chrono::seconds(1);
  std::uint64_t m_Seed = 1;
  /// Begins every request and operation id: unique among load tools of one run.
  std::string m_Name = "c1";
  std::string m_History;
  /// Control port of the backend server stand-in, IP:port; empty: no measuring cost is read.
  std::string m_Control;
  /// Called about once a second with a line for a person.
  std::function<void(const std::string &)> m_Progress;
};

/// \brief Runs a load to its end on the calling thread.
/// \return what was measured, or AddressUnusable, SettingsUnreadable, LogUnavailable
Result<LoadResult> runLoad(const LoadOptions &Options);

} // namespace vanillahill::load
