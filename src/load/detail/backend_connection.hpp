/// \file
/// One accepted connection of a stand-in backend server.
#pragma once

#include "backend_server.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>
#include <optional>

namespace vanillahill::load::detail {

/// Reads requests one after another; sees the peer close while a request waits or runs.
class BackendConnection : public std::enable_shared_from_this<BackendConnection> {
public:
  BackendConnection(BackendServer &Server, boost::asio::ip::tcp::socket Socket);
  ~BackendConnection();

  /// \brief Begins to serve once the time of a new connection has passed.
  void start();
  /// \brief Writes the reply to the request in hand.
  void reply(const BackendReply &Reply);
  /// \brief Closes with a reset.
  void reset();

private:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;

  void read();
  void handle(const Request &Message);
  void answerProbe(const BackendRequest &Message);
  void watch();
  void watched(const boost::system::error_code &Failure);
  void writeWhole(const BackendReply &Reply);
  void writeCut(const BackendReply &Reply);
  void write();

  BackendServer &m_Server;
  ConnectionSetPtr m_Set;
  boost::asio::ip::tcp::socket m_Socket;
  boost::asio::steady_timer m_Timer;
  boost::beast::flat_buffer m_Buffer;
  std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> m_Parser;
  Response m_Response;
  Ticket m_Ticket = 0;
  bool m_Watching = false;
  bool m_KeepAlive = true;
};

} // namespace vanillahill::load::detail
