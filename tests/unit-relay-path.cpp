#include "front_harness.hpp"

#include "dialect.hpp"
#include "event_inbox.hpp"

#include "vanillahill/net/detail/backend_pool.hpp"

#include <gtest/gtest.h>

namespace vanillahill::wire::fakes {
namespace {

using kernel::AttemptEnded;
using kernel::AttemptResult;
using net::fakes::EventInbox;
using net::fakes::IoThread;

const ServerId Helper = kernel::helperId("127.0.0.1");

/// One VM passes requests on to another one, which has the servers.
class RelayPath : public testing::Test {
protected:
  void SetUp() override {
    m_Store.put("keyed.op", "config", configuration(1));
    m_Store.put("keyed.servers", "i-1", m_Server.record());
  }

  void startHelper() {
    const std::uint16_t RelayPort = freePort();
    m_Front.emplace(m_Store, "", 0, RunningFront::ShortGrace, RelayPort);
    m_Front->awaitReady();
    const kernel::HelperVm Vm{.m_Id = Helper,
                              .m_Name = "127.0.0.1",
                              .m_Address = "127.0.0.1:" + std::to_string(RelayPort)};
    m_Pool->setHelpers({&Vm, 1});
  }

  AttemptEnded passOn(net::http::verb Method, std::string_view Path) {
    auto Request = std::make_shared<net::CallerRequest>();
    Request->m_CallerId = "id-7";
    Request->m_Message = {Method, net::beast::string_view(Path.data(), Path.size()), 11};
    Request->m_Message.set(net::http::field::host, "a.example");
    Request->m_Message.set("Request-Id", "id-7");
    Request->m_Message.prepare_payload();
    m_Pool->dispatch({.m_Attempt = AttemptId{++m_LastAttempt},
                      .m_Server = Helper,
                      .m_Deadline = SystemClock().now() + std::chrono::milliseconds(800)},
                     std::move(Request));
    return m_Inbox.next<AttemptEnded>();
  }

  ~RelayPath() override {
    m_Pool->close();
    m_Io.stop();
  }

  static std::uint16_t freePort() {
    net::asio::io_context Io;
    const net::asio::ip::tcp::acceptor Free(
        Io, {net::asio::ip::make_address("127.0.0.1"), std::uint16_t{0}});
    return Free.local_endpoint().port();
  }

  std::function<std::string(const BackendRequest &)> m_Reply = [](const BackendRequest &Request) {
    return PlatformServer::reply(Request, "200 OK", "whole");
  };
  PlatformServer m_Server{"i-1",
                          [this](const BackendRequest &Request) { return m_Reply(Request); }};
  FakeStore m_Store;
  std::optional<RunningFront> m_Front;
  observe::Metrics m_Metrics;
  EventInbox m_Inbox;
  IoThread m_Io;
  std::uint64_t m_LastAttempt = 0;
  std::shared_ptr<net::BackendPool> m_Pool =
      std::make_shared<net::BackendPool>(m_Io.io(), "n2", m_Inbox.sink(), m_Metrics,
                                         net::BackendPoolOptions{.m_Dialect = &platformDialect()});
};

TEST_F(RelayPath, TheReplyOfTheServerComesBackWholeAndSigned) {
  startHelper();
  const auto End = passOn(net::http::verb::get, "/look/1");
  ASSERT_EQ(End.m_Result, AttemptResult::Completed);
  EXPECT_EQ(End.m_Reply->m_Status, 200U);
  EXPECT_EQ(End.m_Reply->m_Body, "whole");
  const auto IsSignature = [](const ReplyHeader &Each) {
    return Each.m_Name == "Response-Signature" && Each.m_Value == "sig";
  };
  EXPECT_TRUE(
      std::any_of(End.m_Reply->m_Headers.begin(), End.m_Reply->m_Headers.end(), IsSignature));
  EXPECT_EQ(m_Server.served(), 1);
}

TEST_F(RelayPath, ARefusalOfTheOtherVmIsKnownNotToHaveRun) {
  startHelper();
  EXPECT_EQ(passOn(net::http::verb::get, "/nothing/1").m_Result, AttemptResult::NotRun);
  EXPECT_EQ(m_Server.served(), 0);
}

TEST_F(RelayPath, ALostReplyIsNotTakenForARefusal) {
  m_Reply = [](const BackendRequest &) { return std::string(); };
  startHelper();
  EXPECT_EQ(passOn(net::http::verb::post, "/post/1").m_Result, AttemptResult::Unknown);
}

TEST_F(RelayPath, CallersAreToldNothingOfRelays) {
  startHelper();
  EXPECT_EQ(m_Front->ask("/nothing/1").count(net::RelayOutcomeHeader), 0U);
}

} // namespace
} // namespace vanillahill::wire::fakes
