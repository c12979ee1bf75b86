/// \file
/// Connections to the other VMs: one HTTP/2 connection for each pair, one long stream on it.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/kernel/events.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace vanillahill::peer {

/// Counters of all links of a VM; they only grow, also over reconnects.
struct LinkCounters {
  /// Bytes read from and written to sockets: HTTP/2 framing included, TCP and IP headers not.
  std::uint64_t m_BytesIn = 0;
  std::uint64_t m_BytesOut = 0;
  std::uint64_t m_FramesIn = 0;
  std::uint64_t m_FramesOut = 0;
  /// Frames that could not be decoded, were too long or were cut by the end of a connection.
  std::uint64_t m_Malformed = 0;
  std::uint64_t m_UnknownTypes = 0;
  /// Connections opened after the first one to the same VM.
  std::uint64_t m_Reconnects = 0;
  /// Messages dropped because a peer takes them too slowly, or because they are too long.
  std::uint64_t m_Dropped = 0;
  /// Messages to a VM without an open connection.
  std::uint64_t m_Unsent = 0;
  /// Connections refused here for a wrong token or name.
  std::uint64_t m_Refused = 0;
  /// Links open now.
  std::uint64_t m_Open = 0;
};

struct PeerLinksOptions {
  std::string m_SelfName;
  /// IP:port to listen on; port 0 takes a free one.
  std::string m_PeerAddress;
  /// Shown by VMs of one deployment to each other.
  std::string m_PeerToken;
  /// Called for each message, in the order of its sender, by any worker; calls for different VMs
  /// run at the same time.
  std::function<void(VmId, Message)> m_OnMessage;
  /// Called when messages can flow to a VM, again after each reconnect; may be empty.
  std::function<void(VmId)> m_OnOpen = nullptr;
  /// Called for each fault with its step and the peer; may be empty.
  std::function<void(const Error &)> m_OnProblem = nullptr;
  std::uint32_t m_MaxFrameBytes = 4U << 20U;
  /// Messages that may wait for one peer; beyond it the oldest heartbeat is dropped, or the oldest
  /// message if none waits.
  std::uint32_t m_MaxQueued = 1024;
  /// How long an acknowledgement may wait for another message to the same peer, so that both go
  /// out in one write; 0 sends it at once.
  Duration m_AckDelay{};
  /// From the start of a connection to its acceptance.
  Duration m_ConnectTimeout = std::chrono::seconds(2);
  /// A connection on which nothing was read for this long is opened anew; longer than the
  /// heartbeat period.
  Duration m_IdleTimeout = std::chrono::seconds(3);
  Duration m_MinBackoff = std::chrono::milliseconds(50);
  Duration m_MaxBackoff = std::chrono::seconds(1);
  /// Seeds the jitter of reconnects.
  std::uint64_t m_Seed = 0;
};

/// The links of one VM. The VM with the smaller name opens the connection of a pair. A message to
/// a VM without an open connection is lost, as is what a lost connection had not passed on.
/// Thread safe: every public function may be called by any worker, also from m_OnMessage.
class PeerLinks {
public:
  /// \brief Listens; accepts every VM with the right token, also one that connect() did not name.
  /// \param Io runs all work; outlives this object; may be run by several threads
  /// \param Options see there
  /// Errors: std::system_error with AddressUnusable when the address cannot be listened on.
  PeerLinks(boost::asio::io_context &Io, PeerLinksOptions Options);
  /// \brief Stops, if stop() was not called.
  ~PeerLinks();
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;

  /// \brief Keeps connections to these VMs from now on and closes those to VMs named earlier and
  /// missing now.
  /// \param Vms the whole set; the own name in it is left out
  /// Errors: an address that is no IP:port is reported to m_OnProblem as AddressUnusable.
  void connect(std::span<const kernel::VmEntry> Vms);

  /// \brief Queues a message. Messages sent in one turn of the loop go out in one write.
  /// \param To the receiver \param Value the message
  /// \note Complexity: constant. Errors: none, a lost message is counted.
  void send(VmId To, Message Value);

  /// \brief Sends what is queued, then closes all links. Returns at once. A callback that has begun
  /// in another thread may still be running: what it uses must live until Io has stopped.
  void stop();

  /// \brief The port listened on.
  std::uint16_t port() const;

  /// \brief A snapshot of the counters.
  LinkCounters counters() const;

private:
  struct State;
  std::shared_ptr<State> m_State;
};

} // namespace vanillahill::peer
