/// \file
/// One connection to a backend server.
#pragma once

#include "vanillahill/net/detail/backend_pool.hpp"
#include "vanillahill/net/detail/message_reader.hpp"

namespace vanillahill::net {

/// Carries one exchange at a time. A connection that saw anything but one whole reply for each
/// request is closed and never used again. All members belong to its strand.
class BackendConnection : public std::enable_shared_from_this<BackendConnection> {
public:
  BackendConnection(asio::io_context &Io, ServerId Server, Tcp::endpoint Endpoint,
                    std::shared_ptr<BackendPool> Pool);

  /// \brief Connects; the pool is told how that ended. \note Thread safe.
  void open();

  /// \brief Sends an exchange. The connection must be idle. \note Thread safe.
  void send(std::shared_ptr<const BackendExchange> Exchange);

  /// \brief Gives up the exchange with this id, if it is still running here. \note Thread safe.
  void abort(std::uint64_t Id, bool IsLate);

  /// \brief Closes an idle connection. \note Thread safe.
  void closeIdle();

  ServerId server() const { return m_Server; }

  /// \brief Until when the server keeps this connection open; valid while it is idle.
  TimePoint usableUntil() const { return m_UsableUntil; }

private:
  void onConnected(ErrorCode Failure);
  void begin(std::shared_ptr<const BackendExchange> Exchange);
  void onWritten(ErrorCode Failure, std::size_t Count);
  void read();
  void onRead(ErrorCode Failure, std::size_t Count);
  void readNext();
  void onEnd();
  void onReply();
  void completeIfWritten();
  void noteKeepAlive(const HttpReply &Message);
  /// Ends the running exchange as one whose fate is told by the bytes sent, and closes.
  void fail(observe::ReplyFault Fault);
  /// Counts and logs a fault of the running exchange.
  void report(observe::ReplyFault Fault);
  void finish(ExchangeEnd End);
  /// Ends the running exchange; the connection is idle again.
  void release(ExchangeEnd End);
  void abortRunning(bool IsLate);
  void close();

  const ServerId m_Server;
  const Tcp::endpoint m_Endpoint;
  std::shared_ptr<BackendPool> m_Pool;
  Socket m_Stream;
  Timer m_ConnectTimer;
  MessageReader<false> m_Reader;
  std::shared_ptr<const BackendExchange> m_Exchange;
  HttpRequest m_Request;
  std::optional<http::request_serializer<http::string_body>> m_Serializer;
  /// The reply, whole, while the request is still being written.
  std::optional<HttpReply> m_Reply;
  bool m_IsConnecting = false;
  bool m_IsClosed = false;
  bool m_IsWritten = false;
  /// A reply that was thrown away came here: the running exchange is the last one.
  bool m_IsTainted = false;
  TimePoint m_UsableUntil = TimePoint::max();
  /// The last exchange given up that was not running here then.
  std::optional<std::uint64_t> m_AbortedId;
  /// Bytes of the running request may have left this VM.
  bool m_MayHaveLeft = false;
};

} // namespace vanillahill::net
