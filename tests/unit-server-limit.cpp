#include "probed_harness.hpp"

namespace vanillahill::kernel::probed {
namespace {

/// Length of the windows in which the requests to a limited server are counted.
constexpr Duration Window = seconds(4);
/// A VM that was told of a limit for this long counts.
constexpr Duration ToldFor = milliseconds(500);

/// Most requests in a window that a limit allows.
double allowedInWindow(double PerSecond) {
  constexpr double Excess = 1.5;
  constexpr double Spare = 5.0;
  return Excess * PerSecond * std::chrono::duration<double>(Window).count() + Spare;
}

/// The largest number of times within one window.
std::size_t mostInWindow(std::span<const TimePoint> Times) {
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Times.size(); ++Last) {
    while (Times[Last] - Times[First] > Window) {
      ++First;
    }
    Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

/// Requests to a server from VMs that it had told of a limit.
std::vector<TimePoint> sentByTold(const DispatcherHarness &Service, std::size_t Index) {
  std::vector<TimePoint> Times;
  for (const Sent &Each : Service.sent()) {
    if (Each.m_Server != DispatcherHarness::serverId(Index) || !Each.m_Request) {
      continue;
    }
    const auto Told = Service.limitToldAt(Each.m_Server, Each.m_Vm);
    if (Told && Each.m_At >= *Told + ToldFor) {
      Times.push_back(Each.m_At);
    }
  }
  return Times;
}

/// Requests of both kinds arrive evenly at all VMs.
void serve(DispatcherHarness &Service, std::size_t Vms, double PerSecond, Duration Length) {
  const auto Step =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1.0 / PerSecond));
  const TimePoint End = Service.now() + Length;
  for (std::size_t Count = 0; Service.now() < End; ++Count) {
    Service.arrive(Count % 3 == 0 ? DispatcherHarness::Post : DispatcherHarness::Look, Count % Vms);
    Service.advance(Step);
  }
}

TEST(ServerLimit, TwentyVmsTogetherDoNotSendMoreThanALimitedServerTakes) {
  constexpr std::size_t Vms = 20;
  constexpr std::size_t Servers = 22;
  DispatcherHarness Service(Servers, {}, Vms);
  serve(Service, Vms, 290.0, seconds(2));
  Service.server(0).m_Limit = 6.0;
  Service.server(1).m_Limit = 0.5;
  serve(Service, Vms, 290.0, seconds(12));
  EXPECT_LE(mostInWindow(sentByTold(Service, 0)), allowedInWindow(6.0));
  EXPECT_LE(mostInWindow(sentByTold(Service, 1)), allowedInWindow(0.5));
}

TEST(ServerLimit, OneLineTellsOfEachChangeOfALimit) {
  DispatcherHarness Service(1);
  Service.server(0).m_Limit = 50.0;
  serve(Service, 1, 10.0, seconds(2));
  const auto Named = Service.decisions(DecisionType::ServerLimitChanged);
  ASSERT_EQ(Named.size(), 1U);
  EXPECT_EQ(Named[0].m_Server, "s0");
  EXPECT_EQ(Named[0].m_RequestLimit, 50.0);
  EXPECT_EQ(Named[0].m_Outcome, "request");
  EXPECT_EQ(Named[0].m_Took, milliseconds(100));
  EXPECT_EQ(Service.status().m_Servers[0].m_RequestLimit, 50.0);
  Service.server(0).m_Limit.reset();
  serve(Service, 1, 10.0, seconds(2));
  const auto Ended = Service.decisions(DecisionType::ServerLimitChanged);
  ASSERT_EQ(Ended.size(), 2U);
  EXPECT_EQ(Ended[1].m_RequestLimit, NoRequestLimit);
  EXPECT_EQ(Service.status().m_Servers[0].m_RequestLimit, std::nullopt);
}

/// A limited server that has gone was tried again and again: each send failed without a mark.
TEST(ServerLimit, ALimitedServerThatIsGoneGetsAMarkOfFailure) {
  DispatcherHarness Service(2);
  Service.server(0).m_Limit = 50.0;
  serve(Service, 1, 10.0, seconds(2));
  Service.server(0).m_Result = AttemptResult::NotSent;
  serve(Service, 1, 10.0, seconds(2));
  const auto Ends = Service.decisions(DecisionType::AttemptEnded);
  const auto Tries = std::count_if(Ends.begin(), Ends.end(), [](const Decision &End) {
    return End.m_Server == "s0" && End.m_Outcome == "not_sent";
  });
  EXPECT_GE(Tries, 1);
  EXPECT_LE(Tries, 2);
}

TEST(ServerLimit, AReplyThatWasOvertakenDoesNotRaiseALimit) {
  RequestLimit Limit;
  const TimePoint Begin = TimePoint{} + seconds(100);
  const auto State = [&Limit, Begin](double PerSecond, int SentMillis, int ReceivedMillis) {
    return Limit.record({.m_PerSecond = PerSecond, .m_SentAt = Begin + milliseconds(SentMillis)},
                        0.0, Begin + milliseconds(ReceivedMillis));
  };
  EXPECT_EQ(State(6.0, 0, 80), LimitChange::Changed);
  EXPECT_EQ(State(NoRequestLimit, 10, 90), LimitChange::Outdated);
  EXPECT_EQ(State(8.0, 10, 90), LimitChange::Outdated);
  EXPECT_EQ(Limit.perSecond(), 6.0);
  EXPECT_EQ(State(4.0, 10, 95), LimitChange::Changed);
  EXPECT_EQ(State(8.0, 95, 180), LimitChange::Changed);
  EXPECT_EQ(State(8.0, 170, 190), LimitChange::Confirmed);
  EXPECT_EQ(State(NoRequestLimit, 190, 260), LimitChange::Changed);
  EXPECT_FALSE(Limit.isKnown());
}

} // namespace
} // namespace vanillahill::kernel::probed
