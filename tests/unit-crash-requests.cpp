#include "crash_fleet.hpp"

#include <gtest/gtest.h>

namespace vanillahill::kernel::probed {
namespace {

TEST(CrashRequests, ARequestThatEndedThreeServersReachesFewServersMore) {
  for (const FleetSize &Size : FleetSizes) {
    for (const double PerSecond : {1.0, 4.0, 50.0}) {
      for (const KindId Kind : {DispatcherHarness::Look, DispatcherHarness::Post}) {
        CrashFleetOptions Options = optionsOf(Size);
        Options.m_CrashingPerSecond = PerSecond;
        Options.m_CrashingKind = Kind;
        CrashFleet Fleet(Options);
        Fleet.run(seconds(20));
        EXPECT_LE(Fleet.lateSendings(), AllowedSendings)
            << Size.m_Vms << " VMs, " << PerSecond << "/s, kind " << raw(Kind);
      }
    }
  }
}

TEST(CrashRequests, OthersAreServedWhileARequestThatEndsServersKeepsComing) {
  for (const FleetSize &Size : FleetSizes) {
    CrashFleet Fleet(optionsOf(Size));
    Fleet.run(seconds(20));
    const TimePoint Begin = Fleet.service().now() - seconds(10);
    EXPECT_GE(Fleet.servedShare(Begin), 0.98) << Size.m_Vms << " VMs";
  }
}

TEST(CrashRequests, VmsThatRestartDoNotSendABlockedRequestAnew) {
  for (const FleetSize &Size : FleetSizes) {
    CrashFleet Fleet(optionsOf(Size));
    Fleet.loseAnnouncements(0.05);
    Fleet.run(seconds(8));
    for (std::size_t Vm = 0; Vm < std::min<std::size_t>(Fleet.vms(), 60); ++Vm) {
      Fleet.restart(Vm);
      Fleet.run(milliseconds(300));
    }
    EXPECT_LE(Fleet.lateSendings(), AllowedSendings) << Size.m_Vms << " VMs";
  }
}

TEST(CrashRequests, ARequestThatComesRarelyEndsFewServersOverHours) {
  CrashFleetOptions Options = optionsOf(FleetSizes[1]);
  Options.m_PerSecond = 2.0;
  Options.m_CrashingPerSecond = 0.02;
  for (Options.m_Seed = 1; Options.m_Seed <= 10; ++Options.m_Seed) {
    for (const KindId Kind : {DispatcherHarness::Look, DispatcherHarness::Post}) {
      Options.m_CrashingKind = Kind;
      CrashFleet Fleet(Options);
      Fleet.run(std::chrono::hours(3));
      EXPECT_LE(Fleet.lateSendings(), AllowedSendings)
          << "kind " << raw(Kind) << ", seed " << Options.m_Seed;
      EXPECT_GE(Fleet.service().crashes().size(), 3U);
    }
  }
}

TEST(CrashRequests, ARequestIsServedAgainOnceItNoLongerEndsServers) {
  CrashFleet Fleet(optionsOf(FleetSizes[1]));
  Fleet.run(seconds(10));
  ASSERT_GE(Fleet.service().crashes().size(), 3U);
  Fleet.service().m_CrashesServer = [](RequestId) { return false; };
  Fleet.run(2 * PoisonTracker::TrialPause + seconds(2));
  const RequestId Copy = Fleet.service().arrive(DispatcherHarness::Look, 0, CrashContent);
  Fleet.run(seconds(1));
  EXPECT_EQ(Fleet.service().answerOf(Copy).m_Outcome, Outcome::Completed);
}

TEST(CrashRequests, ARefusalIsANotRunAnswerAtOnce) {
  CrashFleet Fleet(optionsOf(FleetSizes[1]));
  Fleet.run(seconds(10));
  const RequestId Copy = Fleet.service().arrive(DispatcherHarness::Post, 3, CrashContent);
  ASSERT_TRUE(Fleet.service().isAnswered(Copy));
  EXPECT_EQ(Fleet.service().answerOf(Copy).m_Reason, Reason::PoisonRequest);
  EXPECT_EQ(Fleet.service().answerOf(Copy).m_Outcome, Outcome::NotRun);
}

TEST(CrashRequests, WithoutACrashNoDigestIsMade) {
  CrashFleetOptions Options = optionsOf(FleetSizes[1]);
  Options.m_CrashingPerSecond = 0.0;
  CrashFleet Fleet(Options);
  Fleet.run(seconds(5));
  EXPECT_EQ(Fleet.service().m_DigestsMade, 0U);
  EXPECT_EQ(Fleet.service().m_CrashAnnouncements, 0U);
}

} // namespace
} // namespace vanillahill::kernel::probed
