/// \file
/// Messages with which VMs move tokens of a budget that all of them share.
#pragma once

#include "vanillahill/core/ids.hpp"

#include <cstdint>

namespace vanillahill {

/// Asks another VM for a part of its tokens.
struct TokenRequest {
  /// Identifies the request at the VM that asks.
  std::uint64_t m_Number = 0;
  ServiceId m_Service{};
  /// Requests per second that arrive at the VM that asks.
  double m_Demand = 0.0;
  /// Tokens that it has.
  std::uint32_t m_Tokens = 0;
};

/// The answer to a TokenRequest. The sender has taken the tokens from its own budget.
struct TokenGrant {
  std::uint64_t m_Number = 0;
  ServiceId m_Service{};
  /// Zero when the sender has none to spare.
  std::uint32_t m_Tokens = 0;
};

} // namespace vanillahill
