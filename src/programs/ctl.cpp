/// \file
/// vanillahill-ctl: the operator's command.
#include "vanillahill/config/record.hpp"
#include "vanillahill/ctl/commands.hpp"

#include <CLI/CLI.hpp>

namespace {

using namespace vanillahill;

constexpr const char *Footer = R"(Exit codes:
  0  done; accepted; in force everywhere
  1  diff: the file differs; status, publish --wait: not in force on every VM
  2  wrong usage
  3  the settings do not pass the checks, or a file cannot be read
  4  another change of the same file came first
  5  not confirmed: run again with the same --change-id
  6  the log cannot be read; nothing was published

The token of the admin addresses is read from the variable VANILLAHILL_TOKEN.)";

std::string requireFileName(const std::string &Name) {
  const bool Known = Name == config::BaseFile || config::siteOf(Name).has_value();
  return Known ? "" : "expected base or overlay/<site>, found " + Name;
}

void addPlatform(CLI::App *Command, ctl::Options &Given) {
  Command->add_option("--platform", Given.m_Platform, "IP:port of the platform's log")
      ->envname("VANILLAHILL_PLATFORM")
      ->required();
}

CLI::Option *addName(CLI::App *Command, ctl::Options &Given) {
  return Command->add_option("--name", Given.m_Name, "base or overlay/<site>")
      ->check(requireFileName);
}

void addVms(CLI::App *Command, ctl::Options &Given) {
  Command->add_option("--vm", Given.m_Vms, "admin address (IP:port) of a VM; may be repeated");
  Command->add_option("--token", Given.m_Token, "token of the admin addresses")
      ->envname("VANILLAHILL_TOKEN");
}

} // namespace

int main(int Argc, char **Argv) {
  ctl::Options Given;
  std::int64_t TimeoutMillis = toMillis(Given.m_Timeout);
  std::uint64_t BuildsOn = 0;
  CLI::App App("Checks, publishes and shows the configuration of vanillahill.", "vanillahill-ctl");
  App.set_version_flag("--version", VANILLAHILL_VERSION);
  App.footer(Footer);
  App.require_subcommand(1);
  App.fallthrough();
  App.add_flag("--json", Given.m_Json, "write the result as JSON");
  App.add_option("--timeout-ms", TimeoutMillis, "time for the whole command, then for --wait")
      ->capture_default_str()
      ->check(CLI::Range(1, 600'000));

  CLI::App *Check = App.add_subcommand("check", "check a base file, alone or with an overlay");
  Check->add_option("--base", Given.m_BasePath, "path of the base file")->required();
  Check->add_option("--overlay", Given.m_OverlayPath, "path of the overlay");
  Check->add_option("--site", Given.m_Site, "site of the overlay");

  CLI::App *Diff = App.add_subcommand("diff", "compare a file with what is in force");
  addPlatform(Diff, Given);
  addName(Diff, Given)->required();
  Diff->add_option("file", Given.m_Path, "path of the file; - is stdin")->required();

  CLI::App *Publish = App.add_subcommand("publish", "publish a file");
  addPlatform(Publish, Given);
  addName(Publish, Given)->required();
  Publish->add_option("file", Given.m_Path, "path of the file; - is stdin");
  Publish->add_option("--operator", Given.m_Operator, "who publishes")->envname("USER")->required();
  Publish->add_option("--change-id", Given.m_ChangeId, "repeat an earlier change");
  CLI::Option *Edited =
      Publish->add_option("--builds-on", BuildsOn, "version that was edited; the current one");
  Publish->add_flag("--withdraw", Given.m_Withdraw, "withdraw the overlay of a site that closed");
  Publish->add_flag("--wait", Given.m_Wait, "wait until it is in force on every --vm");
  addVms(Publish, Given);

  CLI::App *Show = App.add_subcommand("show", "show what is in force, as JSON");
  addPlatform(Show, Given);
  addName(Show, Given);

  CLI::App *Status = App.add_subcommand("status", "show where each VM stands");
  addPlatform(Status, Given);
  addVms(Status, Given);

  try {
    App.parse(Argc, Argv);
    if (*Publish && Given.m_Withdraw != Given.m_Path.empty()) {
      throw CLI::ValidationError("publish", "give either a file or --withdraw");
    }
  } catch (const CLI::ParseError &Raised) {
    return App.exit(Raised) == 0 ? ctl::ExitOk : ctl::ExitUsage;
  }
  Given.m_Timeout = std::chrono::milliseconds(TimeoutMillis);
  if (Edited->count() > 0) {
    Given.m_BuildsOn = BuildsOn;
  }
  if (*Check) {
    return ctl::check(Given);
  }
  if (*Diff) {
    return ctl::diff(Given);
  }
  if (*Publish) {
    return ctl::publish(Given);
  }
  return *Show ? ctl::show(Given) : ctl::status(Given);
}
