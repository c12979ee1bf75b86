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
constexpr NumberRange MeasuringRange{
    .m_Min = 0, .m_Max = 1000, .m_Unit = "requests per backend server and second"};
constexpr NumberRange RetryRange{.m_Min = 0, .m_Max = 1, .m_Unit = "share of first attempts"};
constexpr NumberRange HedgeRange{
    .m_Min = 0, .m_Max = 100, .m_Unit = "multiple of the usual time, 0 for none"};
constexpr IntegerRange QueueRange{.m_Min = 0, .m_Max = 1'000'000, .m_Unit = "requests"};
constexpr IntegerRange HeaderRange{.m_Min = 256, .m_Max = 65'536, .m_Unit = "bytes"};
constexpr IntegerRange BodyRange{.m_Min = 0, .m_Max = 64U << 20U, .m_Unit = "bytes"};
constexpr IntegerRange CallerConnectionRange{
    .m_Min = 1, .m_Max = 1'000'000, .m_Unit = "connections"};
constexpr IntegerRange TimeoutRange{.m_Min = 10, .m_Max = 600'000, .m_Unit = "ms"};
constexpr IntegerRange RepeatRange{.m_Min = 1000, .m_Max = MillisPerDay, .m_Unit = "ms"};
constexpr IntegerRange KeyRange{.m_Min = 1, .m_Max = 10'000'000, .m_Unit = "keys"};
constexpr IntegerRange AnswerRange{.m_Min = 1024, .m_Max = 1U << 30U, .m_Unit = "bytes"};
constexpr IntegerRange QueryRange{.m_Min = 1, .m_Max = 60'000, .m_Unit = "ms"};
constexpr IntegerRange VmRange{.m_Min = 1, .m_Max = 1024, .m_Unit = "VMs"};
constexpr IntegerRange HeartbeatRange{.m_Min = 10, .m_Max = 10'000, .m_Unit = "ms"};
constexpr IntegerRange LeaseRange{.m_Min = 30, .m_Max = 60'000, .m_Unit = "ms"};
constexpr IntegerRange MarginRange{.m_Min = 10, .m_Max = 60'000, .m_Unit = "ms"};
constexpr IntegerRange RetentionRange{.m_Min = 60'000, .m_Max = 366 * MillisPerDay, .m_Unit = "ms"};

/// Heartbeats that may be lost in a row before a lease ends, plus one.
constexpr int HeartbeatsPerLease = 3;

/// Reports names of one class that hash to one id.
template <typename Id> class IdTable {
public:
  void add(Id Value, const std::string &Name, const Pointer &At, Report &Out) {
    const auto [Entry, Added] = m_Names.emplace(Value, Name);
    if (!Added) {
      Out.add(Errc::SettingsConflict, At, fmt::format("\"{}\"", Name),
              fmt::format("a name whose id differs from that of \"{}\"", Entry->second));
    }
  }

private:
  std::map<Id, std::string> m_Names;
};

class SiteReader {
public:
  SiteReader(const CheckOptions &Options, Report &Out) : m_Options(Options), m_Out(Out) {}

  SiteSettings read(const Json &Merged) {
    m_Result.m_Site = m_Options.m_Site;
    ObjectReader Reader(Merged, Pointer(), m_Out);
    readDataCenters(Reader);
    readServices(Reader);
    readCallers(Reader);
    readIdempotency(Reader);
    readMembership(Reader);
    readLog(Reader);
    Reader.finish();
    checkConnectionShares();
    return std::move(m_Result);
  }

private:
  void readDataCenters(ObjectReader &Reader) {
    constexpr const char *Allowed = "list of at least one data centre name";
    Reader.require("data_centers", Allowed);
    const Json *List = Reader.field("data_centers");
    if (List == nullptr) {
      return;
    }
    const Pointer At = Reader.at("data_centers");
    if (!List->is_array()) {
      m_Out.add(Errc::SettingsWrongType, At, shown(*List), Allowed);
      return;
    }
    if (List->empty()) {
      m_Out.add(Errc::SettingsConflict, At, "[]", Allowed);
    }
    for (std::size_t Index = 0; Index < List->size(); ++Index) {
      readDataCenter((*List)[Index], At / Index);
    }
  }

  void readDataCenter(const Json &Value, const Pointer &At) {
    if (!Value.is_string()) {
      m_Out.add(Errc::SettingsWrongType, At, shown(Value), NameRule);
      return;
    }
    const auto &Name = Value.get_ref<const std::string &>();
    if (!isName(Name)) {
      m_Out.add(Errc::SettingsOutOfRange, At, shown(Value), NameRule);
      return;
    }
    auto &Known = m_Result.m_DataCenters;
    if (std::find(Known.begin(), Known.end(), Name) != Known.end()) {
      m_Out.add(Errc::SettingsConflict, At, shown(Value), "each data centre once");
      return;
    }
    Known.push_back(Name);
  }

  /// Calls Each(name, value, pointer) for every entry of an object of named things.
  template <typename Function>
  void eachNamed(ObjectReader &Reader, const char *Name, const char *Allowed, Function Each) {
    Reader.require(Name, Allowed);
    const Json *Group = Reader.field(Name);
    if (Group == nullptr) {
      return;
    }
    const Pointer At = Reader.at(Name);
    if (!Group->is_object()) {
      m_Out.add(Errc::SettingsWrongType, At, shown(*Group), Allowed);
      return;
    }
    if (Group->empty()) {
      m_Out.add(Errc::SettingsConflict, At, "{}", Allowed);
    }
    for (const auto &[Key, Value] : Group->items()) {
      const Pointer EntryAt = At / Key;
      if (!isName(Key)) {
        m_Out.add(Errc::SettingsOutOfRange, EntryAt, fmt::format("name \"{}\"", Key), NameRule);
      }
      Each(Key, Value, EntryAt);
    }
  }

  void readServices(ObjectReader &Reader) {
    eachNamed(Reader, "services", "object of at least one service by name",
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
    eachNamed(Reader, "kinds", "object of at least one kind by name",
              [&](const std::string &Kind, const Json &Entry, const Pointer &EntryAt) {
                Service.m_Kinds.push_back(readKind(Name, Kind, Entry, EntryAt));
              });
    eachNamed(Reader, "servers", "object of at least one backend server by name",
              [&](const std::string &Server, const Json &Entry, const Pointer &EntryAt) {
                Service.m_Servers.push_back(readServer(Name, Server, Entry, EntryAt));
              });
    readPolicy(Reader, Service.m_Policy);
    Reader.finish();
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
    Reader.number("weight", Kind.m_Weight, WeightRange);
    Reader.require("deadline_ms", "whole number from 1 to 600000 (ms)");
    Reader.millis("deadline_ms", Kind.m_Deadline, DeadlineRange);
    Reader.require("idempotent", "true or false");
    Reader.boolean("idempotent", Kind.m_Idempotent);
    Reader.finish();
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
    Reader.require("address", AddressRule);
    Reader.text("address", Server.m_Address, isAddress, AddressRule);
    Reader.require("data_center", NameRule);
    Reader.text("data_center", Server.m_DataCenter, isName, NameRule);
    Reader.require("slots", "whole number from 1 to 1024 (requests)");
    Reader.integer("slots", Server.m_Slots, SlotRange);
    Reader.integer("max_connections", Server.m_MaxConnections, ConnectionRange);
    Reader.boolean("leaving", Server.m_Leaving);
    Reader.finish();
    checkServer(Server, FullName, At);
    return Server;
  }

  void checkServer(const ServerSettings &Server, const std::string &FullName, const Pointer &At) {
    const auto &Known = m_Result.m_DataCenters;
    const bool Listed = std::find(Known.begin(), Known.end(), Server.m_DataCenter) != Known.end();
    if (!Server.m_DataCenter.empty() && !Listed) {
      m_Out.add(Errc::SettingsConflict, At / std::string("data_center"),
                fmt::format("\"{}\"", Server.m_DataCenter),
                fmt::format("one of /data_centers: {}", fmt::join(Known, ", ")));
    }
    if (Server.m_Address.empty()) {
      return;
    }
    const auto [Entry, Added] = m_Addresses.emplace(Server.m_Address, FullName);
    if (!Added) {
      m_Out.add(Errc::SettingsConflict, At / std::string("address"),
                fmt::format("\"{}\"", Server.m_Address),
                fmt::format("an address that \"{}\" does not have", Entry->second));
    }
  }

  void readPolicy(ObjectReader &Service, PolicySettings &Policy) {
    const Json *Value = Service.field("policy");
    if (Value == nullptr) {
      return;
    }
    ObjectReader Reader(*Value, Service.at("policy"), m_Out);
    Reader.word("name", Policy.m_Name, m_Options.m_Policies);
    Reader.number("measuring_budget", Policy.m_MeasuringBudget, MeasuringRange);
    Reader.number("retry_ratio", Policy.m_RetryRatio, RetryRange);
    Reader.number("hedge_factor", Policy.m_HedgeFactor, HedgeRange);
    Reader.integer("queue_limit", Policy.m_QueueLimit, QueueRange);
    Reader.finish();
  }

  void readCallers(ObjectReader &Site) {
    const Json *Value = Site.field("callers");
    if (Value == nullptr) {
      return;
    }
    ObjectReader Reader(*Value, Site.at("callers"), m_Out);
    CallerLimits &Callers = m_Result.m_Callers;
    Reader.integer("header_bytes", Callers.m_HeaderBytes, HeaderRange);
    Reader.integer("body_bytes", Callers.m_BodyBytes, BodyRange);
    Reader.integer("connections", Callers.m_Connections, CallerConnectionRange);
    Reader.millis("timeout_ms", Callers.m_Timeout, TimeoutRange);
    Reader.finish();
  }

  void readIdempotency(ObjectReader &Site) {
    const Json *Value = Site.field("idempotency");
    if (Value == nullptr) {
      return;
    }
    ObjectReader Reader(*Value, Site.at("idempotency"), m_Out);
    IdempotencySettings &Keys = m_Result.m_Idempotency;
    Reader.millis("repeat_window_ms", Keys.m_RepeatWindow, RepeatRange);
    Reader.integer("max_keys", Keys.m_MaxKeys, KeyRange);
    Reader.integer("max_answer_bytes", Keys.m_MaxAnswerBytes, AnswerRange);
    Reader.millis("query_timeout_ms", Keys.m_QueryTimeout, QueryRange);
    Reader.finish();
  }

  void readMembership(ObjectReader &Site) {
    const Json *Value = Site.field("membership");
    if (Value == nullptr) {
      return;
    }
    const Pointer At = Site.at("membership");
    ObjectReader Reader(*Value, At, m_Out);
    MembershipSettings &Members = m_Result.m_Membership;
    Reader.integer("max_vms", Members.m_MaxVms, VmRange);
    Reader.millis("heartbeat_period_ms", Members.m_HeartbeatPeriod, HeartbeatRange);
    Reader.millis("lease_ms", Members.m_Lease, LeaseRange);
    Reader.millis("lease_margin_ms", Members.m_LeaseMargin, MarginRange);
    Reader.finish();
    const Duration ShortestLease = HeartbeatsPerLease * Members.m_HeartbeatPeriod;
    if (Members.m_Lease < ShortestLease) {
      m_Out.add(Errc::SettingsConflict, At / std::string("lease_ms"),
                fmt::format("{}", toMillis(Members.m_Lease)),
                fmt::format("at least {} (ms), which is {} heartbeat periods",
                            toMillis(ShortestLease), HeartbeatsPerLease));
    }
  }

  void readLog(ObjectReader &Site) {
    const Json *Value = Site.field("log");
    if (Value == nullptr) {
      return;
    }
    ObjectReader Reader(*Value, Site.at("log"), m_Out);
    Reader.millis("retention_ms", m_Result.m_Log.m_Retention, RetentionRange);
    Reader.finish();
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
        m_Out.add(Errc::SettingsConflict, At, fmt::format("{}", Server.m_MaxConnections),
                  fmt::format("at least /membership/max_vms, {}", MaxVms));
      }
    }
  }

  const CheckOptions &m_Options;
  Report &m_Out;
  SiteSettings m_Result;
  IdTable<ServiceId> m_ServiceIds;
  IdTable<KindId> m_KindIds;
  IdTable<ServerId> m_ServerIds;
  std::map<std::string, std::string> m_Addresses;
};

} // namespace

SiteSettings readSite(const Json &Merged, const CheckOptions &Options, Report &Out) {
  return SiteReader(Options, Out).read(Merged);
}

} // namespace vanillahill::settings
