#include "vanillahill/load/fault.hpp"

#include <gtest/gtest.h>

namespace vanillahill::load {
namespace {

using std::chrono::milliseconds;

TEST(FaultScript, ReadsEveryFieldOfASlowServer) {
  const auto Faults = parseFaults(
      R"({"faults":[{"fault":"slow","server":"rounds-desk/s01","factor":8,"at_ms":1500,
          "for_ms":200,"every_ms":1000,"times":5}]})",
      "script.json");
  ASSERT_TRUE(Faults) << toString(Faults.error());
  ASSERT_EQ(Faults->size(), 1U);
  const Fault &Slow = Faults->front();
  EXPECT_EQ(Slow.m_Kind, FaultKind::Slow);
  EXPECT_EQ(Slow.m_Factor, 8.0);
  EXPECT_EQ(Slow.m_At, milliseconds(1500));
  EXPECT_EQ(Slow.m_For, milliseconds(200));
  EXPECT_EQ(Slow.m_Every, milliseconds(1000));
  EXPECT_EQ(Slow.m_Times, 5U);
}

TEST(FaultScript, MatchesOneServerOneServiceOrAll) {
  EXPECT_TRUE(Fault{.m_Server = "*"}.matches("ledger-view/s02"));
  EXPECT_TRUE(Fault{.m_Server = "ledger-view/*"}.matches("ledger-view/s02"));
  EXPECT_FALSE(Fault{.m_Server = "ledger-view/*"}.matches("rounds-desk/s02"));
  EXPECT_FALSE(Fault{.m_Server = "ledger-view/s02"}.matches("ledger-view/s021"));
}

struct Refused {
  std::string_view m_Text;
  Errc m_Code;
  std::string_view m_Place;
};

class FaultScriptErrors : public testing::TestWithParam<Refused> {};

TEST_P(FaultScriptErrors, NameThePointer) {
  const auto Faults = parseFaults(GetParam().m_Text, "script.json");
  ASSERT_FALSE(Faults);
  EXPECT_EQ(Faults.error().m_Code, make_error_code(GetParam().m_Code));
  EXPECT_EQ(Faults.error().m_Peer, "script.json");
  EXPECT_TRUE(Faults.error().m_Detail.starts_with(GetParam().m_Place)) << Faults.error().m_Detail;
}

INSTANTIATE_TEST_SUITE_P(
    Cases, FaultScriptErrors,
    testing::Values(
        Refused{"{", Errc::SettingsNotJson, "not JSON"},
        Refused{R"({"faults":3})", Errc::SettingsWrongType, "/faults"},
        Refused{R"({"faults":[{"fault":"drain","server":"*"},{"fault":"doze","server":"*"}]})",
                Errc::SettingsOutOfRange, "/faults/1/fault: \"doze\" is none of \"slow\""},
        Refused{R"({"faults":[{"server":"*"}]})", Errc::SettingsMissingField, "/faults/0/fault"},
        Refused{R"({"fault":"slow","server":"*","for_ms":-1})", Errc::SettingsOutOfRange,
                "/for_ms: -1"},
        Refused{R"({"fault":"slow","server":"*","factor":"x"})", Errc::SettingsWrongType,
                "/factor"},
        Refused{R"({"fault":"slow","server":"*","until":1})", Errc::SettingsUnknownField,
                "/until"}));

} // namespace
} // namespace vanillahill::load
