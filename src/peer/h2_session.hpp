/// \file
/// HTTP/2 for one connection between two VMs, without sockets: it consumes received bytes
/// and produces bytes to send.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace vanillahill::peer {

/// Name and token that the connecting VM presents.
struct PeerIdentity {
  std::string m_Name;
  std::string m_Token;
};

/// State of the long-lived stream.
enum class StreamState : std::uint8_t { Opening, Open, Refused, Ended };

/// One session of nghttp2 with one long-lived stream. Not thread safe. No function may be called
/// from within a handler.
class H2Session {
public:
  struct Handlers {
    /// Accepting side: decides whether a VM may open the stream.
    std::function<bool(const PeerIdentity &)> m_Admit = nullptr;
    /// The stream is open: both sides may send.
    std::function<void()> m_OnOpen = nullptr;
    /// Bytes were received on the open stream.
    std::function<void(std::span<const std::uint8_t>)> m_OnData = nullptr;
  };

  /// \brief The connecting side: opens the stream immediately.
  static H2Session connecting(const PeerIdentity &Self, Handlers Callbacks);
  /// \brief The accepting side.
  static H2Session accepting(Handlers Callbacks);

  H2Session(H2Session &&) noexcept;
  H2Session &operator=(H2Session &&) noexcept;
  ~H2Session();

  /// \brief Processes bytes received from the socket. \return false when they violate HTTP/2
  bool receive(std::span<const std::uint8_t> Bytes);

  /// \brief Queues bytes for the stream.
  void send(std::span<const std::uint8_t> Bytes);

  /// \brief Number of queued bytes that collectOutput() has not returned yet.
  std::size_t pendingBytes() const;

  /// \brief Appends the bytes that are ready to be sent on the socket.
  /// \return false when the session has failed
  bool collectOutput(std::vector<std::uint8_t> &Out);

  StreamState state() const;

private:
  struct Impl;
  explicit H2Session(std::unique_ptr<Impl> Value);
  std::unique_ptr<Impl> m_Impl;
};

} // namespace vanillahill::peer
