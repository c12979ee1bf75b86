#include "vanillahill/kernel/probed/fitness.hpp"

#include <algorithm>

namespace vanillahill::kernel::probed {

void UnlistedFitness::makeRoom() {
  if (m_Servers.size() < MaxServers) {
    return;
  }
  m_Servers.erase(
      std::min_element(m_Servers.begin(), m_Servers.end(), [](const auto &Left, const auto &Right) {
        return Left.second.statedAt() < Right.second.statedAt();
      }));
}

Fitness &UnlistedFitness::at(ServerId Server) {
  if (!m_Servers.contains(Server)) {
    makeRoom();
  }
  return m_Servers[Server];
}

void UnlistedFitness::keep(ServerId Server, const Fitness &Stated) {
  if (Stated.isEmpty()) {
    return;
  }
  at(Server) = Stated;
}

Fitness UnlistedFitness::take(ServerId Server) {
  const auto Found = m_Servers.find(Server);
  if (Found == m_Servers.end()) {
    return {};
  }
  const Fitness Stated = Found->second;
  m_Servers.erase(Found);
  return Stated;
}

} // namespace vanillahill::kernel::probed
