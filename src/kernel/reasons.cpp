#include "vanillahill/kernel/status.hpp"

namespace vanillahill::kernel {

std::string_view toString(Reason Value) {
  switch (Value) {
  case Reason::None:
    return "none";
  case Reason::DeadlineMissed:
    return "deadline_missed";
  case Reason::Overload:
    return "overload";
  case Reason::NoServer:
    return "no_server";
  case Reason::ServersPaused:
    return "servers_paused";
  case Reason::ServersLimited:
    return "servers_limited";
  case Reason::AttemptsRefused:
    return "attempts_refused";
  case Reason::RetryBudget:
    return "retry_budget";
  case Reason::AttemptLost:
    return "attempt_lost";
  case Reason::DeadlineRunning:
    return "deadline_running";
  case Reason::KeyMissing:
    return "key_missing";
  case Reason::KeySealed:
    return "key_sealed";
  case Reason::KeyUnknown:
    return "key_unknown";
  case Reason::KeyUnasked:
    return "key_unasked";
  case Reason::KeyTableFull:
    return "key_table_full";
  case Reason::KeyExpired:
    return "key_expired";
  case Reason::NoLease:
    return "no_lease";
  case Reason::NotServing:
    return "not_serving";
  case Reason::CallerGone:
    return "caller_gone";
  case Reason::PoisonRequest:
    return "poison_request";
  case Reason::TenantCapReached:
    return "tenant_cap_reached";
  case Reason::TenantCapUnknown:
    return "tenant_cap_unknown";
  case Reason::KeyUnproven:
    return "key_unproven";
  case Reason::UnknownKind:
    return "unknown_kind";
  }
  return "none";
}

std::string_view toString(AttemptResult Value) {
  switch (Value) {
  case AttemptResult::Completed:
    return "completed";
  case AttemptResult::NotRun:
    return "not_run";
  case AttemptResult::NotSent:
    return "not_sent";
  case AttemptResult::Unknown:
    return "unknown";
  }
  return "unknown";
}

std::string_view toString(DecisionType Value) {
  switch (Value) {
  case DecisionType::Placed:
    return "request_placed";
  case DecisionType::Retried:
    return "request_retried";
  case DecisionType::Hedged:
    return "request_hedged";
  case DecisionType::Relayed:
    return "request_relayed";
  case DecisionType::AttemptEnded:
    return "attempt_ended";
  case DecisionType::Answered:
    return "request_answered";
  case DecisionType::Refused:
    return "request_refused";
  case DecisionType::ServerSetAside:
    return "server_set_aside";
  case DecisionType::ServerSaidLeaving:
    return "server_said_leaving";
  case DecisionType::ServerPaused:
    return "server_paused";
  case DecisionType::ServerPauseEnded:
    return "server_pause_ended";
  case DecisionType::ServerCold:
    return "server_cold";
  case DecisionType::ServerWarm:
    return "server_warm";
  case DecisionType::ServerLimitChanged:
    return "server_limit_changed";
  case DecisionType::CrashReportChanged:
    return "crash_report_changed";
  case DecisionType::CrashNotBlamed:
    return "crash_not_blamed";
  case DecisionType::ServersUnreachable:
    return "servers_unreachable";
  case DecisionType::ServersReachable:
    return "servers_reachable";
  }
  return "unknown";
}

std::string_view toString(RetryReason Value) {
  switch (Value) {
  case RetryReason::ServerNotRun:
    return "server_not_run";
  case RetryReason::NotSent:
    return "not_sent";
  case RetryReason::LostIdempotent:
    return "lost_idempotent";
  case RetryReason::Hedge:
    return "hedge";
  }
  return "none";
}

} // namespace vanillahill::kernel
