#include "vanillahill/idempotency/key_guard.hpp"

#include <gtest/gtest.h>

namespace vanillahill::idempotency {
namespace {

using namespace std::chrono_literals;
using kernel::Outcome;
using kernel::Reason;

constexpr TimePoint Start{24h};
constexpr kernel::KeyAge First{.m_First = true, .m_Age = {}};
constexpr kernel::KeyAge Repeat{.m_First = false, .m_Age = 2s};
constexpr VmId Self{5};
constexpr VmId Smaller{3};
constexpr VmId Larger{9};

class KeyGuardTest : public ::testing::Test {
protected:
  /// \brief A VM that joined just now.
  void joinNow() { m_LeaseSince = m_Now; }

  membership::View view() const {
    return {.m_Self = Self,
            .m_Incarnation = 1,
            .m_HasLease = m_Lease,
            .m_LeaseSince = m_LeaseSince,
            .m_KnownSince = m_KnownSince,
            .m_MustAsk = m_Targets};
  }

  Verdict arrive(std::uint64_t Request, const kernel::KeyAge &Age, std::string_view Key = "k1") {
    return m_Guard.arrived(RequestId{Request}, Key, Age, view(), m_Now, m_Out);
  }

  std::vector<RequestId> answer(VmId From, peer::KeyState State, ReplyPtr Kept = nullptr) {
    peer::KeyAnswer Answer;
    Answer.m_Query = query();
    Answer.m_State = State;
    Answer.m_Reply = std::move(Kept);
    Answer.m_Incarnation = m_AnswerIncarnation;
    Answer.m_Members = m_AnswerMembers;
    return m_Guard.onAnswer(From, Answer, view(), m_Now, m_Out);
  }

  std::uint64_t query() const {
    std::uint64_t Found = 0;
    for (const kernel::Action &Item : m_Out) {
      if (const auto *Send = std::get_if<kernel::SendPeer>(&Item)) {
        if (const auto *Query = std::get_if<peer::KeyQuery>(&Send->m_Message)) {
          Found = Query->m_Query;
        }
      }
    }
    return Found;
  }

  peer::KeyState asked(VmId From) {
    kernel::Actions Out;
    m_Guard.onQuery(From, {.m_Query = 77, .m_Key = "k1"}, view(), m_Now, Out);
    const auto Send = std::get<kernel::SendPeer>(Out.back());
    EXPECT_EQ(Send.m_To, From);
    Out.pop_back();
    m_Out.insert(m_Out.end(), Out.begin(), Out.end());
    return std::get<peer::KeyAnswer>(Send.m_Message).m_State;
  }

  kernel::Answer lastAnswer() const {
    for (auto Item = m_Out.rbegin(); Item != m_Out.rend(); ++Item) {
      if (const auto *Found = std::get_if<kernel::Answer>(&*Item)) {
        return *Found;
      }
    }
    ADD_FAILURE() << "no answer";
    return {};
  }

  void expectAnswer(Outcome Ended, Reason Why) const {
    EXPECT_EQ(lastAnswer().m_Outcome, Ended);
    EXPECT_EQ(kernel::toString(lastAnswer().m_Reason), kernel::toString(Why));
  }

  void pass(Duration For) {
    for (const TimePoint End = m_Now + For; m_Now < End; m_Now += 400ms) {
      m_Guard.tick(m_Now, m_Out);
    }
  }

  bool m_Lease = true;
  TimePoint m_KnownSince{};
  TimePoint m_LeaseSince{};
  TimePoint m_Now = Start;
  std::vector<membership::AskTarget> m_Targets{{Smaller, 1, true}, {Larger, 1, true}};
  std::uint64_t m_AnswerIncarnation = 1;
  std::vector<VmId> m_AnswerMembers{Smaller, Self, Larger};
  IdempotencySettings m_Settings{};
  KeyGuard m_Guard{{.m_Settings = m_Settings, .m_Incarnation = 1, .m_Seed = 1}};
  kernel::Actions m_Out;
};

TEST_F(KeyGuardTest, FirstAttemptRunsAtOnceAndItsAnswerIsKept) {
  EXPECT_EQ(arrive(1, First), Verdict::Run);
  EXPECT_EQ(asked(Larger), peer::KeyState::Unknown);
  const auto Kept = std::make_shared<const Reply>(Reply{200, "text/plain", "done"});
  m_Guard.finished(RequestId{1}, Outcome::Completed, Reason::None, Kept, m_Now, m_Out);
  EXPECT_EQ(asked(Larger), peer::KeyState::Answered);
  EXPECT_EQ(arrive(2, Repeat), Verdict::Answered);
  EXPECT_EQ(lastAnswer().m_Reply, Kept);
}

TEST_F(KeyGuardTest, RepeatRunsOnlyWhenAllHaveSealed) {
  EXPECT_EQ(arrive(1, Repeat), Verdict::Wait);
  EXPECT_TRUE(answer(Smaller, peer::KeyState::Sealed).empty());
  EXPECT_EQ(answer(Larger, peer::KeyState::NotRun), std::vector{RequestId{1}});
  EXPECT_EQ(m_Guard.mayDispatch(RequestId{1}, view()), Reason::None);
}

TEST_F(KeyGuardTest, RepeatIsUnknownWhenAPeerRunsIt) {
  arrive(1, Repeat);
  answer(Smaller, peer::KeyState::Unknown);
  EXPECT_TRUE(answer(Larger, peer::KeyState::Sealed).empty());
  expectAnswer(Outcome::Unknown, Reason::KeyUnknown);
}

TEST_F(KeyGuardTest, RepeatIsUnknownWhenAPeerIsSilent) {
  arrive(1, Repeat);
  answer(Smaller, peer::KeyState::Sealed);
  pass(500ms);
  expectAnswer(Outcome::Unknown, Reason::KeyUnasked);
  m_Targets[0].m_Reachable = false;
  arrive(2, Repeat);
  EXPECT_TRUE(answer(Larger, peer::KeyState::Sealed).empty());
  expectAnswer(Outcome::Unknown, Reason::KeyUnasked);
}

TEST_F(KeyGuardTest, RepeatIsUnknownWhenKeysMayBeLost) {
  m_KnownSince = m_Now - 5s;
  arrive(1, Repeat);
  answer(Smaller, peer::KeyState::Sealed);
  EXPECT_TRUE(answer(Larger, peer::KeyState::Sealed).empty());
  expectAnswer(Outcome::Unknown, Reason::KeyUnasked);
}

TEST_F(KeyGuardTest, AnswerOfARestartedPeerDoesNotCount) {
  arrive(1, Repeat);
  answer(Smaller, peer::KeyState::Sealed);
  m_AnswerIncarnation = 2;
  EXPECT_TRUE(answer(Larger, peer::KeyState::Sealed).empty());
  expectAnswer(Outcome::Unknown, Reason::KeyUnasked);
}

TEST_F(KeyGuardTest, AnswerThatNamesAnUnaskedVmDoesNotCount) {
  arrive(1, Repeat);
  m_AnswerMembers.push_back(VmId{11});
  answer(Smaller, peer::KeyState::Sealed);
  EXPECT_TRUE(answer(Larger, peer::KeyState::Sealed).empty());
  expectAnswer(Outcome::Unknown, Reason::KeyUnasked);
}

TEST_F(KeyGuardTest, SealedFirstAttemptNeverRuns) {
  EXPECT_EQ(asked(Larger), peer::KeyState::Sealed);
  EXPECT_EQ(arrive(1, First), Verdict::Answered);
  expectAnswer(Outcome::Unknown, Reason::KeySealed);
}

TEST_F(KeyGuardTest, OfTwoThatAskAtOnceTheSmallerIdGoesOn) {
  arrive(1, Repeat);
  EXPECT_EQ(asked(Larger), peer::KeyState::Unknown);
  EXPECT_EQ(asked(Smaller), peer::KeyState::SealedBefore);
  expectAnswer(Outcome::Unknown, Reason::KeySealed);
  EXPECT_TRUE(answer(Smaller, peer::KeyState::Sealed).empty());
}

TEST_F(KeyGuardTest, FirstAttemptOnANewVmAsksAndYieldsToAnEarlierRepeat) {
  joinNow();
  EXPECT_EQ(arrive(1, First), Verdict::Wait);
  answer(Smaller, peer::KeyState::Sealed);
  EXPECT_EQ(answer(Larger, peer::KeyState::Sealed), std::vector{RequestId{1}});
  EXPECT_EQ(arrive(2, First, "k2"), Verdict::Wait);
  answer(Smaller, peer::KeyState::SealedBefore);
  EXPECT_TRUE(answer(Larger, peer::KeyState::Sealed).empty());
  expectAnswer(Outcome::Unknown, Reason::KeySealed);
}

TEST_F(KeyGuardTest, LeaseIsCheckedAgainBeforeDispatch) {
  arrive(1, First);
  m_Lease = false;
  EXPECT_EQ(m_Guard.mayDispatch(RequestId{1}, view()), Reason::NoLease);
  EXPECT_EQ(arrive(2, First, "k2"), Verdict::Answered);
  expectAnswer(Outcome::NotRun, Reason::NoLease);
}

TEST_F(KeyGuardTest, RepeatOnTheSameVmWaitsForTheRunningAttempt) {
  arrive(1, First);
  EXPECT_EQ(arrive(2, Repeat), Verdict::Wait);
  m_Guard.finished(RequestId{1}, Outcome::Unknown, Reason::AttemptLost, nullptr, m_Now, m_Out);
  EXPECT_EQ(lastAnswer().m_Request, RequestId{2});
  expectAnswer(Outcome::Unknown, Reason::AttemptLost);
}

TEST_F(KeyGuardTest, FullTableRefusesAndForgetsNothingWithinTheRetention) {
  m_Settings.m_MaxKeys = 1;
  m_Guard.updateSettings(m_Settings);
  arrive(1, First);
  m_Guard.finished(RequestId{1}, Outcome::Unknown, Reason::AttemptLost, nullptr, m_Now, m_Out);
  arrive(2, First, "k2");
  expectAnswer(Outcome::NotRun, Reason::KeyTableFull);
  pass(m_Guard.retention() - 1s);
  EXPECT_EQ(m_Guard.size(), 1U);
  pass(2s);
  EXPECT_EQ(m_Guard.size(), 0U);
}

TEST_F(KeyGuardTest, PauseDoesNotShortenTheRetention) {
  asked(Larger);
  m_Now += 2 * m_Guard.retention();
  m_Guard.tick(m_Now, m_Out);
  EXPECT_EQ(arrive(1, First), Verdict::Answered);
  expectAnswer(Outcome::Unknown, Reason::KeySealed);
}

TEST_F(KeyGuardTest, TooOldARepeatIsRefused) {
  arrive(1, kernel::KeyAge{.m_First = false, .m_Age = 11min});
  expectAnswer(Outcome::Unknown, Reason::KeyExpired);
}

TEST_F(KeyGuardTest, WithoutAKeyOnlyADeclaredRepeatIsRefused) {
  EXPECT_EQ(arrive(1, kernel::KeyAge{}, ""), Verdict::Run);
  EXPECT_EQ(arrive(2, Repeat, ""), Verdict::Answered);
  expectAnswer(Outcome::Unknown, Reason::KeyMissing);
}

} // namespace
} // namespace vanillahill::idempotency
