/// \file
/// Faults of a caller's message or connection, with their names in metrics and answers.
#pragma once

#include "vanillahill/core/error.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace vanillahill::net {

/// Why an entry VM refused a caller before the kernel saw a request.
enum class CallerFault : std::uint8_t {
  None,
  /// The head or the body is not HTTP/1.1.
  Malformed,
  /// A line of the head ends in LF without CR, or holds CR without LF.
  BareLineEnd,
  /// A control byte inside the head.
  ControlByte,
  /// A header continued on the next line.
  FoldedHeader,
  /// A header without a name, or with a space in its name.
  HeaderName,
  /// More than one Content-Length.
  TwoLengths,
  /// Content-Length together with Transfer-Encoding.
  LengthWithChunked,
  /// A Content-Length that is not a decimal number.
  BadLength,
  /// A Transfer-Encoding other than "chunked".
  TransferEncoding,
  /// Not exactly one Host header.
  Host,
  /// The head is longer than allowed.
  HeaderTooLong,
  /// The body is longer than allowed.
  BodyTooLong,
  /// The caller was too slow to send a request.
  SlowRequest,
  /// The caller was too slow to read its answer.
  SlowAnswer,
  /// A method other than GET and POST.
  Method,
  /// An Idempotency-Key, -First or -Age-Ms header that is repeated or has an invalid value.
  BadKey,
  /// The path names no service or kind.
  UnknownKind,
  /// No configuration is in force.
  NotServing,
  /// The maximum number of caller connections is already open.
  TooManyConnections,
  /// The route needs a key and the request has none, several or a malformed one.
  CredentialMissing,
  /// No tenant has the key.
  CredentialUnknown,
  /// This VM cannot show that its configuration is current, so it cannot judge keys.
  CredentialUnproven,
};

/// Number of values of CallerFault.
inline constexpr std::size_t CallerFaultCount =
    static_cast<std::size_t>(CallerFault::CredentialUnproven) + 1;

/// \brief The name of a fault in metrics and in the VH-Reason header.
/// \return lower case words joined by "_"
std::string_view toString(CallerFault Value);

/// \brief The error number under which a fault is logged.
Errc numberOf(CallerFault Value);

/// \brief The HTTP status of the response to a fault.
unsigned statusOf(CallerFault Value);

} // namespace vanillahill::net
