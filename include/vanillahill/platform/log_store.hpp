/// \file
/// The stand-in's log: records in memory that age out. Used by vanillahill-platform and by tests.
#pragma once

#include "vanillahill/core/time.hpp"
#include "vanillahill/kernel/events.hpp"

#include <cstdint>
#include <deque>
#include <limits>
#include <string>
#include <vector>

namespace vanillahill::platform {

/// What one read of the log gives.
struct LogPage {
  /// Oldest offset kept.
  std::uint64_t m_First = 0;
  /// Offset to read next.
  std::uint64_t m_Next = 0;
  std::vector<kernel::LogRecord> m_Records;
};

/// When the log drops records.
struct RetentionOptions {
  Duration m_Age = Duration::max();
  std::uint64_t m_Records = std::numeric_limits<std::uint64_t>::max();
};

/// An append-only log with offsets from 0. Not thread safe.
class LogStore {
public:
  explicit LogStore(RetentionOptions Retention = {}) : m_Retention(Retention) {}

  /// \brief Appends one record. \return its offset
  std::uint64_t append(std::string Data, TimePoint Now);

  /// \brief Reads from an offset on; an offset that aged out reads from the oldest record kept.
  /// \param MaxRecords records in one page at most
  LogPage read(std::uint64_t From, TimePoint Now, std::size_t MaxRecords = 1000);

  /// \brief Offset that the next record gets.
  std::uint64_t next() const { return m_First + m_Entries.size(); }

  /// \brief Drops every record before an offset.
  void dropBefore(std::uint64_t Offset);

private:
  struct Entry {
    TimePoint m_Time;
    std::string m_Data;
  };

  void dropOld(TimePoint Now);

  RetentionOptions m_Retention;
  std::uint64_t m_First = 0;
  std::deque<Entry> m_Entries;
};

} // namespace vanillahill::platform
