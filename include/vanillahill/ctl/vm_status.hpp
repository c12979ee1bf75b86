/// \file
/// Where each VM stands, as its admin address tells it.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/peer/message.hpp"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahill::ctl {

/// One VM, or why it could not be asked.
struct VmStatus {
  /// IP:port of its admin address.
  std::string m_Address;
  std::string m_Name;
  std::string m_State;
  std::vector<peer::FileVersion> m_Versions;
  /// Backend servers whose replies to this VM said that they are leaving.
  std::vector<std::string> m_LeavingServers;
  /// Backend servers that want no request from this VM now.
  std::vector<std::string> m_PausedServers;
  /// Backend servers that take a limited number of requests from all VMs together.
  std::vector<std::string> m_LimitedServers;
  /// Backend servers that are cold, as far as the VM knows.
  std::vector<std::string> m_ColdServers;
  /// Data centres that the VM knows to be evacuated.
  std::vector<std::string> m_EvacuatedDataCenters;
  /// Empty when it answered.
  std::string m_Fault;
};

/// \brief Reads the answer of GET /status.
/// \return the status, with m_Fault set when the text has another form
VmStatus parseStatus(std::string Address, std::string_view Text);

/// \brief Asks one VM. \param Token shown to it
VmStatus askVm(const std::string &Address, const std::string &Token);

/// \brief Version of a file on a VM. \return 0 when it has none
std::uint64_t versionOn(const VmStatus &Vm, std::string_view File);

/// \brief Whether every VM answered and holds at least the given versions.
bool inForce(std::span<const VmStatus> Vms, std::span<const peer::FileVersion> Versions);

/// \brief A table: each VM, its state, its version of each file, how many versions it is behind,
/// how many backend servers are leaving, paused, limited or cold for it, and the evacuated data
/// centres.
std::string statusTable(std::span<const VmStatus> Vms, std::span<const peer::FileVersion> Versions);

/// \brief The same as one JSON object.
std::string statusJson(std::span<const VmStatus> Vms, std::span<const peer::FileVersion> Versions);

} // namespace vanillahill::ctl
