/// \file
/// vanillahill-backend: many stand-in backend servers in one process.
#include "vanillahill/load/backend_host.hpp"

#include <CLI/CLI.hpp>
#include <spdlog/fmt/fmt.h>
#include <sys/resource.h>

#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace vanillahill;
using namespace vanillahill::load;

constexpr int ExitUsage = 2;

/// Arguments as they were written.
struct Arguments {
  std::vector<std::string> m_Services;
  std::vector<std::string> m_KindMeans;
  std::string m_Tail = "lognormal";
  double m_MeanMillis = 50;
  double m_Shape = 1.0;
  double m_AcceptMillis = 1;
  double m_LagMillis = 500;
  std::string m_AddressFile;
  std::string m_FaultFile;
};

Duration fromMillis(double Value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(Value));
}

std::vector<std::string> split(const std::string &Text, char Mark) {
  std::vector<std::string> Parts;
  std::istringstream Stream(Text);
  for (std::string Part; std::getline(Stream, Part, Mark);) {
    Parts.push_back(Part);
  }
  return Parts;
}

BackendService parseService(const std::string &Text) {
  const std::vector<std::string> Parts = split(Text, ':');
  if (Parts.size() != 3) {
    throw CLI::ValidationError("--service", "\"" + Text + "\" is not NAME:SERVERS:SLOTS");
  }
  return {.m_Name = Parts[0],
          .m_Servers = static_cast<std::uint32_t>(std::stoul(Parts[1])),
          .m_Slots = static_cast<std::uint32_t>(std::stoul(Parts[2]))};
}

KindTime parseKindTime(const std::string &Text) {
  const std::vector<std::string> Parts = split(Text, '=');
  if (Parts.size() != 2) {
    throw CLI::ValidationError("--kind-mean-ms", "\"" + Text + "\" is not SERVICE/KIND=MS");
  }
  return {.m_Kind = Parts[0], .m_Mean = fromMillis(std::stod(Parts[1]))};
}

Tail parseTail(const std::string &Name) {
  if (Name == "fixed") {
    return Tail::Fixed;
  }
  return Name == "pareto" ? Tail::Pareto : Tail::Lognormal;
}

void raiseFileLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) == 0) {
    Limit.rlim_cur = Limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &Limit);
  }
}

void addOptions(CLI::App &App, BackendHostOptions &Options, Arguments &Given) {
  App.set_version_flag("--version", VANILLAHILL_VERSION);
  App.add_option("--service", Given.m_Services, "NAME:SERVERS:SLOTS, may be repeated")->required();
  App.add_option("--host", Options.m_Host, "IP to listen on")->capture_default_str();
  App.add_option("--base-port", Options.m_BasePort, "port of the first server; 0: any free ports")
      ->capture_default_str();
  App.add_option("--control-port", Options.m_ControlPort, "control port; 0: any free port")
      ->capture_default_str();
  App.add_option("--addresses", Given.m_AddressFile, "write the addresses to this JSON file");
  App.add_option("--mean-ms", Given.m_MeanMillis, "mean service time")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  App.add_option("--kind-mean-ms", Given.m_KindMeans, "SERVICE/KIND=MS, may be repeated");
  App.add_option("--tail", Given.m_Tail, "distribution of service times")
      ->check(CLI::IsMember({"fixed", "lognormal", "pareto"}))
      ->capture_default_str();
  App.add_option("--shape", Given.m_Shape, "sigma (lognormal) or alpha (pareto)")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  App.add_option("--queue-limit", Options.m_QueueLimit, "requests that wait before it sheds")
      ->capture_default_str();
  App.add_option("--max-connections", Options.m_MaxConnections, "connections of each server")
      ->capture_default_str();
  App.add_option("--accept-ms", Given.m_AcceptMillis, "time that a new connection takes")
      ->capture_default_str();
  App.add_option("--health-lag-ms", Given.m_LagMillis, "age of what /vh/health says")
      ->capture_default_str();
  App.add_option("--body-bytes", Options.m_BodyBytes, "filler of each reply")
      ->capture_default_str();
  App.add_option("--seed", Options.m_Seed, "seed of every random choice")->capture_default_str();
  App.add_option("--history", Options.m_History, "write history lines to this file");
  App.add_option("--faults", Given.m_FaultFile, "fault script, JSON; times from the start");
}

void complete(BackendHostOptions &Options, const Arguments &Given) {
  for (const std::string &Text : Given.m_Services) {
    Options.m_Services.push_back(parseService(Text));
  }
  for (const std::string &Text : Given.m_KindMeans) {
    Options.m_KindTimes.push_back(parseKindTime(Text));
  }
  Options.m_Time = {.m_Mean = fromMillis(Given.m_MeanMillis),
                    .m_Tail = parseTail(Given.m_Tail),
                    .m_Shape = Given.m_Shape};
  Options.m_AcceptTime = fromMillis(Given.m_AcceptMillis);
  Options.m_HealthLag = fromMillis(Given.m_LagMillis);
}

Result<std::vector<Fault>> readFaults(const std::string &Path) {
  if (Path.empty()) {
    return std::vector<Fault>{};
  }
  std::ifstream File(Path);
  if (!File) {
    return Error{Errc::SettingsUnreadable, "read fault script", Path, "cannot be opened"};
  }
  std::ostringstream Text;
  Text << File.rdbuf();
  return parseFaults(Text.str(), Path);
}

int fail(const Error &Value) {
  std::cerr << "vanillahill-backend: " << toString(Value) << "\n";
  return EXIT_FAILURE;
}

int serve(BackendHostOptions Options, const Arguments &Given) {
  const Result<std::vector<Fault>> Faults = readFaults(Given.m_FaultFile);
  if (!Faults) {
    return fail(Faults.error());
  }
  Options.m_Faults = *Faults;
  const Result<std::unique_ptr<BackendHost>> Host = BackendHost::open(std::move(Options));
  if (!Host) {
    return fail(Host.error());
  }
  if (Given.m_AddressFile.empty()) {
    std::cout << (*Host)->addresses() << std::endl;
  } else {
    const std::string Partial = Given.m_AddressFile + ".part";
    std::ofstream(Partial) << (*Host)->addresses() << "\n";
    std::rename(Partial.c_str(), Given.m_AddressFile.c_str());
  }
  (*Host)->run();
  return EXIT_SUCCESS;
}

} // namespace

int main(int Count, char **Values) {
  CLI::App App{"Stand-in backend servers with slots, queues, heavy-tailed times and faults",
               "vanillahill-backend"};
  BackendHostOptions Options;
  Arguments Given;
  addOptions(App, Options, Given);
  try {
    App.parse(Count, Values);
    complete(Options, Given);
  } catch (const CLI::ParseError &Failure) {
    const int Code = App.exit(Failure);
    return Code == 0 ? EXIT_SUCCESS : ExitUsage;
  } catch (const std::logic_error &Failure) {
    std::cerr << "vanillahill-backend: a number is malformed: " << Failure.what() << "\n";
    return ExitUsage;
  }
  raiseFileLimit();
  return serve(std::move(Options), Given);
}
