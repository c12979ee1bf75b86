#include "distribution_fleet.hpp"

namespace vanillahill::net {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t LastSeed = 1;
#else
constexpr std::uint64_t LastSeed = 2;
#endif

TEST(ConfigurationDistribution, LargeConfigurationIsInForceInTime) {
  for (std::uint64_t Seed = 1; Seed <= LastSeed; ++Seed) {
    expectInTime({.m_Vms = DistributionVms, .m_Seed = Seed});
  }
}

TEST(ConfigurationDistribution, FiveThousandRoutesAreInForceInTime) {
  expectInTime({.m_Vms = DistributionVms, .m_TextBytes = 1'200'000, .m_FrameBytes = 131'000});
}

TEST(ConfigurationDistribution, StoreThatTurnsHalfOfTheVmsAwayDelaysNothing) {
  expectInTime({.m_Vms = DistributionVms, .m_TurnedAway = 0.5, .m_Seed = 3});
}

TEST(ConfigurationDistribution, LostDatagramsDelayNothing) {
  expectInTime({.m_Vms = DistributionVms, .m_Lost = 0.03, .m_Seed = 4});
}

TEST(ConfigurationDistribution, FleetsOfOtherSizesAreInTime) {
  expectInTime({.m_Vms = 5, .m_DataCenters = 2, .m_FastVms = 0});
  expectInTime({.m_Vms = 20});
#ifndef __SANITIZE_ADDRESS__
  expectInTime({.m_Vms = 500, .m_DataCenters = 6}, 2);
#endif
}

} // namespace
} // namespace vanillahill::net
