/// \file
/// A caller's request: from an HTTP message to what the kernel and a backend server are given.
#pragma once

#include "vanillahill/net/detail/types.hpp"
#include "vanillahill/net/fault.hpp"
#include "vanillahill/settings/settings.hpp"

#include <memory>
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

private:
  std::unordered_map<KindId, Route> m_Routes;
};

/// A request that was read, or why it is refused.
struct ParsedRequest {
  CallerRequestPtr m_Request;
  CallerFault m_Fault = CallerFault::None;
};

/// \brief Reads a caller's request.
/// \param Message the whole message
/// \param Routes the services in force; null before the first configuration
ParsedRequest parseCallerRequest(HttpRequest Message, const RouteTable *Routes);

/// \brief Removes the headers that are meant for one connection only, and those that the entry
/// itself adds.
void removeConnectionHeaders(http::fields &Headers);

} // namespace vanillahill::net
