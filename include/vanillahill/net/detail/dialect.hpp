/// \file
/// What differs between the deployments that an entry process serves: names and rules of the
/// headers towards callers and backend servers. Connections and decisions are the same.
#pragma once

#include "vanillahill/net/detail/answer_message.hpp"
#include "vanillahill/net/detail/backend_exchange.hpp"

namespace vanillahill::net {

/// Which replies of backend servers are taken.
struct ReplyRules {
  /// A reply without a length ends with its connection, if that ends in order.
  bool m_AllowsUnframed = false;
  /// A reply to another exchange is thrown away and the next one is read; else it is a fault.
  bool m_SkipsOthers = false;
  /// Bytes behind a whole reply are thrown away with the connection; else they are a fault.
  bool m_AllowsLeftOver = false;
  /// A reply that came before its request was sent is taken at once; else the request is sent on.
  bool m_TakesEarly = false;
};

/// One way to speak with callers and backend servers.
struct Dialect {
  /// Reads a caller's whole request.
  ParsedRequest (*m_ParseRequest)(HttpRequest Message, const RouteTable *Routes);
  /// Writes the answer of the kernel; see answerMessage().
  AnswerMessage (*m_AnswerMessage)(const kernel::Answer &Answer, std::string &Text, bool KeepAlive);
  /// Writes the refusal of a request that never reached the kernel; see faultMessage().
  AnswerMessage (*m_FaultMessage)(CallerFault Fault, std::string &Text, bool KeepAlive);
  /// Writes what is sent to a backend server; see exchangeMessage().
  HttpRequest (*m_ExchangeMessage)(const BackendExchange &Exchange, std::string_view VmName,
                                   TimePoint Now);
  /// Whether a reply is the one to this exchange.
  bool (*m_BelongsTo)(const HttpReply &Message, const BackendExchange &Exchange);
  /// Reads the whole reply to an exchange.
  ExchangeEnd (*m_ReadReply)(HttpReply Message, const BackendExchange &Exchange);
  ReplyRules m_Replies;
};

/// \brief The project's own interface, as docs/callers.md tells it.
const Dialect &ownDialect();

} // namespace vanillahill::net
