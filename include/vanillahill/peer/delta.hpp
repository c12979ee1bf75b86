/// \file
/// The codec of one connection: heartbeats and their acknowledgements as differences.
///
/// A connection keeps the order of messages and loses none while it lives, so that each heartbeat
/// can be sent as its difference from the one before. A VM with nothing new sends 4 bytes.
#pragma once

#include "vanillahill/peer/codec.hpp"

namespace vanillahill::peer {

/// Changed hints that one heartbeat carries at most.
inline constexpr std::size_t DefaultHintChanges = 8;

/// The sending end of one connection. Not thread safe.
///
/// Hints are advice and change with every request, so that their share of a heartbeat is bounded:
/// when more hints changed, the rest follows with the next heartbeats, in turn. All other fields
/// are exact.
class DeltaEncoder {
public:
  /// \param MaxHintChanges changed hints that one heartbeat carries at most
  explicit DeltaEncoder(std::size_t MaxHintChanges = DefaultHintChanges)
      : m_MaxHintChanges(MaxHintChanges) {}

  /// \brief Encodes the next message of the connection.
  /// \param Value the message; it must be sent, or the connection closed
  /// \return its CBOR bytes
  /// \note Complexity: linear in the size of the message.
  std::vector<std::uint8_t> encode(const Message &Value);

private:
  std::vector<std::uint8_t> encodeHeartbeat(const Heartbeat &Value);

  std::size_t m_MaxHintChanges;
  /// The last heartbeat, as the receiver knows it.
  std::optional<Heartbeat> m_Heartbeat;
  std::optional<HeartbeatAck> m_Ack;
  /// Hint at which the search for changes begins.
  std::size_t m_NextHint = 0;
};

/// The receiving end of one connection. Not thread safe.
class DeltaDecoder {
public:
  /// \brief Decodes the next message of the connection.
  /// \param Frame the CBOR bytes of one message
  /// \return as vanillahill::peer::decode; also PeerFrameMalformed for a difference from nothing.
  /// After an error the connection must be closed.
  Result<DecodedMessage> decode(std::span<const std::uint8_t> Frame);

private:
  std::optional<Heartbeat> m_Heartbeat;
  std::optional<HeartbeatAck> m_Ack;
};

} // namespace vanillahill::peer
