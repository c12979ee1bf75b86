#include "vanillahill/load/http_call.hpp"

#include "detail/address.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

namespace vanillahill::load {

namespace {

namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

} // namespace

Result<std::string> httpCall(const HttpCall &Call) {
  const auto Place = detail::parseAddress(Call.m_Address);
  if (!Place) {
    return Place.error();
  }
  boost::asio::io_context Io;
  boost::asio::ip::tcp::socket Socket(Io);
  ErrorCode Failure;
  Socket.connect(*Place, Failure);
  if (Failure) {
    return Error{Errc::BackendConnectFailed, "call control port", Call.m_Address,
                 Failure.message()};
  }
  http::request<http::string_body> Request;
  Request.method_string(Call.m_Method);
  Request.target(Call.m_Target);
  Request.set(http::field::host, Call.m_Address);
  Request.body() = Call.m_Body;
  Request.prepare_payload();
  http::write(Socket, Request, Failure);
  boost::beast::flat_buffer Buffer;
  http::response<http::string_body> Response;
  if (!Failure) {
    http::read(Socket, Buffer, Response, Failure);
  }
  if (Failure || Response.result() != http::status::ok) {
    return Error{Errc::HttpMalformed, "call control port", Call.m_Address,
                 Failure ? Failure.message() : Response.body()};
  }
  return Response.body();
}

} // namespace vanillahill::load
