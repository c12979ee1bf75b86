#include "repeats_explorer.hpp"

#include <gtest/gtest.h>

#include <cstdlib>
#include <iostream>

namespace vanillahill::test {
namespace {

constexpr AttemptPlan FirstAtA{.m_Vm = 0, .m_First = true};
constexpr AttemptPlan FirstAtC{.m_Vm = 2, .m_First = true};
constexpr AttemptPlan RepeatAtA{.m_Vm = 0, .m_First = false};
constexpr AttemptPlan RepeatAtB{.m_Vm = 1, .m_First = false};

/// Maximum number of VM restarts or crashes: 1, or VANILLAHILL_RESTARTS for a longer exploration.
int maxRestarts() {
  const char *Text = std::getenv("VANILLAHILL_RESTARTS");
  return Text == nullptr ? 1 : std::atoi(Text);
}

void expectNoViolation(const Scenario &Plan) {
  const Exploration Result = explore(Plan);
  EXPECT_EQ(Result.m_Violation, "");
  EXPECT_EQ(Result.m_MaxRuns, 1) << "the operation never ran, so the scenario proves nothing";
  std::cout << "states explored: " << Result.m_States << "\n";
}

void expectViolation(const Scenario &Plan) {
  const Exploration Result = explore(Plan);
  EXPECT_NE(Result.m_Violation, "");
  std::cout << Result.m_States << " states until: " << Result.m_Violation << "\n";
}

TEST(RepeatsExploration, RunsOnceForFirstAttemptAndRepeatWithRestart) {
  expectNoViolation({.m_Attempts = {FirstAtA, RepeatAtB}, .m_MaxRestarts = maxRestarts()});
}

TEST(RepeatsExploration, RunsOnceForTwoConcurrentRepeatsWithRestart) {
  expectNoViolation({.m_Attempts = {RepeatAtA, RepeatAtB}, .m_MaxRestarts = 1});
}

TEST(RepeatsExploration, RunsOnceForFirstAttemptAndRepeatOnOneVmWithRestart) {
  expectNoViolation({.m_Attempts = {FirstAtA, RepeatAtA}, .m_MaxRestarts = maxRestarts()});
}

TEST(RepeatsExploration, RunsOnceForFirstAttemptAndTwoRepeatsOnThreeVms) {
  expectNoViolation({.m_Attempts = {FirstAtC, RepeatAtA, RepeatAtB}});
}

TEST(RepeatsExploration, RunsOnceForFirstAttemptAndRepeatsOnSameAndOtherVm) {
  expectNoViolation({.m_Attempts = {FirstAtA, RepeatAtA, RepeatAtB}});
}

TEST(RepeatsExploration, RunsOnceForFirstAttemptOnNewVm) {
  expectNoViolation({.m_Attempts = {FirstAtC, RepeatAtB}, .m_NewVm = true});
}

TEST(RepeatsExploration, RunsOnceForFirstAttemptOnNewVmJoinedAfterOneAck) {
  expectNoViolation(
      {.m_Attempts = {FirstAtC, RepeatAtB}, .m_NewVm = true, .m_JoinAfterOneAck = true});
}

TEST(RepeatsExploration, RunsOnceForFirstAttemptOnDroppedVm) {
  expectNoViolation({.m_Attempts = {FirstAtC, RepeatAtB}, .m_DroppedVm = true});
}

TEST(RepeatsExploration, FindsViolationWithoutSeals) {
  expectViolation({.m_Attempts = {FirstAtA, RepeatAtB}, .m_Mechanisms = {.m_Seal = false}});
}

TEST(RepeatsExploration, FindsViolationWithoutLease) {
  expectViolation({.m_Attempts = {FirstAtC, RepeatAtB},
                   .m_DroppedVm = true,
                   .m_Mechanisms = {.m_Lease = false}});
}

TEST(RepeatsExploration, FindsViolationWithoutJoinAcknowledgements) {
  expectViolation({.m_Attempts = {FirstAtC, RepeatAtB},
                   .m_NewVm = true,
                   .m_Mechanisms = {.m_JoinAcks = false}});
}

TEST(RepeatsExploration, FindsViolationWithoutMemberSetsInAnswers) {
  expectViolation({.m_Attempts = {FirstAtC, RepeatAtB},
                   .m_NewVm = true,
                   .m_JoinAfterOneAck = true,
                   .m_Mechanisms = {.m_MemberSets = false}});
}

TEST(RepeatsExploration, FindsViolationWithoutIncarnationsInAnswers) {
  expectViolation({.m_Attempts = {FirstAtA, RepeatAtB},
                   .m_MaxRestarts = 1,
                   .m_Mechanisms = {.m_Incarnations = false}});
}

TEST(RepeatsExploration, FindsViolationWithoutKnownSince) {
  expectViolation({.m_Attempts = {FirstAtA, RepeatAtB},
                   .m_MaxRestarts = 1,
                   .m_Mechanisms = {.m_KnownSince = false}});
}

} // namespace
} // namespace vanillahill::test
