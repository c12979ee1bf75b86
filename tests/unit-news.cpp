#include "vanillahill/fleet/lapse_watch.hpp"
#include "vanillahill/fleet/news.hpp"
#include "vanillahill/fleet/snapshot_request.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

namespace vanillahill::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

template <typename T> T roundTrip(const T &Message) {
  return std::get<T>(decodeNews(encodeNews(Message)).value());
}

TEST(News, ANoticeAndAKeptReadAreDecodedAsTheyWereEncoded) {
  StoreNews Message{.m_Sender = {.m_DataCenter = "dc1", .m_LinkClass = 8},
                    .m_Age = milliseconds(700),
                    .m_HeldFor = milliseconds(500),
                    .m_KeeperRank = ReaderRank{.m_LinkClass = 8, .m_Vm = 12},
                    .m_IsPartial = true,
                    .m_IsNotice = true,
                    .m_HolderIp = "10.0.0.1"};
  const StoreNews Read = roundTrip(Message);
  EXPECT_EQ(Read.m_Sender.m_LinkClass, 8U);
  EXPECT_EQ(Read.m_HeldFor, milliseconds(500));
  ASSERT_TRUE(Read.m_KeeperRank);
  EXPECT_EQ(Read.m_KeeperRank->m_Vm, 12U);
  EXPECT_TRUE(Read.m_IsNotice);
  EXPECT_EQ(Read.m_HolderIp, "10.0.0.1");
  Message.m_HeldFor = seconds(1);
  EXPECT_FALSE(decodeNews(encodeNews(Message))) << "held for longer than its age";
}

TEST(News, ADeeplyNestedFrameIsRejected) {
  constexpr std::size_t Levels = 1'000'000;
  const std::string Deep(Levels, '\x81');
  EXPECT_FALSE(decodeNews(Deep + '\0'));
}

TEST(News, EveryMessageTypeIsDecodedAsItWasEncoded) {
  const VmInfo Sender{.m_DataCenter = "dc1", .m_LocalVms = 7, .m_HasCatalog = true};
  const Hello Greeting = roundTrip(Hello{.m_Sender = Sender, .m_AsksForPeers = true});
  EXPECT_TRUE(Greeting.m_AsksForPeers);
  EXPECT_EQ(Greeting.m_Sender.m_DataCenter, "dc1");
  EXPECT_EQ(Greeting.m_Sender.m_LocalVms, 7U);
  EXPECT_TRUE(Greeting.m_Sender.m_HasCatalog);
  const PeerList List = roundTrip(PeerList{
      .m_Sender = Sender,
      .m_Groups = {{.m_DataCenter = "dc1",
                    .m_Vms = 9,
                    .m_Listed = {{"10.0.0.1", seconds(7)}, {"10.200.3.255", seconds(900)}}}}});
  ASSERT_EQ(List.m_Groups.size(), 1U);
  EXPECT_EQ(List.m_Groups[0].m_DataCenter, "dc1");
  EXPECT_EQ(List.m_Groups[0].m_Vms, 9U);
  ASSERT_EQ(List.m_Groups[0].m_Listed.size(), 2U);
  EXPECT_EQ(List.m_Groups[0].m_Listed[0].m_Ip, "10.0.0.1");
  EXPECT_EQ(List.m_Groups[0].m_Listed[0].m_Silence, seconds(7));
  EXPECT_EQ(List.m_Groups[0].m_Listed[1].m_Ip, "10.200.3.255");
  EXPECT_EQ(List.m_Groups[0].m_Listed[1].m_Silence, seconds(255)) << "the largest that fits";
  const StoreNews Decoded =
      roundTrip(StoreNews{.m_Sender = Sender,
                          .m_IsForRelay = true,
                          .m_Stream = Stream::Servers,
                          .m_From = {.m_Era = 2, .m_Offset = 17},
                          .m_To = {.m_Era = 3, .m_Offset = 9},
                          .m_Age = milliseconds(3),
                          .m_MayHaveLapsed = true,
                          .m_IsSteady = true,
                          .m_Records = {{"a", std::string("\0x", 2)}, {"b", {}}},
                          .m_IsPartial = true});
  EXPECT_EQ(Decoded.m_Sender.m_DataCenter, "dc1");
  EXPECT_TRUE(Decoded.m_IsForRelay);
  EXPECT_EQ(Decoded.m_Stream, Stream::Servers);
  EXPECT_EQ(Decoded.m_From, (Position{.m_Era = 2, .m_Offset = 17}));
  EXPECT_EQ(Decoded.m_To, (Position{.m_Era = 3, .m_Offset = 9}));
  EXPECT_EQ(Decoded.m_Age, milliseconds(3));
  EXPECT_TRUE(Decoded.m_MayHaveLapsed);
  EXPECT_TRUE(Decoded.m_IsPartial);
  EXPECT_TRUE(Decoded.m_IsSteady);
  ASSERT_EQ(Decoded.m_Records.size(), 2U);
  EXPECT_EQ(Decoded.m_Records[0].m_Value, std::string("\0x", 2));
  EXPECT_FALSE(Decoded.m_Records[1].m_Value);
  EXPECT_EQ(roundTrip(ServerFailed{.m_Server = ServerId{5}}).m_Server, ServerId{5});
  const ServerLimited Limited = roundTrip(ServerLimited{.m_Server = ServerId{6},
                                                        .m_PerSecond = 5.7,
                                                        .m_Age = milliseconds(80),
                                                        .m_IsForRelay = true});
  EXPECT_EQ(Limited.m_Server, ServerId{6});
  EXPECT_EQ(Limited.m_PerSecond, 5.7);
  EXPECT_EQ(Limited.m_Age, milliseconds(80));
  EXPECT_TRUE(Limited.m_IsForRelay);
  EXPECT_EQ(roundTrip(ServerLimited{}).m_PerSecond, std::nullopt);
  EXPECT_EQ(roundTrip(Piece{.m_MessageNumber = 4, .m_Count = 1, .m_Bytes = "x"}).m_Bytes, "x");
  const Snapshot Whole = roundTrip(Snapshot{.m_ConfigurationPosition = {.m_Era = 1, .m_Offset = 3},
                                            .m_ConfigurationAge = milliseconds(20),
                                            .m_ConfigurationText = "text",
                                            .m_ServersPosition = {.m_Era = 2, .m_Offset = 9},
                                            .m_ServersAge = milliseconds(30),
                                            .m_Servers = {{"s1", "v"}}});
  EXPECT_EQ(Whole.m_ConfigurationPosition, (Position{.m_Era = 1, .m_Offset = 3}));
  EXPECT_EQ(Whole.m_ConfigurationAge, milliseconds(20));
  EXPECT_EQ(Whole.m_ServersAge, milliseconds(30));
  EXPECT_EQ(Whole.m_ConfigurationText, "text");
  EXPECT_EQ(Whole.m_ServersPosition, (Position{.m_Era = 2, .m_Offset = 9}));
  EXPECT_EQ(Whole.m_Servers.size(), 1U);
}

TEST(News, AReportOfCrashesArrivesWhole) {
  CrashReport Report{
      .m_Content = {.m_Hash = 1, .m_Digest = {2, UINT64_MAX}}, .m_Generation = 3, .m_Trials = 1};
  Report.m_Crashes.push_back({.m_Server = ServerId{7}, .m_Age = milliseconds(90)});
  Report.m_Crashes.push_back({.m_Server = ServerId{8}});
  const RequestCrashes Received =
      roundTrip(RequestCrashes{.m_Report = Report, .m_IsForRelay = true});
  EXPECT_TRUE(Received.m_IsForRelay);
  EXPECT_EQ(Received.m_Report.m_Content, Report.m_Content);
  EXPECT_EQ(Received.m_Report.m_Generation, 3U);
  EXPECT_EQ(Received.m_Report.m_Trials, 1U);
  ASSERT_EQ(Received.m_Report.m_Crashes.size(), 2U);
  EXPECT_EQ(Received.m_Report.m_Crashes[0].m_Server, ServerId{7});
  EXPECT_EQ(Received.m_Report.m_Crashes[0].m_Age, milliseconds(90));
}

TEST(News, WhetherAVmReachesTheServersArrives) {
  const VmReach Received =
      roundTrip(VmReach{.m_Ip = "10.1.0.7", .m_IsCutOff = true, .m_IsForRelay = true});
  EXPECT_EQ(Received.m_Ip, "10.1.0.7");
  EXPECT_TRUE(Received.m_IsCutOff);
  EXPECT_TRUE(Received.m_IsForRelay);
  EXPECT_FALSE(roundTrip(VmReach{}).m_IsCutOff);
}

RC_GTEST_PROP(News, ACorruptedReportOfCrashesGivesAMessageOrAnError,
              (std::uint16_t At, char Byte)) {
  CrashReport Report{.m_Content = {.m_Hash = 1, .m_Digest = {2, 3}}};
  for (std::uint32_t Server = 0; Server < CrashReport::MaxCrashes; ++Server) {
    Report.m_Crashes.push_back({.m_Server = ServerId{Server}, .m_Age = milliseconds(Server)});
  }
  std::string Datagram = encodeNews(RequestCrashes{.m_Report = Report});
  Datagram[At % Datagram.size()] = Byte;
  decodeNews(Datagram);
}

TEST(News, ALimitThatIsNoNumberOfRequestsIsRefused) {
  for (const double Limit :
       {-1.0, std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN()}) {
    EXPECT_TRUE(decodeNews(encodeNews(ServerLimited{.m_PerSecond = Limit})).has_error()) << Limit;
  }
}

RC_GTEST_PROP(News, DecodingAnyBytesGivesAMessageOrAnError, (std::vector<char> Bytes)) {
  decodeNews({Bytes.data(), Bytes.size()});
}

RC_GTEST_PROP(News, DecodingACorruptedMessageGivesAMessageOrAnError,
              (std::uint16_t At, char Byte)) {
  std::string Datagram = encodeNews(StoreNews{.m_Stream = Stream::Servers,
                                              .m_From = {.m_Offset = 1},
                                              .m_To = {.m_Offset = 3},
                                              .m_Records = {{"key", "value"}, {"b", {}}}});
  Datagram[At % Datagram.size()] = Byte;
  decodeNews(Datagram);
}

/// Decodes the datagrams in random order and reassembles their pieces; each piece that does not
/// complete the message is taken twice.
std::optional<News> receive(std::vector<std::string> Datagrams, std::uint32_t Seed) {
  std::mt19937 Random(Seed);
  std::shuffle(Datagrams.begin(), Datagrams.end(), Random);
  PieceCollector Collector;
  std::optional<News> Received;
  for (const std::string &Datagram : Datagrams) {
    RC_ASSERT(Datagram.size() <= MaxDatagramBytes);
    auto Message = decodeNews(Datagram).value();
    RC_ASSERT(!Received);
    if (!std::holds_alternative<Piece>(Message)) {
      Received = std::move(Message);
    } else if (const auto Frame = Collector.take("a", std::get<Piece>(Message))) {
      Received = decodeNews(*Frame).value();
    } else {
      RC_ASSERT(!Collector.take("a", std::get<Piece>(Message)));
    }
  }
  return Received;
}

RC_GTEST_PROP(News, ARangeOfAnySizeIsReassembled,
              (std::vector<std::uint16_t> Sizes, std::uint32_t Seed)) {
  StoreNews Range{.m_Stream = Stream::Servers,
                  .m_From = {.m_Offset = 100},
                  .m_To = {.m_Offset = 100 + Sizes.size()}};
  std::mt19937 Random(Seed);
  for (std::size_t Index = 0; Index < Sizes.size(); ++Index) {
    std::string Value(Sizes[Index] % 1500, '\0');
    std::generate(Value.begin(), Value.end(), [&Random] { return static_cast<char>(Random()); });
    Range.m_Records.push_back({std::to_string(Index), Value});
  }
  const auto Received = receive(packNews(Range, 3), Seed);
  RC_ASSERT(Received.has_value());
  const auto &Decoded = std::get<StoreNews>(*Received);
  RC_ASSERT(Decoded.m_From == Range.m_From);
  RC_ASSERT(Decoded.m_To == Range.m_To);
  RC_ASSERT(Decoded.m_Records.size() == Range.m_Records.size());
  for (std::size_t Index = 0; Index < Sizes.size(); ++Index) {
    RC_ASSERT(Decoded.m_Records[Index].m_Key == Range.m_Records[Index].m_Key);
    RC_ASSERT(Decoded.m_Records[Index].m_Value == Range.m_Records[Index].m_Value);
  }
}

RC_GTEST_PROP(News, ASnapshotOfAnySizeIsReassembled, (std::string Text, std::uint32_t Seed)) {
  Text.append(3000, 'x');
  const auto Received = receive(packNews(Snapshot{.m_ConfigurationPosition = {.m_Offset = 3},
                                                  .m_ConfigurationText = Text,
                                                  .m_ServersPosition = {.m_Offset = 9},
                                                  .m_Servers = {{"s1", "v"}}},
                                         9),
                                Seed);
  RC_ASSERT(Received.has_value());
  RC_ASSERT(std::get<Snapshot>(*Received).m_ConfigurationText == Text);
  RC_ASSERT(std::get<Snapshot>(*Received).m_Servers.size() == 1U);
}

RC_GTEST_PROP(News, DecodingACorruptedCompressedMessageGivesAMessageOrAnError,
              (std::uint16_t At, char Byte)) {
  const StoreNews Long{.m_To = {.m_Offset = 1}, .m_Records = {{"key", std::string(2000, 'a')}}};
  std::string Datagram = packNews(Long, 1).at(0);
  Datagram[At % Datagram.size()] = Byte;
  decodeNews(Datagram);
}

/// A configuration of 40 routes, as many as an operator may add in a day.
std::string longConfiguration() {
  std::string Text;
  for (int Index = 0; Index < 40; ++Index) {
    Text += R"({"resource_kind":"routes","metadata":{"name":"route-)" + std::to_string(Index) +
            R"("},"spec":{"host":"a.example","path_prefix":"/p)" + std::to_string(Index * 7919) +
            R"(/","kind":"safe","timeout":"2500ms","target_latency":"250ms","max_attempts":2}})";
  }
  return Text;
}

TEST(News, AConfigurationOfFortyRoutesTakesAtMostTwoDatagrams) {
  const std::string Text = longConfiguration();
  ASSERT_GT(Text.size(), 6000U);
  EXPECT_LE(packNews(StoreNews{.m_To = {.m_Offset = 1}, .m_Records = {{"config", Text}}}, 1).size(),
            2U);
}

std::vector<Piece> piecesOf(char Filler, std::uint64_t Number) {
  std::string Text(5000, Filler);
  std::mt19937 Random(Filler);
  std::generate(Text.begin(), Text.end(), [&Random] { return static_cast<char>(Random()); });
  std::vector<Piece> Pieces;
  for (const std::string &Datagram :
       packNews(Snapshot{.m_ConfigurationText = std::move(Text)}, Number)) {
    Pieces.push_back(std::get<Piece>(decodeNews(Datagram).value()));
  }
  return Pieces;
}

TEST(News, MessagesOfSeveralSendersAreNotMixed) {
  PieceCollector Collector;
  const auto First = piecesOf('a', 1);
  const auto Second = piecesOf('b', 1);
  ASSERT_EQ(First.size(), Second.size());
  for (std::size_t Index = 0; Index + 1 < First.size(); ++Index) {
    EXPECT_FALSE(Collector.take("x", First[Index]));
    EXPECT_FALSE(Collector.take("y", Second[Index]));
  }
  const auto FromX = Collector.take("x", First.back());
  const auto FromY = Collector.take("y", Second.back());
  ASSERT_TRUE(FromX && FromY);
  EXPECT_NE(*FromX, *FromY);
  EXPECT_TRUE(std::holds_alternative<Snapshot>(decodeNews(*FromX).value()));
  EXPECT_FALSE(Collector.take("z", {.m_MessageNumber = 3, .m_Index = 5, .m_Count = 2}));
}

TEST(News, OldestIncompleteMessageIsDiscardedAtTheLimit) {
  PieceCollector Collector;
  const auto Pieces = piecesOf('a', 1);
  Collector.take("first", Pieces[0]);
  for (std::size_t Index = 0; Index < PieceCollector::MaxIncompleteMessages; ++Index) {
    Collector.take("other" + std::to_string(Index), Pieces[0]);
  }
  for (std::size_t Index = 1; Index < Pieces.size(); ++Index) {
    EXPECT_FALSE(Collector.take("first", Pieces[Index])) << "the message was discarded";
  }
}

TEST(LapseWatch, ADisconnectedVmLearnsFromASteadyVmThatNothingLapsed) {
  const TimePoint Start = TimePoint{} + std::chrono::hours(1);
  LapseWatch Watch(seconds(2));
  EXPECT_FALSE(Watch.becameCurrent(std::nullopt, Start));
  EXPECT_FALSE(Watch.becameCurrent(Start, Start + seconds(1)));
  const TimePoint Back = Start + seconds(9);
  EXPECT_TRUE(Watch.becameCurrent(Start + seconds(1), Back));
  EXPECT_TRUE(Watch.mayHaveLapsed(Back));
  EXPECT_FALSE(Watch.isSteady(Back + seconds(1)));
  EXPECT_FALSE(Watch.heard(false, false, Back))
      << "a VM that has just started cannot rule out an outage";
  EXPECT_FALSE(Watch.heard(true, true, Back));
  EXPECT_TRUE(Watch.heard(true, false, Back));
  EXPECT_FALSE(Watch.mayHaveLapsed(Back));
}

TEST(LapseWatch, AfterAnOutageRecordsMayHaveLapsedUntilTheGracePeriodEnds) {
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
  EXPECT_FALSE(One.mayHaveLapsed(Back + LapseWatch::GracePeriod));
}

/// A VM in the new era that reports "nothing lapsed" would release the removals that others hold.
TEST(LapseWatch, AfterAReturnFromACopyRecordsMayHaveLapsed) {
  const TimePoint Start = TimePoint{} + std::chrono::hours(1);
  LapseWatch Watch(seconds(2));
  Watch.becameCurrent(std::nullopt, Start - seconds(10));
  ASSERT_TRUE(Watch.isSteady(Start));
  Watch.startEra(Start);
  EXPECT_FALSE(Watch.isSteady(Start + milliseconds(1)));
  EXPECT_TRUE(Watch.mayHaveLapsed(Start + LapseWatch::GracePeriod - milliseconds(1)));
  EXPECT_FALSE(Watch.mayHaveLapsed(Start + LapseWatch::GracePeriod));
}

/// A request for an offset of one era must not be answered with that of another one.
TEST(News, ASnapshotRequestNamesTheEra) {
  const SnapshotRequest Asked{.m_ConfigurationTo = {.m_Era = 2, .m_Offset = 40},
                              .m_ServersTo = {.m_Era = 3, .m_Offset = 7}};
  const auto Decoded = decodeTarget(encodeTarget(Asked));
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(Decoded->m_ConfigurationTo, Asked.m_ConfigurationTo);
  EXPECT_EQ(Decoded->m_ServersTo, Asked.m_ServersTo);
  EXPECT_FALSE(decodeTarget("/snapshot?configuration=40&servers=7"));
  EXPECT_FALSE(Asked.covers({.m_ServersTo = {.m_Era = 4}}));
  EXPECT_TRUE(Asked.covers({.m_ServersTo = {.m_Era = 2, .m_Offset = 900}}));
}

} // namespace
} // namespace vanillahill::fleet
