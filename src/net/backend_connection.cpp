#include "vanillahill/net/detail/backend_connection.hpp"

#include "vanillahill/observe/log.hpp"

#include <boost/asio/write.hpp>

namespace vanillahill::net {

namespace {

constexpr std::chrono::seconds ConnectTimeout(1);
/// A connection to another VM is not used again after this time: that VM closes idle ones.
constexpr Duration RelayIdleTime = std::chrono::seconds(5);

Errc errorCodeOf(observe::ReplyFault Fault) {
  switch (Fault) {
  case observe::ReplyFault::Cut:
    return Errc::BackendReplyCut;
  case observe::ReplyFault::Late:
    return Errc::BackendTimeout;
  case observe::ReplyFault::Malformed:
    return Errc::HttpMalformed;
  case observe::ReplyFault::OtherExchange:
  case observe::ReplyFault::LeftOver:
    return Errc::BackendReplyMismatch;
  }
  return Errc::BackendReplyMismatch;
}
constexpr MessageLimits ReplyLimits{.m_HeaderBytes = 16384, .m_BodyBytes = 16U << 20U};

} // namespace

BackendConnection::BackendConnection(asio::io_context &Io, ServerId Server, Tcp::endpoint Endpoint,
                                     std::shared_ptr<BackendPool> Pool)
    : m_Server(Server), m_Endpoint(std::move(Endpoint)), m_Pool(std::move(Pool)),
      m_Stream(asio::make_strand(Io)), m_ConnectTimer(m_Stream.get_executor()),
      m_Reader(ReplyLimits) {}

void BackendConnection::open() {
  asio::dispatch(m_Stream.get_executor(), [Self = shared_from_this()] {
    Self->m_IsConnecting = true;
    Self->m_ConnectTimer.expires_after(ConnectTimeout);
    Self->m_ConnectTimer.async_wait([Self](ErrorCode Failure) {
      if (!Failure && Self->m_IsConnecting) {
        Self->close();
      }
    });
    Self->m_Stream.async_connect(Self->m_Endpoint,
                                 [Self](ErrorCode Failure) { Self->onConnected(Failure); });
  });
}

void BackendConnection::onConnected(ErrorCode Failure) {
  if (m_IsClosed) {
    return;
  }
  m_ConnectTimer.cancel();
  if (Failure) {
    m_WasRefused = Failure == asio::error::connection_refused;
    observe::logFault("backend_connect_failed", {Errc::BackendConnectFailed, "connect",
                                                 toText(m_Endpoint), Failure.message()});
    close();
    return;
  }
  m_IsConnecting = false;
  setNoDelay(m_Stream);
  readBytes();
  m_Pool->onConnected(shared_from_this());
}

void BackendConnection::send(std::shared_ptr<const BackendExchange> Exchange) {
  // Dispatched, not posted, so that the deciding thread also sends, without a thread switch.
  asio::dispatch(m_Stream.get_executor(), [Self = shared_from_this(), Moved = std::move(Exchange)] {
    Self->startExchange(Moved);
  });
}

void BackendConnection::startExchange(std::shared_ptr<const BackendExchange> Exchange) {
  m_Exchange = std::move(Exchange);
  m_MayHaveBeenSent = false;
  if (m_IsClosed) {
    finishExchange({.m_Result = kernel::AttemptResult::NotSent});
    return;
  }
  if (m_AbortedId == m_Exchange->m_Id) {
    finishAndRelease({.m_Result = kernel::AttemptResult::NotSent});
    return;
  }
  m_Reply.reset();
  m_IsWritten = false;
  m_Request = m_Pool->m_Options.m_Dialect->m_ExchangeMessage(*m_Exchange, m_Pool->m_VmName,
                                                             SystemClock().now());
  m_Serializer.emplace(m_Request);
  m_MayHaveBeenSent = true;
  http::async_write(m_Stream, *m_Serializer,
                    [Self = shared_from_this()](ErrorCode Failure, std::size_t Count) {
                      Self->onWritten(Failure, Count);
                    });
}

void BackendConnection::onWritten(ErrorCode Failure, std::size_t Count) {
  if (m_IsClosed || !m_Exchange) {
    return;
  }
  if (Failure) {
    m_MayHaveBeenSent = Count > 0;
    failConnection(observe::ReplyFault::Cut);
    return;
  }
  m_IsWritten = true;
  completeIfWritten();
}

void BackendConnection::readBytes() {
  m_Stream.async_read_some(m_Reader.prepare(),
                           [Self = shared_from_this()](ErrorCode Failure, std::size_t Count) {
                             Self->onRead(Failure, Count);
                           });
}

void BackendConnection::onRead(ErrorCode Failure, std::size_t Count) {
  if (m_IsClosed) {
    return;
  }
  if (Failure == asio::error::eof && m_Exchange && !m_Reply && m_Reader.endsWithConnection()) {
    onEndOfStream();
    return;
  }
  if (Failure) {
    failConnection(observe::ReplyFault::Cut);
    return;
  }
  m_Reader.commit(Count);
  if (!m_Exchange || m_Reply) {
    // Bytes without a pending request, or after a complete reply: the connection is not reusable.
    failConnection(observe::ReplyFault::LeftOver);
    return;
  }
  parseReply();
}

/// Parses the bytes received so far.
void BackendConnection::parseReply() {
  switch (m_Reader.advance()) {
  case ReadState::Faulty:
    failConnection(observe::ReplyFault::Malformed);
    return;
  case ReadState::Whole:
    onReply();
    return;
  case ReadState::NeedMore:
    readBytes();
    return;
  }
}

/// The server closed the connection cleanly, which ends a reply without a length.
void BackendConnection::onEndOfStream() {
  if (!m_Pool->m_Options.m_Dialect->m_Replies.m_AllowsUnframed || !m_Reader.finishAtEnd()) {
    failConnection(observe::ReplyFault::Cut);
    return;
  }
  m_CloseAfterExchange = true;
  onReply();
}

void BackendConnection::onReply() {
  const Dialect &Protocol = *m_Pool->m_Options.m_Dialect;
  auto Message = m_Reader.take();
  if (!hasFinalStatus(Message) || !(hasKnownLength(Message) || m_CloseAfterExchange)) {
    failConnection(observe::ReplyFault::Malformed);
    return;
  }
  if (!Protocol.m_BelongsTo(Message, *m_Exchange)) {
    if (!Protocol.m_Replies.m_SkipsOthers) {
      failConnection(observe::ReplyFault::OtherExchange);
      return;
    }
    reportFault(observe::ReplyFault::OtherExchange);
    m_CloseAfterExchange = true;
    parseReply();
    return;
  }
  if (m_Reader.leftOver() > 0) {
    if (!Protocol.m_Replies.m_AllowsLeftOver) {
      failConnection(observe::ReplyFault::LeftOver);
      return;
    }
    reportFault(observe::ReplyFault::LeftOver);
    m_CloseAfterExchange = true;
  }
  m_Reply = std::move(Message);
  completeIfWritten();
}

void BackendConnection::completeIfWritten() {
  const Dialect &Protocol = *m_Pool->m_Options.m_Dialect;
  if (!m_Reply || (!m_IsWritten && m_Reply->keep_alive() && !Protocol.m_Replies.m_TakesEarly)) {
    return;
  }
  const bool MayReuse = m_IsWritten && m_Reply->keep_alive() && !m_CloseAfterExchange;
  updateUsableUntil(*m_Reply);
  const auto IdleTime = keepAliveTime(*m_Reply);
  auto End = Protocol.m_ReadReply(std::move(*m_Reply), *m_Exchange);
  const bool Reuse = MayReuse && !End.m_IsUnidentified;
  End.m_IdleTime = IdleTime;
  m_Reply.reset();
  // A server that asks for a pause, or for fewer requests, does not get what waits for a connection
  // to it. These requests end after the reply, so that the kernel knows the reason.
  std::vector<std::uint64_t> Unsent;
  const bool TakesFewer = m_Pool->noteRequestLimit(m_Server, End.m_RequestLimit);
  if (TakesFewer || End.m_PauseFor > Duration::zero()) {
    Unsent = m_Pool->takeWaitingRequests(m_Server);
  }
  if (!Reuse) {
    finishExchange(std::move(End));
    close();
  } else {
    readBytes();
    finishAndRelease(std::move(End));
  }
  m_Pool->endUnsent(Unsent);
}

/// Updates the time until which the connection may be reused while idle.
void BackendConnection::updateUsableUntil(const HttpReply &Message) {
  // The last request must be sent well before the server closes the connection.
  constexpr std::chrono::milliseconds Margin(500);
  auto Time = keepAliveTime(Message);
  if (!Time && m_Exchange->m_IsRelay) {
    Time = RelayIdleTime;
  }
  m_UsableUntil = Time ? SystemClock().now() + *Time - Margin : TimePoint::max();
}

void BackendConnection::finishAndRelease(ExchangeEnd End) {
  // Released before the kernel receives the end event, so that its next dispatch can use this
  // connection.
  const auto Id = m_Exchange->m_Id;
  m_Exchange.reset();
  m_Pool->onReleased(shared_from_this());
  m_Pool->finishExchange(Id, std::move(End));
}

void BackendConnection::abort(std::uint64_t Id, bool IsLate) {
  asio::post(m_Stream.get_executor(), [Self = shared_from_this(), Id, IsLate] {
    if (!Self->m_Exchange || Self->m_Exchange->m_Id != Id) {
      // The call that sends it may still be queued on this strand.
      Self->m_AbortedId = Id;
      return;
    }
    Self->abortExchange(IsLate);
  });
}

void BackendConnection::abortExchange(bool IsLate) {
  ExchangeEnd End;
  if (m_Reply) {
    // The complete reply arrived while the request was still being written.
    End = m_Pool->m_Options.m_Dialect->m_ReadReply(std::move(*m_Reply), *m_Exchange);
    m_Reply.reset();
  } else if (IsLate) {
    reportFault(observe::ReplyFault::Late);
  }
  finishExchange(std::move(End));
  close();
}

void BackendConnection::closeIdle() {
  asio::post(m_Stream.get_executor(), [Self = shared_from_this()] {
    if (!Self->m_Exchange) {
      Self->close();
    }
  });
}

void BackendConnection::failConnection(observe::ReplyFault Fault) {
  if (m_Exchange) {
    reportFault(Fault);
    const bool HasReplyBytes = m_Reply || m_Reader.isInMessage();
    finishExchange({.m_Result = m_MayHaveBeenSent ? kernel::AttemptResult::Unknown
                                                  : kernel::AttemptResult::NotSent,
                    .m_ClosedUnanswered =
                        m_MayHaveBeenSent && !HasReplyBytes && Fault == observe::ReplyFault::Cut});
  }
  close();
}

void BackendConnection::reportFault(observe::ReplyFault Fault) {
  m_Pool->m_Metrics.countReplyFault(Fault);
  observe::logFault("backend_reply_fault", {errorCodeOf(Fault), "read reply", toText(m_Endpoint),
                                            "exchange " + std::to_string(m_Exchange->m_Id)});
}

void BackendConnection::finishExchange(ExchangeEnd End) {
  const auto Id = m_Exchange->m_Id;
  m_Exchange.reset();
  m_Pool->finishExchange(Id, std::move(End));
}

void BackendConnection::close() {
  if (m_IsClosed) {
    return;
  }
  m_IsClosed = true;
  m_ConnectTimer.cancel();
  closeSocket(m_Stream);
  m_Pool->onClosed(shared_from_this(), m_IsConnecting);
}

} // namespace vanillahill::net
