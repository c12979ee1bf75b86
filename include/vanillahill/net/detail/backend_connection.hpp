/// \file
/// One connection to a backend server.
#pragma once

#include "vanillahill/net/detail/backend_pool.hpp"
#include "vanillahill/net/detail/message_reader.hpp"

namespace vanillahill::net {

/// Carries one exchange at a time. A connection that received anything other than one complete
/// reply per request is closed and not reused. All members are accessed on its strand only.
class BackendConnection : public std::enable_shared_from_this<BackendConnection> {
public:
  BackendConnection(asio::io_context &Io, ServerId Server, Tcp::endpoint Endpoint,
                    std::shared_ptr<BackendPool> Pool);

  /// \brief Connects and notifies the pool of the outcome. \note Thread safe.
  void open();

  /// \brief Sends an exchange. The connection must be idle. \note Thread safe.
  void send(std::shared_ptr<const BackendExchange> Exchange);

  /// \brief Aborts the exchange with this id if it is still running here. \note Thread safe.
  void abort(std::uint64_t Id, bool IsLate);

  /// \brief Closes an idle connection. \note Thread safe.
  void closeIdle();

  ServerId server() const { return m_Server; }

  /// \brief Whether the server's machine refused the connection.
  bool wasRefused() const { return m_WasRefused; }

  /// \brief Time until which an idle connection may be reused; valid while it is idle.
  TimePoint usableUntil() const { return m_UsableUntil; }

private:
  void onConnected(ErrorCode Failure);
  void startExchange(std::shared_ptr<const BackendExchange> Exchange);
  void onWritten(ErrorCode Failure, std::size_t Count);
  void readBytes();
  void onRead(ErrorCode Failure, std::size_t Count);
  void parseReply();
  void onEndOfStream();
  void onReply();
  void completeIfWritten();
  void updateUsableUntil(const HttpReply &Message);
  /// Closes the connection. A running exchange ends as NotSent if none of its bytes can have been
  /// sent, else as Unknown.
  void failConnection(observe::ReplyFault Fault);
  /// Counts and logs a fault of the running exchange.
  void reportFault(observe::ReplyFault Fault);
  void finishExchange(ExchangeEnd End);
  /// Ends the running exchange and returns the connection to the pool as idle.
  void finishAndRelease(ExchangeEnd End);
  void abortExchange(bool IsLate);
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
  /// The complete reply, if it arrives while the request is still being written.
  std::optional<HttpReply> m_Reply;
  bool m_IsConnecting = false;
  bool m_WasRefused = false;
  bool m_IsClosed = false;
  bool m_IsWritten = false;
  /// The connection is closed after the running exchange: a reply or bytes were discarded, or the
  /// server ended the connection.
  bool m_CloseAfterExchange = false;
  TimePoint m_UsableUntil = TimePoint::max();
  /// Id of the last aborted exchange that was not running on this connection at that time.
  std::optional<std::uint64_t> m_AbortedId;
  /// Bytes of the running request may have been sent.
  bool m_MayHaveBeenSent = false;
};

} // namespace vanillahill::net
