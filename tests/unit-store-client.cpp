#include "store_client.hpp"
#include "store_fake.hpp"

#include <gtest/gtest.h>

namespace vanillahill::wire::fakes {
namespace {

using net::asio::ip::tcp;
using std::chrono::milliseconds;

/// A store behind a slow link: it sends each answer in pieces with a pause after each one.
class SlowStore {
public:
  SlowStore(std::string Answer, std::size_t Pieces, milliseconds Pause)
      : m_Answer(std::move(Answer)), m_Pieces(Pieces), m_Pause(Pause),
        m_Acceptor(m_Io, net::fakes::loopback(0)), m_Thread([this] { serve(); }) {}

  ~SlowStore() {
    m_IsStopping = true;
    boost::system::error_code Ignored;
    tcp::socket Waker(m_Io);
    Waker.connect(net::fakes::loopback(port()), Ignored);
    m_Thread.join();
  }
  SlowStore(const SlowStore &) = delete;
  SlowStore &operator=(const SlowStore &) = delete;

  std::uint16_t port() const { return m_Acceptor.local_endpoint().port(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

private:
  void serve() {
    while (!m_IsStopping) {
      boost::system::error_code Failure;
      tcp::socket Stream(m_Io);
      m_Acceptor.accept(Stream, Failure);
      if (m_IsStopping) {
        return;
      }
      boost::beast::flat_buffer Buffer;
      net::fakes::BackendRequest Request;
      net::http::read(Stream, Buffer, Request, Failure);
      const std::size_t PieceBytes = m_Answer.size() / m_Pieces + 1;
      for (std::size_t At = 0; At < m_Answer.size() && !Failure && !m_IsStopping;
           At += PieceBytes) {
        const std::string_view Piece = std::string_view(m_Answer).substr(At, PieceBytes);
        net::asio::write(Stream, net::asio::buffer(Piece.data(), Piece.size()), Failure);
        std::this_thread::sleep_for(m_Pause);
      }
    }
  }

  const std::string m_Answer;
  const std::size_t m_Pieces;
  const milliseconds m_Pause;
  std::atomic<bool> m_IsStopping = false;
  net::asio::io_context m_Io;
  tcp::acceptor m_Acceptor;
  std::thread m_Thread;
};

/// The answer to a read: one configuration record of the given size.
std::string largeAnswer(std::size_t ValueBytes, std::uint64_t End = 1) {
  const std::string Key = "config";
  const std::string Raw =
      std::string(1, static_cast<char>(Key.size())) + Key + std::string(ValueBytes, 'x');
  const std::string Body = encodeBigEndian<std::uint64_t>(End) + encodeBigEndian<std::uint64_t>(0) +
                           encodeBigEndian(static_cast<std::uint32_t>(Raw.size())) + Raw;
  return formatReply("200 OK", Body);
}

StoreResult readStore(const std::string &Address, fleet::Stream Source,
                      std::optional<std::uint64_t> From) {
  net::asio::io_context Io{1};
  const auto Store = std::make_shared<StoreClient>(Io, Address);
  std::optional<StoreResult> Result;
  Store->readStream(Source, From, Duration::zero(), nullptr, [&](StoreResult Read) {
    Result.emplace(std::move(Read));
    Store->close();
  });
  Io.run();
  return std::move(*Result);
}

StoreResult readConfiguration(const std::string &Address) {
  return readStore(Address, fleet::Stream::Configuration, 0);
}

/// A configuration of thousands of routes takes longer than a second on a link of 10 Mbit/s. Reads
/// of it were dropped after a fixed time and repeated from the start, so that they never ended.
TEST(StoreClient, ALargeRecordThatKeepsArrivingIsReadToItsEnd) {
  constexpr std::size_t ValueBytes = 400000;
  const SlowStore Store(largeAnswer(ValueBytes), 24, milliseconds(50));
  const StoreResult Read = readConfiguration(Store.address());
  ASSERT_TRUE(Read) << Read.error().m_Error.m_Detail;
  ASSERT_EQ(Read->m_Records.size(), 1U);
  EXPECT_EQ(Read->m_Records[0].m_Value->size(), ValueBytes);
}

/// The store leaves out records beyond the limit of a read. The VM took the end of the stream for
/// its position and never read them.
/// The store may hold a read for longer than a call without any byte may last otherwise.
TEST(StoreClient, AReadThatTheStoreHoldsIsNoFailure) {
  const auto SentAt = SystemClock().now();
  net::fakes::Backend Store([](const net::fakes::BackendRequest &Request) {
    EXPECT_NE(Request.target().find("wait_ms=1000"), std::string::npos) << Request.target();
    std::this_thread::sleep_for(milliseconds(900));
    return largeAnswer(10);
  });
  net::asio::io_context Io{1};
  const auto Client =
      std::make_shared<StoreClient>(Io, "127.0.0.1:" + std::to_string(Store.port()));
  std::optional<StoreResult> Result;
  std::optional<fleet::Position> BegunTo;
  Client->readStream(
      fleet::Stream::Configuration, 0, std::chrono::seconds(1),
      [&](const fleet::Position &To, std::uint64_t, Duration) { BegunTo = To; },
      [&](StoreResult Read) {
        Result.emplace(std::move(Read));
        Client->close();
      });
  Io.run();
  ASSERT_TRUE(Result && *Result);
  EXPECT_GE((*Result)->m_AnsweredAfter, milliseconds(900));
  EXPECT_LE((*Result)->m_AnsweredAfter, SystemClock().now() - SentAt);
  ASSERT_TRUE(BegunTo);
  EXPECT_EQ(BegunTo->m_Offset, 1U);
}

TEST(StoreClient, RecordsBehindTheLimitOfAReadAreNotSkipped) {
  const SlowStore Store(largeAnswer(1000, 3), 1, milliseconds(0));
  const StoreResult Read = readConfiguration(Store.address());
  ASSERT_FALSE(Read);
  EXPECT_TRUE(Read.error().m_IsPositionLost) << "a listing follows";
}

TEST(StoreClient, AnAnswerThatStopsArrivingFails) {
  const SlowStore Store(largeAnswer(1000), 2, milliseconds(1500));
  const StoreResult Read = readConfiguration(Store.address());
  ASSERT_FALSE(Read);
  EXPECT_FALSE(Read.error().m_IsPositionLost);
  EXPECT_NE(Read.error().m_Error.m_Detail.find("no answer in time"), std::string::npos);
}

/// Without the era, an offset that was given out again names another record than before.
TEST(StoreClient, EveryKindOfAnswerTellsTheErasNumber) {
  FakeStore Store;
  for (const char *Key : {"s1", "s2", "s3", "s4"}) {
    Store.put("keyed.servers", Key, "x");
  }
  const auto Before = readStore(Store.address(), fleet::Stream::Servers, 0);
  ASSERT_TRUE(Before);
  EXPECT_EQ(Before->m_To, (fleet::Position{.m_Era = 0, .m_Offset = 4})) << "no header";
  Store.returnFromCopy("keyed.servers", 1);
  const auto Records = readStore(Store.address(), fleet::Stream::Servers, 0);
  ASSERT_TRUE(Records);
  EXPECT_EQ(Records->m_To, (fleet::Position{.m_Era = 1, .m_Offset = 3}));
  const auto Listing = readStore(Store.address(), fleet::Stream::Servers, std::nullopt);
  ASSERT_TRUE(Listing);
  EXPECT_EQ(Listing->m_To, (fleet::Position{.m_Era = 1, .m_Offset = 3}));
  EXPECT_EQ(Listing->m_Records.size(), 3U);
  const auto Lost = readStore(Store.address(), fleet::Stream::Servers, 4);
  ASSERT_FALSE(Lost);
  EXPECT_TRUE(Lost.error().m_IsPositionLost);
  EXPECT_EQ(Lost.error().m_Era, 1U);
  Store.setFault(StoreFault::Answers503);
  const auto Refused = readStore(Store.address(), fleet::Stream::Servers, 0);
  ASSERT_FALSE(Refused);
  EXPECT_EQ(Refused.error().m_Era, 1U);
}

/// An era that can't be read must not count as an earlier one.
TEST(StoreClient, AnAnswerWithAMalformedEraIsRefused) {
  FakeStore Store;
  Store.put("keyed.servers", "s1", "x");
  Store.setEraText("2x");
  const auto Read = readStore(Store.address(), fleet::Stream::Servers, 0);
  ASSERT_FALSE(Read);
  EXPECT_EQ(Read.error().m_Error.m_Code, Errc::RecordMalformed);
}

} // namespace
} // namespace vanillahill::wire::fakes
