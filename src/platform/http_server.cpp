#include "vanillahill/platform/http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>
#include <csignal>
#include <optional>
#include <unordered_map>

namespace vanillahill::platform {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

constexpr std::uint64_t MaxBodyBytes = 16U << 20U;
constexpr Duration IdleTimeout = std::chrono::seconds(120);

enum class SessionId : std::uint64_t {};

/// One connection with the call that it carries now.
struct Session {
  Session(Tcp::socket Socket, asio::io_context &Context)
      : m_Stream(std::move(Socket)), m_Timer(Context) {}

  beast::tcp_stream m_Stream;
  beast::flat_buffer m_Buffer;
  std::optional<http::request_parser<http::string_body>> m_Parser;
  http::response<http::string_body> m_Reply;
  asio::steady_timer m_Timer;
  /// A read of the log waits for a record.
  bool m_Waiting = false;
};

std::optional<Tcp::endpoint> parseAddress(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code Code;
  const auto Address = asio::ip::make_address(Text.substr(0, Colon), Code);
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Fault] = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Code || Fault != std::errc() || Stop != End) {
    return std::nullopt;
  }
  return Tcp::endpoint(Address, Port);
}

} // namespace

struct HttpServer::State {
  explicit State(const HttpServerOptions &Options)
      : m_Acceptor(m_Context), m_Signals(m_Context, SIGTERM, SIGINT), m_Service(Options.m_Service) {
  }

  void accept() {
    m_Acceptor.async_accept([this](const boost::system::error_code &Code, Tcp::socket Socket) {
      if (!Code) {
        const SessionId Id{m_NextSession++};
        m_Sessions.try_emplace(Id, std::move(Socket), m_Context);
        readCall(Id);
      }
      if (m_Acceptor.is_open()) {
        accept();
      }
    });
  }

  void readCall(SessionId Id) {
    Session &Client = m_Sessions.at(Id);
    Client.m_Parser.emplace();
    Client.m_Parser->body_limit(MaxBodyBytes);
    Client.m_Stream.expires_after(IdleTimeout);
    http::async_read(Client.m_Stream, Client.m_Buffer, *Client.m_Parser,
                     [this, Id](const beast::error_code &Code, std::size_t) {
                       if (Code) {
                         m_Sessions.erase(Id);
                         return;
                       }
                       handleCall(Id, true);
                     });
  }

  void handleCall(SessionId Id, bool MayWait) {
    Session &Client = m_Sessions.at(Id);
    const auto &Message = Client.m_Parser->get();
    const Call Request{.m_Method = {Message.method_string().data(), Message.method_string().size()},
                       .m_Target = {Message.target().data(), Message.target().size()},
                       .m_Body = Message.body()};
    const std::uint64_t Before = m_Service.nextOffset();
    const Verdict Result = m_Service.answer(Request, m_Clock.now(), MayWait);
    if (m_Service.nextOffset() != Before) {
      wakeReaders();
    }
    if (Result.m_Lost) {
      m_Sessions.erase(Id);
      return;
    }
    if (Result.m_Wait > Duration::zero()) {
      waitForRecord(Id, Result.m_Wait);
      return;
    }
    sendLater(Id, Result);
  }

  void waitForRecord(SessionId Id, Duration Wait) {
    Session &Client = m_Sessions.at(Id);
    Client.m_Waiting = true;
    Client.m_Stream.expires_never();
    Client.m_Timer.expires_after(Wait);
    Client.m_Timer.async_wait([this, Id](const boost::system::error_code &) {
      const auto Found = m_Sessions.find(Id);
      if (Found != m_Sessions.end() && Found->second.m_Waiting) {
        Found->second.m_Waiting = false;
        handleCall(Id, false);
      }
    });
  }

  void wakeReaders() {
    for (auto &[Id, Client] : m_Sessions) {
      if (Client.m_Waiting) {
        Client.m_Timer.cancel();
      }
    }
  }

  void sendLater(SessionId Id, const Verdict &Result) {
    Session &Client = m_Sessions.at(Id);
    const auto &Message = Client.m_Parser->get();
    Client.m_Reply = {static_cast<http::status>(Result.m_Status), Message.version()};
    Client.m_Reply.set(http::field::content_type, "application/json");
    Client.m_Reply.keep_alive(Message.keep_alive());
    Client.m_Reply.body() = Result.m_Body;
    Client.m_Reply.prepare_payload();
    if (Result.m_Delay == Duration::zero()) {
      send(Id);
      return;
    }
    Client.m_Stream.expires_never();
    Client.m_Timer.expires_after(Result.m_Delay);
    Client.m_Timer.async_wait([this, Id](const boost::system::error_code &) { send(Id); });
  }

  void send(SessionId Id) {
    const auto Found = m_Sessions.find(Id);
    if (Found == m_Sessions.end()) {
      return;
    }
    Session &Client = Found->second;
    Client.m_Stream.expires_after(IdleTimeout);
    http::async_write(Client.m_Stream, Client.m_Reply,
                      [this, Id](const beast::error_code &Code, std::size_t) {
                        if (Code || !m_Sessions.at(Id).m_Reply.keep_alive()) {
                          m_Sessions.erase(Id);
                          return;
                        }
                        readCall(Id);
                      });
  }

  asio::io_context m_Context{1};
  Tcp::acceptor m_Acceptor;
  asio::signal_set m_Signals;
  SystemClock m_Clock;
  Service m_Service;
  std::unordered_map<SessionId, Session> m_Sessions;
  std::uint64_t m_NextSession = 1;
};

Result<HttpServer> HttpServer::open(const HttpServerOptions &Options) {
  const Error Unusable{Errc::AddressUnusable, "listen", Options.m_Listen, ""};
  const std::optional<Tcp::endpoint> Endpoint = parseAddress(Options.m_Listen);
  if (!Endpoint) {
    Error Malformed = Unusable;
    Malformed.m_Detail = "expected IP:port";
    return Malformed;
  }
  auto Opened = std::make_unique<State>(Options);
  try {
    Opened->m_Acceptor.open(Endpoint->protocol());
    Opened->m_Acceptor.set_option(asio::socket_base::reuse_address(true));
    Opened->m_Acceptor.bind(*Endpoint);
    Opened->m_Acceptor.listen();
  } catch (const boost::system::system_error &Raised) {
    Error Refused = Unusable;
    Refused.m_Detail = Raised.code().message();
    return Refused;
  }
  return HttpServer(std::move(Opened));
}

HttpServer::HttpServer(std::unique_ptr<State> Opened) : m_State(std::move(Opened)) {}
HttpServer::~HttpServer() = default;
HttpServer::HttpServer(HttpServer &&) noexcept = default;
HttpServer &HttpServer::operator=(HttpServer &&) noexcept = default;

std::string HttpServer::address() const {
  const Tcp::endpoint Bound = m_State->m_Acceptor.local_endpoint();
  const std::string Host = Bound.address().to_string();
  return (Bound.address().is_v6() ? '[' + Host + ']' : Host) + ':' + std::to_string(Bound.port());
}

void HttpServer::run() {
  m_State->m_Signals.async_wait([this](const boost::system::error_code &Code, int) {
    if (!Code) {
      m_State->m_Context.stop();
    }
  });
  m_State->accept();
  m_State->m_Context.run();
}

void HttpServer::stop() { m_State->m_Context.stop(); }

} // namespace vanillahill::platform
