/// \file
/// One connection of a caller: reads requests one at a time and writes the answer to each.
#pragma once

#include "vanillahill/net/detail/caller_server.hpp"
#include "vanillahill/net/detail/message_reader.hpp"

namespace vanillahill::net {

/// State of a connection.
enum class CallerPhase : std::uint8_t {
  /// Between two requests.
  Idle,
  /// Part of a request was received.
  Receiving,
  /// The request was submitted to the kernel; its answer is awaited.
  Waiting,
  /// The answer is being written.
  Answering,
  /// The last answer was written; further bytes from the caller are discarded.
  Lingering,
  Closed,
};

struct CallerConnectionOptions {
  std::uint64_t m_Id = 0;
  /// Another VM passes requests on over it.
  bool m_IsFromVm = false;
};

/// Lives until its socket is closed. All members except the atomic ones are accessed only on its
/// strand.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
  CallerConnection(CallerConnectionOptions Options, Socket Stream,
                   std::shared_ptr<CallerServer> Server);

  /// \brief Starts reading. \note Thread safe.
  void start();

  /// \brief Sends a refusal without waiting for a request, then closes the connection.
  /// \note Thread safe.
  void startRefusal(CallerFault Fault);

  /// \brief Writes the answer to the request that is waiting. \note Thread safe.
  void answer(RequestId Id, kernel::Answer Answer);

  /// \brief Ends the present phase if it has lasted too long. \note Thread safe.
  void checkTimeout(TimePoint Now);

  /// \brief Closes the connection if it is between two requests. \note Thread safe.
  void closeIfIdle();

  /// \brief Whether another VM passes requests on over it. \note Thread safe.
  bool isFromVm() const { return m_Options.m_IsFromVm; }

  /// \brief Closes the connection, whatever its phase. \note Thread safe.
  void closeNow();

private:
  using Response = http::response<http::span_body<const char>>;

  void read();
  void onRead(ErrorCode Failure, std::size_t Count);
  void onPeerClosed();
  void processReceived();
  void submitRequest();
  void sendContinueIfExpected();
  void sendRefusal(CallerFault Fault);
  /// Tells a VM how its request ended, if no server's reply says it.
  void markOutcome(kernel::Outcome Outcome);
  void recordFault(CallerFault Fault);
  void writeResponse(bool KeepAlive);
  void onWritten(ErrorCode Failure, bool KeepAlive);
  void linger();
  void closeUnlessRequestArrived();
  bool hasUnreadBytes() const;
  void close();
  void handleTimeout();
  /// Sets the phase and its deadline.
  void enterPhase(CallerPhase Phase);

  const CallerConnectionOptions m_Options;
  Socket m_Stream;
  std::shared_ptr<CallerServer> m_Server;
  CallerLimits m_Limits;
  MessageReader<true> m_Reader;
  CallerPhase m_Phase = CallerPhase::Idle;
  bool m_IsReading = false;
  /// The read was ended in order to close the idle connection.
  bool m_ClosesAfterRead = false;
  bool m_KeepAlive = true;
  bool m_ContinueChecked = false;
  /// The caller closed its sending direction while its answer was being written.
  bool m_PeerClosed = false;
  RequestId m_Request{};
  kernel::Answer m_Answer;
  Response m_Response;
  std::string m_RefusalText;
  std::optional<http::response_serializer<http::span_body<const char>>> m_Serializer;
  /// Deadline of the present phase, in ticks of the monotonic clock.
  std::atomic<Duration::rep> m_DeadlineTicks;
};

} // namespace vanillahill::net
