#include "vanillahill/core/error.hpp"

#include <gtest/gtest.h>

namespace vanillahill {
namespace {

TEST(Error, TextHasStepPeerMessageDetailAndNumber) {
  const Error Value{Errc::BackendTimeout, "send request", "127.0.0.1:9000", "no reply in 20 ms"};
  EXPECT_EQ(toString(Value),
            "send request (127.0.0.1:9000): backend server did not answer in time: "
            "no reply in 20 ms [vanillahill 504]");
}

TEST(Error, ValueOfFailedResultThrowsSystemErrorWithItsCode) {
  const Result<int> Failed = Error{Errc::LogUnavailable, "append", "log", "connection refused"};
  try {
    (void)Failed.value();
    FAIL() << "value() of a failed result returned";
  } catch (const std::system_error &Raised) {
    EXPECT_EQ(Raised.code(), make_error_code(Errc::LogUnavailable));
  }
}

} // namespace
} // namespace vanillahill
