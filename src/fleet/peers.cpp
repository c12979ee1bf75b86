#include "vanillahill/fleet/peers.hpp"

#include <algorithm>

namespace vanillahill::fleet {

bool Peers::heard(std::string_view Ip, const VmInfo &Sender, TimePoint Now) {
  if (Ip == m_Options.m_SelfIp) {
    return false;
  }
  if (Sender.m_DataCenter == m_Options.m_DataCenter) {
    const auto [Vm, IsAdded] = m_Local.try_emplace(std::string(Ip));
    m_CapabilityChanges += Vm->second.m_Capabilities != Sender.m_Capabilities ? 1 : 0;
    Vm->second = {.m_LastHeard = Now,
                  .m_HasCatalog = Sender.m_HasCatalog,
                  .m_Capabilities = Sender.m_Capabilities,
                  .m_LinkClass = Sender.m_LinkClass};
    m_Changes += IsAdded ? 1 : 0;
    return IsAdded;
  }
  RemoteGroup &Group = remoteGroup(Sender.m_DataCenter);
  Group.m_Vms = Sender.m_LocalVms;
  Group.m_CountedAt = Now;
  const bool IsNew = Group.m_LastHeard.insert_or_assign(std::string(Ip), Now).second;
  if (Sender.m_Capabilities != 0 || Group.m_Capabilities.contains(Ip)) {
    std::uint32_t &Known = Group.m_Capabilities[std::string(Ip)];
    m_CapabilityChanges += Known != Sender.m_Capabilities ? 1 : 0;
    Known = Sender.m_Capabilities;
  }
  trimGroup(Group);
  return IsNew;
}

Peers::RemoteGroup &Peers::remoteGroup(const std::string &DataCenter) {
  const auto [Known, IsNew] = m_Remote.try_emplace(DataCenter);
  m_Changes += IsNew ? 1 : 0;
  return Known->second;
}

void Peers::refresh(std::string_view Ip, TimePoint Now) {
  if (const auto Known = m_Local.find(Ip); Known != m_Local.end()) {
    Known->second.m_LastHeard = Now;
  }
}

/// Keeps a group within its limit.
void Peers::trimGroup(RemoteGroup &Group) {
  if (Group.m_LastHeard.size() > MaxRemoteVms) {
    Group.m_LastHeard.erase(
        std::min_element(Group.m_LastHeard.begin(), Group.m_LastHeard.end(),
                         [](const auto &A, const auto &B) { return A.second < B.second; }));
  }
}

std::vector<std::string> Peers::learn(std::span<const VmGroup> Groups, TimePoint Now) {
  std::vector<std::string> Added;
  for (const VmGroup &Group : Groups) {
    if (Group.m_DataCenter == m_Options.m_DataCenter) {
      learnLocal(Group, Now, Added);
    } else if (!Group.m_Listed.empty()) {
      learnRemote(Group, Now);
    }
  }
  return Added;
}

void Peers::learnLocal(const VmGroup &Named, TimePoint Now, std::vector<std::string> &Added) {
  for (const ListedVm &Vm : Named.m_Listed) {
    const bool IsSilent = Vm.m_Silence > helloPeriod() * MaxSilentPeriods;
    if (Vm.m_Ip != m_Options.m_SelfIp && !IsSilent &&
        m_Local.emplace(Vm.m_Ip, LocalVm{.m_LastHeard = Now - Vm.m_Silence}).second) {
      Added.push_back(Vm.m_Ip);
    }
  }
  m_Changes += Added.empty() ? 0 : 1;
}

void Peers::learnRemote(const VmGroup &Named, TimePoint Now) {
  RemoteGroup &Group = remoteGroup(Named.m_DataCenter);
  for (const ListedVm &Vm : Named.m_Listed) {
    const TimePoint NamedAt = Now - Vm.m_Silence;
    TimePoint &LastHeard = Group.m_LastHeard.try_emplace(Vm.m_Ip).first->second;
    LastHeard = std::max(LastHeard, NamedAt);
    trimGroup(Group);
    if (NamedAt > Group.m_CountedAt) {
      Group.m_Vms = Named.m_Vms;
      Group.m_CountedAt = NamedAt;
    }
  }
}

std::vector<DueHello> Peers::dueHellos(TimePoint Now) {
  if (Now < nextTimer()) {
    return {};
  }
  if (!m_LastHello) {
    m_FirstHello = Now;
  }
  m_LastHello = Now;
  forgetSilent(Now);
  std::vector<DueHello> Due;
  const bool EndsSettling = !isSettling() && m_LastRound < m_FirstHello + SettlingTime;
  if (EndsSettling || Now - m_LastRound >= helloPeriod()) {
    m_LastRound = Now;
    addHellosToGroups(Due);
  }
  addQueries(Due);
  return Due;
}

void Peers::forgetSilent(TimePoint Now) {
  const Duration LocalLifetime = helloPeriod() * MaxSilentPeriods;
  const std::size_t Gone = std::erase_if(
      m_Local, [=](const auto &Known) { return Now - Known.second.m_LastHeard > LocalLifetime; });
  for (auto &[DataCenter, Group] : m_Remote) {
    std::erase_if(Group.m_LastHeard,
                  [Now](const auto &Known) { return Now - Known.second > RemoteLifetime; });
  }
  const std::size_t Emptied =
      std::erase_if(m_Remote, [](const auto &Known) { return Known.second.m_LastHeard.empty(); });
  m_Changes += Gone + Emptied;
  m_CapabilityChanges += Gone + Emptied;
  for (auto &[DataCenter, Group] : m_Remote) {
    m_CapabilityChanges +=
        std::erase_if(Group.m_Capabilities, [&Heard = Group.m_LastHeard](const auto &Known) {
          return !Heard.contains(Known.first);
        });
  }
}

std::vector<Peers::CapableGroup> Peers::capable(std::uint32_t Capability) const {
  std::vector<CapableGroup> Groups{{.m_DataCenter = m_Options.m_DataCenter, .m_Ips = {}}};
  for (const auto &[Ip, Vm] : m_Local) {
    if ((Vm.m_Capabilities & Capability) != 0) {
      Groups.front().m_Ips.push_back(Ip);
    }
  }
  for (const auto &[DataCenter, Group] : m_Remote) {
    CapableGroup Added{.m_DataCenter = DataCenter, .m_Ips = {}};
    for (const auto &[Ip, Capabilities] : Group.m_Capabilities) {
      if ((Capabilities & Capability) != 0) {
        Added.m_Ips.push_back(Ip);
      }
    }
    Groups.push_back(std::move(Added));
  }
  return Groups;
}

void Peers::addHellosToGroups(std::vector<DueHello> &Due) {
  for (const auto &[Ip, Vm] : m_Local) {
    Due.push_back({.m_Ip = Ip});
  }
  for (const auto &[DataCenter, Group] : m_Remote) {
    const auto At = static_cast<std::ptrdiff_t>(drawIndex(Group.m_LastHeard));
    Due.push_back({.m_Ip = std::next(Group.m_LastHeard.begin(), At)->first});
  }
}

/// Adds the questions for other VMs: to all seeds while no VM is known, else to one VM at random,
/// now and then a seed. So groups of VMs that know nothing of each other join.
void Peers::addQueries(std::vector<DueHello> &Due) {
  std::vector<std::string> Targets = m_Options.m_SeedIps;
  std::erase(Targets, m_Options.m_SelfIp);
  if (!isAlone()) {
    const std::vector<std::string> Known = local();
    Targets.insert(Targets.end(), Known.begin(), Known.end());
    if (!Targets.empty()) {
      Targets = {Targets[drawIndex(Targets)]};
    }
  }
  for (std::string &Ip : Targets) {
    Due.push_back({.m_Ip = std::move(Ip), .m_AsksForPeers = true});
  }
}

TimePoint Peers::nextTimer() const {
  if (!m_LastHello) {
    return TimePoint{};
  }
  if (isAlone() || isSettling()) {
    return *m_LastHello + (isAlone() && isSettling() ? FirstQueryPeriod : QueryPeriod);
  }
  return std::max(*m_LastHello + QueryPeriod, m_LastRound + helloPeriod());
}

bool Peers::isSettling() const { return m_LastHello && *m_LastHello - m_FirstHello < SettlingTime; }

std::vector<VmGroup> Peers::list(std::string_view DataCenter, TimePoint Now) {
  std::vector<VmGroup> Groups;
  VmGroup Own{.m_DataCenter = m_Options.m_DataCenter,
              .m_Vms = static_cast<std::uint32_t>(localSize())};
  for (const auto &[Ip, Vm] : m_Local) {
    Own.m_Listed.push_back({.m_Ip = Ip, .m_Silence = Now - Vm.m_LastHeard});
  }
  std::shuffle(Own.m_Listed.begin(), Own.m_Listed.end(), m_Random);
  const bool IsOwn = DataCenter == m_Options.m_DataCenter;
  Own.m_Listed.resize(
      std::min(Own.m_Listed.size(), (IsOwn ? MaxListedLocalVms : MaxListedRemoteVms) - 1));
  Own.m_Listed.push_back({.m_Ip = m_Options.m_SelfIp});
  Groups.push_back(std::move(Own));
  for (const auto &[Name, Group] : m_Remote) {
    VmGroup Listed{.m_DataCenter = Name, .m_Vms = Group.m_Vms};
    const std::size_t MaxListed = Name == DataCenter ? MaxRemoteVms : MaxListedRemoteVms;
    for (std::string &Ip : mostRecent(Group, MaxListed)) {
      const Duration Silence = Now - Group.m_LastHeard.at(Ip);
      Listed.m_Listed.push_back({.m_Ip = std::move(Ip), .m_Silence = Silence});
    }
    Groups.push_back(std::move(Listed));
  }
  return Groups;
}

std::vector<std::string> Peers::local() const {
  std::vector<std::string> Ips;
  Ips.reserve(m_Local.size());
  for (const auto &[Ip, Vm] : m_Local) {
    Ips.push_back(Ip);
  }
  return Ips;
}

std::vector<std::string> Peers::remote() const {
  std::vector<std::string> Ips;
  for (const auto &[DataCenter, Group] : m_Remote) {
    for (const auto &[Ip, LastHeard] : Group.m_LastHeard) {
      Ips.push_back(Ip);
    }
  }
  return Ips;
}

std::vector<std::string> Peers::remoteDataCenters() const {
  std::vector<std::string> Names;
  Names.reserve(m_Remote.size());
  for (const auto &[DataCenter, Group] : m_Remote) {
    Names.push_back(DataCenter);
  }
  return Names;
}

std::vector<std::string> Peers::drawLocal(std::size_t Count) {
  const std::vector<std::string> Known = local();
  std::vector<std::string> Drawn;
  std::sample(Known.begin(), Known.end(), std::back_inserter(Drawn), Count, m_Random);
  return Drawn;
}

std::vector<std::string> Peers::drawRelays() {
  std::vector<std::string> Relays;
  for (const auto &[DataCenter, Group] : m_Remote) {
    auto Candidates = mostRecent(Group, RelayCandidates);
    std::shuffle(Candidates.begin(), Candidates.end(), m_Random);
    Candidates.resize(std::min(Candidates.size(), RelaysPerDataCenter));
    Relays.insert(Relays.end(), Candidates.begin(), Candidates.end());
  }
  return Relays;
}

std::optional<std::string> Peers::drawSnapshotSource() {
  std::vector<std::string> Sources;
  for (const auto &[Ip, Vm] : m_Local) {
    if (Vm.m_HasCatalog) {
      Sources.push_back(Ip);
    }
  }
  if (Sources.empty()) {
    Sources = local();
  }
  if (Sources.empty()) {
    Sources = drawRelays();
  }
  if (Sources.empty()) {
    return std::nullopt;
  }
  return Sources[drawIndex(Sources)];
}

std::size_t Peers::localRank(std::uint32_t LinkClass) const {
  return static_cast<std::size_t>(
      std::count_if(m_Local.begin(), m_Local.end(), [&](const auto &Known) {
        return Known.second.m_LinkClass < LinkClass ||
               (Known.second.m_LinkClass == LinkClass && Known.first < m_Options.m_SelfIp);
      }));
}

std::size_t Peers::localWithLink(std::uint32_t LinkClass) const {
  return static_cast<std::size_t>(
      std::count_if(m_Local.begin(), m_Local.end(), [LinkClass](const auto &Known) {
        return Known.second.m_LinkClass <= LinkClass;
      }));
}

bool Peers::hasLocalCatalog() const {
  return std::any_of(m_Local.begin(), m_Local.end(),
                     [](const auto &Known) { return Known.second.m_HasCatalog; });
}

bool Peers::hasSizeChanged(std::size_t Previous, std::size_t Present) {
  constexpr std::size_t Tolerance = 5;
  const std::size_t Larger = std::max(Present, Previous);
  return (Larger - std::min(Present, Previous)) * Tolerance > Larger;
}

std::size_t Peers::fleetSize() const {
  std::size_t Vms = localSize();
  for (const auto &[DataCenter, Group] : m_Remote) {
    Vms += Group.m_Vms;
  }
  return Vms;
}

std::vector<std::string> Peers::mostRecent(const RemoteGroup &Group, std::size_t Count) {
  std::vector<std::pair<TimePoint, std::string>> Ranked;
  for (const auto &[Ip, LastHeard] : Group.m_LastHeard) {
    Ranked.emplace_back(LastHeard, Ip);
  }
  std::sort(Ranked.begin(), Ranked.end(), std::greater<>());
  std::vector<std::string> Ips;
  for (std::size_t Index = 0; Index < std::min(Count, Ranked.size()); ++Index) {
    Ips.push_back(std::move(Ranked[Index].second));
  }
  return Ips;
}

template <typename Container> std::size_t Peers::drawIndex(const Container &From) {
  return std::uniform_int_distribution<std::size_t>(0, From.size() - 1)(m_Random);
}

Duration Peers::helloPeriod() const {
  return HelloPeriod + HelloPeriodPerVm * static_cast<Duration::rep>(m_Local.size());
}

} // namespace vanillahill::fleet
