#include "front_harness.hpp"

#include "vanillahill/fleet/news.hpp"
#include "vanillahill/net/detail/stop_plan.hpp"

#include <gtest/gtest.h>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/read_until.hpp>

#include <csignal>
#include <fstream>
#include <future>

namespace vanillahill::wire::fakes {
namespace {

constexpr std::chrono::seconds Grace(2);
constexpr std::string_view GraceText = "2s";
/// A server that is silent replies after this time at last, so that a test that fails ends.
constexpr std::chrono::seconds SilentTime = 2 * Grace;

std::string longRequest(std::string_view Id) {
  std::string Text = RunningFront::request("/long/1", "POST", Id);
  return Text.replace(Text.find("700"), 3, "60000");
}

/// A configuration with the route /long/, whose timeout is far longer than grace.
std::string longConfiguration() {
  return configuration(3, "{\"resource_kind\":\"routes\",\"metadata\":{\"name\":\"long\"},"
                          "\"spec\":{\"host\":\"a.example\",\"path_prefix\":\"/long/\",\"kind\":"
                          "\"unsafe\",\"timeout\":\"60s\",\"service\":\"svc\"}},");
}

/// The log of the process, which a test writes to standard error.
class StopTest : public testing::Test {
protected:
  void requestStop(RunningFront &Vm) {
    testing::internal::CaptureStderr();
    m_RequestedAt = SystemClock().now();
    Vm.front().requestStop();
  }

  Duration elapsed() const { return SystemClock().now() - m_RequestedAt; }

  /// Waits for the end of the process and returns its last line.
  std::string awaitStopped(RunningFront &Vm) {
    Vm.awaitStopped();
    m_Took = elapsed();
    const std::string Log = testing::internal::GetCapturedStderr();
    const auto Found = Log.find("\"event\":\"stopped\"");
    return Found == std::string::npos ? "" : Log.substr(Found, Log.find('\n', Found) - Found);
  }

  /// A server that keeps the requests on /long/ without a reply.
  std::string serveSilently(const BackendRequest &Request) {
    if (Request.target() == "/long/1") {
      if (!m_HasStarted.exchange(true)) {
        m_Started.set_value();
      }
      m_EndAllowed.wait_for(SilentTime);
    }
    return PlatformServer::reply(Request, "200 OK", "whole");
  }

  ~StopTest() override { m_MayEnd.set_value(); }

  FakeStore m_Store;
  std::atomic<bool> m_HasStarted = false;
  std::promise<void> m_Started;
  std::promise<void> m_MayEnd;
  std::shared_future<void> m_EndAllowed = m_MayEnd.get_future().share();
  TimePoint m_RequestedAt{};
  Duration m_Took{};
};

TEST_F(StopTest, EndsBeforeGraceThoughAServerIsSilentAndItsRequestIsKeptUntilTheLastSixth) {
  PlatformServer Server("i-1", [this](const BackendRequest &R) { return serveSilently(R); });
  m_Store.put("keyed.op", "config", longConfiguration());
  m_Store.put("keyed.servers", "i-1", Server.record());
  RunningFront Vm(m_Store, {}, 0, Grace);
  Vm.awaitReady();
  Client Caller(Vm.callerPort());
  Caller.send(longRequest("id-1"));
  m_Started.get_future().wait();
  requestStop(Vm);
  const auto Answer = Caller.receive();
  EXPECT_GE(elapsed(), Grace * 5 / 6);
  EXPECT_EQ(Answer.result_int(), 502U) << "it may have run, so nothing may be promised";
  EXPECT_EQ(Answer.count("Retry-After"), 0U);
  EXPECT_FALSE(Answer.keep_alive());
  const std::string LastLine = awaitStopped(Vm);
  EXPECT_LT(m_Took, Grace);
  EXPECT_NE(LastLine.find("\"ended_may_have_run\":\"1\""), std::string::npos) << LastLine;
  EXPECT_NE(LastLine.find("\"cut\":\"0\""), std::string::npos) << LastLine;
}

TEST_F(StopTest, ARequestThatWasNeverSentIsAnsweredAsNotRunBeforeGrace) {
  PlatformServer Server("i-1", [this](const BackendRequest &R) { return serveSilently(R); });
  // The request that runs has the only connection; the next one waits for it.
  std::string Config = longConfiguration();
  constexpr std::string_view Limit = "\"max_connections\":50";
  Config.replace(Config.find(Limit), Limit.size(), "\"max_connections\":1");
  m_Store.put("keyed.op", "config", Config);
  m_Store.put("keyed.servers", "i-1", Server.record());
  RunningFront Vm(m_Store, {}, 0, Grace);
  Vm.awaitReady();
  Client Caller(Vm.callerPort());
  Caller.send(longRequest("id-1"));
  m_Started.get_future().wait();
  requestStop(Vm);
  Client Waiting(Vm.callerPort());
  Waiting.send(longRequest("id-2"));
  const auto Answer = Waiting.receive();
  EXPECT_EQ(Answer.result_int(), 503U);
  EXPECT_FALSE(Answer.keep_alive());
  EXPECT_EQ(Caller.receive().result_int(), 502U);
  awaitStopped(Vm);
  EXPECT_LT(m_Took, Grace);
  EXPECT_EQ(Server.served(), 1);
}

// Guards against requests that are passed on late in a stop and then cut off.
TEST_F(StopTest, ARequestThatBecomesCompleteTooLateToFinishIsRefusedUnsent) {
  PlatformServer Server("i-1", [this](const BackendRequest &R) { return serveSilently(R); });
  m_Store.put("keyed.op", "config", longConfiguration());
  m_Store.put("keyed.servers", "i-1", Server.record());
  RunningFront Vm(m_Store, {}, 0, Grace);
  Vm.awaitReady();
  std::string Text = longRequest("id-1");
  Text.replace(Text.find("Content-Length: 0"), 17, "Content-Length: 2");
  Client Caller(Vm.callerPort());
  Caller.send(Text + "a");
  // The request has begun to arrive before the stop.
  EXPECT_EQ(Vm.ask("/look/1").result_int(), 200U);
  const int ServedBefore = Server.served();
  requestStop(Vm);
  std::this_thread::sleep_for(Duration(Grace) * 7 / 10);
  Caller.send("b");
  const auto Answer = Caller.receive();
  EXPECT_EQ(Answer.result_int(), 503U);
  EXPECT_LT(elapsed(), Duration(Grace) * 5 / 6) << "what cannot be finished is refused at once";
  EXPECT_FALSE(Answer.keep_alive());
  const std::string LastLine = awaitStopped(Vm);
  EXPECT_EQ(Server.served(), ServedBefore);
  EXPECT_NE(LastLine.find("\"ended_may_have_run\":\"0\""), std::string::npos) << LastLine;
}

// Guards against servers that work on after the VM can no longer pass their reply on.
TEST_F(StopTest, AServerIsNotGivenMoreTimeThanTheStopLeaves) {
  std::atomic<int> TimeLeftMs = 0;
  PlatformServer Server("i-1", [&](const BackendRequest &Request) {
    TimeLeftMs = std::stoi(std::string(Request["Deadline-Ms"]));
    return PlatformServer::reply(Request, "200 OK", "whole");
  });
  m_Store.put("keyed.op", "config", longConfiguration());
  m_Store.put("keyed.servers", "i-1", Server.record());
  RunningFront Vm(m_Store, {}, 0, Grace);
  Vm.awaitReady();
  // Shows how long such a request takes.
  Client Caller(Vm.callerPort());
  Caller.send(longRequest("id-1"));
  EXPECT_EQ(Caller.receive().result_int(), 200U);
  EXPECT_GT(TimeLeftMs, toMillis(Grace));
  requestStop(Vm);
  Client Late(Vm.callerPort());
  Late.send(longRequest("id-2"));
  EXPECT_EQ(Late.receive().result_int(), 200U);
  EXPECT_LE(TimeLeftMs, toMillis(net::StopPlan::answerTime(Grace)));
  awaitStopped(Vm);
}

TEST_F(StopTest, FurtherSignalsChangeNothing) {
  PlatformServer Server("i-1", [this](const BackendRequest &R) { return serveSilently(R); });
  m_Store.put("keyed.op", "config", longConfiguration());
  m_Store.put("keyed.servers", "i-1", Server.record());
  const std::string Path = testing::TempDir() + "stop-settings.json";
  std::ofstream(Path) << settingsText("127.0.0.1", GraceText);
  RunningFront Vm(m_Store, Path, 0, Grace);
  Vm.awaitReady();
  Client Caller(Vm.callerPort());
  Caller.send(longRequest("id-1"));
  m_Started.get_future().wait();
  requestStop(Vm);
  Vm.awaitReadiness(503);
  std::ofstream(Path) << settingsText("127.0.0.1", "600s");
  for (const int Signal : {SIGHUP, SIGTERM, SIGINT}) {
    std::raise(Signal);
  }
  EXPECT_EQ(Caller.receive().result_int(), 502U);
  EXPECT_GE(elapsed(), Grace * 5 / 6);
  awaitStopped(Vm);
  EXPECT_LT(m_Took, Grace);
}

TEST_F(StopTest, EndsBeforeGraceThoughACallerDoesNotReadItsAnswer) {
  constexpr std::size_t MoreThanSocketsBuffer = 16UL << 20U;
  PlatformServer Server("i-1", [this](const BackendRequest &Request) {
    m_Started.set_value();
    return PlatformServer::reply(Request, "200 OK", std::string(MoreThanSocketsBuffer, 'x'));
  });
  m_Store.put("keyed.op", "config", longConfiguration());
  m_Store.put("keyed.servers", "i-1", Server.record());
  RunningFront Vm(m_Store, {}, 0, Grace);
  Vm.awaitReady();
  Client Caller(Vm.callerPort());
  Caller.send(longRequest("id-1"));
  m_Started.get_future().wait();
  requestStop(Vm);
  const std::string LastLine = awaitStopped(Vm);
  EXPECT_LT(m_Took, Grace);
  EXPECT_NE(LastLine.find("\"connections_closed\":\"1\""), std::string::npos) << LastLine;
}

TEST_F(StopTest, EndsBeforeGraceThoughASnapshotIsBeingFetched) {
  m_Store.setFault(StoreFault::SendsNoAnswer);
  // Another VM: it says that it has a catalog, accepts the fetch and never replies.
  net::fakes::asio::io_context Io;
  boost::asio::ip::tcp::acceptor OtherVm(
      Io, boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.2"), 0));
  const std::uint16_t Port = OtherVm.local_endpoint().port();
  boost::asio::ip::udp::socket Datagrams(Io, {boost::asio::ip::make_address("127.0.0.2"), Port});
  RunningFront Vm(m_Store, {}, Port, Grace);
  fleet::Hello Greeting;
  Greeting.m_Sender = {.m_DataCenter = "dc1", .m_HasCatalog = true};
  Datagrams.send_to(boost::asio::buffer(fleet::encodeNews(Greeting)),
                    {boost::asio::ip::make_address("127.0.0.1"), Port});
  boost::asio::ip::tcp::socket Fetch(Io);
  OtherVm.accept(Fetch);
  std::string Request;
  boost::asio::read_until(Fetch, boost::asio::dynamic_buffer(Request), "\r\n\r\n");
  requestStop(Vm);
  const std::string LastLine = awaitStopped(Vm);
  EXPECT_LT(m_Took, Grace);
  EXPECT_NE(LastLine.find("\"cut\":\"0\""), std::string::npos) << LastLine;
}

} // namespace
} // namespace vanillahill::wire::fakes
