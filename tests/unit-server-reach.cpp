#include "vanillahill/kernel/server_reach.hpp"

#include <gtest/gtest.h>

namespace vanillahill::kernel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class ServerReachTest : public testing::Test {
protected:
  /// So many servers do not answer.
  bool beSilent(std::uint32_t Count) {
    bool IsFound = false;
    for (std::uint32_t Server = 0; Server < Count; ++Server) {
      IsFound |= m_Reach.noteSilence(ServerId{Server}, m_Now);
    }
    return IsFound;
  }

  ServerReach m_Reach;
  TimePoint m_Now = TimePoint{} + std::chrono::hours(1);
};

TEST_F(ServerReachTest, SilenceOfManyServersAndAReplyOfNoneIsACut) {
  m_Reach.setServerCount(20);
  m_Reach.noteReply(m_Now);
  m_Now += seconds(1);
  EXPECT_FALSE(beSilent(3));
  EXPECT_TRUE(m_Reach.noteSilence(ServerId{9}, m_Now));
  EXPECT_TRUE(m_Reach.isCutOff());
}

TEST_F(ServerReachTest, FailingServersBesideOneThatRepliesAreNoCut) {
  m_Reach.setServerCount(20);
  for (std::uint32_t Second = 0; Second < 100; ++Second) {
    m_Now += milliseconds(100);
    m_Reach.noteReply(m_Now);
    EXPECT_FALSE(beSilent(12));
  }
}

TEST_F(ServerReachTest, OneServerThatIsAskedAgainAndAgainIsNoCut) {
  m_Reach.setServerCount(20);
  for (int Time = 0; Time < 100; ++Time) {
    m_Now += seconds(1);
    EXPECT_FALSE(m_Reach.noteSilence(ServerId{1}, m_Now));
  }
}

TEST_F(ServerReachTest, WithFewServersAllMustBeSilent) {
  m_Reach.setServerCount(2);
  m_Reach.noteReply(m_Now);
  m_Now += seconds(1);
  EXPECT_FALSE(beSilent(1));
  EXPECT_TRUE(beSilent(2));
}

TEST_F(ServerReachTest, TheFirstReplyEndsACut) {
  m_Reach.setServerCount(20);
  beSilent(4);
  ASSERT_TRUE(m_Reach.isCutOff());
  EXPECT_TRUE(m_Reach.noteReply(m_Now));
  EXPECT_FALSE(m_Reach.isCutOff());
  EXPECT_EQ(m_Reach.returns(), 1U);
  EXPECT_FALSE(m_Reach.noteReply(m_Now));
}

} // namespace
} // namespace vanillahill::kernel
