#include "net_fakes.hpp"

#include <gtest/gtest.h>

#include <csignal>
#include <future>

namespace vanillahill::net::fakes {
namespace {

constexpr std::string_view LookRequest = "GET /desk/look/7 HTTP/1.1\r\nHost: vh\r\n\r\n";

std::string echoPath(const BackendRequest &Request) {
  return Backend::reply(Request, std::string(Request.target()), "Content-Type: text/plain\r\n");
}

TEST(Entry, ForwardsRequestAndReturnsCompleteAnswer) {
  Backend Server(echoPath);
  RunningEntry Vm(deskSettings({Server.port()}));
  Client Caller(Vm->callerPort());
  for (int Round = 0; Round < 3; ++Round) {
    const auto Answer = Caller.ask(LookRequest);
    EXPECT_EQ(Answer.result_int(), 200U);
    EXPECT_EQ(Answer.body(), "/desk/look/7");
    EXPECT_EQ(Answer["VH-Outcome"], "completed");
    EXPECT_EQ(Answer["Content-Type"], "text/plain");
  }
}

TEST(Entry, AnswersUnknownKindWith404) {
  RunningEntry Vm(deskSettings({}));
  Client Caller(Vm->callerPort());
  const auto Answer = Caller.ask("GET /desk/other HTTP/1.1\r\nHost: vh\r\n\r\n");
  EXPECT_EQ(Answer.result_int(), 404U);
  EXPECT_EQ(Answer["VH-Outcome"], "not-run");
  EXPECT_EQ(Answer["VH-Reason"], "unknown_kind");
}

TEST(Entry, ServesMetricsAndStatusOnlyWithValidToken) {
  Backend Server(echoPath);
  RunningEntry Vm(deskSettings({Server.port()}));
  Client(Vm->callerPort()).ask(LookRequest);
  EXPECT_EQ(Vm.admin("/live").result_int(), 200U);
  Vm.awaitReady();
  for (const std::string_view Wrong : {"", "secret-toke", "secret-token2", "Secret-token"}) {
    EXPECT_EQ(Vm.admin("/metrics", Wrong).result_int(), 401U);
    EXPECT_EQ(Vm.admin("/status", Wrong).result_int(), 401U);
  }
  const auto Text = Vm.admin("/metrics").body();
  EXPECT_NE(Text.find("vanillahill_wrong_tokens_total 8"), std::string::npos);
  EXPECT_NE(Text.find("vanillahill_request_seconds_count{kind=\"desk/look\""), std::string::npos);
  EXPECT_NE(Text.find("vanillahill_completed_total{kind=\"desk/look\"} 1"), std::string::npos);
  EXPECT_NE(Text.find("vanillahill_peer_faults_total{reason=\"wrong_token\"} 0"),
            std::string::npos);
  EXPECT_NE(Vm.admin("/status").body().find("\"state\": \"serving\""), std::string::npos);
  EXPECT_EQ(Vm.admin("/other").result_int(), 404U);
}

TEST(Entry, AdminAddressRefusesPost) {
  RunningEntry Vm(deskSettings({}));
  Client Operator(Vm->adminPort());
  const auto Answer = Operator.ask("POST /status HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "
                                   "secret-token\r\nContent-Length: 0\r\n\r\n");
  EXPECT_EQ(Answer.result_int(), 405U);
}

TEST(Entry, SigtermCompletesRequestsInFlightAndClosesIdleConnections) {
  std::promise<void> Arrived;
  std::promise<void> Release;
  auto Released = Release.get_future().share();
  Backend Server([&Arrived, Released](const BackendRequest &Request) {
    Arrived.set_value();
    Released.wait();
    return echoPath(Request);
  });
  RunningEntry Vm(deskSettings({Server.port()}));
  Client Idle(Vm->callerPort());
  Client Caller(Vm->callerPort());
  Caller.send(LookRequest);
  Arrived.get_future().wait();
  std::raise(SIGTERM);
  while (Vm.admin("/ready").result_int() != 503) {
    std::this_thread::yield();
  }
  Release.set_value();
  const auto Answer = Caller.receive();
  EXPECT_EQ(Answer.body(), "/desk/look/7");
  EXPECT_FALSE(Answer.keep_alive());
  Caller.awaitEnd();
  Idle.awaitEnd();
  Vm.awaitStopped();
}

TEST(Entry, OpenFailsWithUnusableAddress) {
  for (const auto *Address :
       {"", "127.0.0.1", "localhost:80", "127.0.0.1:70000", "203.0.113.1:0"}) {
    EntryOptions Options;
    Options.m_Vm.m_CallerAddress = Address;
    const auto Opened = Entry::open(Options);
    ASSERT_FALSE(Opened);
    EXPECT_EQ(Opened.error().m_Code, make_error_code(Errc::AddressUnusable));
  }
  EntryOptions Options;
  Options.m_Vm = {.m_CallerAddress = "127.0.0.1:0",
                  .m_PeerAddress = "203.0.113.1:0",
                  .m_AdminAddress = "127.0.0.1:0"};
  const auto Opened = Entry::open(Options);
  ASSERT_FALSE(Opened);
  EXPECT_EQ(Opened.error().m_Step, "listen for peers");
}

} // namespace
} // namespace vanillahill::net::fakes
