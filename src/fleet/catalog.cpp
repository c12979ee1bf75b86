#include "vanillahill/fleet/catalog.hpp"

#include <algorithm>

namespace vanillahill::fleet {

namespace {

/// Limit on remembered removed servers. When it is reached, all are forgotten: by then the store no
/// longer has records of them.
constexpr std::size_t MaxRemovedServers = 4096;
/// Budgets are divided over a fleet that is larger than the known one by this fraction (a fifth)
/// and one VM: VMs come and go, and a VM learns of another one late.
constexpr std::uint32_t FleetReserveDivisor = 5;

/// Name of the kind that stands for the requests of a route to one of its services.
std::string kindName(const Route &Listed, std::string_view ServiceName) {
  return Listed.m_Name + "@" + std::string(ServiceName);
}

bool isNewer(std::int64_t BornMillis, std::uint64_t Sequence, std::int64_t KnownBornMillis,
             std::uint64_t KnownSequence) {
  return BornMillis != KnownBornMillis ? BornMillis > KnownBornMillis : Sequence > KnownSequence;
}

/// A name that differs for each incarnation, so that a restarted server gets a new identifier.
std::string incarnationName(const ServerEntry &Entry) {
  return Entry.m_Id + "#" + std::to_string(Entry.m_BornMillis);
}

} // namespace

bool Catalog::apply(Configuration Next) {
  if (m_Configuration && Next.m_Version <= m_Configuration->m_Version) {
    return false;
  }
  m_Configuration = std::move(Next);
  for (const Service &Listed : m_Configuration->m_Services) {
    m_ServiceIds.of(Listed.m_Name);
  }
  for (const Route &Listed : m_Configuration->m_Routes) {
    for (const TrafficShare &Share : Listed.m_Shares) {
      m_ServiceIds.of(Share.m_Service);
      m_KindIds.of(kindName(Listed, Share.m_Service));
    }
  }
  return true;
}

bool Catalog::apply(const ServerEntry &Entry, TimePoint Now) {
  const auto Removed = m_RemovedServers.find(Entry.m_Id);
  if (Removed != m_RemovedServers.end()) {
    if (!isNewer(Entry.m_BornMillis, Entry.m_Sequence, Removed->second.m_BornMillis,
                 Removed->second.m_Sequence)) {
      return false;
    }
    m_RemovedServers.erase(Removed);
  }
  const auto Found = m_Servers.find(Entry.m_Id);
  if (Found == m_Servers.end()) {
    m_Servers.emplace(Entry.m_Id, KnownServer{.m_Entry = Entry,
                                              .m_ColdUntil = Now + Entry.m_ColdFor,
                                              .m_Id = m_ServerIds.of(incarnationName(Entry))});
    return true;
  }
  KnownServer &Current = Found->second;
  if (!isNewer(Entry.m_BornMillis, Entry.m_Sequence, Current.m_Entry.m_BornMillis,
               Current.m_Entry.m_Sequence)) {
    return false;
  }
  m_PendingRemovals.erase(Entry.m_Id);
  const bool SameIncarnation = Entry.m_BornMillis == Current.m_Entry.m_BornMillis;
  const bool Changed = !SameIncarnation || Entry.m_Draining != Current.m_Entry.m_Draining ||
                       Entry.m_Address != Current.m_Entry.m_Address ||
                       Entry.m_Service != Current.m_Entry.m_Service ||
                       Entry.m_Slots != Current.m_Entry.m_Slots ||
                       Entry.m_DataCenter != Current.m_Entry.m_DataCenter;
  ServerId Id = Current.m_Id;
  if (!SameIncarnation) {
    m_ServerIds.release(incarnationName(Current.m_Entry));
    Id = m_ServerIds.of(incarnationName(Entry));
  }
  Current = KnownServer{.m_Entry = Entry, .m_ColdUntil = Now + Entry.m_ColdFor, .m_Id = Id};
  return Changed;
}

bool Catalog::remove(std::string_view Id, TimePoint Now) {
  const auto Found = m_Servers.find(Id);
  if (Found == m_Servers.end()) {
    return false;
  }
  // A draining server is expected to leave; the record of another one may have lapsed while the
  // store was unavailable.
  if (Now < m_HoldRemovalsUntil && !Found->second.m_Entry.m_Draining) {
    m_PendingRemovals.emplace(Id, m_HoldRemovalsUntil);
    return false;
  }
  removeServer(Id);
  return true;
}

void Catalog::removeServer(std::string_view Id) {
  const auto Found = m_Servers.find(Id);
  m_ServerIds.release(incarnationName(Found->second.m_Entry));
  if (m_RemovedServers.size() >= MaxRemovedServers) {
    m_RemovedServers.clear();
  }
  m_RemovedServers[Found->first] = {.m_BornMillis = Found->second.m_Entry.m_BornMillis,
                                    .m_Sequence = Found->second.m_Entry.m_Sequence};
  const auto Pending = m_PendingRemovals.find(Id);
  if (Pending != m_PendingRemovals.end()) {
    m_PendingRemovals.erase(Pending);
  }
  m_Servers.erase(Found);
}

std::vector<std::string> Catalog::missingFrom(const std::set<std::string, std::less<>> &Ids) const {
  std::vector<std::string> Missing;
  for (const auto &[Id, Server] : m_Servers) {
    if (!Ids.contains(Id)) {
      Missing.push_back(Id);
    }
  }
  return Missing;
}

void Catalog::releaseRemovals(TimePoint Now) {
  m_HoldRemovalsUntil = Now;
  for (auto &[Id, Due] : m_PendingRemovals) {
    Due = Now;
  }
}

bool Catalog::tick(TimePoint Now) {
  std::vector<std::string> DueIds;
  for (const auto &[Id, Due] : m_PendingRemovals) {
    if (Due <= Now) {
      DueIds.push_back(Id);
    }
  }
  for (const std::string &Id : DueIds) {
    removeServer(Id);
  }
  return !DueIds.empty();
}

TimePoint Catalog::nextTimer() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Id, Due] : m_PendingRemovals) {
    Next = std::min(Next, Due);
  }
  return Next;
}

std::shared_ptr<const SiteSettings> Catalog::settings() const {
  if (!m_Configuration) {
    return nullptr;
  }
  auto Settings = std::make_shared<SiteSettings>();
  Settings->m_Idempotency.m_Enabled = false;
  Settings->m_Callers = m_Configuration->m_Limits;
  Settings->m_Membership.m_MaxVms = reservedFleetSize();
  for (const Service &Listed : m_Configuration->m_Services) {
    Settings->m_Services.push_back(serviceSettings(Listed));
  }
  for (const Route &Listed : m_Configuration->m_Routes) {
    RouteSettings Added{.m_Host = Listed.m_Host, .m_PathPrefix = Listed.m_PathPrefix};
    for (const TrafficShare &Share : Listed.m_Shares) {
      Added.m_Shares.push_back({.m_Service = m_ServiceIds.at(Share.m_Service),
                                .m_Kind = m_KindIds.at(kindName(Listed, Share.m_Service)),
                                .m_Weight = Share.m_Weight});
    }
    Settings->m_Routes.push_back(std::move(Added));
  }
  return Settings;
}

std::uint32_t Catalog::reservedFleetSize() const {
  return m_FleetSize + m_FleetSize / FleetReserveDivisor + 1;
}

KindSettings Catalog::kindSettings(const Route &Listed, std::string_view ServiceName) const {
  return {.m_Id = m_KindIds.at(kindName(Listed, ServiceName)),
          .m_Name = Listed.m_Name,
          .m_Weight = 1.0 / (1.0 + Listed.m_Priority),
          .m_Deadline = Listed.m_Timeout,
          .m_Idempotent = Listed.m_Idempotent,
          .m_TargetLatency = Listed.m_TargetLatency,
          .m_Priority = Listed.m_Priority,
          .m_MaxAttempts = Listed.m_MaxAttempts};
}

ServiceSettings Catalog::serviceSettings(const Service &Listed) const {
  ServiceSettings Settings{.m_Id = m_ServiceIds.at(Listed.m_Name),
                           .m_Name = Listed.m_Name,
                           .m_Policy = {.m_Name = m_Options.m_Policy,
                                        .m_RetryRatio = m_Options.m_RetryRatio,
                                        .m_RetryWindow = m_Options.m_RetryWindow,
                                        .m_DrainBound = m_Options.m_DrainBound},
                           .m_HealthPath = Listed.m_HealthPath};
  for (const Route &Target : m_Configuration->m_Routes) {
    for (const TrafficShare &Share : Target.m_Shares) {
      if (Share.m_Service == Listed.m_Name) {
        Settings.m_Kinds.push_back(kindSettings(Target, Listed.m_Name));
      }
    }
  }
  for (const auto &[Id, Server] : m_Servers) {
    const ServerEntry &Entry = Server.m_Entry;
    if (Entry.m_Service != Listed.m_Name) {
      continue;
    }
    Settings.m_Servers.push_back({.m_Id = Server.m_Id,
                                  .m_Name = Id,
                                  .m_Address = Entry.m_Address,
                                  .m_DataCenter = Entry.m_DataCenter,
                                  .m_Slots = Entry.m_Slots,
                                  .m_MaxConnections = Listed.m_MaxConnections,
                                  .m_Leaving = Entry.m_Draining,
                                  .m_ColdUntil = Server.m_ColdUntil});
  }
  Settings.m_Policy.m_ProbesPerSecond = m_Options.m_MeasuringBudget *
                                        static_cast<double>(Settings.m_Servers.size()) /
                                        reservedFleetSize();
  return Settings;
}

} // namespace vanillahill::fleet
