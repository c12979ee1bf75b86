#include "vanillahill/history/checker.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <sstream>

namespace vanillahill::history {
namespace {

constexpr std::string_view Send = R"({"t":%t,"by":"caller","event":"send","request":"%r",)"
                                  R"("operation":"%o","kind":"desk/sign","idempotent":false,)"
                                  R"("vm":"e1","key":"k1","first":true})";
constexpr std::string_view Answer = R"({"t":%t,"by":"caller","event":"answer","request":"%r",)"
                                    R"("operation":"%o","outcome":"%x","reason":"",)"
                                    R"("echo":"%r","whole":true})";
constexpr std::string_view Ledger = R"({"t":%t,"by":"backend","event":"%x","request":"%r",)"
                                    R"("operation":"%o","server":"desk/s1","vm":"e1",)"
                                    R"("exchange":"7"})";
constexpr std::string_view Event = R"({"t":%t,"by":"script","event":"%x","subject":"%r",)"
                                   R"("detail":"%o"})";

struct Fields {
  /// Milliseconds.
  std::int64_t m_At = 0;
  std::string m_Request = "r1";
  std::string m_Operation = "o1";
  std::string m_What;
};

/// A history as text, checked as a whole.
class Story {
public:
  Story &add(std::string_view Form, const Fields &Values) {
    std::string Line(Form);
    replace(Line, "%t", std::to_string(Values.m_At * 1000000));
    replace(Line, "%r", Values.m_Request);
    replace(Line, "%o", Values.m_Operation);
    replace(Line, "%x", Values.m_What);
    m_Text << Line << "\n";
    return *this;
  }

  std::vector<Violation> check(const CheckOptions &Options = {}) {
    std::vector<Record> Records;
    const Result<std::size_t> Count = readRecords(m_Text, "story.jsonl", Records);
    EXPECT_TRUE(Count) << toString(Count.error());
    return history::check(Records, Options);
  }

  void expectBroken(Point Expected) {
    const std::vector<Violation> Found = check();
    ASSERT_FALSE(Found.empty()) << "nothing found for " << toString(Expected);
    for (const Violation &Item : Found) {
      EXPECT_EQ(toString(Item.m_Point), toString(Expected)) << toString(Item);
      EXPECT_FALSE(Item.m_Trace.empty());
    }
  }

private:
  static void replace(std::string &Text, std::string_view From, const std::string &To) {
    for (std::size_t At = Text.find(From); At != std::string::npos; At = Text.find(From)) {
      Text.replace(At, From.size(), To);
    }
  }

  std::stringstream m_Text;
};

/// One operation that ran once and was answered, a leave, a stop and a configuration.
Story goodStory() {
  Story Good;
  Good.add(Send, {.m_At = 1})
      .add(Ledger, {.m_At = 2, .m_What = "start"})
      .add(Event, {.m_At = 3, .m_Request = "e1", .m_What = "stop"})
      .add(Ledger, {.m_At = 4, .m_What = "end"})
      .add(Answer, {.m_At = 5, .m_What = "completed"})
      .add(Event, {.m_At = 6, .m_Request = "e1", .m_What = "exit"})
      .add(Event, {.m_At = 7, .m_Request = "desk/s1", .m_What = "leave"})
      .add(Ledger, {.m_At = 8, .m_What = "probe"})
      .add(Ledger, {.m_At = 9, .m_What = "probe"})
      .add(Ledger, {.m_At = 1008, .m_What = "probe"})
      .add(Event, {.m_At = 10, .m_Request = "e2", .m_Operation = "base=1", .m_What = "in-force"})
      .add(Event, {.m_At = 11, .m_Request = "ann", .m_Operation = "base=2", .m_What = "accepted"})
      .add(Event, {.m_At = 12, .m_Request = "e2", .m_Operation = "base=1", .m_What = "in-force"})
      .add(Event, {.m_At = 13, .m_Request = "e2", .m_Operation = "base=2", .m_What = "in-force"});
  return Good;
}

TEST(History, GoodHistoryPasses) { EXPECT_TRUE(goodStory().check().empty()); }

TEST(History, SecondStartIsNamed) {
  goodStory().add(Ledger, {.m_At = 20, .m_What = "start"}).expectBroken(Point::AtMostOnce);
}

TEST(History, NotRunThatStartedIsNamed) {
  Story Bad;
  Bad.add(Send, {.m_At = 1})
      .add(Ledger, {.m_At = 2, .m_What = "start"})
      .add(Answer, {.m_At = 3, .m_What = "not-run"});
  Bad.expectBroken(Point::NotRunTruthful);
}

TEST(History, NotRunAfterAnEarlierAttemptStartedIsNamed) {
  Story Bad = goodStory();
  Bad.add(Send, {.m_At = 20, .m_Request = "r2"})
      .add(Answer, {.m_At = 21, .m_Request = "r2", .m_What = "not-run"});
  Bad.expectBroken(Point::NotRunTruthful);
}

TEST(History, ForeignAnswerIsNamed) {
  Story Bad = goodStory();
  std::string Foreign(Answer);
  Foreign.replace(Foreign.find(R"("echo":"%r")"), 11, R"("echo":"r1")");
  Bad.add(Send, {.m_At = 20, .m_Request = "r2", .m_Operation = "o2"})
      .add(Foreign, {.m_At = 21, .m_Request = "r2", .m_Operation = "o2", .m_What = "completed"});
  Bad.expectBroken(Point::OwnWholeAnswer);
}

TEST(History, CutBodyGivenAsCompletedIsNamed) {
  Story Bad;
  std::string Cut(Answer);
  Cut.replace(Cut.find("true"), 4, "false");
  Bad.add(Send, {.m_At = 1})
      .add(Ledger, {.m_At = 2, .m_What = "start"})
      .add(Cut, {.m_At = 3, .m_What = "completed"});
  Bad.expectBroken(Point::OwnWholeAnswer);
}

TEST(History, KeptAnswerOfAnEarlierAttemptIsOwn) {
  Story Good = goodStory();
  std::string Kept(Answer);
  Kept.replace(Kept.find(R"("echo":"%r")"), 11, R"("echo":"r1")");
  Good.add(Send, {.m_At = 20, .m_Request = "r2"})
      .add(Kept, {.m_At = 21, .m_Request = "r2", .m_What = "completed"});
  EXPECT_TRUE(Good.check().empty());
}

TEST(History, MissingAndSecondAnswersAreNamed) {
  Story Missing;
  Missing.add(Send, {.m_At = 1});
  Missing.expectBroken(Point::OneAnswer);
  goodStory().add(Answer, {.m_At = 30, .m_What = "unknown"}).expectBroken(Point::OneAnswer);
}

TEST(History, LateStartOnALeavingServerIsNamed) {
  Story Bad = goodStory();
  Bad.add(Send, {.m_At = 3100, .m_Request = "r2", .m_Operation = "o2"})
      .add(Ledger, {.m_At = 3101, .m_Request = "r2", .m_Operation = "o2", .m_What = "start"})
      .add(Answer, {.m_At = 3102, .m_Request = "r2", .m_Operation = "o2", .m_What = "completed"});
  Bad.expectBroken(Point::LeavingServer);
}

TEST(History, RequestCutByAPlannedStopIsNamed) {
  Story Bad;
  Bad.add(Send, {.m_At = 1})
      .add(Event, {.m_At = 2, .m_Request = "e1", .m_What = "stop"})
      .add(Answer, {.m_At = 3, .m_What = "cut"});
  Bad.expectBroken(Point::PlannedStop);
}

TEST(History, RequestCutByAKillIsNot) {
  Story Good;
  Good.add(Send, {.m_At = 1})
      .add(Event, {.m_At = 2, .m_Request = "e1", .m_What = "stop"})
      .add(Event, {.m_At = 3, .m_Request = "e1", .m_What = "kill"})
      .add(Answer, {.m_At = 4, .m_What = "cut"});
  EXPECT_TRUE(Good.check().empty());
}

TEST(History, ConfigurationThatIsLateIsNamed) {
  Story Bad = goodStory();
  Bad.add(Event, {.m_At = 20, .m_Request = "ann", .m_Operation = "base=3", .m_What = "accepted"});
  Bad.expectBroken(Point::Configuration);
}

TEST(History, ConfigurationThatRevertsIsNamed) {
  goodStory()
      .add(Event, {.m_At = 20, .m_Request = "e2", .m_Operation = "base=1", .m_What = "in-force"})
      .expectBroken(Point::Configuration);
}

TEST(History, NewVmWithAnOldConfigurationIsNamed) {
  goodStory()
      .add(Event, {.m_At = 5000, .m_Request = "e9", .m_Operation = "base=1", .m_What = "in-force"})
      .expectBroken(Point::Configuration);
}

TEST(History, ProbesAboveTheBudgetAreNamed) {
  goodStory().add(Ledger, {.m_At = 900, .m_What = "probe"}).expectBroken(Point::MeasuringBudget);
}

TEST(History, MalformedLineIsNamedWithItsPlace) {
  std::stringstream Text("\n{\"t\":1,\"by\":\"backend\",\"event\":\"begin\",\"server\":\"s\"}\n");
  std::vector<Record> Records;
  const Result<std::size_t> Count = readRecords(Text, "bad.jsonl", Records);
  ASSERT_FALSE(Count);
  EXPECT_EQ(Count.error().m_Peer, "bad.jsonl:2");
  EXPECT_EQ(Count.error().m_Detail, "\"begin\" is not known");
}

TEST(History, LinesAreReadBackAsWritten) {
  Record Value;
  Value.m_At = TimePoint{std::chrono::nanoseconds(42)};
  Value.m_Body = Script{ScriptEvent::InForce, "e1", "base=3"};
  const Result<Record> Back = parseRecord(toLine(Value), "", 0);
  ASSERT_TRUE(Back);
  EXPECT_EQ(toLine(*Back), toLine(Value));
}

} // namespace
} // namespace vanillahill::history
