/// \file
/// The protocol details that differ between deployments of an entry process: names and rules of
/// the headers exchanged with callers and backend servers. Connections and decisions are the same.
#pragma once

#include "vanillahill/net/detail/answer_message.hpp"
#include "vanillahill/net/detail/backend_exchange.hpp"

namespace vanillahill::net {

/// Which replies of backend servers are accepted.
struct ReplyRules {
  /// A reply without a length is accepted; it ends when the server closes the connection cleanly.
  bool m_AllowsUnframed = false;
  /// A reply to another exchange is discarded and the next one is read; else it is a fault.
  bool m_SkipsOthers = false;
  /// Bytes after a complete reply are discarded and the connection is closed; else they are a
  /// fault.
  bool m_AllowsLeftOver = false;
  /// A reply that arrives before its request is fully sent is accepted at once; else the request is
  /// sent completely first, unless the reply asks to close the connection.
  bool m_TakesEarly = false;
};

/// The protocol spoken with callers and backend servers, as functions and rules.
struct Dialect {
  /// Parses a complete request of a caller.
  ParsedRequest (*m_ParseRequest)(HttpRequest Message, const RouteTable *Routes,
                                  const RequestOrigin &Origin);
  /// Builds the message for an answer of the kernel; see answerMessage().
  AnswerMessage (*m_AnswerMessage)(const kernel::Answer &Answer, std::string &Text, bool KeepAlive);
  /// Builds the refusal of a request that never reached the kernel; see faultMessage().
  AnswerMessage (*m_FaultMessage)(CallerFault Fault, std::string &Text, bool KeepAlive);
  /// Builds the message to a backend server; see exchangeMessage().
  HttpRequest (*m_ExchangeMessage)(const BackendExchange &Exchange, std::string_view VmName,
                                   TimePoint Now);
  /// Whether a reply belongs to this exchange.
  bool (*m_BelongsTo)(const HttpReply &Message, const BackendExchange &Exchange);
  /// Reads the complete reply to an exchange.
  ExchangeEnd (*m_ReadReply)(HttpReply Message, const BackendExchange &Exchange);
  ReplyRules m_Replies;
};

/// \brief The project's own interface, described in docs/callers.md.
const Dialect &ownDialect();

} // namespace vanillahill::net
