#include "node_cluster.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <iostream>

namespace vanillahill::test {
namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr const char *Histories = " max_success=150";
#else
constexpr const char *Histories = " max_success=3000";
#endif

/// More histories than RapidCheck's usual hundred, with the seed that was given.
class MoreHistories : public ::testing::Environment {
public:
  void SetUp() override {
    const char *Given = std::getenv("RC_PARAMS");
    const std::string Text = Given == nullptr ? "seed=20261203" : Given;
    if (Text.find("max_success") == std::string::npos) {
      setenv("RC_PARAMS", (Text + Histories).c_str(), 1);
    }
    std::cout << "RC_PARAMS=" << std::getenv("RC_PARAMS") << "\n";
  }
};
[[maybe_unused]] ::testing::Environment *const Registered =
    ::testing::AddGlobalTestEnvironment(new MoreHistories);

std::string problemsOf(const NodeCluster &Cluster) {
  std::string Text;
  for (const history::Violation &Each : history::check(Cluster.records(), {})) {
    Text += history::toString(Each);
  }
  for (const std::string &Name : Cluster.faulty()) {
    Text += Name + "\n";
  }
  return Text;
}

TEST(NodeFaults, CalmRunCompletesEveryOperation) {
  NodeCluster Cluster(1, {});
  Cluster.run();
  EXPECT_EQ(problemsOf(Cluster), "");
  EXPECT_EQ(Cluster.completed(), 12U);
}

RC_GTEST_PROP(NodeFaults, EveryPointHoldsUnderAnyFaults, ()) {
  Faults Strikes;
  Strikes.m_LostMessages = *rc::gen::inRange(0, 30);
  Strikes.m_LostReplies = *rc::gen::inRange(0, 30);
  Strikes.m_Refusals = *rc::gen::inRange(0, 30);
  Strikes.m_Pauses = *rc::gen::inRange(0, 4);
  Strikes.m_Kills = *rc::gen::inRange(0, 4);
  Strikes.m_Cuts = *rc::gen::inRange(0, 4);
  Strikes.m_ServerDeaths = *rc::gen::inRange(0, 3);
  const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  NodeCluster Cluster(Seed, Strikes);
  Cluster.run();
  const std::string Problems = problemsOf(Cluster);
  if (!Problems.empty()) {
    RC_FAIL("engine seed " + std::to_string(Seed) + "\n" + Problems);
  }
}

} // namespace
} // namespace vanillahill::test
