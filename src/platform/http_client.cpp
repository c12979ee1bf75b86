#include "vanillahill/platform/http_client.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <charconv>

namespace vanillahill::platform {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::uint64_t MaxReplyBytes = 256U << 20U;

/// One call, driven by its own io_context so that the time limit covers every step.
class Exchange {
public:
  explicit Exchange(const HttpCall &Call) : m_Call(Call) { m_Parser.body_limit(MaxReplyBytes); }

  Result<std::string> run() {
    const std::size_t Colon = m_Call.m_Address.rfind(':');
    beast::error_code Code;
    const auto Host = asio::ip::make_address(m_Call.m_Address.substr(0, Colon), Code);
    const char *End = m_Call.m_Address.data() + m_Call.m_Address.size();
    std::uint16_t Port = 0;
    const char *Digits = Colon == std::string::npos ? End : m_Call.m_Address.data() + Colon + 1;
    if (Code || std::from_chars(Digits, End, Port).ptr != End || Port == 0) {
      return fault(Errc::AddressUnusable, "expected IP:port");
    }
    m_Stream.expires_after(m_Call.m_Timeout);
    m_Stream.async_connect(asio::ip::tcp::endpoint(Host, Port),
                           [this](const beast::error_code &Failure) { send(Failure); });
    m_Context.run();
    return result();
  }

private:
  void send(const beast::error_code &Failure) {
    m_Failure = Failure;
    if (Failure) {
      return;
    }
    m_Request.method_string({m_Call.m_Method.data(), m_Call.m_Method.size()});
    m_Request.target(m_Call.m_Target);
    m_Request.version(11);
    m_Request.set(http::field::host, m_Call.m_Address);
    if (!m_Call.m_Token.empty()) {
      m_Request.set(http::field::authorization, "Bearer " + m_Call.m_Token);
    }
    m_Request.body() = m_Call.m_Body;
    m_Request.keep_alive(false);
    m_Request.prepare_payload();
    http::async_write(m_Stream, m_Request,
                      [this](const beast::error_code &Cut, std::size_t) { receive(Cut); });
  }

  void receive(const beast::error_code &Failure) {
    m_Failure = Failure;
    if (Failure) {
      return;
    }
    http::async_read(m_Stream, m_Buffer, m_Parser,
                     [this](const beast::error_code &Cut, std::size_t) { m_Failure = Cut; });
  }

  Result<std::string> result() {
    if (m_Failure) {
      return fault(Errc::LogUnavailable, m_Failure.message());
    }
    const http::response<http::string_body> &Reply = m_Parser.get();
    if (Reply.result() == http::status::unauthorized || Reply.result() == http::status::forbidden) {
      return fault(Errc::TokenWrong, "status " + std::to_string(Reply.result_int()));
    }
    if (Reply.result() != http::status::ok) {
      return fault(Errc::LogUnavailable, "status " + std::to_string(Reply.result_int()));
    }
    return Reply.body();
  }

  Error fault(Errc Code, std::string Detail) const {
    const std::string Step = std::string(m_Call.m_Method) + ' ' + m_Call.m_Target;
    return {Code, Step, m_Call.m_Address, std::move(Detail)};
  }

  const HttpCall &m_Call;
  asio::io_context m_Context;
  beast::tcp_stream m_Stream{m_Context};
  http::request<http::string_body> m_Request;
  beast::flat_buffer m_Buffer;
  http::response_parser<http::string_body> m_Parser;
  beast::error_code m_Failure;
};

} // namespace

Result<std::string> call(const HttpCall &Request) { return Exchange(Request).run(); }

} // namespace vanillahill::platform
