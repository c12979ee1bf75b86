#include "event_inbox.hpp"
#include "net_fakes.hpp"

#include "dialect.hpp"
#include "vanillahill/fleet/catalog.hpp"
#include "vanillahill/net/detail/caller_server.hpp"

#include <gtest/gtest.h>

#include <map>

namespace vanillahill::net::fakes {
namespace {

using kernel::RequestArrived;

constexpr std::string_view LookRequest = "GET /look/1 HTTP/1.1\r\nHost: a.example\r\n\r\n";
const TimePoint Start = TimePoint{} + std::chrono::hours(1);

fleet::ServerEntry entry(std::size_t Index) {
  return {.m_Id = "s" + std::to_string(Index),
          .m_Service = Index % 2 == 0 ? "desk" : "view",
          .m_Address = "10.0.0.1:80",
          .m_DataCenter = "dc",
          .m_BornMillis = 1000,
          .m_Sequence = 1};
}

/// A configuration whose only route is split between two services.
fleet::Configuration configuration(std::uint64_t Version, std::string Prefix = "/look/") {
  fleet::Configuration Made{.m_Version = Version};
  Made.m_Services = {{.m_Name = "desk"}, {.m_Name = "view"}};
  Made.m_Routes = {{.m_Name = "look",
                    .m_Host = "a.example",
                    .m_PathPrefix = std::move(Prefix),
                    .m_Timeout = std::chrono::seconds(1),
                    .m_Shares = {{.m_Service = "desk"}, {.m_Service = "view"}}}};
  return Made;
}

/// Runs a caller server with the settings of a catalog; the test takes the place of the kernel.
class ServerChange : public testing::Test {
protected:
  ServerChange() {
    m_Catalog.apply(configuration(1));
    addServer();
    m_Server->start();
  }

  ~ServerChange() override {
    m_Server->close();
    m_Io.stop();
  }

  /// Settings after one more server has described itself.
  void addServer() {
    m_Catalog.apply(entry(m_Servers++), Start);
    m_Server->applySettings(*m_Catalog.settings());
  }

  /// Sends a request and answers it; returns the service that was chosen for it.
  ServiceId chosenService(Client &Caller) {
    Caller.send(LookRequest);
    const auto Request = m_Inbox.next<RequestArrived>();
    kernel::Answer Answer{.m_Request = Request.m_Request,
                          .m_Outcome = kernel::Outcome::Completed,
                          .m_Reply = std::make_shared<Reply>(Reply{})};
    m_Server->answer(Answer);
    Caller.receive();
    return Request.m_Service;
  }

  fleet::Catalog m_Catalog;
  std::size_t m_Servers = 0;
  observe::Metrics m_Metrics;
  EventInbox m_Inbox;
  IoThread m_Io;
  std::shared_ptr<CallerServer> m_Server =
      std::make_shared<CallerServer>(m_Io.io(), listenOn(m_Io.io(), "127.0.0.1:0").value(),
                                     m_Inbox.sink(), m_Metrics, wire::platformDialect());
};

TEST_F(ServerChange, DoesNotSkewTheTrafficSplit) {
  Client Caller(m_Server->port());
  std::map<ServiceId, int> Chosen;
  for (int Request = 0; Request < 40; ++Request) {
    ++Chosen[chosenService(Caller)];
    addServer();
  }
  ASSERT_EQ(Chosen.size(), 2U) << "one service got all requests";
  EXPECT_NEAR(Chosen.begin()->second, 20, 2);
}

TEST_F(ServerChange, NewConfigurationReplacesTheRoutes) {
  Client Caller(m_Server->port());
  chosenService(Caller);
  m_Catalog.apply(configuration(2, "/other/"));
  addServer();
  EXPECT_EQ(Caller.ask(LookRequest).result_int(), 404U);
}

TEST_F(ServerChange, KindsAndRoutesAreNotBuiltAgain) {
  const auto Before = m_Catalog.settings();
  addServer();
  const auto After = m_Catalog.settings();
  EXPECT_EQ(&After->m_Routes.front(), &Before->m_Routes.front());
  EXPECT_EQ(&After->m_Services.front().m_Kinds.front(),
            &Before->m_Services.front().m_Kinds.front());
  EXPECT_EQ(After->m_Services.back().m_Servers.size(),
            Before->m_Services.back().m_Servers.size() + 1);
}

} // namespace
} // namespace vanillahill::net::fakes
