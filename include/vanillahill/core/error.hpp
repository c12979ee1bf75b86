/// \file
/// Errors: stable numbers in one category, with the step and the peer where each arose.
#pragma once

#include <boost/system/result.hpp>

#include <string>
#include <system_error>

namespace vanillahill {

/// Stable error numbers; docs/errors.md lists each with cause and cure. Numbers are never reused.
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

/// \brief The category of every error of this project.
/// \return the category "vanillahill"
const std::error_category &errorCategory() noexcept;

/// \brief Makes a std::error_code of a number; found by argument-dependent lookup.
std::error_code make_error_code(Errc Code) noexcept;

/// An error with the place where it arose.
struct Error {
  std::error_code m_Code;
  /// What was being done, for example "read settings".
  std::string m_Step;
  /// With whom or on what: a file, an address, a VM.
  std::string m_Peer;
  /// What was found and what is allowed.
  std::string m_Detail;
};

/// \brief One line for a person: step, peer, message, detail and number.
std::string toString(const Error &Value);

/// A value or an Error.
template <typename T> using Result = boost::system::result<T, Error>;

/// \brief Raises an Error as std::system_error; used by Result::value().
[[noreturn]] void throw_exception_from_error(const Error &Value, const boost::source_location &);

} // namespace vanillahill

template <> struct std::is_error_code_enum<vanillahill::Errc> : std::true_type {};
