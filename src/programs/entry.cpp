/// \file
/// vanillahill-entry: the entry process of one VM.
#include "vanillahill/net/entry.hpp"
#include "vanillahill/observe/log.hpp"

#include "vanillahill/settings/load.hpp"

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

using vanillahill::VmSettings;

constexpr int ExitUsage = 2;
constexpr int ExitSettings = 3;
constexpr int ExitAddress = 4;

/// Options that replace single fields of the settings file.
void addOverrides(CLI::App &App, VmSettings &Vm) {
  App.add_option("--name", Vm.m_Name, "Name of this VM");
  App.add_option("--site", Vm.m_Site, "Site whose overlay is in force here");
  App.add_option("--data-center", Vm.m_DataCenter, "Data centre of this VM");
  App.add_option("--caller-address", Vm.m_CallerAddress, "IP:port for callers");
  App.add_option("--peer-address", Vm.m_PeerAddress, "IP:port for other VMs");
  App.add_option("--admin-address", Vm.m_AdminAddress, "IP:port for operators");
  App.add_option("--platform-address", Vm.m_PlatformAddress, "IP:port of the log and VM list");
  App.add_option("--admin-token", Vm.m_AdminToken, "Token that operators show");
  App.add_option("--peer-token", Vm.m_PeerToken, "Token that VMs show to each other");
  App.add_option("--workers", Vm.m_Workers, "Threads")->check(CLI::Range(1, 64));
  App.add_option("--seed", Vm.m_Seed, "Seed of random choices; 0 takes another at each start");
  App.add_option("--log-level", Vm.m_LogLevel, "Least level that is logged");
}

std::uint64_t startIncarnation() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(Now).count());
}

int serve(const VmSettings &Vm) {
  if (!vanillahill::observe::setLogLevel(Vm.m_LogLevel)) {
    std::cerr << "log level \"" << Vm.m_LogLevel << "\" is not known\n";
    return ExitUsage;
  }
  auto Opened = vanillahill::net::Entry::open(
      {.m_Vm = Vm, .m_Incarnation = startIncarnation(), .m_HandleSignals = true});
  if (!Opened) {
    std::cerr << toString(Opened.error()) << '\n';
    return ExitAddress;
  }
  (*Opened)->run();
  return 0;
}

} // namespace

int main(int Count, char **Arguments) {
  CLI::App App("Entry process of one VM of vanillahill");
  App.set_version_flag("--version", "vanillahill-entry " VANILLAHILL_VERSION);
  std::string File;
  App.add_option("--settings", File, "Settings of this VM (JSON)")->required();
  VmSettings Vm;
  addOverrides(App, Vm);
  try {
    App.parse(Count, Arguments);
    const auto Loaded = vanillahill::settings::loadVmSettings(File);
    if (!Loaded) {
      std::cerr << toString(Loaded.error()) << '\n';
      return ExitSettings;
    }
    Vm = *Loaded;
    // Parsed again, so that options replace what the file says.
    App.parse(Count, Arguments);
  } catch (const CLI::ParseError &Raised) {
    const int Code = App.exit(Raised);
    return Code == 0 ? 0 : ExitUsage;
  }
  return serve(Vm);
}
