#include "event_inbox.hpp"
#include "net_fakes.hpp"

#include "vanillahill/net/detail/caller_server.hpp"

#include <gtest/gtest.h>

namespace vanillahill::net::fakes {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view LookRequest = "GET /desk/look/1 HTTP/1.1\r\nHost: vh\r\n\r\n";
constexpr milliseconds IdleTimeout(120);

/// Runs a caller server in the test's own thread, which can be kept busy.
class CallerIdleTest : public testing::Test {
protected:
  CallerIdleTest() {
    SiteSettings Site = deskSettings({});
    Site.m_Callers.m_Timeout = milliseconds(40);
    Site.m_Callers.m_IdleTimeout = IdleTimeout;
    m_Server->applySettings(Site);
    m_Server->start();
  }

  ~CallerIdleTest() override {
    m_Server->close();
    m_Io.run_for(milliseconds(5));
  }

  /// Keeps the thread busy from now on until the idle timeout of the connection is over. The check
  /// of timeouts is due by then; a request arrives meanwhile.
  void stallWhileARequestArrives(Client &Caller, TimePoint IdleSince) {
    Timer Stall(asio::make_strand(m_Io), SystemClock().now());
    Stall.async_wait([&](ErrorCode) {
      Caller.send(LookRequest);
      std::this_thread::sleep_until(IdleSince + IdleTimeout + milliseconds(20));
    });
    std::this_thread::sleep_for(milliseconds(20));
    m_Io.poll();
  }

  asio::io_context m_Io{1};
  observe::Metrics m_Metrics;
  std::size_t m_Arrived = 0;
  std::shared_ptr<CallerServer> m_Server = std::make_shared<CallerServer>(
      m_Io, listenOn(m_Io, "127.0.0.1:0").value(),
      [this](const kernel::Event &Input) {
        m_Arrived += std::holds_alternative<kernel::RequestArrived>(Input) ? 1 : 0;
      },
      m_Metrics);
};

/// A small VM that was busy with a configuration looked at its timeouts before it read its sockets,
/// and closed connections with a request in them.
TEST_F(CallerIdleTest, ARequestThatArrivedBeforeTheIdleTimeoutIsRead) {
  Client Caller(m_Server->port());
  const TimePoint IdleSince = SystemClock().now();
  m_Io.run_for(milliseconds(30));
  stallWhileARequestArrives(Caller, IdleSince);
  m_Io.run_for(milliseconds(20));
  EXPECT_EQ(m_Arrived, 1U);
}

TEST_F(CallerIdleTest, AStopReadsARequestThatArrivedBefore) {
  Client Caller(m_Server->port());
  m_Io.run_for(milliseconds(20));
  Caller.send(LookRequest);
  m_Server->close();
  m_Io.run_for(milliseconds(20));
  EXPECT_EQ(m_Arrived, 1U);
}

TEST_F(CallerIdleTest, AConnectionWithoutARequestIsClosed) {
  Client Caller(m_Server->port());
  m_Io.run_for(IdleTimeout + milliseconds(60));
  EXPECT_EQ(m_Arrived, 0U);
  Caller.awaitEnd();
}

} // namespace
} // namespace vanillahill::net::fakes
