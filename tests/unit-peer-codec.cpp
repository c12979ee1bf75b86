#include "vanillahill/peer/delta.hpp"

#include "peer_messages.hpp"

#include <algorithm>
#include <limits>
#include <random>

namespace vanillahill::peer {
namespace {

using Bytes = std::vector<std::uint8_t>;

Bytes standard(std::initializer_list<int> Values) { return {Values.begin(), Values.end()}; }

TEST(PeerCodec, EveryMessageIsEqualAfterEncodeAndDecode) {
  EXPECT_TRUE(rc::check([](const Message &Value) {
    const Result<DecodedMessage> Decoded = decode(encode(Value));
    RC_ASSERT(Decoded.has_value());
    RC_ASSERT(Decoded->m_Message.has_value());
    RC_ASSERT(Decoded->m_Message->index() == Value.index());
    // Encoding is deterministic, so equal bytes mean equal values.
    RC_ASSERT(encode(*Decoded->m_Message) == encode(Value));
    RC_ASSERT(describe(*Decoded->m_Message) == describe(Value));
  }));
}

TEST(PeerCodec, EveryTruncationIsRefused) {
  EXPECT_TRUE(rc::check([](const Message &Value) {
    const Bytes Encoded = encode(Value);
    for (std::size_t Size = 0; Size < Encoded.size(); ++Size) {
      const Result<DecodedMessage> Decoded = decode(std::span(Encoded).first(Size));
      RC_ASSERT(!Decoded.has_value());
      RC_ASSERT(Decoded.error().m_Code == make_error_code(Errc::PeerFrameMalformed));
      RC_ASSERT(Decoded.error().m_Step == "decode peer frame");
    }
  }));
}

TEST(PeerCodec, TrailingByteIsRefused) {
  EXPECT_TRUE(rc::check([](const Message &Value, std::uint8_t Extra) {
    Bytes Longer = encode(Value);
    Longer.push_back(Extra);
    RC_ASSERT(!decode(Longer).has_value());
  }));
}

TEST(PeerCodec, FlippedBitIsRefusedOrGivesAnEncodableMessage) {
  EXPECT_TRUE(rc::check([](const Message &Value) {
    Bytes Frame = encode(Value);
    const auto Bit = *rc::gen::inRange<std::size_t>(0, Frame.size() * 8);
    Frame[Bit / 8] ^= static_cast<std::uint8_t>(1U << (Bit % 8));
    const Result<DecodedMessage> Decoded = decode(Frame);
    if (Decoded && Decoded->m_Message) {
      RC_ASSERT(decode(encode(*Decoded->m_Message)).has_value());
    }
  }));
}

TEST(PeerCodec, RandomBytesNeverCrash) {
  constexpr int Rounds = 200000;
  std::mt19937_64 Engine(20261203);
  DeltaDecoder Connection;
  for (int Round = 0; Round < Rounds; ++Round) {
    Bytes Frame(Engine() % 48);
    for (std::uint8_t &Byte : Frame) {
      Byte = static_cast<std::uint8_t>(Engine());
    }
    if (Frame.size() > 3 && Round % 2 == 0) {
      Frame[0] = 0x80 | static_cast<std::uint8_t>(Frame[0] % 16);
      Frame[1] = 1;
      Frame[2] %= 12;
    }
    (void)decode(Frame);
    (void)Connection.decode(Frame);
  }
}

TEST(PeerCodec, DeepNestingAndExcessiveLengthsAreRefused) {
  EXPECT_FALSE(decode(Bytes(1U << 20U, 0x81)).has_value());
  EXPECT_FALSE(decode(Bytes(1U << 20U, 0x9F)).has_value());
  EXPECT_FALSE(decode(Bytes(1U << 20U, 0x7F)).has_value());
  EXPECT_FALSE(decode(Bytes(1U << 20U, 0xC1)).has_value());
  EXPECT_FALSE(decode(standard({0x9B, 0, 0, 0, 1, 0, 0, 0, 0})).has_value());
  EXPECT_FALSE(decode(standard({0x83, 1, 7, 0x9A, 0xFF, 0xFF, 0xFF, 0xFF})).has_value());
}

TEST(PeerCodec, UnknownTypeIsIgnored) {
  const Result<DecodedMessage> Decoded = decode(standard({0x83, 1, 0x18, 99, 7}));
  ASSERT_TRUE(Decoded.has_value());
  EXPECT_FALSE(Decoded->m_Message.has_value());
  EXPECT_EQ(Decoded->m_Type, 99U);
}

TEST(PeerCodec, FieldsAfterTheLastKnownAreIgnored) {
  const Result<DecodedMessage> Decoded = decode(standard({0x86, 1, 1, 5, 6, 0x82, 1, 2, 0xF6}));
  ASSERT_TRUE(Decoded.has_value());
  EXPECT_EQ(std::get<HeartbeatAck>(*Decoded->m_Message).m_Sequence, 6U);
}

TEST(PeerCodec, ErrorNamesTheFieldAndWhatIsAllowed) {
  // HeartbeatAck whose sequence is a string; SlotLoan whose second slot lacks its index.
  const auto Ack = decode(standard({0x84, 1, 1, 5, 0x61, 'x'}));
  ASSERT_FALSE(Ack.has_value());
  EXPECT_EQ(Ack.error().m_Detail, "field HeartbeatAck.sequence: expected an integer from 0 to "
                                  "18446744073709551615, found string");
  const auto Loan = decode(standard({0x85, 1, 3, 9, 0x82, 0x82, 1, 2, 0x81, 3, 0}));
  ASSERT_FALSE(Loan.has_value());
  EXPECT_EQ(Loan.error().m_Detail, "field SlotLoan.slots[1].index: missing");
}

TEST(PeerCodec, OtherVersionIsUnsupported) {
  const auto Decoded = decode(standard({0x82, 2, 8}));
  ASSERT_FALSE(Decoded.has_value());
  EXPECT_EQ(Decoded.error().m_Code, make_error_code(Errc::PeerVersionUnsupported));
}

/// No limit on the changed hints of one heartbeat.
constexpr std::size_t UnlimitedHints = std::numeric_limits<std::size_t>::max();

TEST(PeerDelta, SequenceOfMessagesIsEqualAfterEncodeAndDecode) {
  EXPECT_TRUE(rc::check([](const std::vector<Message> &Values) {
    DeltaEncoder Sender(UnlimitedHints);
    DeltaDecoder Receiver;
    for (const Message &Value : Values) {
      const Result<DecodedMessage> Decoded = Receiver.decode(Sender.encode(Value));
      RC_ASSERT(Decoded.has_value());
      RC_ASSERT(Decoded->m_Message.has_value());
      RC_ASSERT(describe(*Decoded->m_Message) == describe(Value));
    }
  }));
}

TEST(PeerDelta, ChangedFieldsAreDecoded) {
  EXPECT_TRUE(rc::check([](Heartbeat Value, const std::vector<Heartbeat> &Others) {
    DeltaEncoder Sender(UnlimitedHints);
    DeltaDecoder Receiver;
    RC_ASSERT(Receiver.decode(Sender.encode(Value)).has_value());
    for (const Heartbeat &Other : Others) {
      changeOneField(Value, Other, *rc::gen::inRange(0, 7));
      const Result<DecodedMessage> Decoded = Receiver.decode(Sender.encode(Value));
      RC_ASSERT(Decoded.has_value());
      RC_ASSERT(describe(*Decoded->m_Message) == describe(Value));
    }
  }));
}

TEST(PeerDelta, HintsBeyondTheLimitAreSentInLaterHeartbeats) {
  constexpr std::size_t MaxChanges = 3;
  EXPECT_TRUE(rc::check([](Heartbeat Value, Heartbeat Changed) {
    DeltaEncoder Sender(MaxChanges);
    DeltaDecoder Receiver;
    RC_ASSERT(Receiver.decode(Sender.encode(Value)).has_value());
    Changed.m_Incarnation = Value.m_Incarnation;
    Changed.m_Hints = Value.m_Hints;
    for (ServiceHint &Hint : Changed.m_Hints) {
      Hint.m_Queued = *rc::gen::arbitrary<std::uint32_t>();
    }
    Message Last;
    for (std::size_t Sent = 0; Sent <= Changed.m_Hints.size(); Sent += MaxChanges) {
      const auto Decoded = Receiver.decode(Sender.encode(Changed));
      RC_ASSERT(Decoded.has_value());
      Last = *Decoded->m_Message;
      RC_ASSERT(std::get<Heartbeat>(Last).m_Avoid == Changed.m_Avoid);
    }
    RC_ASSERT(describe(Last) == describe(Changed));
  }));
}

TEST(PeerDelta, ConstantlyChangingHintsAreSentRoundRobin) {
  Heartbeat Value;
  Value.m_Hints.resize(10);
  DeltaEncoder Sender(3);
  DeltaDecoder Receiver;
  ASSERT_TRUE(Receiver.decode(Sender.encode(Value)).has_value());
  for (std::uint32_t Round = 1; Round <= 4; ++Round) {
    for (ServiceHint &Hint : Value.m_Hints) {
      Hint.m_Queued = Round;
    }
    const auto Decoded = Receiver.decode(Sender.encode(Value));
    ASSERT_TRUE(Decoded.has_value());
    const auto &Hints = std::get<Heartbeat>(*Decoded->m_Message).m_Hints;
    EXPECT_EQ(std::ranges::count(Hints, Round, &ServiceHint::m_Queued), 3);
    if (Round == 4) {
      EXPECT_EQ(std::ranges::count(Hints, 0U, &ServiceHint::m_Queued), 0);
    }
  }
}

TEST(PeerDelta, HeartbeatWithoutChangesTakesFourBytes) {
  Heartbeat Value;
  Value.m_Incarnation = 7;
  Value.m_Hints = {{ServiceId{9}, 2, 3}};
  DeltaEncoder Sender;
  (void)Sender.encode(Value);
  ++Value.m_Sequence;
  EXPECT_EQ(Sender.encode(Value).size(), 4U);
}

TEST(PeerDelta, DifferenceWithoutAnEarlierMessageIsRefused) {
  DeltaDecoder Receiver;
  EXPECT_FALSE(Receiver.decode(standard({0x83, 1, 9, 1})).has_value());
  EXPECT_FALSE(Receiver.decode(standard({0x83, 1, 10, 1})).has_value());
}

TEST(PeerDelta, ChangeOfAHintThatDoesNotExistIsRefused) {
  DeltaEncoder Sender;
  DeltaDecoder Receiver;
  ASSERT_TRUE(Receiver.decode(Sender.encode(Heartbeat{})).has_value());
  EXPECT_FALSE(Receiver.decode(standard({0x85, 1, 9, 1, 8, 0x83, 0, 1, 1})).has_value());
}

} // namespace
} // namespace vanillahill::peer
