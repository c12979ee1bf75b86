/// \file
/// The HTTP message that tells a caller an outcome.
#pragma once

#include "vanillahill/net/detail/types.hpp"
#include "vanillahill/net/fault.hpp"

namespace vanillahill::net {

using AnswerMessage = http::response<http::span_body<const char>>;

/// \brief Makes the message for an answer of the kernel.
/// \param Answer outlives the message, which refers to the body of its reply
/// \param Text storage for the body of a refusal; outlives the message
/// \param KeepAlive false announces the end of the connection
AnswerMessage answerMessage(const kernel::Answer &Answer, std::string &Text, bool KeepAlive);

/// \brief Makes the message for a request that never reached the kernel. It ends the connection
/// unless KeepAlive is set.
AnswerMessage faultMessage(CallerFault Fault, std::string &Text, bool KeepAlive);

} // namespace vanillahill::net
