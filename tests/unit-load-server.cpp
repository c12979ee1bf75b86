#include "vanillahill/load/rate_window.hpp"
#include "vanillahill/load/server_model.hpp"

#include <gtest/gtest.h>

namespace vanillahill::load {
namespace {

using std::chrono::milliseconds;

std::string show(const std::vector<Outcome> &Outcomes) {
  constexpr std::string_view Letters = "SCNRX";
  std::string Text;
  for (const Outcome &Entry : Outcomes) {
    Text += Letters[static_cast<std::size_t>(Entry.m_Kind)] + std::to_string(Entry.m_Ticket) + " ";
  }
  return Text;
}

class ServerModelTest : public testing::Test {
protected:
  std::string arrive(Ticket Id, Duration Time, Duration Left = std::chrono::hours(1)) {
    std::vector<Outcome> Out;
    m_Model.arrive(m_Clock.now(), {Id, Time, m_Clock.now() + Left}, Out);
    return show(Out);
  }
  std::string pass(Duration Step) {
    m_Clock.advance(Step);
    std::vector<Outcome> Out;
    m_Model.advance(m_Clock.now(), Out);
    return show(Out);
  }
  std::string begin(const Fault &What) {
    std::vector<Outcome> Out;
    m_Model.begin(m_Clock.now(), What, Out);
    return show(Out);
  }

  PausedClock m_Clock;
  ServerModel m_Model{{.m_Slots = 2, .m_QueueLimit = 1, .m_Seed = 7}};
};

TEST_F(ServerModelTest, RunsUpToItsSlotsThenQueuesThenSheds) {
  EXPECT_EQ(arrive(1, milliseconds(10)), "S1 ");
  EXPECT_EQ(arrive(2, milliseconds(20)), "S2 ");
  EXPECT_EQ(arrive(3, milliseconds(10)), "");
  EXPECT_EQ(arrive(4, milliseconds(10)), "N4 ");
  EXPECT_EQ(pass(milliseconds(11)), "C1 S3 ");
  EXPECT_EQ(pass(milliseconds(15)), "C2 C3 ");
  EXPECT_EQ(m_Model.nextEvent(), std::nullopt);
}

TEST_F(ServerModelTest, CancelFreesTheSlotAndAQueuedRequestNeverStarts) {
  arrive(1, milliseconds(10));
  arrive(2, milliseconds(10));
  arrive(3, milliseconds(10));
  std::vector<Outcome> Out;
  EXPECT_TRUE(m_Model.cancel(m_Clock.now(), 3, Out));
  EXPECT_TRUE(m_Model.cancel(m_Clock.now(), 1, Out));
  EXPECT_FALSE(m_Model.cancel(m_Clock.now(), 1, Out));
  EXPECT_EQ(show(Out), "");
  EXPECT_EQ(arrive(4, milliseconds(1)), "S4 ");
}

TEST_F(ServerModelTest, DropsAQueuedRequestWhoseDeadlinePassed) {
  arrive(1, milliseconds(10));
  arrive(2, milliseconds(10));
  arrive(3, milliseconds(10), milliseconds(5));
  EXPECT_EQ(pass(milliseconds(11)), "C1 C2 N3 ");
}

TEST_F(ServerModelTest, SlowsARunningRequestForTheTimeOfTheFault) {
  arrive(1, milliseconds(30));
  begin({.m_Kind = FaultKind::Slow, .m_For = milliseconds(200), .m_Factor = 10});
  EXPECT_EQ(pass(milliseconds(200)), "");
  EXPECT_EQ(pass(milliseconds(9)), "");
  EXPECT_EQ(pass(milliseconds(2)), "C1 ");
}

TEST_F(ServerModelTest, FailsFastInTheModeAsked) {
  begin({.m_Kind = FaultKind::FailFast, .m_For = milliseconds(1), .m_Mode = FailMode::Error});
  EXPECT_EQ(arrive(1, milliseconds(1)), "R1 ");
  pass(milliseconds(1));
  begin({.m_Kind = FaultKind::FailFast, .m_Mode = FailMode::Reset});
  EXPECT_EQ(arrive(2, milliseconds(1)), "X2 ");
}

TEST_F(ServerModelTest, ColdServerSlowsItsFirstRequestsOnly) {
  begin({.m_Kind = FaultKind::Cold, .m_Factor = 10, .m_Requests = 1});
  arrive(1, milliseconds(1));
  arrive(2, milliseconds(1));
  EXPECT_EQ(pass(milliseconds(2)), "C2 ");
  EXPECT_EQ(pass(milliseconds(9)), "C1 ");
}

TEST_F(ServerModelTest, HealthLagsAndLies) {
  m_Clock.advance(milliseconds(1000));
  begin({.m_Kind = FaultKind::Drain});
  EXPECT_TRUE(m_Model.isLeaving());
  EXPECT_TRUE(m_Model.health(m_Clock.now()).m_TakesWork);
  pass(milliseconds(501));
  EXPECT_FALSE(m_Model.health(m_Clock.now()).m_TakesWork);
  begin({.m_Kind = FaultKind::LieHealthy});
  EXPECT_TRUE(m_Model.health(m_Clock.now()).m_TakesWork);
}

TEST_F(ServerModelTest, NoiseShiftsTheSpeedWithinItsBounds) {
  begin({.m_Kind = FaultKind::Noise, .m_LowSpeed = 0.5, .m_HighSpeed = 0.6});
  for (int Step = 0; Step < 20; ++Step) {
    const double Before = m_Model.speed();
    pass(milliseconds(5));
    EXPECT_NE(m_Model.speed(), Before);
    EXPECT_GE(m_Model.speed(), 0.5);
    EXPECT_LE(m_Model.speed(), 0.6);
  }
}

TEST(ServiceTime, HasTheMeanAskedAndTheSameSequenceForASeed) {
  for (const ServiceTimeOptions Options :
       {ServiceTimeOptions{milliseconds(50), Tail::Lognormal, 1.0},
        ServiceTimeOptions{milliseconds(50), Tail::Pareto, 2.5}}) {
    constexpr int Draws = 200000;
    Engine First(3);
    Engine Second(3);
    Duration Sum{};
    for (int Draw = 0; Draw < Draws; ++Draw) {
      const Duration Value = ServiceTime(Options).draw(First);
      ASSERT_EQ(Value, ServiceTime(Options).draw(Second));
      Sum += Value;
    }
    EXPECT_NEAR(static_cast<double>(Sum.count()) / Draws, 50e6, 2e6);
  }
}

TEST(RateWindow, FindsTheMostInAnySecondAcrossAClockSecond) {
  RateWindow Window;
  for (const int At : {100, 900, 1000, 1050, 2500}) {
    Window.add(TimePoint(milliseconds(At)));
  }
  EXPECT_EQ(Window.total(), 5U);
  EXPECT_EQ(Window.mostPerSecond(), 4U);
}

} // namespace
} // namespace vanillahill::load
