#include "vanillahill/observe/detail/status_metrics.hpp"

#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <tuple>

namespace vanillahill::observe {

namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

using Labels = std::vector<ClientMetric::Label>;

/// Builds one family of counters or gauges.
class FamilyBuilder {
public:
  FamilyBuilder(const char *Name, const char *Help, MetricType Type) {
    m_Family.name = Name;
    m_Family.help = Help;
    m_Family.type = Type;
  }

  void add(Labels LabelSet, double Value) {
    ClientMetric Metric;
    Metric.label = std::move(LabelSet);
    Metric.counter.value = Value;
    Metric.gauge.value = Value;
    m_Family.metric.push_back(std::move(Metric));
  }

  void appendTo(Families &Out) {
    if (!m_Family.metric.empty()) {
      Out.push_back(std::move(m_Family));
    }
  }

private:
  MetricFamily m_Family;
};

void appendSingle(const char *Name, const char *Help, MetricType Type, double Value,
                  Families &Out) {
  FamilyBuilder Family(Name, Help, Type);
  Family.add({}, Value);
  Family.appendTo(Out);
}

void appendKindCounts(KindSpan Kinds, Families &Out) {
  FamilyBuilder Arrived("vanillahill_requests_total", "Requests that arrived whole",
                        MetricType::Counter);
  FamilyBuilder Completed("vanillahill_completed_total", "Requests answered by a backend server",
                          MetricType::Counter);
  for (const auto *Kind : Kinds) {
    Arrived.add({{"kind", Kind->m_Name}}, static_cast<double>(Kind->m_Arrived));
    Completed.add({{"kind", Kind->m_Name}}, static_cast<double>(Kind->m_Completed));
  }
  Arrived.appendTo(Out);
  Completed.appendTo(Out);
}

/// Adds the counters of one kind that are not zero, by reason.
template <typename Enum, std::size_t Count>
void addReasons(const std::string &KindName, const std::array<std::uint64_t, Count> &Counters,
                FamilyBuilder &Family) {
  for (std::size_t Index = 0; Index < Count; ++Index) {
    if (Counters[Index] > 0) {
      Family.add({{"kind", KindName}, {"reason", std::string(toString(static_cast<Enum>(Index)))}},
                 static_cast<double>(Counters[Index]));
    }
  }
}

void appendReasons(KindSpan Kinds, Families &Out) {
  FamilyBuilder NotRun("vanillahill_refused_total", "Requests refused and not run",
                       MetricType::Counter);
  FamilyBuilder Unknown("vanillahill_unknown_total", "Requests whose outcome is not known",
                        MetricType::Counter);
  FamilyBuilder Retries("vanillahill_retries_total", "Attempts that followed another one",
                        MetricType::Counter);
  for (const auto *Kind : Kinds) {
    addReasons<kernel::Reason>(Kind->m_Name, Kind->m_NotRun, NotRun);
    addReasons<kernel::Reason>(Kind->m_Name, Kind->m_Unknown, Unknown);
    addReasons<kernel::RetryReason>(Kind->m_Name, Kind->m_Retries, Retries);
  }
  NotRun.appendTo(Out);
  Unknown.appendTo(Out);
  Retries.appendTo(Out);
}

void appendServers(const kernel::NodeStatus &Status, Families &Out) {
  FamilyBuilder InFlight("vanillahill_server_in_flight", "Attempts running at a backend server",
                         MetricType::Gauge);
  FamilyBuilder Ejected("vanillahill_server_ejected", "1 while a backend server is not used",
                        MetricType::Gauge);
  FamilyBuilder Leaving("vanillahill_server_leaving", "1 while a backend server is leaving",
                        MetricType::Gauge);
  FamilyBuilder SaidLeaving("vanillahill_server_said_leaving_total",
                            "Backend servers whose replies said that they are leaving",
                            MetricType::Counter);
  FamilyBuilder Paused("vanillahill_server_paused", "1 while a backend server wants no request",
                       MetricType::Gauge);
  FamilyBuilder Pauses("vanillahill_server_pauses_total", "Pauses asked for by a backend server",
                       MetricType::Counter);
  FamilyBuilder Limit("vanillahill_server_limit_per_second",
                      "Requests per second that a backend server takes from all VMs together",
                      MetricType::Gauge);
  FamilyBuilder Share("vanillahill_server_limit_share_per_second",
                      "Requests per second that this VM may send to a limited backend server",
                      MetricType::Gauge);
  FamilyBuilder Cold("vanillahill_server_cold", "1 while a backend server is cold",
                     MetricType::Gauge);
  FamilyBuilder ColdShare("vanillahill_server_cold_share_per_second",
                          "Requests per second that this VM may send to a cold backend server",
                          MetricType::Gauge);
  FamilyBuilder Probes("vanillahill_server_measuring_requests_total",
                       "Measuring requests to a backend server", MetricType::Counter);
  for (const auto &Server : Status.m_Servers) {
    const Labels LabelSet{{"server", Server.m_Name}};
    InFlight.add(LabelSet, Server.m_InFlight);
    Ejected.add(LabelSet, Server.m_Ejected ? 1 : 0);
    Leaving.add(LabelSet, Server.m_Leaving ? 1 : 0);
    SaidLeaving.add(LabelSet, Server.m_SaidLeaving ? 1 : 0);
    Paused.add(LabelSet, Server.m_PauseLeft > Duration::zero() ? 1 : 0);
    Pauses.add(LabelSet, static_cast<double>(Server.m_Pauses));
    if (Server.m_RequestLimit) {
      Limit.add(LabelSet, *Server.m_RequestLimit);
      Share.add(LabelSet, Server.m_LimitShare.value_or(0.0));
    }
    if (Server.m_ColdLeft > Duration::zero()) {
      Cold.add(LabelSet, 1);
      ColdShare.add(LabelSet, Server.m_ColdShare);
    }
    Probes.add(LabelSet, static_cast<double>(Server.m_Probes));
  }
  InFlight.appendTo(Out);
  Ejected.appendTo(Out);
  Leaving.appendTo(Out);
  SaidLeaving.appendTo(Out);
  Paused.appendTo(Out);
  Pauses.appendTo(Out);
  Limit.appendTo(Out);
  Share.appendTo(Out);
  Cold.appendTo(Out);
  ColdShare.appendTo(Out);
  Probes.appendTo(Out);
}

void appendProbeBudgets(const kernel::NodeStatus &Status, Families &Out) {
  FamilyBuilder Part("vanillahill_probe_budget_part_per_second",
                     "Measuring requests per second in this VM's equal part of a service's budget",
                     MetricType::Gauge);
  FamilyBuilder Tokens("vanillahill_probe_budget_tokens",
                       "Measuring requests that this VM may send now", MetricType::Gauge);
  FamilyBuilder Demand("vanillahill_service_requests_per_second",
                       "Requests per second that arrive at this VM for a service",
                       MetricType::Gauge);
  FamilyBuilder Requests("vanillahill_probe_budget_requests_total",
                         "Requests to other VMs for a part of their budget", MetricType::Counter);
  FamilyBuilder Received("vanillahill_probe_budget_received_total",
                         "Measuring requests that other VMs gave to this VM", MetricType::Counter);
  FamilyBuilder Given("vanillahill_probe_budget_given_total",
                      "Measuring requests that this VM gave to others", MetricType::Counter);
  for (const auto &Budget : Status.m_ProbeBudgets) {
    const Labels LabelSet{{"service", Budget.m_Service}};
    Part.add(LabelSet, Budget.m_Part);
    Tokens.add(LabelSet, Budget.m_Tokens);
    Demand.add(LabelSet, Budget.m_Demand);
    Requests.add(LabelSet, static_cast<double>(Budget.m_Moved.m_Requests));
    Received.add(LabelSet, static_cast<double>(Budget.m_Moved.m_Received));
    Given.add(LabelSet, static_cast<double>(Budget.m_Moved.m_Given));
  }
  for (FamilyBuilder *Each : {&Part, &Tokens, &Demand, &Requests, &Received, &Given}) {
    Each->appendTo(Out);
  }
}

void appendEvacuations(const kernel::NodeStatus &Status, Families &Out) {
  FamilyBuilder Evacuated("vanillahill_data_center_evacuated_seconds",
                          "Time since this VM first knew that a data centre is evacuated",
                          MetricType::Gauge);
  for (const auto &Each : Status.m_Evacuated) {
    Evacuated.add({{"data_center", Each.m_DataCenter}},
                  std::chrono::duration<double>(Each.m_For).count());
  }
  Evacuated.appendTo(Out);
}

void appendTenants(const kernel::NodeStatus &Status, Families &Out) {
  FamilyBuilder Arrived("vanillahill_tenant_requests_total", "Requests of a tenant",
                        MetricType::Counter);
  FamilyBuilder Served("vanillahill_tenant_served_total",
                       "Requests of a tenant that were completed", MetricType::Counter);
  FamilyBuilder Refused("vanillahill_tenant_refused_total",
                        "Requests of a tenant that were refused and not run", MetricType::Counter);
  FamilyBuilder InUse("vanillahill_tenant_cap_in_use",
                      "Share of a tenant's usage cap in use, at the VM that counts its requests",
                      MetricType::Gauge);
  for (const auto &Tenant : Status.m_Tenants) {
    const Labels LabelSet{{"tenant", Tenant.m_Name}};
    Arrived.add(LabelSet, static_cast<double>(Tenant.m_Requests));
    Served.add(LabelSet, static_cast<double>(Tenant.m_Served));
    const auto AddRefused = [&](const char *Why, std::uint64_t Count) {
      if (Count > 0) {
        Refused.add({{"tenant", Tenant.m_Name}, {"reason", Why}}, static_cast<double>(Count));
      }
    };
    AddRefused("cap_reached", Tenant.m_CapReached);
    AddRefused("cap_unknown", Tenant.m_CapUnknown);
    AddRefused("room", Tenant.m_RefusedForRoom);
    if (Tenant.m_CapInUse > 0.0) {
      InUse.add(LabelSet, Tenant.m_CapInUse);
    }
  }
  Arrived.appendTo(Out);
  Served.appendTo(Out);
  Refused.appendTo(Out);
  InUse.appendTo(Out);
}

void appendMembers(const kernel::NodeStatus &Status, Families &Out) {
  FamilyBuilder Alive("vanillahill_member_alive", "1 while another VM answers heartbeats",
                      MetricType::Gauge);
  for (const auto &Member : Status.m_Members) {
    Alive.add({{"vm", Member.m_Name}}, Member.m_Alive ? 1 : 0);
  }
  Alive.appendTo(Out);
  FamilyBuilder Versions("vanillahill_configuration_version", "Version in force of a file",
                         MetricType::Gauge);
  for (const auto &File : Status.m_Versions) {
    Versions.add({{"file", File.m_File}}, static_cast<double>(File.m_Version));
  }
  Versions.appendTo(Out);
}

void appendLinks(const peer::LinkCounters &Links, Families &Out) {
  appendSingle("vanillahill_peer_sent_bytes_total", "Control bytes sent to other VMs",
               MetricType::Counter, static_cast<double>(Links.m_BytesOut), Out);
  appendSingle("vanillahill_peer_received_bytes_total", "Control bytes received from other VMs",
               MetricType::Counter, static_cast<double>(Links.m_BytesIn), Out);
  appendSingle("vanillahill_peer_links", "Connections to other VMs", MetricType::Gauge,
               static_cast<double>(Links.m_Open), Out);
  FamilyBuilder Faults("vanillahill_peer_faults_total", "Faults of connections to other VMs",
                       MetricType::Counter);
  Faults.add({{"reason", "malformed"}}, static_cast<double>(Links.m_Malformed));
  Faults.add({{"reason", "unknown_type"}}, static_cast<double>(Links.m_UnknownTypes));
  Faults.add({{"reason", "reconnect"}}, static_cast<double>(Links.m_Reconnects));
  Faults.add({{"reason", "dropped"}}, static_cast<double>(Links.m_Dropped));
  Faults.add({{"reason", "unsent"}}, static_cast<double>(Links.m_Unsent));
  Faults.add({{"reason", "wrong_token"}}, static_cast<double>(Links.m_Refused));
  Faults.appendTo(Out);
}

double processorSeconds() {
  constexpr double MicrosPerSecond = 1e6;
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  const auto Seconds = Usage.ru_utime.tv_sec + Usage.ru_stime.tv_sec;
  const auto Micros = Usage.ru_utime.tv_usec + Usage.ru_stime.tv_usec;
  return static_cast<double>(Seconds) + static_cast<double>(Micros) / MicrosPerSecond;
}

double residentBytes() {
  std::ifstream Pages("/proc/self/statm");
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  Pages >> Total >> Resident;
  return static_cast<double>(Resident) * static_cast<double>(sysconf(_SC_PAGESIZE));
}

} // namespace

std::vector<const kernel::KindCounters *> mostUsedKinds(const kernel::NodeStatus &Status) {
  std::vector<const kernel::KindCounters *> Kinds;
  for (const auto &Kind : Status.m_Kinds) {
    if (Kind.isUsed()) {
      Kinds.push_back(&Kind);
    }
  }
  if (Kinds.size() > MaxExportedKinds) {
    const auto End = Kinds.begin() + MaxExportedKinds;
    std::nth_element(Kinds.begin(), End, Kinds.end(), [](const auto *Left, const auto *Right) {
      return std::tie(Right->m_Arrived, Left->m_Name) < std::tie(Left->m_Arrived, Right->m_Name);
    });
    Kinds.erase(End, Kinds.end());
  }
  return Kinds;
}

void appendStatusMetrics(const kernel::NodeStatus &Status, KindSpan Kinds, Families &Out) {
  appendKindCounts(Kinds, Out);
  appendReasons(Kinds, Out);
  const auto UsedKinds = std::count_if(Status.m_Kinds.begin(), Status.m_Kinds.end(),
                                       [](const auto &Kind) { return Kind.isUsed(); });
  appendSingle("vanillahill_kinds_left_out", "Kinds with requests, but without series of their own",
               MetricType::Gauge,
               static_cast<double>(UsedKinds) - static_cast<double>(Kinds.size()), Out);
  appendServers(Status, Out);
  appendProbeBudgets(Status, Out);
  appendEvacuations(Status, Out);
  appendTenants(Status, Out);
  appendMembers(Status, Out);
  appendSingle("vanillahill_lease_held", "1 while this VM holds a membership lease",
               MetricType::Gauge, Status.m_HasLease ? 1 : 0, Out);
  appendSingle("vanillahill_in_flight", "Requests with an attempt running", MetricType::Gauge,
               static_cast<double>(Status.m_InFlight), Out);
  appendSingle("vanillahill_queued", "Requests that wait for a slot", MetricType::Gauge,
               static_cast<double>(Status.m_Queued), Out);
  appendSingle("vanillahill_idempotency_keys", "Idempotency keys kept", MetricType::Gauge,
               static_cast<double>(Status.m_Keys), Out);
  appendSingle("vanillahill_poison_requests", "Requests held back as servers crashed under them",
               MetricType::Gauge, static_cast<double>(Status.m_PoisonRequests), Out);
  appendSingle("vanillahill_peer_messages_total", "Messages sent to other VMs", MetricType::Counter,
               static_cast<double>(Status.m_PeerMessagesSent), Out);
}

void appendProcessMetrics(const Gauges &Present, Families &Out) {
  appendSingle("vanillahill_caller_connections", "Connections of callers", MetricType::Gauge,
               static_cast<double>(Present.m_CallerConnections), Out);
  appendSingle("vanillahill_backend_connections", "Connections to backend servers",
               MetricType::Gauge, static_cast<double>(Present.m_BackendConnections), Out);
  if (Present.m_ConfigurationAge) {
    appendSingle("vanillahill_configuration_age_seconds",
                 "Time since the configuration was last known to be current", MetricType::Gauge,
                 std::chrono::duration<double>(*Present.m_ConfigurationAge).count(), Out);
  }
  appendLinks(Present.m_Links, Out);
  appendSingle("process_cpu_seconds_total", "Processor time of this process", MetricType::Counter,
               processorSeconds(), Out);
  appendSingle("process_resident_memory_bytes", "Resident memory of this process",
               MetricType::Gauge, residentBytes(), Out);
}

} // namespace vanillahill::observe
