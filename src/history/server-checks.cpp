#include "checks.hpp"

#include <spdlog/fmt/fmt.h>

namespace vanillahill::history {

namespace {

const Backend &backendOf(const Record &Value) { return std::get<Backend>(Value.m_Body); }

void checkLeave(const Index &History, const Record &Leave, const CheckOptions &Options,
                std::vector<Violation> &Out) {
  const Script &Body = std::get<Script>(Leave.m_Body);
  const auto Server = History.m_Servers.find(Body.m_Subject);
  if (Server == History.m_Servers.end()) {
    return;
  }
  RecordList Late{&Leave};
  for (const Record *Value : Server->second) {
    const bool Started = backendOf(*Value).m_Event == BackendEvent::Start;
    if (Started && Value->m_At > Leave.m_At + Options.m_LeaveLimit) {
      Late.push_back(Value);
    }
  }
  if (Late.size() > 1) {
    Out.push_back(
        {.m_Point = Point::LeavingServer,
         .m_Summary = fmt::format("server \"{}\" got {} starts later than {} ms after it "
                                  "began to leave",
                                  Body.m_Subject, Late.size() - 1, toMillis(Options.m_LeaveLimit)),
         .m_Trace = copyOf(Late)});
  }
}

/// Looks at each window of one second that begins at a probe; reports the first that is too full.
void checkBudget(const std::string &Name, const RecordList &Records, const CheckOptions &Options,
                 std::vector<Violation> &Out) {
  constexpr Duration Window = std::chrono::seconds(1);
  RecordList Recent;
  for (const Record *Value : Records) {
    if (backendOf(*Value).m_Event != BackendEvent::Probe) {
      continue;
    }
    std::erase_if(Recent,
                  [&](const Record *Earlier) { return Earlier->m_At + Window <= Value->m_At; });
    Recent.push_back(Value);
    if (static_cast<double>(Recent.size()) > Options.m_MeasuringBudget) {
      Out.push_back({.m_Point = Point::MeasuringBudget,
                     .m_Summary = fmt::format("server \"{}\" got {} measuring requests in a second,"
                                              " {} are allowed",
                                              Name, Recent.size(), Options.m_MeasuringBudget),
                     .m_Trace = copyOf(Recent)});
      return;
    }
  }
}

} // namespace

void checkServers(const Index &History, const CheckOptions &Options, std::vector<Violation> &Out) {
  for (const Record *Value : History.m_Scripts) {
    if (std::get<Script>(Value->m_Body).m_Event == ScriptEvent::Leave) {
      checkLeave(History, *Value, Options, Out);
    }
  }
  for (const auto &[Name, Records] : History.m_Servers) {
    checkBudget(Name, Records, Options, Out);
  }
}

} // namespace vanillahill::history
