/// \file
/// Messages that wait for one connection.
#pragma once

#include "vanillahill/peer/message.hpp"

#include <deque>
#include <mutex>
#include <optional>

namespace vanillahill::peer {

/// What push() asks of its caller.
struct PushResult {
  /// The caller schedules the writing; nobody else has.
  bool m_Schedule = false;
  /// A message was dropped to stay within the bound.
  bool m_Dropped = false;
};

/// Bounded. Thread safe; calls nothing under its lock.
class SendQueue {
public:
  explicit SendQueue(std::size_t MaxMessages) : m_MaxMessages(MaxMessages) {}

  /// \brief Appends a message. Beyond the bound the oldest heartbeat or acknowledgement is dropped,
  /// or the oldest message if there is none.
  /// \param Value the message
  /// \param MayWait whether it may wait until the next writing instead of asking for one
  /// \note Complexity: constant; linear in the queue when a message is dropped.
  PushResult push(Message Value, bool MayWait);

  /// \brief Takes the oldest message. When none is left, the next push() schedules again.
  std::optional<Message> pop();

  /// \brief Asks for a writing if messages wait and none is scheduled.
  /// \return whether the caller schedules it
  bool claim();

private:
  void dropOne();

  mutable std::mutex m_Lock;
  std::size_t m_MaxMessages;
  std::deque<Message> m_Messages;
  bool m_Scheduled = false;
};

} // namespace vanillahill::peer
