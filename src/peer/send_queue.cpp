#include "send_queue.hpp"

#include <algorithm>

namespace vanillahill::peer {

namespace {

bool isBeat(const Message &Value) {
  return std::holds_alternative<Heartbeat>(Value) || std::holds_alternative<HeartbeatAck>(Value);
}

} // namespace

PushResult SendQueue::push(Message Value, bool MayWait) {
  const std::lock_guard Guard(m_Lock);
  PushResult Out;
  if (m_Messages.size() >= m_MaxMessages) {
    dropOne();
    Out.m_Dropped = true;
  }
  m_Messages.push_back(std::move(Value));
  if (!MayWait && !m_Scheduled) {
    m_Scheduled = true;
    Out.m_Schedule = true;
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

bool SendQueue::claim() {
  const std::lock_guard Guard(m_Lock);
  if (m_Messages.empty() || m_Scheduled) {
    return false;
  }
  m_Scheduled = true;
  return true;
}

void SendQueue::dropOne() {
  const auto Beat = std::ranges::find_if(m_Messages, isBeat);
  m_Messages.erase(Beat == m_Messages.end() ? m_Messages.begin() : Beat);
}

} // namespace vanillahill::peer
