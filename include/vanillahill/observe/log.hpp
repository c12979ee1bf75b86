/// \file
/// Structured logs: one JSON object a line on standard error. A repeated fault is logged at most
/// once a second for each event and peer, with the number of lines dropped.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/core/time.hpp"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahill::observe {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// A named value of a log line.
struct LogField {
  std::string_view m_Name;
  std::string m_Value;
};

/// \brief Selects standard output. Must be called before the first line. \note Not thread safe.
void useStandardOutput();

/// \brief Sets the lowest level that is written.
/// \param Name "trace", "debug", "info", "warning", "error", "critical" or "off"
/// \return false for any other name; the level is then unchanged
bool setLogLevel(std::string_view Name);

/// \brief Writes one line. \note Thread safe.
/// \param Level severity
/// \param Event what happened, lower case words joined by "_"
/// \param Fields further values
void log(LogLevel Level, std::string_view Event, std::span<const LogField> Fields);
void log(LogLevel Level, std::string_view Event, std::initializer_list<LogField> Fields = {});

/// \brief Writes out the buffered lines. \note Thread safe.
void flushLog();

/// \brief Writes out the buffered lines at the end of the process, waiting for a slow reader.
/// \param Limit how long to wait at most
/// \return whether all lines were written. \note Thread safe.
bool drainLog(Duration Limit);

/// \brief Writes a fault with its number, step and peer; repeats of one event and peer are limited.
/// \note Thread safe.
void logFault(std::string_view Event, const Error &Fault);

/// Admits one line of each event and peer in a period of 1 s and counts the dropped ones.
class RepeatLimiter {
public:
  /// \brief Decides whether a line may be written.
  /// \param Key the event and its peer
  /// \param Now the present time
  /// \return the number of lines dropped since the last one written; nullopt when this one must be
  /// dropped too
  /// \note Complexity: logarithmic in the number of keys, which is bounded. Not thread safe.
  std::optional<std::uint64_t> admit(std::string_view Key, TimePoint Now);

private:
  struct Entry {
    TimePoint m_LastWritten{};
    std::uint64_t m_LinesDropped = 0;
  };
  std::map<std::string, Entry, std::less<>> m_Entries;
};

} // namespace vanillahill::observe
