#include "vanillahill/fleet/catalog.hpp"

#include <algorithm>

namespace vanillahill::fleet {

namespace {

/// Departed servers remembered at most; the store's own records of them are long gone by then.
constexpr std::size_t MostDeparted = 4096;
/// Shares of budgets are made for a fleet that is larger than what is known by a tenth: VMs come
/// and go, and a VM learns of another one late.
constexpr std::uint32_t FleetReserveDivisor = 5;

/// A kind of request: a route at one of its services.
std::string kindName(const Route &Value, std::string_view Service) {
  return Value.m_Name + "@" + std::string(Service);
}

bool isNewer(std::int64_t Born, std::uint64_t Sequence, std::int64_t KnownBorn,
             std::uint64_t KnownSequence) {
  return Born != KnownBorn ? Born > KnownBorn : Sequence > KnownSequence;
}

/// Another life of a server shares nothing with the one before.
std::string lifeOf(const ServerEntry &Entry) {
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
  const auto Left = m_Departed.find(Entry.m_Id);
  if (Left != m_Departed.end()) {
    if (!isNewer(Entry.m_BornMillis, Entry.m_Sequence, Left->second.m_BornMillis,
                 Left->second.m_Sequence)) {
      return false;
    }
    m_Departed.erase(Left);
  }
  const auto Found = m_Servers.find(Entry.m_Id);
  if (Found == m_Servers.end()) {
    m_Servers.emplace(Entry.m_Id, Known{.m_Entry = Entry,
                                        .m_ColdUntil = Now + Entry.m_ColdFor,
                                        .m_Id = m_ServerIds.of(lifeOf(Entry))});
    return true;
  }
  Known &Old = Found->second;
  if (!isNewer(Entry.m_BornMillis, Entry.m_Sequence, Old.m_Entry.m_BornMillis,
               Old.m_Entry.m_Sequence)) {
    return false;
  }
  m_Lapsed.erase(Entry.m_Id);
  const bool SameLife = Entry.m_BornMillis == Old.m_Entry.m_BornMillis;
  const bool Changed =
      !SameLife || Entry.m_Draining != Old.m_Entry.m_Draining ||
      Entry.m_Address != Old.m_Entry.m_Address || Entry.m_Service != Old.m_Entry.m_Service ||
      Entry.m_Slots != Old.m_Entry.m_Slots || Entry.m_DataCenter != Old.m_Entry.m_DataCenter;
  ServerId Id = Old.m_Id;
  if (!SameLife) {
    m_ServerIds.release(lifeOf(Old.m_Entry));
    Id = m_ServerIds.of(lifeOf(Entry));
  }
  Old = Known{.m_Entry = Entry, .m_ColdUntil = Now + Entry.m_ColdFor, .m_Id = Id};
  return Changed;
}

bool Catalog::remove(std::string_view Id, TimePoint Now) {
  const auto Found = m_Servers.find(Id);
  if (Found == m_Servers.end()) {
    return false;
  }
  // A draining server was expected to leave; others may have lapsed while the store was away.
  if (Now < m_LapseUntil && !Found->second.m_Entry.m_Draining) {
    m_Lapsed.emplace(Id, m_LapseUntil);
    return false;
  }
  removeNow(Id);
  return true;
}

void Catalog::removeNow(std::string_view Id) {
  const auto Found = m_Servers.find(Id);
  m_ServerIds.release(lifeOf(Found->second.m_Entry));
  if (m_Departed.size() >= MostDeparted) {
    m_Departed.clear();
  }
  m_Departed[Found->first] = {.m_BornMillis = Found->second.m_Entry.m_BornMillis,
                              .m_Sequence = Found->second.m_Entry.m_Sequence};
  const auto Waiting = m_Lapsed.find(Id);
  if (Waiting != m_Lapsed.end()) {
    m_Lapsed.erase(Waiting);
  }
  m_Servers.erase(Found);
}

bool Catalog::keepOnly(const std::set<std::string, std::less<>> &Ids, TimePoint Now) {
  std::vector<std::string> Missing;
  for (const auto &[Id, Server] : m_Servers) {
    if (!Ids.contains(Id)) {
      Missing.push_back(Id);
    }
  }
  bool Changed = false;
  for (const std::string &Id : Missing) {
    Changed = remove(Id, Now) || Changed;
  }
  return Changed;
}

void Catalog::releaseRemovals(TimePoint Now) {
  m_LapseUntil = Now;
  for (auto &[Id, Due] : m_Lapsed) {
    Due = Now;
  }
}

bool Catalog::tick(TimePoint Now) {
  std::vector<std::string> Gone;
  for (const auto &[Id, Due] : m_Lapsed) {
    if (Due <= Now) {
      Gone.push_back(Id);
    }
  }
  for (const std::string &Id : Gone) {
    removeNow(Id);
  }
  return !Gone.empty();
}

TimePoint Catalog::nextTimer() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Id, Due] : m_Lapsed) {
    Next = std::min(Next, Due);
  }
  return Next;
}

std::shared_ptr<const SiteSettings> Catalog::settings() const {
  if (!m_Configuration) {
    return nullptr;
  }
  auto Made = std::make_shared<SiteSettings>();
  Made->m_Idempotency.m_Enabled = false;
  Made->m_Callers = m_Configuration->m_Limits;
  Made->m_Membership.m_MaxVms = reservedFleetSize();
  for (const Service &Listed : m_Configuration->m_Services) {
    Made->m_Services.push_back(serviceSettings(Listed));
  }
  for (const Route &Listed : m_Configuration->m_Routes) {
    RouteSettings Added{.m_Host = Listed.m_Host, .m_PathPrefix = Listed.m_PathPrefix};
    for (const TrafficShare &Share : Listed.m_Shares) {
      Added.m_Shares.push_back({.m_Service = m_ServiceIds.at(Share.m_Service),
                                .m_Kind = m_KindIds.at(kindName(Listed, Share.m_Service)),
                                .m_Weight = Share.m_Weight});
    }
    Made->m_Routes.push_back(std::move(Added));
  }
  return Made;
}

std::uint32_t Catalog::reservedFleetSize() const {
  return m_FleetSize + m_FleetSize / FleetReserveDivisor + 1;
}

KindSettings Catalog::kindSettings(const Route &Value, std::string_view Service) const {
  return {.m_Id = m_KindIds.at(kindName(Value, Service)),
          .m_Name = Value.m_Name,
          .m_Weight = 1.0 / (1.0 + Value.m_Priority),
          .m_Deadline = Value.m_Timeout,
          .m_Idempotent = Value.m_Idempotent,
          .m_TargetLatency = Value.m_TargetLatency,
          .m_Priority = Value.m_Priority,
          .m_MaxAttempts = Value.m_MaxAttempts};
}

ServiceSettings Catalog::serviceSettings(const Service &Listed) const {
  ServiceSettings Made{.m_Id = m_ServiceIds.at(Listed.m_Name),
                       .m_Name = Listed.m_Name,
                       .m_Policy = {.m_Name = m_Options.m_Policy,
                                    .m_RetryRatio = m_Options.m_RetryRatio,
                                    .m_RetryWindow = m_Options.m_RetryWindow},
                       .m_HealthPath = Listed.m_HealthPath};
  for (const Route &Target : m_Configuration->m_Routes) {
    for (const TrafficShare &Share : Target.m_Shares) {
      if (Share.m_Service == Listed.m_Name) {
        Made.m_Kinds.push_back(kindSettings(Target, Listed.m_Name));
      }
    }
  }
  for (const auto &[Id, Server] : m_Servers) {
    const ServerEntry &Entry = Server.m_Entry;
    if (Entry.m_Service != Listed.m_Name) {
      continue;
    }
    Made.m_Servers.push_back({.m_Id = Server.m_Id,
                              .m_Name = Id,
                              .m_Address = Entry.m_Address,
                              .m_DataCenter = Entry.m_DataCenter,
                              .m_Slots = Entry.m_Slots,
                              .m_MaxConnections = Listed.m_MaxConnections,
                              .m_Leaving = Entry.m_Draining,
                              .m_ColdUntil = Server.m_ColdUntil});
  }
  Made.m_Policy.m_ProbesPerSecond = m_Options.m_MeasuringBudget *
                                    static_cast<double>(Made.m_Servers.size()) /
                                    reservedFleetSize();
  return Made;
}

} // namespace vanillahill::fleet
