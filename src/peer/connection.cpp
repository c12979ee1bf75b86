#include "connection.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <spdlog/fmt/fmt.h>

namespace vanillahill::peer {

namespace {

/// Maximum encoded bytes waiting for the socket; further messages stay in the queue.
constexpr std::size_t MaxPendingBytes = 256U << 10U;
/// Maximum time to send queued messages after drain(), and to wait for the peer to close.
constexpr Duration DrainTimeout = std::chrono::milliseconds(500);
/// An idle connection is checked a second time after the idle timeout divided by this.
constexpr int IdleRecheckDivisor = 4;

} // namespace

Connection::Connection(Tcp::socket Socket, std::shared_ptr<ConnectionOwner> Owner,
                       std::shared_ptr<SharedCounters> Counters, ConnectionLimits Limits)
    : m_Socket(std::move(Socket)), m_Timer(m_Socket.get_executor()), m_Owner(std::move(Owner)),
      m_Counters(std::move(Counters)), m_Limits(Limits), m_Queue(Limits.m_MaxQueued),
      m_Frames(Limits.m_MaxFrameBytes) {}

void Connection::setPeer(std::string Name) {
  m_PeerName = std::move(Name);
  m_Peer = idOf<VmId>(m_PeerName);
}

void Connection::startConnecting(ConnectTarget Target, PeerIdentity Self, std::string PeerName) {
  setPeer(std::move(PeerName));
  m_Target = std::move(Target);
  m_Self = std::move(Self);
  boost::asio::post(m_Socket.get_executor(), [Me = shared_from_this()] {
    Me->m_Timer.expires_after(Me->m_Target.m_Delay);
    Me->m_Timer.async_wait([Me](const ErrorCode &Code) {
      if (!Code && !Me->m_Closed) {
        Me->connectSocket();
      }
    });
  });
}

void Connection::connectSocket() {
  startTimer(m_Limits.m_ConnectTimeout);
  const ErrorCode Code = m_Target.m_Local ? bindLocalAddress(*m_Target.m_Local) : ErrorCode();
  if (Code) {
    fail(Errc::PeerConnectionLost, "bind for peer", Code.message());
    return;
  }
  m_Socket.async_connect(m_Target.m_Remote, [Me = shared_from_this()](const ErrorCode &Result) {
    Me->onConnected(Result);
  });
}

Connection::ErrorCode Connection::bindLocalAddress(const boost::asio::ip::address &LocalAddress) {
  ErrorCode Code;
  m_Socket.open(m_Target.m_Remote.protocol(), Code);
  if (!Code) {
    m_Socket.bind({LocalAddress, 0}, Code);
  }
  return Code;
}

void Connection::onConnected(const ErrorCode &Code) {
  if (m_Closed) {
    return;
  }
  if (Code) {
    fail(Errc::PeerConnectionLost, "connect to peer", Code.message());
    return;
  }
  startSession(H2Session::connecting(m_Self, handlers()));
}

void Connection::startAccepted() {
  boost::asio::post(m_Socket.get_executor(), [Me = shared_from_this()] {
    Me->startTimer(Me->m_Limits.m_ConnectTimeout);
    Me->startSession(H2Session::accepting(Me->handlers()));
  });
}

void Connection::startSession(H2Session Session) {
  ErrorCode Ignored;
  m_Socket.set_option(Tcp::no_delay(true), Ignored);
  m_Session = std::make_unique<H2Session>(std::move(Session));
  m_LastRead = SystemClock{}.now();
  flush();
  read();
}

H2Session::Handlers Connection::handlers() {
  // The session is a member, so these callbacks never outlive the connection.
  return {.m_Admit = [this](const PeerIdentity &Shown) { return admit(Shown); },
          .m_OnOpen = [this] { onOpen(); },
          .m_OnData = [this](std::span<const std::uint8_t> Bytes) { onData(Bytes); }};
}

bool Connection::admit(const PeerIdentity &Shown) {
  if (m_Closed || m_Owner->onRequest(shared_from_this(), Shown)) {
    return !m_Closed;
  }
  m_Draining = true;
  return false;
}

void Connection::onOpen() {
  if (m_Closed || m_Draining) {
    return;
  }
  m_Open = true;
  m_WasOpen = true;
  ++m_Counters->m_Open;
  startTimer(m_Limits.m_IdleTimeout);
  m_Owner->onOpen(*this);
}

void Connection::startTimer(Duration Wait) {
  m_Timer.expires_after(Wait);
  m_Timer.async_wait([Me = shared_from_this()](const ErrorCode &Code) {
    const bool Replaced = Me->m_Timer.expiry() > SystemClock{}.now();
    if (!Code && !Me->m_Closed && !Replaced) {
      Me->onTimer();
    }
  });
}

void Connection::onTimer() {
  if (m_Draining) {
    close();
    return;
  }
  if (!m_Open) {
    fail(Errc::PeerConnectionLost, "connect to peer", "not accepted in time");
    return;
  }
  const Duration IdleTime = SystemClock{}.now() - m_LastRead;
  if (IdleTime < m_Limits.m_IdleTimeout) {
    m_IdleRecheckPending = false;
    startTimer(m_Limits.m_IdleTimeout - IdleTime);
  } else if (!m_IdleRecheckPending) {
    // This process may have been paused: data received meanwhile is read before the second check.
    m_IdleRecheckPending = true;
    startTimer(m_Limits.m_IdleTimeout / IdleRecheckDivisor);
  } else {
    fail(Errc::PeerConnectionLost, "read from peer",
         fmt::format("nothing was read for {} ms", toMillis(IdleTime)));
  }
}

void Connection::read() {
  m_Socket.async_read_some(boost::asio::buffer(m_In),
                           [Me = shared_from_this()](const ErrorCode &Code, std::size_t Size) {
                             Me->onRead(Code, Size);
                           });
}

void Connection::onRead(const ErrorCode &Code, std::size_t Size) {
  if (m_Closed) {
    return;
  }
  if (Code) {
    if (m_Frames.hasPartialFrame()) {
      failMalformed({Errc::PeerFrameMalformed, "read from peer", m_PeerName,
                     "connection ended within a frame"});
      return;
    }
    fail(Errc::PeerConnectionLost, "read from peer", Code.message());
    return;
  }
  m_Counters->m_BytesIn += Size;
  m_LastRead = SystemClock{}.now();
  if (!m_Session->receive(std::span(m_In).first(Size))) {
    failMalformed({Errc::PeerFrameMalformed, "read from peer", m_PeerName, "HTTP/2 is broken"});
    return;
  }
  checkState();
  if (m_Closed) {
    return;
  }
  flush();
  read();
}

void Connection::checkState() {
  switch (m_Session->state()) {
  case StreamState::Opening:
  case StreamState::Open:
    return;
  case StreamState::Refused:
    if (!m_Draining) {
      fail(Errc::PeerTokenMismatch, "open stream to peer", "the peer refused name or token");
    }
    return;
  case StreamState::Ended:
    fail(Errc::PeerConnectionLost, "read from peer", "the peer ended the stream");
    return;
  }
}

void Connection::onData(std::span<const std::uint8_t> Bytes) {
  if (m_Closed || m_Abandoned) {
    return;
  }
  m_Frames.append(Bytes);
  std::span<const std::uint8_t> Frame;
  FrameStatus Status = m_Frames.nextFrame(Frame);
  while (Status == FrameStatus::Complete) {
    if (!deliverFrame(Frame)) {
      return;
    }
    Status = m_Frames.nextFrame(Frame);
  }
  if (Status == FrameStatus::TooLong) {
    failMalformed({Errc::PeerFrameTooLong, "read from peer", m_PeerName,
                   fmt::format("longer than {} bytes", m_Limits.m_MaxFrameBytes)});
  }
}

bool Connection::deliverFrame(std::span<const std::uint8_t> Frame) {
  ++m_Counters->m_FramesIn;
  Result<DecodedMessage> Decoded = m_Decoder.decode(Frame);
  if (!Decoded) {
    Error Problem = Decoded.error();
    Problem.m_Peer = m_PeerName;
    failMalformed(Problem);
    return false;
  }
  if (!Decoded->m_Message) {
    ++m_Counters->m_UnknownTypes;
    return true;
  }
  m_Owner->onMessage(*this, std::move(*Decoded->m_Message));
  return !m_Closed && !m_Abandoned;
}

void Connection::send(Message Value, bool MayWait) {
  const PushResult Pushed = m_Queue.push(std::move(Value), MayWait);
  if (Pushed.m_Dropped) {
    ++m_Counters->m_Dropped;
  }
  if (Pushed.m_MustSchedule) {
    scheduleFlush();
  }
}

void Connection::flushWaiting() {
  if (m_Queue.claimFlush()) {
    scheduleFlush();
  }
}

void Connection::scheduleFlush() {
  boost::asio::post(m_Socket.get_executor(), [Me = shared_from_this()] { Me->flush(); });
}

void Connection::flush() {
  if (m_Closed || m_Writing || !m_Session) {
    return;
  }
  encodeQueued();
  m_Out.clear();
  if (!m_Session->collectOutput(m_Out)) {
    fail(Errc::PeerConnectionLost, "write to peer", "HTTP/2 session is broken");
    return;
  }
  if (m_Out.empty()) {
    finishWriting();
    return;
  }
  m_Writing = true;
  m_Counters->m_BytesOut += m_Out.size();
  boost::asio::async_write(
      m_Socket, boost::asio::buffer(m_Out),
      [Me = shared_from_this()](const ErrorCode &Code, std::size_t) { Me->onWritten(Code); });
}

void Connection::encodeQueued() {
  if (!m_Open) {
    return;
  }
  while (m_Session->pendingBytes() < MaxPendingBytes) {
    const std::optional<Message> Value = m_Queue.pop();
    if (!Value) {
      return;
    }
    encodeMessage(*Value);
  }
}

void Connection::encodeMessage(const Message &Value) {
  const std::vector<std::uint8_t> Frame = m_Encoder.encode(Value);
  if (Frame.size() > m_Limits.m_MaxFrameBytes) {
    ++m_Counters->m_Dropped;
    // The next message must not be a difference from this one.
    m_Encoder = DeltaEncoder{};
    m_Owner->onProblem({Errc::PeerFrameTooLong, "write to peer", m_PeerName,
                        fmt::format("message of {} bytes, {} are allowed", Frame.size(),
                                    m_Limits.m_MaxFrameBytes)});
    return;
  }
  m_Session->send(framePrefix(Frame.size()));
  m_Session->send(Frame);
  ++m_Counters->m_FramesOut;
}

void Connection::onWritten(const ErrorCode &Code) {
  m_Writing = false;
  if (m_Closed) {
    return;
  }
  if (Code) {
    fail(Errc::PeerConnectionLost, "write to peer", Code.message());
    return;
  }
  flush();
}

void Connection::finishWriting() {
  if (!m_Draining || m_ShutDown) {
    return;
  }
  // The peer closes after it has read everything; closing here immediately could lose data that it
  // has not read yet.
  m_ShutDown = true;
  startTimer(DrainTimeout);
  ErrorCode Ignored;
  m_Socket.shutdown(Tcp::socket::shutdown_send, Ignored);
}

void Connection::abandon() {
  m_Abandoned = true;
  boost::asio::post(m_Socket.get_executor(), [Me = shared_from_this()] { Me->close(); });
}

void Connection::drain() {
  boost::asio::post(m_Socket.get_executor(), [Me = shared_from_this()] {
    if (!Me->m_Open) {
      Me->close();
      return;
    }
    Me->m_Draining = true;
    Me->startTimer(DrainTimeout);
    Me->flush();
  });
}

void Connection::fail(Errc Code, std::string Step, std::string Detail) {
  if (!m_Draining && !m_Abandoned) {
    m_Owner->onProblem({Code, std::move(Step), m_PeerName, std::move(Detail)});
  }
  close();
}

void Connection::failMalformed(const Error &Problem) {
  if (m_Closed) {
    return;
  }
  ++m_Counters->m_Malformed;
  m_Owner->onProblem(Problem);
  close();
}

void Connection::close() {
  if (m_Closed) {
    return;
  }
  m_Closed = true;
  if (m_Open.exchange(false)) {
    --m_Counters->m_Open;
  }
  ErrorCode Ignored;
  m_Socket.close(Ignored);
  m_Timer.cancel();
  m_Owner->onClosed(shared_from_this(), m_WasOpen);
}

} // namespace vanillahill::peer
