#include "probed_harness.hpp"

#include <rapidcheck/gtest.h>

namespace vanillahill::kernel::probed {
namespace {

constexpr Duration DrainBound = seconds(2);

/// Requests that were sent to a server, without probes.
std::size_t requestsTo(const DispatcherHarness &Service, std::size_t Index) {
  return static_cast<std::size_t>(
      std::count_if(Service.sent().begin(), Service.sent().end(), [Index](const Sent &Each) {
        return Each.m_Server == DispatcherHarness::serverId(Index) && Each.m_Request;
      }));
}

/// A service whose servers all say that they are leaving, and whose first reply was just passed on.
void sayLeaving(DispatcherHarness &Service, std::size_t Servers) {
  for (std::size_t Index = 0; Index < Servers; ++Index) {
    Service.server(Index).m_SaysLeaving = true;
  }
  Service.server(0).m_Work = milliseconds(1);
  Service.arrive(DispatcherHarness::Look);
  Service.advance(milliseconds(3));
}

TEST(Fitness, ALeavingServerGetsNoRequestThatArrivesAfterTheDrainBound) {
  DispatcherHarness Service(1);
  sayLeaving(Service, 1);
  ASSERT_EQ(requestsTo(Service, 0), 1U);
  Service.advance(DrainBound - milliseconds(10));
  const RequestId InTime = Service.arrive(DispatcherHarness::Post);
  Service.advance(milliseconds(20));
  EXPECT_EQ(Service.attemptsOf(InTime), 1U) << "the only server still serves";
  const std::size_t SentBefore = Service.sent().size();
  const RequestId Late = Service.arrive(DispatcherHarness::Look);
  ASSERT_TRUE(Service.isAnswered(Late)) << "refused at once";
  EXPECT_EQ(Service.answerOf(Late).m_Reason, Reason::NoServer);
  Service.advance(seconds(5));
  EXPECT_EQ(Service.sent().size(), SentBefore) << "nor a probe";
}

TEST(Fitness, ALeavingServerGetsNothingMoreWhileThereIsAnotherOne) {
  DispatcherHarness Service(2);
  Service.delist(1);
  sayLeaving(Service, 1);
  const std::size_t SentBefore = requestsTo(Service, 0);
  Service.list({.m_Id = DispatcherHarness::serverId(1), .m_Name = "s1", .m_DataCenter = "dc"});
  Service.server(1).m_Work = milliseconds(5);
  for (int Request = 0; Request < 40; ++Request) {
    Service.arrive(Request % 2 == 0 ? DispatcherHarness::Look : DispatcherHarness::Post);
    Service.advance(milliseconds(20));
  }
  EXPECT_EQ(requestsTo(Service, 0), SentBefore);
  EXPECT_EQ(requestsTo(Service, 1), 40U);
}

TEST(Fitness, ALeavingServerGetsNoRetryAndNoHedge) {
  DispatcherHarness Service(3);
  Service.delist(1);
  Service.delist(2);
  sayLeaving(Service, 1);
  const std::size_t SentBefore = requestsTo(Service, 0);
  Service.list({.m_Id = DispatcherHarness::serverId(1), .m_Name = "s1", .m_DataCenter = "dc"});
  Service.list({.m_Id = DispatcherHarness::serverId(2), .m_Name = "s2", .m_DataCenter = "dc"});
  Service.server(1).m_Result = AttemptResult::NotRun;
  Service.server(1).m_Work = milliseconds(1);
  // Slow enough to be hedged.
  Service.server(2).m_Work = milliseconds(300);
  for (int Request = 0; Request < 60; ++Request) {
    Service.arrive(DispatcherHarness::Look);
    Service.advance(milliseconds(30));
  }
  EXPECT_GT(requestsTo(Service, 1), 0U);
  EXPECT_EQ(requestsTo(Service, 0), SentBefore);
}

TEST(Fitness, ASearchingRequestChoosesAgainWhenItsServerSaysThatItIsLeaving) {
  DispatcherHarness Service(2);
  Service.server(0).m_SaysLeaving = true;
  Service.server(1).m_SaysLeaving = false;
  for (int Request = 0; Request < 10; ++Request) {
    Service.arrive(DispatcherHarness::Look);
  }
  // The replies to the probes arrive during the searches.
  Service.advance(milliseconds(50));
  EXPECT_EQ(requestsTo(Service, 0), 0U);
  EXPECT_GT(requestsTo(Service, 1), 0U);
}

TEST(Fitness, ALeavingServerIsStillLeavingAfterItsRecordLapsedAndCameBack) {
  DispatcherHarness Service(1);
  sayLeaving(Service, 1);
  Service.server(0).m_SaysLeaving = false;
  Service.configure();
  const ServerSettings Lapsed = Service.delist(0);
  Service.advance(DrainBound);
  Service.list(Lapsed);
  const RequestId Late = Service.arrive(DispatcherHarness::Look);
  Service.advance(seconds(1));
  EXPECT_EQ(Service.attemptsOf(Late), 0U);
}

TEST(Fitness, AReplyThatArrivesWhileTheServerIsNotListedIsRemembered) {
  DispatcherHarness Service(1);
  Service.server(0).m_SaysLeaving = true;
  Service.server(0).m_AnswersProbes = false;
  Service.arrive(DispatcherHarness::Post);
  Service.advance(milliseconds(30));
  ASSERT_EQ(requestsTo(Service, 0), 1U);
  const ServerSettings Lapsed = Service.delist(0);
  Service.advance(milliseconds(300) + DrainBound);
  Service.list(Lapsed);
  const RequestId Late = Service.arrive(DispatcherHarness::Look);
  Service.advance(seconds(1));
  EXPECT_EQ(Service.attemptsOf(Late), 0U);
}

TEST(Fitness, ANewIncarnationOfALeavingServerIsUsed) {
  DispatcherHarness Service(1);
  sayLeaving(Service, 1);
  Service.delist(0);
  Service.startServer(1);
  const RequestId Request = Service.arrive(DispatcherHarness::Look);
  Service.advance(milliseconds(200));
  EXPECT_EQ(Service.answerOf(Request).m_Outcome, Outcome::Completed);
  EXPECT_EQ(requestsTo(Service, 1), 1U);
}

TEST(Fitness, OneLineTellsThatAServerIsLeaving) {
  DispatcherHarness Service(1);
  sayLeaving(Service, 1);
  Service.arrive(DispatcherHarness::Look);
  Service.advance(milliseconds(200));
  const auto Lines = Service.decisions(DecisionType::ServerSaidLeaving);
  ASSERT_EQ(Lines.size(), 1U);
  EXPECT_EQ(Lines[0].m_Server, "s0");
  EXPECT_EQ(Lines[0].m_Outcome, "probe");
  EXPECT_EQ(Lines[0].m_Took, milliseconds(2));
  EXPECT_TRUE(Service.status().m_Servers[0].m_Leaving);
  EXPECT_TRUE(Service.status().m_Servers[0].m_SaidLeaving);
}

TEST(Fitness, StatementsOfUnlistedServersStayBounded) {
  UnlistedFitness Unlisted;
  TimePoint Now{};
  for (std::uint32_t Server = 0; Server < 2 * UnlistedFitness::MaxServers; ++Server) {
    Now += seconds(1);
    Unlisted.at(ServerId{Server}).recordLeaving(Now);
  }
  EXPECT_EQ(Unlisted.size(), UnlistedFitness::MaxServers);
  EXPECT_TRUE(Unlisted.take(ServerId{0}).isEmpty()) << "the oldest was forgotten";
  EXPECT_TRUE(Unlisted.take(ServerId{2 * UnlistedFitness::MaxServers - 1}).isLeaving());
}

/// Sends one request to the first server, which refuses it and asks for a pause.
void askForPause(DispatcherHarness &Service, Duration Length) {
  FakeServer &Server = Service.server(0);
  Server.m_Result = AttemptResult::NotRun;
  Server.m_PauseFor = Length;
  Server.m_Work = milliseconds(1);
  while (Service.askedPauses().empty()) {
    Service.arrive(DispatcherHarness::Look);
    Service.advance(milliseconds(4));
  }
  Server.m_Result = AttemptResult::Completed;
}

/// Requests and probes that were sent to the first server after a time and before another one.
std::size_t sentBetween(const DispatcherHarness &Service, TimePoint After, TimePoint Before) {
  return static_cast<std::size_t>(std::count_if(
      Service.sent().begin(), Service.sent().end(), [After, Before](const Sent &Each) {
        return Each.m_Server == DispatcherHarness::serverId(0) && Each.m_At > After &&
               Each.m_At < Before;
      }));
}

TEST(Fitness, APausedServerGetsNothingUntilThePauseEnds) {
  for (const std::size_t Servers : {1U, 3U}) {
    DispatcherHarness Service(Servers);
    askForPause(Service, seconds(3));
    const TimePoint Asked = Service.askedPauses()[0].m_At;
    for (int Request = 0; Request < 400; ++Request) {
      Service.arrive(Request % 2 == 0 ? DispatcherHarness::Look : DispatcherHarness::Post);
      Service.advance(milliseconds(20));
    }
    EXPECT_EQ(sentBetween(Service, Asked, Asked + seconds(3)), 0U) << Servers;
    EXPECT_GT(sentBetween(Service, Asked + seconds(3), TimePoint::max()), 20U) << Servers;
  }
}

TEST(Fitness, AnUnhealthyReplyToAProbeMayAskForAPause) {
  DispatcherHarness Service(1);
  Service.server(0).m_ProbePauseFor = seconds(2);
  const RequestId Request = Service.arrive(DispatcherHarness::Look);
  Service.advance(milliseconds(30));
  EXPECT_EQ(Service.answerOf(Request).m_Reason, Reason::ServersPaused);
  Service.arrive(DispatcherHarness::Look);
  Service.advance(seconds(1));
  EXPECT_EQ(Service.sent().size(), 1U);
}

TEST(Fitness, CallersOfPausedServersAreRefusedAtOnceAndReturnSpread) {
  DispatcherHarness Service(2);
  for (const std::size_t Index : {0U, 1U}) {
    Service.server(Index).m_Result = AttemptResult::NotRun;
    Service.server(Index).m_Work = milliseconds(1);
    Service.server(Index).m_PauseFor = seconds(4 + 2 * Index);
  }
  for (int Request = 0; Request < 10; ++Request) {
    Service.arrive(DispatcherHarness::Look);
    Service.advance(milliseconds(20));
  }
  ASSERT_GE(Service.askedPauses().size(), 2U);
  const TimePoint FirstEnd =
      std::find_if(Service.askedPauses().begin(), Service.askedPauses().end(),
                   [](const AskedPause &Each) { return Each.m_Length == seconds(4); })
          ->m_At +
      seconds(4);
  std::array<int, 10> Returns{};
  constexpr int Requests = 500;
  for (int Index = 0; Index < Requests; ++Index) {
    const RequestId Request = Service.arrive(DispatcherHarness::Post);
    ASSERT_TRUE(Service.isAnswered(Request)) << "refused at once";
    const kernel::Answer &Answer = Service.answerOf(Request);
    ASSERT_EQ(Answer.m_Reason, Reason::ServersPaused);
    ASSERT_EQ(Answer.m_Outcome, Outcome::NotRun);
    const Duration AfterEnd = Service.now() + Answer.m_RetryAfter - FirstEnd;
    ASSERT_GE(AfterEnd, Duration::zero()) << "not before the earliest end";
    ASSERT_LE(AfterEnd, PauseRecoveryTime);
    ++Returns.at(static_cast<std::size_t>(std::min<std::int64_t>(toMillis(AfterEnd) / 100, 9)));
  }
  EXPECT_LT(*std::max_element(Returns.begin(), Returns.end()), Requests / 5)
      << "within one tenth of a second";
}

TEST(Fitness, TheFirstServerThatReturnsFromAPauseIsNotRushed) {
  DispatcherHarness Service(1);
  Service.server(0).m_ReportsLoad = false;
  askForPause(Service, seconds(2));
  Service.server(0).m_Work = milliseconds(100);
  const TimePoint End = Service.askedPauses()[0].m_At + seconds(2);
  Service.advance(End - Service.now());
  const std::size_t SentBefore = requestsTo(Service, 0);
  for (int Request = 0; Request < 50; ++Request) {
    Service.arrive(DispatcherHarness::Look);
    Service.advance(milliseconds(1));
  }
  EXPECT_EQ(requestsTo(Service, 0) - SentBefore, 1U);
  std::uint32_t MostRunning = 0;
  while (Service.now() < End + PauseRecoveryTime) {
    Service.arrive(DispatcherHarness::Look);
    Service.advance(milliseconds(5));
    MostRunning = std::max(MostRunning, Service.server(0).m_Running);
  }
  EXPECT_LE(MostRunning, 4U);
  EXPECT_GE(MostRunning, 3U) << "more and more are sent";
}

TEST(Fitness, AShorterPauseDoesNotEndALongerOne) {
  Fitness Stated;
  const TimePoint Begin = TimePoint{} + seconds(100);
  EXPECT_TRUE(Stated.recordPause(seconds(10), Begin));
  EXPECT_FALSE(Stated.recordPause(seconds(1), Begin + seconds(1)));
  EXPECT_TRUE(Stated.isPaused(Begin + seconds(9)));
  EXPECT_FALSE(Stated.recordPause(seconds(5), Begin + seconds(9)));
  EXPECT_TRUE(Stated.isPaused(Begin + seconds(13)));
  EXPECT_FALSE(Stated.isPaused(Begin + seconds(14)));
  EXPECT_EQ(Stated.pauses(), 1U);
}

TEST(Fitness, APauseOutlivesChangesOfTheSettingsButNotTheIncarnation) {
  DispatcherHarness Service(1);
  askForPause(Service, seconds(5));
  Service.configure();
  Service.list(Service.delist(0));
  const std::size_t SentBefore = Service.sent().size();
  Service.arrive(DispatcherHarness::Look);
  Service.advance(milliseconds(100));
  EXPECT_EQ(Service.sent().size(), SentBefore);
  Service.delist(0);
  Service.startServer(1);
  const RequestId Request = Service.arrive(DispatcherHarness::Look);
  Service.advance(milliseconds(200));
  EXPECT_EQ(Service.answerOf(Request).m_Outcome, Outcome::Completed);
}

TEST(Fitness, OneLineTellsOfEachBeginAndEndOfAPause) {
  DispatcherHarness Service(1);
  askForPause(Service, seconds(2));
  EXPECT_EQ(Service.status().m_Servers[0].m_Pauses, 1U);
  EXPECT_GT(Service.status().m_Servers[0].m_PauseLeft, seconds(1));
  for (int Request = 0; Request < 400; ++Request) {
    Service.arrive(DispatcherHarness::Look);
    Service.advance(milliseconds(10));
  }
  const auto Begins = Service.decisions(DecisionType::ServerPaused);
  ASSERT_EQ(Begins.size(), 1U);
  EXPECT_EQ(Begins[0].m_Expected, seconds(2));
  EXPECT_EQ(Begins[0].m_Outcome, "request");
  const auto Ends = Service.decisions(DecisionType::ServerPauseEnded);
  ASSERT_EQ(Ends.size(), 1U);
  EXPECT_GE(Ends[0].m_Took, seconds(2));
  EXPECT_EQ(Service.status().m_Servers[0].m_PauseLeft, Duration::zero());
}

/// Changes one server, or the settings, at random.
void changeAtRandom(DispatcherHarness &Service, std::vector<ServerSettings> &Delisted,
                    std::size_t &NextServer) {
  const auto Index = *rc::gen::inRange<std::size_t>(0, NextServer);
  FakeServer &Server = Service.server(Index);
  switch (*rc::gen::inRange(0, 10)) {
  case 0:
    Server.m_SaysLeaving = !Server.m_SaysLeaving;
    return;
  case 1:
    Server.m_Result = *rc::gen::element(AttemptResult::Completed, AttemptResult::NotRun,
                                        AttemptResult::NotSent, AttemptResult::Unknown);
    return;
  case 2:
    Server.m_AnswersProbes = !Server.m_AnswersProbes;
    return;
  case 3:
    Server.m_Work = milliseconds(*rc::gen::inRange(1, 400));
    return;
  case 4:
    if (!Service.m_Settings.m_Servers.empty()) {
      const auto At = *rc::gen::inRange<std::size_t>(0, Service.m_Settings.m_Servers.size());
      Delisted.push_back(Service.delist(raw(Service.m_Settings.m_Servers[At].m_Id) - 1));
    }
    return;
  case 5:
    if (!Delisted.empty()) {
      Service.list(Delisted.back());
      Delisted.pop_back();
    }
    return;
  case 6:
    if (NextServer < 12) {
      Service.startServer(NextServer++);
    }
    return;
  case 7:
    Server.m_PauseFor = milliseconds(*rc::gen::element(0, 1, 600, 2000, 9000));
    return;
  case 8:
    Server.m_ProbePauseFor = milliseconds(*rc::gen::element(0, 0, 700, 2500));
    return;
  default:
    Service.configure();
  }
}

RC_GTEST_PROP(FitnessProperty, NoRequestReachesAServerBeyondItsStatements, ()) {
  DispatcherHarness Service(4);
  std::size_t NextServer = 4;
  std::vector<ServerSettings> Delisted;
  const int Steps = *rc::gen::inRange(20, 150);
  for (int Step = 0; Step < Steps; ++Step) {
    if (*rc::gen::inRange(0, 4) == 0) {
      changeAtRandom(Service, Delisted, NextServer);
    } else {
      Service.arrive(*rc::gen::element(DispatcherHarness::Look, DispatcherHarness::Post));
    }
    Service.advance(milliseconds(*rc::gen::element(0, 1, 5, 40, 300, 1500)));
  }
  Service.advance(seconds(3));
  RC_ASSERT(Service.unfinished() == 0U);
  for (const Sent &Each : Service.sent()) {
    const auto Said = Service.saidLeavingAt(Each.m_Server);
    if (Said && Each.m_Request) {
      RC_ASSERT(Service.arrivedAt(*Each.m_Request) <= *Said + DrainBound);
    }
    for (const AskedPause &Pause : Service.askedPauses()) {
      RC_ASSERT(Pause.m_Server != Each.m_Server || Each.m_At <= Pause.m_At ||
                Each.m_At >= Pause.m_At + Pause.m_Length);
    }
  }
}

} // namespace
} // namespace vanillahill::kernel::probed
