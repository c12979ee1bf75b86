/// \file
/// vanillahill-relay: stand-in for distance between VMs. Adds delay to links, cuts, freezes them.
#include "vanillahill/relay/control.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

namespace {

using namespace vanillahill;

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

constexpr const char *Footer = R"(Links file:
  {"links":[{"listen":"127.0.0.1:7101","target":"127.0.0.1:7001","delay_us":500}]}
Calls on the control address:
  PUT /fault   {"links":[{"listen":"127.0.0.1:7101","from":"127.0.0.2","delay_us":500,
                          "cut":true,"freeze":false}]}; what is left out stays as it is
  GET /status  connections and bytes of each link

The first line on stdout is "listening IP:port", then "link IP:port -> IP:port" for each link.
Exit codes: 0 stopped by SIGTERM or SIGINT, 1 file or address cannot be used, 2 wrong usage.)";

Result<std::vector<relay::LinkSettings>> readLinks(const std::string &File) {
  std::ifstream Input(File);
  if (!Input) {
    return Error{Errc::SettingsUnreadable, "read links", File, "the file cannot be opened"};
  }
  std::ostringstream Text;
  Text << Input.rdbuf();
  Result<std::vector<relay::LinkSettings>> Out = relay::parseLinks(Text.str());
  if (!Out) {
    Error Problem = Out.error();
    Problem.m_Peer = File;
    return Problem;
  }
  return Out;
}

int fail(const Error &Problem) {
  std::cerr << "vanillahill-relay: " << toString(Problem) << '\n';
  return ExitFailed;
}

int run(const std::string &ControlAddress, const std::string &File) {
  const Result<std::vector<relay::LinkSettings>> Links = readLinks(File);
  if (!Links) {
    return fail(Links.error());
  }
  boost::asio::io_context Io(1);
  relay::Relay Relay(Io);
  relay::Control Control(Io, Relay);
  const Result<std::string> Listening = Control.open(ControlAddress);
  if (!Listening) {
    return fail(Listening.error());
  }
  std::cout << "listening " << *Listening << '\n';
  for (const relay::LinkSettings &Link : *Links) {
    const Result<std::string> Bound = Relay.open(Link);
    if (!Bound) {
      return fail(Bound.error());
    }
    std::cout << "link " << *Bound << " -> " << Link.m_Target << '\n';
  }
  std::cout << std::flush;
  boost::asio::signal_set Signals(Io, SIGTERM, SIGINT);
  Signals.async_wait([&Io](const boost::system::error_code &, int) { Io.stop(); });
  Io.run();
  return 0;
}

} // namespace

int main(int Argc, char **Argv) {
  CLI::App App("Stand-in for distance between VMs: forwards TCP with an added delay, cuts and "
               "freezes links.",
               "vanillahill-relay");
  App.set_version_flag("--version", VANILLAHILL_VERSION);
  App.footer(Footer);
  std::string ControlAddress = "127.0.0.1:0";
  std::string File;
  App.add_option("--control", ControlAddress, "IP:port of the control calls; port 0: a free one")
      ->capture_default_str();
  App.add_option("--links", File, "JSON file with the links")->required();
  try {
    App.parse(Argc, Argv);
  } catch (const CLI::ParseError &Raised) {
    return App.exit(Raised) == 0 ? 0 : ExitUsage;
  }
  return run(ControlAddress, File);
}
