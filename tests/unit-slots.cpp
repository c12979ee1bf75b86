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

/// Owners of all slots of one server each, as every VM computes them.
std::vector<std::uint32_t> sharesOf(const ServerTable &Servers, const std::vector<VmId> &Alive,
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

RC_GTEST_PROP(Slots, EverySlotHasOneOwnerAndSharesAreEven, ()) {
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
  const std::vector<std::uint32_t> Shares = sharesOf(Servers, Alive, ByServer);
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

TEST(Slots, DeathOfAVmMovesLittleMoreThanItsShare) {
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
  // 114 slots belonged to the VMs that stay.
  EXPECT_GE(Kept, 100U);
}

/// Two VMs that share two servers of two slots; messages are handed over by the test.
class LendingTest : public testing::Test {
protected:
  void SetUp() override {
    const std::vector<VmId> Alive{Self, Other};
    m_Mine.assign(Service, m_Servers, Self, Alive);
    m_Theirs.assign(Service, m_Servers, Other, Alive);
  }

  Demand demand(std::size_t Queued) const { return {.m_Queued = Queued, .m_Now = m_Clock.now()}; }

  /// Hands the only message of some actions to a VM.
  Actions deliver(const Actions &Sent, LentSlots &To, VmId From, std::size_t Queued) {
    Actions Out;
    EXPECT_EQ(Sent.size(), 1U);
    To.onPeer(From, std::get<SendPeer>(Sent.at(0)).m_Message, m_Servers, demand(Queued), Out);
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

  /// Borrows one slot for Self; its own ones are busy.
  void borrowOne() {
    occupyAll(m_Mine);
    Actions Asked;
    m_Mine.ask(demand(1), m_Random, m_Budget, Asked);
    const Actions Lent = deliver(Asked, m_Theirs, Self, 0);
    deliver(Lent, m_Mine, Other, 1);
  }

  PausedClock m_Clock;
  std::mt19937_64 m_Random{3};
  AskBudget m_Budget;
  ServerTable m_Servers = makeServers(2, 2);
  LentSlots m_Mine;
  LentSlots m_Theirs;
};

TEST_F(LendingTest, AWaitingVmBorrowsAnIdleSlotAndGivesItBack) {
  borrowOne();
  EXPECT_EQ(m_Mine.idle(), 1U);
  EXPECT_EQ(m_Theirs.held(), 1U);
  Actions Returned;
  m_Mine.flush(m_Servers, demand(0), Returned);
  EXPECT_EQ(m_Mine.idle(), 0U);
  deliver(Returned, m_Theirs, Self, 0);
  EXPECT_EQ(m_Theirs.held(), 2U);
}

TEST_F(LendingTest, ABusyVmLendsAsSoonAsASlotIsIdle) {
  std::vector<SlotHandle> Taken;
  occupyAll(m_Mine);
  occupyAll(m_Theirs, &Taken);
  Actions Asked;
  m_Mine.ask(demand(1), m_Random, m_Budget, Asked);
  EXPECT_TRUE(deliver(Asked, m_Theirs, Self, 0).empty());
  m_Theirs.release(Taken.at(0), demand(0));
  Actions Lent;
  m_Theirs.flush(m_Servers, demand(0), Lent);
  deliver(Lent, m_Mine, Other, 1);
  EXPECT_EQ(m_Mine.idle(), 1U);
}

TEST_F(LendingTest, ABusyVmForgetsWhoAsked) {
  std::vector<SlotHandle> Taken;
  occupyAll(m_Mine);
  occupyAll(m_Theirs, &Taken);
  Actions Asked;
  m_Mine.ask(demand(1), m_Random, m_Budget, Asked);
  deliver(Asked, m_Theirs, Self, 0);
  m_Clock.advance(LentSlots::AskMemory);
  m_Theirs.release(Taken.at(0), demand(0));
  Actions Lent;
  m_Theirs.flush(m_Servers, demand(0), Lent);
  EXPECT_TRUE(Lent.empty());
}

TEST_F(LendingTest, AnAskThatExpiredLeavesNoTimerBehind) {
  occupyAll(m_Mine);
  Actions Asked;
  m_Mine.ask(demand(1), m_Random, m_Budget, Asked);
  ASSERT_EQ(Asked.size(), 1U);
  m_Clock.advance(LentSlots::AskTimeout);
  Actions None;
  m_Mine.flush(m_Servers, demand(0), None);
  EXPECT_GT(m_Mine.nextTimer(m_Clock.now()), m_Clock.now());
}

TEST_F(LendingTest, WithoutAnswersAVmAsksMoreAndMoreSeldom) {
  occupyAll(m_Mine);
  std::size_t Asks = 0;
  for (int Millis = 0; Millis < 2000; ++Millis) {
    Actions Asked;
    m_Mine.ask(demand(8), m_Random, m_Budget, Asked);
    Asks += Asked.size();
    m_Clock.advance(std::chrono::milliseconds(1));
  }
  EXPECT_GE(Asks, 5U);
  EXPECT_LE(Asks, 20U);
}

TEST(AskBudget, HoldsInEverySecondWhateverIsAsked) {
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
    EXPECT_LE(Taken, AskBudget::AsksPerSecond + AskBudget::Burst);
  }
}

TEST_F(LendingTest, AVmWithWaitingRequestsLendsNothing) {
  occupyAll(m_Mine);
  Actions Asked;
  m_Mine.ask(demand(1), m_Random, m_Budget, Asked);
  EXPECT_TRUE(deliver(Asked, m_Theirs, Self, 5).empty());
  EXPECT_EQ(m_Theirs.held(), 2U);
}

TEST_F(LendingTest, ASlowServerIsNotLent) {
  for (ServerState &Server : m_Servers.all()) {
    Server.m_Evidence = 2 * ServerState::SuspectEvidence;
    Server.m_EvidenceAt = m_Clock.now();
  }
  occupyAll(m_Mine);
  Actions Asked;
  m_Mine.ask(demand(1), m_Random, m_Budget, Asked);
  EXPECT_TRUE(deliver(Asked, m_Theirs, Self, 0).empty());
  EXPECT_EQ(m_Theirs.held(), 2U);
}

TEST_F(LendingTest, ASlotThatIsNeverReturnedIsReclaimed) {
  borrowOne();
  m_Clock.advance(LentSlots::ReclaimAfter);
  Actions None;
  m_Theirs.flush(m_Servers, demand(0), None);
  EXPECT_TRUE(None.empty());
  EXPECT_EQ(m_Theirs.held(), 2U);
}

TEST_F(LendingTest, ABorrowedSlotTakesNothingNewAfterItsTerm) {
  borrowOne();
  m_Clock.advance(LentSlots::LoanTerm);
  for (ServerIndex Server = 0; Server < m_Servers.size(); ++Server) {
    EXPECT_FALSE(m_Mine.take(m_Servers, Server, m_Clock.now()));
  }
}

TEST_F(LendingTest, AReturnOfAnotherVmsSlotIsIgnored) {
  borrowOne();
  Actions Returned;
  m_Mine.flush(m_Servers, demand(0), Returned);
  Actions None;
  m_Theirs.onPeer(VmId{99}, std::get<SendPeer>(Returned.at(0)).m_Message, m_Servers, demand(0),
                  None);
  EXPECT_EQ(m_Theirs.held(), 1U);
}

} // namespace
} // namespace vanillahill::kernel
