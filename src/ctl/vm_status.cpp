#include "vanillahill/ctl/vm_status.hpp"

#include "vanillahill/platform/http_client.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace vanillahill::ctl {

namespace {

using Json = nlohmann::ordered_json;

/// Versions that a VM is behind, over all files.
std::uint64_t lagOf(const VmStatus &Vm, std::span<const peer::FileVersion> Versions) {
  std::uint64_t Lag = 0;
  for (const peer::FileVersion &Each : Versions) {
    const std::uint64_t Here = versionOn(Vm, Each.m_File);
    Lag += Each.m_Version > Here ? Each.m_Version - Here : 0;
  }
  return Lag;
}

std::string rowOf(const VmStatus &Vm, std::span<const peer::FileVersion> Versions) {
  if (!Vm.m_Fault.empty()) {
    return fmt::format("{:<16} {:<22} {}\n", "-", Vm.m_Address, Vm.m_Fault);
  }
  std::string Row = fmt::format("{:<16} {:<22} {:<9}", Vm.m_Name, Vm.m_Address, Vm.m_State);
  for (const peer::FileVersion &Each : Versions) {
    const std::size_t Width = std::max<std::size_t>(Each.m_File.size(), 7);
    Row += fmt::format(" {:>{}}", versionOn(Vm, Each.m_File), Width);
  }
  return Row + fmt::format(" {:>4} {:>7} {:>6} {:>7} {:>4} {}\n", lagOf(Vm, Versions),
                           Vm.m_LeavingServers.size(), Vm.m_PausedServers.size(),
                           Vm.m_LimitedServers.size(), Vm.m_ColdServers.size(),
                           Vm.m_EvacuatedDataCenters.empty()
                               ? std::string("-")
                               : fmt::format("{}", fmt::join(Vm.m_EvacuatedDataCenters, ",")));
}

void readServers(const Json &Body, VmStatus &Vm) {
  // VMs of an earlier version do not tell this.
  for (const Json &Each : Body.value("servers", Json::array())) {
    const auto Name = Each.at("name").get<std::string>();
    if (Each.value("said_leaving", false)) {
      Vm.m_LeavingServers.push_back(Name);
    }
    if (Each.value("pause_left_ms", 0) > 0) {
      Vm.m_PausedServers.push_back(Name);
    }
    if (Each.value("cold_left_ms", 0) > 0) {
      Vm.m_ColdServers.push_back(Name);
    }
    if (Each.contains("limit_per_s") && Each.at("limit_per_s").is_number()) {
      Vm.m_LimitedServers.push_back(Name);
    }
  }
}

} // namespace

VmStatus parseStatus(std::string Address, std::string_view Text) {
  VmStatus Vm{.m_Address = std::move(Address),
              .m_Name = "",
              .m_State = "",
              .m_Versions = {},
              .m_LeavingServers = {},
              .m_PausedServers = {},
              .m_LimitedServers = {},
              .m_ColdServers = {},
              .m_EvacuatedDataCenters = {},
              .m_Fault = ""};
  try {
    const Json Body = Json::parse(Text);
    Vm.m_Name = Body.at("name").get<std::string>();
    Vm.m_State = Body.at("state").get<std::string>();
    for (const Json &Each : Body.at("versions")) {
      Vm.m_Versions.push_back(
          {Each.at("file").get<std::string>(), Each.at("version").get<std::uint64_t>()});
    }
    readServers(Body, Vm);
    for (const Json &Each : Body.value("evacuated", Json::array())) {
      Vm.m_EvacuatedDataCenters.push_back(Each.at("data_center").get<std::string>());
    }
  } catch (const Json::exception &Raised) {
    Vm.m_Fault = std::string("status is malformed: ") + Raised.what();
  }
  return Vm;
}

VmStatus askVm(const std::string &Address, const std::string &Token) {
  const Result<std::string> Reply = platform::call({.m_Address = Address,
                                                    .m_Method = "GET",
                                                    .m_Target = "/status",
                                                    .m_Body = "",
                                                    .m_Token = Token,
                                                    .m_Timeout = std::chrono::seconds(2)});
  if (Reply) {
    return parseStatus(Address, *Reply);
  }
  const Error &Cause = Reply.error();
  const std::string Kind = Cause.m_Code == Errc::TokenWrong ? "token is wrong" : "no answer";
  return {.m_Address = Address,
          .m_Name = "",
          .m_State = "",
          .m_Versions = {},
          .m_LeavingServers = {},
          .m_PausedServers = {},
          .m_LimitedServers = {},
          .m_ColdServers = {},
          .m_EvacuatedDataCenters = {},
          .m_Fault = Kind + ": " + Cause.m_Detail};
}

std::uint64_t versionOn(const VmStatus &Vm, std::string_view File) {
  const auto Found = std::find_if(Vm.m_Versions.begin(), Vm.m_Versions.end(),
                                  [&](const auto &Each) { return Each.m_File == File; });
  return Found == Vm.m_Versions.end() ? 0 : Found->m_Version;
}

bool inForce(std::span<const VmStatus> Vms, std::span<const peer::FileVersion> Versions) {
  return std::all_of(Vms.begin(), Vms.end(), [&](const VmStatus &Vm) {
    return Vm.m_Fault.empty() && lagOf(Vm, Versions) == 0;
  });
}

std::string statusTable(std::span<const VmStatus> Vms,
                        std::span<const peer::FileVersion> Versions) {
  std::string Table = fmt::format("{:<16} {:<22} {:<9}", "VM", "ADDRESS", "STATE");
  for (const peer::FileVersion &Each : Versions) {
    Table += fmt::format(" {:>{}}", Each.m_File, 7);
  }
  Table += "  LAG LEAVING PAUSED LIMITED COLD EVACUATED\n";
  for (const VmStatus &Vm : Vms) {
    Table += rowOf(Vm, Versions);
  }
  return Table;
}

std::string statusJson(std::span<const VmStatus> Vms, std::span<const peer::FileVersion> Versions) {
  Json Current = Json::object();
  for (const peer::FileVersion &Each : Versions) {
    Current[Each.m_File] = Each.m_Version;
  }
  Json List = Json::array();
  for (const VmStatus &Vm : Vms) {
    Json Row{{"address", Vm.m_Address}, {"name", Vm.m_Name}, {"state", Vm.m_State}};
    Row["versions"] = Json::object();
    for (const peer::FileVersion &Each : Vm.m_Versions) {
      Row["versions"][Each.m_File] = Each.m_Version;
    }
    Row["lag"] = lagOf(Vm, Versions);
    Row["leaving_servers"] = Vm.m_LeavingServers;
    Row["paused_servers"] = Vm.m_PausedServers;
    Row["limited_servers"] = Vm.m_LimitedServers;
    Row["cold_servers"] = Vm.m_ColdServers;
    Row["evacuated"] = Vm.m_EvacuatedDataCenters;
    Row["fault"] = Vm.m_Fault;
    List.push_back(std::move(Row));
  }
  return Json{{"current", Current}, {"in_force", inForce(Vms, Versions)}, {"vms", List}}.dump(2) +
         '\n';
}

} // namespace vanillahill::ctl
