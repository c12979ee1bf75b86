#include "distribution_fleet.hpp"

namespace vanillahill::net {
namespace {

/// A fifth of the bound is left for what the fleet does not simulate.
constexpr Duration Limit = DistributionOptions{}.m_Bound * 4 / 5;

#ifdef __SANITIZE_ADDRESS__
constexpr std::size_t Vms = 20;
constexpr std::uint64_t LastSeed = 1;
#else
constexpr std::size_t Vms = 137;
constexpr std::uint64_t LastSeed = 2;
#endif

/// Until all VMs know each other.
constexpr Duration SettlingTime = seconds(8);
/// Long enough for the slowest VM, also on a code that misses the limit.
constexpr Duration DistributionTime = seconds(4);

/// Publishes versions at different moments between two reads of the store.
void expectInTime(const DistributionOptions &Options, int Versions = 5) {
  DistributionFleet Fleet(Options);
  Fleet.runFor(SettlingTime);
  Fleet.m_IsTurningAway = true;
  for (int Round = 0; Round < Versions; ++Round) {
    Fleet.runFor(seconds(3) + milliseconds(170) * Round);
    Fleet.publish();
    Fleet.runFor(DistributionTime);
    EXPECT_LE(toMillis(Fleet.slowest(Fleet.version())), toMillis(Limit))
        << "version " << Fleet.version() << ", seed " << Options.m_Seed << ", " << Options.m_Vms
        << " VMs";
  }
}

TEST(ConfigurationDistribution, LargeConfigurationIsInForceInTime) {
  for (std::uint64_t Seed = 1; Seed <= LastSeed; ++Seed) {
    expectInTime({.m_Vms = Vms, .m_Seed = Seed});
  }
}

TEST(ConfigurationDistribution, FiveThousandRoutesAreInForceInTime) {
  expectInTime({.m_Vms = Vms, .m_TextBytes = 1'200'000, .m_FrameBytes = 131'000});
}

TEST(ConfigurationDistribution, StoreThatTurnsHalfOfTheVmsAwayDelaysNothing) {
  expectInTime({.m_Vms = Vms, .m_TurnedAway = 0.5, .m_Seed = 3});
}

TEST(ConfigurationDistribution, LostDatagramsDelayNothing) {
  expectInTime({.m_Vms = Vms, .m_Lost = 0.03, .m_Seed = 4});
}

TEST(ConfigurationDistribution, FleetOfSlowLinksOnlyIsInTime) {
  expectInTime({.m_Vms = Vms, .m_FastVms = 0, .m_Seed = 5});
}

TEST(ConfigurationDistribution, FleetsOfOtherSizesAreInTime) {
  expectInTime({.m_Vms = 5, .m_DataCenters = 2, .m_FastVms = 0});
  expectInTime({.m_Vms = 20});
#ifndef __SANITIZE_ADDRESS__
  expectInTime({.m_Vms = 500, .m_DataCenters = 6}, 2);
#endif
}

/// The VMs that read the store last are the ones that would notice the next version first.
TEST(ConfigurationDistribution, ReadersOfTheStoreThatStopDelayNothing) {
  DistributionFleet Fleet({.m_Vms = Vms, .m_Seed = 6});
  Fleet.runFor(SettlingTime);
  for (int Round = 0; Round < 5; ++Round) {
    Fleet.runFor(seconds(3) + milliseconds(170) * Round);
    Fleet.killReaders(2);
    Fleet.publish();
    Fleet.runFor(DistributionTime);
    EXPECT_LE(toMillis(Fleet.slowest(Fleet.version())), toMillis(Limit))
        << "version " << Fleet.version();
  }
}

/// Each version is published while the one before is still on its way.
TEST(ConfigurationDistribution, EachOfSeveralVersionsIsInForceInTime) {
  DistributionFleet Fleet({.m_Vms = Vms, .m_Seed = 7});
  Fleet.runFor(SettlingTime);
  for (int Round = 0; Round < 8; ++Round) {
    Fleet.publish();
    Fleet.runFor(milliseconds(400));
  }
  Fleet.runFor(DistributionTime);
  for (std::uint64_t Version = 2; Version <= Fleet.version(); ++Version) {
    EXPECT_LE(toMillis(Fleet.slowest(Version)), toMillis(Limit)) << "version " << Version;
  }
}

} // namespace
} // namespace vanillahill::net
