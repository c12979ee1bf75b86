#include "node_cluster.hpp"

#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <iostream>

namespace vanillahill::test {
namespace {

#if defined(__SANITIZE_ADDRESS__)
constexpr const char *MaxSuccess = " max_success=150";
#else
constexpr const char *MaxSuccess = " max_success=3000";
#endif

/// Runs more random cases than RapidCheck's default of 100, with the seed of RC_PARAMS if it is
/// set.
class CaseCountEnvironment : public ::testing::Environment {
public:
  void SetUp() override {
    const char *Params = std::getenv("RC_PARAMS");
    const std::string Text = Params == nullptr ? "seed=20261203" : Params;
    if (Text.find("max_success") == std::string::npos) {
      setenv("RC_PARAMS", (Text + MaxSuccess).c_str(), 1);
    }
    std::cout << "RC_PARAMS=" << std::getenv("RC_PARAMS") << "\n";
  }
};
[[maybe_unused]] ::testing::Environment *const Registered =
    ::testing::AddGlobalTestEnvironment(new CaseCountEnvironment);

std::string problemsOf(const NodeCluster &Cluster) {
  std::string Text;
  for (const history::Violation &Found : history::check(Cluster.records(), {})) {
    Text += history::toString(Found);
  }
  for (const std::string &Problem : Cluster.problems()) {
    Text += Problem + "\n";
  }
  return Text;
}

TEST(NodeFaults, EveryOperationCompletesWithoutFaults) {
  NodeCluster Cluster(1, {});
  Cluster.run();
  EXPECT_EQ(problemsOf(Cluster), "");
  EXPECT_EQ(Cluster.completed(), 12U);
}

RC_GTEST_PROP(NodeFaults, AllGuaranteesHoldUnderRandomFaults, ()) {
  Faults Injected;
  Injected.m_MessageLossPercent = *rc::gen::inRange(0, 30);
  Injected.m_ReplyLossPercent = *rc::gen::inRange(0, 30);
  Injected.m_RefusalPercent = *rc::gen::inRange(0, 30);
  Injected.m_VmPauses = *rc::gen::inRange(0, 4);
  Injected.m_VmKills = *rc::gen::inRange(0, 4);
  Injected.m_LinkCuts = *rc::gen::inRange(0, 4);
  Injected.m_ServerOutages = *rc::gen::inRange(0, 3);
  const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
  NodeCluster Cluster(Seed, Injected);
  Cluster.run();
  const std::string Problems = problemsOf(Cluster);
  if (!Problems.empty()) {
    RC_FAIL("engine seed " + std::to_string(Seed) + "\n" + Problems);
  }
}

} // namespace
} // namespace vanillahill::test
