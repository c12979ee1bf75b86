#include "vanillahill/kernel/kind_table.hpp"
#include "vanillahill/kernel/node.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <ctime>
#include <limits>

namespace vanillahill::kernel {
namespace {

constexpr ServiceId Desk{1};

KindId kindId(std::size_t Index) { return KindId{static_cast<std::uint32_t>(Index + 1)}; }

ServiceSettings serviceWith(std::size_t Kinds, const std::string &Policy = "probed") {
  ServiceSettings Service{.m_Id = Desk, .m_Name = "desk", .m_Policy = {.m_Name = Policy}};
  for (std::size_t Index = 0; Index < Kinds; ++Index) {
    Service.m_Kinds.push_back(
        {.m_Id = kindId(Index), .m_Name = "k" + std::to_string(Index), .m_Idempotent = true});
  }
  return Service;
}

struct State {
  KindSettings m_Settings;
};

TEST(KindTable, ListInForceIsNotAssignedAgain) {
  KindTable<State> Kinds;
  std::size_t Added = 0;
  const auto CountAdded = [&Added](const State &) { ++Added; };
  const ServiceSettings Service = serviceWith(5);
  EXPECT_TRUE(Kinds.assign(Service, CountAdded));
  ServiceSettings OtherServers = Service;
  OtherServers.m_Servers.push_back({.m_Id = ServerId{1}});
  EXPECT_FALSE(Kinds.assign(OtherServers, CountAdded));
  EXPECT_TRUE(Kinds.assign(serviceWith(6), CountAdded));
  EXPECT_EQ(Added, 6U);
}

TEST(KindTable, ChangedSettingsOfAKnownKindTakeEffect) {
  KindTable<State> Kinds;
  const auto Ignore = [](const State &) {};
  Kinds.assign(serviceWith(2), Ignore);
  ServiceSettings Changed = serviceWith(1);
  Changed.m_Kinds.push_back({.m_Id = kindId(1), .m_Name = "k1", .m_MaxAttempts = 5});
  Kinds.assign(Changed, Ignore);
  EXPECT_EQ(Kinds.size(), 2U);
  EXPECT_EQ(Kinds.findSettings(kindId(1))->m_MaxAttempts, 5U);
}

TEST(SharedList, CopyIsNotChangedByAnAdditionToTheOther) {
  SharedList<int> List{1, 2};
  SharedList<int> Copy = List;
  EXPECT_TRUE(Copy.sharesWith(List));
  List.push_back(3);
  EXPECT_FALSE(Copy.sharesWith(List));
  EXPECT_EQ(Copy.size(), 2U);
  EXPECT_EQ(List.back(), 3);
}

class KindsOfPolicy : public testing::TestWithParam<const char *> {
protected:
  Actions send(Node &Vm, const Event &Input) const {
    Actions Out;
    Vm.handle(Input, m_Clock.now(), Out);
    return Out;
  }

  static std::shared_ptr<const SiteSettings> siteWith(std::size_t Kinds) {
    auto Site = std::make_shared<SiteSettings>();
    Site->m_Services.push_back(serviceWith(Kinds, GetParam()));
    return Site;
  }

  void configure(Node &Vm, std::size_t Kinds) const { send(Vm, SettingsRead{siteWith(Kinds)}); }

  /// Whether the kernel knows the kind of a request.
  bool isKnown(Node &Vm, std::size_t Kind) {
    const Actions Out = send(Vm, RequestArrived{.m_Request = RequestId{++m_LastRequest},
                                                .m_Service = Desk,
                                                .m_Kind = kindId(Kind)});
    return std::none_of(Out.begin(), Out.end(), [](const Action &Each) {
      const auto *Refused = std::get_if<Answer>(&Each);
      return Refused != nullptr && Refused->m_Reason == Reason::UnknownKind;
    });
  }

  /// Least processor time of five that a new VM needs for its first settings, in clock ticks.
  std::clock_t configurationTime(std::size_t Kinds) const {
    std::clock_t Shortest = std::numeric_limits<std::clock_t>::max();
    for (int Round = 0; Round < 5; ++Round) {
      Node Vm({.m_Name = "vm"});
      const auto Site = siteWith(Kinds);
      const auto Start = std::clock();
      send(Vm, SettingsRead{Site});
      Shortest = std::min(Shortest, std::clock() - Start);
    }
    return Shortest;
  }

  PausedClock m_Clock;
  std::uint64_t m_LastRequest = 0;
};

TEST_P(KindsOfPolicy, RemovedKindIsUnknownAndItsCountersGoOnWhenItComesBack) {
  Node Vm({.m_Name = "vm"});
  configure(Vm, 2);
  EXPECT_TRUE(isKnown(Vm, 1));
  configure(Vm, 1);
  EXPECT_FALSE(isKnown(Vm, 1));
  EXPECT_TRUE(isKnown(Vm, 0));
  configure(Vm, 3);
  EXPECT_TRUE(isKnown(Vm, 1));
  const NodeStatus Status = Vm.status(m_Clock.now());
  const auto Kind =
      std::find_if(Status.m_Kinds.begin(), Status.m_Kinds.end(),
                   [](const KindCounters &Counters) { return Counters.m_Kind == kindId(1); });
  ASSERT_NE(Kind, Status.m_Kinds.end());
  EXPECT_EQ(Kind->m_Arrived, 2U);
}

TEST_P(KindsOfPolicy, TimeForSettingsIsNotQuadraticInTheKinds) {
  constexpr std::size_t Few = 2500;
  constexpr std::clock_t Growth = 8;
  // Quadratic growth would be by 64.
  constexpr std::clock_t LargestGrowth = 4 * Growth;
  const std::clock_t FewTime = configurationTime(Few);
  const std::clock_t ManyTime = configurationTime(Few * Growth);
  EXPECT_LT(ManyTime, FewTime * LargestGrowth) << "for few kinds " << FewTime;
}

INSTANTIATE_TEST_SUITE_P(Policies, KindsOfPolicy, testing::Values("probed", "leased"));

} // namespace
} // namespace vanillahill::kernel
