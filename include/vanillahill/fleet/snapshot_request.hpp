/// \file
/// The request with which a VM fetches the snapshot of another one.
#pragma once

#include "vanillahill/fleet/position.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace vanillahill::fleet {

/// Asks for a snapshot that is complete up to the given positions.
struct SnapshotRequest {
  Position m_ConfigurationTo;
  Position m_ServersTo;

  /// \brief Whether content that is complete up to these positions satisfies another request.
  bool covers(const SnapshotRequest &Other) const {
    return m_ConfigurationTo >= Other.m_ConfigurationTo && m_ServersTo >= Other.m_ServersTo;
  }
};

/// Path of the request's target.
inline constexpr std::string_view SnapshotPath = "/snapshot";

/// \brief Encodes a request as the target of an HTTP request.
std::string encodeTarget(const SnapshotRequest &Request);

/// \brief Decodes the target of an HTTP request.
/// \return the request, or nothing when the target is not one for a snapshot
std::optional<SnapshotRequest> decodeTarget(std::string_view Target);

} // namespace vanillahill::fleet
