/// \file
/// Queue of messages to be sent on one connection.
#pragma once

#include "vanillahill/peer/message.hpp"

#include <deque>
#include <mutex>
#include <optional>

namespace vanillahill::peer {

/// Result of push().
struct PushResult {
  /// The caller must schedule a flush: none is scheduled yet.
  bool m_MustSchedule = false;
  /// A message was dropped because the queue was full.
  bool m_Dropped = false;
};

/// Bounded queue. Thread safe; makes no calls to other objects while it holds its lock.
class SendQueue {
public:
  explicit SendQueue(std::size_t MaxMessages) : m_MaxMessages(MaxMessages) {}

  /// \brief Appends a message. When the queue is full, the oldest heartbeat or acknowledgement is
  /// dropped, or the oldest message if there is none.
  /// \param Value the message
  /// \param MayWait whether it may wait for the next flush instead of requesting one
  /// \note Complexity: constant; linear in the queue when a message is dropped.
  PushResult push(Message Value, bool MayWait);

  /// \brief Takes the oldest message. When none is left, the next push() requests a flush again.
  std::optional<Message> pop();

  /// \brief Marks a flush as scheduled if messages are queued and none is scheduled.
  /// \return whether the caller must schedule it
  bool claimFlush();

private:
  void dropOldest();

  mutable std::mutex m_Lock;
  std::size_t m_MaxMessages;
  std::deque<Message> m_Messages;
  bool m_Scheduled = false;
};

} // namespace vanillahill::peer
