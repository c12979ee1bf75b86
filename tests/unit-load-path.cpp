#include "vanillahill/load/backend_host.hpp"
#include "vanillahill/load/http_call.hpp"
#include "vanillahill/load/load_runner.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace vanillahill::load {
namespace {

using std::chrono::milliseconds;

/// A backend server stand-in on free ports, which the load tool asks as if it were an entry VM.
class LoadPath : public testing::Test {
protected:
  void open(BackendHostOptions Options = {}) {
    Options.m_Services = {{.m_Name = "rounds-desk", .m_Servers = 2, .m_Slots = 50}};
    Options.m_Time = {.m_Mean = milliseconds(2), .m_Tail = Tail::Fixed};
    auto Opened = BackendHost::open(std::move(Options));
    ASSERT_TRUE(Opened) << toString(Opened.error());
    m_Host = std::move(*Opened);
    m_Addresses = nlohmann::json::parse(m_Host->addresses());
    m_Thread = std::thread([this] { m_Host->run(); });
  }
  void TearDown() override {
    m_Host->stop();
    m_Thread.join();
  }
  void strike(std::string_view Fault) {
    ASSERT_TRUE(httpCall({.m_Address = m_Addresses["control"],
                          .m_Method = "PUT",
                          .m_Target = "/fault",
                          .m_Body = Fault}));
  }
  LoadResult load(std::vector<std::string> Extra = {}) {
    LoadOptions Options;
    Options.m_Kinds = {{.m_Name = "rounds-desk/round-lookup", .m_Idempotent = true},
                       {.m_Name = "rounds-desk/sign-off"}};
    Options.m_Entries = std::move(Extra);
    for (const auto &Server : m_Addresses["servers"]) {
      Options.m_Entries.push_back(Server["address"]);
    }
    Options.m_RequestsPerSecond = 500;
    Options.m_Time = milliseconds(200);
    Options.m_Control = m_Addresses["control"];
    const Result<LoadResult> Measured = runLoad(Options);
    return Measured.value();
  }

  std::unique_ptr<BackendHost> m_Host;
  nlohmann::json m_Addresses;
  std::thread m_Thread;
};

TEST_F(LoadPath, EveryAnswerIsOwnAndWhole) {
  open();
  const LoadResult Measured = load();
  EXPECT_GT(Measured.sent(), 50U);
  EXPECT_EQ(Measured.completed(), Measured.sent());
  EXPECT_EQ(Measured.m_Foreign + Measured.m_Incomplete, 0U);
  EXPECT_EQ(Measured.m_Measuring.size(), 2U);
  EXPECT_NE(table(Measured).find("rounds-desk/sign-off"), std::string::npos);
  EXPECT_EQ(nlohmann::json::parse(toJson(Measured))["sent"], Measured.sent());
}

TEST_F(LoadPath, SwappedRepliesAreFoundForeign) {
  open();
  strike(R"({"fault":"swap-reply","server":"*","share":0.5})");
  EXPECT_GT(load().m_Foreign, 0U);
}

TEST_F(LoadPath, CutRepliesAreNotWhole) {
  open();
  strike(R"({"fault":"cut-reply","server":"*"})");
  const LoadResult Measured = load();
  EXPECT_EQ(Measured.completed(), 0U);
  EXPECT_EQ(Measured.m_Kinds.front().m_Cut, Measured.m_Kinds.front().m_Sent);
}

TEST_F(LoadPath, NotRunIsToldFromAnError) {
  open();
  strike(R"({"fault":"fail-fast","server":"*","mode":"not-run"})");
  const LoadResult Measured = load();
  EXPECT_EQ(Measured.m_Kinds.back().m_NotRun, Measured.m_Kinds.back().m_Sent);
}

TEST_F(LoadPath, AnEntryThatRefusesConnectionsLosesNoRequest) {
  open();
  constexpr auto ClosedPort = "127.0.0.1:1";
  const LoadResult Measured = load({ClosedPort});
  EXPECT_EQ(Measured.completed(), Measured.sent());
  EXPECT_GT(Measured.m_RefusedConnections, 0U);
}

TEST_F(LoadPath, AScriptErrorIsAnsweredWithItsPointer) {
  open();
  const auto Refused = httpCall({.m_Address = m_Addresses["control"],
                                 .m_Method = "PUT",
                                 .m_Target = "/fault",
                                 .m_Body = R"({"faults":[{"fault":"nap","server":"*"}]})"});
  ASSERT_FALSE(Refused);
  EXPECT_NE(Refused.error().m_Detail.find("/faults/0/fault"), std::string::npos);
}

} // namespace
} // namespace vanillahill::load
