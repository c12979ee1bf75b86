#include "vanillahill/net/detail/caller_request.hpp"

#include <gtest/gtest.h>

namespace vanillahill::net {
namespace {

constexpr ServiceId SmallPart{1};
constexpr double SmallWeight = 0.1;

SiteSettings splitSettings() {
  SiteSettings Made;
  Made.m_Routes.push_back({.m_Host = "a.example",
                           .m_PathPrefix = "/p/",
                           .m_Shares = {{.m_Service = SmallPart, .m_Weight = SmallWeight},
                                        {.m_Service = ServiceId{2}, .m_Weight = 0.9}}});
  return Made;
}

/// Share of the small part when each of several VMs takes a few requests.
double shareOfSmallPart(std::size_t Vms, std::size_t RequestsEach, std::uint64_t FirstSeed) {
  std::size_t Small = 0;
  for (std::size_t Vm = 0; Vm < Vms; ++Vm) {
    const RouteTable Routes(splitSettings(), FirstSeed + Vm);
    for (std::size_t Request = 0; Request < RequestsEach; ++Request) {
      Small += Routes.match("a.example", "/p/x").m_Share->m_Service == SmallPart ? 1 : 0;
    }
  }
  return static_cast<double>(Small) / static_cast<double>(Vms * RequestsEach);
}

/// Each VM sent its first request to the first part: half of two requests each at a weight of 0.1.
TEST(RouteWeights, AreKeptOverVmsThatSeeFewRequestsEach) {
  constexpr double WeightOff = 0.1;
  for (const std::size_t RequestsEach : {1U, 2U, 3U, 8U}) {
    for (std::uint64_t Seed = 1; Seed <= 5; ++Seed) {
      EXPECT_NEAR(shareOfSmallPart(147, RequestsEach, Seed * 1000), SmallWeight, WeightOff)
          << RequestsEach << " requests on each VM, seed " << Seed;
    }
  }
}

TEST(RouteWeights, AreKeptOnOneVmWhereverItsSequenceBegins) {
  constexpr std::size_t Requests = 500;
  for (std::uint64_t Seed = 1; Seed <= 20; ++Seed) {
    EXPECT_NEAR(shareOfSmallPart(1, Requests, Seed), SmallWeight, 0.01) << "seed " << Seed;
  }
}

} // namespace
} // namespace vanillahill::net
