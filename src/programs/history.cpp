/// \file
/// vanillahill-history: checks recorded histories of one run and prints each broken point.
#include "vanillahill/history/checker.hpp"

#include <CLI/CLI.hpp>

#include <fstream>
#include <iostream>

namespace {

using namespace vanillahill;

/// Reads every file; prints the first problem.
bool readAll(const std::vector<std::string> &Files, std::vector<history::Record> &Records) {
  for (const std::string &File : Files) {
    std::ifstream Input(File);
    if (!Input) {
      std::cerr << toString(Error{Errc::SettingsUnreadable, "read history", File,
                                  "the file cannot be opened"})
                << "\n";
      return false;
    }
    const Result<std::size_t> Count = history::readRecords(Input, File, Records);
    if (!Count) {
      std::cerr << toString(Count.error()) << "\n";
      return false;
    }
  }
  return true;
}

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Seconds));
}

} // namespace

int main(int Argc, char **Argv) {
  constexpr int ExitViolations = 1;
  constexpr int ExitUnreadable = 2;
  CLI::App App{"Checks recorded histories of one run; exit 0 when every point holds, 1 when one is "
               "broken, 2 when a file cannot be read."};
  std::vector<std::string> Files;
  history::CheckOptions Options;
  double LeaveSeconds = 3.0;
  double InForceSeconds = 4.0;
  bool Unfinished = false;
  App.add_option("FILE", Files, "Histories, one JSON object a line")->required();
  App.add_option("--leave-limit", LeaveSeconds, "Seconds until a leaving server gets no start")
      ->capture_default_str();
  App.add_option("--in-force-limit", InForceSeconds, "Seconds until a configuration is in force")
      ->capture_default_str();
  App.add_option("--measuring-budget", Options.m_MeasuringBudget,
                 "Measuring requests per server and second")
      ->capture_default_str();
  App.add_flag("--unfinished", Unfinished, "Allow requests without an answer");
  CLI11_PARSE(App, Argc, Argv);
  Options.m_LeaveLimit = fromSeconds(LeaveSeconds);
  Options.m_InForceLimit = fromSeconds(InForceSeconds);
  Options.m_EachAnswered = !Unfinished;
  std::vector<history::Record> Records;
  if (!readAll(Files, Records)) {
    return ExitUnreadable;
  }
  const std::vector<history::Violation> Found = history::check(Records, Options);
  for (const history::Violation &Item : Found) {
    std::cout << toString(Item);
  }
  std::cout << Records.size() << " records, " << Found.size() << " violations\n";
  return Found.empty() ? 0 : ExitViolations;
}
