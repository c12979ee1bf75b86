#include "vanillahill/peer/codec.hpp"
#include "vanillahill/peer/link.hpp"
#include "vanillahill/relay/relay.hpp"

#include "../src/peer/frame_reader.hpp"
#include "../src/peer/h2_session.hpp"
#include "../src/peer/send_queue.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <numeric>
#include <thread>

namespace vanillahill::peer {
namespace {

using Tcp = boost::asio::ip::tcp;
using Bytes = std::vector<std::uint8_t>;

/// Maximum wait for an expected event; a test that reaches it fails.
constexpr auto MaxWait = std::chrono::seconds(30);

/// Runs an io_context on several threads.
class Workers {
public:
  Workers() {
    for (int Index = 0; Index < 3; ++Index) {
      m_Threads.emplace_back([this] { m_Io.run(); });
    }
  }
  ~Workers() {
    m_Io.stop();
    for (std::thread &One : m_Threads) {
      One.join();
    }
  }
  boost::asio::io_context m_Io;

private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_Guard{
      m_Io.get_executor()};
  std::vector<std::thread> m_Threads;
};

/// Records the callbacks of one VM. They may still run shortly after the VM's object is destroyed.
class EventRecorder {
public:
  template <typename F> void record(F Change) {
    const std::lock_guard Guard(m_Lock);
    Change(*this);
    m_Changed.notify_all();
  }
  /// \brief Waits until the recorded events satisfy a condition.
  template <typename F> bool await(F Condition) {
    std::unique_lock Guard(m_Lock);
    return m_Changed.wait_for(Guard, MaxWait, [&] { return Condition(*this); });
  }

  std::map<VmId, std::vector<std::uint64_t>> m_Queries;
  std::map<VmId, int> m_Opened;
  std::vector<Error> m_Problems;

private:
  std::mutex m_Lock;
  std::condition_variable m_Changed;
};

PeerLinksOptions recordingOptions(const std::shared_ptr<EventRecorder> &Seen) {
  PeerLinksOptions Out;
  Out.m_OnMessage = [Seen](VmId From, const Message &Value) {
    if (const auto *Query = std::get_if<KeyQuery>(&Value)) {
      Seen->record([&](EventRecorder &To) { To.m_Queries[From].push_back(Query->m_Query); });
    }
  };
  Out.m_OnOpen = [Seen](VmId To) { Seen->record([&](EventRecorder &Now) { ++Now.m_Opened[To]; }); };
  Out.m_OnProblem = [Seen](const Error &Value) {
    Seen->record([&](EventRecorder &To) { To.m_Problems.push_back(Value); });
  };
  Out.m_MaxFrameBytes = 65536;
  return Out;
}

/// One VM of a test.
class Vm {
public:
  Vm(Workers &Threads, std::string Name, std::string Token = "secret", std::uint16_t Port = 0,
     Duration IdleTimeout = MaxWait)
      : m_Name(std::move(Name)),
        m_Links(Threads.m_Io, options(std::move(Token), Port, IdleTimeout)) {}

  kernel::VmEntry entry() const {
    return {.m_Name = m_Name,
            .m_PeerAddress = "127.0.0.1:" + std::to_string(m_Links.port()),
            .m_DataCenter = "eros"};
  }
  VmId id() const { return idOf<VmId>(m_Name); }
  void query(const Vm &To, std::uint64_t Number) {
    m_Links.send(To.id(), KeyQuery{.m_Query = Number, .m_Key = "k"});
  }
  bool awaitOpen(const Vm &To, int Times = 1) {
    return m_Seen->await([&](EventRecorder &Now) { return Now.m_Opened[To.id()] >= Times; });
  }
  bool awaitProblem(Errc Code) {
    return m_Seen->await([&](const EventRecorder &Now) {
      return std::ranges::count(Now.m_Problems, make_error_code(Code), &Error::m_Code) > 0;
    });
  }
  bool awaitQueries(VmId From, std::size_t Count) {
    return m_Seen->await([&](EventRecorder &Now) { return Now.m_Queries[From].size() >= Count; });
  }
  std::vector<std::uint64_t> queries(const Vm &From) {
    std::vector<std::uint64_t> Out;
    m_Seen->record([&](EventRecorder &Now) { Out = Now.m_Queries[From.id()]; });
    return Out;
  }
  LinkCounters counters() const { return m_Links.counters(); }

private:
  PeerLinksOptions options(std::string Token, std::uint16_t Port, Duration IdleTimeout) const {
    PeerLinksOptions Out = recordingOptions(m_Seen);
    Out.m_SelfName = m_Name;
    Out.m_PeerAddress = "127.0.0.1:" + std::to_string(Port);
    Out.m_PeerToken = std::move(Token);
    Out.m_IdleTimeout = IdleTimeout;
    return Out;
  }

  std::shared_ptr<EventRecorder> m_Seen = std::make_shared<EventRecorder>();
  std::string m_Name;

public:
  PeerLinks m_Links;
};

void connectAll(std::initializer_list<Vm *> Vms) {
  std::vector<kernel::VmEntry> Entries;
  for (const Vm *One : Vms) {
    Entries.push_back(One->entry());
  }
  for (Vm *One : Vms) {
    One->m_Links.connect(Entries);
  }
}

std::vector<std::uint64_t> numbersBelow(std::uint64_t Count) {
  std::vector<std::uint64_t> Out(Count);
  std::iota(Out.begin(), Out.end(), 0);
  return Out;
}

/// A peer that sends arbitrary frames chosen by a test.
class RawPeer {
public:
  RawPeer(const Vm &To, const std::string &Name, const std::string &Token = "secret")
      : m_Session(H2Session::connecting(
            {Name, Token}, {.m_OnOpen = [] {}, .m_OnData = [](std::span<const std::uint8_t>) {}})) {
    m_Socket.connect({boost::asio::ip::address_v4::loopback(), To.m_Links.port()});
    m_Socket.set_option(Tcp::no_delay(true));
    write();
    while (m_Session.state() == StreamState::Opening && read()) {
      write();
    }
  }
  StreamState state() const { return m_Session.state(); }
  void sendFrame(const Bytes &Frame, std::size_t ClaimedSize) {
    m_Session.send(framePrefix(ClaimedSize));
    m_Session.send(Frame);
    write();
  }
  void close() { m_Socket.close(); }
  /// \brief Reads until the other end closes.
  void awaitClose() {
    while (read()) {
    }
  }

private:
  void write() {
    Bytes Out;
    m_Session.collectOutput(Out);
    boost::system::error_code Ignored;
    boost::asio::write(m_Socket, boost::asio::buffer(Out), Ignored);
  }
  bool read() {
    Bytes In(4096);
    boost::system::error_code Code;
    In.resize(m_Socket.read_some(boost::asio::buffer(In), Code));
    return !Code && m_Session.receive(In);
  }

  boost::asio::io_context m_Io;
  Tcp::socket m_Socket{m_Io};
  H2Session m_Session;
};

TEST(PeerLink, MessagesArriveInOrderBothWays) {
  Workers Threads;
  Vm A(Threads, "a");
  Vm B(Threads, "b");
  connectAll({&A, &B});
  ASSERT_TRUE(A.awaitOpen(B) && B.awaitOpen(A));
  constexpr std::uint64_t Count = 1000;
  for (std::uint64_t Number = 0; Number < Count; ++Number) {
    A.query(B, Number);
    B.query(A, Number);
  }
  ASSERT_TRUE(A.awaitQueries(B.id(), Count) && B.awaitQueries(A.id(), Count));
  EXPECT_EQ(A.queries(B), numbersBelow(Count));
  EXPECT_EQ(B.queries(A), numbersBelow(Count));
  EXPECT_EQ(A.counters().m_FramesOut, Count);
  EXPECT_EQ(A.counters().m_Dropped, 0U);
  EXPECT_EQ(A.counters().m_Open, 1U);
}

TEST(PeerLink, ThreeVmsReachEachOther) {
  Workers Threads;
  Vm A(Threads, "a");
  Vm B(Threads, "b");
  Vm C(Threads, "c");
  connectAll({&A, &B, &C});
  for (Vm *From : {&A, &B, &C}) {
    for (Vm *To : {&A, &B, &C}) {
      if (From != To) {
        ASSERT_TRUE(From->awaitOpen(*To));
        From->query(*To, From->id() < To->id() ? 1 : 2);
        ASSERT_TRUE(To->awaitQueries(From->id(), 1));
      }
    }
  }
  EXPECT_EQ(B.counters().m_Open, 2U);
}

TEST(PeerLink, WrongTokenIsRefusedAndCounted) {
  Workers Threads;
  Vm A(Threads, "a", "other!");
  Vm B(Threads, "b");
  connectAll({&A, &B});
  EXPECT_TRUE(B.awaitProblem(Errc::PeerTokenMismatch));
  EXPECT_TRUE(A.awaitProblem(Errc::PeerTokenMismatch));
  EXPECT_GE(B.counters().m_Refused, 1U);
  EXPECT_EQ(B.counters().m_Open, 0U);
  EXPECT_EQ(A.counters().m_Open, 0U);
}

TEST(PeerLink, EmptyAndNotSmallerNamesAreRefused) {
  Workers Threads;
  Vm B(Threads, "b");
  for (const char *Name : {"", "b", "c"}) {
    EXPECT_EQ(RawPeer(B, Name).state(), StreamState::Refused) << Name;
  }
  EXPECT_EQ(RawPeer(B, "a").state(), StreamState::Open);
  EXPECT_EQ(B.counters().m_Refused, 3U);
}

TEST(PeerLink, UnlistedVmMayConnectAndIsAnswered) {
  Workers Threads;
  Vm A(Threads, "a");
  Vm B(Threads, "b");
  A.m_Links.connect(std::vector{B.entry()});
  ASSERT_TRUE(A.awaitOpen(B));
  A.query(B, 7);
  ASSERT_TRUE(B.awaitQueries(A.id(), 1));
  B.query(A, 8);
  EXPECT_TRUE(A.awaitQueries(B.id(), 1));
}

TEST(PeerLink, VmRemovedFromTheSetIsDisconnected) {
  Workers Threads;
  Vm A(Threads, "a");
  Vm B(Threads, "b");
  connectAll({&A, &B});
  ASSERT_TRUE(A.awaitOpen(B) && B.awaitOpen(A));
  A.m_Links.connect({});
  EXPECT_TRUE(B.awaitProblem(Errc::PeerConnectionLost));
  A.query(B, 1);
  EXPECT_EQ(A.counters().m_Unsent, 1U);
}

TEST(PeerLink, BadAddressIsReported) {
  Workers Threads;
  Vm A(Threads, "a");
  A.m_Links.connect(std::vector{kernel::VmEntry{"b", "nowhere:1", "eros", false}});
  EXPECT_TRUE(A.awaitProblem(Errc::AddressUnusable));
  EXPECT_THROW(Vm(Threads, "c", "secret", A.m_Links.port()), std::system_error);
}

TEST(PeerLink, TruncatedFrameIsCountedAndTheVmMayReconnect) {
  Workers Threads;
  Vm B(Threads, "b");
  RawPeer Raw(B, "a");
  ASSERT_EQ(Raw.state(), StreamState::Open);
  const Bytes Complete = encode(KeyQuery{.m_Query = 1, .m_Key = "key"});
  Raw.sendFrame(Complete, Complete.size());
  Raw.sendFrame(Bytes(Complete.begin(), Complete.end() - 1), Complete.size());
  ASSERT_TRUE(B.awaitQueries(idOf<VmId>("a"), 1));
  Raw.close();
  ASSERT_TRUE(B.awaitProblem(Errc::PeerFrameMalformed));
  EXPECT_EQ(B.counters().m_Malformed, 1U);
  Vm A(Threads, "a");
  connectAll({&A, &B});
  ASSERT_TRUE(A.awaitOpen(B));
  A.query(B, 2);
  EXPECT_TRUE(B.awaitQueries(A.id(), 2));
}

TEST(PeerLink, UnknownTypeIsIgnored) {
  Workers Threads;
  Vm B(Threads, "b");
  RawPeer Raw(B, "a");
  const Bytes Unknown{0x83, 1, 0x18, 99, 7};
  const Bytes Known = encode(KeyQuery{.m_Query = 1, .m_Key = "key"});
  Raw.sendFrame(Unknown, Unknown.size());
  Raw.sendFrame(Known, Known.size());
  ASSERT_TRUE(B.awaitQueries(idOf<VmId>("a"), 1));
  EXPECT_EQ(B.counters().m_UnknownTypes, 1U);
  EXPECT_EQ(B.counters().m_Malformed, 0U);
}

TEST(PeerLink, MalformedOrLongFrameClosesTheConnection) {
  Workers Threads;
  Vm B(Threads, "b");
  RawPeer Garbage(B, "a");
  Garbage.sendFrame({0xFF, 0x00, 0x13}, 3);
  Garbage.awaitClose();
  ASSERT_TRUE(B.awaitProblem(Errc::PeerFrameMalformed));
  RawPeer Long(B, "a");
  Long.sendFrame({1, 2, 3}, 65537);
  Long.awaitClose();
  ASSERT_TRUE(B.awaitProblem(Errc::PeerFrameTooLong));
  EXPECT_EQ(B.counters().m_Malformed, 2U);
}

TEST(PeerLink, BytesThatAreNotHttp2CloseTheConnection) {
  Workers Threads;
  Vm B(Threads, "b");
  boost::asio::io_context Io;
  Tcp::socket Socket(Io);
  Socket.connect({boost::asio::ip::address_v4::loopback(), B.m_Links.port()});
  boost::asio::write(Socket, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nhost: b\r\n\r\n")));
  EXPECT_TRUE(B.awaitProblem(Errc::PeerFrameMalformed));
  EXPECT_EQ(B.counters().m_Malformed, 1U);
}

TEST(PeerLink, RestartedPeerIsReconnected) {
  Workers Threads;
  Vm A(Threads, "a");
  auto B = std::make_unique<Vm>(Threads, "b");
  const std::uint16_t Port = B->m_Links.port();
  connectAll({&A, B.get()});
  ASSERT_TRUE(A.awaitOpen(*B));
  B->m_Links.stop();
  ASSERT_TRUE(A.awaitProblem(Errc::PeerConnectionLost));
  Vm Restarted(Threads, "b", "secret", Port);
  ASSERT_TRUE(A.awaitOpen(Restarted, 2));
  A.query(Restarted, 5);
  EXPECT_TRUE(Restarted.awaitQueries(A.id(), 1));
  EXPECT_EQ(A.counters().m_Reconnects, 1U);
}

TEST(PeerLink, IdleConnectionIsReopened) {
  Workers Threads;
  constexpr Duration IdleTimeout = std::chrono::milliseconds(20);
  Vm A(Threads, "a", "secret", 0, IdleTimeout);
  Vm B(Threads, "b");
  A.m_Links.connect(std::vector{B.entry()});
  ASSERT_TRUE(A.awaitOpen(B, 2));
  EXPECT_TRUE(A.awaitProblem(Errc::PeerConnectionLost));
  EXPECT_TRUE(B.awaitOpen(A, 2));
}

TEST(PeerLink, LinkThroughARelayReconnectsAfterACut) {
  Workers Threads;
  Vm A(Threads, "a");
  Vm B(Threads, "b");
  boost::asio::io_context RelayIo(1);
  relay::Relay Between(RelayIo);
  kernel::VmEntry RemoteEntry = B.entry();
  RemoteEntry.m_PeerAddress =
      Between.open({.m_Listen = "127.0.0.1:0", .m_Target = RemoteEntry.m_PeerAddress}).value();
  std::thread Thread([&] { RelayIo.run(); });
  const auto Cut = [&](bool Value) {
    boost::asio::post(RelayIo, [&Between, &RemoteEntry, Value] {
      relay::FaultChange Change;
      Change.m_Listen = RemoteEntry.m_PeerAddress;
      Change.m_Cut = Value;
      EXPECT_TRUE(Between.apply(std::span(&Change, 1)).has_value());
    });
  };
  A.m_Links.connect(std::vector{RemoteEntry});
  EXPECT_TRUE(A.awaitOpen(B));
  Cut(true);
  EXPECT_TRUE(A.awaitProblem(Errc::PeerConnectionLost));
  Cut(false);
  EXPECT_TRUE(A.awaitOpen(B, 2) && B.awaitOpen(A, 2));
  A.query(B, 3);
  EXPECT_TRUE(B.awaitQueries(A.id(), 1));
  RelayIo.stop();
  Thread.join();
}

TEST(PeerLink, StopSendsQueuedMessages) {
  Workers Threads;
  Vm A(Threads, "a");
  Vm B(Threads, "b");
  connectAll({&A, &B});
  ASSERT_TRUE(A.awaitOpen(B));
  constexpr std::uint64_t Count = 500;
  for (std::uint64_t Number = 0; Number < Count; ++Number) {
    A.query(B, Number);
  }
  A.m_Links.stop();
  ASSERT_TRUE(B.awaitQueries(A.id(), Count));
  EXPECT_EQ(B.queries(A), numbersBelow(Count));
}

TEST(PeerSendQueue, OldestHeartbeatIsDroppedFirst) {
  SendQueue Queue(3);
  EXPECT_TRUE(Queue.push(KeyQuery{.m_Query = 1, .m_Key = ""}, false).m_MustSchedule);
  EXPECT_FALSE(Queue.push(HeartbeatAck{}, false).m_MustSchedule);
  EXPECT_FALSE(Queue.push(KeyQuery{.m_Query = 2, .m_Key = ""}, false).m_Dropped);
  EXPECT_TRUE(Queue.push(KeyQuery{.m_Query = 3, .m_Key = ""}, false).m_Dropped);
  EXPECT_TRUE(Queue.push(KeyQuery{.m_Query = 4, .m_Key = ""}, false).m_Dropped);
  for (std::uint64_t Expected = 2; Expected <= 4; ++Expected) {
    EXPECT_EQ(std::get<KeyQuery>(*Queue.pop()).m_Query, Expected);
  }
  EXPECT_FALSE(Queue.pop().has_value());
}

TEST(PeerSendQueue, MessageThatMayWaitRequestsNoFlush) {
  SendQueue Queue(3);
  EXPECT_FALSE(Queue.push(HeartbeatAck{}, true).m_MustSchedule);
  EXPECT_TRUE(Queue.claimFlush());
  EXPECT_FALSE(Queue.claimFlush());
}

TEST(PeerFrameReader, FramesDoNotDependOnHowTheStreamIsSplit) {
  Bytes Stream;
  for (const std::size_t Size : {0U, 1U, 300U}) {
    const auto Prefix = framePrefix(Size);
    Stream.insert(Stream.end(), Prefix.begin(), Prefix.end());
    Stream.insert(Stream.end(), Size, static_cast<std::uint8_t>(Size));
  }
  for (std::size_t Step = 1; Step <= Stream.size(); ++Step) {
    FrameReader Reader(300);
    std::vector<std::size_t> Sizes;
    for (std::size_t Start = 0; Start < Stream.size(); Start += Step) {
      Reader.append(std::span(Stream).subspan(Start, std::min(Step, Stream.size() - Start)));
      std::span<const std::uint8_t> Frame;
      while (Reader.nextFrame(Frame) == FrameStatus::Complete) {
        Sizes.push_back(Frame.size());
      }
    }
    EXPECT_EQ(Sizes, (std::vector<std::size_t>{0, 1, 300})) << "step " << Step;
    EXPECT_FALSE(Reader.hasPartialFrame());
  }
}

} // namespace
} // namespace vanillahill::peer
