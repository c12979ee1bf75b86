#include "detail/load_client.hpp"

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <sys/socket.h>

namespace vanillahill::load::detail {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

} // namespace

LoadClient::LoadClient(boost::asio::io_context &Io, tcp::endpoint Entry)
    : m_Entry(std::move(Entry)), m_Socket(Io), m_Timer(Io) {}

void LoadClient::connect(TimePoint Limit, Connected Done) {
  armTimer(Limit);
  m_Socket.async_connect(
      m_Entry, [Self = shared_from_this(), Done = std::move(Done)](const ErrorCode &Failure) {
        Self->disarmTimer();
        if (!Failure) {
          ErrorCode Ignored;
          Self->m_Socket.set_option(tcp::no_delay(true), Ignored);
        }
        Done(!Failure);
      });
}

bool LoadClient::usable() {
  if (!m_KeepAlive || !m_Socket.is_open()) {
    return false;
  }
  char Byte = 0;
  const ssize_t Seen = ::recv(m_Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Seen < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void LoadClient::exchange(HttpRequest Request, TimePoint Limit, Handler Done) {
  m_Request = std::move(Request);
  m_Done = std::move(Done);
  m_TimedOut = false;
  m_KeepAlive = false;
  armTimer(Limit);
  http::async_write(m_Socket, m_Request,
                    [Self = shared_from_this()](const ErrorCode &Failure, std::size_t) {
                      if (Failure) {
                        Self->finish(false);
                        return;
                      }
                      Self->read();
                    });
}

void LoadClient::read() {
  m_Parser.emplace();
  http::async_read(m_Socket, m_Buffer, *m_Parser,
                   [Self = shared_from_this()](const ErrorCode &Failure, std::size_t) {
                     Self->finish(!Failure);
                   });
}

void LoadClient::finish(bool Whole) {
  disarmTimer();
  Exchanged Result;
  Result.m_Whole = Whole;
  Result.m_TimedOut = m_TimedOut;
  if (Whole) {
    m_KeepAlive = m_Parser->get().keep_alive();
    Result.m_Response = m_Parser->release();
  }
  if (!m_KeepAlive) {
    ErrorCode Ignored;
    m_Socket.close(Ignored);
  }
  const Handler Done = std::move(m_Done);
  m_Done = nullptr;
  Done(std::move(Result));
}

void LoadClient::armTimer(TimePoint Limit) {
  m_Timer.expires_at(Limit);
  m_Timer.async_wait([Self = weak_from_this(), Round = m_TimerRound](const ErrorCode &Failure) {
    const std::shared_ptr<LoadClient> Client = Self.lock();
    if (Failure || !Client || Client->m_TimerRound != Round) {
      return;
    }
    Client->m_TimedOut = true;
    ErrorCode Ignored;
    Client->m_Socket.close(Ignored);
  });
}

void LoadClient::disarmTimer() {
  ++m_TimerRound;
  m_Timer.cancel();
}

} // namespace vanillahill::load::detail
