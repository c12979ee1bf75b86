/// \file
/// The codec of one connection: sends heartbeats and their acknowledgements as differences from
/// the previous ones.
///
/// A connection delivers messages in order and without loss while it is open, so each heartbeat
/// can be sent as its difference from the previous one. A heartbeat without changes takes 4 bytes.
#pragma once

#include "vanillahill/peer/codec.hpp"

namespace vanillahill::peer {

/// Maximum number of changed hints in one heartbeat.
inline constexpr std::size_t DefaultHintChanges = 8;

/// The sending end of one connection. Not thread safe.
///
/// Hints are advisory and change with every request, so their number in a heartbeat is limited.
/// Changes beyond the limit are sent in the next heartbeats, in round-robin order. All other
/// fields are always up to date.
class DeltaEncoder {
public:
  /// \param MaxHintChanges maximum number of changed hints in one heartbeat
  explicit DeltaEncoder(std::size_t MaxHintChanges = DefaultHintChanges)
      : m_MaxHintChanges(MaxHintChanges) {}

  /// \brief Encodes the next message of the connection.
  /// \param Value the message; it must be sent, or the connection must be closed
  /// \return its CBOR bytes
  /// \note Complexity: linear in the size of the message.
  std::vector<std::uint8_t> encode(const Message &Value);

private:
  std::vector<std::uint8_t> encodeHeartbeatDelta(const Heartbeat &Value);

  std::size_t m_MaxHintChanges;
  /// The last heartbeat sent, with the hints that the receiver has.
  std::optional<Heartbeat> m_Heartbeat;
  std::optional<HeartbeatAck> m_Ack;
  /// Index of the hint at which the search for changes begins.
  std::size_t m_NextHint = 0;
};

/// The receiving end of one connection. Not thread safe.
class DeltaDecoder {
public:
  /// \brief Decodes the next message of the connection.
  /// \param Frame the CBOR bytes of one message
  /// \return as vanillahill::peer::decode; also PeerFrameMalformed for a difference without an
  /// earlier message.
  /// After an error the connection must be closed.
  Result<DecodedMessage> decode(std::span<const std::uint8_t> Frame);

private:
  std::optional<Heartbeat> m_Heartbeat;
  std::optional<HeartbeatAck> m_Ack;
};

} // namespace vanillahill::peer
