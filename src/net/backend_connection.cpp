#include "vanillahill/net/detail/backend_connection.hpp"

#include "vanillahill/observe/log.hpp"

#include <boost/asio/write.hpp>

namespace vanillahill::net {

namespace {

constexpr std::chrono::seconds ConnectTimeout(1);

Errc numberOf(observe::ReplyFault Fault) {
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
    observe::logFault("backend_connect_failed", {Errc::BackendConnectFailed, "connect",
                                                 toText(m_Endpoint), Failure.message()});
    close();
    return;
  }
  m_IsConnecting = false;
  setNoDelay(m_Stream);
  read();
  m_Pool->connected(shared_from_this());
}

void BackendConnection::send(std::shared_ptr<const BackendExchange> Exchange) {
  // Dispatched, not posted: the thread that decided sends, without a change of threads.
  asio::dispatch(m_Stream.get_executor(),
                 [Self = shared_from_this(), Moved = std::move(Exchange)] { Self->begin(Moved); });
}

void BackendConnection::begin(std::shared_ptr<const BackendExchange> Exchange) {
  m_Exchange = std::move(Exchange);
  m_MayHaveLeft = false;
  if (m_IsClosed) {
    finish({.m_Result = kernel::AttemptResult::NotSent});
    return;
  }
  if (m_AbortedId == m_Exchange->m_Id) {
    release({.m_Result = kernel::AttemptResult::NotSent});
    return;
  }
  m_Reply.reset();
  m_IsWritten = false;
  m_Request = m_Pool->m_Options.m_Dialect->m_ExchangeMessage(*m_Exchange, m_Pool->m_VmName,
                                                             SystemClock().now());
  m_Serializer.emplace(m_Request);
  m_MayHaveLeft = true;
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
    m_MayHaveLeft = Count > 0;
    fail(observe::ReplyFault::Cut);
    return;
  }
  m_IsWritten = true;
  completeIfWritten();
}

void BackendConnection::read() {
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
    onEnd();
    return;
  }
  if (Failure) {
    fail(observe::ReplyFault::Cut);
    return;
  }
  m_Reader.commit(Count);
  if (!m_Exchange || m_Reply) {
    // Nothing was asked: the connection cannot be trusted any more.
    fail(observe::ReplyFault::LeftOver);
    return;
  }
  readNext();
}

/// Reads on in the bytes received so far.
void BackendConnection::readNext() {
  switch (m_Reader.advance()) {
  case ReadState::Faulty:
    fail(observe::ReplyFault::Malformed);
    return;
  case ReadState::Whole:
    onReply();
    return;
  case ReadState::NeedMore:
    read();
    return;
  }
}

/// The server ended the connection in order, and with it a reply without a length.
void BackendConnection::onEnd() {
  if (!m_Pool->m_Options.m_Dialect->m_Replies.m_AllowsUnframed || !m_Reader.finishAtEnd()) {
    fail(observe::ReplyFault::Cut);
    return;
  }
  m_IsTainted = true;
  onReply();
}

void BackendConnection::onReply() {
  const Dialect &Speech = *m_Pool->m_Options.m_Dialect;
  auto Message = m_Reader.take();
  if (!hasFinalStatus(Message) || !(hasLength(Message) || m_IsTainted)) {
    fail(observe::ReplyFault::Malformed);
    return;
  }
  if (!Speech.m_BelongsTo(Message, *m_Exchange)) {
    if (!Speech.m_Replies.m_SkipsOthers) {
      fail(observe::ReplyFault::OtherExchange);
      return;
    }
    report(observe::ReplyFault::OtherExchange);
    m_IsTainted = true;
    readNext();
    return;
  }
  if (m_Reader.leftOver() > 0) {
    if (!Speech.m_Replies.m_AllowsLeftOver) {
      fail(observe::ReplyFault::LeftOver);
      return;
    }
    report(observe::ReplyFault::LeftOver);
    m_IsTainted = true;
  }
  m_Reply = std::move(Message);
  completeIfWritten();
}

void BackendConnection::completeIfWritten() {
  const Dialect &Speech = *m_Pool->m_Options.m_Dialect;
  if (!m_Reply || (!m_IsWritten && m_Reply->keep_alive() && !Speech.m_Replies.m_TakesEarly)) {
    return;
  }
  const bool Reuse = m_IsWritten && m_Reply->keep_alive() && !m_IsTainted;
  noteKeepAlive(*m_Reply);
  auto End = Speech.m_ReadReply(std::move(*m_Reply), *m_Exchange);
  m_Reply.reset();
  if (!Reuse) {
    finish(std::move(End));
    close();
    return;
  }
  read();
  release(std::move(End));
}

/// Notes when the server will close the connection if it stays idle.
void BackendConnection::noteKeepAlive(const HttpReply &Message) {
  // The last request must be on its way well before the server closes.
  constexpr std::chrono::milliseconds Margin(500);
  const auto Time = keepAliveTime(Message);
  m_UsableUntil = Time ? SystemClock().now() + *Time - Margin : TimePoint::max();
}

void BackendConnection::release(ExchangeEnd End) {
  // Idle before the kernel hears of the end, so that its next dispatch finds the connection.
  const auto Id = m_Exchange->m_Id;
  m_Exchange.reset();
  m_Pool->released(shared_from_this());
  m_Pool->finish(Id, std::move(End));
}

void BackendConnection::abort(std::uint64_t Id, bool IsLate) {
  asio::post(m_Stream.get_executor(), [Self = shared_from_this(), Id, IsLate] {
    if (!Self->m_Exchange || Self->m_Exchange->m_Id != Id) {
      // The order to send it may still be on its way to this strand.
      Self->m_AbortedId = Id;
      return;
    }
    Self->abortRunning(IsLate);
  });
}

void BackendConnection::abortRunning(bool IsLate) {
  ExchangeEnd End;
  if (m_Reply) {
    // The whole reply came while the request was still being written.
    End = m_Pool->m_Options.m_Dialect->m_ReadReply(std::move(*m_Reply), *m_Exchange);
    m_Reply.reset();
  } else if (IsLate) {
    report(observe::ReplyFault::Late);
  }
  finish(std::move(End));
  close();
}

void BackendConnection::closeIdle() {
  asio::post(m_Stream.get_executor(), [Self = shared_from_this()] {
    if (!Self->m_Exchange) {
      Self->close();
    }
  });
}

void BackendConnection::fail(observe::ReplyFault Fault) {
  if (m_Exchange) {
    report(Fault);
    finish({.m_Result =
                m_MayHaveLeft ? kernel::AttemptResult::Unknown : kernel::AttemptResult::NotSent});
  }
  close();
}

void BackendConnection::report(observe::ReplyFault Fault) {
  m_Pool->m_Metrics.countReplyFault(Fault);
  observe::logFault("backend_reply_fault", {numberOf(Fault), "read reply", toText(m_Endpoint),
                                            "exchange " + std::to_string(m_Exchange->m_Id)});
}

void BackendConnection::finish(ExchangeEnd End) {
  const auto Id = m_Exchange->m_Id;
  m_Exchange.reset();
  m_Pool->finish(Id, std::move(End));
}

void BackendConnection::close() {
  if (m_IsClosed) {
    return;
  }
  m_IsClosed = true;
  m_ConnectTimer.cancel();
  closeSocket(m_Stream);
  m_Pool->closed(shared_from_this(), m_IsConnecting);
}

} // namespace vanillahill::net
