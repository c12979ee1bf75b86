#include "front_harness.hpp"

#include <gtest/gtest.h>

#include <boost/asio/ip/udp.hpp>

#include <csignal>
#include <fstream>
#include <future>

namespace vanillahill::wire::fakes {
namespace {

/// Leaves a request on a busy machine time to end after the linger time.
constexpr std::chrono::seconds LongGrace(3);

class FrontTest : public testing::Test {
protected:
  void add(const PlatformServer &Server) {
    m_Store.put("keyed.servers", Server.id(), Server.record());
  }

  FakeStore m_Store;
};

TEST_F(FrontTest, ForwardsTheRequestAndReturnsTheReplyUnchanged) {
  std::promise<BackendRequest> Seen;
  PlatformServer Server("i-1", [&Seen](const BackendRequest &Request) {
    Seen.set_value(Request);
    return PlatformServer::reply(Request, "200 OK", "whole", "X-Own: kept\r\n");
  });
  m_Store.put("keyed.op", "config", configuration(3));
  add(Server);
  RunningFront Vm(m_Store);
  Vm.awaitReady();
  const auto Answer = Vm.ask("/look/9?x=1");
  EXPECT_EQ(Answer.result_int(), 200U);
  EXPECT_EQ(Answer.body(), "whole");
  EXPECT_EQ(Answer["Response-Signature"], "sig");
  EXPECT_EQ(Answer["X-Own"], "kept");
  EXPECT_EQ(Answer["Request-Id"], "id-1");
  const auto Request = Seen.get_future().get();
  EXPECT_EQ(Request.target(), "/look/9?x=1");
  EXPECT_EQ(Request["Host"], "A.example");
  EXPECT_EQ(Request["Target-Instance"], "i-1");
  EXPECT_LE(std::stoi(std::string(Request["Deadline-Ms"])), 700);
}

/// A reply is cut at each of its bytes, and the connection is closed in an orderly way.
class FrontCutReply : public FrontTest {
protected:
  /// Answers of the front, by the number of bytes that the server sent.
  std::map<std::size_t, CallerReply> answersToCuts(const std::string &Head,
                                                   const std::string &Body) {
    std::atomic<std::size_t> Bytes = 0;
    PlatformServer Server("i-1", [&](const BackendRequest &Request) {
      const std::string Whole =
          "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Request["Request-Id"]) +
          "\r\nResponse-Signature: sig\r\n" + Head + "\r\n" + Body;
      return Whole.substr(0, Bytes).append(Backend::CloseMark);
    });
    m_Store.put("keyed.op", "config", configuration(3));
    add(Server);
    RunningFront Vm(m_Store);
    Vm.awaitReady();
    std::map<std::size_t, CallerReply> Answers;
    const std::size_t HeadBytes = std::string("HTTP/1.1 200 OK\r\nRequest-Id: id-1\r\n"
                                              "Response-Signature: sig\r\n")
                                      .size() +
                                  Head.size() + 2;
    for (std::size_t Cut = 1; Cut <= HeadBytes + Body.size(); ++Cut) {
      Bytes = Cut;
      Answers.emplace(Cut, Vm.ask("/post/1", "POST"));
    }
    return Answers;
  }
};

TEST_F(FrontCutReply, AReplyWithALengthIsCompleteOnlyWithItsLastByte) {
  const auto Answers = answersToCuts("Content-Length: 5\r\n", "whole");
  for (const auto &[Cut, Answer] : Answers) {
    const bool IsWhole = Cut == Answers.rbegin()->first;
    EXPECT_EQ(Answer.result_int() == 200U, IsWhole) << "cut after " << Cut << " bytes";
    EXPECT_EQ(Answer.body() == "whole", IsWhole) << "cut after " << Cut << " bytes";
  }
}

TEST_F(FrontCutReply, AReplyInChunksIsCompleteOnlyWithItsLastByte) {
  const auto Answers =
      answersToCuts("Transfer-Encoding: chunked\r\n", "3\r\nwho\r\n2\r\nle\r\n0\r\n\r\n");
  for (const auto &[Cut, Answer] : Answers) {
    const bool IsWhole = Cut == Answers.rbegin()->first;
    EXPECT_EQ(Answer.result_int() == 200U, IsWhole) << "cut after " << Cut << " bytes";
  }
}

/// A reply may have no length and end with its connection, but only behind a whole head.
TEST_F(FrontCutReply, AHeadThatIsCutIsNoReplyThatEndsWithItsConnection) {
  const std::string Body = "whole";
  const auto Answers = answersToCuts("X-Own: kept\r\n", Body);
  const std::size_t HeadBytes = Answers.rbegin()->first - Body.size();
  for (const auto &[Cut, Answer] : Answers) {
    EXPECT_EQ(Answer.result_int() == 200U, Cut >= HeadBytes) << "cut after " << Cut << " bytes";
    if (Cut >= HeadBytes) {
      EXPECT_EQ(Answer.body(), Body.substr(0, Cut - HeadBytes));
    }
  }
}

/// A refusal has no request id. Written once more on a kept connection, it was taken for the reply
/// to the next request, which ran: its caller was told that it had not.
TEST_F(FrontTest, ARefusalThatIsRepeatedIsNoReplyToTheNextRequest) {
  std::atomic<int> Refused = 0;
  std::atomic<int> Ran = 0;
  PlatformServer Server("i-1", [&](const BackendRequest &Request) {
    // Each connection has a thread of its own.
    thread_local std::string Earlier;
    if (Refused++ == 0) {
      Earlier = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
      return Earlier;
    }
    ++Ran;
    return Earlier + PlatformServer::reply(Request, "200 OK", "whole");
  });
  m_Store.put("keyed.op", "config", configuration(3));
  add(Server);
  RunningFront Vm(m_Store);
  Vm.awaitReady();
  Vm.ask("/post/1", "POST");
  const int RanBefore = Ran;
  const auto Answer = Vm.ask("/post/2", "POST");
  EXPECT_EQ(Answer.result_int(), 200U);
  EXPECT_EQ(Ran - RanBefore, 1);
}

/// The record stays in the store, so that a process which ends at it would end at each start.
TEST_F(FrontTest, OddServerRecordsDoNotKeepAVmFromServing) {
  constexpr std::size_t Levels = 100'000;
  const std::string Deep = std::string(Levels, '[') + std::string(Levels, ']');
  PlatformServer Server("i-1");
  m_Store.put("keyed.op", "config", configuration(3));
  m_Store.put("keyed.servers", "i-deep", R"({"service": "s1", "state": )" + Deep + "}");
  m_Store.put("keyed.servers", "i-port",
              R"({"service": "s1", "address": "127.0.0.1:99999", "zone": "dc1", "capacity": 1,
                  "state": "ready", "sequence": 1})");
  m_Store.put("keyed.servers", "i-bytes", "\xff\x01");
  add(Server);
  RunningFront Vm(m_Store);
  Vm.awaitReady();
  EXPECT_EQ(Vm.ask("/look/1").result_int(), 200U);
  m_Store.put("keyed.servers", "i-late", R"({"service": )" + Deep + "}");
  PlatformServer Second("i-2");
  add(Second);
  EXPECT_EQ(Vm.ask("/look/2").result_int(), 200U);
}

TEST_F(FrontTest, IsReadyOnlyWithAConfigurationAndAServer) {
  PlatformServer Server("i-1");
  RunningFront Vm(m_Store);
  EXPECT_EQ(Vm.readiness(), 503U);
  EXPECT_EQ(Vm.ask("/look/1").result_int(), 503U);
  m_Store.put("keyed.op", "other", "{}");
  m_Store.put("keyed.op", "config", configuration(3));
  add(Server);
  Vm.awaitReady();
  EXPECT_EQ(Vm.ask("/look/1").result_int(), 200U);
  EXPECT_EQ(Vm.ask("/none/1").result_int(), 404U);
}

TEST_F(FrontTest, SkipsInvalidRecordsAndAppliesTheOthers) {
  PlatformServer Server("i-1");
  m_Store.put("keyed.op", "config", configuration(3));
  m_Store.put("keyed.servers", "a-broken", "{\"service\":7}");
  m_Store.put("keyed.servers", "b-broken", "\xff\xfe");
  add(Server);
  m_Store.put("keyed.servers", "z-broken", "{}");
  RunningFront Vm(m_Store);
  Vm.awaitReady();
  m_Store.putRawRecord("keyed.servers", "\xff");
  m_Store.put("keyed.servers", "i-1", "not json");
  m_Store.put("keyed.op", "config", "{\"version\":\"r9\"}");
  m_Store.put("keyed.op", "config", configuration(10));
  Vm.awaitAnswer("/look/1", 200);
  EXPECT_EQ(Vm.ask("/look/1").result_int(), 200U);
}

TEST_F(FrontTest, AppliesNewerConfigurationsAndIgnoresOlderOnes) {
  PlatformServer Server("i-1");
  m_Store.put("keyed.op", "config", configuration(5));
  add(Server);
  RunningFront Vm(m_Store);
  Vm.awaitReady();
  EXPECT_EQ(Vm.ask("/new/1").result_int(), 404U);
  m_Store.put("keyed.op", "config",
              configuration(8, "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"new\"},"
                               "\"spec\":{\"host\":\"a.example\",\"path_prefix\":\"/new/\","
                               "\"kind\":\"safe\",\"service\":\"svc\"}},"));
  Vm.awaitAnswer("/new/1", 200);
  m_Store.put("keyed.op", "config", configuration(6));
  m_Store.deleteRecords("keyed.op");
  const int CallsBefore = m_Store.callCount();
  while (m_Store.callCount() < CallsBefore + 6) {
    EXPECT_EQ(Vm.ask("/new/1").result_int(), 200U);
  }
}

TEST_F(FrontTest, ADrainingServerGetsNoRequestsOnceItsRecordWasRead) {
  PlatformServer Leaving("i-1");
  PlatformServer Staying("i-2");
  m_Store.put("keyed.op", "config", configuration(3));
  add(Leaving);
  add(Staying);
  RunningFront Vm(m_Store);
  Vm.awaitReady();
  m_Store.put("keyed.servers", "i-1", Leaving.record("draining", 2));
  const int CallsBefore = m_Store.callCount();
  while (m_Store.callCount() < CallsBefore + 4) {
    EXPECT_EQ(Vm.ask("/look/1").result_int(), 200U);
  }
  const int Served = Leaving.served();
  for (int Round = 0; Round < 20; ++Round) {
    EXPECT_EQ(Vm.ask("/look/1").result_int(), 200U);
  }
  EXPECT_EQ(Leaving.served(), Served);
}

TEST_F(FrontTest, AServerThatSaysThatItIsLeavingGetsNothingAfterTheDrainBound) {
  PlatformServer Server("i-1", [](const BackendRequest &Request) {
    return PlatformServer::reply(Request, "200 OK", "whole", "Server-Leaving: 1\r\n");
  });
  m_Store.put("keyed.op", "config", configuration(3));
  add(Server);
  RunningFront Vm(m_Store);
  Vm.awaitReady();
  const auto First = Vm.ask("/look/1");
  ASSERT_EQ(First.result_int(), 200U);
  EXPECT_EQ(First.count("Server-Leaving"), 0U);
  m_Store.setFault(StoreFault::Answers503);
  // The drain bound of the process.
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  EXPECT_EQ(Vm.ask("/look/2").result_int(), 503U);
  EXPECT_EQ(Server.served(), 1);
  EXPECT_NE(Vm.metrics().find("vanillahill_server_said_leaving_total{server=\"svc/i-1\"} 1"),
            std::string::npos);
}

TEST_F(FrontTest, AServerThatAsksForAPauseGetsNothingDuringIt) {
  PlatformServer Server("i-1", [](const BackendRequest &) {
    return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nRetry-After: 30\r\n"
           "Content-Length: 0\r\n\r\n";
  });
  m_Store.put("keyed.op", "config", configuration(3));
  add(Server);
  RunningFront Vm(m_Store);
  Vm.awaitReady();
  for (int Request = 0; Request < 20; ++Request) {
    const auto Answer = Vm.ask("/post/1", "POST");
    EXPECT_EQ(Answer.result_int(), 503U);
    EXPECT_GE(std::stod(std::string(Answer["Retry-After"])), 10.0);
  }
  EXPECT_EQ(Server.served(), 1);
}

TEST_F(FrontTest, RepliesOfOthersSayNothingAboutAServer) {
  const std::string Leaving = "Server-Leaving: 1\r\n";
  const PlatformServer::ReplyFunction Replies[] = {
      [&Leaving](const BackendRequest &Request) {
        std::string Cut = PlatformServer::reply(Request, "200 OK", "whole", Leaving);
        Cut.pop_back();
        return Cut.replace(Cut.find("HTTP/1.1 200 OK\r\n") + 17, 0, "Connection: close\r\n");
      },
      [&Leaving](const BackendRequest &Request) {
        BackendRequest Other = Request;
        Other.set("Request-Id", "other");
        return PlatformServer::reply(Other, "200 OK", "whole", Leaving) +
               PlatformServer::reply(Request, "200 OK", "whole");
      },
      [&Leaving](const BackendRequest &Request) {
        return PlatformServer::reply(Request, "200 OK", "whole") +
               PlatformServer::reply(Request, "200 OK", "whole", Leaving);
      }};
  for (const auto &Reply : Replies) {
    FakeStore Store;
    PlatformServer Server("i-1", Reply);
    Store.put("keyed.op", "config", configuration(3));
    Store.put("keyed.servers", "i-1", Server.record());
    RunningFront Vm(Store);
    Vm.awaitReady();
    Vm.ask("/post/1", "POST");
    EXPECT_EQ(Server.served(), 1);
    EXPECT_NE(Vm.metrics().find("vanillahill_server_said_leaving_total{server=\"svc/i-1\"} 0"),
              std::string::npos);
  }
}

TEST_F(FrontTest, KeepsServingWhileTheStoreFails) {
  PlatformServer Server("i-1");
  m_Store.put("keyed.op", "config", configuration(3));
  add(Server);
  RunningFront Vm(m_Store);
  Vm.awaitReady();
  for (const StoreFault Fault : {StoreFault::Answers503, StoreFault::SendsNoAnswer}) {
    m_Store.setFault(Fault);
    const int CallsBefore = m_Store.callCount();
    while (m_Store.callCount() < CallsBefore + 2) {
      EXPECT_EQ(Vm.ask("/look/1").result_int(), 200U);
    }
    EXPECT_EQ(Vm.readiness(), 200U);
  }
  m_Store.setFault(StoreFault::None);
  m_Store.put("keyed.op", "config",
              configuration(4, "{\"resource_kind\":\"routes\",\"metadata\":"
                               "{\"name\":\"new\"},\"spec\":{\"host\":"
                               "\"a.example\",\"path_prefix\":\"/new/\","
                               "\"kind\":\"safe\",\"service\":\"svc\"}},"));
  Vm.awaitAnswer("/new/1", 200);
}

TEST_F(FrontTest, ARequestThatMayHaveRunIsNeverReportedAsNotRun) {
  const std::vector<std::pair<std::string, unsigned>> Replies = {{"503 Service Unavailable", 502},
                                                                 {"429 Too Many Requests", 502},
                                                                 {"500 Internal Server Error", 500},
                                                                 {"404 Not Found", 404}};
  for (const auto &[Status, Expected] : Replies) {
    FakeStore Store;
    PlatformServer Server("i-1", [Status = Status](const BackendRequest &Request) {
      return PlatformServer::reply(Request, Status, "x");
    });
    Store.put("keyed.op", "config", configuration(3));
    Store.put("keyed.servers", "i-1", Server.record());
    RunningFront Vm(Store);
    Vm.awaitReady();
    const auto Answer = Vm.ask("/post/1", "POST");
    EXPECT_EQ(Answer.result_int(), Expected) << Status;
    EXPECT_EQ(Server.served(), 1);
    EXPECT_EQ(Answer.count("Response-Signature"), Expected == 502 ? 0U : 1U);
  }
}

TEST_F(FrontTest, ARequestThatDidNotRunGets503WithRetryAfter) {
  PlatformServer Server("i-1", [](const BackendRequest &) {
    return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  });
  m_Store.put("keyed.op", "config", configuration(3));
  add(Server);
  RunningFront Vm(m_Store);
  Vm.awaitReady();
  const auto Answer = Vm.ask("/post/1", "POST");
  EXPECT_EQ(Answer.result_int(), 503U);
  EXPECT_GT(std::stod(std::string(Answer["Retry-After"])), 0.0);
}

struct ReplyCase {
  const char *m_Name;
  std::function<std::string(const BackendRequest &)> m_Reply;
  unsigned m_Status;
};

const ReplyCase ReplyCases[] = {
    {"unsigned",
     [](const BackendRequest &Request) {
       return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Request["Request-Id"]) +
              "\r\nContent-Length: 2\r\n\r\nok";
     },
     502},
    {"encoded",
     [](const BackendRequest &Request) {
       return PlatformServer::reply(Request, "200 OK", "zip", "Content-Encoding: gzip\r\n");
     },
     502},
    {"cut",
     [](const BackendRequest &Request) {
       return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Request["Request-Id"]) +
              "\r\nResponse-Signature: s\r\nConnection: close\r\nContent-Length: 50\r\n\r\nshort";
     },
     504},
    {"other request",
     [](const BackendRequest &) {
       return std::string("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: s\r\n"
                          "Content-Length: 2\r\n\r\nno");
     },
     504},
    {"late answer to another request first",
     [](const BackendRequest &Request) {
       return "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: s\r\nContent-Length: 2"
              "\r\n\r\nno" +
              PlatformServer::reply(Request, "200 OK", "own");
     },
     200},
    {"further bytes",
     [](const BackendRequest &Request) {
       return PlatformServer::reply(Request, "200 OK", "own") + "HTTP/1.1 200 OK\r\n";
     },
     200},
    {"chunked",
     [](const BackendRequest &Request) {
       return "HTTP/1.1 200 OK\r\nRequest-Id: " + std::string(Request["Request-Id"]) +
              "\r\nResponse-Signature: s\r\nTransfer-Encoding: "
              "chunked\r\n\r\n2\r\now\r\n1\r\nn\r\n0\r\n\r\n";
     },
     200},
    {"no reply", [](const BackendRequest &) { return std::string(); }, 502}};

TEST_F(FrontTest, OnlyCompleteSignedRepliesToTheRequestSucceed) {
  for (const ReplyCase &Case : ReplyCases) {
    FakeStore Store;
    PlatformServer Server("i-1", Case.m_Reply);
    Store.put("keyed.op", "config", configuration(3));
    Store.put("keyed.servers", "i-1", Server.record());
    RunningFront Vm(Store);
    Vm.awaitReady();
    const auto Answer = Vm.ask("/post/1", "POST");
    if (Case.m_Status == 200) {
      EXPECT_EQ(Answer.result_int(), 200U) << Case.m_Name;
      EXPECT_EQ(Answer.body(), "own") << Case.m_Name;
    } else {
      EXPECT_TRUE(Answer.result_int() == 502 || Answer.result_int() == 504) << Case.m_Name;
      EXPECT_EQ(Answer.count("Response-Signature"), 0U) << Case.m_Name;
    }
    EXPECT_EQ(Server.served(), 1) << Case.m_Name;
  }
}

TEST_F(FrontTest, AServerAtAReusedAddressRunsNothing) {
  PlatformServer NewServer("i-new");
  m_Store.put("keyed.op", "config", configuration(3));
  m_Store.put("keyed.servers", "i-old", NewServer.record());
  RunningFront Vm(m_Store);
  Vm.awaitReady();
  EXPECT_EQ(Vm.ask("/post/1", "POST").result_int(), 503U);
  EXPECT_EQ(NewServer.served(), 0);
}

TEST_F(FrontTest, StopAnswersRequestsInFlightAndReportsNotReady) {
  std::promise<void> Started;
  std::promise<void> MayEnd;
  auto EndAllowed = MayEnd.get_future().share();
  PlatformServer Server("i-1", [&Started, EndAllowed](const BackendRequest &Request) {
    Started.set_value();
    EndAllowed.wait();
    return PlatformServer::reply(Request, "200 OK", "whole");
  });
  m_Store.put("keyed.op", "config", configuration(3));
  add(Server);
  RunningFront Vm(m_Store, {}, 0, LongGrace);
  Vm.awaitReady();
  Client Caller(Vm.callerPort());
  Caller.send(RunningFront::request("/post/1", "POST"));
  Started.get_future().wait();
  Vm.front().requestStop();
  Vm.awaitReadiness(503);
  MayEnd.set_value();
  const auto Answer = Caller.receive();
  EXPECT_EQ(Answer.result_int(), 200U);
  EXPECT_FALSE(Answer.keep_alive());
  Vm.awaitStopped();
}

TEST_F(FrontTest, StopClosesIdleConnectionsWhileARequestStillRuns) {
  std::promise<void> Started;
  std::promise<void> MayEnd;
  auto EndAllowed = MayEnd.get_future().share();
  PlatformServer Server("i-1", [&Started, EndAllowed](const BackendRequest &Request) {
    if (Request.target() == "/long/1") {
      Started.set_value();
      EndAllowed.wait();
    }
    return PlatformServer::reply(Request, "200 OK", "whole");
  });
  m_Store.put("keyed.op", "config",
              configuration(3,
                            "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"long\"},"
                            "\"spec\":{\"host\":\"a.example\",\"path_prefix\":\"/long/\",\"kind\":"
                            "\"unsafe\",\"timeout\":\"60s\",\"service\":\"svc\"}},"));
  add(Server);
  RunningFront Vm(m_Store, {}, 0, LongGrace);
  Vm.awaitReady();
  Client IdleCaller(Vm.callerPort());
  EXPECT_EQ(IdleCaller.ask(RunningFront::request("/look/1")).result_int(), 200U);
  Client Caller(Vm.callerPort());
  std::string LongRequest = RunningFront::request("/long/1", "POST");
  LongRequest.replace(LongRequest.find("700"), 3, "60000");
  Caller.send(LongRequest);
  Started.get_future().wait();
  Vm.front().requestStop();
  // The idle connection must close while the long request still runs: a request that its caller
  // sends later would be cut off when the process ends.
  IdleCaller.awaitEnd();
  MayEnd.set_value();
  EXPECT_EQ(Caller.receive().result_int(), 200U);
  Vm.awaitStopped();
}

TEST_F(FrontTest, SighupReloadsTheSettingsAndIgnoresAnInvalidFile) {
  PlatformServer Server("i-1");
  m_Store.put("keyed.op", "config", configuration(3));
  add(Server);
  const std::string Path = testing::TempDir() + "front-settings.json";
  // Socket of another VM. A datagram that arrives there shows that the reloaded seed is in use. Its
  // port must be free for the VM under test as well, for datagrams and connections.
  net::fakes::asio::io_context Io;
  std::optional<boost::asio::ip::tcp::acceptor> FreePort;
  FreePort.emplace(Io,
                   boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  boost::asio::ip::udp::socket OtherVm(
      Io, {boost::asio::ip::make_address("127.0.0.2"), FreePort->local_endpoint().port()});
  FreePort.reset();
  std::ofstream(Path) << settingsText("127.0.0.1");
  RunningFront Vm(m_Store, Path, OtherVm.local_endpoint().port());
  Vm.awaitReady();
  std::ofstream(Path) << "{";
  std::raise(SIGHUP);
  EXPECT_EQ(Vm.ask("/look/1").result_int(), 200U);
  std::ofstream(Path) << settingsText("127.0.0.2");
  std::raise(SIGHUP);
  std::array<char, 100> Received{};
  EXPECT_GT(OtherVm.receive(boost::asio::buffer(Received)), 0U);
  EXPECT_EQ(Vm.ask("/look/1").result_int(), 200U);
}

TEST_F(FrontTest, ServesMetrics) {
  PlatformServer Server("i-1");
  m_Store.put("keyed.op", "config", configuration(3));
  add(Server);
  RunningFront Vm(m_Store);
  Vm.awaitReady();
  Vm.ask("/look/1");
  EXPECT_NE(Vm.metrics().find("vanillahill_"), std::string::npos);
}

} // namespace
} // namespace vanillahill::wire::fakes
