#include "vanillahill/net/head_check.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace vanillahill::net {
namespace {

struct HeadCase {
  std::string_view m_Head;
  CallerFault m_Fault;
};

constexpr std::string_view ValidHead = "GET /a/b HTTP/1.1\r\nHost: x\r\nA: b c\r\n\r\n";

const HeadCase Cases[] = {
    {ValidHead, CallerFault::None},
    {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n", CallerFault::None},
    {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\n\r\n", CallerFault::None},
    {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
     CallerFault::TwoLengths},
    {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\ncontent-length: 3\r\n\r\n",
     CallerFault::TwoLengths},
    {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3, 3\r\n\r\n", CallerFault::BadLength},
    {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: +3\r\n\r\n", CallerFault::BadLength},
    {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length:\r\n\r\n", CallerFault::BadLength},
    {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
     CallerFault::LengthWithChunked},
    {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n",
     CallerFault::TransferEncoding},
    {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
     CallerFault::TransferEncoding},
    {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
     "chunked\r\n\r\n",
     CallerFault::TransferEncoding},
    {"GET / HTTP/1.1\r\nHost: x\r\nContent-Length : 3\r\n\r\n", CallerFault::HeaderName},
    {"GET / HTTP/1.1\r\nHost: x\r\n: y\r\n\r\n", CallerFault::HeaderName},
    {"GET / HTTP/1.1\r\nHost: x\r\nno colon\r\n\r\n", CallerFault::HeaderName},
    {"GET / HTTP/1.1\r\nHost: x\r\nA: b\r\n c\r\n\r\n", CallerFault::FoldedHeader},
    {"GET / HTTP/1.1\nHost: x\r\n\r\n", CallerFault::BareLineEnd},
    {"GET / HTTP/1.1\r\nHost: x\r\nA: b\rC: d\r\n\r\n", CallerFault::BareLineEnd},
    {"GET / HTTP/1.1\r\nHost: x\r\nA: \x01\r\n\r\n", CallerFault::ControlByte},
    {"GET / HTTP/1.1\r\n\r\n", CallerFault::Host},
    {"GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", CallerFault::Host},
    {"GET / HTTP/1.1\r\nHost: x\r\n", CallerFault::Malformed},
};

TEST(HeadCheck, RefusesInvalidOrAmbiguousHeads) {
  for (const auto &Case : Cases) {
    EXPECT_EQ(checkHead(Case.m_Head, HeadKind::Request), Case.m_Fault) << Case.m_Head;
  }
}

TEST(HeadCheck, ReplyNeedsNoHostHeader) {
  EXPECT_EQ(checkHead("HTTP/1.1 200 OK\r\n\r\n", HeadKind::Reply), CallerFault::None);
}

TEST(HeadCheck, AcceptsEveryPrefixOfValidHeadAsPartialHead) {
  for (std::size_t Length = 0; Length < ValidHead.size(); ++Length) {
    EXPECT_EQ(headLength(ValidHead.substr(0, Length)), 0U);
    EXPECT_EQ(checkPartialHead(ValidHead.substr(0, Length)), CallerFault::None);
  }
  EXPECT_EQ(headLength(ValidHead), ValidHead.size());
}

RC_GTEST_PROP(HeadCheck, AcceptedHeadsContainNoBareLineFeed, (const std::string &HeaderValue)) {
  const auto Head = "GET / HTTP/1.1\r\nHost: x\r\nA: " + HeaderValue + "\r\n\r\n";
  if (checkHead(Head, HeadKind::Request) != CallerFault::None) {
    return;
  }
  for (std::size_t Index = 0; Index < Head.size(); ++Index) {
    if (Head[Index] == '\n') {
      RC_ASSERT(Head[Index - 1] == '\r');
    }
  }
}

} // namespace
} // namespace vanillahill::net
