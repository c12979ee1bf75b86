#include "vanillahill/history/checker.hpp"

#include "checks.hpp"

#include <spdlog/fmt/fmt.h>

namespace vanillahill::history {

std::string_view toString(Point Value) {
  switch (Value) {
  case Point::AtMostOnce:
    return "at-most-once";
  case Point::NotRunTruthful:
    return "not-run-truthful";
  case Point::OwnWholeAnswer:
    return "own-whole-answer";
  case Point::OneAnswer:
    return "one-answer";
  case Point::LeavingServer:
    return "leaving-server";
  case Point::PlannedStop:
    return "planned-stop";
  case Point::Configuration:
    return "configuration";
  case Point::MeasuringBudget:
    return "measuring-budget";
  }
  return "unknown";
}

std::string toString(const Violation &Value) {
  std::string Text = fmt::format("{}: {}\n", toString(Value.m_Point), Value.m_Summary);
  for (const Record &Item : Value.m_Trace) {
    Text += fmt::format("  {}:{} {}\n", Item.m_File, Item.m_Line, toLine(Item));
  }
  return Text;
}

std::vector<Violation> check(std::span<const Record> Records, const CheckOptions &Options) {
  const Index History(Records);
  std::vector<Violation> Found;
  checkRequests(History, Options, Found);
  checkServers(History, Options, Found);
  checkStops(History, Found);
  checkConfiguration(History, Options, Found);
  return Found;
}

} // namespace vanillahill::history
