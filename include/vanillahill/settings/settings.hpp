/// \file
/// Typed settings: published by operators (SiteSettings) and of one entry process (VmSettings).
#pragma once

#include "vanillahill/core/ids.hpp"
#include "vanillahill/core/key_digest.hpp"
#include "vanillahill/core/shared_list.hpp"
#include "vanillahill/core/time.hpp"

#include <algorithm>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace vanillahill {

/// A kind of request of one service.
struct KindSettings {
  KindId m_Id{};
  std::string m_Name;
  /// Value of one request answered before its deadline, relative to the other kinds.
  double m_Weight = 1.0;
  /// Time allowed from arrival at the VM to the complete answer.
  Duration m_Deadline = std::chrono::seconds(2);
  /// An idempotent request may run more than once.
  bool m_Idempotent = false;
  /// An answer within this time has the full value; zero when only the deadline counts.
  Duration m_TargetLatency{};
  /// 0 is the most urgent.
  std::uint32_t m_Priority = 0;
  /// Maximum number of backend servers that one request may be sent to.
  std::uint32_t m_MaxAttempts = 8;
};

/// One backend server.
struct ServerSettings {
  ServerId m_Id{};
  std::string m_Name;
  /// IP:port.
  std::string m_Address;
  std::string m_DataCenter;
  /// Maximum number of requests that it runs at once.
  std::uint32_t m_Slots = 6;
  /// Maximum number of connections that it accepts, from all VMs together.
  std::uint32_t m_MaxConnections = 250;
  /// A leaving server gets no new request.
  bool m_Leaving = false;
  /// The server has just started and is slower until this time.
  TimePoint m_ColdUntil{};
  /// The operator has evacuated the server's data centre: the server gets nothing new.
  bool m_IsEvacuated = false;
};

/// \brief Number of servers that are not in an evacuated data centre.
inline std::size_t usedServerCount(std::span<const ServerSettings> Servers) {
  return static_cast<std::size_t>(
      std::count_if(Servers.begin(), Servers.end(),
                    [](const ServerSettings &Server) { return !Server.m_IsEvacuated; }));
}

/// How the policy set "probed" chooses servers of a large service at a VM that sends few requests
/// to it. At other VMs and for small services all values mean the same.
enum class LowRatePlacement : std::uint8_t {
  /// As at VMs that send many requests.
  Usual,
  /// Fewer servers are preferred, so that connections to them stay open.
  SmallSubset,
  /// In addition, fewer servers are probed.
  FewProbes,
};

/// Decision policy of the kernel for one service.
struct PolicySettings {
  /// Name of a registered policy set: "leased" or "naive".
  std::string m_Name = "leased";
  /// Requests sent only to measure, per second to each backend server, from all VMs together.
  double m_MeasuringBudget = 2.0;
  /// This VM's share of the measuring budget, in requests per second to all servers of the service.
  /// Used by the policy set "probed".
  double m_ProbesPerSecond = 50.0;
  /// Retries and hedges as a share of first attempts.
  double m_RetryRatio = 0.1;
  /// A hedge is sent when an attempt has run for this multiple of the usual time; 0 turns it off.
  double m_HedgeFactor = 3.0;
  /// Maximum number of requests queued in one VM.
  std::uint32_t m_QueueLimit = 512;
  /// Time over which retries and hedges are counted against first attempts.
  Duration m_RetryWindow = std::chrono::seconds(10);
  /// A server whose reply says that it is leaving gets no request that arrives later than this
  /// after the reply. Used by the policy set "probed".
  Duration m_DrainBound = std::chrono::seconds(2);
  LowRatePlacement m_LowRatePlacement = LowRatePlacement::FewProbes;
};

/// A set of interchangeable backend servers with the kinds of request that they serve.
struct ServiceSettings {
  ServiceId m_Id{};
  std::string m_Name;
  SharedList<KindSettings> m_Kinds;
  std::vector<ServerSettings> m_Servers;
  PolicySettings m_Policy;
  /// Target of a health request.
  std::string m_HealthPath = "/vh/health";
  /// Requests per second that a cold server tolerates from all VMs together; zero for any number.
  double m_ColdPerSecond = 0.0;
};

/// The share of a route that goes to one kind of request.
struct RouteShare {
  ServiceId m_Service{};
  KindId m_Kind{};
  double m_Weight = 1.0;
};

/// Requests of one host below one path prefix.
struct RouteSettings {
  std::string m_Host;
  /// Begins and ends with a slash.
  std::string m_PathPrefix;
  /// Not empty; more than one when the traffic is split.
  std::vector<RouteShare> m_Shares;
  /// Requests need no key although the deployment has tenants.
  bool m_IsPublic = false;
};

/// A customer of the deployment, whose callers are known by their keys.
struct TenantSettings {
  TenantId m_Id{};
  std::string m_Name;
  std::vector<KeyDigest> m_Keys;
  /// 0 is the most urgent. Goes before the priority of the kind of request.
  std::uint32_t m_Priority = 0;
  /// Usage cap over all VMs together, in requests per second; zero for none.
  double m_PerSecond = 0.0;
  /// Requests that the usage cap allows at once after a quiet time.
  double m_Burst = 0.0;

  bool hasCap() const { return m_PerSecond > 0.0 || m_Burst > 0.0; }
};

/// What the deployment tolerates of usage caps.
struct CapBounds {
  /// In any window of this length a cap is exceeded by at most m_ExcessRatio of what it allows then
  /// and by m_Slack requests. Zero when the deployment names no bound.
  Duration m_Window{};
  double m_ExcessRatio = 0.0;
  double m_Slack = 0.0;
};

/// A data centre whose servers get nothing new, by order of the operator.
struct EvacuatedDataCenter {
  std::string m_Name;
  /// When this VM first knew of it.
  TimePoint m_Since{};
};

/// Limits on callers.
struct CallerLimits {
  std::uint32_t m_HeaderBytes = 8192;
  std::uint32_t m_BodyBytes = 1U << 20U;
  std::uint32_t m_Connections = 2048;
  /// The connection is closed when sending a request or reading an answer takes longer than this.
  Duration m_Timeout = std::chrono::seconds(10);
  /// A connection without a request is closed after this; zero for a multiple of m_Timeout.
  Duration m_IdleTimeout{};
};

/// Idempotency keys of non-idempotent requests.
struct IdempotencySettings {
  /// When false, every request of a caller is a separate operation.
  bool m_Enabled = true;
  /// How long a caller may repeat a request; keys are kept for longer than this.
  Duration m_RepeatWindow = std::chrono::minutes(10);
  /// Maximum keys kept in one VM; at the limit, new keyed requests are refused as not run.
  std::uint32_t m_MaxKeys = 100000;
  /// Maximum bytes of kept answers in one VM.
  std::uint32_t m_MaxAnswerBytes = 8U << 20U;
  /// Maximum time that a repeated request waits for the answers of the other VMs.
  Duration m_QueryTimeout = std::chrono::milliseconds(300);
  /// Maximum transit time of a request from its caller to the VM.
  Duration m_TransitLimit = std::chrono::seconds(10);
};

/// Membership among the entry VMs.
struct MembershipSettings {
  /// Maximum number of VMs of a deployment at once; each VM's share of a budget follows from it.
  std::uint32_t m_MaxVms = 24;
  Duration m_HeartbeatPeriod = std::chrono::milliseconds(200);
  /// A VM that no peer has acknowledged for this long takes no first attempts.
  Duration m_Lease = std::chrono::seconds(2);
  /// Peers drop a silent VM this long after its lease ended.
  Duration m_LeaseMargin = std::chrono::seconds(1);
};

/// The platform's log.
struct LogSettings {
  /// Minimum time that the log keeps a record. Configuration is renewed well before that.
  Duration m_Retention = std::chrono::hours(24);
};

/// The merged settings of one site: base file plus overlay.
struct SiteSettings {
  std::string m_Site;
  std::vector<std::string> m_DataCenters;
  std::vector<ServiceSettings> m_Services;
  /// Routes by host and path; empty where the path names service and kind.
  SharedList<RouteSettings> m_Routes;
  /// When empty, callers need no key.
  SharedList<TenantSettings> m_Tenants;
  CapBounds m_Caps;
  std::vector<EvacuatedDataCenter> m_Evacuated;
  CallerLimits m_Callers;
  IdempotencySettings m_Idempotency;
  MembershipSettings m_Membership;
  LogSettings m_Log;
};

/// Settings that one entry process reads when it starts.
struct VmSettings {
  std::string m_Name;
  std::string m_Site;
  std::string m_DataCenter;
  /// IP:port for callers, for other VMs and for operators.
  std::string m_CallerAddress;
  std::string m_PeerAddress;
  std::string m_AdminAddress;
  /// IP:port of the platform's log and VM list.
  std::string m_PlatformAddress;
  /// Sent by operators as "Authorization: Bearer" to the admin address.
  std::string m_AdminToken;
  /// Authenticates the VMs of one deployment to each other.
  std::string m_PeerToken;
  std::uint32_t m_Workers = 2;
  std::uint64_t m_Seed = 0;
  std::string m_LogLevel = "info";
};

} // namespace vanillahill
