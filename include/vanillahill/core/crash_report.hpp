/// \file
/// Report, exchanged between VMs, of the backend servers that crashed while they ran a request.
#pragma once

#include "vanillahill/core/ids.hpp"
#include "vanillahill/core/time.hpp"

#include <boost/container/static_vector.hpp>

#include <array>
#include <cstddef>
#include <cstdint>

namespace vanillahill {

/// Identifies the content of a request: equal for all copies of it, on every VM.
struct RequestContent {
  /// Fast hash; not safe against callers who look for collisions.
  std::uint64_t m_Hash = 0;
  /// Cryptographic digest.
  std::array<std::uint64_t, 2> m_Digest{};

  friend bool operator==(const RequestContent &, const RequestContent &) = default;
};

/// A backend server crashed while it ran a request.
struct ServerCrash {
  /// The incarnation that ended.
  ServerId m_Server{};
  /// Time since then.
  Duration m_Age{};
};

/// The crashes of servers under one request, as one VM knows them.
struct CrashReport {
  /// Further crashes add nothing to the verdict.
  static constexpr std::size_t MaxCrashes = 8;

  RequestContent m_Content;
  /// Raised whenever a copy of the request was completed, which clears it of all crashes so far.
  std::uint32_t m_Generation = 0;
  /// How often the request was sent since it is suspected, over all VMs.
  std::uint32_t m_Trials = 0;
  /// One for each moment at which servers crashed.
  boost::container::static_vector<ServerCrash, MaxCrashes> m_Crashes;
};

} // namespace vanillahill
