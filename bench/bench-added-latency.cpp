/// \file
/// Time that one entry process adds: in one run, every second request goes straight to a backend
/// server stand-in and every other one through the entry process. Open loop: a request's latency
/// counts from the time at which it should have been sent.
#include "vanillahill/config/record.hpp"
#include "vanillahill/core/time.hpp"
#include "vanillahill/load/http_call.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <memory>
#include <random>
#include <sstream>
#include <thread>

namespace {

using namespace vanillahill;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;
using Json = nlohmann::json;
using ErrorCode = boost::system::error_code;

constexpr const char *Target = "/bench/echo";
constexpr auto ReadyTimeout = std::chrono::seconds(30);
constexpr auto ReadyPause = std::chrono::milliseconds(100);

/// What the command line says.
struct Arguments {
  std::string m_Backends;
  std::string m_Platform;
  std::string m_Entry;
  std::string m_Admin;
  int m_EntryPid = 0;
  std::vector<double> m_Rates{500, 2000};
  double m_WarmUp = 2;
  double m_Seconds = 10;
  std::uint64_t m_Seed = 1;
  std::string m_Json;
};

/// Figures of one of the two ways.
struct WayResult {
  std::vector<Duration> m_Latencies;
  std::uint64_t m_Sent = 0;
  std::uint64_t m_Failed = 0;
};

/// One keep-alive connection; carries one request at a time.
struct Client {
  explicit Client(boost::asio::io_context &Io) : m_Stream(Io) {}

  boost::beast::tcp_stream m_Stream;
  boost::beast::flat_buffer m_Buffer;
  http::request<http::empty_body> m_Request;
  http::response<http::string_body> m_Reply;
};
using ClientPtr = std::shared_ptr<Client>;

/// The connections to the addresses of one way, used in turn.
class Way {
public:
  Way(boost::asio::io_context &Io, std::vector<Tcp::endpoint> Addresses)
      : m_Io(Io), m_Addresses(std::move(Addresses)), m_Idle(m_Addresses.size()) {}

  /// \brief Sends one request. \param Measured whether its latency counts
  void send(TimePoint Intended, bool Measured) {
    const std::size_t Place = m_Next++ % m_Addresses.size();
    const auto Done = [this, Place, Intended, Measured](const ClientPtr &Used, bool Good) {
      finish(Place, Used, Good, Intended, Measured);
    };
    if (m_Idle[Place].empty()) {
      connect(Place, Done);
      return;
    }
    ClientPtr Free = std::move(m_Idle[Place].back());
    m_Idle[Place].pop_back();
    exchange(Free, Done);
  }

  WayResult m_Result;

private:
  template <typename F> void connect(std::size_t Place, F Done) {
    auto Opened = std::make_shared<Client>(m_Io);
    Opened->m_Stream.async_connect(m_Addresses[Place], [this, Opened, Done](const ErrorCode &Code) {
      if (Code) {
        Done(Opened, false);
        return;
      }
      Opened->m_Stream.socket().set_option(Tcp::no_delay(true));
      exchange(Opened, Done);
    });
  }

  template <typename F> void exchange(const ClientPtr &Used, F Done) {
    Used->m_Request = {http::verb::get, Target, 11};
    Used->m_Request.set(http::field::host, "bench");
    http::async_write(Used->m_Stream, Used->m_Request,
                      [this, Used, Done](const ErrorCode &Code, std::size_t) {
                        if (Code) {
                          Done(Used, false);
                          return;
                        }
                        read(Used, Done);
                      });
  }

  template <typename F> void read(const ClientPtr &Used, F Done) {
    Used->m_Reply = {};
    http::async_read(Used->m_Stream, Used->m_Buffer, Used->m_Reply,
                     [Used, Done](const ErrorCode &Code, std::size_t) {
                       Done(Used, !Code && Used->m_Reply.result() == http::status::ok);
                     });
  }

  void finish(std::size_t Place, const ClientPtr &Used, bool Good, TimePoint Intended,
              bool Measured) {
    if (Good) {
      m_Idle[Place].push_back(Used);
    }
    if (!Measured) {
      return;
    }
    ++m_Result.m_Sent;
    if (Good) {
      m_Result.m_Latencies.push_back(SystemClock{}.now() - Intended);
    } else {
      ++m_Result.m_Failed;
    }
  }

  boost::asio::io_context &m_Io;
  std::vector<Tcp::endpoint> m_Addresses;
  std::vector<std::vector<ClientPtr>> m_Idle;
  std::size_t m_Next = 0;
};

/// What one rate gave.
struct RateResult {
  double m_Rate = 0;
  WayResult m_Direct;
  WayResult m_Through;
  double m_EntrySeconds = 0;
};

Tcp::endpoint endpointOf(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  return {boost::asio::ip::make_address(Text.substr(0, Colon)),
          static_cast<std::uint16_t>(std::stoi(Text.substr(Colon + 1)))};
}

/// Processor time of a process, in seconds.
double processorSeconds(int Pid) {
  std::ifstream File(fmt::format("/proc/{}/stat", Pid));
  std::string Text((std::istreambuf_iterator<char>(File)), {});
  std::istringstream Fields(Text.substr(std::min(Text.rfind(')') + 2, Text.size())));
  // The state and ten further fields stand before utime and stime.
  constexpr int FieldsBefore = 11;
  std::string Skipped;
  for (int Index = 0; Index < FieldsBefore; ++Index) {
    Fields >> Skipped;
  }
  double User = 0;
  double System = 0;
  Fields >> User >> System;
  return (User + System) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

/// Sends both ways in turn, at Poisson times.
class Sender {
public:
  Sender(boost::asio::io_context &Io, const Arguments &Given, double Rate, Way &Direct,
         Way &Through)
      : m_Timer(Io), m_Random(Given.m_Seed), m_Gap(2 * Rate), m_Ways{&Direct, &Through},
        m_Start(SystemClock{}.now()), m_MeasureFrom(m_Start + seconds(Given.m_WarmUp)),
        m_End(m_MeasureFrom + seconds(Given.m_Seconds)), m_Intended(m_Start),
        m_Pid(Given.m_EntryPid) {
    next();
  }

  double entrySeconds() const { return m_EntryAfter - m_EntryBefore; }

private:
  static Duration seconds(double Value) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Value));
  }

  void next() {
    m_Intended += seconds(m_Gap(m_Random));
    if (m_Intended >= m_End) {
      m_EntryAfter = processorSeconds(m_Pid);
      return;
    }
    m_Timer.expires_at(m_Intended);
    m_Timer.async_wait([this](const ErrorCode &) { send(); });
  }

  void send() {
    const bool Measured = m_Intended >= m_MeasureFrom;
    if (Measured && m_EntryBefore < 0) {
      m_EntryBefore = processorSeconds(m_Pid);
    }
    m_Ways[m_Turn++ % 2]->send(m_Intended, Measured);
    next();
  }

  boost::asio::steady_timer m_Timer;
  std::mt19937_64 m_Random;
  std::exponential_distribution<double> m_Gap;
  std::array<Way *, 2> m_Ways;
  TimePoint m_Start;
  TimePoint m_MeasureFrom;
  TimePoint m_End;
  TimePoint m_Intended;
  int m_Pid;
  std::size_t m_Turn = 0;
  double m_EntryBefore = -1;
  double m_EntryAfter = 0;
};

RateResult measure(const Arguments &Given, const std::vector<Tcp::endpoint> &Servers, double Rate) {
  boost::asio::io_context Io(1);
  Way Direct(Io, Servers);
  Way Through(Io, {endpointOf(Given.m_Entry)});
  Sender Running(Io, Given, Rate, Direct, Through);
  Io.run();
  return {.m_Rate = Rate,
          .m_Direct = Direct.m_Result,
          .m_Through = Through.m_Result,
          .m_EntrySeconds = Running.entrySeconds()};
}

Json baseSettings() {
  return {{"services",
           {{"bench",
             {{"kinds", {{"echo", {{"weight", 1}, {"deadline_ms", 2000}, {"idempotent", true}}}}},
              {"policy", {{"name", "leased"}, {"hedge_factor", 0}}}}}}}};
}

Json overlaySettings(const Json &Backends) {
  Json Servers = Json::object();
  for (const Json &Server : Backends.at("servers")) {
    const std::string Name = Server.at("name");
    Servers[Name.substr(Name.find('/') + 1)] = {
        {"address", Server.at("address")}, {"data_center", "eros"}, {"slots", Server.at("slots")}};
  }
  return {{"data_centers", {"eros"}}, {"services", {{"bench", {{"servers", Servers}}}}}};
}

void require(const Result<std::string> &Value) {
  if (!Value) {
    throw std::runtime_error(toString(Value.error()));
  }
}

void publish(const Arguments &Given, const std::string &File, const Json &Content) {
  config::Change Value;
  Value.m_File = File;
  Value.m_Version = 1;
  Value.m_ChangeId = "bench-" + File;
  Value.m_Operator = "bench";
  Value.m_Content = config::canonicalJson(Content.dump()).value();
  const std::string Record = config::encode(Value);
  require(load::httpCall(
      {.m_Address = Given.m_Platform, .m_Method = "POST", .m_Target = "/log", .m_Body = Record}));
}

void awaitReady(const Arguments &Given) {
  const TimePoint Limit = SystemClock{}.now() + ReadyTimeout;
  while (!load::httpCall({.m_Address = Given.m_Admin, .m_Target = "/ready"})) {
    if (SystemClock{}.now() > Limit) {
      throw std::runtime_error("the entry process did not become ready");
    }
    std::this_thread::sleep_for(ReadyPause);
  }
}

/// The latency that a share of the requests does not exceed, in milliseconds.
double millis(std::vector<Duration> Sorted, double Share) {
  if (Sorted.empty()) {
    return 0;
  }
  const auto Last = static_cast<double>(Sorted.size() - 1);
  const auto Place = Sorted.begin() + static_cast<std::ptrdiff_t>(Last * Share);
  std::ranges::nth_element(Sorted, Place);
  return std::chrono::duration<double, std::milli>(*Place).count();
}

Json report(const RateResult &Value) {
  Json Out{{"rate_per_s_each_way", Value.m_Rate},
           {"direct", {{"sent", Value.m_Direct.m_Sent}, {"failed", Value.m_Direct.m_Failed}}},
           {"through", {{"sent", Value.m_Through.m_Sent}, {"failed", Value.m_Through.m_Failed}}}};
  fmt::print("{:.0f}/s each way, {} + {} requests, failed {} + {}\n", Value.m_Rate,
             Value.m_Direct.m_Sent, Value.m_Through.m_Sent, Value.m_Direct.m_Failed,
             Value.m_Through.m_Failed);
  fmt::print("  {:>6} {:>10} {:>12} {:>9}\n", "", "direct ms", "through ms", "added ms");
  for (const auto &[Name, Share] : {std::pair{"p50", 0.5}, {"p99", 0.99}, {"p99.9", 0.999}}) {
    const double Direct = millis(Value.m_Direct.m_Latencies, Share);
    const double Through = millis(Value.m_Through.m_Latencies, Share);
    fmt::print("  {:>6} {:>10.3f} {:>12.3f} {:>9.3f}\n", Name, Direct, Through, Through - Direct);
    Out[Name] = {{"direct_ms", Direct}, {"through_ms", Through}, {"added_ms", Through - Direct}};
  }
  const double Calls = static_cast<double>(Value.m_Through.m_Sent);
  const double CallsPerCore = Calls / Value.m_EntrySeconds;
  fmt::print("  entry process: {:.1f} us a call, {:.0f} calls a second and core\n",
             1e6 / CallsPerCore, CallsPerCore);
  std::fflush(stdout);
  Out["calls_per_core_s"] = CallsPerCore;
  return Out;
}

void run(const Arguments &Given) {
  std::ifstream File(Given.m_Backends);
  const Json Backends = Json::parse(File);
  std::vector<Tcp::endpoint> Servers;
  for (const Json &Server : Backends.at("servers")) {
    Servers.push_back(endpointOf(Server.at("address")));
  }
  publish(Given, "base", baseSettings());
  publish(Given, "overlay/bench", overlaySettings(Backends));
  awaitReady(Given);
  Json All = Json::array();
  for (const double Rate : Given.m_Rates) {
    All.push_back(report(measure(Given, Servers, Rate)));
  }
  if (!Given.m_Json.empty()) {
    std::ofstream(Given.m_Json) << All.dump(2) << '\n';
  }
}

} // namespace

int main(int Count, char **Values) {
  Arguments Given;
  CLI::App App("Time that one entry process adds; started by scripts/bench-added-latency.sh");
  App.add_option("--backends", Given.m_Backends, "address file of vanillahill-backend")->required();
  App.add_option("--platform", Given.m_Platform, "IP:port of the platform stand-in")->required();
  App.add_option("--entry", Given.m_Entry, "caller address of the entry process")->required();
  App.add_option("--admin", Given.m_Admin, "admin address of the entry process")->required();
  App.add_option("--entry-pid", Given.m_EntryPid, "its process id")->required();
  App.add_option("--rates", Given.m_Rates, "requests a second each way")
      ->delimiter(',')
      ->capture_default_str();
  App.add_option("--warm-up", Given.m_WarmUp, "seconds before measuring")->capture_default_str();
  App.add_option("--seconds", Given.m_Seconds, "seconds measured at each rate")
      ->capture_default_str();
  App.add_option("--seed", Given.m_Seed, "seed of the sending times")->capture_default_str();
  App.add_option("--json", Given.m_Json, "file for the figures");
  CLI11_PARSE(App, Count, Values);
  try {
    run(Given);
  } catch (const std::exception &Raised) {
    std::cerr << "bench-added-latency: " << Raised.what() << '\n';
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
