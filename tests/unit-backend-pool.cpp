#include "event_inbox.hpp"
#include "net_fakes.hpp"

#include "vanillahill/net/detail/backend_pool.hpp"

#include <gtest/gtest.h>

#include <future>
#include <thread>

namespace vanillahill::net::fakes {
namespace {

using kernel::AttemptEnded;
using kernel::AttemptResult;

constexpr std::chrono::seconds LongDeadline(30);
const ServerId FirstServer = idOf<ServerId>("desk/s1");

/// A pool for the servers of deskSettings().
class PoolTest : public testing::Test {
protected:
  void applySettings(const SiteSettings &Site) { m_Pool->applySettings(Site); }

  void dispatch(std::uint64_t Attempt, Duration Deadline = LongDeadline,
                TimePoint SendBy = TimePoint::max()) {
    auto Request = std::make_shared<CallerRequest>();
    Request->m_Message = {http::verb::post, "/desk/post/" + std::to_string(Attempt), 11};
    Request->m_Message.body() = "body";
    Request->m_Message.prepare_payload();
    m_Pool->dispatch({.m_Attempt = static_cast<AttemptId>(Attempt),
                      .m_Server = FirstServer,
                      .m_Deadline = SystemClock().now() + Deadline,
                      .m_SendBy = SendBy},
                     std::move(Request));
  }

  AttemptEnded awaitAttemptEnded() { return m_Inbox.next<AttemptEnded>(); }

  /// Dispatches an attempt and waits for its end.
  AttemptEnded dispatchAndAwait(std::uint64_t Attempt) {
    dispatch(Attempt);
    return awaitAttemptEnded();
  }

  ~PoolTest() override {
    m_Pool->close();
    m_Io.stop();
  }

  observe::Metrics m_Metrics;
  EventInbox m_Inbox;
  IoThread m_Io;
  std::shared_ptr<BackendPool> m_Pool =
      std::make_shared<BackendPool>(m_Io.io(), "e1", m_Inbox.sink(), m_Metrics);
};

std::string echoPath(const BackendRequest &Request) {
  return Backend::reply(Request, std::string(Request.target()));
}

TEST_F(PoolTest, ReturnsEachAttemptsOwnReplyOnOneReusedConnection) {
  Backend Server(echoPath);
  auto Site = deskSettings({Server.port()});
  Site.m_Services[0].m_Servers[0].m_MaxConnections = 1;
  applySettings(Site);
  for (std::uint64_t Attempt = 1; Attempt <= 20; ++Attempt) {
    const auto End = dispatchAndAwait(Attempt);
    ASSERT_EQ(End.m_Result, AttemptResult::Completed);
    EXPECT_EQ(End.m_Reply->m_Body, "/desk/post/" + std::to_string(Attempt));
  }
  EXPECT_EQ(Server.accepted(), 1);
}

TEST_F(PoolTest, SendsTimeLeftExchangeIdAndVmNameToTheServer) {
  std::promise<BackendRequest> Seen;
  Backend Server([&Seen](const BackendRequest &Request) {
    Seen.set_value(Request);
    return Backend::reply(Request, "");
  });
  applySettings(deskSettings({Server.port()}));
  EXPECT_EQ(dispatchAndAwait(7).m_Result, AttemptResult::Completed);
  const auto Request = Seen.get_future().get();
  EXPECT_EQ(Request["VH-Exchange"], "7");
  EXPECT_EQ(Request["VH-Vm"], "e1");
  EXPECT_LE(std::stoi(std::string(Request["VH-Deadline-Ms"])), toMillis(LongDeadline));
  EXPECT_EQ(Request.body(), "body");
}

/// Without it, more servers would be preferred than connections stay open to.
TEST_F(PoolTest, TellsHowLongTheServerKeepsAnIdleConnection) {
  Backend Server([](const BackendRequest &Request) {
    const bool IsFirst = Request.target() == "/desk/post/1";
    return Backend::reply(Request, "", IsFirst ? "Keep-Alive: timeout=7\r\n" : "");
  });
  applySettings(deskSettings({Server.port()}));
  EXPECT_EQ(dispatchAndAwait(1).m_IdleTime, std::chrono::seconds(7));
  EXPECT_EQ(dispatchAndAwait(2).m_IdleTime, std::nullopt);
}

struct FaultyReply {
  const char *m_Name;
  Backend::Script m_Script;
};

const FaultyReply FaultyReplies[] = {
    {"cut",
     [](const BackendRequest &Request) {
       return "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 100\r\nVH-Exchange: " +
              std::string(Request["VH-Exchange"]) + "\r\n\r\nshort";
     }},
    {"no reply", [](const BackendRequest &) { return std::string(); }},
    {"other exchange",
     [](const BackendRequest &) {
       return std::string("HTTP/1.1 200 OK\r\nVH-Exchange: 999\r\nContent-Length: 2\r\n\r\nok");
     }},
    {"no exchange",
     [](const BackendRequest &) {
       return std::string("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
     }},
    {"no length",
     [](const BackendRequest &Request) {
       return "HTTP/1.1 200 OK\r\nVH-Exchange: " + std::string(Request["VH-Exchange"]) +
              "\r\n\r\nok";
     }},
    {"left over",
     [](const BackendRequest &Request) {
       return Backend::reply(Request, "one") + Backend::reply(Request, "two");
     }},
    {"two lengths",
     [](const BackendRequest &Request) {
       return Backend::reply(Request, "ok", "Content-Length: 1\r\n");
     }},
    {"informational",
     [](const BackendRequest &Request) {
       return Backend::reply(Request, "", "", "103 Early Hints");
     }},
    {"not HTTP", [](const BackendRequest &) { return std::string("ok\r\n\r\n"); }},
};

/// Answers the first request by the given script and later ones by echoPath().
Backend::Script faultyOnFirstRequest(const Backend::Script &Inner) {
  auto Calls = std::make_shared<std::atomic<int>>(0);
  return [Inner, Calls](const BackendRequest &Request) {
    return Calls->fetch_add(1) == 0 ? Inner(Request) : echoPath(Request);
  };
}

TEST_F(PoolTest, DiscardsAFaultyReplyAndDoesNotReuseItsConnection) {
  for (const auto &Case : FaultyReplies) {
    SCOPED_TRACE(Case.m_Name);
    Backend Server(faultyOnFirstRequest(Case.m_Script));
    auto Site = deskSettings({Server.port()});
    Site.m_Services[0].m_Servers[0].m_MaxConnections = 1;
    applySettings(Site);
    dispatch(1, std::chrono::milliseconds(200));
    const auto Faulty = awaitAttemptEnded();
    EXPECT_EQ(Faulty.m_Result, AttemptResult::Unknown);
    EXPECT_EQ(Faulty.m_ClosedUnanswered, Case.m_Name == std::string_view("no reply"));
    const auto Next = dispatchAndAwait(2);
    EXPECT_EQ(Next.m_Result, AttemptResult::Completed);
    EXPECT_EQ(Next.m_Reply->m_Body, "/desk/post/2");
    EXPECT_EQ(Server.accepted(), 2);
    applySettings(deskSettings({}));
  }
}

TEST_F(PoolTest, AServerWhoseProcessIsGoneIsToldFromOneThatIsSilent) {
  std::uint16_t Port = 0;
  {
    Backend Gone(echoPath);
    Port = Gone.port();
  }
  applySettings(deskSettings({Port}));
  const auto End = dispatchAndAwait(1);
  EXPECT_EQ(End.m_Result, AttemptResult::NotSent);
  EXPECT_TRUE(End.m_ConnectionRefused);
  m_Pool->probe(FirstServer);
  EXPECT_TRUE(m_Inbox.next<kernel::ProbeEnded>().m_ConnectionRefused);
}

/// Bytes that are no reply may come until the connection is closed.
TEST_F(PoolTest, AReplyWithoutEndFailsAtItsLimitLongBeforeTheDeadline) {
  constexpr std::size_t BeyondHeadLimit = 64U << 10U;
  constexpr std::size_t BeyondBodyLimit = 20U << 20U;
  std::atomic<int> Variant = 0;
  Backend Server([&Variant](const BackendRequest &Request) {
    const std::string Head =
        "HTTP/1.1 200 OK\r\nVH-Exchange: " + std::string(Request["VH-Exchange"]) + "\r\n";
    switch (Variant) {
    case 0:
      return std::string(BeyondHeadLimit, 'x');
    case 1:
      return Head + "X: " + std::string(BeyondHeadLimit, 'x');
    case 2:
      return Head + "\r\n" + std::string(BeyondBodyLimit, 'x');
    case 3:
      return Head + "Transfer-Encoding: chunked\r\n\r\n1;" + std::string(BeyondHeadLimit, 'x');
    case 4:
      return Head + "Transfer-Encoding: chunked\r\n\r\n4000000\r\n" +
             std::string(BeyondBodyLimit, 'x');
    default:
      return Backend::reply(Request, "whole");
    }
  });
  applySettings(deskSettings({Server.port()}));
  constexpr int Variants = 5;
  for (int Attempt = 1; Attempt <= Variants; ++Attempt) {
    const auto Ended = dispatchAndAwait(static_cast<std::uint64_t>(Attempt));
    EXPECT_EQ(Ended.m_Result, AttemptResult::Unknown) << Variant;
    ++Variant;
  }
  EXPECT_EQ(dispatchAndAwait(Variants + 1).m_Result, AttemptResult::Completed);
}

TEST_F(PoolTest, DiscardsALateReply) {
  std::promise<void> Release;
  auto Released = Release.get_future().share();
  Backend Server([Released](const BackendRequest &Request) {
    if (Request["VH-Exchange"] == "1") {
      Released.wait();
    }
    return echoPath(Request);
  });
  applySettings(deskSettings({Server.port()}));
  dispatch(1, std::chrono::milliseconds(30));
  EXPECT_EQ(awaitAttemptEnded().m_Result, AttemptResult::Unknown);
  Release.set_value();
  const auto Next = dispatchAndAwait(2);
  EXPECT_EQ(Next.m_Reply->m_Body, "/desk/post/2");
  EXPECT_EQ(m_Inbox.size(), 0U);
}

TEST_F(PoolTest, DiscardsSwappedReplies) {
  Backend Server([](const BackendRequest &Request) {
    auto Swapped = Request;
    Swapped.set("VH-Exchange", Request["VH-Exchange"] == "1" ? "2" : "1");
    return Backend::reply(Swapped, "swapped");
  });
  applySettings(deskSettings({Server.port()}));
  dispatch(1);
  dispatch(2);
  EXPECT_EQ(awaitAttemptEnded().m_Result, AttemptResult::Unknown);
  EXPECT_EQ(awaitAttemptEnded().m_Result, AttemptResult::Unknown);
}

TEST_F(PoolTest, ACancelledAttemptEndsOnceAndItsConnectionIsClosed) {
  std::promise<void> Arrived;
  std::promise<void> Release;
  auto Released = Release.get_future().share();
  Backend Server([&Arrived, Released](const BackendRequest &Request) {
    if (Request["VH-Exchange"] == "1") {
      Arrived.set_value();
      Released.wait();
    }
    return echoPath(Request);
  });
  auto Site = deskSettings({Server.port()});
  Site.m_Services[0].m_Servers[0].m_MaxConnections = 1;
  applySettings(Site);
  dispatch(1);
  Arrived.get_future().wait();
  m_Pool->cancel(static_cast<AttemptId>(1));
  m_Pool->cancel(static_cast<AttemptId>(1));
  EXPECT_EQ(awaitAttemptEnded().m_Result, AttemptResult::Unknown);
  EXPECT_EQ(dispatchAndAwait(2).m_Result, AttemptResult::Completed);
  EXPECT_EQ(Server.accepted(), 2);
  EXPECT_EQ(m_Inbox.size(), 0U);
  Release.set_value();
}

TEST_F(PoolTest, CancelRightAfterDispatchEndsTheAttemptOnce) {
  Backend Server(echoPath);
  applySettings(deskSettings({Server.port()}));
  for (std::uint64_t Attempt = 1; Attempt <= 200; ++Attempt) {
    dispatch(Attempt);
    m_Pool->cancel(static_cast<AttemptId>(Attempt));
    EXPECT_EQ(awaitAttemptEnded().m_Attempt, static_cast<AttemptId>(Attempt));
  }
  EXPECT_EQ(m_Inbox.size(), 0U);
}

TEST_F(PoolTest, StaysWithinItsShareOfTheServersConnections) {
  Backend Server(echoPath);
  auto Site = deskSettings({Server.port()});
  Site.m_Membership.m_MaxVms = 24;
  Site.m_Services[0].m_Servers[0].m_MaxConnections = 71; // 71 / 24 = 2
  applySettings(Site);
  constexpr int Attempts = 200;
  for (int Attempt = 1; Attempt <= Attempts; ++Attempt) {
    dispatch(static_cast<std::uint64_t>(Attempt));
  }
  for (int Attempt = 1; Attempt <= Attempts; ++Attempt) {
    EXPECT_EQ(awaitAttemptEnded().m_Result, AttemptResult::Completed);
  }
  EXPECT_EQ(Server.accepted(), 2);
}

TEST_F(PoolTest, ReportsNotSentIfTheConnectionIsRefused) {
  std::uint16_t Closed = 0;
  {
    Backend Gone(echoPath);
    Closed = Gone.port();
  }
  applySettings(deskSettings({Closed}));
  EXPECT_EQ(dispatchAndAwait(1).m_Result, AttemptResult::NotSent);
}

TEST_F(PoolTest, ReportsNotSentForAnUnknownServerOrAMissingRequest) {
  EXPECT_EQ(dispatchAndAwait(1).m_Result, AttemptResult::NotSent);
  m_Pool->dispatch({.m_Attempt = static_cast<AttemptId>(2)}, nullptr);
  EXPECT_EQ(awaitAttemptEnded().m_Result, AttemptResult::NotSent);
}

TEST_F(PoolTest, ReportsNotRunOnlyIfTheServerSaysSo) {
  Backend Server([](const BackendRequest &Request) {
    const bool NotRun = Request["VH-Exchange"] == "1";
    return Backend::reply(Request, "", NotRun ? "VH-Not-Run: true\r\nVH-Leaving: true\r\n" : "",
                          "503 Service Unavailable");
  });
  applySettings(deskSettings({Server.port()}));
  const auto Refused = dispatchAndAwait(1);
  EXPECT_EQ(Refused.m_Result, AttemptResult::NotRun);
  EXPECT_TRUE(Refused.m_ServerLeaving);
  const auto Failed = dispatchAndAwait(2);
  EXPECT_EQ(Failed.m_Result, AttemptResult::Completed);
  EXPECT_EQ(Failed.m_Reply->m_Status, 503U);
}

TEST_F(PoolTest, AProbeReportsHealth) {
  Backend Server([](const BackendRequest &Request) {
    EXPECT_EQ(Request.target(), "/vh/health");
    return Backend::reply(Request, "");
  });
  applySettings(deskSettings({Server.port()}));
  m_Pool->probe(FirstServer);
  EXPECT_TRUE(m_Inbox.next<kernel::ProbeEnded>().m_Healthy);
  applySettings(deskSettings({}));
  m_Pool->probe(FirstServer);
  EXPECT_FALSE(m_Inbox.next<kernel::ProbeEnded>().m_Healthy);
}

/// Two requests for a server with one connection; the second one waits until the first has its
/// reply.
class WaitingRequestTest : public PoolTest {
protected:
  /// \param Status of the replies, with the headers of the project's own servers
  void serve(const std::string &Status, const Dialect &Protocol) {
    m_Server.emplace([this, Status](const BackendRequest &Request) {
      ++m_Received;
      m_Go.wait();
      return "HTTP/1.1 " + Status +
             "\r\nContent-Length: 0\r\nVH-Exchange: " + std::string(Request["VH-Exchange"]) +
             "\r\n\r\n";
    });
    m_Pool = std::make_shared<BackendPool>(m_Io.io(), "e1", m_Inbox.sink(), m_Metrics,
                                           BackendPoolOptions{.m_Dialect = &Protocol});
    auto Site = deskSettings({m_Server->port()});
    Site.m_Services[0].m_Servers[0].m_MaxConnections = 1;
    applySettings(Site);
    dispatch(1);
    dispatch(2);
    m_Proceed.set_value();
  }

  std::atomic<int> m_Received = 0;
  std::promise<void> m_Proceed;
  std::shared_future<void> m_Go = m_Proceed.get_future().share();
  std::optional<Backend> m_Server;
};

TEST_F(WaitingRequestTest, IsNotSentAfterItsLatestTime) {
  m_Server.emplace([this](const BackendRequest &Request) {
    ++m_Received;
    m_Go.wait();
    return Backend::reply(Request, "");
  });
  auto Site = deskSettings({m_Server->port()});
  Site.m_Services[0].m_Servers[0].m_MaxConnections = 1;
  applySettings(Site);
  dispatch(1);
  const TimePoint SendBy = SystemClock().now() + std::chrono::milliseconds(30);
  dispatch(2, LongDeadline, SendBy);
  const AttemptEnded Ended = awaitAttemptEnded();
  EXPECT_EQ(Ended.m_Attempt, AttemptId{2});
  EXPECT_EQ(Ended.m_Result, AttemptResult::NotSent);
  EXPECT_GE(SystemClock().now(), SendBy);
  // One that has been sent is not affected.
  m_Proceed.set_value();
  EXPECT_EQ(awaitAttemptEnded().m_Result, AttemptResult::Completed);
  dispatch(3, LongDeadline, SystemClock().now() + std::chrono::seconds(5));
  EXPECT_EQ(awaitAttemptEnded().m_Result, AttemptResult::Completed);
  EXPECT_EQ(m_Received, 2);
}

TEST_F(WaitingRequestTest, EndsWhenItsDeadlineIsAfterThatOfAStop) {
  m_Server.emplace([this](const BackendRequest &Request) {
    ++m_Received;
    m_Go.wait();
    return Backend::reply(Request, "");
  });
  auto Site = deskSettings({m_Server->port()});
  Site.m_Services[0].m_Servers[0].m_MaxConnections = 1;
  applySettings(Site);
  dispatch(1);
  while (m_Received == 0) {
    std::this_thread::yield();
  }
  dispatch(2, std::chrono::seconds(20));
  dispatch(3, std::chrono::seconds(5));
  m_Pool->endWaitingAttempts(SystemClock().now() + std::chrono::seconds(10));
  const AttemptEnded Ended = awaitAttemptEnded();
  EXPECT_EQ(Ended.m_Attempt, AttemptId{2});
  EXPECT_EQ(Ended.m_Result, AttemptResult::NotSent);
  m_Proceed.set_value();
  EXPECT_EQ(awaitAttemptEnded().m_Result, AttemptResult::Completed);
  EXPECT_EQ(awaitAttemptEnded().m_Result, AttemptResult::Completed);
  EXPECT_EQ(m_Received, 2);
}

/// Every refusal asks for a pause.
ExchangeEnd readPausingReply(HttpReply Message, const BackendExchange &Exchange) {
  ExchangeEnd End = readExchangeReply(std::move(Message), Exchange);
  if (End.m_Result == AttemptResult::NotRun) {
    End.m_PauseFor = std::chrono::seconds(3);
  }
  return End;
}

TEST_F(WaitingRequestTest, IsNotSentToAServerThatAsksForAPause) {
  static const Dialect Pausing = [] {
    Dialect Changed = ownDialect();
    Changed.m_ReadReply = &readPausingReply;
    return Changed;
  }();
  serve("503 Service Unavailable\r\nVH-Not-Run: true", Pausing);
  const AttemptEnded First = awaitAttemptEnded();
  EXPECT_EQ(First.m_Result, AttemptResult::NotRun);
  EXPECT_EQ(First.m_PauseFor, std::chrono::seconds(3));
  EXPECT_EQ(awaitAttemptEnded().m_Result, AttemptResult::NotSent);
  EXPECT_EQ(m_Received, 1);
}

/// Every reply names a limit.
ExchangeEnd readLimitingReply(HttpReply Message, const BackendExchange &Exchange) {
  ExchangeEnd End = readExchangeReply(std::move(Message), Exchange);
  End.m_RequestLimit = 2.0;
  return End;
}

TEST_F(WaitingRequestTest, IsNotSentToAServerThatNamesALimit) {
  static const Dialect Limiting = [] {
    Dialect Changed = ownDialect();
    Changed.m_ReadReply = &readLimitingReply;
    return Changed;
  }();
  serve("200 OK", Limiting);
  EXPECT_EQ(awaitAttemptEnded().m_RequestLimit, 2.0);
  EXPECT_EQ(awaitAttemptEnded().m_Result, AttemptResult::NotSent);
  EXPECT_EQ(m_Received, 1);
  dispatch(3);
  dispatch(4);
  EXPECT_EQ(awaitAttemptEnded().m_Result, AttemptResult::Completed);
  EXPECT_EQ(awaitAttemptEnded().m_Result, AttemptResult::Completed) << "the limit has not fallen";
}

} // namespace
} // namespace vanillahill::net::fakes
