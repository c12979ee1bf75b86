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

/// A record that moves the end of a server's cold time by less than this is about the same cold
/// time: it was only longer on its way.
constexpr Duration MinProlongation = std::chrono::milliseconds(500);

/// Name of the kind that stands for the requests of a route to one of its services.
std::string kindName(const Route &Listed, std::string_view ServiceName) {
  return Listed.m_Name + "@" + std::string(ServiceName);
}

bool isNewer(std::int64_t BornMillis, std::uint64_t Sequence, std::int64_t KnownBornMillis,
             std::uint64_t KnownSequence) {
  return BornMillis != KnownBornMillis ? BornMillis > KnownBornMillis : Sequence > KnownSequence;
}

KindSettings kindSettings(const Route &Listed, KindId Id) {
  return {.m_Id = Id,
          .m_Name = Listed.m_Name,
          .m_Weight = 1.0 / (1.0 + Listed.m_Priority),
          .m_Deadline = Listed.m_Timeout,
          .m_Idempotent = Listed.m_Idempotent,
          .m_TargetLatency = Listed.m_TargetLatency,
          .m_Priority = Listed.m_Priority,
          .m_MaxAttempts = Listed.m_MaxAttempts};
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
  buildConfigured();
  return true;
}

void Catalog::buildConfigured() {
  m_Configured = {};
  m_Configured.m_Idempotency.m_Enabled = false;
  m_Configured.m_Callers = m_Configuration->m_Limits;
  if (!m_Configuration->m_Tenants.empty()) {
    m_Configured.m_Tenants = m_Configuration->m_Tenants;
  }
  m_ServicePositions.clear();
  for (const Service &Listed : m_Configuration->m_Services) {
    m_ServicePositions.emplace(Listed.m_Name, m_Configured.m_Services.size());
    m_Configured.m_Services.push_back({.m_Id = m_ServiceIds.of(Listed.m_Name),
                                       .m_Name = Listed.m_Name,
                                       .m_HealthPath = Listed.m_HealthPath,
                                       .m_ColdPerSecond = Listed.m_ColdPerSecond});
  }
  for (const Route &Listed : m_Configuration->m_Routes) {
    RouteSettings Added{.m_Host = Listed.m_Host,
                        .m_PathPrefix = Listed.m_PathPrefix,
                        .m_IsPublic = Listed.m_IsPublic};
    for (const TrafficShare &Share : Listed.m_Shares) {
      const KindId Kind = m_KindIds.of(kindName(Listed, Share.m_Service));
      Added.m_Shares.push_back({.m_Service = m_ServiceIds.of(Share.m_Service),
                                .m_Kind = Kind,
                                .m_Weight = Share.m_Weight});
      const auto [First, Last] = m_ServicePositions.equal_range(Share.m_Service);
      for (auto Position = First; Position != Last; ++Position) {
        m_Configured.m_Services[Position->second].m_Kinds.push_back(kindSettings(Listed, Kind));
      }
    }
    m_Configured.m_Routes.push_back(std::move(Added));
  }
}

bool Catalog::apply(const ServerEntry &Entry, TimePoint Now) {
  const auto Removed = m_RemovedServers.find(Entry.m_Id);
  if (Removed != m_RemovedServers.end()) {
    const auto &[BornMillis, Sequence, Why] = Removed->second;
    const bool IsWrittenAgain = Why == Removal::MissingFromCopy &&
                                Entry.m_BornMillis == BornMillis && Entry.m_Sequence == Sequence;
    if (!IsWrittenAgain && !isNewer(Entry.m_BornMillis, Entry.m_Sequence, BornMillis, Sequence)) {
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
    const auto Pending = m_PendingRemovals.find(Entry.m_Id);
    if (Pending != m_PendingRemovals.end() && Pending->second.m_Why == Removal::MissingFromCopy &&
        isNewest(Entry)) {
      m_PendingRemovals.erase(Pending);
    }
    return false;
  }
  m_PendingRemovals.erase(Entry.m_Id);
  const bool SameIncarnation = Entry.m_BornMillis == Current.m_Entry.m_BornMillis;
  const bool TurnsCold = Entry.m_ColdFor > Duration::zero() &&
                         (Now >= Current.m_ColdUntil ||
                          Now + Entry.m_ColdFor > Current.m_ColdUntil + MinProlongation) &&
                         limitsColdServers(Entry.m_Service);
  const bool Changed =
      !SameIncarnation || TurnsCold || Entry.m_Draining != Current.m_Entry.m_Draining ||
      Entry.m_Address != Current.m_Entry.m_Address ||
      Entry.m_Service != Current.m_Entry.m_Service || Entry.m_Slots != Current.m_Entry.m_Slots ||
      Entry.m_DataCenter != Current.m_Entry.m_DataCenter;
  ServerId Id = Current.m_Id;
  if (!SameIncarnation) {
    m_ServerIds.release(incarnationName(Current.m_Entry));
    Id = m_ServerIds.of(incarnationName(Entry));
  }
  Current = KnownServer{.m_Entry = Entry, .m_ColdUntil = Now + Entry.m_ColdFor, .m_Id = Id};
  return Changed;
}

bool Catalog::limitsColdServers(std::string_view ServiceName) const {
  const auto Found = m_ServicePositions.find(ServiceName);
  return Found != m_ServicePositions.end() &&
         m_Configured.m_Services[Found->second].m_ColdPerSecond > 0.0;
}

bool Catalog::isNewest(const ServerEntry &Entry) const {
  const auto Found = m_Servers.find(Entry.m_Id);
  return Found != m_Servers.end() && Found->second.m_Entry.m_BornMillis == Entry.m_BornMillis &&
         Found->second.m_Entry.m_Sequence == Entry.m_Sequence;
}

bool Catalog::remove(std::string_view Id, TimePoint Now, Removal Why) {
  const auto Found = m_Servers.find(Id);
  if (Found == m_Servers.end()) {
    const auto Removed = m_RemovedServers.find(Id);
    if (Removed != m_RemovedServers.end() && Why == Removal::Acknowledged) {
      Removed->second.m_Why = Why;
    }
    return false;
  }
  // A draining server is expected to leave; the record of another one may have lapsed while the
  // store was unavailable.
  if (Now < m_HoldRemovalsUntil && !Found->second.m_Entry.m_Draining) {
    const auto [Pending, IsNew] =
        m_PendingRemovals.try_emplace(std::string(Id), PendingRemoval{m_HoldRemovalsUntil, Why});
    if (!IsNew && Why == Removal::Acknowledged) {
      Pending->second.m_Why = Why;
    }
    return false;
  }
  removeServer(Id, Why);
  return true;
}

void Catalog::removeServer(std::string_view Id, Removal Why) {
  const auto Found = m_Servers.find(Id);
  m_ServerIds.release(incarnationName(Found->second.m_Entry));
  if (m_RemovedServers.size() >= MaxRemovedServers) {
    m_RemovedServers.clear();
  }
  m_RemovedServers[Found->first] = {.m_BornMillis = Found->second.m_Entry.m_BornMillis,
                                    .m_Sequence = Found->second.m_Entry.m_Sequence,
                                    .m_Why = Why};
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
  for (auto &[Id, Pending] : m_PendingRemovals) {
    Pending.m_Due = Now;
  }
}

bool Catalog::tick(TimePoint Now) {
  std::vector<std::pair<std::string, Removal>> DueRemovals;
  for (const auto &[Id, Pending] : m_PendingRemovals) {
    if (Pending.m_Due <= Now) {
      DueRemovals.emplace_back(Id, Pending.m_Why);
    }
  }
  for (const auto &[Id, Why] : DueRemovals) {
    removeServer(Id, Why);
  }
  return !DueRemovals.empty();
}

TimePoint Catalog::nextTimer() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Id, Pending] : m_PendingRemovals) {
    Next = std::min(Next, Pending.m_Due);
  }
  return Next;
}

std::shared_ptr<const SiteSettings> Catalog::settings() const {
  if (!m_Configuration) {
    return nullptr;
  }
  auto Settings = std::make_shared<SiteSettings>(m_Configured);
  Settings->m_Membership.m_MaxVms = reservedFleetSize();
  Settings->m_Caps = m_Options.m_Caps;
  for (std::string &Name : m_Evacuations.names()) {
    const TimePoint Since = *m_Evacuations.since(Name);
    Settings->m_Evacuated.push_back({.m_Name = std::move(Name), .m_Since = Since});
  }
  for (const auto &[Id, Server] : m_Servers) {
    addServer(Id, Server, *Settings);
  }
  for (ServiceSettings &Service : Settings->m_Services) {
    Service.m_Policy = {.m_Name = m_Options.m_Policy,
                        .m_ProbesPerSecond = m_Options.m_MeasuringBudget *
                                             static_cast<double>(Service.m_Servers.size()) /
                                             reservedFleetSize(),
                        .m_RetryRatio = m_Options.m_RetryRatio,
                        .m_RetryWindow = m_Options.m_RetryWindow,
                        .m_DrainBound = m_Options.m_DrainBound};
  }
  return Settings;
}

std::uint32_t Catalog::reservedFleetSize() const {
  return m_FleetSize + m_FleetSize / FleetReserveDivisor + 1;
}

void Catalog::addServer(const std::string &Id, const KnownServer &Server,
                        SiteSettings &Settings) const {
  const ServerEntry &Entry = Server.m_Entry;
  const auto [First, Last] = m_ServicePositions.equal_range(Entry.m_Service);
  for (auto Position = First; Position != Last; ++Position) {
    Settings.m_Services[Position->second].m_Servers.push_back(
        {.m_Id = Server.m_Id,
         .m_Name = Id,
         .m_Address = Entry.m_Address,
         .m_DataCenter = Entry.m_DataCenter,
         .m_Slots = Entry.m_Slots,
         .m_MaxConnections = m_Configuration->m_Services[Position->second].m_MaxConnections,
         .m_Leaving = Entry.m_Draining,
         .m_ColdUntil = Server.m_ColdUntil,
         .m_IsEvacuated = m_Evacuations.isEvacuated(Entry.m_DataCenter)});
  }
}

} // namespace vanillahill::fleet
