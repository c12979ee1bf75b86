#include "vanillahill/kernel/probed/subset_size.hpp"

#include "vanillahill/kernel/probed/seconds.hpp"

#include <algorithm>
#include <cmath>

namespace vanillahill::kernel::probed {

bool SubsetSize::countRequest(TimePoint Now) {
  m_Requests = m_Requests * std::exp(-toSeconds(Now - m_CountedAt) / toSeconds(RateTimeConstant));
  m_Requests += 1.0;
  m_CountedAt = Now;
  if (Now - m_Begin < RateKnownAfter) {
    return false;
  }
  const std::size_t Wanted = wantedSize(Now);
  const auto Size = static_cast<double>(m_Size);
  const bool IsTooLarge = static_cast<double>(Wanted) <= ShrinkShare * Size;
  const bool IsTooSmall = Wanted > m_Size && (static_cast<double>(Wanted) >= GrowMultiple * Size ||
                                              Wanted == MaxPreferred);
  m_TooLargeSince = IsTooLarge ? std::optional(m_TooLargeSince.value_or(Now)) : std::nullopt;
  m_TooSmallSince = IsTooSmall ? std::optional(m_TooSmallSince.value_or(Now)) : std::nullopt;
  const bool Changes = (IsTooLarge && Now - *m_TooLargeSince >= ShrinkAfter) ||
                       (IsTooSmall && Now - *m_TooSmallSince >= GrowAfter);
  if (Changes) {
    m_Size = Wanted;
    m_TooLargeSince.reset();
    m_TooSmallSince.reset();
  }
  return Changes;
}

void SubsetSize::noteIdleTime(Duration Stated) {
  m_IdleTime = std::clamp(Stated, ShortestIdleTime, LongestIdleTime);
}

PreferredCounts SubsetSize::counts() const {
  // As in the largest subset, two thirds are local.
  const std::size_t Remote = m_Size * MaxPreferredRemote / MaxPreferred;
  return {.m_Local = m_Size - Remote, .m_Remote = Remote};
}

double SubsetSize::perSecond(TimePoint Now) const {
  const double Constant = toSeconds(RateTimeConstant);
  const double Decayed = m_Requests * std::exp(-toSeconds(Now - m_CountedAt) / Constant);
  // Shortly after the start, the weights of the whole past do not sum up to the time constant yet.
  const double Weights = Constant * -std::expm1(-toSeconds(Now - m_Begin) / Constant);
  return Weights > 0.0 ? Decayed / Weights : 0.0;
}

std::size_t SubsetSize::wantedSize(TimePoint Now) const {
  const double Wanted = ServersPerRequest * perSecond(Now) * toSeconds(m_IdleTime);
  return std::clamp(static_cast<std::size_t>(std::lround(Wanted)), MinPreferred, MaxPreferred);
}

} // namespace vanillahill::kernel::probed
