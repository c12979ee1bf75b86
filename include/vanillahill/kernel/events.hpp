/// \file
/// The events that the kernel handles and the actions that it returns. The kernel opens no socket
/// and reads no clock: the present time is passed to each call of Node::handle().
#pragma once

#include "vanillahill/core/crash_report.hpp"
#include "vanillahill/core/ids.hpp"
#include "vanillahill/core/tenant_messages.hpp"
#include "vanillahill/core/time.hpp"
#include "vanillahill/core/token_messages.hpp"
#include "vanillahill/kernel/decision.hpp"
#include "vanillahill/kernel/fleet_view.hpp"
#include "vanillahill/kernel/relay_helpers.hpp"
#include "vanillahill/kernel/tenants/counting_vms.hpp"
#include "vanillahill/peer/message.hpp"
#include "vanillahill/settings/settings.hpp"

#include <cstdint>
#include <limits>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace vanillahill::kernel {

/// How one attempt at a backend server ended.
enum class AttemptResult : std::uint8_t {
  /// A complete, matching reply was received.
  Completed,
  /// The server declared that it did not start the request (VH-Not-Run).
  NotRun,
  /// No byte of the request left this VM.
  NotSent,
  /// Bytes were sent and no complete reply was received: the request may have run.
  Unknown,
};

/// \brief The name of a result as written to logs.
std::string_view toString(AttemptResult Value);

/// Why a request was refused, or how it ended. Each has its counter.
enum class Reason : std::uint8_t {
  None,
  /// The deadline cannot be met, or it passed while the request waited.
  DeadlineMissed,
  /// The queue is full, or a request of higher weight displaced this one.
  Overload,
  /// No backend server of the service may be used.
  NoServer,
  /// Every server that could be used has asked for a pause.
  ServersPaused,
  /// Every server that could be used takes a limited number of requests, and this VM's part of them
  /// is used up.
  ServersLimited,
  /// Every allowed attempt was refused before it started.
  AttemptsRefused,
  /// The retry budget is used up.
  RetryBudget,
  /// An attempt was sent and its outcome is not known.
  AttemptLost,
  /// The deadline passed while an attempt was running.
  DeadlineRunning,
  /// A non-idempotent request lacks the idempotency key that is required.
  KeyMissing,
  /// The key was sealed by a repeat through another VM.
  KeySealed,
  /// The key is in use and its outcome is not known.
  KeyUnknown,
  /// A VM that may have seen the key could not be queried.
  KeyUnasked,
  /// The key table is full.
  KeyTableFull,
  /// The key is older than the time in which callers may repeat a request.
  KeyExpired,
  /// This VM holds no membership lease, so it accepts no first attempts.
  NoLease,
  /// This VM is leaving or has no configuration yet.
  NotServing,
  /// The caller disconnected before its answer.
  CallerGone,
  /// Copies of the request were running at servers when these crashed.
  PoisonRequest,
  /// The tenant has used up its usage cap.
  TenantCapReached,
  /// No VM that counts the tenant's requests could be reached.
  TenantCapUnknown,
  /// This VM cannot show that its configuration is current, so it cannot judge keys.
  KeyUnproven,
  /// The path names no service or kind.
  UnknownKind,
};

/// \brief The name of a reason as used in counters and answers.
/// \param Value the reason
/// \return lower case words joined by "_"
std::string_view toString(Reason Value);

/// The outcome that the caller is told.
enum class Outcome : std::uint8_t { Completed, NotRun, Unknown };

/// When the caller first sent this request.
struct KeyAge {
  /// The caller declares that this is its first attempt.
  bool m_First = false;
  /// How long ago the first attempt was sent, if the caller stated it.
  std::optional<Duration> m_Age;
};

/// A caller's request was received completely.
struct RequestArrived {
  RequestId m_Request{};
  ServiceId m_Service{};
  KindId m_Kind{};
  /// Empty when the caller sent none.
  std::string m_Key;
  KeyAge m_KeyAge;
  /// How much longer the caller waits, if it stated it.
  std::optional<Duration> m_TimeLeft;
  /// The tenant of the caller's key; empty without tenants and on public routes.
  std::optional<TenantId> m_Tenant;
};

/// The caller closed its connection before its answer.
struct CallerGone {
  RequestId m_Request{};
};

/// A server's limit on requests per second when it names none.
inline constexpr double NoRequestLimit = std::numeric_limits<double>::infinity();

/// An attempt ended. Sent exactly once for each Dispatch, also after CancelAttempt.
struct AttemptEnded {
  AttemptId m_Attempt{};
  AttemptResult m_Result = AttemptResult::Unknown;
  /// Set for Completed.
  ReplyPtr m_Reply;
  /// With Unknown: the connection ended after the request was sent and before any byte of a reply.
  bool m_ClosedUnanswered = false;
  /// With NotSent: the server's machine refused the connection, so no process listens there.
  bool m_ConnectionRefused = false;
  /// The server declared that it is leaving.
  bool m_ServerLeaving = false;
  /// How long the server wants no request from this VM; zero if it did not say.
  Duration m_PauseFor{};
  /// Requests per second that the server takes from all VMs together, NoRequestLimit when its reply
  /// names no limit; empty when the reply says nothing about it.
  std::optional<double> m_RequestLimit;
  /// Set when the reply told the server's load.
  std::optional<LoadReport> m_Load;
  /// How long the server keeps an idle connection open; empty when the reply does not say.
  std::optional<Duration> m_IdleTime;
  /// Another server has the address now.
  bool m_WrongServer = false;
};

/// A measuring request ended.
struct ProbeEnded {
  ServerId m_Server{};
  bool m_Healthy = false;
  /// Set when the reply told the server's load.
  std::optional<LoadReport> m_Load;
  /// A reply was received, healthy or not.
  bool m_Answered = false;
  /// The server's machine refused the connection, so no process listens there.
  bool m_ConnectionRefused = false;
  /// The server declared that it is leaving.
  bool m_ServerLeaving = false;
  /// How long the server wants no request from this VM; zero if it did not say.
  Duration m_PauseFor{};
  /// Requests per second that the server takes from all VMs together, NoRequestLimit when its reply
  /// names no limit; empty when the reply says nothing about it.
  std::optional<double> m_RequestLimit;
  /// How much longer the server is cold; zero when it said that it is warm, empty when it said
  /// nothing.
  std::optional<Duration> m_ColdFor;
  /// Another server has the address now.
  bool m_WrongServer = false;
};

/// Settings were read from a source other than the log; they replace those in force.
struct SettingsRead {
  std::shared_ptr<const SiteSettings> m_Settings;
};

/// A message from another VM was received.
struct PeerReceived {
  VmId m_From{};
  peer::Message m_Message;
};

/// One entry of the platform's VM list.
struct VmEntry {
  std::string m_Name;
  /// IP:port where other VMs reach it.
  std::string m_PeerAddress;
  std::string m_DataCenter;
  bool m_Leaving = false;
};

/// The platform's VM list was read.
struct VmListRead {
  std::vector<VmEntry> m_Vms;
};

/// One record of the log.
struct LogRecord {
  std::uint64_t m_Offset = 0;
  std::string m_Data;
};

/// Records were read from the log, in order. Each read starts where the previous one ended, or at
/// the oldest record that the log still keeps.
struct LogRead {
  /// Oldest offset that the log still keeps ("first" of the reply).
  std::uint64_t m_First = 0;
  std::vector<LogRecord> m_Records;
  /// Offset to read next.
  std::uint64_t m_Next = 0;
};

/// Another VM reported the failure of a backend server.
struct ServerFailureHeard {
  ServerId m_Server{};
};

/// Another VM announced the limit that a backend server named in a reply.
struct ServerLimitReceived {
  ServerId m_Server{};
  /// Requests per second, or NoRequestLimit.
  double m_PerSecond = NoRequestLimit;
  /// Time since that VM sent the request to which the server replied.
  Duration m_Age{};
};

/// Another VM announced that a server is cold, or warm again.
struct ServerColdReceived {
  ServerId m_Server{};
  /// How much longer the server was cold when it said so; zero when it was warm.
  Duration m_ColdFor{};
  /// Time since that VM queried the server.
  Duration m_Age{};
};

/// The VMs that can count requests of tenants have changed.
struct CountingVmsChanged {
  /// The first one is that of the own data centre.
  std::vector<tenants::CountingGroup> m_Groups;
};

/// Another VM queries whether requests of a tenant may run.
struct TenantQueryReceived {
  TenantQuery m_Query;
};

/// Another VM answered such a query.
struct TenantVerdictReceived {
  std::string m_FromIp;
  TenantVerdict m_Verdict;
};

/// Another VM returned units that this one had granted.
struct TenantReturnReceived {
  TenantReturn m_Returned;
};

/// Another VM asks for tokens of a budget that the VMs share.
struct TokenRequestReceived {
  /// Name of that VM, for the answer.
  std::string m_FromVm;
  TokenRequest m_Request;
};

/// Another VM answered such a request of this one.
struct TokenGrantReceived {
  TokenGrant m_Grant;
};

/// Another VM announced servers that crashed under a request.
struct CrashReportReceived {
  CrashReport m_Report;
};

/// Other VMs may take requests for this one than before.
struct HelpersChanged {
  std::vector<HelperVm> m_Helpers;
};

/// Another VM announced whether it reaches the servers.
struct ReachAnnounced {
  ServerId m_Helper{};
  bool m_IsCutOff = false;
};

/// VMs have joined the fleet or left it.
struct FleetChanged {
  FleetView m_Fleet;
};

/// The process was told to stop.
struct StopRequested {
  /// Time until StopOverdue, if that will follow: a request that cannot be answered by then is
  /// refused rather than sent.
  std::optional<Duration> m_EndsAfter = std::nullopt;
};

/// The time for finishing requests after StopRequested is over. Each request that is still open is
/// ended: its attempts are cancelled, and it is answered as Unknown if it may have run, else as
/// NotRun. Requests that arrive later are refused.
struct StopOverdue {};

/// The timer set for Node::nextTimer() expired.
struct TimerFired {};

using Event =
    std::variant<RequestArrived, CallerGone, AttemptEnded, ProbeEnded, PeerReceived, VmListRead,
                 LogRead, SettingsRead, ServerFailureHeard, ServerLimitReceived, ServerColdReceived,
                 CountingVmsChanged, TenantQueryReceived, TenantVerdictReceived,
                 TenantReturnReceived, TokenRequestReceived, TokenGrantReceived,
                 CrashReportReceived, HelpersChanged, ReachAnnounced, FleetChanged, StopRequested,
                 StopOverdue, TimerFired>;

/// Send the request to a backend server.
struct Dispatch {
  RequestId m_Request{};
  AttemptId m_Attempt{};
  ServerId m_Server{};
  /// The complete reply must have been received by then.
  TimePoint m_Deadline{};
  /// The attempt ends as NotSent if it still waits for a connection then.
  TimePoint m_SendBy = TimePoint::max();
};

/// Abandon an attempt; its connection is closed, never reused.
struct CancelAttempt {
  AttemptId m_Attempt{};
};

/// End the attempts that wait for a connection and whose deadline is later than this, as NotSent.
struct EndWaitingAttempts {
  TimePoint m_Deadline{};
};

/// The one and final answer to a request.
struct Answer {
  RequestId m_Request{};
  Outcome m_Outcome = Outcome::NotRun;
  Reason m_Reason = Reason::None;
  /// Set for Completed.
  ReplyPtr m_Reply;
  /// How long the caller should wait before a repeat; zero when a repeat is of no use.
  Duration m_RetryAfter{};
};

/// Send a message to another VM; dropped silently when there is no connection.
struct SendPeer {
  VmId m_To{};
  peer::Message m_Message;
};

/// Keep connections to these VMs; replaces the previous set entirely.
struct ConnectPeers {
  std::vector<VmEntry> m_Vms;
};

/// Append a record to the log, to renew a record that would otherwise expire.
struct AppendLog {
  std::string m_Data;
};

/// Send one measuring request to a backend server.
struct Probe {
  ServerId m_Server{};
};

/// New settings are in force; Node::settings() returns them.
struct SettingsChanged {};

/// Tell the other VMs that this VM saw a backend server fail.
struct TellServerFailure {
  ServerId m_Server{};
};

/// Announce to the other VMs the limit that a backend server named in a reply.
struct AnnounceServerLimit {
  ServerId m_Server{};
  /// Requests per second, or NoRequestLimit.
  double m_PerSecond = NoRequestLimit;
  /// Time since the request was sent to which the server replied.
  Duration m_Age{};
};

/// Announce to the other VMs that a server is cold, or warm again.
struct AnnounceServerCold {
  ServerId m_Server{};
  /// How much longer the server was cold when it said so; zero when it was warm.
  Duration m_ColdFor{};
  /// Time since the server was queried.
  Duration m_Age{};
};

/// Ask another VM whether requests of a tenant may run.
struct SendTenantQuery {
  std::string m_ToIp;
  TenantQuery m_Query;
};

/// Answer such a query of another VM.
struct SendTenantVerdict {
  std::string m_ToIp;
  TenantVerdict m_Verdict;
};

/// Return units to the VM that granted them.
struct SendTenantReturn {
  std::string m_ToIp;
  TenantReturn m_Returned;
};

/// Ask another VM for tokens.
struct SendTokenRequest {
  std::string m_ToVm;
  TokenRequest m_Request;
};

/// Answer such a request of another VM.
struct SendTokenGrant {
  std::string m_ToVm;
  TokenGrant m_Grant;
};

/// Announce to the other VMs the servers that crashed under a request.
struct AnnounceCrashReport {
  CrashReport m_Report;
};

/// Announce to the other VMs whether this one reaches the servers.
struct AnnounceReach {
  bool m_IsCutOff = false;
};

/// The linger time after StopRequested is over: new requests are no longer accepted. Idle
/// connections are closed; otherwise a caller could send a request on one that cannot end in time.
struct StopAccepting {};

/// Nothing is in flight any more after StopAccepting: the process may exit.
struct Stopped {};

using Action = std::variant<Dispatch, CancelAttempt, EndWaitingAttempts, Answer, SendPeer,
                            ConnectPeers, AppendLog, Probe, SettingsChanged, TellServerFailure,
                            AnnounceServerLimit, AnnounceServerCold, SendTenantQuery,
                            SendTenantVerdict, SendTenantReturn, SendTokenRequest, SendTokenGrant,
                            AnnounceCrashReport, AnnounceReach, Decision, StopAccepting, Stopped>;
using Actions = std::vector<Action>;

} // namespace vanillahill::kernel
