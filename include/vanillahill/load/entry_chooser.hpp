/// \file
/// Spreads requests over entry VMs as the platform's balancer does.
#pragma once

#include "vanillahill/core/time.hpp"
#include "vanillahill/load/service_time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace vanillahill::load {

enum class Spread : std::uint8_t { Random, RoundRobin };

struct EntryChooserOptions {
  std::size_t m_Entries = 1;
  Spread m_Spread = Spread::Random;
  /// How long a VM that refused a connection is left out.
  Duration m_SkipTime = std::chrono::seconds(1);
  std::uint64_t m_Seed = 1;
};

/// Not thread safe.
class EntryChooser {
public:
  explicit EntryChooser(EntryChooserOptions Options);

  /// \brief Chooses an entry VM.
  /// \param Now the time
  /// \param Avoid a VM to be left out if there is another
  /// \return its index; nothing if every VM is left out
  std::optional<std::size_t> choose(TimePoint Now, std::optional<std::size_t> Avoid = {});

  /// \brief A VM refused a connection.
  void refused(TimePoint Now, std::size_t Entry);

private:
  EntryChooserOptions m_Options;
  Engine m_Random;
  std::vector<TimePoint> m_SkipUntil;
  std::size_t m_Next = 0;
};

} // namespace vanillahill::load
