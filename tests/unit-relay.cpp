#include "vanillahill/relay/control.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace vanillahill::relay {
namespace {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// A relay on its own thread, with one link to a listening socket of the test.
class RelayTest : public testing::Test {
protected:
  RelayTest() : m_Target(m_Io, {boost::asio::ip::address_v4::loopback(), 0}) {
    const std::string Target = "127.0.0.1:" + std::to_string(m_Target.local_endpoint().port());
    m_Listen = m_Relay.open({.m_Listen = "127.0.0.1:0", .m_Target = Target}).value();
    m_Control = m_Server.open("127.0.0.1:0").value();
    m_Thread = std::thread([this] { m_RelayIo.run(); });
  }
  ~RelayTest() override {
    m_RelayIo.stop();
    m_Thread.join();
  }

  Tcp::socket dial(const std::string &Address) {
    const auto Port = static_cast<std::uint16_t>(std::stoi(Address.substr(Address.rfind(':') + 1)));
    Tcp::socket Out(m_Io);
    Out.connect({boost::asio::ip::address_v4::loopback(), Port});
    return Out;
  }

  /// \brief Sends a control call. \return the whole answer
  std::string call(const std::string &Start, const std::string &Body) {
    Tcp::socket Socket = dial(m_Control);
    const std::string Text =
        Start + " HTTP/1.1\r\nHost: relay\r\nContent-Length: " + std::to_string(Body.size()) +
        "\r\n\r\n" + Body;
    boost::asio::write(Socket, boost::asio::buffer(Text));
    std::string Out;
    ErrorCode Code;
    boost::asio::read(Socket, boost::asio::dynamic_buffer(Out), Code);
    return Out;
  }

  /// \brief Changes the link. \param Fields further JSON fields, such as `"cut":true`
  void fault(const std::string &Fields) {
    const std::string Answer =
        call("PUT /fault", R"({"links":[{"listen":")" + m_Listen + "\"," + Fields + "}]}");
    ASSERT_NE(Answer.find("200 OK"), std::string::npos) << Answer;
  }

  static std::string read(Tcp::socket &From, std::size_t Size) {
    std::string Out(Size, ' ');
    boost::asio::read(From, boost::asio::buffer(Out));
    return Out;
  }

  boost::asio::io_context m_Io;
  Tcp::acceptor m_Target;
  boost::asio::io_context m_RelayIo{1};
  Relay m_Relay{m_RelayIo};
  Control m_Server{m_RelayIo, m_Relay};
  std::string m_Listen;
  std::string m_Control;
  std::thread m_Thread;
};

TEST_F(RelayTest, BytesPassBothWaysInOrderAndEndsAreKept) {
  fault(R"("delay_us":1000)");
  Tcp::socket Client = dial(m_Listen);
  Tcp::socket Server = m_Target.accept();
  std::string Sent;
  for (int Number = 0; Number < 2000; ++Number) {
    Sent += std::to_string(Number) + ' ';
  }
  const TimePoint Start = SystemClock{}.now();
  boost::asio::write(Client, boost::asio::buffer(Sent));
  EXPECT_EQ(read(Server, Sent.size()), Sent);
  // Only a lower bound: it holds on a machine of any speed.
  EXPECT_GE(SystemClock{}.now() - Start, std::chrono::microseconds(1000));
  boost::asio::write(Server, boost::asio::buffer("reply", 5));
  EXPECT_EQ(read(Client, 5), "reply");
  Client.shutdown(Tcp::socket::shutdown_send);
  ErrorCode Code;
  char Byte = 0;
  Server.read_some(boost::asio::buffer(&Byte, 1), Code);
  EXPECT_EQ(Code, boost::asio::error::eof);
}

TEST_F(RelayTest, CutResetsOldAndNewConnectionsUntilHealed) {
  Tcp::socket Client = dial(m_Listen);
  Tcp::socket Server = m_Target.accept();
  boost::asio::write(Client, boost::asio::buffer("x", 1));
  EXPECT_EQ(read(Server, 1), "x");
  fault(R"("cut":true)");
  ErrorCode Code;
  char Byte = 0;
  Client.read_some(boost::asio::buffer(&Byte, 1), Code);
  EXPECT_EQ(Code, boost::asio::error::connection_reset);
  Tcp::socket Refused = dial(m_Listen);
  Refused.read_some(boost::asio::buffer(&Byte, 1), Code);
  EXPECT_EQ(Code, boost::asio::error::connection_reset);
  fault(R"("cut":false)");
  Tcp::socket Healed = dial(m_Listen);
  Tcp::socket Again = m_Target.accept();
  boost::asio::write(Healed, boost::asio::buffer("y", 1));
  EXPECT_EQ(read(Again, 1), "y");
}

TEST_F(RelayTest, CutOfOneAddressLeavesOthers) {
  fault(R"("from":"127.0.0.9","cut":true)");
  Tcp::socket Client = dial(m_Listen);
  Tcp::socket Server = m_Target.accept();
  boost::asio::write(Client, boost::asio::buffer("x", 1));
  EXPECT_EQ(read(Server, 1), "x");
  Tcp::socket Cut(m_Io);
  Cut.open(Tcp::v4());
  Cut.bind({boost::asio::ip::make_address("127.0.0.9"), 0});
  Cut.connect({boost::asio::ip::address_v4::loopback(),
               static_cast<std::uint16_t>(std::stoi(m_Listen.substr(m_Listen.rfind(':') + 1)))});
  ErrorCode Code;
  char Byte = 0;
  Cut.read_some(boost::asio::buffer(&Byte, 1), Code);
  EXPECT_EQ(Code, boost::asio::error::connection_reset);
}

TEST_F(RelayTest, FrozenBytesArriveAfterHealing) {
  Tcp::socket Client = dial(m_Listen);
  Tcp::socket Server = m_Target.accept();
  boost::asio::write(Client, boost::asio::buffer("a", 1));
  EXPECT_EQ(read(Server, 1), "a");
  fault(R"("freeze":true)");
  boost::asio::write(Client, boost::asio::buffer("b", 1));
  EXPECT_NE(call("GET /status", "").find(R"("open":1)"), std::string::npos);
  Server.non_blocking(true);
  char Byte = 0;
  ErrorCode Code;
  Server.read_some(boost::asio::buffer(&Byte, 1), Code);
  EXPECT_EQ(Code, boost::asio::error::would_block);
  Server.non_blocking(false);
  fault(R"("freeze":false)");
  EXPECT_EQ(read(Server, 1), "b");
}

TEST_F(RelayTest, BadCallsAreRefusedWithTheirPlace) {
  EXPECT_NE(call("PUT /fault", "{").find("400"), std::string::npos);
  EXPECT_NE(call("PUT /nowhere", "").find("404"), std::string::npos);
  const std::string Unknown = R"({"links":[{"listen":"127.0.0.1:1","cut":true}]})";
  EXPECT_NE(call("PUT /fault", Unknown).find("no link listens there"), std::string::npos);
}

TEST(RelayRules, ErrorsNameThePointerAndWhatIsAllowed) {
  const auto Detail = [](const char *Text) { return parseFaults(Text).error().m_Detail; };
  EXPECT_EQ(Detail(R"({"links":[{"listen":"a:1"},{"cut":true}]})"),
            "/links/1/listen: expected IP:port");
  EXPECT_EQ(Detail(R"({"links":[{"listen":"a:1","cut":1}]})"),
            "/links/0/cut: expected true or false, found 1");
  EXPECT_EQ(Detail(R"({"links":[{"listen":"a:1","delay_us":-5}]})"),
            "/links/0/delay_us: expected microseconds from 0 to 60000000, found -5");
  EXPECT_EQ(Detail(R"({"links":[{"listen":"a:1","cot":true}]})"),
            "/links/0: has a field that is not known");
  EXPECT_EQ(parseLinks(R"({"links":[{"listen":"a:1"}]})").error().m_Detail,
            "/links/0/target: expected IP:port");
}

TEST(RelayRules, ChangeForAllOverridesSingleAddresses) {
  RuleTable Table(Rules{.m_Delay = std::chrono::milliseconds(1)});
  Table.apply(
      {.m_Listen = "", .m_From = "127.0.0.2", .m_Delay = {}, .m_Cut = true, .m_Freeze = {}});
  EXPECT_TRUE(Table.of("127.0.0.2").m_Cut);
  EXPECT_EQ(Table.of("127.0.0.2").m_Delay, std::chrono::milliseconds(1));
  EXPECT_FALSE(Table.of("127.0.0.3").m_Cut);
  Table.apply({.m_Listen = "", .m_From = "", .m_Delay = {}, .m_Cut = false, .m_Freeze = {}});
  EXPECT_FALSE(Table.of("127.0.0.2").m_Cut);
}

} // namespace
} // namespace vanillahill::relay
