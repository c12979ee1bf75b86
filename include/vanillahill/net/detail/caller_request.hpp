/// \file
/// Parses a caller's HTTP message into the request for the kernel and the message for a backend
/// server.
#pragma once

#include "vanillahill/net/detail/types.hpp"
#include "vanillahill/net/fault.hpp"
#include "vanillahill/settings/settings.hpp"

#include <atomic>
#include <memory>
#include <optional>
#include <unordered_map>

namespace vanillahill::net {

using HttpRequest = http::request<http::string_body>;

/// One complete request of a caller.
struct CallerRequest {
  ServiceId m_Service{};
  KindId m_Kind{};
  /// Empty when the caller sent none.
  std::string m_Key;
  kernel::KeyAge m_KeyAge;
  /// The caller's own name for this attempt, for logs; empty when it gave none.
  std::string m_CallerId = {};
  /// How long the caller waits, if it states that.
  std::optional<Duration> m_TimeLeft = std::nullopt;
  /// The tenant of the caller's key; empty without tenants and on public routes.
  std::optional<TenantId> m_Tenant = std::nullopt;
  /// Name of that tenant, for the backend server.
  std::string m_TenantName = {};
  /// Digest of the caller's key, for another VM to which the request is passed on.
  std::optional<KeyDigest> m_KeyDigest = std::nullopt;
  /// The message to forward, without the headers of the connection and those of the load balancer.
  HttpRequest m_Message;
};
using CallerRequestPtr = std::shared_ptr<const CallerRequest>;

/// Finds the service and kind of a request by its path, for one version of the settings.
class RouteTable {
public:
  /// \param Seed where the sequences of shares begin; another one on each VM and for each table, so
  /// that the first requests of all VMs do not go to the same share
  explicit RouteTable(const SiteSettings &Settings, std::uint64_t Seed = 0);

  /// \brief Whether the table was made of copies of the same lists of routes and kinds, so that a
  /// table made of these settings would be equal.
  bool isMadeOf(const SiteSettings &Settings) const;

  /// A kind of request and its service.
  struct Route {
    ServiceId m_Service{};
    KindId m_Kind{};
    /// "service/kind".
    std::string m_Name;
  };

  /// \brief Finds the kind that a request target names.
  /// \param Target "/service/kind", optionally followed by "/" or "?" and more
  /// \return null if it names no known kind
  const Route *find(std::string_view Target) const;

  /// The part of a route that serves a request.
  struct Match {
    /// Null if no route matches.
    const RouteShare *m_Share = nullptr;
    /// No key is needed, whether or not the deployment has tenants.
    bool m_IsPublic = false;
  };

  /// \brief Chooses a share of the route with this host and the longest prefix of the path. Even
  /// over a few consecutive requests, the shares are chosen in proportion to their weights.
  /// \param Host without a port, in lower case
  /// \note Thread safe.
  Match match(std::string_view Host, std::string_view Path) const;

  /// \brief Whether requests need a key on routes that are not public.
  bool hasTenants() const { return !m_ListedTenants.empty(); }

  /// \brief The tenant to which a key belongs; null when there is none.
  /// \note Complexity: constant.
  const TenantSettings *findTenant(const KeyDigest &Key) const;

private:
  /// A route by host and path.
  struct HostRoute {
    RouteSettings m_Settings;
    double m_WeightSum = 0.0;
    /// Increased with each choice of a share.
    mutable std::atomic<std::uint64_t> m_ChosenCount = 0;
  };

  static const RouteShare &chooseShare(const HostRoute &Chosen);

  /// What the table was made of; the services have no servers.
  SharedList<RouteSettings> m_ListedRoutes;
  SharedList<TenantSettings> m_ListedTenants;
  std::vector<ServiceSettings> m_ListedServices;
  std::unordered_map<KindId, Route> m_Routes;
  /// Routes by host, the longest prefix first.
  std::unordered_map<std::string, std::vector<std::unique_ptr<HostRoute>>> m_Hosts;
  /// Positions in m_ListedTenants.
  std::unordered_map<KeyDigest, std::size_t> m_Tenants;
};

/// How a request reached this VM, and what may be decided about it.
struct RequestOrigin {
  /// Another VM has passed the request on.
  bool m_IsFromVm = false;
  /// The configuration in force is known to be recent enough to judge keys by it.
  bool m_MayJudgeKeys = true;
};

/// A parsed request, or the fault for which it is refused.
struct ParsedRequest {
  CallerRequestPtr m_Request;
  CallerFault m_Fault = CallerFault::None;
  /// The caller's own id of a refused request; empty when it gave none.
  std::string m_CallerId = {};
};

/// \brief Parses a caller's request.
/// \param Message the complete message
/// \param Routes the services in force; null before the first configuration
ParsedRequest parseCallerRequest(HttpRequest Message, const RouteTable *Routes,
                                 const RequestOrigin &Origin = {});

/// \brief Removes the headers that apply to one connection only (hop-by-hop headers), and those
/// that the entry itself adds.
void removeConnectionHeaders(http::fields &Headers);

} // namespace vanillahill::net
