#include "vanillahill/fleet/lapse_watch.hpp"
#include "vanillahill/fleet/news.hpp"
#include "vanillahill/fleet/peers.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace vanillahill::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

template <typename T> T roundTrip(const T &Message) {
  return std::get<T>(decodeNews(encodeNews(Message)).value());
}

TEST(News, EveryMessageSurvivesItsCodec) {
  EXPECT_TRUE(roundTrip(Hello{.m_AsksForPeers = true}).m_AsksForPeers);
  EXPECT_EQ(roundTrip(PeerList{.m_Ips = {"10.0.0.1", "10.0.0.2"}}).m_Ips.size(), 2U);
  const StoreNews Told = roundTrip(StoreNews{.m_Stream = Stream::Servers,
                                             .m_From = 7,
                                             .m_To = 9,
                                             .m_Age = milliseconds(3),
                                             .m_MayHaveLapsed = true,
                                             .m_IsSteady = true,
                                             .m_Records = {{"a", std::string("\0x", 2)}, {"b", {}}},
                                             .m_IsPartial = true});
  EXPECT_EQ(Told.m_Stream, Stream::Servers);
  EXPECT_EQ(Told.m_From, 7U);
  EXPECT_EQ(Told.m_To, 9U);
  EXPECT_EQ(Told.m_Age, milliseconds(3));
  EXPECT_TRUE(Told.m_MayHaveLapsed);
  EXPECT_TRUE(Told.m_IsPartial);
  EXPECT_TRUE(Told.m_IsSteady);
  ASSERT_EQ(Told.m_Records.size(), 2U);
  EXPECT_EQ(Told.m_Records[0].m_Value, std::string("\0x", 2));
  EXPECT_FALSE(Told.m_Records[1].m_Value);
  EXPECT_EQ(roundTrip(ServerFailed{.m_Server = ServerId{5}}).m_Server, ServerId{5});
  EXPECT_EQ(roundTrip(SnapshotWanted{.m_Version = 4, .m_ServersPosition = 8}).m_ServersPosition,
            8U);
  EXPECT_EQ(roundTrip(SnapshotPiece{.m_Number = 4, .m_Count = 1, .m_Bytes = "x"}).m_Bytes, "x");
}

RC_GTEST_PROP(News, AnyBytesAreAMessageOrAnError, (std::vector<char> Bytes)) {
  decodeNews({Bytes.data(), Bytes.size()});
}

RC_GTEST_PROP(News, AChangedMessageIsAMessageOrAnError, (std::uint16_t At, char Byte)) {
  std::string Datagram = encodeNews(StoreNews{.m_Stream = Stream::Servers,
                                              .m_From = 1,
                                              .m_To = 3,
                                              .m_Records = {{"key", "value"}, {"b", {}}}});
  Datagram[At % Datagram.size()] = Byte;
  decodeNews(Datagram);
}

RC_GTEST_PROP(News, ASplitRangeIsWholeAndFits, (std::vector<std::uint16_t> Sizes)) {
  RecordRange Range{.m_Stream = Stream::Servers, .m_From = 100, .m_To = 100 + Sizes.size()};
  const auto Keeps = std::make_unique<bool[]>(Sizes.size());
  std::vector<std::string> Kept;
  bool AnyLong = false;
  for (std::size_t Index = 0; Index < Sizes.size(); ++Index) {
    const std::size_t Bytes = Sizes[Index] % 1500;
    Range.m_Records.push_back({std::to_string(Index), std::string(Bytes, 'v')});
    Keeps[Index] = Sizes[Index] % 3 != 0;
    if (Keeps[Index] && Bytes > 1100) {
      AnyLong = true;
    } else if (Keeps[Index]) {
      Kept.push_back(std::to_string(Index));
    }
  }
  const auto Parts = splitNews(Range, {Keeps.get(), Sizes.size()}, {.m_Age = milliseconds(1)});
  std::uint64_t Next = Range.m_From;
  std::vector<std::string> Told;
  bool AnyPartial = false;
  for (const StoreNews &Part : Parts) {
    RC_ASSERT(Part.m_From == Next);
    RC_ASSERT(encodeNews(Part).size() <= MostDatagramBytes);
    Next = Part.m_To;
    AnyPartial = AnyPartial || Part.m_IsPartial;
    for (const Record &Entry : Part.m_Records) {
      Told.push_back(Entry.m_Key);
    }
  }
  RC_ASSERT(Next == Range.m_To);
  RC_ASSERT(AnyPartial || !AnyLong);
  if (!AnyPartial) {
    RC_ASSERT(Told == Kept);
  }
}

RC_GTEST_PROP(News, PiecesInAnyOrderMakeTheWhole, (std::string Text, std::uint32_t Seed)) {
  Text.append(3000, 'x');
  const Snapshot Whole{.m_ConfigurationPosition = 3,
                       .m_ConfigurationText = Text,
                       .m_ServersPosition = 9,
                       .m_Servers = {{"s1", "v"}}};
  auto Pieces = cutSnapshot(9, Whole);
  std::mt19937 Random(Seed);
  std::shuffle(Pieces.begin(), Pieces.end(), Random);
  PieceCollector Collector;
  for (std::size_t Index = 0; Index + 1 < Pieces.size(); ++Index) {
    RC_ASSERT(encodeNews(Pieces[Index]).size() <= MostDatagramBytes);
    RC_ASSERT(!Collector.take("a", Pieces[Index]));
    RC_ASSERT(!Collector.take("a", Pieces[Index]));
  }
  const auto Made = Collector.take("a", Pieces.back());
  RC_ASSERT(Made.has_value());
  RC_ASSERT(Made->m_ConfigurationText == Text);
  RC_ASSERT(Made->m_ServersPosition == 9U);
  RC_ASSERT(Made->m_Servers.size() == 1U);
}

TEST(News, SnapshotsOfTwoSendersAreNotMixed) {
  PieceCollector Collector;
  const auto First = cutSnapshot(1, {.m_ConfigurationText = std::string(2000, 'a')});
  const auto Second = cutSnapshot(1, {.m_ConfigurationText = std::string(2000, 'b')});
  EXPECT_FALSE(Collector.take("x", First[0]));
  EXPECT_FALSE(Collector.take("y", Second[0]));
  const auto Whole = Collector.take("y", Second[1]);
  ASSERT_TRUE(Whole);
  EXPECT_EQ(Whole->m_ConfigurationText, std::string(2000, 'b'));
  EXPECT_FALSE(Collector.take("z", {.m_Number = 3, .m_Index = 5, .m_Count = 2}));
  EXPECT_FALSE(Collector.take("z", {.m_Number = 3, .m_Index = 0, .m_Count = 1, .m_Bytes = "?"}));
}

TEST(Peers, AVmThatReadsOftenStillAsksTheSeedsWhileItIsAlone) {
  const TimePoint Start = TimePoint{} + std::chrono::hours(1);
  Peers Known({.m_SelfIp = "10.0.0.1", .m_SeedIps = {"10.0.0.2"}});
  std::size_t Asked = 0;
  for (TimePoint Now = Start; Now < Start + seconds(4); Now += milliseconds(100)) {
    Known.toldAll(Now);
    Asked += Known.dueHellos(Now).size();
  }
  EXPECT_GE(Asked, 8U);
}

TEST(LapseWatch, OneVmCutOffLearnsThatNothingLapsed) {
  const TimePoint Start = TimePoint{} + std::chrono::hours(1);
  LapseWatch Watch(seconds(2));
  EXPECT_FALSE(Watch.becameCurrent(std::nullopt, Start));
  EXPECT_FALSE(Watch.becameCurrent(Start, Start + seconds(1)));
  const TimePoint Back = Start + seconds(9);
  EXPECT_TRUE(Watch.becameCurrent(Start + seconds(1), Back));
  EXPECT_TRUE(Watch.mayHaveLapsed(Back));
  EXPECT_FALSE(Watch.isSteady(Back + seconds(1)));
  EXPECT_FALSE(Watch.heard(false, false, Back)) << "a VM that has just started cannot tell";
  EXPECT_FALSE(Watch.heard(true, true, Back));
  EXPECT_TRUE(Watch.heard(true, false, Back));
  EXPECT_FALSE(Watch.mayHaveLapsed(Back));
}

TEST(LapseWatch, AfterAnOutageNobodyRefutesAndTheGraceEnds) {
  const TimePoint Start = TimePoint{} + std::chrono::hours(1);
  LapseWatch One(seconds(2));
  LapseWatch Two(seconds(2));
  One.becameCurrent(std::nullopt, Start);
  Two.becameCurrent(std::nullopt, Start);
  const TimePoint Back = Start + seconds(20);
  One.becameCurrent(Start, Back);
  Two.becameCurrent(Start, Back);
  EXPECT_FALSE(One.heard(Two.isSteady(Back), Two.mayHaveLapsed(Back), Back));
  EXPECT_TRUE(One.mayHaveLapsed(Back + seconds(1)));
  EXPECT_FALSE(One.mayHaveLapsed(Back + LapseWatch::Grace));
}

TEST(Peers, LearnsFromSeedsAndForgetsTheSilent) {
  const TimePoint Start = TimePoint{} + std::chrono::hours(1);
  Peers Known({.m_SelfIp = "10.0.0.1", .m_SeedIps = {"10.0.0.1", "10.0.0.2"}});
  EXPECT_TRUE(Known.isAlone());
  EXPECT_EQ(Known.dueHellos(Start), std::vector<std::string>{"10.0.0.2"});
  EXPECT_TRUE(Known.dueHellos(Start).empty());
  EXPECT_EQ(Known.dueHellos(Start + Peers::SearchPeriod).size(), 1U);
  EXPECT_TRUE(Known.heard("10.0.0.2", Start));
  EXPECT_FALSE(Known.heard("10.0.0.2", Start));
  EXPECT_FALSE(Known.heard("10.0.0.1", Start)) << "its own address";
  const auto Added = Known.learn({"10.0.0.1", "10.0.0.2", "10.0.0.3"}, Start);
  EXPECT_EQ(Added, std::vector<std::string>{"10.0.0.3"});
  EXPECT_EQ(Known.fleetSize(), 3U);
  const TimePoint Later = Start + seconds(30);
  Known.heard("10.0.0.3", Later);
  EXPECT_EQ(Known.dueHellos(Later).size(), 2U) << "the seed is asked again";
  EXPECT_EQ(Known.all(), std::vector<std::string>{"10.0.0.3"});
}

} // namespace
} // namespace vanillahill::fleet
