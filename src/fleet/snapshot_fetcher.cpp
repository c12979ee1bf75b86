#include "vanillahill/fleet/snapshot_fetcher.hpp"

#include <algorithm>
#include <limits>

namespace vanillahill::fleet {

void SnapshotFetcher::announced(std::string_view Ip, Stream Which, const Position &To, bool IsOffer,
                                TimePoint Now, std::uint32_t LinkClass) {
  const auto PositionIn = [Which](SnapshotRequest &Positions) -> Position & {
    return Which == Stream::Configuration ? Positions.m_ConfigurationTo : Positions.m_ServersTo;
  };
  const bool IsNews = To > PositionIn(m_Wanted);
  PositionIn(m_Wanted) = std::max(PositionIn(m_Wanted), To);
  Holder Added{.m_Ip = std::string(Ip)};
  const auto Found = std::find_if(m_Holders.begin(), m_Holders.end(),
                                  [Ip](const Holder &Known) { return Known.m_Ip == Ip; });
  if (Found != m_Holders.end()) {
    Added = std::move(*Found);
    m_Holders.erase(Found);
  } else if (m_Holders.size() == MaxHolders) {
    forgetHolder();
  }
  Added.m_LinkClass = LinkClass;
  PositionIn(Added.m_Has) = std::max(PositionIn(Added.m_Has), To);
  m_Holders.push_back(std::move(Added));
  if (IsOffer) {
    m_HasHolderFailed = false;
    m_NextAt = std::min(m_NextAt, Now);
  } else if (IsNews && m_NextAt <= Now) {
    std::uniform_int_distribution<Duration::rep> Delay(0, MaxDelay.count());
    m_NextAt = Now + Duration(Delay(m_Random));
  }
}

/// Forgets the holder with the slowest link; among equal ones that which was announced first.
void SnapshotFetcher::forgetHolder() {
  m_Holders.erase(
      std::max_element(m_Holders.begin(), m_Holders.end(), [](const Holder &A, const Holder &B) {
        return A.m_LinkClass < B.m_LinkClass;
      }));
}

std::optional<std::string> SnapshotFetcher::drawHolder(const SnapshotRequest &Known) {
  std::vector<std::string_view> Candidates;
  std::uint32_t Fastest = std::numeric_limits<std::uint32_t>::max();
  for (const Holder &Other : m_Holders) {
    if (Other.m_LinkClass <= Fastest &&
        std::max(Other.m_Has.m_ConfigurationTo, Known.m_ConfigurationTo) >=
            m_Wanted.m_ConfigurationTo &&
        std::max(Other.m_Has.m_ServersTo, Known.m_ServersTo) >= m_Wanted.m_ServersTo) {
      if (Other.m_LinkClass < Fastest) {
        Fastest = Other.m_LinkClass;
        Candidates.clear();
      }
      Candidates.push_back(Other.m_Ip);
    }
  }
  if (Candidates.empty() || m_HasHolderFailed) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> Position(0, Candidates.size() - 1);
  return std::string(Candidates[Position(m_Random)]);
}

void SnapshotFetcher::ended(std::string_view Source, bool HasSucceeded, TimePoint Now) {
  m_IsFetching = false;
  const auto Found = std::find_if(m_Holders.begin(), m_Holders.end(),
                                  [Source](const Holder &Known) { return Known.m_Ip == Source; });
  m_HasHolderFailed = !HasSucceeded && Found != m_Holders.end();
  if (HasSucceeded) {
    m_NextAt = Now;
    return;
  }
  std::uniform_int_distribution<Duration::rep> Pause(MinPause.count(), MaxPause.count());
  m_NextAt = Now + Duration(Pause(m_Random));
  // A holder is kept while no other one is as far: it may only have been busy.
  const auto IsAsFar = [&](const Holder &Other) {
    return Other.m_Ip != Source &&
           Other.m_Has.m_ConfigurationTo >= Found->m_Has.m_ConfigurationTo &&
           Other.m_Has.m_ServersTo >= Found->m_Has.m_ServersTo;
  };
  if (m_HasHolderFailed && std::any_of(m_Holders.begin(), m_Holders.end(), IsAsFar)) {
    m_Holders.erase(Found);
  }
}

} // namespace vanillahill::fleet
