#include "vanillahill/net/detail/node_loop.hpp"

#include "net_fakes.hpp"

#include <gtest/gtest.h>

#include <stdexcept>

namespace vanillahill::net::fakes {
namespace {

kernel::RequestArrived lookRequest(std::uint64_t Id) {
  return {.m_Request = static_cast<RequestId>(Id),
          .m_Service = idOf<ServiceId>("desk"),
          .m_Kind = idOf<KindId>("desk/none")};
}

kernel::NodeOptions nodeOptions() {
  return {.m_Name = "e1", .m_Settings = std::make_shared<const SiteSettings>(deskSettings({}))};
}

TEST(NodeLoop, ExecutesEachActionOnceAndInOneThreadAtATime) {
  constexpr std::uint64_t PerThread = 500;
  constexpr int Threads = 4;
  std::atomic<int> Executing = 0;
  std::atomic<bool> Overlapped = false;
  std::atomic<std::uint64_t> Answers = 0;
  NodeLoop Loop(
      nodeOptions(),
      [&](kernel::Action &Step) {
        Overlapped = Overlapped || ++Executing != 1;
        Answers += std::holds_alternative<kernel::Answer>(Step) ? 1 : 0;
        --Executing;
      },
      [](TimePoint) {});
  std::vector<std::thread> PostingThreads;
  PostingThreads.reserve(Threads);
  for (int Index = 0; Index < Threads; ++Index) {
    PostingThreads.emplace_back([&Loop, Index] {
      for (std::uint64_t Id = 1; Id <= PerThread; ++Id) {
        Loop.post(lookRequest(static_cast<std::uint64_t>(Index) * PerThread + Id));
      }
    });
  }
  for (auto &PostingThread : PostingThreads) {
    PostingThread.join();
  }
  EXPECT_FALSE(Overlapped);
  EXPECT_EQ(Answers, PerThread * Threads);
}

TEST(NodeLoop, ContinuesWithNextActionsAfterOneFails) {
  int Answers = 0;
  NodeLoop Loop(
      nodeOptions(),
      [&Answers](kernel::Action &Step) {
        if (std::holds_alternative<kernel::Answer>(Step) && ++Answers == 1) {
          throw std::runtime_error("no descriptors left");
        }
      },
      [](TimePoint) {});
  Loop.post(lookRequest(1));
  Loop.post(lookRequest(2));
  EXPECT_EQ(Answers, 2);
}

} // namespace
} // namespace vanillahill::net::fakes
