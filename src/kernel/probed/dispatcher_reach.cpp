#include "vanillahill/kernel/probed/dispatcher.hpp"

namespace vanillahill::kernel::probed {

void Dispatcher::noteReply(TimePoint Now, Actions &Out) {
  const Duration Silence = m_Context.m_Reach.silence(Now);
  if (m_Context.m_Reach.noteReply(Now)) {
    Out.push_back(Decision{.m_Type = DecisionType::ServersReachable, .m_Took = Silence});
  }
}

void Dispatcher::noteSilence(ServerId Server, TimePoint Now, Actions &Out) {
  if (m_Context.m_Reach.noteSilence(Server, Now)) {
    Out.push_back(Decision{.m_Type = DecisionType::ServersUnreachable,
                           .m_Asked = static_cast<std::uint32_t>(m_Context.m_Reach.silentServers()),
                           .m_Took = m_Context.m_Reach.silence(Now)});
  }
}

} // namespace vanillahill::kernel::probed
