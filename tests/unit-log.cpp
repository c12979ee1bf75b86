#include "vanillahill/core/secret.hpp"
#include "vanillahill/observe/log.hpp"

#include <gtest/gtest.h>

namespace vanillahill::observe {
namespace {

TEST(RepeatLimiter, AdmitsOneLinePerSecondAndCountsDroppedLines) {
  RepeatLimiter Limiter;
  PausedClock Clock;
  EXPECT_EQ(Limiter.admit("cut s1", Clock.now()), 0U);
  for (int Repeat = 0; Repeat < 5; ++Repeat) {
    EXPECT_EQ(Limiter.admit("cut s1", Clock.now()), std::nullopt);
  }
  EXPECT_EQ(Limiter.admit("cut s2", Clock.now()), 0U);
  Clock.advance(std::chrono::seconds(1));
  EXPECT_EQ(Limiter.admit("cut s1", Clock.now()), 5U);
}

TEST(RepeatLimiter, AdmitsNewPeersBeyondItsMaximumNumberOfKeys) {
  RepeatLimiter Limiter;
  constexpr int ManyPeers = 5000;
  for (int Peer = 0; Peer < ManyPeers; ++Peer) {
    EXPECT_EQ(Limiter.admit(std::to_string(Peer), TimePoint{}), 0U);
  }
}

TEST(Log, AcceptsTheLevelsOfTheSettingsAndRejectsAnUnknownOne) {
  for (const auto *Name : {"trace", "debug", "warning", "error", "critical", "off", "info"}) {
    EXPECT_TRUE(setLogLevel(Name));
  }
  EXPECT_FALSE(setLogLevel("loud"));
}

TEST(Secret, OnlyTheCompleteSecretIsEqual) {
  EXPECT_TRUE(equalSecrets("abc", "abc"));
  for (const auto *Shown : {"", "ab", "abcabc", "abcd", "Abc"}) {
    EXPECT_FALSE(equalSecrets(Shown, "abc"));
  }
  EXPECT_FALSE(equalSecrets("", ""));
}

} // namespace
} // namespace vanillahill::observe
