#include "vanillahill/net/status_json.hpp"

#include <nlohmann/json.hpp>

namespace vanillahill::net {

namespace {

using json = nlohmann::ordered_json;

std::string_view stateName(peer::VmState State) {
  switch (State) {
  case peer::VmState::Starting:
    return "starting";
  case peer::VmState::Serving:
    return "serving";
  case peer::VmState::Leaving:
    return "leaving";
  }
  return "starting";
}

json versionsJson(const std::vector<peer::FileVersion> &Versions) {
  json Out = json::array();
  for (const auto &File : Versions) {
    Out.push_back({{"file", File.m_File}, {"version", File.m_Version}});
  }
  return Out;
}

/// Counters by name, without those that are zero.
template <typename Enum, std::size_t Count>
json countersJson(const std::array<std::uint64_t, Count> &Counters) {
  json Out = json::object();
  for (std::size_t Index = 0; Index < Count; ++Index) {
    if (Counters[Index] > 0) {
      Out[std::string(toString(static_cast<Enum>(Index)))] = Counters[Index];
    }
  }
  return Out;
}

json kindJson(const kernel::KindCounters &Kind) {
  return {{"name", Kind.m_Name},
          {"arrived", Kind.m_Arrived},
          {"completed", Kind.m_Completed},
          {"not_run", countersJson<kernel::Reason>(Kind.m_NotRun)},
          {"unknown", countersJson<kernel::Reason>(Kind.m_Unknown)},
          {"retries", countersJson<kernel::RetryReason>(Kind.m_Retries)}};
}

json rateJson(const std::optional<double> &PerSecond) {
  return PerSecond ? json(*PerSecond) : json(nullptr);
}

json serverJson(const kernel::ServerStatus &Server) {
  return {{"name", Server.m_Name},
          {"in_flight", Server.m_InFlight},
          {"slots_held", Server.m_SlotsHeld},
          {"ejected", Server.m_Ejected},
          {"leaving", Server.m_Leaving},
          {"said_leaving", Server.m_SaidLeaving},
          {"pause_left_ms", toMillis(Server.m_PauseLeft)},
          {"pauses", Server.m_Pauses},
          {"limit_per_s", rateJson(Server.m_RequestLimit)},
          {"limit_share_per_s", rateJson(Server.m_LimitShare)},
          {"cold_left_ms", toMillis(Server.m_ColdLeft)},
          {"cold_share_per_s", Server.m_ColdShare},
          {"measuring_requests", Server.m_Probes}};
}

json evacuationJson(const kernel::EvacuationStatus &Each) {
  return {{"data_center", Each.m_DataCenter}, {"for_ms", toMillis(Each.m_For)}};
}

json tenantJson(const kernel::TenantCounters &Tenant) {
  return {{"name", Tenant.m_Name},
          {"requests", Tenant.m_Requests},
          {"served", Tenant.m_Served},
          {"cap_reached", Tenant.m_CapReached},
          {"cap_unknown", Tenant.m_CapUnknown},
          {"refused_for_room", Tenant.m_RefusedForRoom},
          {"cap_in_use", Tenant.m_CapInUse}};
}

json memberJson(const kernel::MemberStatus &Member) {
  return {{"name", Member.m_Name},
          {"data_center", Member.m_DataCenter},
          {"alive", Member.m_Alive},
          {"state", stateName(Member.m_State)},
          {"silent_ms", toMillis(Member.m_SilentFor)},
          {"versions", versionsJson(Member.m_Versions)}};
}

json probeBudgetJson(const kernel::ProbeBudgetStatus &Budget) {
  return {{"service", Budget.m_Service},
          {"part_per_second", Budget.m_Part},
          {"tokens", Budget.m_Tokens},
          {"requests_per_second", Budget.m_Demand},
          {"token_requests", Budget.m_Moved.m_Requests},
          {"tokens_received", Budget.m_Moved.m_Received},
          {"tokens_given", Budget.m_Moved.m_Given}};
}

template <typename Value>
json listJson(const std::vector<Value> &Items, json (*Convert)(const Value &)) {
  json Out = json::array();
  for (const auto &Item : Items) {
    Out.push_back(Convert(Item));
  }
  return Out;
}

} // namespace

std::string statusJson(const kernel::NodeStatus &Status) {
  constexpr int Indent = 2;
  const json Out{{"name", Status.m_Name},
                 {"state", stateName(Status.m_State)},
                 {"lease", Status.m_HasLease},
                 {"versions", versionsJson(Status.m_Versions)},
                 {"in_flight", Status.m_InFlight},
                 {"queued", Status.m_Queued},
                 {"keys", Status.m_Keys},
                 {"peer_messages_sent", Status.m_PeerMessagesSent},
                 {"evacuated", listJson(Status.m_Evacuated, evacuationJson)},
                 {"probe_budgets", listJson(Status.m_ProbeBudgets, probeBudgetJson)},
                 {"tenants", listJson(Status.m_Tenants, tenantJson)},
                 {"kinds", listJson(Status.m_Kinds, kindJson)},
                 {"servers", listJson(Status.m_Servers, serverJson)},
                 {"members", listJson(Status.m_Members, memberJson)}};
  return Out.dump(Indent) + "\n";
}

} // namespace vanillahill::net
