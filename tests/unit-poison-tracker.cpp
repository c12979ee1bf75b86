#include "vanillahill/kernel/poison_tracker.hpp"

#include <gtest/gtest.h>

namespace vanillahill::kernel {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr RequestContent Content{.m_Hash = 1, .m_Digest = {2, 3}};
/// Another request with the same method, path and length.
constexpr RequestContent Alike{.m_Hash = 1, .m_Digest = {4, 5}};

constexpr RequestId CompletedCopy{1};
constexpr RequestId CompletedAlike{2};
/// Completed, but no longer kept.
constexpr RequestId Forgotten{3};

PoisonTracker makeTracker(std::uint64_t Seed) {
  return PoisonTracker(Seed, [](RequestId Request) {
    return Request == CompletedCopy    ? std::optional(Content)
           : Request == CompletedAlike ? std::optional(Alike)
                                       : std::nullopt;
  });
}

class PoisonTrackerTest : public testing::Test {
protected:
  /// Servers crash one second apart.
  void crash(std::uint32_t Count) {
    for (std::uint32_t Server = 0; Server < Count; ++Server) {
      m_Now += seconds(1);
      m_Last = m_Tracker.recordCrash(Content, ServerId{++m_LastServer}, m_Now).m_Report;
    }
  }

  /// This VM sees a request completed that has the path and length of Content.
  void complete(PoisonTracker &Tracker, RequestId Request) const {
    Tracker.noteCompletion({.m_Request = Request, .m_Hash = Content.m_Hash, .m_At = m_Now});
  }

  PoisonTracker m_Tracker = makeTracker(1);
  TimePoint m_Now = TimePoint{} + std::chrono::hours(1);
  std::optional<CrashReport> m_Last;
  std::uint32_t m_LastServer = 0;
};

TEST_F(PoisonTrackerTest, OneCrashBlocksNothing) {
  crash(1);
  EXPECT_EQ(m_Tracker.blockedFor(Content, m_Now), Duration::zero());
}

TEST_F(PoisonTrackerTest, ServersThatCrashAtTheSameMomentCountOnce) {
  for (std::uint32_t Server = 0; Server < 20; ++Server) {
    m_Tracker.recordCrash(Content, ServerId{Server}, m_Now + milliseconds(Server));
  }
  EXPECT_EQ(m_Tracker.moments(Content), 1U);
}

TEST_F(PoisonTrackerTest, WhatHasJustBeenCompletedIsNotBlamed) {
  complete(m_Tracker, CompletedCopy);
  crash(5);
  EXPECT_EQ(m_Tracker.moments(Content), 0U);
  m_Now += PoisonTracker::CompletionLifetime;
  crash(2);
  EXPECT_EQ(m_Tracker.moments(Content), 2U);
}

TEST_F(PoisonTrackerTest, AVmThatHasSeenItCompletedClearsWhatOthersSuspect) {
  PoisonTracker Other = makeTracker(2);
  complete(Other, CompletedCopy);
  crash(2);
  const auto Answer = Other.receive(*m_Last, 1, m_Now).m_Answer;
  ASSERT_TRUE(Answer);
  m_Tracker.receive(*Answer, 1, m_Now);
  EXPECT_EQ(m_Tracker.moments(Content), 0U);
}

// Guards against others of its path and length clearing a request that crashes servers.
TEST_F(PoisonTrackerTest, OnlyTheSameRequestClearsItHere) {
  complete(m_Tracker, CompletedAlike);
  complete(m_Tracker, Forgotten);
  crash(3);
  EXPECT_EQ(m_Tracker.moments(Content), 3U);
}

TEST_F(PoisonTrackerTest, OnlyTheSameRequestClearsWhatOthersSuspect) {
  PoisonTracker Other = makeTracker(2);
  complete(Other, CompletedAlike);
  complete(Other, Forgotten);
  crash(3);
  const auto Merged = Other.receive(*m_Last, 1, m_Now);
  EXPECT_FALSE(Merged.m_ClearedBy);
  EXPECT_EQ(Other.moments(Content), 3U);
}

TEST_F(PoisonTrackerTest, NamesTheCompletionForWhichNothingIsBlamed) {
  complete(m_Tracker, CompletedAlike);
  complete(m_Tracker, CompletedCopy);
  const auto Recorded = m_Tracker.recordCrash(Content, ServerId{1}, m_Now + milliseconds(300));
  EXPECT_FALSE(Recorded.m_Report);
  ASSERT_TRUE(Recorded.m_ClearedBy);
  EXPECT_EQ(Recorded.m_ClearedBy->m_Request, CompletedCopy);
  EXPECT_EQ(Recorded.m_ClearedBy->m_At, m_Now);
}

TEST_F(PoisonTrackerTest, ASuspectIsSentAgainAfterAPauseAndABlockedRequestAfterALongerOne) {
  crash(2);
  EXPECT_GE(m_Tracker.blockedFor(Content, m_Now), PoisonTracker::RetestPause);
  EXPECT_LE(m_Tracker.blockedFor(Content, m_Now),
            PoisonTracker::RetestPause + PoisonTracker::RetestSpread);
  crash(1);
  EXPECT_GE(m_Tracker.blockedFor(Content, m_Now), PoisonTracker::TrialPause);
}

TEST_F(PoisonTrackerTest, TrialsAreFewAndEachIsAnnounced) {
  crash(3);
  for (std::uint32_t Trial = 1; Trial <= PoisonTracker::MaxTrials; ++Trial) {
    m_Now += m_Tracker.blockedFor(Content, m_Now);
    const auto Announced = m_Tracker.recordSending(Content, m_Now);
    ASSERT_TRUE(Announced);
    EXPECT_EQ(Announced->m_Trials, Trial);
    crash(1);
  }
  EXPECT_EQ(m_Tracker.blockedFor(Content, m_Now), Duration::max());
}

TEST_F(PoisonTrackerTest, ACompletionClearsTheRequestAlsoWhereItIsKnownLate) {
  crash(3);
  PoisonTracker Other(2);
  Other.receive(*m_Last, 1, m_Now);
  const auto Cleared = m_Tracker.recordCompletion(Content, m_Now);
  ASSERT_TRUE(Cleared);
  // A report from before that arrives last changes nothing.
  m_Tracker.receive(*m_Last, 1, m_Now);
  Other.receive(*Cleared, 1, m_Now);
  Other.receive(*m_Last, 1, m_Now);
  EXPECT_EQ(m_Tracker.moments(Content), 0U);
  EXPECT_EQ(Other.moments(Content), 0U);
}

TEST_F(PoisonTrackerTest, ReportsOfSeveralVmsAddUpInAnyOrder) {
  PoisonTracker First(2);
  PoisonTracker Second(3);
  auto FromFirst = First.recordCrash(Content, ServerId{1}, m_Now).m_Report;
  const auto FromSecond = Second.recordCrash(Content, ServerId{2}, m_Now + seconds(1)).m_Report;
  m_Now += seconds(1);
  FromFirst->m_Crashes[0].m_Age = seconds(1);
  Second.receive(*FromFirst, 1, m_Now);
  Second.receive(*FromFirst, 1, m_Now);
  First.receive(*FromSecond, 1, m_Now);
  EXPECT_EQ(First.moments(Content), 2U);
  EXPECT_EQ(Second.moments(Content), 2U);
}

TEST_F(PoisonTrackerTest, AVmThatKnowsLessIsTold) {
  crash(3);
  PoisonTracker Started(2);
  const auto Known = Started.recordCrash(Content, ServerId{99}, m_Now + seconds(1)).m_Report;
  const auto Answer = m_Tracker.receive(*Known, 1, m_Now + seconds(1)).m_Answer;
  ASSERT_TRUE(Answer);
  Started.receive(*Answer, 1, m_Now + seconds(1));
  EXPECT_EQ(Started.moments(Content), 4U);
}

TEST_F(PoisonTrackerTest, ManyCrashingRequestsDoNotPushOutABlockedOne) {
  crash(3);
  for (std::uint64_t Other = 0; Other < 2 * PoisonTracker::MaxRequests; ++Other) {
    m_Tracker.recordCrash({.m_Hash = Other, .m_Digest = {Other, 9}}, ServerId{1}, m_Now);
  }
  EXPECT_LE(m_Tracker.size(), PoisonTracker::MaxRequests);
  EXPECT_EQ(m_Tracker.moments(Content), 3U);
}

} // namespace
} // namespace vanillahill::kernel
