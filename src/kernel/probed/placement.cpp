#include "vanillahill/kernel/probed/placement.hpp"

#include <xxhash.h>

#include <array>
#include <vector>

namespace vanillahill::kernel::probed {

namespace {

bool isUsable(const BackendView &Backend, const SearchTarget &Target) {
  const auto &Tried = Target.m_Tried;
  return !Backend.m_Settings.m_Leaving &&
         std::find(Tried.begin(), Tried.end(), Backend.m_Settings.m_Id) == Tried.end();
}

bool isSetAside(const BackendView &Backend, const SearchTarget &Target, TimePoint Now) {
  const double Bound = Target.m_Idempotent ? SetAsideFailures : SetAsideFailuresOnce;
  return Backend.m_Failures.value(Now) >= Bound;
}

/// Servers that may be asked, in two groups.
struct Groups {
  std::vector<BackendIndex> m_Near;
  std::vector<BackendIndex> m_Far;
  /// Sound, but not preferred by this VM.
  std::vector<BackendIndex> m_Others;
  std::vector<BackendIndex> m_SetAside;
  std::size_t m_Preferred = 0;
};

Groups groupBackends(std::span<const BackendView> Backends, const SearchTarget &Target,
                     std::span<const BackendIndex> Asked, TimePoint Now) {
  Groups Out;
  for (BackendIndex Index = 0; Index < Backends.size(); ++Index) {
    const BackendView &Backend = Backends[Index];
    if (!isUsable(Backend, Target)) {
      continue;
    }
    Out.m_Preferred += Backend.m_IsPreferred ? 1 : 0;
    if (std::find(Asked.begin(), Asked.end(), Index) != Asked.end()) {
      continue;
    }
    if (isSetAside(Backend, Target, Now) || Backend.m_ProbeSince) {
      Out.m_SetAside.push_back(Index);
    } else if (!Backend.m_IsPreferred) {
      Out.m_Others.push_back(Index);
    } else {
      (Backend.m_IsNear ? Out.m_Near : Out.m_Far).push_back(Index);
    }
  }
  return Out;
}

/// Takes a random element out.
BackendIndex draw(std::vector<BackendIndex> &From, std::mt19937_64 &Random) {
  std::uniform_int_distribution<std::size_t> Position(0, From.size() - 1);
  const std::size_t At = Position(Random);
  const BackendIndex Drawn = From[At];
  From[At] = From.back();
  From.pop_back();
  return Drawn;
}

} // namespace

void choosePreferred(std::span<BackendView> Backends, VmId Self) {
  std::vector<std::pair<std::uint64_t, BackendIndex>> Ranked;
  for (BackendIndex Index = 0; Index < Backends.size(); ++Index) {
    const std::array<std::uint32_t, 2> Pair{raw(Self), raw(Backends[Index].m_Settings.m_Id)};
    Ranked.emplace_back(XXH3_64bits(Pair.data(), sizeof(Pair)), Index);
  }
  std::sort(Ranked.begin(), Ranked.end());
  std::size_t Near = 0;
  std::size_t Far = 0;
  for (const auto &[Rank, Index] : Ranked) {
    BackendView &Backend = Backends[Index];
    std::size_t &Count = Backend.m_IsNear ? Near : Far;
    const std::size_t Most = Backend.m_IsNear ? PreferredNear : PreferredFar;
    // A leaving server takes nobody's place.
    Backend.m_IsPreferred = Backend.m_Settings.m_Leaving || Count < Most;
    Count += Backend.m_Settings.m_Leaving ? 0 : 1;
  }
}

double costOf(const BackendView &Backend, const SearchTarget &Target, TimePoint Now) {
  const double Expected = Backend.expectedSeconds(Target.m_Work, Now);
  const double Failures = Backend.m_Failures.value(Now);
  const double Far = Backend.m_IsNear ? 0.0 : FarPenalty * Target.m_Work.seconds();
  const double Taken = Backend.secondsTakenFromOthers(Target.m_Work);
  return Expected * (1.0 + FailurePenalty * Failures) + Far + Taken;
}

boost::container::static_vector<BackendIndex, ServersPerRound>
drawRound(std::span<const BackendView> Backends, const SearchTarget &Target,
          std::span<const BackendIndex> Asked, TimePoint Now, std::mt19937_64 &Random) {
  Groups From = groupBackends(Backends, Target, Asked, Now);
  boost::container::static_vector<BackendIndex, ServersPerRound> Drawn;
  const std::size_t Sound = From.m_Near.size() + From.m_Far.size();
  // With most servers set aside, the failures say more of the path than of the servers.
  const bool AskAll = 2 * Sound < From.m_Preferred && Sound < ServersPerRound;
  // Bytes between data centres cost: others are asked once the near ones were found to be slow.
  const bool IsFirstRound = Asked.empty();
  while (Drawn.size() < ServersPerRound) {
    const bool IsLast = Drawn.size() + 1 == ServersPerRound;
    const bool TakeFar = !From.m_Far.empty() && (From.m_Near.empty() || (IsLast && !IsFirstRound));
    if (TakeFar) {
      Drawn.push_back(draw(From.m_Far, Random));
    } else if (!From.m_Near.empty()) {
      Drawn.push_back(draw(From.m_Near, Random));
    } else if (!From.m_Others.empty()) {
      Drawn.push_back(draw(From.m_Others, Random));
    } else if (AskAll && !From.m_SetAside.empty()) {
      Drawn.push_back(draw(From.m_SetAside, Random));
    } else {
      break;
    }
  }
  return Drawn;
}

std::optional<Candidate> cheapest(std::span<const BackendView> Backends, const SearchTarget &Target,
                                  std::span<const BackendIndex> Asked, TimePoint Now) {
  std::optional<Candidate> Best;
  for (const BackendIndex Index : Asked) {
    const BackendView &Backend = Backends[Index];
    if (Backend.m_ProbeSince || !Backend.m_Load || !isUsable(Backend, Target)) {
      continue;
    }
    const double Cost = costOf(Backend, Target, Now);
    if (!Best || Cost < Best->m_Cost) {
      Best = Candidate{.m_Backend = Index,
                       .m_Cost = Cost,
                       .m_IsGood = Cost <= GoodMultiple * Target.m_Work.seconds()};
    }
  }
  return Best;
}

std::optional<BackendIndex> chooseBlind(std::span<const BackendView> Backends,
                                        const SearchTarget &Target, TimePoint Now,
                                        std::mt19937_64 &Random) {
  Groups From = groupBackends(Backends, Target, {}, Now);
  std::vector<BackendIndex> &Pool = From.m_Near;
  Pool.insert(Pool.end(), From.m_Far.begin(), From.m_Far.end());
  if (Pool.empty()) {
    Pool = From.m_Others;
  }
  if (Pool.empty()) {
    Pool = From.m_SetAside;
  }
  if (Pool.empty()) {
    return std::nullopt;
  }
  const BackendIndex First = draw(Pool, Random);
  if (Pool.empty()) {
    return First;
  }
  const BackendIndex Second = draw(Pool, Random);
  const auto Load = [&](BackendIndex Index) {
    const BackendView &Backend = Backends[Index];
    return (Backend.m_InFlight + 1.0) / Backend.slots() * (1.0 + Backend.m_Slowness.value(Now)) *
           (1.0 + Backend.m_Failures.value(Now));
  };
  return Load(Second) < Load(First) ? Second : First;
}

bool anyUsable(std::span<const BackendView> Backends, const SearchTarget &Target) {
  return std::any_of(Backends.begin(), Backends.end(),
                     [&Target](const BackendView &Backend) { return isUsable(Backend, Target); });
}

} // namespace vanillahill::kernel::probed
