/// \file
/// One blocking HTTP call with a time limit, for the operator's command.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/core/time.hpp"

#include <string>
#include <string_view>

namespace vanillahill::platform {

struct HttpCall {
  /// IP:port.
  std::string m_Address;
  std::string_view m_Method = "GET";
  std::string m_Target = "/";
  std::string_view m_Body;
  /// Shown as "Authorization: Bearer"; empty for none.
  std::string m_Token;
  Duration m_Timeout = std::chrono::seconds(5);
};

/// \brief Makes the call and waits for its answer.
/// \return the body of a 200 answer; AddressUnusable, LogUnavailable (no whole answer or another
/// status) or TokenWrong (401, 403)
Result<std::string> call(const HttpCall &Request);

} // namespace vanillahill::platform
