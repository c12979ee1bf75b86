/// \file
/// vanillahill-platform: stand-in for the platform's log service and VM list.
#include "vanillahill/platform/http_server.hpp"

#include <CLI/CLI.hpp>

#include <cstdio>
#include <iostream>

namespace {

constexpr int ExitFailed = 1;
constexpr int ExitUsage = 2;

constexpr const char *Footer = R"(Calls:
  POST /log                     append a record
  GET /log?from=N&wait_ms=W     read from an offset, wait up to W ms for a record
  GET /vms                      the VM list
  PUT, DELETE /vms/NAME         {"peer_address":..,"data_center":..,"state":"live"|"leaving"}
  PUT /fault                    {"log":"up"|"down"|"slow","slow_ms":L,"lose_replies":P,
                                 "vm_list_lag_ms":L}

The first line on stdout is "listening IP:port".
Exit codes: 0 stopped by SIGTERM or SIGINT, 1 address cannot be used, 2 wrong usage.)";

} // namespace

int main(int Argc, char **Argv) {
  using namespace vanillahill;
  CLI::App App("Stand-in for the platform: log service and VM list, in memory, with faults.",
               "vanillahill-platform");
  App.set_version_flag("--version", VANILLAHILL_VERSION);
  App.footer(Footer);
  platform::HttpServerOptions Options;
  std::uint64_t RetentionMillis = 0;
  std::uint64_t RetentionRecords = 0;
  App.add_option("--listen", Options.m_Listen, "IP:port; port 0 takes a free one")
      ->capture_default_str();
  App.add_option("--retention-ms", RetentionMillis, "age at which a record is dropped; 0: never");
  App.add_option("--retention-records", RetentionRecords, "records kept; 0: all");
  App.add_option("--seed", Options.m_Service.m_Seed, "seed of lost replies")->capture_default_str();
  try {
    App.parse(Argc, Argv);
  } catch (const CLI::ParseError &Raised) {
    return App.exit(Raised) == 0 ? 0 : ExitUsage;
  }
  platform::RetentionOptions &Retention = Options.m_Service.m_Retention;
  if (RetentionMillis != 0) {
    Retention.m_Age = std::chrono::milliseconds(RetentionMillis);
  }
  if (RetentionRecords != 0) {
    Retention.m_Records = RetentionRecords;
  }
  Result<platform::HttpServer> Server = platform::HttpServer::open(Options);
  if (!Server) {
    std::cerr << "vanillahill-platform: " << toString(Server.error()) << '\n';
    return ExitFailed;
  }
  std::cout << "listening " << Server->address() << std::endl;
  Server->run();
  return 0;
}
