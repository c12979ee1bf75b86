/// \file
/// vanillahill-load: open-loop load on entry VMs, with histories, a table and JSON.
#include "vanillahill/settings/load.hpp"
#include "vanillahill/load/load_runner.hpp"

#include <CLI/CLI.hpp>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <map>
#include <sstream>

namespace {

using namespace vanillahill;
using namespace vanillahill::load;

constexpr int ExitUsage = 2;
constexpr int ExitWrongAnswer = 3;

/// Arguments as they were written.
struct Arguments {
  std::string m_Base;
  std::string m_Overlay;
  std::string m_Site;
  std::vector<std::string> m_Mix;
  std::vector<std::string> m_Entries;
  std::string m_Spread = "random";
  double m_Seconds = 10;
  double m_WarmupSeconds = 0;
  double m_DistanceMillis = 0;
  double m_PatienceMillis = 2000;
  std::string m_Json;
  bool m_Quiet = false;
};

Duration fromMillis(double Value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(Value));
}

void addOptions(CLI::App &App, LoadOptions &Options, Arguments &Given) {
  App.set_version_flag("--version", VANILLAHILL_VERSION);
  App.add_option("--base", Given.m_Base, "base settings file")->required();
  App.add_option("--overlay", Given.m_Overlay, "overlay settings file")->required();
  App.add_option("--site", Given.m_Site, "name of the site")->required();
  App.add_option(
      "--mix", Given.m_Mix,
      "SERVICE/KIND=SHARE, may be repeated; kinds not named get none; default: all alike");
  App.add_option("--entry", Given.m_Entries, "[NAME=]IP:PORT of an entry VM, may be repeated")
      ->required();
  App.add_option("--spread", Given.m_Spread, "how requests are spread over entry VMs")
      ->check(CLI::IsMember({"random", "round-robin"}))
      ->capture_default_str();
  App.add_option("--rate", Options.m_RequestsPerSecond, "requests a second")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  App.add_option("--seconds", Given.m_Seconds, "time that is counted")
      ->check(CLI::PositiveNumber)
      ->capture_default_str();
  App.add_option("--warmup", Given.m_WarmupSeconds, "seconds before, not counted")
      ->capture_default_str();
  App.add_option("--patience-ms", Given.m_PatienceMillis,
                 "a caller waits so long past its deadline")
      ->capture_default_str();
  App.add_option("--distance-ms", Given.m_DistanceMillis,
                 "one way between caller and entry VM, added twice to each latency")
      ->capture_default_str();
  App.add_option("--repeat", Options.m_Repeats, "repeats through another VM of an unknown outcome")
      ->capture_default_str();
  App.add_option("--impatient", Options.m_ImpatientShare,
                 "part of the non-idempotent operations repeated while the first may run")
      ->check(CLI::Range(0.0, 1.0))
      ->capture_default_str();
  App.add_option("--seed", Options.m_Seed, "seed of every random choice")->capture_default_str();
  App.add_option("--name", Options.m_Name, "begins every request id")->capture_default_str();
  App.add_option("--history", Options.m_History, "write history lines to this file");
  App.add_option("--control", Options.m_Control, "control port of vanillahill-backend, IP:PORT");
  App.add_option("--json", Given.m_Json, "write the result to this file as JSON");
  App.add_flag("--quiet", Given.m_Quiet, "no progress line");
}

/// Splits "NAME=VALUE"; the name is empty when there is no "=".
std::pair<std::string, std::string> splitPair(const std::string &Text) {
  const std::size_t Mark = Text.find('=');
  if (Mark == std::string::npos) {
    return {"", Text};
  }
  return {Text.substr(0, Mark), Text.substr(Mark + 1)};
}

std::map<std::string, double> sharesOf(const std::vector<std::string> &Mix) {
  std::map<std::string, double> Shares;
  for (const std::string &Text : Mix) {
    const auto [Name, Share] = splitPair(Text);
    Shares[Name] = std::stod(Share);
  }
  return Shares;
}

std::vector<KindLoad> kindsOf(const SiteSettings &Site) {
  std::vector<KindLoad> Kinds;
  for (const ServiceSettings &Service : Site.m_Services) {
    for (const KindSettings &Kind : Service.m_Kinds) {
      Kinds.push_back({.m_Name = Service.m_Name + "/" + Kind.m_Name,
                       .m_Weight = Kind.m_Weight,
                       .m_Deadline = Kind.m_Deadline,
                       .m_Idempotent = Kind.m_Idempotent});
    }
  }
  return Kinds;
}

/// Gives each kind its share. A name in the mix that is no kind is a usage error.
std::vector<KindLoad> mixKinds(std::vector<KindLoad> Kinds, const std::vector<std::string> &Mix) {
  std::map<std::string, double> Shares = sharesOf(Mix);
  if (Shares.empty()) {
    return Kinds;
  }
  std::vector<KindLoad> Mixed;
  for (KindLoad &Kind : Kinds) {
    const auto Found = Shares.find(Kind.m_Name);
    if (Found != Shares.end()) {
      Kind.m_Share = Found->second;
      Mixed.push_back(std::move(Kind));
      Shares.erase(Found);
    }
  }
  if (!Shares.empty()) {
    throw CLI::ValidationError("--mix",
                               "the settings have no kind \"" + Shares.begin()->first + "\"");
  }
  return Mixed;
}

Result<std::vector<KindLoad>> readKinds(const Arguments &Given) {
  const Result<std::string> Base = settings::readText(Given.m_Base);
  if (!Base) {
    return Base.error();
  }
  const Result<std::string> Overlay = settings::readText(Given.m_Overlay);
  if (!Overlay) {
    return Overlay.error();
  }
  settings::CheckOptions Check;
  Check.m_Site = Given.m_Site;
  Check.m_BaseFile = Given.m_Base;
  Check.m_OverlayFile = Given.m_Overlay;
  const settings::Checked Site = settings::checkSite(*Base, *Overlay, Check);
  if (!Site.m_Settings) {
    return settings::toError(Site.m_Problems);
  }
  return kindsOf(*Site.m_Settings);
}

void complete(LoadOptions &Options, const Arguments &Given) {
  for (const std::string &Text : Given.m_Entries) {
    const auto [Name, Address] = splitPair(Text);
    Options.m_EntryNames.push_back(Name.empty() ? Address : Name);
    Options.m_Entries.push_back(Address);
  }
  Options.m_Spread = Given.m_Spread == "random" ? Spread::Random : Spread::RoundRobin;
  Options.m_Time = fromMillis(Given.m_Seconds * 1000);
  Options.m_Warmup = fromMillis(Given.m_WarmupSeconds * 1000);
  Options.m_Distance = fromMillis(Given.m_DistanceMillis);
  Options.m_Patience = fromMillis(Given.m_PatienceMillis);
  if (!Given.m_Quiet) {
    const bool Terminal = isatty(STDERR_FILENO) != 0;
    Options.m_Progress = [Terminal](const std::string &Line) {
      std::cerr << (Terminal ? "\r" : "") << Line << (Terminal ? "\033[K" : "\n") << std::flush;
    };
  }
}

void raiseFileLimit() {
  rlimit Limit{};
  if (getrlimit(RLIMIT_NOFILE, &Limit) == 0) {
    Limit.rlim_cur = Limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &Limit);
  }
}

int fail(const Error &Value) {
  std::cerr << "vanillahill-load: " << toString(Value) << "\n";
  return EXIT_FAILURE;
}

int run(const LoadOptions &Options, const Arguments &Given) {
  raiseFileLimit();
  const Result<LoadResult> Measured = runLoad(Options);
  if (!Given.m_Quiet && isatty(STDERR_FILENO) != 0) {
    std::cerr << "\n";
  }
  if (!Measured) {
    return fail(Measured.error());
  }
  std::cout << table(*Measured);
  if (!Given.m_Json.empty() && !(std::ofstream(Given.m_Json) << toJson(*Measured))) {
    return fail({Errc::SettingsUnreadable, "write result", Given.m_Json, "cannot be written"});
  }
  if (Measured->m_Foreign + Measured->m_Incomplete > 0) {
    return ExitWrongAnswer;
  }
  return Measured->completed() > 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int Count, char **Values) {
  CLI::App App{"Open-loop load on entry VMs; latency counts from the intended send time",
               "vanillahill-load"};
  App.footer("Exit status: 0 answers came, 1 error or no answer, 2 usage, 3 an answer was not the "
             "caller's own or not whole");
  LoadOptions Options;
  Arguments Given;
  addOptions(App, Options, Given);
  try {
    App.parse(Count, Values);
    const Result<std::vector<KindLoad>> Kinds = readKinds(Given);
    if (!Kinds) {
      return fail(Kinds.error());
    }
    Options.m_Kinds = mixKinds(*Kinds, Given.m_Mix);
    complete(Options, Given);
  } catch (const CLI::ParseError &Failure) {
    return App.exit(Failure) == 0 ? EXIT_SUCCESS : ExitUsage;
  } catch (const std::logic_error &Failure) {
    std::cerr << "vanillahill-load: --mix: a share is malformed: " << Failure.what() << "\n";
    return ExitUsage;
  }
  return run(Options, Given);
}
