/// \file
/// Structured logs: one JSON object a line on standard error. A repeated fault is logged at most
/// once a second for each event and peer, with the number of lines left out.
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

/// One value of a line.
struct LogField {
  std::string_view m_Name;
  std::string m_Value;
};

/// \brief Writes lines to standard output. Called before the first line. \note Not thread safe.
void useStandardOutput();

/// \brief Sets the least level that is written.
/// \param Name "trace", "debug", "info", "warning", "error", "critical" or "off"
/// \return false for another name; the level then stays
bool setLogLevel(std::string_view Name);

/// \brief Writes one line. \note Thread safe.
/// \param Level how grave it is
/// \param Event what happened, lower case words joined by "_"
/// \param Fields further values
void log(LogLevel Level, std::string_view Event, std::span<const LogField> Fields);
void log(LogLevel Level, std::string_view Event, std::initializer_list<LogField> Fields = {});

/// \brief Writes out the lines that wait. \note Thread safe.
void flushLog();

/// \brief Writes a fault with its number, step and peer; repeats of one event and peer are limited.
/// \note Thread safe.
void logFault(std::string_view Event, const Error &Fault);

/// Lets one line of each event and peer through in a period and counts the others.
class RepeatLimit {
public:
  /// \brief Says whether a line may be written.
  /// \param Key the event and its peer
  /// \param Now the present time
  /// \return the number of lines left out since the last one written; nothing when this one is to
  /// be left out too
  /// \note Complexity: logarithmic in the number of keys, which is bounded. Not thread safe.
  std::optional<std::uint64_t> admit(std::string_view Key, TimePoint Now);

private:
  struct Entry {
    TimePoint m_LastWritten{};
    std::uint64_t m_LeftOut = 0;
  };
  std::map<std::string, Entry, std::less<>> m_Entries;
};

} // namespace vanillahill::observe
