/// \file
/// Connections to the other VMs: one HTTP/2 connection for each pair of VMs, with one
/// long-lived stream on it.
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

/// Counters of all links of a VM, kept across reconnects. All but m_Open only grow.
struct LinkCounters {
  /// Bytes read from and written to sockets: HTTP/2 framing included, TCP and IP headers not.
  std::uint64_t m_BytesIn = 0;
  std::uint64_t m_BytesOut = 0;
  std::uint64_t m_FramesIn = 0;
  std::uint64_t m_FramesOut = 0;
  /// Frames that could not be decoded, were too long, or were truncated because
  /// the connection ended.
  std::uint64_t m_Malformed = 0;
  std::uint64_t m_UnknownTypes = 0;
  /// Connections opened after the first one to the same VM.
  std::uint64_t m_Reconnects = 0;
  /// Messages dropped because the queue of a slow peer is full, or because they are too long.
  std::uint64_t m_Dropped = 0;
  /// Messages to a VM without an open connection.
  std::uint64_t m_Unsent = 0;
  /// Incoming connections that this VM refused for a wrong token or name.
  std::uint64_t m_Refused = 0;
  /// Links open now.
  std::uint64_t m_Open = 0;
};

struct PeerLinksOptions {
  std::string m_SelfName;
  /// IP:port to listen on; port 0 picks a free port.
  std::string m_PeerAddress;
  /// Shared token by which the VMs of one deployment authenticate to each other.
  std::string m_PeerToken;
  /// Called for each message, in the order in which its VM sent it, on any worker thread; calls for
  /// different VMs run at the same time.
  std::function<void(VmId, Message)> m_OnMessage;
  /// Called when messages can be sent to a VM, again after each reconnect; may be empty.
  std::function<void(VmId)> m_OnOpen = nullptr;
  /// Called for each error, with the step that failed and the peer; may be empty.
  std::function<void(const Error &)> m_OnProblem = nullptr;
  std::uint32_t m_MaxFrameBytes = 4U << 20U;
  /// Maximum number of messages queued for one peer. When it is reached, the oldest heartbeat or
  /// acknowledgement is dropped, or the oldest message if neither is queued.
  std::uint32_t m_MaxQueued = 1024;
  /// How long an acknowledgement may wait for another message to the same peer, so that both go
  /// out in one write; 0 sends it immediately.
  Duration m_AckDelay{};
  /// Maximum time from the start of a connection until the peer accepts it.
  Duration m_ConnectTimeout = std::chrono::seconds(2);
  /// A connection on which nothing was read for this long is closed and reopened. Must be longer
  /// than the heartbeat period.
  Duration m_IdleTimeout = std::chrono::seconds(3);
  Duration m_MinBackoff = std::chrono::milliseconds(50);
  Duration m_MaxBackoff = std::chrono::seconds(1);
  /// Seed of the random jitter of reconnect delays.
  std::uint64_t m_Seed = 0;
};

/// The links of one VM. Of each pair, the VM with the smaller name opens the connection. A message
/// to a VM without an open connection is lost, as are messages that a broken connection had not
/// delivered.
/// Thread safe: every public function may be called by any worker, also from m_OnMessage.
class PeerLinks {
public:
  /// \brief Listens; accepts every VM with the right token, also VMs not passed to
  /// connect().
  /// \param Io runs all work; outlives this object; may be run by several threads
  /// \param Options see there
  /// Errors: std::system_error with AddressUnusable when the address cannot be listened on.
  PeerLinks(boost::asio::io_context &Io, PeerLinksOptions Options);
  /// \brief Stops, if stop() was not called.
  ~PeerLinks();
  PeerLinks(const PeerLinks &) = delete;
  PeerLinks &operator=(const PeerLinks &) = delete;

  /// \brief Keeps connections to these VMs and closes those to VMs of earlier calls that are not
  /// in this set.
  /// \param Vms the complete set; the own name in it is ignored
  /// Errors: an address that is no IP:port is reported to m_OnProblem as AddressUnusable.
  void connect(std::span<const kernel::VmEntry> Vms);

  /// \brief Queues a message. Messages sent in the same iteration of the event loop go out in one
  /// write.
  /// \param To the receiver \param Value the message
  /// \note Complexity: constant. Errors: none, a lost message is counted.
  void send(VmId To, Message Value);

  /// \brief Sends what is queued, then closes all links. Returns at once. A callback that has
  /// started on another thread may still be running: objects that it uses must live until Io has
  /// stopped.
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
