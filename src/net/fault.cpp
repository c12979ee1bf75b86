#include "vanillahill/net/fault.hpp"

#include <array>

namespace vanillahill::net {

namespace {

struct FaultEntry {
  std::string_view m_Name;
  unsigned m_Status;
};

constexpr std::array<FaultEntry, CallerFaultCount> FaultEntries{{
    {"none", 200},
    {"malformed", 400},
    {"bare_line_end", 400},
    {"control_byte", 400},
    {"folded_header", 400},
    {"header_name", 400},
    {"two_lengths", 400},
    {"length_with_chunked", 400},
    {"bad_length", 400},
    {"transfer_encoding", 400},
    {"host", 400},
    {"header_too_long", 431},
    {"body_too_long", 413},
    {"slow_request", 408},
    {"slow_answer", 408},
    {"method", 405},
    {"bad_key", 400},
    {"unknown_kind", 404},
    {"not_serving", 503},
    {"too_many_connections", 503},
    {"credential_missing", 401},
    {"credential_unknown", 401},
    {"credential_unproven", 503},
}};

} // namespace

std::string_view toString(CallerFault Value) {
  return FaultEntries[static_cast<std::size_t>(Value)].m_Name;
}

Errc numberOf(CallerFault Value) {
  switch (Value) {
  case CallerFault::HeaderTooLong:
    return Errc::HttpHeaderTooLong;
  case CallerFault::BodyTooLong:
    return Errc::HttpBodyTooLong;
  case CallerFault::SlowRequest:
  case CallerFault::SlowAnswer:
    return Errc::HttpTimeout;
  default:
    return Errc::HttpMalformed;
  }
}

unsigned statusOf(CallerFault Value) {
  return FaultEntries[static_cast<std::size_t>(Value)].m_Status;
}

} // namespace vanillahill::net
