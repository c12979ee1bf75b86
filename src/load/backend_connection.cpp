#include "detail/backend_connection.hpp"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <spdlog/fmt/fmt.h>

#include <charconv>
#include <sstream>

namespace vanillahill::load::detail {

namespace {

namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

std::string field(const http::fields &Fields, std::string_view Name) {
  return std::string(Fields[Name]);
}

/// "/service/kind/rest?query" to "service/kind".
std::string kindOf(std::string_view Target) {
  Target = Target.substr(0, Target.find('?'));
  if (Target.starts_with('/')) {
    Target.remove_prefix(1);
  }
  const std::size_t Service = Target.find('/');
  if (Service == std::string_view::npos) {
    return std::string(Target);
  }
  return std::string(Target.substr(0, Target.find('/', Service + 1)));
}

Duration timeLeft(std::string_view Text) {
  std::int64_t Millis = 0;
  const auto [End, Failure] = std::from_chars(Text.data(), Text.data() + Text.size(), Millis);
  if (Text.empty() || Failure != std::errc()) {
    return Duration::max();
  }
  return std::chrono::milliseconds(Millis);
}

} // namespace

BackendConnection::BackendConnection(BackendServer &Server, boost::asio::ip::tcp::socket Socket)
    : m_Server(Server), m_Set(Server.connectionSet()), m_Socket(std::move(Socket)),
      m_Timer(Server.shared().m_Io) {
  m_Set->insert(this);
}

BackendConnection::~BackendConnection() { m_Set->erase(this); }

void BackendConnection::start() {
  ErrorCode Ignored;
  m_Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  m_Timer.expires_after(m_Server.shared().m_Options.m_AcceptTime);
  m_Timer.async_wait([Self = shared_from_this()](const ErrorCode &) { Self->read(); });
}

void BackendConnection::read() {
  m_Ticket = 0;
  m_Parser.emplace();
  auto Handler = [Self = shared_from_this()](const ErrorCode &Failure, std::size_t) {
    if (!Failure) {
      Self->handle(Self->m_Parser->get());
    }
  };
  http::async_read(m_Socket, m_Buffer, *m_Parser, std::move(Handler));
}

void BackendConnection::handle(const Request &Message) {
  m_KeepAlive = Message.keep_alive();
  const std::string_view Target(Message.target());
  const BackendRequest Taken{.m_Kind = kindOf(Target),
                             .m_Request = field(Message, "VH-Request"),
                             .m_Operation = field(Message, "VH-Operation"),
                             .m_Vm = field(Message, "VH-Vm"),
                             .m_Exchange = field(Message, "VH-Exchange"),
                             .m_TimeLeft = timeLeft(Message["VH-Deadline-Ms"])};
  if (Target == "/vh/health") {
    answerProbe(Taken);
    return;
  }
  watch();
  m_Ticket = m_Server.submit(shared_from_this(), Taken);
}

void BackendConnection::answerProbe(const BackendRequest &Message) {
  const HealthReport Health = m_Server.probe(Message);
  reply({.m_Status = Health.m_TakesWork ? 200U : 503U,
         .m_NotRun = false,
         .m_Leaving = m_Server.model().isLeaving(),
         .m_Exchange = Message.m_Exchange,
         .m_Body =
             fmt::format(R"({{"running":{},"queued":{}}})", Health.m_Running, Health.m_Queued)});
}

void BackendConnection::watch() {
  if (m_Watching) {
    return;
  }
  m_Watching = true;
  m_Socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                      [Self = shared_from_this()](const ErrorCode &Failure) {
                        Self->m_Watching = false;
                        Self->watched(Failure);
                      });
}

void BackendConnection::watched(const ErrorCode &Failure) {
  ErrorCode Ignored;
  const bool Closed = Failure || m_Socket.available(Ignored) == 0;
  if (Closed && m_Ticket != 0) {
    m_Server.cancel(m_Ticket);
    m_Ticket = 0;
  }
}

void BackendConnection::reset() {
  ErrorCode Ignored;
  m_Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
  m_Socket.close(Ignored);
}

void BackendConnection::reply(const BackendReply &Reply) {
  m_Ticket = 0;
  if (Reply.m_Delay.count() == 0) {
    writeWhole(Reply);
    return;
  }
  m_Timer.expires_after(Reply.m_Delay);
  m_Timer.async_wait(
      [Self = shared_from_this(), Reply](const ErrorCode &) { Self->writeWhole(Reply); });
}

void BackendConnection::writeWhole(const BackendReply &Reply) {
  m_Response = {};
  m_Response.version(11);
  m_Response.result(Reply.m_Status);
  m_Response.set(http::field::content_type, "application/json");
  if (!Reply.m_Exchange.empty()) {
    m_Response.set("VH-Exchange", Reply.m_Exchange);
  }
  if (Reply.m_NotRun) {
    m_Response.set("VH-Not-Run", "true");
  }
  if (Reply.m_Leaving) {
    m_Response.set("VH-Leaving", "true");
  }
  m_Response.keep_alive(m_KeepAlive);
  m_Response.body() = Reply.m_Body;
  m_Response.prepare_payload();
  if (Reply.m_Fault == ReplyFault::Cut) {
    writeCut(Reply);
    return;
  }
  write();
}

void BackendConnection::writeCut(const BackendReply &Reply) {
  std::ostringstream Text;
  Text << m_Response.base() << Reply.m_Body.substr(0, Reply.m_Body.size() / 2);
  auto Bytes = std::make_shared<std::string>(Text.str());
  boost::asio::async_write(m_Socket, boost::asio::buffer(*Bytes),
                           [Self = shared_from_this(), Bytes](const ErrorCode &, std::size_t) {
                             ErrorCode Ignored;
                             Self->m_Socket.close(Ignored);
                           });
}

void BackendConnection::write() {
  auto Handler = [Self = shared_from_this()](const ErrorCode &Failure, std::size_t) {
    if (!Failure && Self->m_KeepAlive) {
      Self->read();
      return;
    }
    ErrorCode Ignored;
    Self->m_Socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Ignored);
  };
  http::async_write(m_Socket, m_Response, std::move(Handler));
}

} // namespace vanillahill::load::detail
