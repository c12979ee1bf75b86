/// \file
/// The codec of messages between VMs: each message is one CBOR array
/// `[version, type, fields...]`.
///
/// Fields are encoded without names, in the order of their declaration in peer/message.hpp. A
/// receiver ignores unknown types and any fields after the last one that it knows.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/peer/message.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace vanillahill::peer {

/// Version of the message layout. Raised only when a receiver of the earlier version would
/// misread a message.
inline constexpr std::uint64_t ProtocolVersion = 1;

/// Number of a message type on the wire. Numbers are never reused.
enum class MessageType : std::uint64_t {
  Heartbeat = 0,
  HeartbeatAck = 1,
  SlotRequest = 2,
  SlotLoan = 3,
  SlotReturn = 4,
  KeyQuery = 5,
  KeyAnswer = 6,
  ConfigPush = 7,
  ConfigPull = 8,
  /// A heartbeat, as its difference from the previous one on the same connection (peer/delta.hpp).
  HeartbeatDelta = 9,
  /// An acknowledgement, as its difference from the previous one on the same connection.
  HeartbeatAckDelta = 10,
};

/// The content of one decoded frame.
struct DecodedMessage {
  /// Empty when the type is unknown: the frame is ignored.
  std::optional<Message> m_Message;
  /// The type number as received.
  std::uint64_t m_Type = 0;
};

/// \brief Encodes a message that does not refer to an earlier one.
/// \param Value the message
/// \return its CBOR bytes, without a length prefix
/// \note Complexity: linear in the size of the message. Thread safe.
std::vector<std::uint8_t> encode(const Message &Value);

/// \brief Decodes a message that does not refer to an earlier one.
/// \param Frame the CBOR bytes of one message
/// \return the message, or an empty one for an unknown type. Errors: PeerFrameMalformed with the
/// invalid field, PeerVersionUnsupported.
/// \note Complexity: linear in the frame; memory is bounded by a multiple of the frame's size and
/// recursion by a fixed depth, whatever the bytes are. Thread safe.
Result<DecodedMessage> decode(std::span<const std::uint8_t> Frame);

} // namespace vanillahill::peer
