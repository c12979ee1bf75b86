#include "vanillahill/load/schedule.hpp"

namespace vanillahill::load {

namespace {

std::vector<double> sharesOf(const std::vector<KindLoad> &Kinds) {
  std::vector<double> Shares;
  Shares.reserve(Kinds.size());
  for (const KindLoad &Kind : Kinds) {
    Shares.push_back(Kind.m_Share);
  }
  return Shares;
}

} // namespace

Schedule::Schedule(const std::vector<KindLoad> &Kinds, ScheduleOptions Options)
    : m_Random(Options.m_Seed), m_Gap(Options.m_RequestsPerSecond) {
  const std::vector<double> Shares = sharesOf(Kinds);
  m_Mix = std::discrete_distribution<std::size_t>(Shares.begin(), Shares.end());
}

Arrival Schedule::next() {
  m_Seconds += m_Gap(m_Random);
  const auto At = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_Seconds));
  return {.m_At = At, .m_Kind = m_Mix(m_Random)};
}

} // namespace vanillahill::load
