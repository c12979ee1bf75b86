#include "vanillahill/membership/members.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace vanillahill::membership {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint Epoch{1h};

kernel::VmEntry entry(const std::string &Name) {
  return kernel::VmEntry{
      .m_Name = Name, .m_PeerAddress = "127.0.0.1:1", .m_DataCenter = "eros", .m_Leaving = false};
}

/// Several Members connected by instant, reliable delivery. A disconnected VM sends and receives
/// nothing.
class Mesh {
public:
  explicit Mesh(const std::vector<std::string> &Names) {
    for (const std::string &Name : Names) {
      start(Name, 1);
    }
  }

  void start(const std::string &Name, std::uint64_t Incarnation) {
    m_Vms.insert_or_assign(
        idOf<VmId>(Name),
        Members(
            {.m_Self = entry(Name), .m_Incarnation = Incarnation, .m_Settings = {}, .m_Seed = 1}));
  }

  Members &at(const std::string &Name) { return m_Vms.at(idOf<VmId>(Name)); }

  void list(const std::vector<std::string> &Names) {
    std::vector<kernel::VmEntry> Entries;
    Entries.reserve(Names.size());
    for (const std::string &Name : Names) {
      Entries.push_back(entry(Name));
    }
    for (auto &[Id, Vm] : m_Vms) {
      kernel::Actions Out;
      Vm.onVmList(Entries, m_Now, Out);
    }
  }

  void run(Duration For) {
    const TimePoint End = m_Now + For;
    for (; m_Now < End; m_Now += 50ms) {
      for (auto &[Id, Vm] : m_Vms) {
        kernel::Actions Out;
        Vm.tick(m_Now, Out, {});
        deliver(Id, Out);
      }
    }
  }

  void deliver(VmId From, const kernel::Actions &Actions) {
    for (const kernel::Action &Item : Actions) {
      const auto *Send = std::get_if<kernel::SendPeer>(&Item);
      if (Send == nullptr || !m_Vms.contains(Send->m_To) || m_Disconnected.contains(From) ||
          m_Disconnected.contains(Send->m_To)) {
        continue;
      }
      kernel::Actions Replies;
      if (const auto *Beat = std::get_if<peer::Heartbeat>(&Send->m_Message)) {
        m_Vms.at(Send->m_To).onHeartbeat(From, *Beat, m_Now, Replies);
      } else if (const auto *Ack = std::get_if<peer::HeartbeatAck>(&Send->m_Message)) {
        m_Vms.at(Send->m_To).onAck(From, *Ack, m_Now);
      }
      ++m_Delivered;
      deliver(Send->m_To, Replies);
    }
  }

  std::map<VmId, Members> m_Vms;
  std::set<VmId> m_Disconnected;
  TimePoint m_Now = Epoch;
  std::uint64_t m_Delivered = 0;
};

TEST(Members, ListedVmsJoinOnceAllAcknowledged) {
  Mesh Vms({"a", "b", "c"});
  EXPECT_FALSE(Vms.at("a").hasLease(Vms.m_Now));
  Vms.run(1s);
  EXPECT_FALSE(Vms.at("a").joined()) << "no VM list was read yet";
  Vms.list({"a", "b", "c"});
  Vms.run(1s);
  EXPECT_TRUE(Vms.at("a").hasLease(Vms.m_Now));
  EXPECT_EQ(Vms.at("a").view(Vms.m_Now).m_MustAsk.size(), 2U);
}

TEST(Members, NewVmJoinsOnlyAfterEachVmThatItHearsAcknowledged) {
  Mesh Vms({"a", "b"});
  Vms.list({"a", "b"});
  Vms.run(2s);
  Vms.start("n", 1);
  kernel::Actions Out;
  const std::vector<kernel::VmEntry> List = {entry("a"), entry("b"), entry("n")};
  Vms.at("n").onVmList(List, Vms.m_Now, Out);
  // The new VM has heard from b, but only a has acknowledged a heartbeat.
  peer::Heartbeat Beat;
  Beat.m_Incarnation = 1;
  const VmId A = idOf<VmId>("a");
  Vms.at("n").onHeartbeat(idOf<VmId>("b"), Beat, Vms.m_Now, Out);
  const auto Sequence = static_cast<std::uint64_t>(Vms.m_Now.time_since_epoch().count());
  Vms.at("n").onAck(A, {.m_Incarnation = 1, .m_Sequence = Sequence}, Vms.m_Now);
  EXPECT_FALSE(Vms.at("n").joined());
  Vms.run(1s);
  EXPECT_TRUE(Vms.at("n").joined());
  EXPECT_EQ(Vms.at("a").view(Vms.m_Now).m_MustAsk.size(), 2U) << "a must ask the new VM too";
}

TEST(Members, TimerOfAVmThatCannotJoinStaysInTheFuture) {
  Mesh Vms({"a", "b"});
  Vms.list({"a", "b"});
  Vms.m_Disconnected.insert(idOf<VmId>("b"));
  Vms.run(2s);
  EXPECT_FALSE(Vms.at("a").joined());
  kernel::Actions Out;
  Vms.at("a").tick(Vms.m_Now, Out, {});
  EXPECT_GT(Vms.at("a").nextTimer(), Vms.m_Now);
}

TEST(Members, IsolatedVmLosesItsLease) {
  Mesh Vms({"a", "b", "c"});
  Vms.list({"a", "b", "c"});
  Vms.run(2s);
  Vms.m_Disconnected.insert(idOf<VmId>("a"));
  Vms.run(2500ms);
  EXPECT_FALSE(Vms.at("a").hasLease(Vms.m_Now));
  EXPECT_TRUE(Vms.at("b").hasLease(Vms.m_Now));
  Vms.m_Disconnected.clear();
  Vms.run(1s);
  EXPECT_TRUE(Vms.at("a").hasLease(Vms.m_Now));
  EXPECT_GT(Vms.at("a").view(Vms.m_Now).m_LeaseSince, Vms.m_Now - 1s)
      << "the interruption of the lease is recorded";
}

TEST(Members, SilentVmMustBeAskedUntilTheVmListDropsIt) {
  Mesh Vms({"a", "b", "c"});
  Vms.list({"a", "b", "c"});
  Vms.run(2s);
  Vms.m_Vms.erase(idOf<VmId>("c"));
  Vms.run(10s);
  const View Before = Vms.at("a").view(Vms.m_Now);
  EXPECT_EQ(Before.m_MustAsk.size(), 2U);
  EXPECT_EQ(std::ranges::count(Before.m_MustAsk, false, &AskTarget::m_Reachable), 1);
  Vms.list({"a", "b"});
  Vms.run(5s);
  const View After = Vms.at("a").view(Vms.m_Now);
  EXPECT_EQ(After.m_MustAsk.size(), 1U);
  EXPECT_GT(After.m_KnownSince, Before.m_KnownSince) << "keys of the lost VM count as unknown";
}

TEST(Members, RestartOfAVmMakesItsEarlierKeysUnknown) {
  Mesh Vms({"a", "b", "c"});
  Vms.list({"a", "b", "c"});
  Vms.run(5s);
  const TimePoint Before = Vms.at("a").view(Vms.m_Now).m_KnownSince;
  Vms.start("b", 2);
  Vms.list({"a", "b", "c"});
  Vms.run(1s);
  EXPECT_GT(Vms.at("a").view(Vms.m_Now).m_KnownSince, Before);
  EXPECT_TRUE(Vms.at("b").hasLease(Vms.m_Now));
}

TEST(Members, AliveContainsServingVmsAndOmitsSilentOnes) {
  Mesh Vms({"a", "b", "c"});
  Vms.list({"a", "b", "c"});
  for (auto &[Id, Vm] : Vms.m_Vms) {
    Vm.setState(peer::VmState::Serving);
  }
  Vms.run(1s);
  EXPECT_EQ(Vms.at("a").alive().size(), 3U);
  Vms.at("b").setState(peer::VmState::Leaving);
  Vms.run(100ms);
  EXPECT_EQ(Vms.at("a").alive().size(), 2U);
  Vms.m_Disconnected.insert(idOf<VmId>("c"));
  Vms.run(2500ms);
  EXPECT_EQ(Vms.at("a").alive().size(), 1U);
}

TEST(Members, MessageRatePerVmIsBoundedWithAHundredVms) {
  std::vector<std::string> Names;
  Names.reserve(100);
  for (int Index = 0; Index < 100; ++Index) {
    Names.push_back("e" + std::to_string(Index));
  }
  Mesh Vms(Names);
  Vms.list(Names);
  for (auto &[Id, Vm] : Vms.m_Vms) {
    Vm.setState(peer::VmState::Serving);
  }
  Vms.run(10s);
  const std::uint64_t Before = Vms.m_Delivered;
  Vms.run(10s);
  const std::uint64_t PerVmAndSecond = (Vms.m_Delivered - Before) / 100 / 10;
  EXPECT_LE(PerVmAndSecond, 125U);
  EXPECT_EQ(Vms.at("e0").alive().size(), 100U);
}

} // namespace
} // namespace vanillahill::membership
