/// \file
/// One connection of a caller: reads requests one after the other, writes each answer.
#pragma once

#include "vanillahill/net/detail/caller_server.hpp"
#include "vanillahill/net/detail/message_reader.hpp"

namespace vanillahill::net {

/// Where a connection stands.
enum class CallerPhase : std::uint8_t {
  /// Between two requests.
  Idle,
  /// Some bytes of a request have come.
  Receiving,
  /// The kernel has the request.
  Waiting,
  /// The answer is being written.
  Answering,
  /// The last answer was written; what the caller still sends is thrown away.
  Lingering,
  Closed,
};

/// Lives until its socket is closed. All members but the atomic ones belong to its strand.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(std::uint64_t Id, Socket Stream, std::shared_ptr<CallerServer> Server);

  /// \brief Begins to read. \note Thread safe.
  void start();

  /// \brief Refuses the connection as a whole. \note Thread safe.
  void startRefusal(CallerFault Fault);

  /// \brief Writes the answer to the request that is waiting. \note Thread safe.
  void answer(RequestId Id, kernel::Answer Answer);

  /// \brief Cuts the caller off if it was too slow. \note Thread safe.
  void cutIfSlow(TimePoint Now);

  /// \brief Ends the connection when no request is under way. \note Thread safe.
  void closeIfIdle();

private:
  using Response = http::response<http::span_body<const char>>;

  void read();
  void onRead(ErrorCode Failure, std::size_t Count);
  void onPeerClosed();
  void advance();
  void submit();
  void sendContinue();
  void refuse(CallerFault Fault);
  void report(CallerFault Fault);
  void write(bool KeepAlive);
  void onWritten(ErrorCode Failure, bool KeepAlive);
  void linger();
  void close();
  void cut();
  /// Sets the phase and until when it may last.
  void enter(CallerPhase Phase);

  const std::uint64_t m_Id;
  Socket m_Stream;
  std::shared_ptr<CallerServer> m_Server;
  CallerLimits m_Limits;
  MessageReader<true> m_Reader;
  CallerPhase m_Phase = CallerPhase::Idle;
  bool m_IsReading = false;
  bool m_KeepAlive = true;
  bool m_AskedToContinue = false;
  /// The caller closed its sending direction while its answer was being written.
  bool m_PeerClosed = false;
  RequestId m_Request{};
  kernel::Answer m_Answer;
  Response m_Response;
  std::string m_RefusalText;
  std::optional<http::response_serializer<http::span_body<const char>>> m_Serializer;
  /// When the present phase has lasted too long, in ticks of the monotonic clock.
  std::atomic<Duration::rep> m_CutAt;
};

} // namespace vanillahill::net
