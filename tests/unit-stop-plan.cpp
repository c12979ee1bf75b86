#include "vanillahill/kernel/node.hpp"
#include "vanillahill/net/detail/stop_plan.hpp"

#include <gtest/gtest.h>

namespace vanillahill::net {
namespace {

constexpr auto Ms = [](std::int64_t Count) { return std::chrono::milliseconds(Count); };
constexpr std::chrono::seconds Grace(6);
constexpr StopBacklog Busy{.m_KernelIsIdle = false, .m_Connections = 3};
constexpr StopBacklog OnlyConnections{.m_KernelIsIdle = true, .m_Connections = 3};
constexpr StopBacklog Nothing{.m_KernelIsIdle = true, .m_Connections = 0};

/// A plan with a paused clock.
class StopPlanTest : public testing::Test {
protected:
  /// Follows the plan with the same backlog until it exits; returns how long that took.
  Duration timeUntilExit(const StopBacklog &Backlog) {
    const TimePoint Begin = m_Clock.now();
    while (m_Plan.next(m_Clock.now(), Backlog) != StopStep::Exit) {
      const TimePoint Next = m_Plan.nextCheck(m_Clock.now(), Backlog);
      EXPECT_GT(Next, m_Clock.now()) << "a timer that is due at once would fire without end";
      m_Clock.advance(Next - m_Clock.now());
    }
    return m_Clock.now() - Begin;
  }

  PausedClock m_Clock;
  StopPlan m_Plan;
};

TEST_F(StopPlanTest, EndsBeforeGraceWhileRequestsStayOpen) {
  m_Plan.request(m_Clock.now(), Grace);
  const Duration Took = timeUntilExit(Busy);
  EXPECT_LT(Took, Grace);
  EXPECT_GE(m_Plan.logTime(m_Clock.now()), Ms(100));
  EXPECT_LT(Took + m_Plan.logTime(m_Clock.now()), Grace);
}

TEST_F(StopPlanTest, EndsBeforeGraceWhileCallersKeepConnections) {
  m_Plan.request(m_Clock.now(), Grace);
  const Duration Took = timeUntilExit(OnlyConnections);
  EXPECT_LT(Took, Grace);
  EXPECT_GT(Took, Grace * 5 / 6);
}

TEST_F(StopPlanTest, ExitsAtOnceWhenNothingIsLeft) {
  m_Plan.request(m_Clock.now(), Grace);
  m_Clock.advance(Ms(2700));
  EXPECT_EQ(m_Plan.next(m_Clock.now(), Busy), StopStep::Wait);
  EXPECT_EQ(m_Plan.next(m_Clock.now(), Nothing), StopStep::Exit);
}

TEST_F(StopPlanTest, EndsRequestsOnceAndNotBeforeTheLastSixthOfGrace) {
  m_Plan.request(m_Clock.now(), Grace);
  m_Clock.advance(Ms(5000));
  EXPECT_EQ(m_Plan.next(m_Clock.now(), Busy), StopStep::Wait);
  m_Clock.advance(m_Plan.nextCheck(m_Clock.now(), Busy) - m_Clock.now());
  EXPECT_EQ(m_Plan.next(m_Clock.now(), Busy), StopStep::EndRequests);
  EXPECT_EQ(m_Plan.next(m_Clock.now(), Busy), StopStep::Wait);
}

TEST_F(StopPlanTest, LeavesRoomForTheAnswersOfASlowedMachine) {
  m_Plan.request(m_Clock.now(), Grace);
  m_Clock.advance(Ms(5000));
  m_Clock.advance(m_Plan.nextCheck(m_Clock.now(), Busy) - m_Clock.now());
  ASSERT_EQ(m_Plan.next(m_Clock.now(), Busy), StopStep::EndRequests);
  EXPECT_GE(m_Plan.nextCheck(m_Clock.now(), Busy) - m_Clock.now(), Grace / 20);
}

TEST_F(StopPlanTest, ExitsThoughItsTimerFiresLate) {
  m_Plan.request(m_Clock.now(), Grace);
  m_Clock.advance(Ms(5900));
  EXPECT_EQ(m_Plan.next(m_Clock.now(), Busy), StopStep::Exit);
  EXPECT_EQ(m_Plan.logTime(m_Clock.now()), Duration::zero());
}

TEST_F(StopPlanTest, ASecondRequestToStopChangesNothing) {
  EXPECT_FALSE(m_Plan.isRequested());
  EXPECT_EQ(m_Plan.next(m_Clock.now(), Nothing), StopStep::Wait);
  EXPECT_TRUE(m_Plan.request(m_Clock.now(), Grace));
  const TimePoint Bound = m_Plan.nextCheck(m_Clock.now(), Busy);
  m_Clock.advance(Ms(1000));
  EXPECT_FALSE(m_Plan.request(m_Clock.now(), 10 * Grace));
  EXPECT_EQ(m_Plan.nextCheck(m_Clock.now(), Busy), Bound);
  EXPECT_EQ(m_Plan.elapsed(m_Clock.now()), Ms(1000));
}

} // namespace
} // namespace vanillahill::net

namespace vanillahill::kernel {
namespace {

using net::Ms;

/// A node with one server that has one slot, and a paused clock.
class StopOverdueTest : public testing::Test {
protected:
  StopOverdueTest() {
    auto Site = std::make_shared<SiteSettings>();
    ServiceSettings Service{.m_Id = idOf<ServiceId>("desk"), .m_Name = "desk"};
    Service.m_Kinds.push_back(
        {.m_Id = idOf<KindId>("desk/post"), .m_Name = "post", .m_Deadline = Ms(60000)});
    Service.m_Servers.push_back({.m_Id = idOf<ServerId>("desk/s0"), .m_Name = "s0", .m_Slots = 1});
    Site->m_Services.push_back(Service);
    m_Node = std::make_unique<Node>(
        NodeOptions{.m_Name = "e1", .m_Seed = 7, .m_Settings = std::move(Site)});
  }

  Actions send(const Event &Input) {
    Actions Out;
    m_Node->handle(Input, m_Clock.now(), Out);
    return Out;
  }

  Actions arrive(std::uint64_t Request) {
    return send(RequestArrived{.m_Request = RequestId{Request},
                               .m_Service = idOf<ServiceId>("desk"),
                               .m_Kind = idOf<KindId>("desk/post")});
  }

  template <typename T> static std::vector<T> actionsOf(const Actions &All) {
    std::vector<T> Found;
    for (const Action &Item : All) {
      if (const T *Match = std::get_if<T>(&Item)) {
        Found.push_back(*Match);
      }
    }
    return Found;
  }

  /// A request runs and another one waits, the stop is requested and its linger time is over.
  AttemptId startStop() {
    const auto Sent = actionsOf<Dispatch>(arrive(1));
    EXPECT_EQ(Sent.size(), 1U);
    EXPECT_TRUE(actionsOf<Dispatch>(arrive(2)).empty());
    send(StopRequested{});
    m_Clock.advance(Ms(1000));
    EXPECT_TRUE(actionsOf<Stopped>(send(TimerFired{})).empty());
    return Sent.at(0).m_Attempt;
  }

  PausedClock m_Clock;
  std::unique_ptr<Node> m_Node;
};

// Guards against requests that get a connection late in a stop.
TEST_F(StopOverdueTest, AttemptsThatWaitForAConnectionBeyondTheStopAreEnded) {
  const auto Ended =
      actionsOf<EndWaitingAttempts>(send(StopRequested{.m_EndsAfter = std::chrono::seconds(5)}));
  ASSERT_EQ(Ended.size(), 1U);
  EXPECT_EQ(Ended[0].m_Deadline, m_Clock.now() + std::chrono::seconds(5));
  m_Clock.advance(Ms(100));
  EXPECT_TRUE(
      actionsOf<EndWaitingAttempts>(send(StopRequested{.m_EndsAfter = std::chrono::seconds(5)}))
          .empty());
}

TEST_F(StopOverdueTest, ARequestThatWasNeverSentDidNotRunAndASentOneMayHave) {
  const AttemptId Sent = startStop();
  const Actions Overdue = send(StopOverdue{});
  ASSERT_EQ(actionsOf<CancelAttempt>(Overdue).size(), 1U);
  const auto Queued = actionsOf<Answer>(Overdue);
  ASSERT_EQ(Queued.size(), 1U);
  EXPECT_EQ(Queued[0].m_Request, RequestId{2});
  EXPECT_EQ(Queued[0].m_Outcome, Outcome::NotRun);
  EXPECT_TRUE(actionsOf<Stopped>(Overdue).empty());
  const Actions After = send(AttemptEnded{.m_Attempt = Sent, .m_Result = AttemptResult::Unknown});
  const auto Running = actionsOf<Answer>(After);
  ASSERT_EQ(Running.size(), 1U);
  EXPECT_EQ(Running[0].m_Request, RequestId{1});
  EXPECT_EQ(Running[0].m_Outcome, Outcome::Unknown);
  EXPECT_TRUE(actionsOf<Dispatch>(After).empty());
  EXPECT_EQ(actionsOf<Stopped>(After).size(), 1U);
}

TEST_F(StopOverdueTest, AnAttemptOfWhichNothingWasSentDidNotRun) {
  const AttemptId Sent = startStop();
  send(StopOverdue{});
  const auto Answers =
      actionsOf<Answer>(send(AttemptEnded{.m_Attempt = Sent, .m_Result = AttemptResult::NotSent}));
  ASSERT_EQ(Answers.size(), 1U);
  EXPECT_EQ(Answers[0].m_Outcome, Outcome::NotRun);
}

TEST_F(StopOverdueTest, AReplyThatWasCompleteIsPassedOn) {
  const AttemptId Sent = startStop();
  send(StopOverdue{});
  const auto Answers = actionsOf<Answer>(send(AttemptEnded{.m_Attempt = Sent,
                                                           .m_Result = AttemptResult::Completed,
                                                           .m_Reply = std::make_shared<Reply>()}));
  ASSERT_EQ(Answers.size(), 1U);
  EXPECT_EQ(Answers[0].m_Outcome, Outcome::Completed);
}

TEST_F(StopOverdueTest, ALateRequestIsRefusedAndNothingIsSentAnyMore) {
  const AttemptId Sent = startStop();
  send(StopOverdue{});
  const Actions Late = arrive(3);
  ASSERT_EQ(actionsOf<Answer>(Late).size(), 1U);
  EXPECT_EQ(actionsOf<Answer>(Late)[0].m_Outcome, Outcome::NotRun);
  EXPECT_TRUE(actionsOf<Dispatch>(Late).empty());
  EXPECT_TRUE(send(StopOverdue{}).empty());
  EXPECT_EQ(actionsOf<Stopped>(send(CallerGone{RequestId{1}})).size(), 0U);
  EXPECT_EQ(actionsOf<Stopped>(send(AttemptEnded{.m_Attempt = Sent})).size(), 1U);
  m_Clock.advance(Ms(60000));
  const Actions Later = send(TimerFired{});
  EXPECT_TRUE(actionsOf<Dispatch>(Later).empty());
  EXPECT_TRUE(actionsOf<Answer>(Later).empty());
  EXPECT_GT(m_Node->nextTimer(), m_Clock.now()) << "a timer that is due would fire without end";
}

} // namespace
} // namespace vanillahill::kernel
