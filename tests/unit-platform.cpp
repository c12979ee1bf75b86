#include "vanillahill/platform/service.hpp"

#include <gtest/gtest.h>

namespace vanillahill::platform {
namespace {

using std::chrono::milliseconds;

class PlatformTest : public testing::Test {
protected:
  Verdict call(std::string_view Method, std::string_view Target, std::string_view Body = "") {
    return m_Service.answer({Method, Target, Body}, m_Clock.now(), true);
  }

  PausedClock m_Clock;
  Service m_Service{{.m_Retention = {.m_Age = milliseconds(100), .m_Records = 3}}};
};

TEST_F(PlatformTest, RecordsAgeOutByCountAndByTime) {
  m_Clock.advance(std::chrono::hours(1));
  for (const char *Data : {"a", "b", "c", "d"}) {
    call("POST", "/log", Data);
  }
  EXPECT_EQ(call("GET", "/log?from=0").m_Body,
            R"({"first":1,"next":4,"records":[{"data":"b","offset":1},)"
            R"({"data":"c","offset":2},{"data":"d","offset":3}]})");
  m_Clock.advance(milliseconds(101));
  EXPECT_EQ(call("GET", "/log?from=0").m_Body, R"({"first":4,"next":4,"records":[]})");
}

TEST_F(PlatformTest, AReadAtTheEndWaits) {
  EXPECT_EQ(call("GET", "/log?from=0&wait_ms=250").m_Wait, milliseconds(250));
  call("POST", "/log", "a");
  EXPECT_EQ(call("GET", "/log?from=0&wait_ms=250").m_Wait, Duration::zero());
}

TEST_F(PlatformTest, ALostReplyTookEffect) {
  call("PUT", "/fault", R"({"lose_replies": 1})");
  EXPECT_TRUE(call("POST", "/log", "a").m_Lost);
  EXPECT_EQ(m_Service.nextOffset(), 1U);
}

TEST_F(PlatformTest, AnOutageRefusesReadsAndAppends) {
  call("PUT", "/fault", R"({"log": "down"})");
  EXPECT_EQ(call("GET", "/log?from=0").m_Status, 503U);
  EXPECT_EQ(call("POST", "/log", "a").m_Status, 503U);
  EXPECT_EQ(m_Service.nextOffset(), 0U);
  call("PUT", "/fault", R"({"log": "slow", "slow_ms": 40})");
  EXPECT_EQ(call("POST", "/log", "a").m_Delay, milliseconds(40));
}

TEST_F(PlatformTest, TheVmListLagsBehind) {
  const char *Vm = R"({"peer_address": "127.0.0.1:1", "data_center": "eros", "state": "leaving"})";
  m_Clock.advance(milliseconds(1000));
  call("PUT", "/fault", R"({"vm_list_lag_ms": 50})");
  call("PUT", "/vms/e1", Vm);
  EXPECT_EQ(call("GET", "/vms").m_Body, R"({"vms":[]})");
  m_Clock.advance(milliseconds(50));
  EXPECT_EQ(call("GET", "/vms").m_Body,
            R"({"vms":[{"data_center":"eros","name":"e1","peer_address":"127.0.0.1:1",)"
            R"("state":"leaving"}]})");
}

TEST_F(PlatformTest, BadCallsAreRefused) {
  EXPECT_EQ(call("PUT", "/vms/e1", "{").m_Status, 400U);
  EXPECT_EQ(call("PUT", "/vms/e1", "{}").m_Status, 400U);
  EXPECT_EQ(call("PUT", "/fault", "[]").m_Status, 400U);
  EXPECT_EQ(call("GET", "/nothing").m_Status, 404U);
  EXPECT_EQ(call("DELETE", "/vms/e9").m_Status, 404U);
  EXPECT_EQ(call("DELETE", "/log").m_Status, 405U);
}

} // namespace
} // namespace vanillahill::platform
