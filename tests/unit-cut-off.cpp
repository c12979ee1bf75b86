#include "cut_fleet.hpp"

namespace vanillahill::kernel::probed {
namespace {

TEST(CutOff, VmsWithoutLinksToServersServeNearlyAsOftenAsOthers) {
  for (const FleetSize &Size : FleetSizes) {
    // All but one of the largest fleet: see unit-cut-off-nearly-all.
    const std::size_t Most = Size.m_Vms == 500 ? 3 * Size.m_Vms / 5 : Size.m_Vms - 1;
    for (const std::size_t Count : {std::size_t{1}, Size.m_Vms / 3, 3 * Size.m_Vms / 5, Most}) {
      for (const Cut How : {Cut::Hangs, Cut::Refuses}) {
        CutFleet Fleet(optionsOf(Size));
        Fleet.run(seconds(2));
        Fleet.cut(Count, How);
        const TimePoint Begin = Fleet.service().now();
        Fleet.run(seconds(12));
        const auto Off = Fleet.served(Begin + Settled, true);
        EXPECT_TRUE(Fleet.servesAlike(Begin + Settled))
            << Count << " of " << Size.m_Vms << " VMs cut off, kind " << static_cast<int>(How)
            << ": " << Off.m_Served << " of " << Off.m_Arrived << " served";
      }
    }
  }
}

TEST(CutOff, VmsOfAWholeDataCenterServeNearlyAsOftenAsOthers) {
  for (const FleetSize &Size : std::span(FleetSizes).subspan(1)) {
    CutFleet Fleet(optionsOf(Size));
    Fleet.run(seconds(2));
    for (std::size_t Vm = 0; Vm < Size.m_Vms; Vm += Size.m_DataCenters) {
      Fleet.cutVm(Vm, Cut::Hangs);
    }
    const TimePoint Begin = Fleet.service().now();
    Fleet.run(seconds(12));
    EXPECT_TRUE(Fleet.servesAlike(Begin + Settled)) << Size.m_Vms << " VMs";
  }
}

TEST(CutOff, TheOtherVmsServeTheirOwnCallersAsBefore) {
  for (const FleetSize &Size : FleetSizes) {
    CutFleet Fleet(optionsOf(Size));
    Fleet.run(seconds(2));
    Fleet.cut(3 * Size.m_Vms / 5, Cut::Hangs);
    const TimePoint Begin = Fleet.service().now();
    Fleet.run(seconds(12));
    EXPECT_GE(Fleet.served(Begin, false).share(), 0.98) << Size.m_Vms << " VMs";
  }
}

TEST(CutOff, VmsServeAgainSoonAfterTheCut) {
  for (const FleetSize &Size : FleetSizes) {
    for (const Cut How : {Cut::Hangs, Cut::Refuses}) {
      CutFleet Fleet(optionsOf(Size));
      Fleet.run(seconds(2));
      Fleet.cut(3 * Size.m_Vms / 5, How);
      Fleet.run(seconds(10));
      Fleet.cut(3 * Size.m_Vms / 5, Cut::None);
      const TimePoint End = Fleet.service().now();
      Fleet.run(seconds(1));
      const std::size_t Relayed = Fleet.service().relayed();
      Fleet.run(seconds(5));
      EXPECT_GE(Fleet.served(End, true).share(), 0.98) << Size.m_Vms << " VMs";
      EXPECT_LE(static_cast<double>(Fleet.service().relayed() - Relayed),
                0.02 * 5.0 * Size.m_PerSecond)
          << Size.m_Vms << " VMs";
    }
  }
}

TEST(CutOff, ACutThatComesAndGoesEachSecondLeavesMostRequestsServed) {
  CutFleet Fleet(optionsOf(FleetSizes[1]));
  Fleet.run(seconds(2));
  const TimePoint Begin = Fleet.service().now();
  for (int Second = 0; Second < 10; ++Second) {
    Fleet.cut(12, Second % 2 == 0 ? Cut::Hangs : Cut::None);
    Fleet.run(seconds(1));
  }
  EXPECT_TRUE(Fleet.servesAlike(Begin + Settled));
}

/// Servers that the cut-off VMs cannot reach are not blamed for it elsewhere.
TEST(CutOff, FailuresThatACutOffVmSeesAreNotAnnounced) {
  CutFleet Fleet(optionsOf(FleetSizes[1]));
  Fleet.run(seconds(2));
  Fleet.cut(12, Cut::Hangs);
  Fleet.run(seconds(2));
  const std::size_t Reports = Fleet.service().failureReports();
  Fleet.run(seconds(10));
  EXPECT_EQ(Fleet.service().failureReports(), Reports);
}

TEST(CutOff, ARequestThatMustNotRunTwiceReachesOneServerAtMost) {
  for (const Cut How : {Cut::Hangs, Cut::Refuses}) {
    CutFleet Fleet(optionsOf(FleetSizes[1]));
    Fleet.run(seconds(2));
    for (int Second = 0; Second < 10; ++Second) {
      Fleet.cut(12, Second % 3 == 0 ? Cut::None : How);
      Fleet.run(seconds(1));
    }
    std::map<std::uint64_t, std::size_t> Runs;
    for (const Sent &Each : Fleet.service().sent()) {
      if (Each.m_Request && Fleet.service().kindOf(*Each.m_Request) == DispatcherHarness::Post) {
        ++Runs[Fleet.service().contentOf(*Each.m_Request)];
      }
    }
    const auto Twice =
        std::count_if(Runs.begin(), Runs.end(), [](const auto &Each) { return Each.second > 1; });
    EXPECT_EQ(Twice, 0);
  }
}

/// With all servers gone, every VM believes that it is cut off.
TEST(CutOff, WithoutAnyServerRequestsAreRefusedAtOnceAndServedAgainSoonAfter) {
  CutFleet Fleet(optionsOf(FleetSizes[1]));
  Fleet.run(seconds(2));
  for (const ServerId Server : Fleet.service().runningServers()) {
    Fleet.service().crash(Server);
  }
  Fleet.run(seconds(2));
  const RequestId Refused = Fleet.service().arrive(DispatcherHarness::Look, 3);
  Fleet.run(milliseconds(60));
  ASSERT_TRUE(Fleet.service().isAnswered(Refused));
  EXPECT_EQ(Fleet.service().answerOf(Refused).m_Outcome, Outcome::NotRun);
  Fleet.run(seconds(3));
  const TimePoint Begin = Fleet.service().now();
  Fleet.run(seconds(5));
  EXPECT_GE(Fleet.served(Begin, false).share(), 0.98);
}

} // namespace
} // namespace vanillahill::kernel::probed
