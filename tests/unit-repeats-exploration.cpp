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

/// Restarts or deaths in one run: 1, or VANILLAHILL_RESTARTS for a longer run.
int restarts() {
  const char *Text = std::getenv("VANILLAHILL_RESTARTS");
  return Text == nullptr ? 1 : std::atoi(Text);
}

void expectSafe(const Scenario &Plan) {
  const Exploration Result = explore(Plan);
  EXPECT_EQ(Result.m_Violation, "");
  EXPECT_EQ(Result.m_MostRuns, 1) << "the operation never ran: the scenario shows nothing";
  std::cout << "states explored: " << Result.m_States << "\n";
}

void expectViolation(const Scenario &Plan) {
  const Exploration Result = explore(Plan);
  EXPECT_NE(Result.m_Violation, "");
  std::cout << Result.m_States << " states until: " << Result.m_Violation << "\n";
}

TEST(RepeatsExploration, FirstAndRepeatWithRestart) {
  expectSafe({.m_Attempts = {FirstAtA, RepeatAtB}, .m_Restarts = restarts()});
}

TEST(RepeatsExploration, TwoRepeatsAtOnceWithRestart) {
  expectSafe({.m_Attempts = {RepeatAtA, RepeatAtB}, .m_Restarts = 1});
}

TEST(RepeatsExploration, FirstAndRepeatOnOneVmWithRestart) {
  expectSafe({.m_Attempts = {FirstAtA, RepeatAtA}, .m_Restarts = restarts()});
}

TEST(RepeatsExploration, FirstAndTwoRepeats) {
  expectSafe({.m_Attempts = {FirstAtC, RepeatAtA, RepeatAtB}});
}

TEST(RepeatsExploration, RepeatsOfBothKindsOnOneVm) {
  expectSafe({.m_Attempts = {FirstAtA, RepeatAtA, RepeatAtB}});
}

TEST(RepeatsExploration, FirstThroughANewcomer) {
  expectSafe({.m_Attempts = {FirstAtC, RepeatAtB}, .m_Newcomer = true});
}

TEST(RepeatsExploration, FirstThroughANewcomerThatOneVmNeverHeard) {
  expectSafe({.m_Attempts = {FirstAtC, RepeatAtB}, .m_Newcomer = true, .m_OneAck = true});
}

TEST(RepeatsExploration, FirstThroughADroppedVm) {
  expectSafe({.m_Attempts = {FirstAtC, RepeatAtB}, .m_Dropped = true});
}

TEST(RepeatsExploration, WithoutSealsItRunsTwice) {
  expectViolation({.m_Attempts = {FirstAtA, RepeatAtB}, .m_Rules = {.m_Seal = false}});
}

TEST(RepeatsExploration, WithoutTheLeaseItRunsTwice) {
  expectViolation(
      {.m_Attempts = {FirstAtC, RepeatAtB}, .m_Dropped = true, .m_Rules = {.m_Lease = false}});
}

TEST(RepeatsExploration, WithoutAcknowledgedNewcomersItRunsTwice) {
  expectViolation({.m_Attempts = {FirstAtC, RepeatAtB},
                   .m_Newcomer = true,
                   .m_Rules = {.m_NewcomerAcks = false}});
}

TEST(RepeatsExploration, WithoutMemberSetsInAnswersItRunsTwice) {
  expectViolation({.m_Attempts = {FirstAtC, RepeatAtB},
                   .m_Newcomer = true,
                   .m_OneAck = true,
                   .m_Rules = {.m_MemberSets = false}});
}

TEST(RepeatsExploration, WithoutIncarnationsInAnswersItRunsTwice) {
  expectViolation(
      {.m_Attempts = {FirstAtA, RepeatAtB}, .m_Restarts = 1, .m_Rules = {.m_Incarnations = false}});
}

TEST(RepeatsExploration, WithoutKnownSinceItRunsTwice) {
  expectViolation(
      {.m_Attempts = {FirstAtA, RepeatAtB}, .m_Restarts = 1, .m_Rules = {.m_KnownSince = false}});
}

} // namespace
} // namespace vanillahill::test
