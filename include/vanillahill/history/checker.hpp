/// \file
/// Checks a history against the points that must always hold and names each broken one with the
/// records that show it.
#pragma once

#include "vanillahill/history/record.hpp"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahill::history {

/// The points of a history that are checked.
enum class Point : std::uint8_t {
  /// A non-idempotent operation has more than one start.
  AtMostOnce,
  /// "not-run" was said of an attempt that started, or of a key that had run before it was sent.
  NotRunTruthful,
  /// An answer is cut short or belongs to another operation.
  OwnWholeAnswer,
  /// A request has no answer, or more than one.
  OneAnswer,
  /// A leaving backend server got a start too late.
  LeavingServer,
  /// A planned stop of a VM cut a request in flight.
  PlannedStop,
  /// An accepted configuration was not in force everywhere in time, or reverted.
  Configuration,
  /// A backend server was sent more measuring requests than the budget.
  MeasuringBudget,
};

/// \brief The name of a point, lower case words joined by "-".
std::string_view toString(Point Value);

/// Limits of the checks.
struct CheckOptions {
  /// A leaving backend server gets no start later than this after its leave record.
  Duration m_LeaveLimit = std::chrono::seconds(3);
  /// An accepted configuration is in force on each running VM within this time.
  Duration m_InForceLimit = std::chrono::seconds(4);
  /// Probe records per backend server in any second.
  double m_MeasuringBudget = 2.0;
  /// Off for histories whose callers were stopped before their answers.
  bool m_EachAnswered = true;
};

/// A broken point.
struct Violation {
  Point m_Point = Point::AtMostOnce;
  /// What was found, naming operation, server or VM.
  std::string m_Summary;
  /// The records that show it, in order of time.
  std::vector<Record> m_Trace;
};

/// \brief The violation for a person: point, summary, and a line "file:line record" for each
/// record.
std::string toString(const Violation &Value);

/// \brief Checks one history.
/// \param Records of callers, backend servers and scripts of one run on one clock, in any order
/// \param Options the limits
/// \return every violation found; empty for a history in which all points hold
/// \note Complexity: O(n log n) in the number of records.
std::vector<Violation> check(std::span<const Record> Records, const CheckOptions &Options);

} // namespace vanillahill::history
