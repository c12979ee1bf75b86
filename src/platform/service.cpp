#include "vanillahill/platform/service.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace vanillahill::platform {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t MaxWaitMillis = 60'000;
constexpr std::string_view VmPrefix = "/vms/";

std::string_view pathOf(std::string_view Target) { return Target.substr(0, Target.find('?')); }

/// The whole number of a query parameter; 0 when absent or not a number.
std::uint64_t parameter(std::string_view Target, std::string_view Name) {
  const std::size_t Mark = Target.find('?');
  std::string_view Query = Mark == std::string_view::npos ? "" : Target.substr(Mark + 1);
  while (!Query.empty()) {
    const std::size_t End = std::min(Query.find('&'), Query.size());
    const std::string_view Pair = Query.substr(0, End);
    Query.remove_prefix(std::min(End + 1, Query.size()));
    if (Pair.size() > Name.size() && Pair.starts_with(Name) && Pair[Name.size()] == '=') {
      const std::string_view Digits = Pair.substr(Name.size() + 1);
      std::uint64_t Value = 0;
      std::from_chars(Digits.data(), Digits.data() + Digits.size(), Value);
      return Value;
    }
  }
  return 0;
}

Verdict plain(unsigned Status, const Json &Body) {
  return {.m_Status = Status, .m_Body = Body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

Verdict refused(unsigned Status, std::string_view Cause) {
  return plain(Status, {{"error", Cause}});
}

const char *name(LogMode Mode) {
  switch (Mode) {
  case LogMode::Up:
    return "up";
  case LogMode::Down:
    return "down";
  case LogMode::Slow:
    return "slow";
  }
  return "up";
}

LogMode modeOf(const std::string &Name) {
  if (Name == "down") {
    return LogMode::Down;
  }
  return Name == "slow" ? LogMode::Slow : LogMode::Up;
}

Json toJson(const LogPage &Page) {
  Json Records = Json::array();
  for (const kernel::LogRecord &Each : Page.m_Records) {
    Records.push_back({{"offset", Each.m_Offset}, {"data", Each.m_Data}});
  }
  return {{"first", Page.m_First}, {"next", Page.m_Next}, {"records", std::move(Records)}};
}

Json toJson(const kernel::VmEntry &Vm) {
  return {{"name", Vm.m_Name},
          {"peer_address", Vm.m_PeerAddress},
          {"data_center", Vm.m_DataCenter},
          {"state", Vm.m_Leaving ? "leaving" : "live"}};
}

} // namespace

Verdict Service::answer(const Call &Request, TimePoint Now, bool MayWait) {
  const std::string_view Path = pathOf(Request.m_Target);
  try {
    if (Path == "/log") {
      return answerLog(Request, Now, MayWait);
    }
    if (Path == "/vms" || Path.starts_with(VmPrefix)) {
      return answerVms(Request, Now);
    }
    if (Path == "/fault") {
      return answerFault(Request);
    }
  } catch (const Json::exception &Raised) {
    return refused(400, Raised.what());
  }
  return refused(404, "no such path");
}

Verdict Service::answerLog(const Call &Request, TimePoint Now, bool MayWait) {
  if (m_Faults.m_Log == LogMode::Down) {
    return refused(503, "log is down");
  }
  Verdict Result;
  if (Request.m_Method == "POST") {
    Result = appendRecord(Request, Now);
  } else if (Request.m_Method == "GET") {
    Result = readRecords(Request, Now, MayWait);
  } else {
    return refused(405, "use GET or POST");
  }
  if (m_Faults.m_Log == LogMode::Slow) {
    Result.m_Delay = m_Faults.m_SlowDelay;
  }
  return Result;
}

Verdict Service::appendRecord(const Call &Request, TimePoint Now) {
  const std::uint64_t Offset = m_Log.append(std::string(Request.m_Body), Now);
  Verdict Result = plain(200, {{"offset", Offset}});
  Result.m_Lost = std::bernoulli_distribution(m_Faults.m_LoseReplies)(m_Random);
  return Result;
}

Verdict Service::readRecords(const Call &Request, TimePoint Now, bool MayWait) {
  const LogPage Page = m_Log.read(parameter(Request.m_Target, "from"), Now);
  Verdict Result = plain(200, toJson(Page));
  if (MayWait && Page.m_Records.empty()) {
    const auto Wait = std::min(parameter(Request.m_Target, "wait_ms"), MaxWaitMillis);
    Result.m_Wait = std::chrono::milliseconds(Wait);
  }
  return Result;
}

Verdict Service::answerVms(const Call &Request, TimePoint Now) {
  const std::string_view Path = pathOf(Request.m_Target);
  if (Request.m_Method == "GET" && Path == "/vms") {
    Json Vms = Json::array();
    for (const kernel::VmEntry &Vm : m_Vms.read(Now, m_Faults.m_VmListLag)) {
      Vms.push_back(toJson(Vm));
    }
    return plain(200, {{"vms", std::move(Vms)}});
  }
  if (!Path.starts_with(VmPrefix) || Path.size() == VmPrefix.size()) {
    return refused(405, "use GET /vms, PUT or DELETE /vms/<name>");
  }
  const std::string Name(Path.substr(VmPrefix.size()));
  if (Request.m_Method == "DELETE") {
    return m_Vms.remove(Name, Now) ? plain(200, Json::object()) : refused(404, "no such VM");
  }
  if (Request.m_Method != "PUT") {
    return refused(405, "use PUT or DELETE");
  }
  const Json Body = Json::parse(Request.m_Body);
  m_Vms.put({.m_Name = Name,
             .m_PeerAddress = Body.at("peer_address").get<std::string>(),
             .m_DataCenter = Body.at("data_center").get<std::string>(),
             .m_Leaving = Body.value("state", "live") == "leaving"},
            Now);
  return plain(200, Json::object());
}

Verdict Service::answerFault(const Call &Request) {
  if (Request.m_Method == "PUT") {
    const Json Body = Json::parse(Request.m_Body);
    const Faults Old = m_Faults;
    Faults New;
    New.m_Log = modeOf(Body.value("log", name(Old.m_Log)));
    const auto SlowMillis = Body.value("slow_ms", toMillis(Old.m_SlowDelay));
    New.m_SlowDelay = std::chrono::milliseconds(std::clamp<std::int64_t>(SlowMillis, 0, 600'000));
    New.m_LoseReplies = std::clamp(Body.value("lose_replies", Old.m_LoseReplies), 0.0, 1.0);
    const auto LagMillis = Body.value("vm_list_lag_ms", toMillis(Old.m_VmListLag));
    New.m_VmListLag = std::chrono::milliseconds(std::clamp<std::int64_t>(LagMillis, 0, 600'000));
    m_Faults = New;
  } else if (Request.m_Method != "GET") {
    return refused(405, "use GET or PUT");
  }
  return plain(200, {{"log", name(m_Faults.m_Log)},
                     {"slow_ms", toMillis(m_Faults.m_SlowDelay)},
                     {"lose_replies", m_Faults.m_LoseReplies},
                     {"vm_list_lag_ms", toMillis(m_Faults.m_VmListLag)}});
}

} // namespace vanillahill::platform
