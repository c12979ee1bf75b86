#include "vanillahill/fleet/snapshot_fetcher.hpp"

#include <algorithm>

namespace vanillahill::fleet {

void SnapshotFetcher::announced(std::string_view Ip, Stream Which, const Position &To, bool IsOffer,
                                TimePoint Now) {
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
    m_Holders.erase(m_Holders.begin());
  }
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

std::optional<std::string> SnapshotFetcher::drawHolder(const SnapshotRequest &Known) {
  std::vector<std::string_view> Candidates;
  for (const Holder &Other : m_Holders) {
    if (std::max(Other.m_Has.m_ConfigurationTo, Known.m_ConfigurationTo) >=
            m_Wanted.m_ConfigurationTo &&
        std::max(Other.m_Has.m_ServersTo, Known.m_ServersTo) >= m_Wanted.m_ServersTo) {
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
