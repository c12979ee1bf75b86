/// \file
/// HTTP responses to callers: the outcome of a request, or the reason for its refusal.
#pragma once

#include "vanillahill/net/detail/types.hpp"
#include "vanillahill/net/fault.hpp"

namespace vanillahill::net {

/// How a request ended that another VM has passed on, when the answer is not a server's reply.
inline constexpr const char *RelayOutcomeHeader = "VH-Relay-Outcome";
/// Digest of the caller's key in a request that another VM has passed on, as 32 hexadecimal digits.
inline constexpr const char *KeyDigestHeader = "VH-Key-Digest";
inline constexpr const char *RelayNotRun = "not-run";
inline constexpr const char *RelayUnknown = "unknown";

using AnswerMessage = http::response<http::span_body<const char>>;

/// \brief Makes the message for an answer of the kernel.
/// \param Answer must outlive the message, which refers to the body of its reply
/// \param Text storage for the body of a refusal; must outlive the message
/// \param KeepAlive false adds "Connection: close"
AnswerMessage answerMessage(const kernel::Answer &Answer, std::string &Text, bool KeepAlive);

/// \brief Makes the message for a request that was refused before it reached the kernel.
/// \param KeepAlive false adds "Connection: close"
AnswerMessage faultMessage(CallerFault Fault, std::string &Text, bool KeepAlive);

} // namespace vanillahill::net
