#include "net_fakes.hpp"

#include <gtest/gtest.h>

namespace vanillahill::net::fakes {
namespace {

constexpr std::string_view Look = "GET /desk/look/7 HTTP/1.1\r\nHost: vh\r\n\r\n";

std::string echoPath(const BackendRequest &Request) {
  return Backend::reply(Request, std::string(Request.target()), "Content-Type: text/plain\r\n");
}

TEST(Entry, PassesARequestOnAndTheWholeAnswerBack) {
  Backend Server(echoPath);
  RunningEntry Vm(deskSettings({Server.port()}));
  Client Caller(Vm->callerPort());
  for (int Round = 0; Round < 3; ++Round) {
    const auto Answer = Caller.ask(Look);
    EXPECT_EQ(Answer.result_int(), 200U);
    EXPECT_EQ(Answer.body(), "/desk/look/7");
    EXPECT_EQ(Answer["VH-Outcome"], "completed");
    EXPECT_EQ(Answer["Content-Type"], "text/plain");
  }
}

TEST(Entry, TellsOfAnUnknownKind) {
  RunningEntry Vm(deskSettings({}));
  Client Caller(Vm->callerPort());
  const auto Answer = Caller.ask("GET /desk/other HTTP/1.1\r\nHost: vh\r\n\r\n");
  EXPECT_EQ(Answer.result_int(), 404U);
  EXPECT_EQ(Answer["VH-Outcome"], "not-run");
  EXPECT_EQ(Answer["VH-Reason"], "unknown_kind");
}

} // namespace
} // namespace vanillahill::net::fakes
