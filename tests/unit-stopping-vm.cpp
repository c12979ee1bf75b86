#include "probed_harness.hpp"

#include <gtest/gtest.h>

namespace vanillahill::kernel::probed {
namespace {

/// A VM that is told to stop. Requests have 800 ms and usually take 100 ms.
class StoppingVm : public testing::Test {
protected:
  explicit StoppingVm(std::size_t Vms = 1) : m_Service(4, {}, Vms) {}

  /// Lets the VM learn how long requests take.
  void learn(Duration Work = milliseconds(100), int Requests = 1) {
    setWork(Work);
    for (int Request = 0; Request < Requests; ++Request) {
      for (const KindId Kind : {DispatcherHarness::Look, DispatcherHarness::Post}) {
        m_Service.arrive(Kind);
        m_Service.advance(seconds(1));
      }
    }
  }

  void setWork(Duration Work) {
    for (std::size_t Server = 0; Server < 4; ++Server) {
      m_Service.server(Server).m_Work = Work;
    }
  }

  void expectRefusedUnsent(KindId Kind) {
    const std::size_t Sent = requestsSent();
    const RequestId Request = m_Service.arrive(Kind);
    ASSERT_TRUE(m_Service.isAnswered(Request)) << "known to be unservable: refused at once";
    EXPECT_EQ(m_Service.answerOf(Request).m_Reason, Reason::NotServing);
    EXPECT_EQ(m_Service.answerOf(Request).m_Outcome, Outcome::NotRun);
    m_Service.advance(seconds(2));
    EXPECT_EQ(requestsSent(), Sent);
  }

  Outcome outcomeOf(KindId Kind) {
    const RequestId Request = m_Service.arrive(Kind);
    m_Service.advance(seconds(1));
    return m_Service.answerOf(Request).m_Outcome;
  }

  std::size_t requestsSent() const {
    return static_cast<std::size_t>(
        std::count_if(m_Service.sent().begin(), m_Service.sent().end(),
                      [](const Sent &Each) { return Each.m_Request.has_value(); }));
  }

  /// The server to which a request was sent last.
  ServerId lastServer() const {
    const auto Last = std::find_if(m_Service.sent().rbegin(), m_Service.sent().rend(),
                                   [](const Sent &Each) { return Each.m_Request.has_value(); });
    return Last->m_Server;
  }

  DispatcherHarness m_Service;
};

// Guards against requests that are passed on late in a stop and then cut off.
TEST_F(StoppingVm, RefusesAtOnceWhatItCannotFinish) {
  learn();
  m_Service.stop(0, milliseconds(500));
  m_Service.advance(milliseconds(350));
  expectRefusedUnsent(DispatcherHarness::Post);
}

TEST_F(StoppingVm, RefusesIdempotentRequestsAsWell) {
  learn();
  m_Service.stop(0, milliseconds(150));
  expectRefusedUnsent(DispatcherHarness::Look);
}

TEST_F(StoppingVm, ServesWhatItCanFinish) {
  learn();
  m_Service.stop(0, milliseconds(500));
  m_Service.advance(milliseconds(250));
  EXPECT_EQ(outcomeOf(DispatcherHarness::Post), Outcome::Completed);
}

TEST_F(StoppingVm, NeedsLittleMarginWhereAllRequestsTakeTheSameTime) {
  learn(milliseconds(100), 40);
  m_Service.stop(0, milliseconds(125));
  EXPECT_EQ(outcomeOf(DispatcherHarness::Post), Outcome::Completed);
}

TEST_F(StoppingVm, NeedsMoreMarginWhereSomeRequestsTakeLonger) {
  for (int Round = 0; Round < 40; ++Round) {
    learn(milliseconds(Round % 4 == 0 ? 250 : 50));
  }
  // Twice the usual time of 100 ms is left.
  m_Service.stop(0, milliseconds(200));
  expectRefusedUnsent(DispatcherHarness::Post);
}

TEST_F(StoppingVm, ServesWhatHasItsAnswerByItsOwnDeadline) {
  learn(milliseconds(600));
  m_Service.stop(0, milliseconds(900));
  EXPECT_EQ(outcomeOf(DispatcherHarness::Post), Outcome::Completed);
}

TEST_F(StoppingVm, TakesTheTargetWhereTheWorkIsNotKnownYet) {
  // The target is 300 ms.
  m_Service.stop(0, milliseconds(700));
  EXPECT_EQ(outcomeOf(DispatcherHarness::Post), Outcome::Completed);
}

TEST_F(StoppingVm, RefusesWhereTheWorkIsNotKnownAndTheTargetIsTooLong) {
  m_Service.stop(0, milliseconds(500));
  expectRefusedUnsent(DispatcherHarness::Post);
}

TEST_F(StoppingVm, RefusesWhereNothingTellsTheWork) {
  m_Service.settings().m_Kinds = {
      {.m_Id = DispatcherHarness::Post, .m_Name = "post", .m_Deadline = milliseconds(800)}};
  m_Service.configure();
  m_Service.stop(0, milliseconds(700));
  expectRefusedUnsent(DispatcherHarness::Post);
}

TEST_F(StoppingVm, RefusesWhatItsBestServerCannotFinish) {
  learn();
  for (std::size_t Server = 0; Server < 4; ++Server) {
    m_Service.server(Server).m_Slowdown = 4.0;
  }
  m_Service.stop(0, milliseconds(600));
  const std::size_t Sent = requestsSent();
  const RequestId Request = m_Service.arrive(DispatcherHarness::Post);
  m_Service.advance(milliseconds(30));
  ASSERT_TRUE(m_Service.isAnswered(Request));
  EXPECT_EQ(m_Service.answerOf(Request).m_Reason, Reason::NotServing);
  EXPECT_EQ(m_Service.answerOf(Request).m_Outcome, Outcome::NotRun);
  EXPECT_EQ(requestsSent(), Sent);
}

TEST_F(StoppingVm, DoesNotRepeatALostRequestLate) {
  learn();
  m_Service.stop(0, milliseconds(260));
  const std::size_t Sent = requestsSent();
  const RequestId Request = m_Service.arrive(DispatcherHarness::Look);
  m_Service.advance(milliseconds(90));
  ASSERT_EQ(requestsSent(), Sent + 1);
  m_Service.crash(lastServer());
  m_Service.advance(seconds(1));
  EXPECT_EQ(requestsSent(), Sent + 1);
  EXPECT_EQ(m_Service.answerOf(Request).m_Outcome, Outcome::Unknown);
}

TEST_F(StoppingVm, DoesNotSendASecondCopyLate) {
  learn();
  m_Service.stop(0, milliseconds(210));
  setWork(milliseconds(700));
  const std::size_t Sent = requestsSent();
  m_Service.arrive(DispatcherHarness::Look);
  m_Service.advance(milliseconds(600));
  EXPECT_EQ(requestsSent(), Sent + 1);
}

class StoppingVmOfTwo : public StoppingVm {
protected:
  StoppingVmOfTwo() : StoppingVm(2) {}
};

TEST_F(StoppingVmOfTwo, DoesNotPassARequestOnToAnotherVmLate) {
  learn();
  m_Service.cutOff(0, Cut::Refuses);
  for (int Request = 0; Request < 20; ++Request) {
    m_Service.arrive(DispatcherHarness::Post);
    m_Service.advance(milliseconds(50));
  }
  const std::size_t Relayed = m_Service.relayed();
  ASSERT_GT(Relayed, 0U);
  m_Service.stop(0, milliseconds(150));
  expectRefusedUnsent(DispatcherHarness::Post);
  EXPECT_EQ(m_Service.relayed(), Relayed);
}

} // namespace
} // namespace vanillahill::kernel::probed
