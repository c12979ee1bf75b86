#include "send_queue.hpp"

#include <algorithm>

namespace vanillahill::peer {

namespace {

bool isHeartbeatOrAck(const Message &Value) {
  return std::holds_alternative<Heartbeat>(Value) || std::holds_alternative<HeartbeatAck>(Value);
}

} // namespace

PushResult SendQueue::push(Message Value, bool MayWait) {
  const std::lock_guard Guard(m_Lock);
  PushResult Out;
  if (m_Messages.size() >= m_MaxMessages) {
    dropOldest();
    Out.m_Dropped = true;
  }
  m_Messages.push_back(std::move(Value));
  if (!MayWait && !m_Scheduled) {
    m_Scheduled = true;
    Out.m_MustSchedule = true;
  }
  return Out;
}

std::optional<Message> SendQueue::pop() {
  const std::lock_guard Guard(m_Lock);
  if (m_Messages.empty()) {
    m_Scheduled = false;
    return std::nullopt;
  }
  std::optional<Message> Out(std::move(m_Messages.front()));
  m_Messages.pop_front();
  return Out;
}

bool SendQueue::claimFlush() {
  const std::lock_guard Guard(m_Lock);
  if (m_Messages.empty() || m_Scheduled) {
    return false;
  }
  m_Scheduled = true;
  return true;
}

void SendQueue::dropOldest() {
  const auto Oldest = std::ranges::find_if(m_Messages, isHeartbeatOrAck);
  m_Messages.erase(Oldest == m_Messages.end() ? m_Messages.begin() : Oldest);
}

} // namespace vanillahill::peer
