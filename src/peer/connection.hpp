/// \file
/// One TCP connection to another VM, from its start to its end. Never opened a second time.
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

/// What a connection tells its owner. Called on the connection's strand, without a lock.
class ConnectionOwner {
public:
  virtual ~ConnectionOwner() = default;
  /// \brief Whether a VM may connect; the owner then knows the connection by its name.
  virtual bool onRequest(const ConnectionPtr &From, const PeerIdentity &Shown) = 0;
  /// \brief Messages may flow.
  virtual void onOpen(const Connection &From) = 0;
  virtual void onMessage(const Connection &From, Message Value) = 0;
  /// \brief The connection ended. \param WasOpen whether messages could flow before
  virtual void onClosed(const ConnectionPtr &From, bool WasOpen) = 0;
  virtual void onProblem(const Error &Value) = 0;
};

/// Bounds of a connection; see PeerLinksOptions.
struct ConnectionLimits {
  std::size_t m_MaxFrameBytes = 0;
  std::size_t m_MaxQueued = 0;
  Duration m_ConnectTimeout{};
  Duration m_IdleTimeout{};
};

/// Where a connection goes and when it starts.
struct Route {
  boost::asio::ip::tcp::endpoint m_To;
  /// Address that it leaves from; any when not set.
  std::optional<boost::asio::ip::address> m_From;
  Duration m_Delay{};
};

/// All work runs on the strand that is the socket's executor; the public functions may be called
/// by any worker.
class Connection : public std::enable_shared_from_this<Connection> {
public:
  using Tcp = boost::asio::ip::tcp;

  Connection(Tcp::socket Socket, std::shared_ptr<ConnectionOwner> Owner,
             std::shared_ptr<SharedCounters> Counters, ConnectionLimits Limits);

  /// \brief Connects after a delay and opens the stream.
  void startConnecting(Route Way, PeerIdentity Self, std::string PeerName);
  /// \brief Serves a connection that was accepted.
  void startAccepted();

  /// \brief Queues a message. \param MayWait see SendQueue::push
  void send(Message Value, bool MayWait);
  /// \brief Writes what still waits for another message.
  void flushWaiting();
  /// \brief Delivers nothing from now on and closes at once.
  void abandon();
  /// \brief Writes what is queued, then closes.
  void drain();

  bool open() const { return m_Open; }
  VmId peer() const { return m_Peer; }
  const std::string &peerName() const { return m_PeerName; }
  /// \brief Names the VM at the other end; called once, before messages flow.
  void setPeer(std::string Name);

private:
  using ErrorCode = boost::system::error_code;

  void connectNow();
  ErrorCode leaveFrom(const boost::asio::ip::address &From);
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
  bool deliver(std::span<const std::uint8_t> Frame);
  void scheduleFlush();
  void flush();
  void encodeQueued();
  void encodeOne(const Message &Value);
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
  Route m_Route;
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
  /// Nothing was read for the idle timeout; a second look follows.
  bool m_Suspected = false;
  bool m_Closed = false;
};

} // namespace vanillahill::peer
