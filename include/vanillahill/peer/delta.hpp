/// \file
/// The codec of one connection: heartbeats and their acknowledgements as differences.
///
/// A connection keeps the order of messages and loses none while it lives, so that each heartbeat
/// can be sent as its difference from the one before. A VM with nothing new sends 4 bytes.
#pragma once

#include "vanillahill/peer/codec.hpp"

namespace vanillahill::peer {

/// The sending end of one connection. Not thread safe.
class DeltaEncoder {
public:
  /// \brief Encodes the next message of the connection.
  /// \param Value the message; it must be sent, or the connection closed
  /// \return its CBOR bytes
  /// \note Complexity: linear in the size of the message.
  std::vector<std::uint8_t> encode(const Message &Value);

private:
  std::optional<Heartbeat> m_Heartbeat;
  std::optional<HeartbeatAck> m_Ack;
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
