#include "vanillahill/net/detail/completed_requests.hpp"

#include <gtest/gtest.h>

namespace vanillahill::net {
namespace {

CallerRequestPtr requestOf(std::size_t BodyBytes, std::size_t HeaderBytes = 0) {
  auto Request = std::make_shared<CallerRequest>();
  Request->m_Message.target("/deposit/new");
  Request->m_Message.body() = std::string(BodyBytes, 'b');
  if (HeaderBytes > 0) {
    Request->m_Message.set("Note", std::string(HeaderBytes, 'h'));
  }
  return Request;
}

RequestId idOfNumber(std::size_t Number) { return static_cast<RequestId>(Number); }

TEST(CompletedRequests, TheOldestGoFirst) {
  CompletedRequests Kept;
  const auto First = requestOf(10);
  Kept.add(idOfNumber(1), First);
  for (std::size_t Number = 2; Number <= CompletedRequests::MaxRequests; ++Number) {
    Kept.add(idOfNumber(Number), requestOf(10));
  }
  EXPECT_EQ(Kept.find(idOfNumber(1)), First);
  Kept.add(idOfNumber(9999), requestOf(10));
  EXPECT_EQ(Kept.find(idOfNumber(1)), nullptr);
  EXPECT_NE(Kept.find(idOfNumber(2)), nullptr);
  EXPECT_EQ(Kept.size(), CompletedRequests::MaxRequests);
}

// Guards against bodies and headers of past requests that take a process over its memory.
TEST(CompletedRequests, MemoryIsBounded) {
  CompletedRequests Kept;
  for (std::size_t Number = 1; Number <= 2 * CompletedRequests::MaxRequests; ++Number) {
    Kept.add(idOfNumber(Number), requestOf(Number % 2 == 0 ? 30'000 : 0, 12'000));
    ASSERT_LE(Kept.bytes(), CompletedRequests::MaxBytes);
  }
  // No more is evicted than the last request needs.
  EXPECT_GE(Kept.bytes(), CompletedRequests::MaxBytes - CompletedRequests::MaxRequestBytes);
}

TEST(CompletedRequests, ALargeRequestDoesNotPushOthersOut) {
  CompletedRequests Kept;
  Kept.add(idOfNumber(1), requestOf(10));
  Kept.add(idOfNumber(2), requestOf(16'000'000));
  EXPECT_NE(Kept.find(idOfNumber(1)), nullptr);
  EXPECT_EQ(Kept.find(idOfNumber(2)), nullptr);
}

} // namespace
} // namespace vanillahill::net
