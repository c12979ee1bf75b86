/// \file
/// One TCP connection to another VM, from connecting to closing. It is never reopened.
#pragma once

#include "frame_reader.hpp"
#include "h2_session.hpp"
#include "send_queue.hpp"
#include "vanillahill/core/error.hpp"
#include "vanillahill/peer/delta.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <memory>
#include <string>

namespace vanillahill::peer {

class Connection;
using ConnectionPtr = std::shared_ptr<Connection>;

/// Counters that all connections of a VM share.
struct SharedCounters {
  std::atomic<std::uint64_t> m_BytesIn = 0;
  std::atomic<std::uint64_t> m_BytesOut = 0;
  std::atomic<std::uint64_t> m_FramesIn = 0;
  std::atomic<std::uint64_t> m_FramesOut = 0;
  std::atomic<std::uint64_t> m_Malformed = 0;
  std::atomic<std::uint64_t> m_UnknownTypes = 0;
  std::atomic<std::uint64_t> m_Reconnects = 0;
  std::atomic<std::uint64_t> m_Dropped = 0;
  std::atomic<std::uint64_t> m_Unsent = 0;
  std::atomic<std::uint64_t> m_Refused = 0;
  std::atomic<std::uint64_t> m_Open = 0;
};

/// Callbacks from a connection to its owner. Called on the connection's strand, without a lock.
class ConnectionOwner {
public:
  virtual ~ConnectionOwner() = default;
  /// \brief Decides whether a VM may connect. If it may, the owner registers the connection under
  /// the VM's name.
  virtual bool onRequest(const ConnectionPtr &From, const PeerIdentity &Shown) = 0;
  /// \brief The connection is open: messages can be sent and received.
  virtual void onOpen(const Connection &From) = 0;
  virtual void onMessage(const Connection &From, Message Value) = 0;
  /// \brief The connection ended. \param WasOpen whether onOpen() was called before
  virtual void onClosed(const ConnectionPtr &From, bool WasOpen) = 0;
  virtual void onProblem(const Error &Value) = 0;
};

/// Limits of a connection; see PeerLinksOptions.
struct ConnectionLimits {
  std::size_t m_MaxFrameBytes = 0;
  std::size_t m_MaxQueued = 0;
  Duration m_ConnectTimeout{};
  Duration m_IdleTimeout{};
};

/// Remote and local address of a connection, and the delay before it is opened.
struct ConnectTarget {
  boost::asio::ip::tcp::endpoint m_Remote;
  /// Local address to bind; any when not set.
  std::optional<boost::asio::ip::address> m_Local;
  Duration m_Delay{};
};

/// All work runs on the strand that is the socket's executor; the public functions may be called
/// from any worker thread.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  using Tcp = boost::asio::ip::tcp;

  Connection(Tcp::socket Socket, std::shared_ptr<ConnectionOwner> Owner,
             std::shared_ptr<SharedCounters> Counters, ConnectionLimits Limits);

  /// \brief Connects after a delay and opens the stream.
  void startConnecting(ConnectTarget Target, PeerIdentity Self, std::string PeerName);
  /// \brief Starts the session of an accepted connection.
  void startAccepted();

  /// \brief Queues a message. \param MayWait see SendQueue::push
  void send(Message Value, bool MayWait);
  /// \brief Schedules the writing of messages that were queued with MayWait.
  void flushWaiting();
  /// \brief Stops delivering messages and closes without sending queued ones.
  void abandon();
  /// \brief Writes queued messages, then closes.
  void drain();

  bool open() const { return m_Open; }
  VmId peer() const { return m_Peer; }
  const std::string &peerName() const { return m_PeerName; }
  /// \brief Sets the name of the VM at the other end; called once, before onOpen().
  void setPeer(std::string Name);

private:
  using ErrorCode = boost::system::error_code;

  void connectSocket();
  ErrorCode bindLocalAddress(const boost::asio::ip::address &LocalAddress);
  void onConnected(const ErrorCode &Code);
  void startSession(H2Session Session);
  void startTimer(Duration Wait);
  void onTimer();
  void read();
  void onRead(const ErrorCode &Code, std::size_t Size);
  bool admit(const PeerIdentity &Shown);
  void onOpen();
  void checkState();
  void onData(std::span<const std::uint8_t> Bytes);
  bool deliverFrame(std::span<const std::uint8_t> Frame);
  void scheduleFlush();
  void flush();
  void encodeQueued();
  void encodeMessage(const Message &Value);
  void onWritten(const ErrorCode &Code);
  void finishWriting();
  void fail(Errc Code, std::string Step, std::string Detail);
  void failMalformed(const Error &Problem);
  void close();
  H2Session::Handlers handlers();

  Tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  std::shared_ptr<ConnectionOwner> m_Owner;
  std::shared_ptr<SharedCounters> m_Counters;
  ConnectionLimits m_Limits;
  ConnectTarget m_Target;
  PeerIdentity m_Self;
  std::string m_PeerName = "unknown";
  VmId m_Peer{};
  std::unique_ptr<H2Session> m_Session;
  SendQueue m_Queue;
  DeltaEncoder m_Encoder;
  DeltaDecoder m_Decoder;
  FrameReader m_Frames;
  std::vector<std::uint8_t> m_Out;
  std::array<std::uint8_t, 8192> m_In{};
  TimePoint m_LastRead{};
  std::atomic<bool> m_Open = false;
  std::atomic<bool> m_Abandoned = false;
  bool m_WasOpen = false;
  bool m_Writing = false;
  bool m_Draining = false;
  bool m_ShutDown = false;
  /// Nothing was read for the idle timeout; a second check follows.
  bool m_IdleRecheckPending = false;
  bool m_Closed = false;
};

} // namespace vanillahill::peer
