#include "vanillahill/fleet/standing_read.hpp"

#include <gtest/gtest.h>

namespace vanillahill::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start = TimePoint{} + std::chrono::hours(1);
constexpr Duration Bound = milliseconds(2500);
constexpr ReaderRank Fast{.m_LinkClass = 5, .m_Vm = 7};
constexpr ReaderRank Slow{.m_LinkClass = 9, .m_Vm = 1};

TEST(StandingRead, OneOfTwoKeepersRemains) {
  StandingRead First(Fast, Bound);
  StandingRead Second(ReaderRank{.m_LinkClass = 5, .m_Vm = 8}, Bound);
  First.succeeded(false, Start);
  Second.succeeded(false, Start);
  EXPECT_FALSE(First.noteKeeper({.m_LinkClass = 5, .m_Vm = 8}, Start));
  EXPECT_FALSE(Second.noteKeeper(Fast, Start));
  EXPECT_TRUE(First.isKeeper(Start));
  EXPECT_FALSE(Second.isKeeper(Start));
  Second.succeeded(false, Start + milliseconds(100));
  EXPECT_FALSE(Second.isKeeper(Start + milliseconds(100))) << "a better one was there just now";
  Second.succeeded(false, Start + Bound);
  EXPECT_TRUE(Second.isKeeper(Start + Bound)) << "the better one is silent";
}

TEST(StandingRead, AFasterVmReplacesASlowKeeperUnlessTheStoreFailedIt) {
  StandingRead Faster(Fast, Bound);
  EXPECT_TRUE(Faster.noteKeeper(Slow, Start));
  Faster.failed(Start);
  EXPECT_FALSE(Faster.noteKeeper(Slow, Start + Bound));
  EXPECT_TRUE(Faster.noteKeeper(Slow, Start + 5 * Bound));
}

/// Such a store would be read without a pause.
TEST(StandingRead, AStoreThatDoesNotHoldReadsGetsNone) {
  StandingRead Keeper(Fast, Bound);
  Keeper.succeeded(true, Start);
  EXPECT_FALSE(Keeper.isKeeper(Start + seconds(29)));
  EXPECT_TRUE(Keeper.isKeeper(Start + seconds(30)));
}

} // namespace
} // namespace vanillahill::fleet
