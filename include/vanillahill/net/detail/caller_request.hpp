/// \file
/// A caller's request: from an HTTP message to what the kernel and a backend server are given.
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

/// One whole request of a caller.
struct CallerRequest {
  ServiceId m_Service{};
  KindId m_Kind{};
  /// Empty when the caller sent none.
  std::string m_Key;
  kernel::KeyAge m_KeyAge;
  /// The caller's own name for this attempt, for logs; empty when it gave none.
  std::string m_CallerId = {};
  /// How long the caller waits, when it says so.
  std::optional<Duration> m_TimeLeft = std::nullopt;
  /// What is passed on: without the headers of one connection and without our own.
  HttpRequest m_Message;
};
using CallerRequestPtr = std::shared_ptr<const CallerRequest>;

/// The services and kinds of one version of the settings, found by the path of a request.
class RouteTable {
public:
  explicit RouteTable(const SiteSettings &Settings);

  /// A kind of request with its service.
  struct Route {
    ServiceId m_Service{};
    KindId m_Kind{};
    /// "service/kind".
    std::string m_Name;
  };

  /// \brief Finds the kind that a request target names.
  /// \param Target "/service/kind", with anything behind "/" or "?"
  /// \return null when it names none
  const Route *find(std::string_view Target) const;

  /// \brief Chooses a share of the route with this host and the longest prefix of the path. Shares
  /// get their part of any few consecutive requests.
  /// \param Host without a port, in lower case
  /// \return null when there is none
  /// \note Thread safe.
  const RouteShare *match(std::string_view Host, std::string_view Path) const;

private:
  /// A route by host and path.
  struct HostRoute {
    RouteSettings m_Settings;
    double m_WeightSum = 0.0;
    /// Requests chosen for so far.
    mutable std::atomic<std::uint64_t> m_Count = 0;
  };

  static const RouteShare &chooseShare(const HostRoute &Chosen);

  std::unordered_map<KindId, Route> m_Routes;
  /// Routes of each host, the longest prefix first.
  std::unordered_map<std::string, std::vector<std::unique_ptr<HostRoute>>> m_Hosts;
};

/// A request that was read, or why it is refused.
struct ParsedRequest {
  CallerRequestPtr m_Request;
  CallerFault m_Fault = CallerFault::None;
  /// The caller's own id of a refused request; empty when it gave none.
  std::string m_CallerId = {};
};

/// \brief Reads a caller's request.
/// \param Message the whole message
/// \param Routes the services in force; null before the first configuration
ParsedRequest parseCallerRequest(HttpRequest Message, const RouteTable *Routes);

/// \brief Removes the headers that are meant for one connection only, and those that the entry
/// itself adds.
void removeConnectionHeaders(http::fields &Headers);

} // namespace vanillahill::net
