/// \file
/// One request on its way to one backend server and back.
#pragma once

#include "vanillahill/net/detail/caller_request.hpp"

namespace vanillahill::net {

/// A dispatched request or a measuring request.
struct BackendExchange {
  /// Sent as VH-Exchange and echoed by the server.
  std::uint64_t m_Id = 0;
  /// Null for a measuring request.
  CallerRequestPtr m_Request = nullptr;
  ServerId m_Server{};
  TimePoint m_Deadline{};
  /// The server's name in the settings.
  std::string m_ServerName = {};
  /// Target of a measuring request.
  std::string m_HealthPath = {};

  bool isProbe() const { return m_Request == nullptr; }
};

/// How an exchange ended.
struct ExchangeEnd {
  kernel::AttemptResult m_Result = kernel::AttemptResult::Unknown;
  ReplyPtr m_Reply = nullptr;
  bool m_ServerLeaving = false;
  std::optional<kernel::LoadReport> m_Load = std::nullopt;
  /// Another server has the address now.
  bool m_WrongServer = false;
  /// A reply came, whatever it said.
  bool m_Answered = false;
};

/// \brief The message that is sent to the server.
/// \param Exchange what is sent
/// \param VmName this VM
/// \param Now the present time, for the time left
HttpRequest exchangeMessage(const BackendExchange &Exchange, std::string_view VmName,
                            TimePoint Now);

using HttpReply = http::response<http::string_body>;

/// \brief Whether a reply carries the id of this exchange.
bool belongsTo(const HttpReply &Message, const BackendExchange &Exchange);

/// \brief Whether the status ends an exchange: neither informational nor outside of HTTP's range.
bool hasFinalStatus(const HttpReply &Message);

/// \brief Whether the end of a reply is told by its own length, so that a cut is noticed.
bool hasLength(const HttpReply &Message);

/// \brief Reads a whole reply that belongs to the exchange.
ExchangeEnd exchangeEnd(HttpReply Message, const BackendExchange &Exchange);

/// \brief How long a server keeps the connection of a reply open while it is idle.
/// \return nothing when the reply does not say
std::optional<Duration> keepAliveTime(const HttpReply &Message);

} // namespace vanillahill::net
