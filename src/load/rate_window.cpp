#include "vanillahill/load/rate_window.hpp"

#include <algorithm>

namespace vanillahill::load {

void RateWindow::add(TimePoint Now) {
  while (!m_Recent.empty() && m_Recent.front() + std::chrono::seconds(1) <= Now) {
    m_Recent.pop_front();
  }
  m_Recent.push_back(Now);
  ++m_Total;
  m_Most = std::max<std::uint64_t>(m_Most, m_Recent.size());
}

} // namespace vanillahill::load
