/// \file
/// Many stand-in backend servers in one process, with a control port.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/load/fault.hpp"
#include "vanillahill/load/server_model.hpp"
#include "vanillahill/load/service_time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace vanillahill::load {

/// Servers of one service: named "<service>/s01" and so on.
struct BackendService {
  std::string m_Name;
  std::uint32_t m_Servers = 1;
  std::uint32_t m_Slots = 6;
};

/// Mean service time of one kind.
struct KindTime {
  /// "service/kind".
  std::string m_Kind;
  Duration m_Mean{};
};

struct BackendHostOptions {
  std::vector<BackendService> m_Services;
  std::string m_Host = "127.0.0.1";
  /// Port of the first server, then upwards; 0: any free ports.
  std::uint16_t m_BasePort = 0;
  std::uint16_t m_ControlPort = 0;
  ServiceTimeOptions m_Time;
  std::vector<KindTime> m_KindTimes;
  std::uint32_t m_QueueLimit = 64;
  std::uint32_t m_MaxConnections = 250;
  /// Time that a new connection takes.
  Duration m_AcceptTime = std::chrono::milliseconds(1);
  Duration m_HealthLag = std::chrono::milliseconds(500);
  /// Filler in each reply body.
  std::uint32_t m_BodyBytes = 64;
  std::uint64_t m_Seed = 1;
  std::string m_History;
  std::vector<Fault> m_Faults;
};

/// Runs the servers on one thread. run() returns after stop() or SIGTERM/SIGINT.
class BackendHost {
public:
  /// \brief Opens all ports. \return the host, or AddressUnusable, SettingsUnreadable
  static Result<std::unique_ptr<BackendHost>> open(BackendHostOptions Options);
  ~BackendHost();

  /// \brief Addresses as JSON: {"control":"IP:port","servers":[{"name":..,"address":..,...}]}.
  std::string addresses() const;

  /// \brief Serves until stopped.
  void run();

  /// \brief Makes run() return. \note Thread safe.
  void stop();

private:
  struct State;
  explicit BackendHost(std::unique_ptr<State> Inner);
  std::unique_ptr<State> m_State;
};

} // namespace vanillahill::load
