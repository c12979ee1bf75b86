#include "vanillahill/fleet/peers.hpp"

namespace vanillahill::fleet {

bool Peers::heard(std::string_view Ip, TimePoint Now) {
  if (Ip == m_Options.m_SelfIp) {
    return false;
  }
  return m_Known.insert_or_assign(std::string(Ip), Now).second;
}

std::vector<std::string> Peers::learn(const std::vector<std::string> &Ips, TimePoint Now) {
  std::vector<std::string> Added;
  for (const std::string &Ip : Ips) {
    if (Ip != m_Options.m_SelfIp && m_Known.emplace(Ip, Now).second) {
      Added.push_back(Ip);
    }
  }
  return Added;
}

std::vector<std::string> Peers::dueHellos(TimePoint Now) {
  if (Now < nextTimer()) {
    return {};
  }
  std::erase_if(m_Known, [this, Now](const auto &Entry) {
    return Now - Entry.second > helloPeriod() * MaxSilentPeriods;
  });
  m_LastHello = Now;
  std::set<std::string> Due;
  for (const auto &[Ip, At] : m_Known) {
    Due.insert(Ip);
  }
  Due.insert(m_Options.m_SeedIps.begin(), m_Options.m_SeedIps.end());
  Due.erase(m_Options.m_SelfIp);
  return {Due.begin(), Due.end()};
}

TimePoint Peers::nextTimer() const {
  return m_LastHello + (m_Known.empty() ? SeedQueryPeriod : helloPeriod());
}

std::vector<std::string> Peers::all() const {
  std::vector<std::string> Ips;
  Ips.reserve(m_Known.size());
  for (const auto &[Ip, At] : m_Known) {
    Ips.push_back(Ip);
  }
  return Ips;
}

Duration Peers::helloPeriod() const {
  return HelloPeriod + HelloPeriodPerVm * static_cast<Duration::rep>(m_Known.size());
}

} // namespace vanillahill::fleet
