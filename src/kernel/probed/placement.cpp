#include "vanillahill/kernel/probed/placement.hpp"

#include <xxhash.h>

#include <array>
#include <vector>

namespace vanillahill::kernel::probed {

namespace {

bool isSetAside(const BackendView &Backend, const SearchCriteria &Criteria, TimePoint Now) {
  const double Bound = Criteria.m_Idempotent ? SetAsideScore : SetAsideScoreNonIdempotent;
  return Backend.m_FailureScore.value(Now) >= Bound;
}

/// \param Cost from costOf()
bool isGood(const BackendView &Backend, const SearchCriteria &Criteria, double Cost) {
  return Cost <= GoodMultiple * Criteria.m_Work.usualSeconds() ||
         (Cost <= Criteria.m_EnoughSeconds && !Backend.isNearlyFull());
}

/// The servers that may be sampled, by group.
struct Groups {
  /// Preferred and healthy, in this VM's data centre.
  std::vector<BackendIndex> m_Local;
  /// Preferred and healthy, in another data centre.
  std::vector<BackendIndex> m_Remote;
  /// Healthy, but not preferred by this VM.
  std::vector<BackendIndex> m_Others;
  /// Set aside for failures, or with a probe outstanding.
  std::vector<BackendIndex> m_SetAside;
  /// Preferred servers, including those sampled before.
  std::size_t m_PreferredCount = 0;
};

Groups groupBackends(std::span<const BackendView> Backends, const SearchCriteria &Criteria,
                     std::span<const BackendIndex> Sampled, TimePoint Now) {
  Groups Out;
  for (BackendIndex Index = 0; Index < Backends.size(); ++Index) {
    const BackendView &Backend = Backends[Index];
    if (!isUsable(Backend, Criteria, Now)) {
      continue;
    }
    Out.m_PreferredCount += Backend.m_IsPreferred ? 1 : 0;
    if (std::find(Sampled.begin(), Sampled.end(), Index) != Sampled.end()) {
      continue;
    }
    if (isSetAside(Backend, Criteria, Now) || Backend.m_ProbeSince) {
      Out.m_SetAside.push_back(Index);
    } else if (!Backend.m_IsPreferred && !Backend.m_Fitness.cold().isCold(Now)) {
      Out.m_Others.push_back(Index);
    } else {
      (Backend.m_IsLocal ? Out.m_Local : Out.m_Remote).push_back(Index);
    }
  }
  return Out;
}

/// Removes a random element and returns it.
BackendIndex drawBackend(std::vector<BackendIndex> &From, std::mt19937_64 &Random) {
  std::uniform_int_distribution<std::size_t> Position(0, From.size() - 1);
  const std::size_t At = Position(Random);
  const BackendIndex Drawn = From[At];
  From[At] = From.back();
  From.pop_back();
  return Drawn;
}

/// Removes the servers without an open connection if enough others remain.
void keepOpen(std::vector<BackendIndex> &Local, std::span<const BackendView> Backends,
              TimePoint OpenSince) {
  const auto Others =
      std::partition(Local.begin(), Local.end(), [Backends, OpenSince](BackendIndex Index) {
        return Backends[Index].m_Load && Backends[Index].m_LoadReceivedAt >= OpenSince;
      });
  if (static_cast<std::size_t>(Others - Local.begin()) >= MinOpenChoice) {
    Local.erase(Others, Local.end());
  }
}

} // namespace

bool isUsable(const BackendView &Backend, const SearchCriteria &Criteria, TimePoint Now) {
  const Fitness &Stated = Backend.m_Fitness;
  if (Backend.m_Settings.m_IsEvacuated || Backend.m_Settings.m_Leaving ||
      Stated.isTooLate(Criteria.m_Arrived, Criteria.m_DrainBound) ||
      (Stated.isLeaving() && !Criteria.m_UsesLeaving) ||
      Backend.m_InFlight >= Stated.maxInFlight(Backend.slots(), Now) ||
      !Stated.limit().allowsRequest(Now) || !Stated.cold().allowsRequest(Now)) {
    return false;
  }
  const auto &Tried = Criteria.m_Tried;
  return std::find(Tried.begin(), Tried.end(), Backend.m_Settings.m_Id) == Tried.end();
}

void choosePreferred(std::span<BackendView> Backends, VmId Self, const PreferredCounts &Counts) {
  std::vector<std::pair<std::uint64_t, BackendIndex>> Ranked;
  for (BackendIndex Index = 0; Index < Backends.size(); ++Index) {
    const std::array<std::uint32_t, 2> Pair{raw(Self), raw(Backends[Index].m_Settings.m_Id)};
    Ranked.emplace_back(XXH3_64bits(Pair.data(), sizeof(Pair)), Index);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::size_t LocalCount = 0;
  std::size_t RemoteCount = 0;
  // Servers in other data centres replace the local ones that are evacuated.
  const auto EvacuatedLocal = static_cast<std::size_t>(
      std::count_if(Backends.begin(), Backends.end(), [](const BackendView &Backend) {
        return Backend.m_IsLocal && Backend.m_Settings.m_IsEvacuated;
      }));
  const std::size_t MaxRemote = Counts.m_Remote + std::min(EvacuatedLocal, Counts.m_Local);
  for (const auto &[Rank, Index] : Ranked) {
    BackendView &Backend = Backends[Index];
    if (Backend.m_Settings.m_IsEvacuated) {
      Backend.m_IsPreferred = false;
      continue;
    }
    std::size_t &Count = Backend.m_IsLocal ? LocalCount : RemoteCount;
    const std::size_t MaxCount = Backend.m_IsLocal ? Counts.m_Local : MaxRemote;
    // A leaving server does not count against the limit.
    Backend.m_IsPreferred = Backend.isLeaving() || Count < MaxCount;
    Count += Backend.isLeaving() ? 0 : 1;
  }
}

double costOf(const BackendView &Backend, const SearchCriteria &Criteria, TimePoint Now) {
  const double Expected = Backend.expectedSeconds(Criteria.m_Work, Now);
  const double FailureScore = Backend.m_FailureScore.value(Now);
  const double RemoteSeconds =
      Backend.m_IsLocal ? 0.0 : RemotePenalty * Criteria.m_Work.usualSeconds();
  const double AddedToOthers = Backend.secondsAddedToOthers(Criteria.m_Work);
  return Expected * (1.0 + FailurePenalty * FailureScore) + RemoteSeconds + AddedToOthers;
}

boost::container::static_vector<BackendIndex, ServersPerRound>
sampleBackends(std::span<const BackendView> Backends, const SearchCriteria &Criteria,
               std::span<const BackendIndex> Sampled, const RoundPlan &Plan, TimePoint Now,
               std::mt19937_64 &Random) {
  Groups From = groupBackends(Backends, Criteria, Sampled, Now);
  keepOpen(From.m_Local, Backends, Plan.m_OpenSince);
  boost::container::static_vector<BackendIndex, ServersPerRound> Drawn;
  const std::size_t HealthyCount = From.m_Local.size() + From.m_Remote.size();
  // With most servers set aside, the network path is a likelier cause than the servers, so these
  // are sampled as well.
  const bool SampleSetAside =
      2 * HealthyCount < From.m_PreferredCount && HealthyCount < ServersPerRound;
  // Traffic between data centres costs: remote servers are sampled only after a first round found
  // the local ones to be slow.
  const bool IsLocalRound =
      Plan.m_IsLocal || (Sampled.empty() && From.m_Local.size() >= MinLocalChoice);
  while (Drawn.size() < Plan.m_Servers) {
    const bool IsLast = Drawn.size() + 1 == Plan.m_Servers;
    const bool DrawRemote =
        !From.m_Remote.empty() && (From.m_Local.empty() || (IsLast && !IsLocalRound));
    if (DrawRemote) {
      Drawn.push_back(drawBackend(From.m_Remote, Random));
    } else if (!From.m_Local.empty()) {
      Drawn.push_back(drawBackend(From.m_Local, Random));
    } else if (!From.m_Others.empty()) {
      Drawn.push_back(drawBackend(From.m_Others, Random));
    } else if (SampleSetAside && !From.m_SetAside.empty()) {
      Drawn.push_back(drawBackend(From.m_SetAside, Random));
    } else {
      break;
    }
  }
  return Drawn;
}

boost::container::static_vector<BackendIndex, ServersPerRound>
recentBackends(std::span<const BackendView> Backends, const SearchCriteria &Criteria,
               std::span<const BackendIndex> Sampled, const RecentReports &Wanted, TimePoint Now) {
  std::vector<std::pair<double, BackendIndex>> Ranked;
  for (BackendIndex Index = 0; Index < Backends.size(); ++Index) {
    const BackendView &Backend = Backends[Index];
    if (Backend.hasLoadWithin(Wanted.m_MaxAge, Now) && !Backend.m_ProbeSince &&
        Backend.m_IsPreferred && isUsable(Backend, Criteria, Now) &&
        !isSetAside(Backend, Criteria, Now) &&
        std::find(Sampled.begin(), Sampled.end(), Index) == Sampled.end()) {
      Ranked.emplace_back(costOf(Backend, Criteria, Now), Index);
    }
  }
  std::sort(Ranked.begin(), Ranked.end());
  boost::container::static_vector<BackendIndex, ServersPerRound> Chosen;
  for (std::size_t At = 0; At < std::min({Wanted.m_Count, Ranked.size(), ServersPerRound}); ++At) {
    Chosen.push_back(Ranked[At].second);
  }
  return Chosen;
}

std::optional<BackendIndex> findLastGood(std::span<const BackendView> Backends,
                                         const SearchCriteria &Criteria, Duration MaxAge,
                                         TimePoint Now) {
  std::optional<BackendIndex> Last;
  for (BackendIndex Index = 0; Index < Backends.size(); ++Index) {
    const BackendView &Backend = Backends[Index];
    if (Backend.hasLoadWithin(MaxAge, Now) && Backend.m_Load->m_Running == 0 &&
        Backend.m_IsPreferred && !Backend.m_ProbeSince && isUsable(Backend, Criteria, Now) &&
        !isSetAside(Backend, Criteria, Now) &&
        isGood(Backend, Criteria, costOf(Backend, Criteria, Now)) &&
        (!Last || Backend.m_LoadReceivedAt > Backends[*Last].m_LoadReceivedAt)) {
      Last = Index;
    }
  }
  return Last;
}

std::optional<Candidate> findCheapest(std::span<const BackendView> Backends,
                                      const SearchCriteria &Criteria,
                                      std::span<const BackendIndex> Sampled, TimePoint Now) {
  std::optional<Candidate> Best;
  for (const BackendIndex Index : Sampled) {
    const BackendView &Backend = Backends[Index];
    if (Backend.m_ProbeSince || !Backend.m_Load || !isUsable(Backend, Criteria, Now)) {
      continue;
    }
    const double Usual = Criteria.m_Work.usualSeconds();
    const double Cost = costOf(Backend, Criteria, Now);
    const double Ranked = Cost + LoadPenalty * Usual * Backend.takenShare();
    const bool IsReserved = Criteria.m_SparesLastSlot && Backend.hasOnlyLastSlot();
    if (!Best || std::pair(IsReserved, Ranked) < std::pair(Best->m_IsReserved, Best->m_Cost)) {
      Best = Candidate{.m_Backend = Index,
                       .m_Cost = Ranked,
                       .m_IsGood = !IsReserved && isGood(Backend, Criteria, Cost),
                       .m_IsIdle = Backend.m_Load->m_Running == 0,
                       .m_IsReserved = IsReserved};
    }
  }
  return Best;
}

std::optional<BackendIndex> chooseWithoutReport(std::span<const BackendView> Backends,
                                                const SearchCriteria &Criteria, TimePoint Now,
                                                std::mt19937_64 &Random) {
  Groups From = groupBackends(Backends, Criteria, {}, Now);
  std::vector<BackendIndex> &Pool = From.m_Local;
  Pool.insert(Pool.end(), From.m_Remote.begin(), From.m_Remote.end());
  if (Pool.empty()) {
    Pool = From.m_Others;
  }
  if (Pool.empty()) {
    Pool = From.m_SetAside;
  }
  if (Pool.empty()) {
    return std::nullopt;
  }
  const BackendIndex First = drawBackend(Pool, Random);
  if (Pool.empty()) {
    return First;
  }
  const BackendIndex Second = drawBackend(Pool, Random);
  const auto RelativeLoad = [&](BackendIndex Index) {
    const BackendView &Backend = Backends[Index];
    return (Backend.m_InFlight + 1.0) / Backend.slots() * (1.0 + Backend.m_Slowness.value(Now)) *
           (1.0 + Backend.m_FailureScore.value(Now));
  };
  return RelativeLoad(Second) < RelativeLoad(First) ? Second : First;
}

bool hasUsableBackend(std::span<const BackendView> Backends, const SearchCriteria &Criteria,
                      TimePoint Now) {
  return std::any_of(
      Backends.begin(), Backends.end(),
      [&Criteria, Now](const BackendView &Backend) { return isUsable(Backend, Criteria, Now); });
}

/// When a server may be used again that is paused, or limited and not paused.
/// \return nothing for a server that is neither, or that is leaving by then
static std::optional<Resumption> resumptionOf(const BackendView &Backend, Duration DrainBound,
                                              TimePoint Now) {
  const Fitness &Stated = Backend.m_Fitness;
  const TimePoint PauseEnd = std::max(Stated.pausedUntil(), Now);
  const bool WasPaused = Now - PauseRecoveryTime < Stated.pausedUntil();
  const bool IsCold = !Stated.cold().allowsRequest(Now);
  const bool IsLimited = !Stated.limit().allowsRequest(Now) || IsCold;
  // Another VM may have a part of the limit left, and the caller is likely to reach another one.
  const TimePoint LimitEnd = IsLimited ? std::max(Stated.cold().nextRequestAt(Now),
                                                  Stated.limit().nextRequestAt(Now).value_or(Now))
                                       : Now;
  const TimePoint End = std::max(PauseEnd, LimitEnd);
  if ((!WasPaused && !IsLimited) || Backend.m_Settings.m_Leaving ||
      Backend.m_Settings.m_IsEvacuated || Stated.isTooLate(End, DrainBound)) {
    return std::nullopt;
  }
  return Resumption{.m_At = End,
                    .m_Reason = WasPaused ? Reason::ServersPaused : Reason::ServersLimited};
}

std::optional<Resumption> firstResumption(std::span<const BackendView> Backends,
                                          const SearchCriteria &Criteria, TimePoint Now) {
  SearchCriteria Anew = Criteria;
  Anew.m_Arrived = Now;
  Anew.m_Tried = {};
  for (const bool UsesLeaving : {false, true}) {
    Anew.m_UsesLeaving = UsesLeaving;
    if (hasUsableBackend(Backends, Anew, Now)) {
      return std::nullopt;
    }
  }
  std::optional<Resumption> First;
  for (const BackendView &Backend : Backends) {
    const auto Each = resumptionOf(Backend, Criteria.m_DrainBound, Now);
    if (Each && (!First || Each->m_At < First->m_At)) {
      First = Each;
    }
  }
  return First;
}

} // namespace vanillahill::kernel::probed
