#include "event_inbox.hpp"
#include "net_fakes.hpp"

#include "vanillahill/net/detail/caller_server.hpp"

#include <gtest/gtest.h>

#include <random>

namespace vanillahill::net::fakes {
namespace {

using kernel::CallerGone;
using kernel::RequestArrived;

constexpr std::string_view LookRequest = "GET /desk/look/1 HTTP/1.1\r\nHost: vh\r\n\r\n";

/// Runs a caller server; the test takes the place of the kernel and answers its events.
class CallerTest : public testing::Test {
protected:
  CallerTest() {
    m_Site = deskSettings({});
    m_Server->applySettings(m_Site);
    m_Server->start();
  }

  ~CallerTest() override {
    m_Server->close();
    m_Io.stop();
  }

  void applyLimits(const CallerLimits &Limits) {
    m_Site.m_Callers = Limits;
    m_Server->applySettings(m_Site);
  }

  Client client() { return Client(m_Server->port()); }

  RequestArrived nextRequest() { return m_Inbox.next<RequestArrived>(); }

  void complete(RequestId Id, std::string Body) {
    auto CompleteReply = std::make_shared<Reply>(Reply{.m_ContentType = "text/plain"});
    CompleteReply->m_Body = std::move(Body);
    kernel::Answer Answer{.m_Request = Id,
                          .m_Outcome = kernel::Outcome::Completed,
                          .m_Reply = std::move(CompleteReply)};
    m_Server->answer(Answer);
  }

  std::string faultCount(std::string_view Reason) {
    const auto Text = m_Metrics.text({}, {});
    const auto Name = "vanillahill_caller_faults_total{reason=\"" + std::string(Reason) + "\"} ";
    const auto At = Text.find(Name);
    return At == std::string::npos ? "none" : Text.substr(At + Name.size(), 1);
  }

  void handleEvent(const kernel::Event &Input) {
    const auto *Request = std::get_if<RequestArrived>(&Input);
    if (m_AnswerAtOnce && Request != nullptr) {
      complete(Request->m_Request, "at once");
    } else {
      m_Inbox.sink()(Input);
    }
  }

  std::atomic<bool> m_AnswerAtOnce = false;
  SiteSettings m_Site;
  observe::Metrics m_Metrics;
  EventInbox m_Inbox;
  IoThread m_Io;
  std::shared_ptr<CallerServer> m_Server = std::make_shared<CallerServer>(
      m_Io.io(), listenOn(m_Io.io(), "127.0.0.1:0").value(),
      [this](const kernel::Event &Input) { handleEvent(Input); }, m_Metrics);
};

struct RefusedMessage {
  std::string m_Text;
  unsigned m_Status;
  std::string_view m_Reason;
};

const RefusedMessage RefusedMessages[] = {
    {"POST /desk/post HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
     400, "two_lengths"},
    {"POST /desk/post HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: "
     "chunked\r\n\r\n0\r\n\r\n",
     400, "length_with_chunked"},
    {"POST /desk/post HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: identity\r\n\r\n", 400,
     "transfer_encoding"},
    {"GET /desk/look HTTP/1.1\nHost: x\n\n", 400, "bare_line_end"},
    {"GET /desk/look HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n", 400, "folded_header"},
    {"GET /desk/look HTTP/1.1\r\n\r\n", 400, "host"},
    {"GET /desk/look\r\nHost: x\r\n\r\n", 400, "malformed"},
    {"POST /desk/post HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400,
     "malformed"},
    {"GET /desk/look HTTP/1.1\r\nHost: x\r\nA: " + std::string(9000, 'a'), 431, "header_too_long"},
    {"POST /desk/post HTTP/1.1\r\nHost: x\r\nContent-Length: 1048577\r\n\r\n", 413,
     "body_too_long"},
};

TEST_F(CallerTest, RefusesBadMessageWithReasonAndCounterAndClosesConnection) {
  for (const auto &Case : RefusedMessages) {
    SCOPED_TRACE(Case.m_Reason);
    const auto Before = faultCount(Case.m_Reason);
    auto Caller = client();
    const auto Answer = Caller.ask(Case.m_Text);
    EXPECT_EQ(Answer.result_int(), Case.m_Status);
    EXPECT_EQ(Answer["VH-Reason"], Case.m_Reason);
    EXPECT_EQ(Answer["VH-Outcome"], "not-run");
    EXPECT_FALSE(Answer.keep_alive());
    Caller.awaitEnd();
    EXPECT_NE(faultCount(Case.m_Reason), Before);
  }
  EXPECT_EQ(m_Inbox.size(), 0U);
}

TEST_F(CallerTest, KeepsConnectionOpenAfterRefusingInvalidRequest) {
  const RefusedMessage Cases[] = {
      {"PUT /desk/post HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\nx", 405, "method"},
      {"GET /desk HTTP/1.1\r\nHost: x\r\n\r\n", 404, "unknown_kind"},
      {"GET /desk/look HTTP/1.1\r\nHost: x\r\nIdempotency-Key: a b\r\n\r\n", 400, "bad_key"},
      {"GET /desk/look HTTP/1.1\r\nHost: x\r\nIdempotency-Age-Ms: -1\r\n\r\n", 400, "bad_key"},
      {"GET /desk/look HTTP/1.1\r\nHost: x\r\nIdempotency-First: yes\r\n\r\n", 400, "bad_key"},
  };
  auto Caller = client();
  for (const auto &Case : Cases) {
    const auto Answer = Caller.ask(Case.m_Text);
    EXPECT_EQ(Answer.result_int(), Case.m_Status);
    EXPECT_EQ(Answer["VH-Reason"], Case.m_Reason);
  }
}

TEST_F(CallerTest, SubmitsKindKeyAndKeyAgeToKernel) {
  auto Caller = client();
  Caller.send("POST /desk/post/9?x=1 HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k1\r\n"
              "Idempotency-First: true\r\nIdempotency-Age-Ms: 250\r\nContent-Length: 0\r\n\r\n");
  const auto Request = nextRequest();
  EXPECT_EQ(Request.m_Kind, idOf<KindId>("desk/post"));
  EXPECT_EQ(Request.m_Service, idOf<ServiceId>("desk"));
  EXPECT_EQ(Request.m_Key, "k1");
  EXPECT_TRUE(Request.m_KeyAge.m_First);
  EXPECT_EQ(Request.m_KeyAge.m_Age, std::chrono::milliseconds(250));
}

TEST_F(CallerTest, ForwardsEndToEndHeadersAndCompleteChunkedBody) {
  auto Caller = client();
  Caller.send("POST /desk/post HTTP/1.1\r\nHost: x\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
              "VH-Exchange: 5\r\nVH-Request: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "3\r\nabc\r\n");
  Caller.send("2\r\nde\r\n0\r\n\r\n");
  const auto Passed = m_Server->findRequest(nextRequest().m_Request);
  ASSERT_TRUE(Passed);
  EXPECT_EQ(Passed->m_Message.body(), "abcde");
  EXPECT_EQ(Passed->m_Message["Content-Length"], "5");
  EXPECT_EQ(Passed->m_Message["VH-Request"], "r1");
  EXPECT_EQ(Passed->m_Message.count("X-Hop"), 0U);
  EXPECT_EQ(Passed->m_Message.count("VH-Exchange"), 0U);
  EXPECT_EQ(Passed->m_Message.count("Transfer-Encoding"), 0U);
}

TEST_F(CallerTest, AnswersPipelinedRequestsInOrder) {
  auto Caller = client();
  Caller.send(std::string(LookRequest) + std::string(LookRequest));
  complete(nextRequest().m_Request, "one");
  EXPECT_EQ(Caller.receive().body(), "one");
  complete(nextRequest().m_Request, "two");
  EXPECT_EQ(Caller.receive().body(), "two");
}

TEST_F(CallerTest, Sends100ContinueWhenRequestExpectsIt) {
  auto Caller = client();
  Caller.send("POST /desk/post HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n"
              "Content-Length: 2\r\n\r\n");
  EXPECT_EQ(Caller.receive().result_int(), 100U);
  Caller.send("ok");
  complete(nextRequest().m_Request, "done");
  EXPECT_EQ(Caller.receive().body(), "done");
}

// Guards against a completed request that cannot be told from others of its path and length.
TEST_F(CallerTest, ACompletedRequestCanStillBeLookedUpARefusedOneCannot) {
  auto Caller = client();
  Caller.send(LookRequest);
  const auto Completed = nextRequest().m_Request;
  EXPECT_EQ(m_Server->findCompleted(Completed), nullptr);
  complete(Completed, "done");
  Caller.receive();
  ASSERT_NE(m_Server->findCompleted(Completed), nullptr);
  EXPECT_EQ(m_Server->findCompleted(Completed)->m_Message.target(), "/desk/look/1");

  Caller.send(LookRequest);
  const auto Refused = nextRequest().m_Request;
  kernel::Answer Refusal{.m_Request = Refused, .m_Outcome = kernel::Outcome::NotRun};
  m_Server->answer(Refusal);
  Caller.receive();
  EXPECT_EQ(m_Server->findCompleted(Refused), nullptr);
}

TEST_F(CallerTest, ReportsCallerGoneWhenCallerDisconnectsBeforeAnswer) {
  RequestId Id{};
  {
    auto Caller = client();
    Caller.send(LookRequest);
    Id = nextRequest().m_Request;
  }
  EXPECT_EQ(m_Inbox.next<CallerGone>().m_Request, Id);
  EXPECT_FALSE(m_Server->findRequest(Id));
  complete(Id, "nobody reads this");
}

TEST_F(CallerTest, RefusesIncompleteRequestAfterTimeout) {
  applyLimits({.m_Timeout = std::chrono::milliseconds(30)});
  auto Caller = client();
  const auto Answer = Caller.ask("GET /desk/look HTTP/1.1\r\nHost:");
  EXPECT_EQ(Answer.result_int(), 408U);
  Caller.awaitEnd();
  EXPECT_EQ(faultCount("slow_request"), "1");
}

TEST_F(CallerTest, ClosesIdleConnectionAfterTimeout) {
  applyLimits({.m_Timeout = std::chrono::milliseconds(10)});
  client().awaitEnd();
}

TEST_F(CallerTest, ClosesConnectionWhenCallerDoesNotReadAnswer) {
  applyLimits({.m_Timeout = std::chrono::milliseconds(50)});
  auto Caller = client();
  Caller.send(LookRequest);
  constexpr std::size_t BytesBeyondSocketBuffers = 64U << 20U;
  complete(nextRequest().m_Request, std::string(BytesBeyondSocketBuffers, 'x'));
  while (faultCount("slow_answer") != "1") {
    std::this_thread::yield();
  }
  EXPECT_ANY_THROW(Caller.receive());
}

TEST_F(CallerTest, RefusesMoreConnectionsThanAllowed) {
  applyLimits({.m_Connections = 1});
  auto First = client();
  First.send(LookRequest);
  const auto Id = nextRequest().m_Request;
  auto Second = client();
  const auto Answer = Second.receive();
  EXPECT_EQ(Answer.result_int(), 503U);
  EXPECT_EQ(Answer["VH-Reason"], "too_many_connections");
  EXPECT_EQ(Answer["Retry-After"], "1");
  complete(Id, "served");
  EXPECT_EQ(First.receive().body(), "served");
}

TEST_F(CallerTest, AnswerStatesOutcomeReasonAndRetryAfter) {
  struct Case {
    kernel::Outcome m_Outcome;
    kernel::Reason m_Reason;
    unsigned m_Status;
    std::string_view m_OutcomeName;
  };
  const Case Cases[] = {
      {kernel::Outcome::NotRun, kernel::Reason::Overload, 503, "not-run"},
      {kernel::Outcome::NotRun, kernel::Reason::KeyMissing, 400, "not-run"},
      {kernel::Outcome::NotRun, kernel::Reason::KeySealed, 409, "not-run"},
      {kernel::Outcome::Unknown, kernel::Reason::AttemptLost, 504, "unknown"},
  };
  auto Caller = client();
  for (const auto &Case : Cases) {
    Caller.send(LookRequest);
    kernel::Answer Answer{.m_Request = nextRequest().m_Request,
                          .m_Outcome = Case.m_Outcome,
                          .m_Reason = Case.m_Reason,
                          .m_Reply = nullptr,
                          .m_RetryAfter = std::chrono::milliseconds(1200)};
    m_Server->answer(Answer);
    const auto Received = Caller.receive();
    EXPECT_EQ(Received.result_int(), Case.m_Status);
    EXPECT_EQ(Received["VH-Outcome"], Case.m_OutcomeName);
    EXPECT_EQ(Received["VH-Reason"], toString(Case.m_Reason));
    EXPECT_EQ(Received["Retry-After"], "2");
    EXPECT_EQ(Received["VH-Retry-After-Ms"], "1200");
  }
}

TEST_F(CallerTest, StillAnswersAfterRandomlyMutatedMessages) {
  constexpr int Rounds = 1500;
  m_AnswerAtOnce = true;
  std::mt19937_64 Random(20261203);
  const auto Pick = [&Random](std::size_t Count) { return Random() % Count; };
  for (int Round = 0; Round < Rounds; ++Round) {
    std::string Text =
        RefusedMessages[Pick(std::size(RefusedMessages))].m_Text + std::string(LookRequest);
    for (auto Changes = 1 + Pick(8); Changes > 0; --Changes) {
      const auto At = Pick(Text.size());
      const auto Kind = Pick(3);
      if (Kind == 0) {
        Text[At] = static_cast<char>(Pick(256));
      } else if (Kind == 1) {
        Text.erase(At, 1 + Pick(12));
      } else {
        Text.insert(At, Text.substr(Pick(Text.size()), 1 + Pick(12)));
      }
    }
    auto Caller = client();
    Caller.send(Text);
    boost::system::error_code Ignored;
    Caller.socket().shutdown(Tcp::socket::shutdown_send, Ignored);
    Caller.awaitEnd();
  }
  EXPECT_EQ(client().ask(LookRequest).body(), "at once");
}

} // namespace
} // namespace vanillahill::net::fakes
