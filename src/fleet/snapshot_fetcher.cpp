#include "vanillahill/fleet/snapshot_fetcher.hpp"

#include <algorithm>

namespace vanillahill::fleet {

void SnapshotFetcher::announced(std::string_view Ip, Stream Which, const Position &To, bool IsOffer,
                                TimePoint Now) {
  const auto positionIn = [Which](SnapshotRequest &Positions) -> Position & {
    return Which == Stream::Configuration ? Positions.m_ConfigurationTo : Positions.m_ServersTo;
  };
  const bool IsNews = To > positionIn(m_Wanted);
  positionIn(m_Wanted) = std::max(positionIn(m_Wanted), To);
  Holder Added{.m_Ip = std::string(Ip)};
  const auto Found = std::find_if(m_Holders.begin(), m_Holders.end(),
                                  [Ip](const Holder &Known) { return Known.m_Ip == Ip; });
  if (Found != m_Holders.end()) {
    Added = std::move(*Found);
    m_Holders.erase(Found);
  } else if (m_Holders.size() == MaxHolders) {
    m_Holders.erase(m_Holders.begin());
  }
  positionIn(Added.m_Has) = std::max(positionIn(Added.m_Has), To);
  m_Holders.push_back(std::move(Added));
  if (IsOffer) {
    m_HasHolderFailed = false;
    m_NextAt = std::min(m_NextAt, Now);
  } else if (IsNews && m_NextAt <= Now) {
    std::uniform_int_distribution<Duration::rep> Delay(0, MaxDelay.count());
    m_NextAt = Now + Duration(Delay(m_Random));
  }
}

bool SnapshotFetcher::hasAllWanted(const Holder &Known) const {
  return Known.m_Has.m_ConfigurationTo >= m_Wanted.m_ConfigurationTo &&
         Known.m_Has.m_ServersTo >= m_Wanted.m_ServersTo;
}

std::optional<std::string> SnapshotFetcher::drawHolder() {
  std::vector<std::string_view> Candidates;
  for (const Holder &Known : m_Holders) {
    if (hasAllWanted(Known)) {
      Candidates.push_back(Known.m_Ip);
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
  m_HasHolderFailed = !HasSucceeded && !m_HasHolderFailed;
  if (HasSucceeded) {
    m_NextAt = Now;
    return;
  }
  std::uniform_int_distribution<Duration::rep> Pause(MinPause.count(), MaxPause.count());
  m_NextAt = Now + Duration(Pause(m_Random));
  // The last holder is kept: it may only have been busy.
  if (m_Holders.size() > 1) {
    std::erase_if(m_Holders, [Source](const Holder &Known) { return Known.m_Ip == Source; });
  }
}

} // namespace vanillahill::fleet
