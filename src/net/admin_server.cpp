#include "vanillahill/net/detail/admin_server.hpp"

#include "vanillahill/core/secret.hpp"
#include "vanillahill/fleet/snapshot_fetcher.hpp"
#include "vanillahill/net/status_json.hpp"
#include "vanillahill/observe/log.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <optional>

namespace vanillahill::net {

namespace {

constexpr unsigned HttpVersion = 11;
constexpr std::uint32_t MaxHeaderBytes = 8192;
constexpr std::chrono::seconds SessionTimeout(10);
constexpr int MaxSessions = 32;
constexpr std::chrono::milliseconds AcceptPause(20);
constexpr std::string_view Bearer = "Bearer ";

AdminServer::Response textResponse(http::status Status, const char *Type, std::string Body) {
  AdminServer::Response Message(Status, HttpVersion);
  Message.set(http::field::content_type, Type);
  Message.set(http::field::cache_control, "no-store");
  Message.body() = std::move(Body);
  return Message;
}

} // namespace

/// One connection of an operator.
class AdminSession : public std::enable_shared_from_this<AdminSession> {
public:
  AdminSession(Socket Stream, std::shared_ptr<AdminServer> Server)
      : m_Stream(std::move(Stream)), m_Server(std::move(Server)) {
    ++m_Server->m_Sessions;
  }
  ~AdminSession() {
    endTransfer();
    --m_Server->m_Sessions;
  }
  AdminSession(const AdminSession &) = delete;
  AdminSession &operator=(const AdminSession &) = delete;

  Strand executor() { return m_Stream.get_executor(); }

  void read() {
    m_Parser.emplace();
    m_Parser->header_limit(MaxHeaderBytes);
    m_Parser->body_limit(0);
    m_Stream.expires_after(SessionTimeout);
    http::async_read(m_Stream, m_Buffer, *m_Parser,
                     [Self = shared_from_this()](ErrorCode Failure, std::size_t) {
                       if (!Failure) {
                         Self->write();
                       }
                     });
  }

private:
  void write() {
    const auto Message = m_Parser->release();
    m_Response = respond(Message);
    m_Response.keep_alive(Message.keep_alive());
    m_Response.prepare_payload();
    http::async_write(m_Stream, m_Response,
                      [Self = shared_from_this()](ErrorCode Failure, std::size_t) {
                        Self->endTransfer();
                        if (!Failure && Self->m_Response.keep_alive()) {
                          Self->read();
                        }
                      });
  }

  AdminServer::Response respond(const AdminServer::Request &Message) {
    if (!fleet::decodeTarget({Message.target().data(), Message.target().size()})) {
      return m_Server->respond(Message);
    }
    if (m_Server->m_Transfers >= m_Server->m_Sources.m_MaxTransfers) {
      return textResponse(http::status::service_unavailable, "text/plain", "busy\n");
    }
    ++m_Server->m_Transfers;
    m_IsTransferring = true;
    return m_Server->respond(Message);
  }

  void endTransfer() {
    if (m_IsTransferring) {
      m_IsTransferring = false;
      --m_Server->m_Transfers;
    }
  }

  beast::basic_stream<Tcp, Strand> m_Stream;
  std::shared_ptr<AdminServer> m_Server;
  bool m_IsTransferring = false;
  beast::flat_buffer m_Buffer;
  std::optional<http::request_parser<http::string_body>> m_Parser;
  AdminServer::Response m_Response;
};

AdminServer::AdminServer(asio::io_context &Io, Acceptor Listener, AdminAccess Access,
                         AdminSources Sources, observe::Metrics &Metrics)
    : m_Io(Io), m_Acceptor(std::move(Listener)), m_Access(std::move(Access)),
      m_Sources(std::move(Sources)), m_Metrics(Metrics) {
  ErrorCode Ignored;
  m_Port = m_Acceptor.local_endpoint(Ignored).port();
}

void AdminServer::start() {
  asio::dispatch(m_Acceptor.get_executor(), [Self = shared_from_this()] { Self->accept(); });
}

void AdminServer::accept() {
  m_Acceptor.async_accept(
      asio::make_strand(m_Io), [Self = shared_from_this()](ErrorCode Failure, Socket Stream) {
        if (Failure == asio::error::operation_aborted) {
          return;
        }
        if (!Failure && Self->m_Sessions < MaxSessions) {
          const auto Session = std::make_shared<AdminSession>(std::move(Stream), Self);
          asio::dispatch(Session->executor(), [Session] { Session->read(); });
        }
        if (!Failure) {
          Self->accept();
          return;
        }
        auto Pause = std::make_shared<Timer>(Self->m_Acceptor.get_executor(), AcceptPause);
        Pause->async_wait([Self, Pause](ErrorCode) { Self->accept(); });
      });
}

void AdminServer::close() {
  asio::post(m_Acceptor.get_executor(), [Self = shared_from_this()] {
    ErrorCode Ignored;
    Self->m_Acceptor.close(Ignored);
  });
}

AdminServer::Response AdminServer::respond(const Request &Message) {
  if (Message.target() == "/live") {
    return textResponse(http::status::ok, "text/plain", "live\n");
  }
  if (Message.target() == m_Access.m_ReadyTarget) {
    const bool IsReady = m_Sources.m_IsReady();
    return textResponse(IsReady ? http::status::ok : http::status::service_unavailable,
                        "text/plain", IsReady ? "ready\n" : "not ready\n");
  }
  const std::string Authorization(Message[http::field::authorization]);
  const bool HasValidToken =
      Authorization.starts_with(Bearer) && !m_Access.m_Token.empty() &&
      equalSecrets(std::string_view(Authorization).substr(Bearer.size()), m_Access.m_Token);
  if (!m_Access.m_IsOpen && !HasValidToken) {
    m_Metrics.countWrongToken();
    observe::logFault("admin_refused",
                      {Errc::TokenWrong, "check admin token", "admin", "wrong or missing"});
    auto Refusal = textResponse(http::status::unauthorized, "text/plain", "token is wrong\n");
    Refusal.set(http::field::www_authenticate, "Bearer");
    return Refusal;
  }
  if (Message.method() != http::verb::get) {
    auto Refusal = textResponse(http::status::method_not_allowed, "text/plain", "read only\n");
    Refusal.set(http::field::allow, "GET");
    return Refusal;
  }
  if (Message.target() == "/metrics") {
    return textResponse(http::status::ok, "text/plain; version=0.0.4",
                        m_Metrics.text(m_Sources.m_Status(), m_Sources.m_Gauges()));
  }
  if (const auto Wanted = fleet::decodeTarget({Message.target().data(), Message.target().size()});
      Wanted && m_Sources.m_Snapshot) {
    std::string Frame = m_Sources.m_Snapshot(*Wanted);
    return Frame.empty()
               ? textResponse(http::status::service_unavailable, "text/plain", "not up to date\n")
               : textResponse(http::status::ok, "application/octet-stream", std::move(Frame));
  }
  if (Message.target() == "/status") {
    return textResponse(http::status::ok, "application/json", statusJson(m_Sources.m_Status()));
  }
  return textResponse(http::status::not_found, "text/plain", "no such page\n");
}

} // namespace vanillahill::net
