/// \file
/// The platform's entry process inside a test, with servers and a configuration for it.
#pragma once

#include "front.hpp"
#include "store_fake.hpp"

#include <functional>
#include <string>
#include <thread>

namespace vanillahill::wire::fakes {

using net::fakes::Backend;
using net::fakes::BackendRequest;
using net::fakes::CallerReply;
using net::fakes::Client;

/// Backend server that uses the platform's headers.
class PlatformServer {
public:
  using ReplyFunction = std::function<std::string(const BackendRequest &)>;

  explicit PlatformServer(std::string Id, ReplyFunction Serve = {})
      : m_Id(std::move(Id)), m_Serve(std::move(Serve)),
        m_Server([this](const BackendRequest &Request) { return answer(Request); }) {}

  std::string record(std::string_view State = "ready", int Sequence = 1,
                     std::string_view Service = "svc") const {
    return "{\"service\":\"" + std::string(Service) +
           "\",\"address\":\"127.0.0.1:" + std::to_string(m_Server.port()) +
           "\",\"zone\":\"dc1\",\"version\":\"v1\",\"capacity\":3,\"state\":\"" +
           std::string(State) +
           "\",\"warmup_left\":\"0ms\",\"sequence\":" + std::to_string(Sequence) +
           ",\"born\":1000}";
  }

  const std::string &id() const { return m_Id; }
  int served() const { return m_Served; }

  /// A signed reply with the request's id.
  static std::string reply(const BackendRequest &Request, std::string_view Status,
                           std::string_view Body, std::string_view ExtraHeaders = {}) {
    return "HTTP/1.1 " + std::string(Status) +
           "\r\nRequest-Id: " + std::string(Request["Request-Id"]) +
           "\r\nResponse-Signature: sig\r\n" + std::string(ExtraHeaders) +
           "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + std::string(Body);
  }

private:
  std::string answer(const BackendRequest &Request) {
    if (Request.target() == "/health") {
      return "HTTP/1.1 200 OK\r\nInstance-Id: " + m_Id +
             "\r\nBackend-Load: 0,0,3,100\r\nContent-Length: 0\r\n\r\n";
    }
    if (Request["Target-Instance"] != m_Id) {
      return "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }
    ++m_Served;
    return m_Serve ? m_Serve(Request) : reply(Request, "200 OK", "whole", "X-Own: kept\r\n");
  }

  std::string m_Id;
  ReplyFunction m_Serve;
  std::atomic<int> m_Served = 0;
  Backend m_Server;
};

inline std::string configuration(int Version, std::string_view MoreRoutes = {}) {
  return "{\"version\":\"r" + std::to_string(Version) +
         "\",\"resources\":["
         "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"look\"},\"spec\":{\"host\":"
         "\"a.example\",\"path_prefix\":\"/look/\",\"kind\":\"safe\",\"timeout\":\"900ms\","
         "\"target_latency\":\"200ms\",\"priority\":2,\"service\":\"svc\",\"max_attempts\":2}},"
         "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"post\"},\"spec\":{\"host\":"
         "\"a.example\",\"path_prefix\":\"/post/\",\"kind\":\"unsafe\",\"timeout\":\"900ms\","
         "\"target_latency\":\"200ms\",\"priority\":1,\"service\":\"svc\",\"max_attempts\":2}}," +
         std::string(MoreRoutes) +
         "{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"svc\"},\"spec\":{"
         "\"health_path\":\"/health\",\"max_connections\":50}},"
         "{\"resource_kind\":\"services\",\"metadata\":{\"name\":\"other\"},\"spec\":{"
         "\"health_path\":\"/health\",\"max_connections\":50}},"
         "{\"resource_kind\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":4000,"
         "\"max_body_bytes\":9000,\"header_timeout\":\"2s\",\"idle_timeout\":\"5s\"}}]}";
}

/// Runs the platform's entry process in a thread of the test.
class RunningFront {
public:
  /// Most tests do not look at the stop and need it to be short.
  static constexpr std::chrono::milliseconds ShortGrace{400};

  explicit RunningFront(const FakeStore &Store, std::string SettingsPath = {},
                        std::uint16_t PeerPort = 0, Duration Grace = ShortGrace,
                        std::uint16_t RelayPort = 0) {
    ProcessSettings Process{.m_Name = "n1",
                            .m_Ip = "127.0.0.1",
                            .m_DataCenter = "dc1",
                            .m_CallerAddress = "127.0.0.1:0",
                            .m_ReadyAddress = "127.0.0.1:0",
                            .m_PeerPort = PeerPort,
                            .m_RelayPort = RelayPort,
                            .m_StoreAddress = Store.address(),
                            .m_StopGrace = Grace,
                            .m_DrainBound = std::chrono::milliseconds(200),
                            .m_ConfigBound = std::chrono::milliseconds(200),
                            .m_RetryRatio = 0.5,
                            .m_RetryWindow = std::chrono::seconds(5),
                            .m_ProbesPerSecond = 500};
    m_Front = Front::open({.m_Process = std::move(Process),
                           .m_SettingsPath = std::move(SettingsPath),
                           .m_MetricsPort = 0})
                  .value();
    m_Thread = std::thread([this] { m_Front->run(); });
  }

  ~RunningFront() {
    if (m_Thread.joinable()) {
      m_Front->requestStop();
      m_Thread.join();
    }
  }
  RunningFront(const RunningFront &) = delete;
  RunningFront &operator=(const RunningFront &) = delete;

  unsigned readiness() {
    Client Balancer(m_Front->readyPort());
    return Balancer.ask("GET /-/readiness HTTP/1.1\r\nHost: a\r\n\r\n").result_int();
  }

  /// Waits until the process is ready. If it never is, the test ends by its time limit.
  void awaitReady() { awaitReadiness(200); }
  void awaitReadiness(unsigned Status) {
    while (readiness() != Status) {
      std::this_thread::yield();
    }
  }

  CallerReply ask(std::string_view Path, std::string_view Method = "GET") {
    Client Caller(m_Front->callerPort());
    return Caller.ask(request(Path, Method));
  }

  /// Repeats the request until the answer has this status.
  void awaitAnswer(std::string_view Path, unsigned Status) {
    while (ask(Path).result_int() != Status) {
      std::this_thread::yield();
    }
  }

  static std::string request(std::string_view Path, std::string_view Method = "GET",
                             std::string_view Id = "id-1") {
    return std::string(Method) + " " + std::string(Path) +
           " HTTP/1.1\r\nHost: A.example\r\nRequest-Id: " + std::string(Id) +
           "\r\nDeadline-Ms: 700\r\nTarget-Instance: forged\r\nContent-Length: 0\r\n\r\n";
  }

  std::string metrics() {
    Client Operator(m_Front->metricsPort());
    return Operator.ask("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n").body();
  }

  std::uint16_t callerPort() const { return m_Front->callerPort(); }
  Front &front() { return *m_Front; }
  void awaitStopped() { m_Thread.join(); }

private:
  std::unique_ptr<Front> m_Front;
  std::thread m_Thread;
};

/// Text of a settings file with the fields that a reload reads.
inline std::string settingsText(std::string_view Seed, std::string_view Grace = "400ms") {
  return "{\"self\":{\"node\":\"n1\",\"ip\":\"127.0.0.1\",\"zone\":\"dc1\",\"limits\":{\"cores\":1}"
         "},"
         "\"network\":{\"listen\":{\"front\":\"127.0.0.1:1\",\"ready\":\"127.0.0.1:2\"},"
         "\"internal_port_range\":[7000,7001],\"seeds\":[\"" +
         std::string(Seed) +
         ":1\"]},\"platform\":{\"platform\":{\"address\":\"127.0.0.1:3\"}},"
         "\"terms\":{\"bounds\":{\"grace\":\"" +
         std::string(Grace) +
         "\",\"drain\":\"200ms\",\"config\":\"200ms\","
         "\"budget_ratio\":0.5,\"budget_window\":\"5s\",\"probes_per_s\":500}}}";
}

} // namespace vanillahill::wire::fakes
