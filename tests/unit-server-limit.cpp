#include "probed_harness.hpp"

namespace vanillahill::kernel::probed {
namespace {

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

TEST(ServerLimit, AReplyThatWasOvertakenDoesNotRaiseALimit) {
  RequestLimit Limit;
  const TimePoint Begin = TimePoint{} + seconds(100);
  EXPECT_TRUE(Limit.record(6.0, Begin, Begin + milliseconds(80)));
  EXPECT_FALSE(Limit.record(NoRequestLimit, Begin + milliseconds(10), Begin + milliseconds(90)));
  EXPECT_FALSE(Limit.record(8.0, Begin + milliseconds(10), Begin + milliseconds(90)));
  EXPECT_EQ(Limit.perSecond(), 6.0);
  EXPECT_TRUE(Limit.record(4.0, Begin + milliseconds(10), Begin + milliseconds(95)));
  EXPECT_EQ(Limit.perSecond(), 4.0);
  EXPECT_TRUE(Limit.record(8.0, Begin + milliseconds(95), Begin + milliseconds(180)));
  EXPECT_TRUE(Limit.record(NoRequestLimit, Begin + milliseconds(180), Begin + milliseconds(260)));
  EXPECT_FALSE(Limit.isInForce());
}

} // namespace
} // namespace vanillahill::kernel::probed
