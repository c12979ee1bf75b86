#include "vanillahill/net/platform_json.hpp"

#include <gtest/gtest.h>

namespace vanillahill::net {
namespace {

TEST(PlatformJson, ReadsALogPage) {
  const auto Page = parseLogPage(
      R"({"first":3,"next":6,"records":[{"offset":3,"data":"a"},{"offset":5,"data":"b"}]})");
  ASSERT_TRUE(Page);
  EXPECT_EQ(Page->m_First, 3U);
  EXPECT_EQ(Page->m_Next, 6U);
  ASSERT_EQ(Page->m_Records.size(), 2U);
  EXPECT_EQ(Page->m_Records[1].m_Offset, 5U);
  EXPECT_EQ(Page->m_Records[1].m_Data, "b");
}

TEST(PlatformJson, ReadsTheVmList) {
  const auto List = parseVmList(
      R"({"vms":[{"name":"e1","peer_address":"127.0.0.1:1","data_center":"d","state":"live"},
                 {"name":"e2","peer_address":"127.0.0.1:2","data_center":"d","state":"leaving"}]})");
  ASSERT_TRUE(List);
  ASSERT_EQ(List->m_Vms.size(), 2U);
  EXPECT_FALSE(List->m_Vms[0].m_Leaving);
  EXPECT_TRUE(List->m_Vms[1].m_Leaving);
}

TEST(PlatformJson, RejectsMalformedText) {
  for (const auto *Text : {"", "[]", "{}", R"({"next":-1,"records":[]})", R"({"next":1})",
                           R"({"next":1,"records":[{"offset":"x","data":""}]})",
                           R"({"vms":[{"name":"e1"}]})", R"({"vms":{"a":1}})"}) {
    const auto Page = parseLogPage(Text);
    ASSERT_FALSE(Page) << Text;
    EXPECT_EQ(Page.error().m_Code, make_error_code(Errc::RecordMalformed));
    EXPECT_FALSE(parseVmList(Text)) << Text;
  }
}

} // namespace
} // namespace vanillahill::net
