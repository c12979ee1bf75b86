/// \file
/// Which VMs send the requests that a limited backend server takes, and how many each.
#pragma once

#include "vanillahill/kernel/fleet_view.hpp"
#include "vanillahill/kernel/probed/request_limit.hpp"
#include "vanillahill/settings/settings.hpp"

#include <cstddef>

namespace vanillahill::kernel::probed {

/// A lower limit is treated like this one, requests per second: without any request, nothing would
/// show that the limit has ended.
inline constexpr double LowestLimit = 0.25;

/// A VM that finds itself among the holders of a limit after the fleet has changed sends nothing
/// for this long: the VMs that hold it so far may learn of the change later.
inline constexpr Duration TakeOverDelay = std::chrono::seconds(3);

/// Requests that the holders of a limit may send at once, all of them together, beyond those of
/// one second: room for callers that do not arrive evenly.
inline constexpr double SpareBurst = 2.0;

/// \brief How many VMs hold a limit: about one for each request per second. So each has a rate
/// worth having, and all of them together stay near the limit however large the fleet is.
/// \param PerSecond the limit
/// \param LocalVms VMs of the data centre that holds it
std::size_t limitHolders(double PerSecond, std::size_t LocalVms);

/// \brief This VM's part of a server's limit. VMs of the server's data centre hold it, so no two
/// data centres need to agree; the servers of one without VMs are given to another one. Among the
/// local VMs rendezvous hashing decides, so that a VM that joins or leaves moves few limits.
/// \param PerSecond the limit
/// \return no requests per second when other VMs hold the limit
/// \note Complexity: linear in the local VMs.
LimitShare limitShare(const FleetView &Fleet, const ServerSettings &Server, double PerSecond);

/// Requests per second for each VM that holds a share of a cold server's rate. Holders with views
/// of the fleet that differ add their bursts, so there are fewer of them than for other limits.
inline constexpr double ColdRatePerHolder = 2.0;

/// \brief This VM's share of the rate that a cold server tolerates. The burst of each holder is
/// one request: with the rate, all holders together stay within the rate and a half in any second.
/// \param PerSecond the rate
/// \return no requests per second when other VMs hold the rate
LimitShare coldShare(const FleetView &Fleet, const ServerSettings &Server, double PerSecond);

} // namespace vanillahill::kernel::probed
