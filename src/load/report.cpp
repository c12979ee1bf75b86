#include "vanillahill/load/result.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace vanillahill::load {

namespace {

using Json = nlohmann::ordered_json;

double millis(Duration Value) { return std::chrono::duration<double, std::milli>(Value).count(); }

double seconds(Duration Value) { return std::chrono::duration<double>(Value).count(); }

Json quantiles(const Histogram &Values) {
  return {{"count", Values.count()},
          {"p50_ms", millis(Values.quantile(0.5))},
          {"p99_ms", millis(Values.quantile(0.99))},
          {"p999_ms", millis(Values.quantile(0.999))}};
}

Json kindJson(const KindResult &Kind) {
  Json Reasons = Json::object();
  for (const auto &[Name, Count] : Kind.m_Reasons) {
    Reasons[Name] = Count;
  }
  return {{"kind", Kind.m_Kind.m_Name},
          {"weight", Kind.m_Kind.m_Weight},
          {"deadline_ms", toMillis(Kind.m_Kind.m_Deadline)},
          {"idempotent", Kind.m_Kind.m_Idempotent},
          {"sent", Kind.m_Sent},
          {"in_time", Kind.m_InTime},
          {"completed", Kind.m_Completed},
          {"failed", Kind.m_Failed},
          {"not_run", Kind.m_NotRun},
          {"unknown", Kind.m_Unknown},
          {"cut", Kind.m_Cut},
          {"repeats", Kind.m_Repeats},
          {"reasons", Reasons},
          {"latency", quantiles(Kind.m_Latency)},
          {"latency_of_all", quantiles(Kind.m_LatencyOfAll)},
          {"refusal_latency", quantiles(Kind.m_RefusalLatency)}};
}

Json measuringJson(const MeasuringCost &Cost) {
  return {{"server", Cost.m_Server},
          {"probes", Cost.m_Probes},
          {"most_probes_per_second", Cost.m_MostPerSecond},
          {"most_running", Cost.m_MostRunning},
          {"most_connections", Cost.m_MostConnections}};
}

std::string kindRow(const KindResult &Kind) {
  return fmt::format(
      "{:<30} {:>7} {:>8} {:>6} {:>6} {:>7} {:>7} {:>5} {:>8.1f} {:>8.1f} {:>8.1f}\n",
      Kind.m_Kind.m_Name, Kind.m_Sent, Kind.m_InTime, Kind.m_Completed - Kind.m_InTime,
      Kind.m_Failed, Kind.m_NotRun, Kind.m_Unknown, Kind.m_Cut,
      millis(Kind.m_Latency.quantile(0.5)), millis(Kind.m_Latency.quantile(0.99)),
      millis(Kind.m_Latency.quantile(0.999)));
}

std::string reasonRows(const LoadResult &Result) {
  std::string Text;
  for (const KindResult &Kind : Result.m_Kinds) {
    for (const auto &[Name, Count] : Kind.m_Reasons) {
      Text += fmt::format("  {:<30} {:<20} {:>7}\n", Kind.m_Kind.m_Name, Name, Count);
    }
  }
  return Text.empty() ? Text : "refused or unknown, by reason:\n" + Text;
}

std::string measuringRow(const LoadResult &Result) {
  if (Result.m_Measuring.empty()) {
    return {};
  }
  std::uint64_t Total = 0;
  std::uint64_t Most = 0;
  for (const MeasuringCost &Cost : Result.m_Measuring) {
    Total += Cost.m_Probes;
    Most = std::max(Most, Cost.m_MostPerSecond);
  }
  const double Servers = static_cast<double>(Result.m_Measuring.size());
  const double Mean = static_cast<double>(Total) / Servers / seconds(Result.m_MeasuringTime);
  return fmt::format("measuring requests per backend server and second: mean {:.2f}, most in any "
                     "second {}\n",
                     Mean, Most);
}

} // namespace

std::string table(const LoadResult &Result) {
  std::string Text = fmt::format(
      "{:<30} {:>7} {:>8} {:>6} {:>6} {:>7} {:>7} {:>5} {:>8} {:>8} {:>8}\n", "kind", "sent",
      "in time", "late", "failed", "not run", "unknown", "cut", "p50 ms", "p99 ms", "p99.9 ms");
  for (const KindResult &Kind : Result.m_Kinds) {
    Text += kindRow(Kind);
  }
  Text += reasonRows(Result);
  Text += fmt::format("weighted answered in time: {:.0f} of {:.0f} ({:.2f} in 100)\n",
                      Result.weightedInTime(), Result.weightedSent(),
                      100.0 * Result.weightedInTime() / std::max(1.0, Result.weightedSent()));
  Text += measuringRow(Result);
  Text += fmt::format("not the caller's own: {}, incomplete: {}, connections refused: {}, "
                      "sent late by the tool p99: {:.2f} ms\n",
                      Result.m_Foreign, Result.m_Incomplete, Result.m_RefusedConnections,
                      millis(Result.m_SendLag.quantile(0.99)));
  return Text;
}

std::string toJson(const LoadResult &Result) {
  Json Kinds = Json::array();
  for (const KindResult &Kind : Result.m_Kinds) {
    Kinds.push_back(kindJson(Kind));
  }
  Json Measuring = Json::array();
  for (const MeasuringCost &Cost : Result.m_Measuring) {
    Measuring.push_back(measuringJson(Cost));
  }
  const Json All{{"seconds", seconds(Result.m_Time)},
                 {"measuring_seconds", seconds(Result.m_MeasuringTime)},
                 {"sent", Result.sent()},
                 {"weighted_sent", Result.weightedSent()},
                 {"weighted_in_time", Result.weightedInTime()},
                 {"foreign", Result.m_Foreign},
                 {"incomplete", Result.m_Incomplete},
                 {"refused_connections", Result.m_RefusedConnections},
                 {"send_lag", quantiles(Result.m_SendLag)},
                 {"kinds", Kinds},
                 {"measuring", Measuring}};
  return All.dump(2) + "\n";
}

} // namespace vanillahill::load
