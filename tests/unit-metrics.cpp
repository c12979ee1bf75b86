#include "vanillahill/kernel/node.hpp"
#include "vanillahill/observe/metrics.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace vanillahill::observe {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t ManyKinds = 4200;

std::size_t countOf(std::string_view Text, std::string_view Wanted) {
  std::size_t Count = 0;
  for (auto At = Text.find(Wanted); At != std::string_view::npos;
       At = Text.find(Wanted, At + Wanted.size())) {
    ++Count;
  }
  return Count;
}

bool contains(std::string_view Text, std::string_view Wanted) { return countOf(Text, Wanted) > 0; }

std::size_t linesOf(std::string_view Text) { return countOf(Text, "\n"); }

KindId kindId(std::size_t Index) { return KindId{static_cast<std::uint32_t>(Index + 1)}; }

std::string kindName(std::size_t Index) { return "k" + std::to_string(Index); }

/// A service with one server and the first Kinds kinds; the last one is not idempotent.
std::shared_ptr<const SiteSettings> siteWith(const std::string &Policy, std::size_t Kinds) {
  auto Site = std::make_shared<SiteSettings>();
  ServiceSettings Service{.m_Id = ServiceId{1}, .m_Name = "desk", .m_Policy = {.m_Name = Policy}};
  for (std::size_t Index = 0; Index < Kinds; ++Index) {
    Service.m_Kinds.push_back(
        {.m_Id = kindId(Index), .m_Name = kindName(Index), .m_Idempotent = Index + 1 < Kinds});
  }
  Service.m_Servers.push_back({.m_Id = ServerId{1}, .m_Name = "s"});
  Site->m_Services.push_back(std::move(Service));
  return Site;
}

/// One VM that gets requests of some kinds.
class ObservedVm {
public:
  ObservedVm(const std::string &Policy, std::size_t Kinds)
      : m_Node({.m_Name = "vm", .m_Settings = siteWith(Policy, Kinds)}) {
    send(kernel::TimerFired{});
  }

  void arrive(std::size_t Kind, std::string Key = "") {
    send(kernel::RequestArrived{.m_Request = RequestId{++m_LastRequest},
                                .m_Service = ServiceId{1},
                                .m_Kind = kindId(Kind),
                                .m_Key = std::move(Key)});
  }

  kernel::NodeStatus status() const { return m_Node.status(m_Clock.now()); }
  std::string text() const { return Metrics().text(status(), {}); }

private:
  void send(const kernel::Event &Input) {
    kernel::Actions Out;
    m_Node.handle(Input, m_Clock.now(), Out);
  }

  PausedClock m_Clock;
  kernel::Node m_Node;
  std::uint64_t m_LastRequest = 0;
};

/// A status with the given number of kinds; each had one request more than the one before it.
kernel::NodeStatus statusWith(std::size_t Kinds) {
  kernel::NodeStatus Status;
  for (std::size_t Index = 0; Index < Kinds; ++Index) {
    Status.m_Kinds.push_back({.m_Kind = kindId(Index),
                              .m_Name = "desk/" + kindName(Index),
                              .m_Arrived = Index + 1,
                              .m_Completed = Index + 1});
  }
  return Status;
}

class MetricsOfPolicy : public testing::TestWithParam<const char *> {};

TEST_P(MetricsOfPolicy, ConfiguredKindsWithoutRequestsGiveNoSeries) {
  ObservedVm Few(GetParam(), 2);
  ObservedVm Many(GetParam(), ManyKinds);
  EXPECT_EQ(linesOf(Many.text()), linesOf(Few.text()));
  Few.arrive(0);
  Many.arrive(0);
  EXPECT_EQ(linesOf(Many.text()), linesOf(Few.text()));
  EXPECT_TRUE(contains(Many.text(), "vanillahill_requests_total{kind=\"desk/k0\"} 1\n"));
  ASSERT_EQ(Many.status().m_Kinds.size(), 1U) << "the status copies no other kinds";
  EXPECT_EQ(Many.status().m_Kinds.front().m_Name, "desk/k0");
}

TEST_P(MetricsOfPolicy, KindWhoseRequestsNeverReachTheDispatcherKeepsItsCounters) {
  constexpr std::size_t Kinds = 3;
  ObservedVm Vm(GetParam(), Kinds);
  Vm.arrive(Kinds - 1, "key");
  const std::string Text = Vm.text();
  EXPECT_TRUE(contains(Text, "vanillahill_requests_total{kind=\"desk/k2\"} 1\n")) << Text;
  EXPECT_TRUE(contains(Text, "vanillahill_unknown_total{kind=\"desk/k2\",reason=\"no_lease\"} 1\n"))
      << Text;
}

INSTANTIATE_TEST_SUITE_P(Policies, MetricsOfPolicy, testing::Values("probed", "leased"));

TEST(Metrics, ReasonsThatNeverOccurredGiveNoSeries) {
  kernel::NodeStatus Status = statusWith(1);
  kernel::KindCounters &Kind = Status.m_Kinds.front();
  Kind.m_NotRun[static_cast<std::size_t>(kernel::Reason::Overload)] = 3;
  Kind.m_Retries[static_cast<std::size_t>(kernel::RetryReason::Hedge)] = 2;
  const std::string Text = Metrics().text(Status, {});
  EXPECT_EQ(countOf(Text, "\nvanillahill_refused_total{"), 1U);
  EXPECT_TRUE(
      contains(Text, "vanillahill_refused_total{kind=\"desk/k0\",reason=\"overload\"} 3\n"));
  EXPECT_EQ(countOf(Text, "\nvanillahill_retries_total{"), 1U);
  EXPECT_TRUE(contains(Text, "vanillahill_retries_total{kind=\"desk/k0\",reason=\"hedge\"} 2\n"));
  EXPECT_FALSE(contains(Text, "vanillahill_unknown_total"));
}

TEST(Metrics, TrafficOverThousandsOfKindsGivesABoundedText) {
  Metrics Counted;
  for (std::size_t Kind = 0; Kind < 2 * ManyKinds; ++Kind) {
    Counted.observeLatency(kindId(Kind), kernel::Outcome::Completed, milliseconds(7));
  }
  const std::string Text = Counted.text(statusWith(ManyKinds), {});
  EXPECT_EQ(linesOf(Counted.text(statusWith(2 * ManyKinds), {})), linesOf(Text));
  constexpr std::size_t LargestText = 400'000; // bytes
  EXPECT_LT(Text.size(), LargestText);
  const std::size_t Exported = countOf(Text, "\nvanillahill_requests_total{");
  EXPECT_EQ(countOf(Text, "\nvanillahill_request_seconds_count{"), Exported);
  EXPECT_TRUE(contains(Text, "\nvanillahill_kinds_left_out " +
                                 std::to_string(ManyKinds - Exported) + "\n"));
}

TEST(Metrics, MostUsedKindsAreNotLeftOut) {
  Metrics Counted;
  Counted.observeLatency(kindId(0), kernel::Outcome::Completed, milliseconds(7));
  Counted.observeLatency(kindId(ManyKinds - 1), kernel::Outcome::Completed, milliseconds(7));
  const std::string Text = Counted.text(statusWith(ManyKinds), {});
  EXPECT_TRUE(contains(Text, "vanillahill_requests_total{kind=\"desk/k4199\"} 4200\n"));
  EXPECT_TRUE(contains(
      Text, "vanillahill_request_seconds_count{kind=\"desk/k4199\",outcome=\"completed\"} 1\n"));
  EXPECT_FALSE(contains(Text, "kind=\"desk/k0\"")) << "the least used kind";
}

TEST(Metrics, NoKindIsLeftOutOfASmallSite) {
  const std::string Text = Metrics().text(statusWith(20), {});
  EXPECT_EQ(countOf(Text, "\nvanillahill_completed_total{"), 20U);
  EXPECT_TRUE(contains(Text, "\nvanillahill_kinds_left_out 0\n"));
}

} // namespace
} // namespace vanillahill::observe
