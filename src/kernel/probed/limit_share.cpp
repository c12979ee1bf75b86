#include "vanillahill/kernel/probed/limit_share.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace vanillahill::kernel::probed {

namespace {

std::uint64_t hashOf(std::string_view Text) { return XXH3_64bits(Text.data(), Text.size()); }

std::uint64_t rankOf(std::uint64_t Server, std::uint64_t Candidate) {
  const std::array<std::uint64_t, 2> Pair{Server, Candidate};
  return XXH3_64bits(Pair.data(), sizeof(Pair));
}

/// Whether the VMs of this data centre hold the limits of a server.
bool holdsDataCenter(const FleetView &Fleet, const ServerSettings &Server) {
  const auto &Others = Fleet.m_OtherDataCenters;
  if (Server.m_DataCenter == Fleet.m_DataCenter) {
    return true;
  }
  if (std::find(Others.begin(), Others.end(), Server.m_DataCenter) != Others.end()) {
    return false;
  }
  const std::uint64_t ServerHash = hashOf(Server.m_Name);
  const std::uint64_t Own = rankOf(ServerHash, hashOf(Fleet.m_DataCenter));
  return std::none_of(Others.begin(), Others.end(), [&](const std::string &Other) {
    return rankOf(ServerHash, hashOf(Other)) < Own;
  });
}

/// Whether this VM is among the first ones for a server.
bool isHolder(const FleetView &Fleet, const ServerSettings &Server, std::size_t Holders) {
  const std::uint64_t ServerHash = hashOf(Server.m_Name);
  const std::uint64_t Own = rankOf(ServerHash, raw(Fleet.m_Self));
  const auto Before = static_cast<std::size_t>(
      std::count_if(Fleet.m_Local.begin(), Fleet.m_Local.end(),
                    [&](VmId Vm) { return rankOf(ServerHash, raw(Vm)) < Own; }));
  return Before < Holders;
}

} // namespace

std::size_t limitHolders(double PerSecond, std::size_t LocalVms) {
  const double Holders = std::clamp(std::round(PerSecond), 1.0,
                                    static_cast<double>(std::max<std::size_t>(LocalVms, 1)));
  return static_cast<std::size_t>(Holders);
}

LimitShare coldShare(const FleetView &Fleet, const ServerSettings &Server, double PerSecond) {
  const std::size_t Holders = limitHolders(PerSecond / ColdRatePerHolder, Fleet.m_Local.size());
  if (!holdsDataCenter(Fleet, Server) || !isHolder(Fleet, Server, Holders)) {
    return {};
  }
  return {.m_PerSecond = PerSecond / static_cast<double>(Holders), .m_Burst = 1.0};
}

LimitShare limitShare(const FleetView &Fleet, const ServerSettings &Server, double PerSecond) {
  if (!holdsDataCenter(Fleet, Server)) {
    return {};
  }
  const double Limit = std::max(PerSecond, LowestLimit);
  const std::size_t Holders = limitHolders(Limit, Fleet.m_Local.size());
  if (!isHolder(Fleet, Server, Holders)) {
    return {};
  }
  const double Parts = static_cast<double>(Holders);
  return {.m_PerSecond = Limit / Parts, .m_Burst = std::max((Limit + SpareBurst) / Parts, 1.0)};
}

} // namespace vanillahill::kernel::probed
