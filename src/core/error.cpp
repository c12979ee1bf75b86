#include "vanillahill/core/error.hpp"

#include <spdlog/fmt/fmt.h>

namespace vanillahill {

namespace {

const char *errorText(Errc Code) {
  switch (Code) {
  case Errc::SettingsUnreadable:
    return "settings cannot be read";
  case Errc::SettingsNotJson:
    return "settings are not JSON";
  case Errc::SettingsUnknownField:
    return "unknown field";
  case Errc::SettingsMissingField:
    return "missing field";
  case Errc::SettingsWrongType:
    return "field has the wrong type";
  case Errc::SettingsOutOfRange:
    return "value is out of range";
  case Errc::SettingsConflict:
    return "values conflict";
  case Errc::RecordMalformed:
    return "log record is malformed";
  case Errc::RecordDigestMismatch:
    return "log record does not match its digest";
  case Errc::PublishLostRace:
    return "another change of the same file came first";
  case Errc::PublishUnconfirmed:
    return "change could not be confirmed";
  case Errc::LogUnavailable:
    return "log service is unavailable";
  case Errc::PeerFrameMalformed:
    return "peer frame is malformed";
  case Errc::PeerFrameTooLong:
    return "peer frame is too long";
  case Errc::PeerVersionUnsupported:
    return "peer protocol version is unsupported";
  case Errc::PeerConnectionLost:
    return "connection to peer was lost";
  case Errc::PeerTokenMismatch:
    return "peer token does not match";
  case Errc::HttpMalformed:
    return "HTTP message is malformed";
  case Errc::HttpHeaderTooLong:
    return "HTTP header is too long";
  case Errc::HttpBodyTooLong:
    return "HTTP body is too long";
  case Errc::HttpTimeout:
    return "HTTP peer was too slow";
  case Errc::BackendConnectFailed:
    return "connection to backend server failed";
  case Errc::BackendReplyCut:
    return "reply of backend server was cut short";
  case Errc::BackendReplyMismatch:
    return "reply belongs to another exchange";
  case Errc::BackendTimeout:
    return "backend server did not answer in time";
  case Errc::TokenWrong:
    return "token is wrong";
  case Errc::AddressUnusable:
    return "address cannot be used";
  }
  return "unknown error";
}

class Category final : public std::error_category {
public:
  const char *name() const noexcept override { return "vanillahill"; }
  std::string message(int Value) const override { return errorText(static_cast<Errc>(Value)); }
};

} // namespace

const std::error_category &errorCategory() noexcept {
  static const Category Instance;
  return Instance;
}

std::error_code make_error_code(Errc Code) noexcept {
  return {static_cast<int>(Code), errorCategory()};
}

std::string toString(const Error &Value) {
  return fmt::format("{} ({}): {}: {} [{} {}]", Value.m_Step, Value.m_Peer, Value.m_Code.message(),
                     Value.m_Detail, Value.m_Code.category().name(), Value.m_Code.value());
}

void throw_exception_from_error(const Error &Value, const boost::source_location &) {
  throw std::system_error(Value.m_Code, toString(Value));
}

} // namespace vanillahill
