#include "vanillahill/observe/log.hpp"

#include "line_sink.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <array>
#include <mutex>

namespace vanillahill::observe {

namespace {

struct LevelName {
  std::string_view m_Name;
  spdlog::level::level_enum m_Level;
};

/// In the order of LogLevel, followed by levels that settings may name but no line has.
constexpr std::array<LevelName, 7> LevelNames{{{"debug", spdlog::level::debug},
                                               {"info", spdlog::level::info},
                                               {"warning", spdlog::level::warn},
                                               {"error", spdlog::level::err},
                                               {"trace", spdlog::level::trace},
                                               {"critical", spdlog::level::critical},
                                               {"off", spdlog::level::off}}};

bool UsesStandardOutput = false;

std::shared_ptr<spdlog::sinks::sink> makeSink() {
  if (UsesStandardOutput) {
    return std::make_shared<LineSink>();
  }
  return std::make_shared<spdlog::sinks::stderr_sink_mt>();
}

spdlog::logger &logger() {
  static const std::shared_ptr<spdlog::logger> Instance = [] {
    auto Made = std::make_shared<spdlog::logger>("vanillahill", makeSink());
    // The line itself is JSON; the sink adds nothing.
    Made->set_pattern("%v");
    // On standard output only errors are flushed at once: warnings are too many under load.
    Made->flush_on(UsesStandardOutput ? spdlog::level::err : spdlog::level::warn);
    return Made;
  }();
  return *Instance;
}

std::int64_t wallClockMillis() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
}

void write(LogLevel Level, const nlohmann::ordered_json &Line) {
  constexpr auto Replace = nlohmann::ordered_json::error_handler_t::replace;
  constexpr int NoIndent = -1;
  logger().log(LevelNames[static_cast<std::size_t>(Level)].m_Level,
               Line.dump(NoIndent, ' ', false, Replace));
}

nlohmann::ordered_json startLine(LogLevel Level, std::string_view Event) {
  return {{"time_ms", wallClockMillis()},
          {"level", LevelNames[static_cast<std::size_t>(Level)].m_Name},
          {"event", Event}};
}

std::optional<std::uint64_t> admitFault(std::string_view Event, std::string_view Peer) {
  static std::mutex Mutex;
  static RepeatLimiter Limiter;
  const std::lock_guard Lock(Mutex);
  return Limiter.admit(std::string(Event).append(" ").append(Peer), SystemClock().now());
}

} // namespace

void useStandardOutput() { UsesStandardOutput = true; }

bool setLogLevel(std::string_view Name) {
  for (const auto &Known : LevelNames) {
    if (Known.m_Name == Name) {
      logger().set_level(Known.m_Level);
      return true;
    }
  }
  return false;
}

void log(LogLevel Level, std::string_view Event, std::initializer_list<LogField> Fields) {
  log(Level, Event, std::span<const LogField>(Fields.begin(), Fields.size()));
}

void flushLog() { logger().flush(); }

bool drainLog(Duration Limit) {
  bool AllWritten = true;
  for (const auto &Sink : logger().sinks()) {
    if (auto *Lines = dynamic_cast<LineSink *>(Sink.get())) {
      AllWritten = Lines->drain(Limit) && AllWritten;
    } else {
      Sink->flush();
    }
  }
  return AllWritten;
}

void log(LogLevel Level, std::string_view Event, std::span<const LogField> Fields) {
  if (!logger().should_log(LevelNames[static_cast<std::size_t>(Level)].m_Level)) {
    return;
  }
  auto Line = startLine(Level, Event);
  for (const auto &Field : Fields) {
    Line[std::string(Field.m_Name)] = Field.m_Value;
  }
  write(Level, Line);
}

void logFault(std::string_view Event, const Error &Fault) {
  const auto LinesDropped = admitFault(Event, Fault.m_Peer);
  if (!LinesDropped) {
    return;
  }
  auto Line = startLine(LogLevel::Warning, Event);
  Line["step"] = Fault.m_Step;
  Line["peer"] = Fault.m_Peer;
  Line["error"] = Fault.m_Code.message();
  Line["number"] = Fault.m_Code.value();
  Line["detail"] = Fault.m_Detail;
  Line["left_out"] = *LinesDropped;
  write(LogLevel::Warning, Line);
}

std::optional<std::uint64_t> RepeatLimiter::admit(std::string_view Key, TimePoint Now) {
  constexpr Duration Period = std::chrono::seconds(1);
  constexpr std::size_t MaxKeys = 1024;
  const auto Found = m_Entries.find(Key);
  if (Found == m_Entries.end()) {
    if (m_Entries.size() >= MaxKeys) {
      m_Entries.clear();
    }
    m_Entries.emplace(Key, Entry{.m_LastWritten = Now});
    return 0;
  }
  auto &Known = Found->second;
  if (Now - Known.m_LastWritten < Period) {
    ++Known.m_LinesDropped;
    return std::nullopt;
  }
  const auto LinesDropped = Known.m_LinesDropped;
  Known = {.m_LastWritten = Now};
  return LinesDropped;
}

} // namespace vanillahill::observe
