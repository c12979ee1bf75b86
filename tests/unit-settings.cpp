#include "vanillahill/settings/load.hpp"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>

namespace vanillahill::settings {
namespace {

using Json = nlohmann::json;

constexpr const char *BaseText = R"({
  "services": {"desk": {"kinds": {"look": {"deadline_ms": 300, "idempotent": true}}}},
  "membership": {"max_vms": 8}
})";
constexpr const char *OverlayText = R"({
  "data_centers": ["eros"],
  "services": {"desk": {"servers": {
    "s01": {"address": "10.0.0.1:80", "data_center": "eros", "slots": 6}}}}
})";

CheckOptions options(std::string Site = "khomas") {
  return {.m_Site = std::move(Site), .m_BaseFile = "base", .m_OverlayFile = "overlay/khomas"};
}

/// Problems of the valid base and overlay after one value of the overlay is replaced.
Problems problemsAfterOverlayChange(const char *Pointer, const Json &Value) {
  Json Overlay = Json::parse(OverlayText);
  Overlay[Json::json_pointer(Pointer)] = Value;
  return checkSite(BaseText, Overlay.dump(), options()).m_Problems;
}

TEST(Settings, BothExampleDeploymentsLoad) {
  struct Example {
    std::string m_Folder;
    std::string m_Site;
    std::size_t m_DataCenters;
    std::uint32_t m_Slots;
  };
  for (const Example &Each :
       {Example{"clearview", "khomas", 4, 6}, Example{"higijena", "zagreb", 3, 4}}) {
    const std::string Folder = "examples/" + Each.m_Folder;
    const Checked Site = checkSite(*readText(Folder + "/base.json"),
                                   *readText(Folder + "/overlay.json"), options(Each.m_Site));
    ASSERT_EQ(Site.m_Problems, Problems()) << toString(Site.m_Problems.front());
    EXPECT_EQ(Site.m_Settings->m_Site, Each.m_Site);
    EXPECT_EQ(Site.m_Settings->m_DataCenters.size(), Each.m_DataCenters);
    ASSERT_EQ(Site.m_Settings->m_Services.size(), 2U);
    for (const ServiceSettings &Service : Site.m_Settings->m_Services) {
      const bool Large = Service.m_Name == "rounds-desk" || Service.m_Name == "renewals";
      EXPECT_EQ(Service.m_Servers.size(), Large ? 20U : 15U);
      EXPECT_EQ(Service.m_Servers.front().m_Slots, Each.m_Slots);
    }
    const Result<VmSettings> Vm = loadVmSettings(Folder + "/vm.json");
    ASSERT_TRUE(Vm.has_value()) << toString(Vm.error());
    EXPECT_EQ(Vm->m_Site, Each.m_Site);
  }
}

TEST(Settings, OverlayIsAppliedAsAJsonMergePatch) {
  Json Overlay = Json::parse(OverlayText);
  Overlay["services"]["desk"]["kinds"]["look"]["deadline_ms"] = 120;
  Overlay["membership"] = nullptr;
  const Checked Site = checkSite(BaseText, Overlay.dump(), options());
  ASSERT_TRUE(Site.m_Settings);
  const KindSettings &Kind = Site.m_Settings->m_Services.front().m_Kinds.front();
  EXPECT_EQ(Kind.m_Deadline, std::chrono::milliseconds(120));
  EXPECT_TRUE(Kind.m_Idempotent);
  EXPECT_EQ(Kind.m_Id, idOf<KindId>("desk/look"));
  EXPECT_EQ(Site.m_Settings->m_Membership.m_MaxVms, MembershipSettings().m_MaxVms);
}

TEST(Settings, EachInvalidValueIsReportedWithFilePointerAndAllowedValues) {
  struct Case {
    const char *m_Pointer;
    Json m_Value;
    Errc m_Code;
    const char *m_Allowed;
  };
  const std::string Server = "/services/desk/servers/s01/";
  const std::vector<Case> Cases = {
      {"/services/desk/servers/s01/slots", 0, Errc::SettingsOutOfRange,
       "whole number from 1 to 1024 (requests)"},
      {"/services/desk/servers/s01/slots", -1, Errc::SettingsOutOfRange,
       "whole number from 1 to 1024 (requests)"},
      {"/services/desk/servers/s01/slots", 6.5, Errc::SettingsWrongType,
       "whole number from 1 to 1024 (requests)"},
      {"/services/desk/servers/s01/address", "localhost:80", Errc::SettingsOutOfRange,
       "IP:port with a port from 1 to 65535"},
      {"/services/desk/servers/s01/address", "10.0.0.1:70000", Errc::SettingsOutOfRange,
       "IP:port with a port from 1 to 65535"},
      {"/services/desk/servers/s01/address", "[::1]:0", Errc::SettingsOutOfRange,
       "IP:port with a port from 1 to 65535"},
      {"/services/desk/servers/s01/data_center", "olympia", Errc::SettingsConflict,
       "one of /data_centers: eros"},
      {"/services/desk/servers/s01/max_connections", 4, Errc::SettingsConflict,
       "at least /membership/max_vms, 8"},
      {"/services/desk/servers/s01/leaving", "yes", Errc::SettingsWrongType, "true or false"},
      {"/services/desk/servers/s01/port", 80, Errc::SettingsUnknownField,
       "one of address, data_center, leaving, max_connections, slots"},
      {"/services/desk/servers", Json::object(), Errc::SettingsConflict,
       "object of at least one backend server by name"},
      {"/services/desk/servers", 7, Errc::SettingsWrongType,
       "object of at least one backend server by name"},
      {"/services/desk/policy", Json{{"name", "fastest"}}, Errc::SettingsOutOfRange,
       "one of leased, naive"},
      {"/services/desk/policy", Json{{"retry_ratio", 1.5}}, Errc::SettingsOutOfRange,
       "number from 0 to 1 (share of first attempts)"},
      {"/data_centers/1", "eros", Errc::SettingsConflict, "each data centre once"},
      {"/data_centers/0", "Eros", Errc::SettingsOutOfRange,
       "1 to 64 characters of a-z, 0-9 and -, the first a letter or a digit"},
      {"/callers", Json{{"timeout_ms", 5}}, Errc::SettingsOutOfRange,
       "whole number from 10 to 600000 (ms)"},
      {"/membership", Json{{"lease_ms", 500}}, Errc::SettingsConflict,
       "at least 600 (ms), which is 3 heartbeat periods"},
      {"/log", Json{{"retention_ms", 1}}, Errc::SettingsOutOfRange,
       "whole number from 60000 to 31622400000 (ms)"},
  };
  for (const Case &Each : Cases) {
    const Problems Found = problemsAfterOverlayChange(Each.m_Pointer, Each.m_Value);
    const auto Match = std::find_if(Found.begin(), Found.end(), [&](const Problem &One) {
      return One.m_Pointer.starts_with(Each.m_Pointer) && One.m_Code == Each.m_Code;
    });
    ASSERT_NE(Match, Found.end()) << Each.m_Pointer << " = " << Each.m_Value;
    EXPECT_EQ(Match->m_File, "overlay/khomas") << Each.m_Pointer;
    EXPECT_EQ(Match->m_Allowed, Each.m_Allowed) << Each.m_Pointer;
    EXPECT_FALSE(Match->m_Found.empty());
  }
  EXPECT_EQ(toString(problemsAfterOverlayChange("/services/desk/servers/s01/slots", 5000).front()),
            "overlay/khomas: /services/desk/servers/s01/slots: value is out of range: "
            "found 5000, allowed: whole number from 1 to 1024 (requests)");
}

TEST(Settings, AnInvalidValueOfTheBaseIsReportedForTheBaseFile) {
  Json Base = Json::parse(BaseText);
  Base["services"]["desk"]["kinds"]["look"]["weight"] = -2;
  const Problems Found = checkSite(Base.dump(), OverlayText, options()).m_Problems;
  ASSERT_EQ(Found.size(), 1U);
  EXPECT_EQ(Found.front().m_File, "base");
  EXPECT_EQ(Found.front().m_Pointer, "/services/desk/kinds/look/weight");
  EXPECT_EQ(Found.front().m_Found, "-2");
}

TEST(Settings, AllProblemsAreReportedTogether) {
  const Problems Found =
      checkSite(R"({"services": {"a/b": {}}, "colour": 1})", R"({"callers": []})", options())
          .m_Problems;
  std::vector<std::string> Places;
  for (const Problem &Each : Found) {
    Places.push_back(Each.m_Pointer);
  }
  std::sort(Places.begin(), Places.end());
  EXPECT_EQ(Places,
            (std::vector<std::string>{"/callers", "/colour", "/data_centers", "/services/a~1b",
                                      "/services/a~1b/kinds", "/services/a~1b/servers"}));
}

TEST(Settings, DuplicateKeysAreReportedWithTheirPointer) {
  const Problems Found =
      checkSite(R"({"services": {"desk": {}, "desk": {}}})", OverlayText, options()).m_Problems;
  ASSERT_FALSE(Found.empty());
  EXPECT_EQ(Found.front().m_Pointer, "/services/desk");
  EXPECT_EQ(Found.front().m_Code, Errc::SettingsConflict);
  EXPECT_EQ(Found.front().m_Found, "key \"desk\" twice");
}

TEST(Settings, TwoNamesWithTheSameIdAreRefused) {
  // By the birthday bound, two names with the same 32-bit id are found after some 80,000 tries.
  std::map<KindId, std::string> Seen;
  std::string First;
  std::string Second;
  for (int Number = 0; Second.empty(); ++Number) {
    std::string Name = "k" + std::to_string(Number);
    const auto [Entry, Added] = Seen.emplace(idOf<KindId>("desk/" + Name), Name);
    if (!Added) {
      First = Entry->second;
      Second = Name;
    }
  }
  Json Base = Json::parse(BaseText);
  Json &Kinds = Base["services"]["desk"]["kinds"];
  Kinds[First] = Kinds["look"];
  Kinds[Second] = Kinds["look"];
  const Problems Found = checkSite(Base.dump(), OverlayText, options()).m_Problems;
  ASSERT_EQ(Found.size(), 1U);
  EXPECT_EQ(Found.front().m_Code, Errc::SettingsConflict);
  EXPECT_TRUE(Found.front().m_Allowed.starts_with("a name whose id differs from that of"));
}

TEST(Settings, TwoServersWithTheSameAddressAreRefused) {
  const Problems Found = problemsAfterOverlayChange(
      "/services/desk/servers/s02",
      {{"address", "10.0.0.1:80"}, {"data_center", "eros"}, {"slots", 6}});
  ASSERT_EQ(Found.size(), 1U);
  EXPECT_EQ(Found.front().m_Pointer, "/services/desk/servers/s02/address");
  EXPECT_EQ(Found.front().m_Allowed, "an address that \"desk/s01\" does not have");
}

TEST(Settings, CheckBaseAcceptsMissingFieldsThatOverlaysMayAdd) {
  EXPECT_EQ(checkBase(BaseText, options()), Problems());
  const Problems Found = checkBase(R"({"membership": {"max_vms": 0}})", options());
  ASSERT_EQ(Found.size(), 1U);
  EXPECT_EQ(Found.front().m_Pointer, "/membership/max_vms");
}

TEST(Settings, MalformedTextAndMissingFilesAreReportedAsErrors) {
  for (const char *Text : {"", "{", "nul", "{\"a\":}", "\xff", "[]", "3"}) {
    EXPECT_FALSE(checkSite(Text, OverlayText, options()).m_Problems.empty()) << Text;
    EXPECT_FALSE(checkSite(BaseText, Text, options()).m_Problems.empty()) << Text;
  }
  constexpr std::size_t Deep = 1'000'000;
  const std::string Nested = std::string(Deep, '[') + std::string(Deep, ']');
  EXPECT_EQ(checkBase(Nested, options()).front().m_Allowed, "at most 32 levels");
  const Result<VmSettings> Missing = loadVmSettings("no-such-file.json");
  ASSERT_FALSE(Missing.has_value());
  EXPECT_EQ(Missing.error().m_Code, Errc::SettingsUnreadable);
  EXPECT_EQ(Missing.error().m_Peer, "no-such-file.json");
}

TEST(Settings, LoadVmSettingsReportsEveryProblem) {
  const std::string Path = testing::TempDir() + "unit-settings-vm.json";
  std::ofstream(Path) << R"({"name": "E1", "workers": 0, "admin_token": "short", "extra": 1})";
  const Result<VmSettings> Vm = loadVmSettings(Path);
  std::remove(Path.c_str());
  ASSERT_FALSE(Vm.has_value());
  for (const char *Part : {"/name", "/workers", "/admin_token", "/extra", "/peer_address"}) {
    EXPECT_NE(Vm.error().m_Detail.find(Part), std::string::npos) << Part;
  }
}

} // namespace
} // namespace vanillahill::settings
