/// \file
/// One request to a backend server and its reply.
#pragma once

#include "vanillahill/net/detail/caller_request.hpp"

namespace vanillahill::net {

/// A dispatched request or a probe.
struct BackendExchange {
  /// Sent as VH-Exchange and echoed by the server.
  std::uint64_t m_Id = 0;
  /// Null for a probe.
  CallerRequestPtr m_Request = nullptr;
  ServerId m_Server{};
  TimePoint m_Deadline{};
  /// See kernel::Dispatch.
  TimePoint m_SendBy = TimePoint::max();
  /// The server's name in the settings.
  std::string m_ServerName = {};
  /// Target of a probe.
  std::string m_HealthPath = {};
  /// Sent to another VM, which sends it to a server.
  bool m_IsRelay = false;

  bool isProbe() const { return m_Request == nullptr; }
};

/// How an exchange ended.
struct ExchangeEnd {
  kernel::AttemptResult m_Result = kernel::AttemptResult::Unknown;
  ReplyPtr m_Reply = nullptr;
  /// The connection ended after the request was sent and before any byte of a reply.
  bool m_ClosedUnanswered = false;
  /// The server's machine refused the connection.
  bool m_ConnectionRefused = false;
  bool m_ServerLeaving = false;
  /// How long the server wants no request from this VM; zero if it did not say.
  Duration m_PauseFor{};
  /// Requests per second that the server takes from all VMs together; see AttemptEnded.
  std::optional<double> m_RequestLimit = std::nullopt;
  /// How much longer the server is cold; see ProbeEnded.
  std::optional<Duration> m_ColdFor = std::nullopt;
  std::optional<kernel::LoadReport> m_Load = std::nullopt;
  /// How long the server keeps an idle connection open; see keepAliveTime().
  std::optional<Duration> m_IdleTime = std::nullopt;
  /// Another server now has this address.
  bool m_WrongServer = false;
  /// A reply was received, whatever its content.
  bool m_Answered = false;
  /// The reply does not identify its request. A copy of it that arrives later would be taken for
  /// the reply to the next request.
  bool m_IsUnidentified = false;
};

/// \brief The message that is sent to the server.
/// \param Exchange the exchange to send
/// \param VmName name of this VM
/// \param Now the current time, from which the remaining time is computed
HttpRequest exchangeMessage(const BackendExchange &Exchange, std::string_view VmName,
                            TimePoint Now);

using HttpReply = http::response<http::string_body>;

/// \brief Whether a reply carries the id of this exchange.
bool belongsTo(const HttpReply &Message, const BackendExchange &Exchange);

/// \brief Whether the status is final: not informational and within HTTP's range.
bool hasFinalStatus(const HttpReply &Message);

/// \brief Whether the reply marks its own end, so that truncation is detected.
bool hasKnownLength(const HttpReply &Message);

/// \brief Reads a complete reply that belongs to the exchange.
ExchangeEnd readExchangeReply(HttpReply Message, const BackendExchange &Exchange);

/// \brief How long the server keeps the reply's connection open while it is idle.
/// \return std::nullopt if the reply does not state it
std::optional<Duration> keepAliveTime(const HttpReply &Message);

} // namespace vanillahill::net
