#include "crash_fleet.hpp"

#include <gtest/gtest.h>

namespace vanillahill::kernel::probed {
namespace {

// Guards against completed requests of the same path and length clearing a request that crashes
// servers.
TEST(CrashRequests, OthersOfItsPathAndLengthDoNotClearARequestThatEndsServers) {
  for (const FleetSize &Size : FleetSizes) {
    for (const double PerSecond : {1.0, 4.0, 50.0}) {
      for (const KindId Kind : {DispatcherHarness::Look, DispatcherHarness::Post}) {
        CrashFleetOptions Options = optionsOf(Size);
        Options.m_CrashingPerSecond = PerSecond;
        Options.m_CrashingKind = Kind;
        CrashFleet Fleet(Options);
        Fleet.giveAllTheSamePathAndLength();
        Fleet.run(seconds(20));
        EXPECT_LE(Fleet.lateSendings(), AllowedSendings)
            << Size.m_Vms << " VMs, " << PerSecond << "/s, kind " << raw(Kind) << ", "
            << Fleet.service().crashes().size() << " servers crashed";
      }
    }
  }
}

/// What the ordinary requests have in common.
struct Mix {
  /// Share of them that ask for the same.
  double m_Popular = 0.0;
  /// Whether all have one path and length, also those that crash servers.
  bool m_AreAlike = false;
};

constexpr std::array Mixes{Mix{0.0, false}, Mix{0.2, false}, Mix{0.0, true}, Mix{0.2, true}};

class CrashRequestsMix : public testing::TestWithParam<Mix> {
protected:
  void apply(CrashFleet &Fleet) const {
    Fleet.m_PopularShare = GetParam().m_Popular;
    if (GetParam().m_AreAlike) {
      Fleet.giveAllTheSamePathAndLength();
    }
  }
};

INSTANTIATE_TEST_SUITE_P(CrashRequests, CrashRequestsMix, testing::ValuesIn(Mixes));

/// Servers crash in series, for reasons of their own.
TEST_P(CrashRequestsMix, RequestsAreNotBlamedForServersThatCrashOnTheirOwn) {
  for (const FleetSize &Size : FleetSizes) {
    CrashFleetOptions Options = optionsOf(Size);
    Options.m_CrashingPerSecond = 0.0;
    CrashFleet Fleet(Options);
    apply(Fleet);
    Fleet.run(seconds(3));
    for (std::size_t Count = 0; Count < 2 * Size.m_Servers / 5; ++Count) {
      Fleet.service().crash(Fleet.service().runningServers().front());
      Fleet.run(milliseconds(150));
    }
    Fleet.run(seconds(10));
    // All at once, then all within half a second.
    for (const Duration Gap : {milliseconds(0), milliseconds(500 / Size.m_Servers)}) {
      for (const ServerId Server : Fleet.service().runningServers()) {
        Fleet.service().crash(Server);
        Fleet.run(Gap);
      }
      Fleet.run(seconds(10));
    }
    EXPECT_EQ(Fleet.blamedRequests(), 0U) << Size.m_Vms << " VMs";
    EXPECT_GE(Fleet.servedShare(Fleet.service().now() - seconds(5)), 0.98);
  }
}

TEST_P(CrashRequestsMix, RequestsThatRanBesideAreHardlyBlamed) {
  for (const FleetSize &Size : FleetSizes) {
    CrashFleet Fleet(optionsOf(Size));
    apply(Fleet);
    Fleet.run(seconds(20));
    const double Blamed = static_cast<double>(Fleet.blamedRequests());
    EXPECT_LE(Blamed, 0.001 * Size.m_PerSecond * 20.0) << Size.m_Vms << " VMs";
  }
}

// Guards against a verdict that other crashes spoil, either way.
TEST_P(CrashRequestsMix, OtherCrashesNeitherHideNorBlameARequest) {
  for (const FleetSize &Size : FleetSizes) {
    CrashFleet Fleet(optionsOf(Size));
    apply(Fleet);
    for (std::size_t Second = 0; Second < 20; ++Second) {
      Fleet.service().crash(Fleet.service().runningServers().front());
      Fleet.run(seconds(1));
    }
    const double Blamed = static_cast<double>(Fleet.blamedRequests());
    EXPECT_LE(Blamed, 0.001 * Size.m_PerSecond * 20.0) << Size.m_Vms << " VMs";
    EXPECT_LE(Fleet.lateSendings(), AllowedSendings) << Size.m_Vms << " VMs";
  }
}

} // namespace
} // namespace vanillahill::kernel::probed
