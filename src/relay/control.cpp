#include "vanillahill/relay/control.hpp"

#include "../peer/endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

namespace vanillahill::relay {

namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = boost::asio::ip::tcp;
using Json = nlohmann::json;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

constexpr Duration CallTimeout = std::chrono::seconds(10);

std::string statusText(const Relay &From) {
  Json Links = Json::array();
  for (const LinkStatus &Value : From.status()) {
    Links.push_back({{"listen", Value.m_Listen},
                     {"target", Value.m_Target},
                     {"open", Value.m_Open},
                     {"accepted", Value.m_Accepted},
                     {"reset", Value.m_Reset},
                     {"bytes", Value.m_Bytes}});
  }
  return Json{{"links", Links}}.dump();
}

Response answer(http::status Status, std::string Body) {
  Response Out(Status, 11);
  Out.set(http::field::content_type, "application/json");
  Out.keep_alive(false);
  Out.body() = std::move(Body);
  Out.prepare_payload();
  return Out;
}

Response refuse(const Error &Problem) {
  return answer(http::status::bad_request, Json{{"error", toString(Problem)}}.dump());
}

Response changeFaults(Relay &Target, const std::string &Body) {
  const Result<std::vector<FaultChange>> Changes = parseFaults(Body);
  if (!Changes) {
    return refuse(Changes.error());
  }
  const Result<std::size_t> Applied = Target.apply(*Changes);
  if (!Applied) {
    return refuse(Applied.error());
  }
  return answer(http::status::ok, Json{{"changed", *Applied}}.dump());
}

Response respond(Relay &Target, const Request &Call) {
  if (Call.target() == "/fault" && Call.method() == http::verb::put) {
    return changeFaults(Target, Call.body());
  }
  if (Call.target() == "/status" && Call.method() == http::verb::get) {
    return answer(http::status::ok, statusText(Target));
  }
  return answer(http::status::not_found, R"({"error":"expected PUT /fault or GET /status"})");
}

/// One call on one connection.
struct CallSession : std::enable_shared_from_this<CallSession> {
  CallSession(Tcp::socket Socket, Relay &Target) : m_Stream(std::move(Socket)), m_Target(Target) {}

  void read() {
    m_Stream.expires_after(CallTimeout);
    http::async_read(m_Stream, m_Buffer, m_Call,
                     [Me = shared_from_this()](const beast::error_code &Code, std::size_t) {
                       if (!Code) {
                         Me->write();
                       }
                     });
  }

  void write() {
    m_Answer = respond(m_Target, m_Call);
    http::async_write(m_Stream, m_Answer,
                      [Me = shared_from_this()](const beast::error_code &, std::size_t) {
                        beast::error_code Ignored;
                        Me->m_Stream.socket().shutdown(Tcp::socket::shutdown_send, Ignored);
                      });
  }

  beast::tcp_stream m_Stream;
  Relay &m_Target;
  beast::flat_buffer m_Buffer;
  Request m_Call;
  Response m_Answer;
};

} // namespace

struct Control::State {
  State(boost::asio::io_context &Io, Relay &Target) : m_Acceptor(Io), m_Target(Target) {}

  void accept() {
    m_Acceptor.async_accept([this](const beast::error_code &Code, Tcp::socket Socket) {
      if (Code == boost::asio::error::operation_aborted) {
        return;
      }
      if (!Code) {
        std::make_shared<CallSession>(std::move(Socket), m_Target)->read();
      }
      accept();
    });
  }

  Tcp::acceptor m_Acceptor;
  Relay &m_Target;
};

Control::Control(boost::asio::io_context &Io, Relay &Target)
    : m_State(std::make_unique<State>(Io, Target)) {}

Control::~Control() = default;

Result<std::string> Control::open(const std::string &Address) {
  const auto Endpoint = peer::parseEndpoint(Address);
  if (!Endpoint) {
    return Error{Errc::AddressUnusable, "listen for control", Address, "expected IP:port"};
  }
  if (const auto Code = peer::listenOn(m_State->m_Acceptor, *Endpoint)) {
    return Error{Errc::AddressUnusable, "listen for control", Address, Code.message()};
  }
  m_State->accept();
  return peer::toText(m_State->m_Acceptor.local_endpoint());
}

} // namespace vanillahill::relay
