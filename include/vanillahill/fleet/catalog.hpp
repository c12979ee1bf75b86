/// \file
/// What a store tells of a fleet: the configuration and the backend servers, as one VM knows them.
#pragma once

#include "vanillahill/core/id_registry.hpp"
#include "vanillahill/fleet/lapse_watch.hpp"
#include "vanillahill/settings/settings.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahill::fleet {

/// One record in which a backend server describes itself.
struct ServerEntry {
  std::string m_Id;
  std::string m_Service;
  /// IP:port.
  std::string m_Address;
  std::string m_DataCenter;
  std::uint32_t m_Slots = 1;
  bool m_Draining = false;
  /// How much longer the server works slowly after its start.
  Duration m_ColdFor{};
  /// Start of this life of the server, milliseconds of its own wall clock. Larger in a later life.
  std::int64_t m_BornMillis = 0;
  /// Counts the server's records within one life.
  std::uint64_t m_Sequence = 0;
};

/// A part of a route's requests.
struct TrafficShare {
  std::string m_Service;
  double m_Weight = 1.0;
};

/// One route of a configuration.
struct Route {
  std::string m_Name;
  /// Lower case, without a port.
  std::string m_Host;
  std::string m_PathPrefix;
  bool m_Idempotent = false;
  /// Longest time that a request may be kept waiting.
  Duration m_Timeout{};
  Duration m_TargetLatency{};
  std::uint32_t m_Priority = 0;
  std::uint32_t m_MaxAttempts = 1;
  std::vector<TrafficShare> m_Shares;
};

/// What a configuration says of a service.
struct Service {
  std::string m_Name;
  std::string m_HealthPath;
  std::uint32_t m_MaxConnections = 1;
};

/// One version of the whole configuration.
struct Configuration {
  std::uint64_t m_Version = 0;
  std::vector<Route> m_Routes;
  std::vector<Service> m_Services;
  CallerLimits m_Limits;
};

/// What is the same for all services of a deployment.
struct CatalogOptions {
  /// Retries and hedges allowed for each first attempt.
  double m_RetryRatio = 0.1;
  Duration m_RetryWindow = std::chrono::seconds(10);
  std::string m_Policy = "probed";
  /// Probes that a backend server may get in a second, over all VMs.
  double m_MeasuringBudget = 10.0;
};

/// Holds the newest configuration and the servers, and merges both into settings. Not thread safe.
class Catalog {
public:
  explicit Catalog(CatalogOptions Options = {}) : m_Options(std::move(Options)) {}

  /// \brief Replaces the options; they count from the next settings() on.
  void setOptions(CatalogOptions Options) { m_Options = std::move(Options); }

  /// \brief Takes a configuration.
  /// \return false when it is not newer than the one in force
  bool apply(Configuration Next);

  /// \brief Takes a server's record.
  /// \return false when it changes nothing but the sequence, or is older than what is known
  bool apply(const ServerEntry &Entry, TimePoint Now);

  /// \brief A server's record was removed.
  /// \param Now the present time
  /// \return whether the settings change now
  bool remove(std::string_view Id, TimePoint Now);

  /// \brief Takes a listing that names every server: those it leaves out are removed.
  /// \return whether the settings change now
  bool keepOnly(const std::set<std::string, std::less<>> &Ids, TimePoint Now);

  /// \brief Records may have lapsed: removals count only after LapseWatch::Grace.
  void holdRemovals(TimePoint Now) { m_LapseUntil = Now + LapseWatch::Grace; }

  /// \brief No record has lapsed: removals that were held back count at the next tick().
  void releaseRemovals(TimePoint Now);

  /// \brief Removes the servers whose records did not come back.
  /// \return whether the settings change
  bool tick(TimePoint Now);

  /// \brief When tick() is due; max() when nothing waits.
  TimePoint nextTimer() const;

  /// \brief VMs of the fleet, for shares of connection limits.
  void setFleetSize(std::uint32_t Vms) { m_FleetSize = Vms; }

  /// \brief Whether requests can be served: there is a configuration and a server.
  bool isUsable() const { return m_Configuration.has_value() && !m_Servers.empty(); }

  bool has(std::string_view Id) const { return m_Servers.contains(Id); }

  std::uint64_t version() const { return m_Configuration ? m_Configuration->m_Version : 0; }
  std::size_t serverCount() const { return m_Servers.size(); }

  /// \brief Configuration and servers as settings of the kernel; null without a configuration.
  std::shared_ptr<const SiteSettings> settings() const;

private:
  struct Known {
    ServerEntry m_Entry;
    TimePoint m_ColdUntil{};
    ServerId m_Id{};
  };
  /// The last record of a server that left.
  struct Departed {
    std::int64_t m_BornMillis = 0;
    std::uint64_t m_Sequence = 0;
  };

  ServiceSettings serviceSettings(const Service &Listed) const;
  KindSettings kindSettings(const Route &Value, std::string_view Service) const;
  std::uint32_t reservedFleetSize() const;
  void removeNow(std::string_view Id);

  CatalogOptions m_Options;
  std::optional<Configuration> m_Configuration;
  std::map<std::string, Known, std::less<>> m_Servers;
  /// Identifiers of servers' lives, and of every service and kind that was ever configured.
  IdRegistry<ServerId> m_ServerIds;
  IdRegistry<ServiceId> m_ServiceIds;
  IdRegistry<KindId> m_KindIds;
  std::map<std::string, Departed, std::less<>> m_Departed;
  /// Servers whose removal waits, with when it is due.
  std::map<std::string, TimePoint, std::less<>> m_Lapsed;
  TimePoint m_LapseUntil{};
  std::uint32_t m_FleetSize = 1;
};

} // namespace vanillahill::fleet
