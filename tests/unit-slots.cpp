#include "vanillahill/kernel/policy/slots.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace vanillahill::kernel {
namespace {

constexpr ServiceId Service{7};
constexpr VmId Self{1};
constexpr VmId Other{2};

ServerTable makeServers(std::uint32_t Count, std::uint32_t Slots) {
  std::vector<ServerSettings> Settings;
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    Settings.push_back({.m_Id = ServerId{100 + Index}, .m_Slots = Slots});
  }
  ServerTable Servers;
  Servers.assign(Settings, TimePoint{});
  return Servers;
}

/// Returns how many slots each VM owns as that VM computes it.
/// \param ByServer for each VM, its slots of each server are appended
std::vector<std::uint32_t> countOwnedSlots(const ServerTable &Servers,
                                           const std::vector<VmId> &Alive,
                                           std::vector<std::vector<std::uint32_t>> &ByServer) {
  std::vector<std::uint32_t> Shares;
  for (const VmId Vm : Alive) {
    LentSlots Slots;
    Slots.assign(Service, Servers, Vm, Alive);
    Shares.push_back(Slots.held());
    std::vector<std::uint32_t> Held;
    for (const ServerState &Server : Servers.all()) {
      Held.push_back(Slots.heldAt(Server.m_Settings.m_Id));
    }
    ByServer.push_back(Held);
  }
  return Shares;
}

RC_GTEST_PROP(Slots, EverySlotHasOneOwnerAndSharesDifferByAtMostOne, ()) {
  const auto ServerCount = *rc::gen::inRange<std::uint32_t>(1, 12);
  const auto SlotCount = *rc::gen::inRange<std::uint32_t>(1, 7);
  const auto Vms =
      *rc::gen::container<std::set<std::uint32_t>>(rc::gen::arbitrary<std::uint32_t>());
  RC_PRE(!Vms.empty());
  std::vector<VmId> Alive;
  Alive.reserve(Vms.size());
  for (const std::uint32_t Vm : Vms) {
    Alive.push_back(VmId{Vm});
  }
  const ServerTable Servers = makeServers(ServerCount, SlotCount);
  std::vector<std::vector<std::uint32_t>> ByServer;
  const std::vector<std::uint32_t> Shares = countOwnedSlots(Servers, Alive, ByServer);
  for (std::uint32_t Server = 0; Server < ServerCount; ++Server) {
    std::uint32_t Sum = 0;
    for (const auto &Held : ByServer) {
      Sum += Held[Server];
    }
    RC_ASSERT(Sum == SlotCount);
  }
  const auto [Least, Most] = std::minmax_element(Shares.begin(), Shares.end());
  RC_ASSERT(*Most - *Least <= 1U);
}

TEST(Slots, RemovingOneVmKeepsMostSlotsOfTheOthers) {
  const ServerTable Servers = makeServers(20, 6);
  std::vector<VmId> Before;
  for (std::uint32_t Vm = 1; Vm <= 20; ++Vm) {
    Before.push_back(VmId{Vm * 7919});
  }
  std::vector<VmId> After(Before.begin(), Before.end() - 1);
  std::uint32_t Kept = 0;
  for (const VmId Vm : After) {
    LentSlots Slots;
    Slots.assign(Service, Servers, Vm, Before);
    std::vector<std::uint32_t> Held;
    for (const ServerState &Server : Servers.all()) {
      Held.push_back(Slots.heldAt(Server.m_Settings.m_Id));
    }
    Slots.assign(Service, Servers, Vm, After);
    for (std::size_t Index = 0; Index < Servers.size(); ++Index) {
      Kept += std::min(Held[Index],
                       Slots.heldAt(Servers.at(static_cast<ServerIndex>(Index)).m_Settings.m_Id));
    }
  }
  // The remaining VMs owned 114 slots.
  EXPECT_GE(Kept, 100U);
}

/// Two VMs that share two servers with two slots each; the test delivers the messages.
class LendingTest : public testing::Test {
protected:
  void SetUp() override {
    const std::vector<VmId> Alive{Self, Other};
    m_SelfSlots.assign(Service, m_Servers, Self, Alive);
    m_OtherSlots.assign(Service, m_Servers, Other, Alive);
  }

  Demand demand(std::size_t Queued) const { return {.m_Queued = Queued, .m_Now = m_Clock.now()}; }

  /// Delivers the only message in Sent to a VM and returns its actions.
  Actions deliver(const Actions &Sent, LentSlots &To, VmId From, std::size_t Queued) {
    Actions Out;
    EXPECT_EQ(Sent.size(), 1U);
    To.handlePeerMessage(From, std::get<SendPeer>(Sent.at(0)).m_Message, m_Servers, demand(Queued),
                         Out);
    return Out;
  }

  void occupyAll(LentSlots &Slots, std::vector<SlotHandle> *Taken = nullptr) {
    for (ServerIndex Server = 0; Server < m_Servers.size(); ++Server) {
      while (const auto Handle = Slots.take(m_Servers, Server, m_Clock.now())) {
        if (Taken != nullptr) {
          Taken->push_back(*Handle);
        }
      }
    }
  }

  /// Occupies all slots of Self, then borrows one for it.
  void borrowOneSlot() {
    occupyAll(m_SelfSlots);
    Actions Requested;
    m_SelfSlots.requestSlots(demand(1), m_Random, m_Budget, Requested);
    const Actions Lent = deliver(Requested, m_OtherSlots, Self, 0);
    deliver(Lent, m_SelfSlots, Other, 1);
  }

  PausedClock m_Clock;
  std::mt19937_64 m_Random{3};
  AskBudget m_Budget;
  ServerTable m_Servers = makeServers(2, 2);
  LentSlots m_SelfSlots;
  LentSlots m_OtherSlots;
};

TEST_F(LendingTest, BorrowsAnIdleSlotForAWaitingRequestAndReturnsIt) {
  borrowOneSlot();
  EXPECT_EQ(m_SelfSlots.idle(), 1U);
  EXPECT_EQ(m_OtherSlots.held(), 1U);
  Actions Returned;
  m_SelfSlots.flush(m_Servers, demand(0), Returned);
  EXPECT_EQ(m_SelfSlots.idle(), 0U);
  deliver(Returned, m_OtherSlots, Self, 0);
  EXPECT_EQ(m_OtherSlots.held(), 2U);
}

TEST_F(LendingTest, ARequestThatFoundNoIdleSlotIsMetOnceASlotIsReleased) {
  std::vector<SlotHandle> Taken;
  occupyAll(m_SelfSlots);
  occupyAll(m_OtherSlots, &Taken);
  Actions Requested;
  m_SelfSlots.requestSlots(demand(1), m_Random, m_Budget, Requested);
  EXPECT_TRUE(deliver(Requested, m_OtherSlots, Self, 0).empty());
  m_OtherSlots.release(Taken.at(0), demand(0));
  Actions Lent;
  m_OtherSlots.flush(m_Servers, demand(0), Lent);
  deliver(Lent, m_SelfSlots, Other, 1);
  EXPECT_EQ(m_SelfSlots.idle(), 1U);
}

TEST_F(LendingTest, AnUnmetSlotRequestExpires) {
  std::vector<SlotHandle> Taken;
  occupyAll(m_SelfSlots);
  occupyAll(m_OtherSlots, &Taken);
  Actions Requested;
  m_SelfSlots.requestSlots(demand(1), m_Random, m_Budget, Requested);
  deliver(Requested, m_OtherSlots, Self, 0);
  m_Clock.advance(LentSlots::RequesterTtl);
  m_OtherSlots.release(Taken.at(0), demand(0));
  Actions Lent;
  m_OtherSlots.flush(m_Servers, demand(0), Lent);
  EXPECT_TRUE(Lent.empty());
}

TEST_F(LendingTest, AnExpiredSlotRequestLeavesNoTimer) {
  occupyAll(m_SelfSlots);
  Actions Requested;
  m_SelfSlots.requestSlots(demand(1), m_Random, m_Budget, Requested);
  ASSERT_EQ(Requested.size(), 1U);
  m_Clock.advance(LentSlots::SlotRequestTimeout);
  Actions None;
  m_SelfSlots.flush(m_Servers, demand(0), None);
  EXPECT_GT(m_SelfSlots.nextTimer(m_Clock.now()), m_Clock.now());
}

TEST_F(LendingTest, UnansweredSlotRequestsBackOff) {
  occupyAll(m_SelfSlots);
  std::size_t RequestCount = 0;
  for (int Millis = 0; Millis < 2000; ++Millis) {
    Actions Requested;
    m_SelfSlots.requestSlots(demand(8), m_Random, m_Budget, Requested);
    RequestCount += Requested.size();
    m_Clock.advance(std::chrono::milliseconds(1));
  }
  EXPECT_GE(RequestCount, 5U);
  EXPECT_LE(RequestCount, 20U);
}

TEST(AskBudget, NeverExceedsRatePlusBurstInOneSecond) {
  AskBudget Budget;
  TimePoint Now{};
  for (int Second = 0; Second < 5; ++Second) {
    int Taken = 0;
    for (int Millis = 0; Millis < 1000; ++Millis) {
      Now += std::chrono::milliseconds(1);
      while (Budget.take(Now)) {
        ++Taken;
      }
    }
    EXPECT_LE(Taken, AskBudget::SlotRequestsPerSecond + AskBudget::Burst);
  }
}

TEST_F(LendingTest, AVmWithWaitingRequestsLendsNothing) {
  occupyAll(m_SelfSlots);
  Actions Requested;
  m_SelfSlots.requestSlots(demand(1), m_Random, m_Budget, Requested);
  EXPECT_TRUE(deliver(Requested, m_OtherSlots, Self, 5).empty());
  EXPECT_EQ(m_OtherSlots.held(), 2U);
}

TEST_F(LendingTest, SlotsOfASuspectServerAreNotLent) {
  for (ServerState &Server : m_Servers.all()) {
    Server.m_SlowEvidence = 2 * ServerState::SuspectThreshold;
    Server.m_SlowEvidenceAt = m_Clock.now();
  }
  occupyAll(m_SelfSlots);
  Actions Requested;
  m_SelfSlots.requestSlots(demand(1), m_Random, m_Budget, Requested);
  EXPECT_TRUE(deliver(Requested, m_OtherSlots, Self, 0).empty());
  EXPECT_EQ(m_OtherSlots.held(), 2U);
}

TEST_F(LendingTest, ALentSlotThatIsNotReturnedIsReclaimed) {
  borrowOneSlot();
  m_Clock.advance(LentSlots::ReclaimAfter);
  Actions None;
  m_OtherSlots.flush(m_Servers, demand(0), None);
  EXPECT_TRUE(None.empty());
  EXPECT_EQ(m_OtherSlots.held(), 2U);
}

TEST_F(LendingTest, ABorrowedSlotTakesNoNewAttemptAfterItsTerm) {
  borrowOneSlot();
  m_Clock.advance(LentSlots::LoanTerm);
  for (ServerIndex Server = 0; Server < m_Servers.size(); ++Server) {
    EXPECT_FALSE(m_SelfSlots.take(m_Servers, Server, m_Clock.now()));
  }
}

TEST_F(LendingTest, AReturnFromAVmOtherThanTheBorrowerIsIgnored) {
  borrowOneSlot();
  Actions Returned;
  m_SelfSlots.flush(m_Servers, demand(0), Returned);
  Actions None;
  m_OtherSlots.handlePeerMessage(VmId{99}, std::get<SendPeer>(Returned.at(0)).m_Message, m_Servers,
                                 demand(0), None);
  EXPECT_EQ(m_OtherSlots.held(), 1U);
}

} // namespace
} // namespace vanillahill::kernel
