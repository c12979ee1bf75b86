#include "site_reader.hpp"

#include "text_rules.hpp"

#include <algorithm>
#include <map>
#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

namespace vanillahill::settings {

namespace {

using Json = nlohmann::json;
using Pointer = Json::json_pointer;

constexpr std::uint64_t MillisPerHour = 3'600'000;
constexpr std::uint64_t MillisPerDay = 24 * MillisPerHour;

constexpr IntegerRange DeadlineRange{.m_Min = 1, .m_Max = 600'000, .m_Unit = "ms"};
constexpr NumberRange WeightRange{.m_Min = 0.001, .m_Max = 1'000'000, .m_Unit = ""};
constexpr IntegerRange SlotRange{.m_Min = 1, .m_Max = 1024, .m_Unit = "requests"};
constexpr IntegerRange ConnectionRange{.m_Min = 1, .m_Max = 65'535, .m_Unit = "connections"};
constexpr NumberRange MeasuringBudgetRange{
    .m_Min = 0, .m_Max = 1000, .m_Unit = "requests per backend server and second"};
constexpr NumberRange RetryRatioRange{.m_Min = 0, .m_Max = 1, .m_Unit = "share of first attempts"};
constexpr NumberRange HedgeFactorRange{
    .m_Min = 0, .m_Max = 100, .m_Unit = "multiple of the usual time, 0 for none"};
constexpr IntegerRange QueueLimitRange{.m_Min = 0, .m_Max = 1'000'000, .m_Unit = "requests"};
constexpr IntegerRange HeaderBytesRange{.m_Min = 256, .m_Max = 65'536, .m_Unit = "bytes"};
constexpr IntegerRange BodyBytesRange{.m_Min = 0, .m_Max = 64U << 20U, .m_Unit = "bytes"};
constexpr IntegerRange CallerConnectionRange{
    .m_Min = 1, .m_Max = 1'000'000, .m_Unit = "connections"};
constexpr IntegerRange TimeoutRange{.m_Min = 10, .m_Max = 600'000, .m_Unit = "ms"};
constexpr IntegerRange RepeatWindowRange{.m_Min = 1000, .m_Max = MillisPerDay, .m_Unit = "ms"};
constexpr IntegerRange MaxKeysRange{.m_Min = 1, .m_Max = 10'000'000, .m_Unit = "keys"};
constexpr IntegerRange MaxAnswerBytesRange{.m_Min = 1024, .m_Max = 1U << 30U, .m_Unit = "bytes"};
constexpr IntegerRange QueryTimeoutRange{.m_Min = 1, .m_Max = 60'000, .m_Unit = "ms"};
constexpr IntegerRange MaxVmsRange{.m_Min = 1, .m_Max = 1024, .m_Unit = "VMs"};
constexpr IntegerRange HeartbeatPeriodRange{.m_Min = 10, .m_Max = 10'000, .m_Unit = "ms"};
constexpr IntegerRange LeaseRange{.m_Min = 30, .m_Max = 60'000, .m_Unit = "ms"};
constexpr IntegerRange LeaseMarginRange{.m_Min = 10, .m_Max = 60'000, .m_Unit = "ms"};
constexpr IntegerRange RetentionRange{.m_Min = 60'000, .m_Max = 366 * MillisPerDay, .m_Unit = "ms"};

/// Minimum lease in heartbeat periods: one more than the heartbeats in a row that may be lost.
constexpr int MinHeartbeatsPerLease = 3;

/// Ids of one class of names. Reports two names that hash to the same id.
template <typename Id> class IdTable {
public:
  void add(Id Value, const std::string &Name, const Pointer &At, ProblemCollector &Out) {
    const auto [Entry, Added] = m_Names.emplace(Value, Name);
    if (!Added) {
      Out.addProblem(Errc::SettingsConflict, At, fmt::format("\"{}\"", Name),
                     fmt::format("a name whose id differs from that of \"{}\"", Entry->second));
    }
  }

private:
  std::map<Id, std::string> m_Names;
};

class SiteReader {
public:
  SiteReader(const CheckOptions &Options, ProblemCollector &Out) : m_Options(Options), m_Out(Out) {}

  SiteSettings read(const Json &Merged) {
    m_Result.m_Site = m_Options.m_Site;
    ObjectReader Reader(Merged, Pointer(), m_Out);
    readDataCenters(Reader);
    readServices(Reader);
    readCallers(Reader);
    readIdempotency(Reader);
    readMembership(Reader);
    readLog(Reader);
    Reader.reportUnknownFields();
    checkConnectionShares();
    return std::move(m_Result);
  }

private:
  void readDataCenters(ObjectReader &Reader) {
    constexpr const char *Allowed = "list of at least one data centre name";
    Reader.requireField("data_centers", Allowed);
    const Json *List = Reader.findField("data_centers");
    if (List == nullptr) {
      return;
    }
    const Pointer At = Reader.pointerTo("data_centers");
    if (!List->is_array()) {
      m_Out.addProblem(Errc::SettingsWrongType, At, valueText(*List), Allowed);
      return;
    }
    if (List->empty()) {
      m_Out.addProblem(Errc::SettingsConflict, At, "[]", Allowed);
    }
    for (std::size_t Index = 0; Index < List->size(); ++Index) {
      readDataCenter((*List)[Index], At / Index);
    }
  }

  void readDataCenter(const Json &Value, const Pointer &At) {
    if (!Value.is_string()) {
      m_Out.addProblem(Errc::SettingsWrongType, At, valueText(Value), NameRule);
      return;
    }
    const auto &Name = Value.get_ref<const std::string &>();
    if (!isName(Name)) {
      m_Out.addProblem(Errc::SettingsOutOfRange, At, valueText(Value), NameRule);
      return;
    }
    auto &Known = m_Result.m_DataCenters;
    if (std::find(Known.begin(), Known.end(), Name) != Known.end()) {
      m_Out.addProblem(Errc::SettingsConflict, At, valueText(Value), "each data centre once");
      return;
    }
    Known.push_back(Name);
  }

  /// Calls Visit(name, value, pointer) for every entry of an object that maps names to values.
  template <typename Function>
  void forEachNamed(ObjectReader &Reader, const char *Name, const char *Allowed, Function Visit) {
    Reader.requireField(Name, Allowed);
    const Json *Group = Reader.findField(Name);
    if (Group == nullptr) {
      return;
    }
    const Pointer At = Reader.pointerTo(Name);
    if (!Group->is_object()) {
      m_Out.addProblem(Errc::SettingsWrongType, At, valueText(*Group), Allowed);
      return;
    }
    if (Group->empty()) {
      m_Out.addProblem(Errc::SettingsConflict, At, "{}", Allowed);
    }
    for (const auto &[Key, Value] : Group->items()) {
      const Pointer EntryAt = At / Key;
      if (!isName(Key)) {
        m_Out.addProblem(Errc::SettingsOutOfRange, EntryAt, fmt::format("name \"{}\"", Key),
                         NameRule);
      }
      Visit(Key, Value, EntryAt);
    }
  }

  void readServices(ObjectReader &Reader) {
    forEachNamed(Reader, "services", "object of at least one service by name",
                 [this](const std::string &Name, const Json &Value, const Pointer &At) {
                   readService(Name, Value, At);
                 });
  }

  void readService(const std::string &Name, const Json &Value, const Pointer &At) {
    ServiceSettings Service;
    Service.m_Name = Name;
    Service.m_Id = idOf<ServiceId>(Name);
    m_ServiceIds.add(Service.m_Id, Name, At, m_Out);
    ObjectReader Reader(Value, At, m_Out);
    forEachNamed(Reader, "kinds", "object of at least one kind by name",
                 [&](const std::string &Kind, const Json &Entry, const Pointer &EntryAt) {
                   Service.m_Kinds.push_back(readKind(Name, Kind, Entry, EntryAt));
                 });
    forEachNamed(Reader, "servers", "object of at least one backend server by name",
                 [&](const std::string &Server, const Json &Entry, const Pointer &EntryAt) {
                   Service.m_Servers.push_back(readServer(Name, Server, Entry, EntryAt));
                 });
    readPolicy(Reader, Service.m_Policy);
    Reader.reportUnknownFields();
    m_Result.m_Services.push_back(std::move(Service));
  }

  KindSettings readKind(const std::string &Service, const std::string &Name, const Json &Value,
                        const Pointer &At) {
    KindSettings Kind;
    Kind.m_Name = Name;
    const std::string FullName = Service + '/' + Name;
    Kind.m_Id = idOf<KindId>(FullName);
    m_KindIds.add(Kind.m_Id, FullName, At, m_Out);
    ObjectReader Reader(Value, At, m_Out);
    Reader.readNumber("weight", Kind.m_Weight, WeightRange);
    Reader.requireField("deadline_ms", "whole number from 1 to 600000 (ms)");
    Reader.readMillis("deadline_ms", Kind.m_Deadline, DeadlineRange);
    Reader.requireField("idempotent", "true or false");
    Reader.readBoolean("idempotent", Kind.m_Idempotent);
    Reader.reportUnknownFields();
    return Kind;
  }

  ServerSettings readServer(const std::string &Service, const std::string &Name, const Json &Value,
                            const Pointer &At) {
    ServerSettings Server;
    Server.m_Name = Name;
    const std::string FullName = Service + '/' + Name;
    Server.m_Id = idOf<ServerId>(FullName);
    m_ServerIds.add(Server.m_Id, FullName, At, m_Out);
    ObjectReader Reader(Value, At, m_Out);
    Reader.requireField("address", AddressRule);
    Reader.readString("address", Server.m_Address, isAddress, AddressRule);
    Reader.requireField("data_center", NameRule);
    Reader.readString("data_center", Server.m_DataCenter, isName, NameRule);
    Reader.requireField("slots", "whole number from 1 to 1024 (requests)");
    Reader.readInteger("slots", Server.m_Slots, SlotRange);
    Reader.readInteger("max_connections", Server.m_MaxConnections, ConnectionRange);
    Reader.readBoolean("leaving", Server.m_Leaving);
    Reader.reportUnknownFields();
    checkServer(Server, FullName, At);
    return Server;
  }

  void checkServer(const ServerSettings &Server, const std::string &FullName, const Pointer &At) {
    const auto &Known = m_Result.m_DataCenters;
    const bool Listed = std::find(Known.begin(), Known.end(), Server.m_DataCenter) != Known.end();
    if (!Server.m_DataCenter.empty() && !Listed) {
      m_Out.addProblem(Errc::SettingsConflict, At / std::string("data_center"),
                       fmt::format("\"{}\"", Server.m_DataCenter),
                       fmt::format("one of /data_centers: {}", fmt::join(Known, ", ")));
    }
    if (Server.m_Address.empty()) {
      return;
    }
    const auto [Entry, Added] = m_Addresses.emplace(Server.m_Address, FullName);
    if (!Added) {
      m_Out.addProblem(Errc::SettingsConflict, At / std::string("address"),
                       fmt::format("\"{}\"", Server.m_Address),
                       fmt::format("an address that \"{}\" does not have", Entry->second));
    }
  }

  void readPolicy(ObjectReader &Service, PolicySettings &Policy) {
    const Json *Value = Service.findField("policy");
    if (Value == nullptr) {
      return;
    }
    ObjectReader Reader(*Value, Service.pointerTo("policy"), m_Out);
    Reader.readChoice("name", Policy.m_Name, m_Options.m_Policies);
    Reader.readNumber("measuring_budget", Policy.m_MeasuringBudget, MeasuringBudgetRange);
    Reader.readNumber("retry_ratio", Policy.m_RetryRatio, RetryRatioRange);
    Reader.readNumber("hedge_factor", Policy.m_HedgeFactor, HedgeFactorRange);
    Reader.readInteger("queue_limit", Policy.m_QueueLimit, QueueLimitRange);
    Reader.reportUnknownFields();
  }

  void readCallers(ObjectReader &Site) {
    const Json *Value = Site.findField("callers");
    if (Value == nullptr) {
      return;
    }
    ObjectReader Reader(*Value, Site.pointerTo("callers"), m_Out);
    CallerLimits &Callers = m_Result.m_Callers;
    Reader.readInteger("header_bytes", Callers.m_HeaderBytes, HeaderBytesRange);
    Reader.readInteger("body_bytes", Callers.m_BodyBytes, BodyBytesRange);
    Reader.readInteger("connections", Callers.m_Connections, CallerConnectionRange);
    Reader.readMillis("timeout_ms", Callers.m_Timeout, TimeoutRange);
    Reader.reportUnknownFields();
  }

  void readIdempotency(ObjectReader &Site) {
    const Json *Value = Site.findField("idempotency");
    if (Value == nullptr) {
      return;
    }
    ObjectReader Reader(*Value, Site.pointerTo("idempotency"), m_Out);
    IdempotencySettings &Keys = m_Result.m_Idempotency;
    Reader.readMillis("repeat_window_ms", Keys.m_RepeatWindow, RepeatWindowRange);
    Reader.readInteger("max_keys", Keys.m_MaxKeys, MaxKeysRange);
    Reader.readInteger("max_answer_bytes", Keys.m_MaxAnswerBytes, MaxAnswerBytesRange);
    Reader.readMillis("query_timeout_ms", Keys.m_QueryTimeout, QueryTimeoutRange);
    Reader.reportUnknownFields();
  }

  void readMembership(ObjectReader &Site) {
    const Json *Value = Site.findField("membership");
    if (Value == nullptr) {
      return;
    }
    const Pointer At = Site.pointerTo("membership");
    ObjectReader Reader(*Value, At, m_Out);
    MembershipSettings &Members = m_Result.m_Membership;
    Reader.readInteger("max_vms", Members.m_MaxVms, MaxVmsRange);
    Reader.readMillis("heartbeat_period_ms", Members.m_HeartbeatPeriod, HeartbeatPeriodRange);
    Reader.readMillis("lease_ms", Members.m_Lease, LeaseRange);
    Reader.readMillis("lease_margin_ms", Members.m_LeaseMargin, LeaseMarginRange);
    Reader.reportUnknownFields();
    const Duration MinLease = MinHeartbeatsPerLease * Members.m_HeartbeatPeriod;
    if (Members.m_Lease < MinLease) {
      m_Out.addProblem(Errc::SettingsConflict, At / std::string("lease_ms"),
                       fmt::format("{}", toMillis(Members.m_Lease)),
                       fmt::format("at least {} (ms), which is {} heartbeat periods",
                                   toMillis(MinLease), MinHeartbeatsPerLease));
    }
  }

  void readLog(ObjectReader &Site) {
    const Json *Value = Site.findField("log");
    if (Value == nullptr) {
      return;
    }
    ObjectReader Reader(*Value, Site.pointerTo("log"), m_Out);
    Reader.readMillis("retention_ms", m_Result.m_Log.m_Retention, RetentionRange);
    Reader.reportUnknownFields();
  }

  /// Each VM gets an equal share of a server's connections, at least one.
  void checkConnectionShares() {
    const std::uint32_t MaxVms = m_Result.m_Membership.m_MaxVms;
    for (const ServiceSettings &Service : m_Result.m_Services) {
      for (const ServerSettings &Server : Service.m_Servers) {
        if (Server.m_MaxConnections >= MaxVms) {
          continue;
        }
        const Pointer At = Pointer("/services") / Service.m_Name / std::string("servers") /
                           Server.m_Name / std::string("max_connections");
        m_Out.addProblem(Errc::SettingsConflict, At, fmt::format("{}", Server.m_MaxConnections),
                         fmt::format("at least /membership/max_vms, {}", MaxVms));
      }
    }
  }

  const CheckOptions &m_Options;
  ProblemCollector &m_Out;
  SiteSettings m_Result;
  IdTable<ServiceId> m_ServiceIds;
  IdTable<KindId> m_KindIds;
  IdTable<ServerId> m_ServerIds;
  std::map<std::string, std::string> m_Addresses;
};

} // namespace

SiteSettings readSite(const Json &Merged, const CheckOptions &Options, ProblemCollector &Out) {
  return SiteReader(Options, Out).read(Merged);
}

} // namespace vanillahill::settings
