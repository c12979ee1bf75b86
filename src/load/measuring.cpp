#include "detail/measuring.hpp"

#include "vanillahill/load/http_call.hpp"

#include <nlohmann/json.hpp>

namespace vanillahill::load::detail {

Result<std::vector<MeasuringCost>> readMeasuring(const std::string &Control) {
  const Result<std::string> Text =
      httpCall({.m_Address = Control, .m_Target = "/stats", .m_Body = {}});
  if (!Text) {
    return Text.error();
  }
  const auto Root = nlohmann::json::parse(*Text, nullptr, false);
  if (Root.is_discarded() || !Root.contains("servers")) {
    return Error{Errc::HttpMalformed, "read measuring cost", Control,
                 "no \"servers\" in the answer"};
  }
  std::vector<MeasuringCost> Costs;
  for (const auto &Server : Root["servers"]) {
    Costs.push_back({.m_Server = Server.value("name", ""),
                     .m_Probes = Server.value("probes", std::uint64_t{0}),
                     .m_MostPerSecond = Server.value("most_probes_per_second", std::uint64_t{0}),
                     .m_MostRunning = Server.value("most_running", std::uint32_t{0}),
                     .m_MostConnections = Server.value("most_connections", std::uint64_t{0})});
  }
  return Costs;
}

} // namespace vanillahill::load::detail
