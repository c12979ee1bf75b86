#include "distribution_fleet.hpp"

namespace vanillahill::net {
namespace {

TEST(ConfigurationDistribution, FleetOfSlowLinksOnlyIsInTime) {
  expectInTime({.m_Vms = DistributionVms, .m_FastVms = 0, .m_Seed = 5});
}

/// The VMs that read the store last are the ones that would notice the next version first.
TEST(ConfigurationDistribution, ReadersOfTheStoreThatStopDelayNothing) {
  DistributionFleet Fleet({.m_Vms = DistributionVms, .m_Seed = 6});
  Fleet.runFor(SettlingTime);
  for (int Round = 0; Round < 5; ++Round) {
    Fleet.runFor(seconds(3) + milliseconds(170) * Round);
    Fleet.killReaders(2);
    Fleet.publish();
    Fleet.runFor(DistributionTime);
    EXPECT_LE(toMillis(Fleet.slowest(Fleet.version())), toMillis(DistributionLimit))
        << "version " << Fleet.version();
  }
}

/// Each version is published while the one before is still on its way.
TEST(ConfigurationDistribution, EachOfSeveralVersionsIsInForceInTime) {
  DistributionFleet Fleet({.m_Vms = DistributionVms, .m_Seed = 7});
  Fleet.runFor(SettlingTime);
  for (int Round = 0; Round < 8; ++Round) {
    Fleet.publish();
    Fleet.runFor(milliseconds(400));
  }
  Fleet.runFor(DistributionTime);
  for (std::uint64_t Version = 2; Version <= Fleet.version(); ++Version) {
    EXPECT_LE(toMillis(Fleet.slowest(Version)), toMillis(DistributionLimit))
        << "version " << Version;
  }
}

} // namespace
} // namespace vanillahill::net
