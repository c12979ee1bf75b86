#include "vanillahill/net/detail/caller_connection.hpp"

#include "vanillahill/net/detail/answer_message.hpp"
#include "vanillahill/observe/log.hpp"

#include <boost/asio/write.hpp>

namespace vanillahill::net {

namespace {

/// Without an idle timeout in the settings, an idle connection is kept open for this multiple of
/// the callers' timeout.
constexpr int IdleTimeoutFactor = 6;
/// How long a lingering connection discards what its caller still sends before it is closed.
constexpr std::chrono::seconds LingerTimeout(1);
constexpr std::string_view ContinueText = "HTTP/1.1 100 Continue\r\n\r\n";

bool endsConnection(CallerFault Fault) {
  switch (Fault) {
  case CallerFault::Method:
  case CallerFault::BadKey:
  case CallerFault::UnknownKind:
  case CallerFault::NotServing:
    return false;
  default:
    return true;
  }
}

} // namespace

CallerConnection::CallerConnection(CallerConnectionOptions Options, Socket Stream,
                                   std::shared_ptr<CallerServer> Server)
    : m_Options(Options), m_Stream(std::move(Stream)), m_Server(std::move(Server)),
      m_Limits(m_Server->limits()),
      m_Reader({.m_HeaderBytes = m_Limits.m_HeaderBytes, .m_BodyBytes = m_Limits.m_BodyBytes}),
      m_DeadlineTicks(TimePoint::max().time_since_epoch().count()) {
  setNoDelay(m_Stream);
  enterPhase(CallerPhase::Idle);
}

void CallerConnection::start() {
  asio::dispatch(m_Stream.get_executor(), [Self = shared_from_this()] { Self->read(); });
}

void CallerConnection::startRefusal(CallerFault Fault) {
  asio::dispatch(m_Stream.get_executor(), [Self = shared_from_this(), Fault] {
    Self->read();
    Self->sendRefusal(Fault);
  });
}

void CallerConnection::read() {
  if (m_IsReading) {
    return;
  }
  m_IsReading = true;
  m_Stream.async_read_some(m_Reader.prepare(),
                           [Self = shared_from_this()](ErrorCode Failure, std::size_t Count) {
                             Self->onRead(Failure, Count);
                           });
}

void CallerConnection::onRead(ErrorCode Failure, std::size_t Count) {
  m_IsReading = false;
  const bool IsClosing = std::exchange(m_ClosesAfterRead, false);
  if (m_Phase == CallerPhase::Closed) {
    return;
  }
  if (IsClosing && Failure == asio::error::operation_aborted) {
    if (hasUnreadBytes()) {
      read();
    } else {
      linger();
    }
    return;
  }
  if (Failure) {
    onPeerClosed();
    return;
  }
  if (m_Phase == CallerPhase::Lingering) {
    read();
    return;
  }
  m_Reader.commit(Count);
  if (m_Phase == CallerPhase::Idle || m_Phase == CallerPhase::Receiving) {
    processReceived();
  }
  // In the other phases the bytes belong to the next request; reading continues after the answer.
}

void CallerConnection::onPeerClosed() {
  if (m_Phase == CallerPhase::Waiting) {
    m_Server->abandonRequest(m_Request);
  }
  if (m_Phase == CallerPhase::Answering) {
    m_PeerClosed = true;
    return;
  }
  close();
}

void CallerConnection::processReceived() {
  switch (m_Reader.advance()) {
  case ReadState::Faulty:
    sendRefusal(m_Reader.fault());
    return;
  case ReadState::Whole:
    submitRequest();
    return;
  case ReadState::NeedMore:
    break;
  }
  if (m_Phase == CallerPhase::Idle && m_Reader.isInMessage()) {
    enterPhase(CallerPhase::Receiving);
  }
  if (m_Reader.isWaitingForBody() && !m_ContinueChecked) {
    sendContinueIfExpected();
  }
  read();
}

void CallerConnection::sendContinueIfExpected() {
  m_ContinueChecked = true;
  if (!beast::iequals(m_Reader.header(http::field::expect), "100-continue")) {
    return;
  }
  // The 25 bytes fit into the send buffer of a connection whose caller waits for them.
  ErrorCode Ignored;
  m_Stream.non_blocking(true, Ignored);
  m_Stream.write_some(asio::buffer(ContinueText), Ignored);
}

void CallerConnection::submitRequest() {
  m_ContinueChecked = false;
  auto Message = m_Reader.take();
  m_KeepAlive = Message.keep_alive();
  const auto Routes = m_Server->routes();
  auto Parsed = m_Server->m_Dialect.m_ParseRequest(
      std::move(Message), Routes.get(), m_Server->originOf(m_Options.m_IsFromVm, Routes.get()));
  if (Parsed.m_Fault != CallerFault::None) {
    if (m_Server->m_OnRefusal) {
      m_Server->m_OnRefusal(Parsed.m_CallerId, Parsed.m_Fault);
    }
    sendRefusal(Parsed.m_Fault);
    return;
  }
  enterPhase(CallerPhase::Waiting);
  if (m_Reader.leftOver() == 0) {
    read();
  }
  // Set before the kernel gets the request, since it may answer before submitRequest() returns.
  m_Request = m_Server->nextRequestId();
  m_Server->submitRequest(m_Request, shared_from_this(), std::move(Parsed.m_Request),
                          m_Options.m_IsFromVm);
}

void CallerConnection::answer(RequestId Id, kernel::Answer Answer) {
  // Dispatched, not posted, so that the thread that has the answer can write it without a switch
  // to another thread.
  asio::dispatch(m_Stream.get_executor(), [Self = shared_from_this(), Id,
                                           Moved = std::move(Answer)]() mutable {
    if (Self->m_Phase != CallerPhase::Waiting || Self->m_Request != Id) {
      return;
    }
    Self->m_Answer = std::move(Moved);
    const bool KeepAlive = Self->m_KeepAlive && !Self->m_Server->isLeaving();
    Self->m_Response =
        Self->m_Server->m_Dialect.m_AnswerMessage(Self->m_Answer, Self->m_RefusalText, KeepAlive);
    Self->markOutcome(Self->m_Answer.m_Outcome);
    Self->writeResponse(KeepAlive);
  });
}

void CallerConnection::sendRefusal(CallerFault Fault) {
  recordFault(Fault);
  const bool KeepAlive = !endsConnection(Fault) && m_KeepAlive && !m_Server->isLeaving();
  m_Response = m_Server->m_Dialect.m_FaultMessage(Fault, m_RefusalText, KeepAlive);
  markOutcome(kernel::Outcome::NotRun);
  writeResponse(KeepAlive);
}

void CallerConnection::markOutcome(kernel::Outcome Outcome) {
  if (m_Options.m_IsFromVm && Outcome != kernel::Outcome::Completed) {
    m_Response.set(RelayOutcomeHeader,
                   Outcome == kernel::Outcome::NotRun ? RelayNotRun : RelayUnknown);
  }
}

void CallerConnection::recordFault(CallerFault Fault) {
  m_Server->m_Metrics.countFault(Fault);
  if (!endsConnection(Fault)) {
    return;
  }
  ErrorCode Ignored;
  const auto Caller = m_Stream.remote_endpoint(Ignored).address().to_string();
  observe::logFault("caller_refused",
                    {numberOf(Fault), "read request", Caller, std::string(toString(Fault))});
}

void CallerConnection::writeResponse(bool KeepAlive) {
  enterPhase(CallerPhase::Answering);
  m_Serializer.emplace(m_Response);
  http::async_write(m_Stream, *m_Serializer,
                    [Self = shared_from_this(), KeepAlive](ErrorCode Failure, std::size_t) {
                      Self->onWritten(Failure, KeepAlive);
                    });
}

void CallerConnection::onWritten(ErrorCode Failure, bool KeepAlive) {
  if (m_Phase != CallerPhase::Answering) {
    return;
  }
  m_Serializer.reset();
  m_Answer = {};
  if (Failure || m_PeerClosed) {
    close();
    return;
  }
  if (!KeepAlive) {
    linger();
    return;
  }
  enterPhase(CallerPhase::Idle);
  if (m_Reader.leftOver() > 0) {
    processReceived();
  } else {
    read();
  }
}

void CallerConnection::linger() {
  // Closing a socket with unread bytes resets the connection, and the caller could lose the answer.
  enterPhase(CallerPhase::Lingering);
  ErrorCode Ignored;
  m_Stream.shutdown(Socket::shutdown_send, Ignored);
  read();
}

void CallerConnection::closeIfIdle() {
  asio::post(m_Stream.get_executor(), [Self = shared_from_this()] {
    if (Self->m_Phase == CallerPhase::Idle) {
      Self->closeUnlessRequestArrived();
    }
  });
}

/// A busy process handles a request later than it arrives: the read is ended first, and the
/// connection is closed only if no request came with it.
void CallerConnection::closeUnlessRequestArrived() {
  if (!m_IsReading) {
    linger();
    return;
  }
  m_ClosesAfterRead = true;
  ErrorCode Ignored;
  m_Stream.cancel(Ignored);
}

bool CallerConnection::hasUnreadBytes() const {
  ErrorCode Failure;
  return m_Stream.available(Failure) > 0 && !Failure;
}

void CallerConnection::closeNow() {
  asio::post(m_Stream.get_executor(), [Self = shared_from_this()] {
    if (Self->m_Phase == CallerPhase::Waiting) {
      Self->m_Server->abandonRequest(Self->m_Request);
    }
    Self->close();
  });
}

void CallerConnection::checkTimeout(TimePoint Now) {
  if (Now.time_since_epoch().count() < m_DeadlineTicks.load(std::memory_order_relaxed)) {
    return;
  }
  asio::post(m_Stream.get_executor(), [Self = shared_from_this(), Now] {
    if (Now.time_since_epoch().count() >= Self->m_DeadlineTicks.load(std::memory_order_relaxed)) {
      Self->handleTimeout();
    }
  });
}

void CallerConnection::handleTimeout() {
  switch (m_Phase) {
  case CallerPhase::Receiving:
    sendRefusal(CallerFault::SlowRequest);
    return;
  case CallerPhase::Idle:
    closeUnlessRequestArrived();
    return;
  case CallerPhase::Answering:
    recordFault(CallerFault::SlowAnswer);
    close();
    return;
  default:
    close();
    return;
  }
}

void CallerConnection::close() {
  if (m_Phase == CallerPhase::Closed) {
    return;
  }
  enterPhase(CallerPhase::Closed);
  closeSocket(m_Stream);
  m_Server->removeConnection(m_Options.m_Id);
}

void CallerConnection::enterPhase(CallerPhase Phase) {
  m_Phase = Phase;
  auto Deadline = TimePoint::max();
  const auto Now = SystemClock().now();
  switch (Phase) {
  case CallerPhase::Idle:
    Deadline =
        Now + (m_Limits.m_IdleTimeout > Duration::zero() ? m_Limits.m_IdleTimeout
                                                         : IdleTimeoutFactor * m_Limits.m_Timeout);
    break;
  case CallerPhase::Receiving:
  case CallerPhase::Answering:
    Deadline = Now + m_Limits.m_Timeout;
    break;
  case CallerPhase::Lingering:
    Deadline = Now + LingerTimeout;
    break;
  case CallerPhase::Waiting:
  case CallerPhase::Closed:
    break;
  }
  m_DeadlineTicks.store(Deadline.time_since_epoch().count(), std::memory_order_relaxed);
}

} // namespace vanillahill::net
