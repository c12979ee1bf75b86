/// \file
/// Error numbers of one std::error_category, and errors that carry the failed step and its peer.
#pragma once

#include <boost/system/result.hpp>

#include <string>
#include <system_error>

namespace vanillahill {

/// Stable error numbers; docs/errors.md lists the cause and remedy of each. Numbers are never
/// reused.
enum class Errc {
  SettingsUnreadable = 101,
  SettingsNotJson = 102,
  SettingsUnknownField = 103,
  SettingsMissingField = 104,
  SettingsWrongType = 105,
  SettingsOutOfRange = 106,
  SettingsConflict = 107,
  RecordMalformed = 201,
  RecordDigestMismatch = 202,
  PublishLostRace = 203,
  PublishUnconfirmed = 204,
  LogUnavailable = 205,
  PeerFrameMalformed = 301,
  PeerFrameTooLong = 302,
  PeerVersionUnsupported = 303,
  PeerConnectionLost = 304,
  PeerTokenMismatch = 305,
  HttpMalformed = 401,
  HttpHeaderTooLong = 402,
  HttpBodyTooLong = 403,
  HttpTimeout = 404,
  BackendConnectFailed = 501,
  BackendReplyCut = 502,
  BackendReplyMismatch = 503,
  BackendTimeout = 504,
  TokenWrong = 601,
  AddressUnusable = 602,
};

/// \brief The error category of this project.
/// \return the category "vanillahill"
const std::error_category &errorCategory() noexcept;

/// \brief Converts an error number to std::error_code; found by argument-dependent lookup.
std::error_code make_error_code(Errc Code) noexcept;

/// An error with its context.
struct Error {
  std::error_code m_Code;
  /// The operation that failed, for example "read settings".
  std::string m_Step;
  /// The other party or object of the operation: a file, an address, a VM.
  std::string m_Peer;
  /// What was found and what is allowed.
  std::string m_Detail;
};

/// \brief One human-readable line: step, peer, message, detail and number.
std::string toString(const Error &Value);

/// A value or an Error.
template <typename T> using Result = boost::system::result<T, Error>;

/// \brief Throws an Error as std::system_error; used by Result::value().
[[noreturn]] void throw_exception_from_error(const Error &Value, const boost::source_location &);

} // namespace vanillahill

template <> struct std::is_error_code_enum<vanillahill::Errc> : std::true_type {};
