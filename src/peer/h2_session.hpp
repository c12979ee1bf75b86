/// \file
/// HTTP/2 for one connection between two VMs, without sockets: bytes in, bytes out.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace vanillahill::peer {

/// What the connecting VM shows.
struct PeerIdentity {
  std::string m_Name;
  std::string m_Token;
};

/// How far the long stream is.
enum class StreamState : std::uint8_t { Opening, Open, Refused, Ended };

/// One session of nghttp2 with one long stream. Not thread safe. No function may be called from
/// within a handler.
class H2Session {
public:
  struct Handlers {
    /// Accepting side: whether the VM that opens the stream may.
    std::function<bool(const PeerIdentity &)> m_Admit = nullptr;
    /// The stream is open: both sides may send.
    std::function<void()> m_OnOpen = nullptr;
    /// Bytes came on the open stream.
    std::function<void(std::span<const std::uint8_t>)> m_OnData = nullptr;
  };

  /// \brief The connecting side: opens the stream at once.
  static H2Session connecting(const PeerIdentity &Self, Handlers Callbacks);
  /// \brief The accepting side.
  static H2Session accepting(Handlers Callbacks);

  H2Session(H2Session &&) noexcept;
  H2Session &operator=(H2Session &&) noexcept;
  ~H2Session();

  /// \brief Takes bytes from the socket. \return false when they break the protocol
  bool receive(std::span<const std::uint8_t> Bytes);

  /// \brief Queues bytes for the stream.
  void send(std::span<const std::uint8_t> Bytes);

  /// \brief Bytes queued that collect() has not given yet.
  std::size_t pending() const;

  /// \brief Appends the bytes that the socket should send now.
  /// \return false when the session is broken
  bool collect(std::vector<std::uint8_t> &Out);

  StreamState state() const;

private:
  struct Impl;
  explicit H2Session(std::unique_ptr<Impl> Value);
  std::unique_ptr<Impl> m_Impl;
};

} // namespace vanillahill::peer
