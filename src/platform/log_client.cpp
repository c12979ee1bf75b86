#include "vanillahill/platform/log_client.hpp"

#include "vanillahill/net/platform_json.hpp"
#include "vanillahill/platform/http_client.hpp"

#include <nlohmann/json.hpp>
#include <thread>

namespace vanillahill::platform {

Result<std::uint64_t> LogClient::append(const std::string &Data) {
  const Result<std::string> Reply = call({.m_Address = m_Address,
                                          .m_Method = "POST",
                                          .m_Target = "/log",
                                          .m_Body = Data,
                                          .m_Token = "",
                                          .m_Timeout = m_Timeout});
  if (!Reply) {
    return Reply.error();
  }
  const auto Document = nlohmann::json::parse(*Reply, nullptr, false);
  if (!Document.is_object() || !Document.contains("offset") ||
      !Document["offset"].is_number_unsigned()) {
    return Error{Errc::LogUnavailable, "append record", m_Address, "reply has no offset"};
  }
  return Document["offset"].get<std::uint64_t>();
}

Result<kernel::LogRead> LogClient::read(std::uint64_t From) {
  const Result<std::string> Reply = call({.m_Address = m_Address,
                                          .m_Method = "GET",
                                          .m_Target = "/log?from=" + std::to_string(From),
                                          .m_Body = "",
                                          .m_Token = "",
                                          .m_Timeout = m_Timeout});
  if (!Reply) {
    return Reply.error();
  }
  return net::parseLogPage(*Reply);
}

void LogClient::pause(Duration Length) { std::this_thread::sleep_for(Length); }

} // namespace vanillahill::platform
