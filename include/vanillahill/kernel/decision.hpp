/// \file
/// Records of the kernel's decisions about requests, with the inputs to each decision. For logs.
#pragma once

#include "vanillahill/core/crash_report.hpp"
#include "vanillahill/core/ids.hpp"
#include "vanillahill/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace vanillahill::kernel {

/// The load that a backend server reports in a reply.
struct LoadReport {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  std::uint32_t m_Slots = 0;
  /// Present processing time of requests as a multiple of the usual time.
  double m_Slowdown = 1.0;
};

enum class DecisionType : std::uint8_t {
  /// The request was sent to its first server.
  Placed,
  /// The request was sent again after an attempt that did not complete.
  Retried,
  /// The request was also sent to a second server because the first one was slow.
  Hedged,
  /// The request was passed on to another VM, as this one does not reach the servers.
  Relayed,
  /// An attempt ended.
  AttemptEnded,
  /// The caller received a server's reply.
  Answered,
  /// The caller received an answer that this VM generated itself.
  Refused,
  /// A server failed so often that other servers are preferred.
  ServerSetAside,
  /// A server said that it is leaving; no further request is sent to it if another server can be
  /// used.
  ServerSaidLeaving,
  /// A server asked for a pause; nothing is sent to it until the pause ends.
  ServerPaused,
  /// The first request or probe was sent to a server after a pause.
  ServerPauseEnded,
  /// A server named another limit on its requests, or none any more.
  ServerLimitChanged,
  /// A server was found to be cold.
  ServerCold,
  /// A cold server said that it is warm before the announced end.
  ServerWarm,
  /// More servers have crashed under a request than was known, or the request was cleared.
  CrashReportChanged,
  /// A server crashed under a request, which is not held against the request since a server had
  /// completed it shortly before.
  CrashNotBlamed,
  /// No server answers this VM any more.
  ServersUnreachable,
  /// A server has answered this VM again.
  ServersReachable,
};

/// \brief The name of a decision as written to logs.
std::string_view toString(DecisionType Value);

/// One decision. Fields that do not belong to its type keep their defaults.
struct Decision {
  DecisionType m_Type = DecisionType::Placed;
  /// Not set for decisions about a server.
  std::optional<RequestId> m_Request;
  /// Name of the server concerned; empty if there is none.
  std::string m_Server = {};
  /// The server's last load report, and its age.
  std::optional<LoadReport> m_Load = std::nullopt;
  Duration m_LoadAge{};
  /// Recent failures of the server; older ones count less.
  double m_Failures = 0.0;
  /// Expected time until the server's reply, or length of a pause.
  Duration m_Expected{};
  /// Servers that were asked for their load.
  std::uint32_t m_Asked = 0;
  /// Time since the request arrived, since the attempt was sent, or since a request was completed.
  Duration m_Took{};
  /// Time left until the deadline.
  Duration m_TimeLeft{};
  /// Requests per second that the server takes from all VMs together, infinite without a limit.
  std::optional<double> m_RequestLimit = std::nullopt;
  /// Requests per second of these that this VM may send.
  std::optional<double> m_LimitShare = std::nullopt;
  /// At how many moments servers crashed under a request, the trials of it since, and what it asks
  /// for. m_Request is then the completed request that cleared it.
  std::optional<std::uint32_t> m_Crashes = std::nullopt;
  std::uint32_t m_Trials = 0;
  RequestContent m_Content = {};
  /// How an attempt ended, why the request was refused, or where a statement of the server stood.
  std::string_view m_Outcome = {};
  /// How the connection of an attempt ended whose outcome is not known; empty if it did not end.
  std::string_view m_Cause = {};
  /// Status code of a server's reply; 0 if there is none.
  std::uint32_t m_Status = 0;
};

} // namespace vanillahill::kernel
