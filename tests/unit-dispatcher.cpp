#include "vanillahill/kernel/node.hpp"

#include <gtest/gtest.h>

namespace vanillahill::kernel {
namespace {

constexpr auto Ms = [](std::int64_t Count) { return std::chrono::milliseconds(Count); };

std::shared_ptr<SiteSettings> makeSite(std::uint32_t Servers, std::uint32_t Slots) {
  auto Site = std::make_shared<SiteSettings>();
  ServiceSettings Service{.m_Id = idOf<ServiceId>("desk"), .m_Name = "desk"};
  Service.m_Kinds.push_back({.m_Id = idOf<KindId>("desk/lookup"),
                             .m_Name = "lookup",
                             .m_Deadline = Ms(1000),
                             .m_Idempotent = true});
  Service.m_Kinds.push_back({.m_Id = idOf<KindId>("desk/post"),
                             .m_Name = "post",
                             .m_Weight = 5.0,
                             .m_Deadline = Ms(1000)});
  for (std::uint32_t Index = 0; Index < Servers; ++Index) {
    const std::string Name = "s" + std::to_string(Index);
    Service.m_Servers.push_back(
        {.m_Id = idOf<ServerId>("desk/" + Name), .m_Name = Name, .m_Slots = Slots});
  }
  Site->m_Services.push_back(Service);
  return Site;
}

/// One node with a paused clock.
class DispatcherTest : public testing::Test {
protected:
  void start(std::uint32_t Servers, std::uint32_t Slots) {
    m_Node = std::make_unique<Node>(
        NodeOptions{.m_Name = "e1", .m_Seed = 7, .m_Settings = makeSite(Servers, Slots)});
  }

  Actions send(const Event &Input) {
    Actions Out;
    m_Node->handle(Input, m_Clock.now(), Out);
    return Out;
  }

  Actions arrive(std::uint64_t Request, const char *Kind) {
    return send(RequestArrived{.m_Request = RequestId{Request},
                               .m_Service = idOf<ServiceId>("desk"),
                               .m_Kind = idOf<KindId>(Kind)});
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

  PausedClock m_Clock;
  std::unique_ptr<Node> m_Node;
};

TEST_F(DispatcherTest, QueuesARequestUntilASlotIsFree) {
  start(1, 2);
  EXPECT_EQ(actionsOf<Dispatch>(arrive(1, "desk/lookup")).size(), 1U);
  const auto Second = actionsOf<Dispatch>(arrive(2, "desk/lookup"));
  ASSERT_EQ(Second.size(), 1U);
  EXPECT_TRUE(actionsOf<Dispatch>(arrive(3, "desk/lookup")).empty());
  const Actions After = send(AttemptEnded{.m_Attempt = Second[0].m_Attempt,
                                          .m_Result = AttemptResult::Completed,
                                          .m_Reply = std::make_shared<Reply>()});
  ASSERT_EQ(actionsOf<Dispatch>(After).size(), 1U);
  EXPECT_EQ(actionsOf<Dispatch>(After)[0].m_Request, RequestId{3});
}

TEST_F(DispatcherTest, ServesTheKindWithMoreWeightFirst) {
  start(1, 1);
  const auto First = actionsOf<Dispatch>(arrive(1, "desk/lookup"));
  arrive(2, "desk/lookup");
  arrive(3, "desk/post");
  m_Clock.advance(Ms(20));
  const Actions After = send(AttemptEnded{.m_Attempt = First.at(0).m_Attempt,
                                          .m_Result = AttemptResult::Completed,
                                          .m_Reply = std::make_shared<Reply>()});
  EXPECT_EQ(actionsOf<Dispatch>(After).at(0).m_Request, RequestId{3});
}

TEST_F(DispatcherTest, RetriesARequestThatDidNotRunOnAnotherServer) {
  start(2, 1);
  const auto First = actionsOf<Dispatch>(arrive(1, "desk/post"));
  const auto Second = actionsOf<Dispatch>(
      send(AttemptEnded{.m_Attempt = First.at(0).m_Attempt, .m_Result = AttemptResult::NotRun}));
  ASSERT_EQ(Second.size(), 1U);
  EXPECT_NE(Second[0].m_Server, First[0].m_Server);
  const auto Final = actionsOf<Answer>(
      send(AttemptEnded{.m_Attempt = Second[0].m_Attempt, .m_Result = AttemptResult::NotRun}));
  ASSERT_EQ(Final.size(), 1U);
  EXPECT_EQ(Final[0].m_Outcome, Outcome::NotRun);
  EXPECT_EQ(Final[0].m_Reason, Reason::AttemptsRefused);
}

TEST_F(DispatcherTest, NeverRetriesALostNonIdempotentRequest) {
  start(2, 1);
  const auto First = actionsOf<Dispatch>(arrive(1, "desk/post"));
  const Actions After =
      send(AttemptEnded{.m_Attempt = First.at(0).m_Attempt, .m_Result = AttemptResult::Unknown});
  EXPECT_TRUE(actionsOf<Dispatch>(After).empty());
  ASSERT_EQ(actionsOf<Answer>(After).size(), 1U);
  EXPECT_EQ(actionsOf<Answer>(After)[0].m_Outcome, Outcome::Unknown);
}

TEST_F(DispatcherTest, AMissedDeadlineCancelsTheAttemptAndAnswersDeadlineRunning) {
  start(1, 1);
  const auto First = actionsOf<Dispatch>(arrive(1, "desk/post"));
  m_Clock.advance(Ms(1001));
  const Actions After = send(TimerFired{});
  ASSERT_EQ(actionsOf<Answer>(After).size(), 1U);
  EXPECT_EQ(actionsOf<Answer>(After)[0].m_Reason, Reason::DeadlineRunning);
  ASSERT_EQ(actionsOf<CancelAttempt>(After).size(), 1U);
  EXPECT_EQ(actionsOf<CancelAttempt>(After)[0].m_Attempt, First.at(0).m_Attempt);
}

TEST_F(DispatcherTest, AWaitingRequestThatCannotMeetItsDeadlineIsAnsweredNotRun) {
  start(1, 1);
  arrive(1, "desk/lookup");
  arrive(2, "desk/post");
  m_Clock.advance(Ms(980));
  const auto Final = actionsOf<Answer>(send(TimerFired{}));
  ASSERT_EQ(Final.size(), 1U);
  EXPECT_EQ(Final[0].m_Request, RequestId{2});
  EXPECT_EQ(Final[0].m_Outcome, Outcome::NotRun);
  EXPECT_GT(Final[0].m_RetryAfter, Duration{});
}

TEST_F(DispatcherTest, StopsAcceptingRequestsAfterTheLingerTime) {
  start(1, 1);
  const auto First = actionsOf<Dispatch>(arrive(1, "desk/post"));
  EXPECT_TRUE(actionsOf<StopAccepting>(send(StopRequested{})).empty());
  m_Clock.advance(Ms(1000));
  const Actions AfterLinger = send(TimerFired{});
  EXPECT_EQ(actionsOf<StopAccepting>(AfterLinger).size(), 1U) << "while a request still runs";
  EXPECT_TRUE(actionsOf<Stopped>(AfterLinger).empty());
  const Actions After = send(AttemptEnded{.m_Attempt = First.at(0).m_Attempt,
                                          .m_Result = AttemptResult::Completed,
                                          .m_Reply = std::make_shared<Reply>()});
  EXPECT_TRUE(actionsOf<StopAccepting>(After).empty());
  EXPECT_EQ(actionsOf<Stopped>(After).size(), 1U);
}

TEST_F(DispatcherTest, StopsAfterTheLingerTimeWhenNothingIsInFlight) {
  start(1, 1);
  const auto First = actionsOf<Dispatch>(arrive(1, "desk/post"));
  send(StopRequested{});
  m_Clock.advance(Ms(950));
  EXPECT_TRUE(actionsOf<Stopped>(send(TimerFired{})).empty());
  const Actions After = send(AttemptEnded{.m_Attempt = First.at(0).m_Attempt,
                                          .m_Result = AttemptResult::Completed,
                                          .m_Reply = std::make_shared<Reply>()});
  EXPECT_EQ(actionsOf<Answer>(After).size(), 1U);
  EXPECT_TRUE(actionsOf<Stopped>(After).empty());
  m_Clock.advance(Ms(50));
  EXPECT_EQ(actionsOf<Stopped>(send(TimerFired{})).size(), 1U);
}

} // namespace
} // namespace vanillahill::kernel
