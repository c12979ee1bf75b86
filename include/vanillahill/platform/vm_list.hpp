/// \file
/// The stand-in's list of live and leaving VMs, which may be shown as it was some time ago.
#pragma once

#include "vanillahill/core/time.hpp"
#include "vanillahill/kernel/events.hpp"

#include <map>
#include <string>
#include <vector>

namespace vanillahill::platform {

/// The VM list with its history. Not thread safe.
class VmList {
public:
  /// \brief Adds or replaces a VM.
  void put(kernel::VmEntry Vm, TimePoint Now);
  /// \brief Removes a VM. \return whether it was listed
  bool remove(const std::string &Name, TimePoint Now);
  /// \brief The list as it stood some time ago.
  std::vector<kernel::VmEntry> read(TimePoint Now, Duration Lag) const;

private:
  using Names = std::map<std::string, kernel::VmEntry>;
  /// Older states are forgotten.
  static constexpr std::size_t MaxHistory = 1000;

  void remember(TimePoint Now);

  Names m_Current;
  std::map<TimePoint, Names> m_History;
};

} // namespace vanillahill::platform
