/// \file
/// The request with which a VM fetches the snapshot of another one.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace vanillahill::fleet {

/// Asks for a snapshot that is complete up to the given offsets.
struct SnapshotRequest {
  std::uint64_t m_ConfigurationTo = 0;
  std::uint64_t m_ServersTo = 0;
};

/// Path of the request's target.
inline constexpr std::string_view SnapshotPath = "/snapshot";

/// \brief Encodes a request as the target of an HTTP request.
std::string encodeTarget(const SnapshotRequest &Request);

/// \brief Decodes the target of an HTTP request.
/// \return the request, or nothing when the target is not one for a snapshot
std::optional<SnapshotRequest> decodeTarget(std::string_view Target);

} // namespace vanillahill::fleet
