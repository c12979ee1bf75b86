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
  case Reason::UnknownKind:
    return "unknown_kind";
  }
  return "none";
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
