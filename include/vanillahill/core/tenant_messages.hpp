/// \file
/// Messages with which VMs count the requests of a tenant together.
#pragma once

#include "vanillahill/core/ids.hpp"
#include "vanillahill/core/time.hpp"

#include <cstdint>
#include <string>

namespace vanillahill {

/// Asks the VM that counts a tenant's requests whether further ones may run.
struct TenantQuery {
  /// Identifies the query at the VM that asks.
  std::uint64_t m_Number = 0;
  TenantId m_Tenant{};
  /// Requests to be charged; zero only asks whether the counting VM answers.
  std::uint32_t m_Units = 1;
  /// IP of the VM that asks and gets the verdict; empty when that is the sender.
  std::string m_AskerIp;
  /// The VM that counts the tenant's requests first has not answered in time.
  bool m_IsForSecond = false;
  /// How often the query was passed on.
  std::uint32_t m_Hops = 0;
};

enum class CapVerdict : std::uint8_t {
  Granted,
  /// The usage cap is reached.
  Reached,
  /// The queried VM does not count the tenant's requests and has nothing left to grant.
  Unknown,
};

/// The answer to a TenantQuery.
struct TenantVerdict {
  std::uint64_t m_Number = 0;
  CapVerdict m_Verdict = CapVerdict::Unknown;
  /// With Reached: when the usage cap allows this request.
  Duration m_RetryAfter{};
};

/// Returns units that were granted for requests that did not run.
struct TenantReturn {
  TenantId m_Tenant{};
  std::uint32_t m_Units = 1;
};

} // namespace vanillahill
