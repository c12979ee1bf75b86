/// \file
/// One connection of a caller to an entry VM. One thread.
#pragma once

#include "vanillahill/core/time.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace vanillahill::load::detail {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

/// How one exchange ended.
struct Exchanged {
  /// A whole HTTP response came.
  bool m_Whole = false;
  /// The caller's patience ended first.
  bool m_TimedOut = false;
  HttpResponse m_Response;
};

/// Sends one request at a time; kept alive between them.
class LoadClient : public std::enable_shared_from_this<LoadClient> {
public:
  using Connected = std::function<void(bool)>;
  using Handler = std::function<void(Exchanged &&)>;

  LoadClient(boost::asio::io_context &Io, boost::asio::ip::tcp::endpoint Entry);

  /// \brief Opens the connection. \param Done told whether it is open
  void connect(TimePoint Limit, Connected Done);
  /// \brief Sends a request and waits for the answer until a limit.
  void exchange(HttpRequest Request, TimePoint Limit, Handler Done);
  /// \brief Tells whether an idle connection is still open on both sides.
  bool usable();

private:
  void armTimer(TimePoint Limit);
  void disarmTimer();
  void read();
  void finish(bool Whole);

  boost::asio::ip::tcp::endpoint m_Entry;
  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  boost::beast::flat_buffer m_Buffer;
  HttpRequest m_Request;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_Parser;
  Handler m_Done;
  /// Tells a timer that was cancelled too late from the present one.
  std::uint64_t m_TimerRound = 0;
  bool m_TimedOut = false;
  bool m_KeepAlive = false;
};

} // namespace vanillahill::load::detail
