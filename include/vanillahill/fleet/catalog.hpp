/// \file
/// The configuration and the backend servers that one VM has read from the store.
#pragma once

#include "vanillahill/core/id_registry.hpp"
#include "vanillahill/fleet/evacuations.hpp"
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
  /// How much longer the server is slow because it has just started.
  Duration m_ColdFor{};
  /// Start time of the server, in milliseconds of its own wall clock. Together with m_Id it
  /// identifies one incarnation of the server; it is larger in a later incarnation.
  std::int64_t m_BornMillis = 0;
  /// Counts the server's records within one incarnation.
  std::uint64_t m_Sequence = 0;
};

/// The share of a route's requests that goes to one service.
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
  /// Requests need no key although the configuration has tenants.
  bool m_IsPublic = false;
};

/// One service of a configuration.
struct Service {
  std::string m_Name;
  std::string m_HealthPath;
  std::uint32_t m_MaxConnections = 1;
  /// How long a server is cold after its start; zero when it never is.
  Duration m_ColdTime{};
  /// Requests per second that a cold server tolerates from all VMs together; zero for any number.
  double m_ColdPerSecond = 0.0;
};

/// One version of the whole configuration.
struct Configuration {
  std::uint64_t m_Version = 0;
  std::vector<Route> m_Routes;
  std::vector<Service> m_Services;
  std::vector<TenantSettings> m_Tenants;
  CallerLimits m_Limits;
};

/// Options that apply to all services of a deployment.
struct CatalogOptions {
  /// Retries and hedges allowed for each first attempt.
  double m_RetryRatio = 0.1;
  Duration m_RetryWindow = std::chrono::seconds(10);
  std::string m_Policy = "probed";
  /// Probes per second that one backend server may receive from all VMs together.
  double m_MeasuringBudget = 10.0;
  /// Time for which a leaving server still serves requests.
  Duration m_DrainBound = std::chrono::seconds(2);
  /// What the deployment tolerates of tenants' usage caps.
  CapBounds m_Caps;
};

/// Why a server is removed.
enum class Removal : std::uint8_t {
  /// The store acknowledged the removal of its record.
  Acknowledged,
  /// The copy from which the store returned lacks its record, which may be written again unchanged.
  MissingFromCopy,
};

/// Holds the newest configuration and the servers, and merges both into settings. Not thread safe.
class Catalog {
public:
  explicit Catalog(CatalogOptions Options = {}) : m_Options(std::move(Options)) {}

  /// \brief Replaces the options; they take effect with the next call of settings().
  void setOptions(CatalogOptions Options) { m_Options = std::move(Options); }

  /// \brief Replaces the configuration.
  /// \return false when the new one is not newer than the one in force; it is then ignored
  bool apply(Configuration Next);

  /// \brief Adds or updates a server.
  /// \return false when nothing but the sequence or the cold time differs, or when the record is
  /// not newer than the known one and therefore ignored
  bool apply(const ServerEntry &Entry, TimePoint Now);

  /// \brief Removes a server whose record was removed from the store; may be held back, see
  /// holdRemovals().
  /// \param Now the present time
  /// \param Why decides which records may bring the server back
  /// \return whether the settings change now
  bool remove(std::string_view Id, TimePoint Now, Removal Why = Removal::Acknowledged);

  /// \brief The known servers that a complete listing does not contain.
  std::vector<std::string> missingFrom(const std::set<std::string, std::less<>> &Ids) const;

  /// \brief Called when records may have lapsed: until LapseWatch::GracePeriod has passed,
  /// removals are held back, except those of draining servers.
  void holdRemovals(TimePoint Now) { m_HoldRemovalsUntil = Now + LapseWatch::GracePeriod; }

  /// \brief Called when no record has lapsed: the next tick() carries out the removals that were
  /// held back.
  void releaseRemovals(TimePoint Now);

  /// \brief Carries out the held-back removals that are due: the records did not come back.
  /// \return whether the settings change
  bool tick(TimePoint Now);

  /// \brief When tick() is due; max() when no removal is pending.
  TimePoint nextTimer() const;

  /// \brief Sets the number of VMs in the fleet, over which budgets are divided.
  void setFleetSize(std::uint32_t Vms) { m_FleetSize = Vms; }

  /// \brief The evacuated data centres. settings() marks their servers.
  Evacuations &evacuations() { return m_Evacuations; }
  const Evacuations &evacuations() const { return m_Evacuations; }

  /// \brief Whether requests can be served: a configuration and at least one server are known.
  bool isUsable() const { return m_Configuration.has_value() && !m_Servers.empty(); }

  bool has(std::string_view Id) const { return m_Servers.contains(Id); }

  /// \brief Whether a record is the newest known one of a known server.
  bool isNewest(const ServerEntry &Entry) const;

  /// \brief Whether the removal of a server is held back.
  bool isRemovalHeld(std::string_view Id) const { return m_PendingRemovals.contains(Id); }

  std::uint64_t version() const { return m_Configuration ? m_Configuration->m_Version : 0; }
  std::size_t serverCount() const { return m_Servers.size(); }

  /// \brief Builds the kernel settings from configuration and servers. The routes and the kinds are
  /// shared by all settings of one configuration.
  /// \return null without a configuration
  std::shared_ptr<const SiteSettings> settings() const;

private:
  struct KnownServer {
    ServerEntry m_Entry;
    TimePoint m_ColdUntil{};
    ServerId m_Id{};
  };
  /// Identifies the last record of a removed server; records that are not newer are ignored, except
  /// the same record after Removal::MissingFromCopy.
  struct RemovedServer {
    std::int64_t m_BornMillis = 0;
    std::uint64_t m_Sequence = 0;
    Removal m_Why = Removal::Acknowledged;
  };
  /// A removal that is held back.
  struct PendingRemoval {
    TimePoint m_Due{};
    Removal m_Why = Removal::Acknowledged;
  };

  void buildConfigured();
  bool limitsColdServers(std::string_view ServiceName) const;
  void addServer(const std::string &Id, const KnownServer &Server, SiteSettings &Settings) const;
  std::uint32_t reservedFleetSize() const;
  void removeServer(std::string_view Id, Removal Why);

  CatalogOptions m_Options;
  std::optional<Configuration> m_Configuration;
  /// The part of the settings that depends on the configuration only. The settings of all server
  /// changes share its routes and kinds.
  SiteSettings m_Configured;
  /// Positions in m_Configured.m_Services by name.
  std::multimap<std::string, std::size_t, std::less<>> m_ServicePositions;
  std::map<std::string, KnownServer, std::less<>> m_Servers;
  /// Identifiers of server incarnations, and of every service and kind that was ever configured.
  IdRegistry<ServerId> m_ServerIds;
  IdRegistry<ServiceId> m_ServiceIds;
  IdRegistry<KindId> m_KindIds;
  std::map<std::string, RemovedServer, std::less<>> m_RemovedServers;
  /// Servers whose removal is held back.
  std::map<std::string, PendingRemoval, std::less<>> m_PendingRemovals;
  TimePoint m_HoldRemovalsUntil{};
  Evacuations m_Evacuations;
  std::uint32_t m_FleetSize = 1;
};

} // namespace vanillahill::fleet
