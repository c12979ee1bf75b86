#include "vanillahill/observe/decision_log.hpp"

#include "vanillahill/kernel/events.hpp"
#include "vanillahill/observe/log.hpp"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cmath>

namespace vanillahill::observe {

namespace {

using kernel::AttemptResult;
using kernel::Decision;
using kernel::DecisionType;

std::string microsText(Duration Value) {
  return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(Value).count());
}

std::string toTwoDecimals(double Value) {
  constexpr double Hundred = 100.0;
  const auto Rounded = std::llround(Value * Hundred);
  const std::string Digits = std::to_string(Rounded % 100);
  return std::to_string(Rounded / 100) + (Digits.size() < 2 ? ".0" : ".") + Digits;
}

std::string toHex(std::uint64_t Value) {
  constexpr int Base = 16;
  std::array<char, 2 * sizeof(Value)> Digits{};
  const auto End = std::to_chars(Digits.begin(), Digits.end(), Value, Base).ptr;
  return {Digits.begin(), End};
}

void addLoad(std::vector<LogField> &Fields, const Decision &Made) {
  if (!Made.m_Load) {
    return;
  }
  Fields.push_back({"load", std::to_string(Made.m_Load->m_Running) + "+" +
                                std::to_string(Made.m_Load->m_Waiting) + "/" +
                                std::to_string(Made.m_Load->m_Slots)});
  Fields.push_back({"slowdown", toTwoDecimals(Made.m_Load->m_Slowdown)});
  Fields.push_back({"load_age_us", microsText(Made.m_LoadAge)});
}

/// Longest target that is written.
constexpr std::size_t MaxTargetBytes = 160;

/// What the caller asked for, without the query, which may hold personal data.
std::string targetText(const LoggedRequest &Logged) {
  std::string Text(Logged.m_Host);
  Text += Logged.m_Target.substr(0, Logged.m_Target.find('?'));
  return Text.substr(0, MaxTargetBytes);
}

std::vector<LogField> fieldsOf(const Decision &Made) {
  std::vector<LogField> Fields;
  if (!Made.m_Server.empty()) {
    Fields.push_back({"server", Made.m_Server});
    Fields.push_back({"failures", toTwoDecimals(Made.m_Failures)});
  }
  addLoad(Fields, Made);
  if (Made.m_Expected > Duration::zero()) {
    Fields.push_back({"expected_us", microsText(Made.m_Expected)});
  }
  if (Made.m_Asked > 0) {
    Fields.push_back({"asked", std::to_string(Made.m_Asked)});
  }
  if (Made.m_RequestLimit) {
    Fields.push_back({"limit_per_s", std::isfinite(*Made.m_RequestLimit)
                                         ? toTwoDecimals(*Made.m_RequestLimit)
                                         : std::string("none")});
  }
  if (Made.m_LimitShare) {
    Fields.push_back({"share_per_s", toTwoDecimals(*Made.m_LimitShare)});
  }
  if (Made.m_Crashes) {
    Fields.push_back({"content", toHex(Made.m_Content.m_Hash)});
    Fields.push_back({"digest", toHex(Made.m_Content.m_Digest[0])});
    Fields.push_back({"crashes", std::to_string(*Made.m_Crashes)});
    Fields.push_back({"trials", std::to_string(Made.m_Trials)});
  }
  if (Made.m_Took > Duration::zero()) {
    Fields.push_back({"took_us", microsText(Made.m_Took)});
  }
  if (Made.m_TimeLeft != Duration::zero()) {
    Fields.push_back({"left_us", microsText(Made.m_TimeLeft)});
  }
  if (!Made.m_Outcome.empty()) {
    Fields.push_back({"outcome", std::string(Made.m_Outcome)});
  }
  if (!Made.m_Cause.empty()) {
    Fields.push_back({"cause", std::string(Made.m_Cause)});
  }
  if (Made.m_Status != 0) {
    Fields.push_back({"status", std::to_string(Made.m_Status)});
  }
  return Fields;
}

} // namespace

DecisionLog::DecisionLog(DecisionLogOptions Options)
    : m_Options(Options), m_ImportantBudget(Options.m_ImportantPerSecond),
      m_SampledBudget(Options.m_SampledPerSecond) {}

bool DecisionLog::isSampled(std::string_view CallerId) const {
  return !CallerId.empty() &&
         XXH3_64bits(CallerId.data(), CallerId.size()) % m_Options.m_SampleOneIn == 0;
}

bool DecisionLog::isImportant(const Decision &Made) {
  constexpr std::uint32_t MinFailureStatus = 400;
  switch (Made.m_Type) {
  case DecisionType::Refused:
  case DecisionType::Retried:
  case DecisionType::ServerSetAside:
  case DecisionType::ServerSaidLeaving:
  case DecisionType::ServerPaused:
  case DecisionType::ServerPauseEnded:
  case DecisionType::ServerLimitChanged:
  case DecisionType::ServerCold:
  case DecisionType::ServerWarm:
  case DecisionType::CrashReportChanged:
  case DecisionType::CrashNotBlamed:
  case DecisionType::ServersUnreachable:
  case DecisionType::ServersReachable:
    return true;
  case DecisionType::AttemptEnded:
    return Made.m_Outcome != "completed" && Made.m_Outcome != "cancelled";
  case DecisionType::Answered:
    return Made.m_Status >= MinFailureStatus;
  case DecisionType::Placed:
  case DecisionType::Hedged:
  case DecisionType::Relayed:
    return false;
  }
  return false;
}

void DecisionLog::write(const Decision &Made, const LoggedRequest &Logged, std::uint64_t Version,
                        TimePoint Now) {
  const bool Important = isImportant(Made);
  if (!Important && !isSampled(Logged.m_CallerId)) {
    return;
  }
  if (!(Important ? m_ImportantBudget : m_SampledBudget).tryTakeLine(Now)) {
    ++m_LinesDropped;
    return;
  }
  std::vector<LogField> Fields = fieldsOf(Made);
  if (!Logged.m_CallerId.empty()) {
    Fields.insert(Fields.begin(), {"request", std::string(Logged.m_CallerId)});
  }
  const bool IsLost = Made.m_Type == DecisionType::AttemptEnded &&
                      Made.m_Outcome == toString(AttemptResult::Unknown);
  const bool IsPoison = Made.m_Outcome == toString(kernel::Reason::PoisonRequest);
  if ((IsLost || IsPoison) && !Logged.m_Target.empty()) {
    Fields.push_back({"target", targetText(Logged)});
  }
  Fields.push_back({"config", std::to_string(Version)});
  if (m_LinesDropped > 0) {
    Fields.push_back({"lines_left_out", std::to_string(m_LinesDropped)});
    m_LinesDropped = 0;
  }
  log(Important ? LogLevel::Warning : LogLevel::Info, toString(Made.m_Type), Fields);
}

} // namespace vanillahill::observe
