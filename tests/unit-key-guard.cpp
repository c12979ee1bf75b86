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
constexpr VmId SmallerVm{3};
constexpr VmId LargerVm{9};

class KeyGuardTest : public ::testing::Test {
protected:
  /// \brief Makes this VM one that joined just now.
  void setLeaseStartToNow() { m_LeaseSince = m_Now; }

  membership::View view() const {
    return {.m_Self = Self,
            .m_Incarnation = 1,
            .m_HasLease = m_HasLease,
            .m_LeaseSince = m_LeaseSince,
            .m_KnownSince = m_KnownSince,
            .m_MustAsk = m_Targets};
  }

  Verdict receiveRequest(std::uint64_t Request, const kernel::KeyAge &Age,
                         std::string_view Key = "k1") {
    return m_Guard.arrived(RequestId{Request}, Key, Age, view(), m_Now, m_Out);
  }

  std::vector<RequestId> receiveAnswer(VmId From, peer::KeyState State,
                                       ReplyPtr KeptReply = nullptr) {
    peer::KeyAnswer Answer;
    Answer.m_Query = lastQueryNumber();
    Answer.m_State = State;
    Answer.m_Reply = std::move(KeptReply);
    Answer.m_Incarnation = m_AnswerIncarnation;
    Answer.m_Members = m_AnswerMembers;
    return m_Guard.onAnswer(From, Answer, view(), m_Now, m_Out);
  }

  std::uint64_t lastQueryNumber() const {
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

  peer::KeyState stateAnsweredTo(VmId From) {
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

  void advanceTime(Duration For) {
    for (const TimePoint End = m_Now + For; m_Now < End; m_Now += 400ms) {
      m_Guard.tick(m_Now, m_Out);
    }
  }

  bool m_HasLease = true;
  TimePoint m_KnownSince{};
  TimePoint m_LeaseSince{};
  TimePoint m_Now = Start;
  std::vector<membership::AskTarget> m_Targets{{SmallerVm, 1, true}, {LargerVm, 1, true}};
  std::uint64_t m_AnswerIncarnation = 1;
  std::vector<VmId> m_AnswerMembers{SmallerVm, Self, LargerVm};
  IdempotencySettings m_Settings{};
  KeyGuard m_Guard{{.m_Settings = m_Settings, .m_Incarnation = 1, .m_Seed = 1}};
  kernel::Actions m_Out;
};

TEST_F(KeyGuardTest, FirstAttemptRunsAtOnceAndItsAnswerIsKept) {
  EXPECT_EQ(receiveRequest(1, First), Verdict::Run);
  EXPECT_EQ(stateAnsweredTo(LargerVm), peer::KeyState::Unknown);
  const auto KeptReply = std::make_shared<const Reply>(Reply{200, "text/plain", "done"});
  m_Guard.finished(RequestId{1}, Outcome::Completed, Reason::None, KeptReply, m_Now, m_Out);
  EXPECT_EQ(stateAnsweredTo(LargerVm), peer::KeyState::Answered);
  EXPECT_EQ(receiveRequest(2, Repeat), Verdict::Answered);
  EXPECT_EQ(lastAnswer().m_Reply, KeptReply);
}

TEST_F(KeyGuardTest, RepeatRunsOnlyAfterEveryPeerSealedOrDidNotRunTheKey) {
  EXPECT_EQ(receiveRequest(1, Repeat), Verdict::Wait);
  EXPECT_TRUE(receiveAnswer(SmallerVm, peer::KeyState::Sealed).empty());
  EXPECT_EQ(receiveAnswer(LargerVm, peer::KeyState::NotRun), std::vector{RequestId{1}});
  EXPECT_EQ(m_Guard.mayDispatch(RequestId{1}, view()), Reason::None);
}

TEST_F(KeyGuardTest, RepeatIsUnknownWhenAPeerAnswersUnknown) {
  receiveRequest(1, Repeat);
  receiveAnswer(SmallerVm, peer::KeyState::Unknown);
  EXPECT_TRUE(receiveAnswer(LargerVm, peer::KeyState::Sealed).empty());
  expectAnswer(Outcome::Unknown, Reason::KeyUnknown);
}

TEST_F(KeyGuardTest, RepeatIsUnknownWhenAPeerDoesNotAnswerOrIsUnreachable) {
  receiveRequest(1, Repeat);
  receiveAnswer(SmallerVm, peer::KeyState::Sealed);
  advanceTime(500ms);
  expectAnswer(Outcome::Unknown, Reason::KeyUnasked);
  m_Targets[0].m_Reachable = false;
  receiveRequest(2, Repeat);
  EXPECT_TRUE(receiveAnswer(LargerVm, peer::KeyState::Sealed).empty());
  expectAnswer(Outcome::Unknown, Reason::KeyUnasked);
}

TEST_F(KeyGuardTest, RepeatIsUnknownWhenItsFirstAttemptMayPredateTheKnownMembership) {
  m_KnownSince = m_Now - 5s;
  receiveRequest(1, Repeat);
  receiveAnswer(SmallerVm, peer::KeyState::Sealed);
  EXPECT_TRUE(receiveAnswer(LargerVm, peer::KeyState::Sealed).empty());
  expectAnswer(Outcome::Unknown, Reason::KeyUnasked);
}

TEST_F(KeyGuardTest, RepeatIsUnknownWhenAPeerRestarted) {
  receiveRequest(1, Repeat);
  receiveAnswer(SmallerVm, peer::KeyState::Sealed);
  m_AnswerIncarnation = 2;
  EXPECT_TRUE(receiveAnswer(LargerVm, peer::KeyState::Sealed).empty());
  expectAnswer(Outcome::Unknown, Reason::KeyUnasked);
}

TEST_F(KeyGuardTest, RepeatIsUnknownWhenAnAnswerNamesAVmThatWasNotQueried) {
  receiveRequest(1, Repeat);
  m_AnswerMembers.push_back(VmId{11});
  receiveAnswer(SmallerVm, peer::KeyState::Sealed);
  EXPECT_TRUE(receiveAnswer(LargerVm, peer::KeyState::Sealed).empty());
  expectAnswer(Outcome::Unknown, Reason::KeyUnasked);
}

TEST_F(KeyGuardTest, SealedFirstAttemptNeverRuns) {
  EXPECT_EQ(stateAnsweredTo(LargerVm), peer::KeyState::Sealed);
  EXPECT_EQ(receiveRequest(1, First), Verdict::Answered);
  expectAnswer(Outcome::Unknown, Reason::KeySealed);
}

TEST_F(KeyGuardTest, OfTwoConcurrentQueriesTheOneOfTheSmallerVmIdContinues) {
  receiveRequest(1, Repeat);
  EXPECT_EQ(stateAnsweredTo(LargerVm), peer::KeyState::Unknown);
  EXPECT_EQ(stateAnsweredTo(SmallerVm), peer::KeyState::SealedBefore);
  expectAnswer(Outcome::Unknown, Reason::KeySealed);
  EXPECT_TRUE(receiveAnswer(SmallerVm, peer::KeyState::Sealed).empty());
}

TEST_F(KeyGuardTest, FirstAttemptOnANewVmQueriesPeersAndIsRefusedAfterAnEarlierRepeat) {
  setLeaseStartToNow();
  EXPECT_EQ(receiveRequest(1, First), Verdict::Wait);
  receiveAnswer(SmallerVm, peer::KeyState::Sealed);
  EXPECT_EQ(receiveAnswer(LargerVm, peer::KeyState::Sealed), std::vector{RequestId{1}});
  EXPECT_EQ(receiveRequest(2, First, "k2"), Verdict::Wait);
  receiveAnswer(SmallerVm, peer::KeyState::SealedBefore);
  EXPECT_TRUE(receiveAnswer(LargerVm, peer::KeyState::Sealed).empty());
  expectAnswer(Outcome::Unknown, Reason::KeySealed);
}

TEST_F(KeyGuardTest, LeaseIsCheckedAgainBeforeDispatch) {
  receiveRequest(1, First);
  m_HasLease = false;
  EXPECT_EQ(m_Guard.mayDispatch(RequestId{1}, view()), Reason::NoLease);
  EXPECT_EQ(receiveRequest(2, First, "k2"), Verdict::Answered);
  expectAnswer(Outcome::NotRun, Reason::NoLease);
}

TEST_F(KeyGuardTest, RepeatOnTheSameVmWaitsForTheRunningAttempt) {
  receiveRequest(1, First);
  EXPECT_EQ(receiveRequest(2, Repeat), Verdict::Wait);
  m_Guard.finished(RequestId{1}, Outcome::Unknown, Reason::AttemptLost, nullptr, m_Now, m_Out);
  EXPECT_EQ(lastAnswer().m_Request, RequestId{2});
  expectAnswer(Outcome::Unknown, Reason::AttemptLost);
}

TEST_F(KeyGuardTest, FullTableRefusesNewKeysAndKeepsOldOnesForTheRetention) {
  m_Settings.m_MaxKeys = 1;
  m_Guard.updateSettings(m_Settings);
  receiveRequest(1, First);
  m_Guard.finished(RequestId{1}, Outcome::Unknown, Reason::AttemptLost, nullptr, m_Now, m_Out);
  receiveRequest(2, First, "k2");
  expectAnswer(Outcome::NotRun, Reason::KeyTableFull);
  advanceTime(m_Guard.retention() - 1s);
  EXPECT_EQ(m_Guard.size(), 1U);
  advanceTime(2s);
  EXPECT_EQ(m_Guard.size(), 0U);
}

TEST_F(KeyGuardTest, ProcessPauseDoesNotShortenTheRetention) {
  stateAnsweredTo(LargerVm);
  m_Now += 2 * m_Guard.retention();
  m_Guard.tick(m_Now, m_Out);
  EXPECT_EQ(receiveRequest(1, First), Verdict::Answered);
  expectAnswer(Outcome::Unknown, Reason::KeySealed);
}

TEST_F(KeyGuardTest, RepeatOlderThanTheRepeatWindowIsRefused) {
  receiveRequest(1, kernel::KeyAge{.m_First = false, .m_Age = 11min});
  expectAnswer(Outcome::Unknown, Reason::KeyExpired);
}

TEST_F(KeyGuardTest, RequestWithoutAKeyIsRefusedOnlyWhenDeclaredARepeat) {
  EXPECT_EQ(receiveRequest(1, kernel::KeyAge{}, ""), Verdict::Run);
  EXPECT_EQ(receiveRequest(2, Repeat, ""), Verdict::Answered);
  expectAnswer(Outcome::Unknown, Reason::KeyMissing);
}

} // namespace
} // namespace vanillahill::idempotency
