#include "vanillahill/net/detail/progress_timeout.hpp"

#include <gtest/gtest.h>

namespace vanillahill::net {
namespace {

using std::chrono::milliseconds;

class ProgressTimeoutTest : public testing::Test {
protected:
  void advance(Duration Step) { m_Clock.advance(Step); }

  PausedClock m_Clock;
  ProgressTimeout m_Timeout{{.m_MaxSilence = milliseconds(700), .m_MaxTotal = milliseconds(5000)}};
};

TEST_F(ProgressTimeoutTest, ASilentTransferExpiresAfterTheLongestSilence) {
  m_Timeout.start(m_Clock.now());
  advance(milliseconds(699));
  EXPECT_FALSE(m_Timeout.hasExpired(m_Clock.now()));
  advance(milliseconds(1));
  EXPECT_TRUE(m_Timeout.hasExpired(m_Clock.now()));
}

TEST_F(ProgressTimeoutTest, ALongTransferThatProgressesIsNotCutOff) {
  m_Timeout.start(m_Clock.now());
  for (int Piece = 0; Piece < 7; ++Piece) {
    advance(milliseconds(600));
    ASSERT_FALSE(m_Timeout.hasExpired(m_Clock.now())) << "piece " << Piece;
    m_Timeout.progressed(m_Clock.now());
  }
  advance(milliseconds(700));
  EXPECT_TRUE(m_Timeout.hasExpired(m_Clock.now()));
}

TEST_F(ProgressTimeoutTest, ATransferThatTricklesExpiresAtItsTotalTime) {
  m_Timeout.start(m_Clock.now());
  for (int Piece = 0; Piece < 49; ++Piece) {
    advance(milliseconds(100));
    m_Timeout.progressed(m_Clock.now());
  }
  EXPECT_FALSE(m_Timeout.hasExpired(m_Clock.now()));
  advance(milliseconds(100));
  m_Timeout.progressed(m_Clock.now());
  EXPECT_TRUE(m_Timeout.hasExpired(m_Clock.now()));
}

TEST_F(ProgressTimeoutTest, ANextTransferStartsAnew) {
  m_Timeout.start(m_Clock.now());
  advance(milliseconds(6000));
  m_Timeout.start(m_Clock.now());
  EXPECT_FALSE(m_Timeout.hasExpired(m_Clock.now()));
}

} // namespace
} // namespace vanillahill::net
