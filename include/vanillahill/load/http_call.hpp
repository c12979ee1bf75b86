/// \file
/// One blocking HTTP call, for control ports.
#pragma once

#include "vanillahill/core/error.hpp"

#include <string>
#include <string_view>

namespace vanillahill::load {

struct HttpCall {
  /// IP:port.
  std::string m_Address;
  std::string_view m_Method = "GET";
  std::string_view m_Target = "/";
  std::string_view m_Body;
};

/// \brief Makes the call and waits for its answer.
/// \return the body of a 200 answer, or AddressUnusable, BackendConnectFailed, HttpMalformed
Result<std::string> httpCall(const HttpCall &Call);

} // namespace vanillahill::load
