#include "vanillahill/net/detail/platform_channel.hpp"

namespace vanillahill::net {

namespace {

constexpr unsigned HttpVersion = 11;
constexpr std::uint64_t MaxReplyBytes = 64U << 20U;

} // namespace

PlatformChannel::PlatformChannel(asio::io_context &Io, std::string Address)
    : m_Address(std::move(Address)), m_Stream(asio::make_strand(Io)),
      m_Timer(m_Stream.get_executor()) {}

void PlatformChannel::request(PlatformRequest Request, Handler Done) {
  asio::dispatch(m_Stream.get_executor(), [Self = shared_from_this(), Moved = std::move(Request),
                                           Then = std::move(Done)]() mutable {
    Self->m_CurrentRequest = std::move(Moved);
    Self->m_Done = std::move(Then);
    Self->m_Progress = ProgressTimeout({.m_MaxSilence = Self->m_CurrentRequest.m_Timeout,
                                        .m_MaxTotal = Self->m_CurrentRequest.m_MaxTotal});
    Self->m_Progress.start(SystemClock().now());
    Self->m_Stream.expires_at(Self->m_Progress.expiresAt());
    if (Self->m_IsConnected) {
      Self->sendRequest();
    } else {
      Self->connect();
    }
  });
}

void PlatformChannel::runAfter(Duration Wait, std::function<void()> Then) {
  asio::dispatch(m_Stream.get_executor(),
                 [Self = shared_from_this(), Wait, Moved = std::move(Then)] {
                   if (Self->m_IsClosed) {
                     return;
                   }
                   Self->m_Timer.expires_after(Wait);
                   Self->m_Timer.async_wait([Self, Moved](ErrorCode Failure) {
                     if (!Failure) {
                       Moved();
                     }
                   });
                 });
}

void PlatformChannel::close() {
  asio::post(m_Stream.get_executor(), [Self = shared_from_this()] {
    Self->m_IsClosed = true;
    Self->m_Timer.cancel();
    Self->m_Stream.close();
  });
}

void PlatformChannel::connect() {
  const auto Endpoint = parseEndpoint(m_Address);
  if (!Endpoint) {
    completeRequest(Endpoint.error());
    return;
  }
  m_Stream.async_connect(*Endpoint, [Self = shared_from_this()](ErrorCode Failure) {
    if (Failure) {
      Self->handleCompletion(Failure);
      return;
    }
    Self->m_IsConnected = true;
    Self->sendRequest();
  });
}

void PlatformChannel::sendRequest() {
  m_Request = http::request<http::string_body>(m_CurrentRequest.m_Method, m_CurrentRequest.m_Target,
                                               HttpVersion);
  m_Request.set(http::field::host, m_Address);
  m_Request.set(http::field::content_type, "application/json");
  m_Request.body() = std::move(m_CurrentRequest.m_Body);
  m_Request.prepare_payload();
  http::async_write(m_Stream, m_Request,
                    [Self = shared_from_this()](ErrorCode Failure, std::size_t) {
                      if (Failure) {
                        Self->handleCompletion(Failure);
                        return;
                      }
                      Self->m_Parser.emplace();
                      Self->m_Parser->body_limit(MaxReplyBytes);
                      Self->m_Parser->eager(true);
                      Self->receiveSome();
                    });
}

void PlatformChannel::receiveSome() {
  m_Stream.expires_at(m_Progress.expiresAt());
  http::async_read_some(m_Stream, m_Buffer, *m_Parser,
                        [Self = shared_from_this()](ErrorCode Failure, std::size_t) {
                          Self->m_Progress.progressed(SystemClock().now());
                          if (Failure || Self->m_Parser->is_done()) {
                            Self->handleCompletion(Failure);
                          } else {
                            Self->receiveSome();
                          }
                        });
}

void PlatformChannel::handleCompletion(ErrorCode Failure) {
  if (Failure) {
    m_IsConnected = false;
    m_Stream.close();
    m_Buffer.clear();
    completeRequest(requestError(Failure.message()));
    return;
  }
  auto Message = m_Parser->release();
  if (!Message.keep_alive()) {
    m_IsConnected = false;
    m_Stream.close();
  }
  if (Message.result() != http::status::ok) {
    completeRequest(requestError("status " + std::to_string(Message.result_int())));
    return;
  }
  completeRequest(std::move(Message.body()));
}

void PlatformChannel::completeRequest(Result<std::string> Outcome) {
  if (m_IsClosed) {
    // The handler may own this channel.
    m_Done = nullptr;
    return;
  }
  m_Stream.expires_never();
  // The handler may start the next request at once.
  const auto Done = std::move(m_Done);
  m_Done = nullptr;
  Done(std::move(Outcome));
}

Error PlatformChannel::requestError(std::string Detail) const {
  return {Errc::LogUnavailable,
          std::string(m_Request.method_string()) + " " + m_CurrentRequest.m_Target, m_Address,
          std::move(Detail)};
}

} // namespace vanillahill::net
