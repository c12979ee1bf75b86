#include "dialect.hpp"

#include <gtest/gtest.h>

namespace vanillahill::wire {
namespace {

namespace http = net::http;
using net::HttpReply;

net::BackendExchange requestExchange() {
  auto Request = std::make_shared<net::CallerRequest>();
  Request->m_CallerId = "id-1";
  return {.m_Id = 1, .m_Request = std::move(Request), .m_ServerName = "i-1"};
}

net::BackendExchange probeExchange() { return {.m_Id = 2, .m_ServerName = "i-1"}; }

struct Header {
  const char *m_Name;
  const char *m_Value;
};

HttpReply replyOf(unsigned Status, std::initializer_list<Header> Headers) {
  HttpReply Message;
  Message.version(11);
  Message.result(Status);
  Message.body() = "body";
  for (const Header &Each : Headers) {
    Message.set(Each.m_Name, Each.m_Value);
  }
  return Message;
}

net::ExchangeEnd read(HttpReply Message, const net::BackendExchange &Exchange) {
  return platformDialect().m_ReadReply(std::move(Message), Exchange);
}

constexpr Header OwnId{"Request-Id", "id-1"};
constexpr Header Signature{"Response-Signature", "sig"};
constexpr Header NotRun{"Not-Executed", "1"};
constexpr Header Leaving{"Server-Leaving", "1"};

TEST(PlatformDialect, AServersOwnReplySaysThatItIsLeaving) {
  const auto Exchange = requestExchange();
  EXPECT_TRUE(read(replyOf(200, {OwnId, Signature, Leaving}), Exchange).m_ServerLeaving);
  EXPECT_TRUE(read(replyOf(500, {OwnId, Signature, Leaving}), Exchange).m_ServerLeaving);
  EXPECT_TRUE(read(replyOf(503, {OwnId, NotRun, Leaving}), Exchange).m_ServerLeaving);
  EXPECT_FALSE(read(replyOf(200, {OwnId, Signature}), Exchange).m_ServerLeaving);
  EXPECT_FALSE(
      read(replyOf(200, {OwnId, Signature, {"Server-Leaving", "0"}}), Exchange).m_ServerLeaving);
  EXPECT_FALSE(
      read(replyOf(200, {OwnId, Signature, {"Server-Leaving", ""}}), Exchange).m_ServerLeaving);
}

TEST(PlatformDialect, AReplyThatIsNotTheServersOwnSaysNothingAboutIt) {
  const auto Exchange = requestExchange();
  EXPECT_FALSE(read(replyOf(200, {OwnId, Leaving}), Exchange).m_ServerLeaving) << "unsigned";
  EXPECT_FALSE(
      read(replyOf(200, {OwnId, Signature, Leaving, {"Content-Encoding", "gzip"}}), Exchange)
          .m_ServerLeaving);
  EXPECT_FALSE(read(replyOf(421, {OwnId, NotRun, Leaving}), Exchange).m_ServerLeaving)
      << "from the server that has the address now";
  EXPECT_FALSE(platformDialect().m_BelongsTo(
      replyOf(200, {{"Request-Id", "id-2"}, Signature, Leaving}), Exchange));
}

TEST(PlatformDialect, OnlyAHealthReplyThatNamesTheServerSaysThatItIsLeaving) {
  const auto Exchange = probeExchange();
  EXPECT_TRUE(read(replyOf(200, {{"Instance-Id", "i-1"}, Leaving}), Exchange).m_ServerLeaving);
  EXPECT_TRUE(read(replyOf(503, {{"Instance-Id", "i-1"}, Leaving}), Exchange).m_ServerLeaving);
  EXPECT_FALSE(read(replyOf(200, {{"Instance-Id", "i-2"}, Leaving}), Exchange).m_ServerLeaving);
  EXPECT_FALSE(read(replyOf(200, {Leaving}), Exchange).m_ServerLeaving);
}

TEST(PlatformDialect, APauseIsReadInSecondsAndCutToTheLongest) {
  using std::chrono::milliseconds;
  using std::chrono::seconds;
  EXPECT_EQ(decodePause("3"), seconds(3));
  EXPECT_EQ(decodePause("0.25"), milliseconds(250));
  EXPECT_EQ(decodePause("2.5"), milliseconds(2500));
  EXPECT_EQ(decodePause("600"), LongestPause);
  EXPECT_EQ(decodePause("99999999999999999999"), LongestPause);
  const std::string TooLarge(400, '9');
  for (const std::string_view Text :
       {"", "0", "0.0", "-1", "-0", "+3", "soon", "3s", "3 s", "3,5", "1e3", "0x5", "nan", "inf",
        "infinity", "Wed, 21 Oct 2026 07:28:00 GMT", TooLarge.c_str()}) {
    EXPECT_EQ(decodePause(Text), Duration::zero()) << Text;
  }
}

TEST(PlatformDialect, OnlyAServersOwn503AsksForAPause) {
  const auto Exchange = requestExchange();
  constexpr Header Wait{"Retry-After", "3"};
  const Duration Asked = std::chrono::seconds(3);
  EXPECT_EQ(read(replyOf(503, {OwnId, NotRun, Wait}), Exchange).m_PauseFor, Asked);
  EXPECT_EQ(read(replyOf(503, {OwnId, Signature, Wait}), Exchange).m_PauseFor, Asked);
  EXPECT_EQ(read(replyOf(503, {{"Instance-Id", "i-1"}, Wait}), probeExchange()).m_PauseFor, Asked);
  for (const unsigned Status : {200U, 421U, 429U, 500U}) {
    EXPECT_EQ(read(replyOf(Status, {OwnId, NotRun, Wait}), Exchange).m_PauseFor, Duration::zero())
        << Status;
  }
  EXPECT_EQ(read(replyOf(503, {OwnId, Wait}), Exchange).m_PauseFor, Duration::zero()) << "unsigned";
  EXPECT_EQ(read(replyOf(503, {{"Instance-Id", "i-2"}, Wait}), probeExchange()).m_PauseFor,
            Duration::zero());
  const auto Passed = read(replyOf(500, {OwnId, Signature, Wait}), Exchange);
  ASSERT_NE(Passed.m_Reply, nullptr);
  EXPECT_EQ(Passed.m_Reply->m_Headers.back().m_Name, "Retry-After")
      << "with another status it is for the caller";
}

TEST(PlatformDialect, CallersAreNotToldThatAServerIsLeaving) {
  const auto End =
      read(replyOf(200, {OwnId, Signature, Leaving, {"X-Own", "kept"}}), requestExchange());
  ASSERT_NE(End.m_Reply, nullptr);
  const auto &Headers = End.m_Reply->m_Headers;
  const auto Has = [&Headers](std::string_view Name) {
    return std::any_of(Headers.begin(), Headers.end(),
                       [Name](const ReplyHeader &Each) { return Each.m_Name == Name; });
  };
  EXPECT_FALSE(Has("Server-Leaving"));
  EXPECT_TRUE(Has("X-Own"));
  EXPECT_TRUE(Has("Response-Signature"));
}

TEST(PlatformDialect, ALimitIsADecimalNumberOfRequestsPerSecond) {
  EXPECT_EQ(decodeRequestLimit("6"), 6.0);
  EXPECT_EQ(decodeRequestLimit("5.7"), 5.7);
  EXPECT_EQ(decodeRequestLimit("0.3"), 0.3);
  EXPECT_EQ(decodeRequestLimit("0"), 0.0);
  EXPECT_EQ(decodeRequestLimit("1000000000"), 1e9);
  const std::string TooLarge(400, '9');
  for (const std::string_view Text : {"", "-1", "+3", "many", "6/s", "6 ", " 6", "3,5", "1e9",
                                      "0x5", "nan", "inf", "infinity", "-inf", TooLarge.c_str()}) {
    EXPECT_EQ(decodeRequestLimit(Text), std::nullopt) << Text;
  }
}

constexpr Header Limit{"Server-Limit", "6"};

TEST(PlatformDialect, OnlyAServersOwnReplyNamesALimit) {
  const auto Exchange = requestExchange();
  EXPECT_EQ(read(replyOf(200, {OwnId, Signature, Limit}), Exchange).m_RequestLimit, 6.0);
  EXPECT_EQ(read(replyOf(500, {OwnId, Signature, Limit}), Exchange).m_RequestLimit, 6.0);
  EXPECT_EQ(read(replyOf(503, {OwnId, NotRun, Limit}), Exchange).m_RequestLimit, 6.0);
  EXPECT_EQ(read(replyOf(200, {{"Instance-Id", "i-1"}, Limit}), probeExchange()).m_RequestLimit,
            6.0);
  for (const Header &Other : {Header{"Content-Encoding", "gzip"}, Header{"X", "unsigned"}}) {
    const Header &Proof = Other.m_Name == std::string_view("X") ? Other : Signature;
    EXPECT_EQ(read(replyOf(200, {OwnId, Proof, Other, Limit}), Exchange).m_RequestLimit,
              std::nullopt);
  }
  EXPECT_EQ(read(replyOf(421, {OwnId, NotRun, Limit}), Exchange).m_RequestLimit, std::nullopt);
  EXPECT_EQ(read(replyOf(200, {{"Instance-Id", "i-2"}, Limit}), probeExchange()).m_RequestLimit,
            std::nullopt);
}

TEST(PlatformDialect, OnlyAReplyToARequestThatRanEndsALimit) {
  const auto Exchange = requestExchange();
  EXPECT_EQ(read(replyOf(200, {OwnId, Signature}), Exchange).m_RequestLimit,
            kernel::NoRequestLimit);
  EXPECT_EQ(read(replyOf(503, {OwnId, NotRun}), Exchange).m_RequestLimit, std::nullopt);
  EXPECT_EQ(read(replyOf(200, {OwnId}), Exchange).m_RequestLimit, std::nullopt) << "unsigned";
  EXPECT_EQ(read(replyOf(200, {{"Instance-Id", "i-1"}}), probeExchange()).m_RequestLimit,
            std::nullopt);
  for (const char *Malformed : {"", "-1", "nan"}) {
    EXPECT_EQ(read(replyOf(200, {OwnId, Signature, {"Server-Limit", Malformed}}), Exchange)
                  .m_RequestLimit,
              std::nullopt)
        << "a malformed value neither names nor ends a limit";
  }
}

TEST(PlatformDialect, TheLowestOfSeveralLimitsHolds) {
  HttpReply Message = replyOf(200, {OwnId, Signature, Limit});
  Message.insert("Server-Limit", "2.5");
  EXPECT_EQ(read(Message, requestExchange()).m_RequestLimit, 2.5);
  Message.insert("Server-Limit", "nan");
  EXPECT_EQ(read(Message, requestExchange()).m_RequestLimit, std::nullopt);
}

TEST(PlatformDialect, ALimitIsNotPassedOnToCallers) {
  const auto End = read(replyOf(200, {OwnId, Signature, Limit}), requestExchange());
  ASSERT_NE(End.m_Reply, nullptr);
  for (const ReplyHeader &Passed : End.m_Reply->m_Headers) {
    EXPECT_NE(Passed.m_Name, "Server-Limit");
  }
}

} // namespace
} // namespace vanillahill::wire
