#include "vanillahill/load/entry_chooser.hpp"
#include "vanillahill/load/histogram.hpp"
#include "vanillahill/load/result.hpp"
#include "vanillahill/load/schedule.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace vanillahill::load {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(Histogram, EmptyHasNoQuantiles) { EXPECT_EQ(Histogram().quantile(0.99), Duration::zero()); }

RC_GTEST_PROP(Histogram, QuantileIsWithinOneBucketOfTheSortedValues, ()) {
  auto Values = *rc::gen::nonEmpty(
      rc::gen::container<std::vector<std::int64_t>>(rc::gen::inRange<std::int64_t>(0, 100000000)));
  Histogram Counts;
  for (const std::int64_t Value : Values) {
    Counts.add(microseconds(Value));
  }
  std::sort(Values.begin(), Values.end());
  const std::int64_t Exact = Values[(Values.size() - 1) / 2];
  const auto Found = std::chrono::duration_cast<microseconds>(Counts.quantile(0.5)).count();
  RC_ASSERT(Found >= Exact);
  RC_ASSERT(static_cast<double>(Found) <= static_cast<double>(Exact) * 1.016 + 1);
}

TEST(Histogram, MergeAddsTheCounts) {
  Histogram Low;
  Histogram High;
  Low.add(milliseconds(1));
  High.add(seconds(1));
  Low.merge(High);
  EXPECT_EQ(Low.count(), 2U);
  EXPECT_GE(Low.quantile(1.0), seconds(1));
}

TEST(Schedule, SameSeedGivesTheSameArrivalsAtTheRateAndMixAsked) {
  const std::vector<KindLoad> Kinds{{.m_Name = "a/x", .m_Share = 3}, {.m_Name = "a/y"}};
  Schedule First(Kinds, {.m_RequestsPerSecond = 1000, .m_Seed = 5});
  Schedule Second(Kinds, {.m_RequestsPerSecond = 1000, .m_Seed = 5});
  constexpr int Arrivals = 100000;
  Duration Last{};
  int OfFirstKind = 0;
  for (int Count = 0; Count < Arrivals; ++Count) {
    const Arrival Next = First.next();
    const Arrival Same = Second.next();
    ASSERT_EQ(Next.m_At, Same.m_At);
    ASSERT_EQ(Next.m_Kind, Same.m_Kind);
    ASSERT_GE(Next.m_At, Last);
    Last = Next.m_At;
    OfFirstKind += Next.m_Kind == 0 ? 1 : 0;
  }
  EXPECT_NEAR(std::chrono::duration<double>(Last).count(), 100.0, 2.0);
  EXPECT_NEAR(OfFirstKind, 75000, 1000);
}

TEST(EntryChooser, LeavesOutAVmThatRefusedUntilTheTimeIsOver) {
  PausedClock Clock;
  Clock.advance(seconds(10));
  EntryChooser Chooser({.m_Entries = 2, .m_Spread = Spread::RoundRobin});
  Chooser.refused(Clock.now(), 0);
  EXPECT_EQ(Chooser.choose(Clock.now()), 1U);
  EXPECT_EQ(Chooser.choose(Clock.now()), 1U);
  EXPECT_EQ(Chooser.choose(Clock.now(), 1), 1U);
  Chooser.refused(Clock.now(), 1);
  EXPECT_EQ(Chooser.choose(Clock.now()), std::nullopt);
  Clock.advance(seconds(1));
  EXPECT_TRUE(Chooser.choose(Clock.now()).has_value());
  EXPECT_EQ(Chooser.choose(Clock.now(), 1), 0U);
}

TEST(LoadResult, CountsInTimeByTheDeadlineWithoutTheWayOfTheCaller) {
  LoadResult Result;
  Result.m_Kinds.emplace_back().m_Kind = {
      .m_Name = "a/x", .m_Weight = 3, .m_Deadline = milliseconds(100)};
  KindResult &Kind = Result.m_Kinds.front();
  count(Kind, {.m_Ending = Ending::Completed,
               .m_Reason = "none",
               .m_Latency = milliseconds(100),
               .m_Way = milliseconds(16)});
  count(Kind, {.m_Ending = Ending::Completed, .m_Reason = "", .m_Latency = milliseconds(101)});
  count(Kind, {.m_Ending = Ending::NotRun, .m_Reason = "overload"});
  count(Kind, {.m_Ending = Ending::Failed, .m_Reason = ""});
  EXPECT_EQ(Kind.m_LatencyOfAll.count(), 4U);
  EXPECT_GE(Kind.m_LatencyOfAll.quantile(0.4), milliseconds(99));
  EXPECT_EQ(Kind.m_Sent, 4U);
  EXPECT_EQ(Kind.m_InTime, 1U);
  EXPECT_EQ(Kind.m_Completed, 2U);
  EXPECT_EQ(Kind.m_Reasons.at("overload"), 1U);
  EXPECT_EQ(Kind.m_Reasons.size(), 1U);
  EXPECT_GE(Kind.m_Latency.quantile(1.0), milliseconds(116));
  EXPECT_EQ(Result.weightedInTime(), 3.0);
  EXPECT_EQ(Result.weightedSent(), 12.0);
}

} // namespace
} // namespace vanillahill::load
