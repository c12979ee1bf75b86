/// \file
/// What a load run measured, as a table and as JSON.
#pragma once

#include "vanillahill/load/histogram.hpp"
#include "vanillahill/load/schedule.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace vanillahill::load {

/// How an operation ended for its caller.
enum class Ending : std::uint8_t {
  /// Completed with a good status.
  Completed,
  /// Completed with a status of 400 or more from the backend server.
  Failed,
  NotRun,
  Unknown,
  /// No whole answer came.
  Cut,
};

/// Counts of one kind.
struct KindResult {
  KindLoad m_Kind;
  std::uint64_t m_Sent = 0;
  std::uint64_t m_InTime = 0;
  std::uint64_t m_Completed = 0;
  std::uint64_t m_Failed = 0;
  std::uint64_t m_NotRun = 0;
  std::uint64_t m_Unknown = 0;
  std::uint64_t m_Cut = 0;
  std::uint64_t m_Repeats = 0;
  /// Refusals and unknown outcomes by the reason the answer gave.
  std::map<std::string, std::uint64_t> m_Reasons;
  /// Completed operations, from the intended send time, with the way of the caller.
  Histogram m_Latency;
  /// Every operation; one that was not completed counts with its deadline, or more if it took more.
  /// Refusing the slow ones does not make it look faster.
  Histogram m_LatencyOfAll;
  /// Refusals: how soon the caller knows.
  Histogram m_RefusalLatency;
};

/// Measuring requests of one backend server during the whole run.
struct MeasuringCost {
  std::string m_Server;
  std::uint64_t m_Probes = 0;
  std::uint64_t m_MostPerSecond = 0;
  std::uint32_t m_MostRunning = 0;
  std::uint64_t m_MostConnections = 0;
};

struct LoadResult {
  std::vector<KindResult> m_Kinds;
  std::vector<MeasuringCost> m_Measuring;
  /// The counted part.
  Duration m_Time{};
  /// The whole run, over which measuring requests are counted.
  Duration m_MeasuringTime{};
  /// Answers that were not the caller's own.
  std::uint64_t m_Foreign = 0;
  /// Answers passed on as completed that were not whole.
  std::uint64_t m_Incomplete = 0;
  /// Connections that an entry VM refused.
  std::uint64_t m_RefusedConnections = 0;
  /// How late the tool itself sent.
  Histogram m_SendLag;

  /// \brief Sum of the weights of what was answered in time.
  double weightedInTime() const;
  /// \brief Sum of the weights of what was sent.
  double weightedSent() const;
  std::uint64_t sent() const;
  std::uint64_t completed() const;
};

/// One operation ended.
struct EndedOperation {
  Ending m_Ending = Ending::Cut;
  std::string m_Reason;
  Duration m_Latency{};
  /// Both ways of the caller together; shown, not counted against the deadline.
  Duration m_Way{};
  std::uint64_t m_Repeats = 0;
};

/// \brief Counts an operation.
void count(KindResult &Kind, const EndedOperation &Ended);

/// \brief A table for a person.
std::string table(const LoadResult &Result);

/// \brief The result as a JSON object.
std::string toJson(const LoadResult &Result);

} // namespace vanillahill::load
