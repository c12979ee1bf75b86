#include "checks.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace vanillahill::history {

namespace {

const Send &sendOf(const Record &Value) { return std::get<Send>(Value.m_Body); }

void checkAtMostOnce(const std::string &Name, const OperationView &Operation,
                     std::vector<Violation> &Out) {
  const bool OnceOnly = std::ranges::any_of(
      Operation.m_Sends, [](const Record *Value) { return !sendOf(*Value).m_Idempotent; });
  if (!OnceOnly || Operation.m_Starts.size() <= 1) {
    return;
  }
  Out.push_back({.m_Point = Point::AtMostOnce,
                 .m_Summary = fmt::format("operation \"{}\" started {} times", Name,
                                          Operation.m_Starts.size()),
                 .m_Trace = copyOf(Operation.m_All)});
}

/// The first start of the operation before the attempt was sent under a key; null when there is
/// none.
const Record *earlierStart(const OperationView &Operation, const Record &Sent) {
  const Send &Body = sendOf(Sent);
  if (Body.m_Idempotent || Body.m_Key.empty() || Operation.m_Starts.empty()) {
    return nullptr;
  }
  const Record *Start = Operation.m_Starts.front();
  return Start->m_At < Sent.m_At ? Start : nullptr;
}

void checkNotRun(const Index &History, const RequestView &Request, const Answer &Body,
                 std::vector<Violation> &Out) {
  if (Body.m_Ending != Ending::NotRun) {
    return;
  }
  const OperationView &Operation = History.m_Operations.at(Body.m_Operation);
  if (!Request.m_Starts.empty()) {
    Out.push_back({.m_Point = Point::NotRunTruthful,
                   .m_Summary = fmt::format("request \"{}\" was answered not-run and had started",
                                            Body.m_Request),
                   .m_Trace = copyOf(Operation.m_All)});
  } else if (Request.m_Send != nullptr && earlierStart(Operation, *Request.m_Send) != nullptr) {
    Out.push_back(
        {.m_Point = Point::NotRunTruthful,
         .m_Summary = fmt::format(
             "request \"{}\" was answered not-run and operation \"{}\" had started before",
             Body.m_Request, Body.m_Operation),
         .m_Trace = copyOf(Operation.m_All)});
  }
}

void checkOwn(const Index &History, const Answer &Body, std::vector<Violation> &Out) {
  if (Body.m_Ending != Ending::Completed) {
    return;
  }
  const auto Echoed = History.m_Requests.find(Body.m_Echo);
  const bool Own = Echoed != History.m_Requests.end() && Echoed->second.m_Send != nullptr &&
                   sendOf(*Echoed->second.m_Send).m_Operation == Body.m_Operation;
  if (Own && Body.m_Whole) {
    return;
  }
  const OperationView &Operation = History.m_Operations.at(Body.m_Operation);
  Out.push_back({.m_Point = Point::OwnWholeAnswer,
                 .m_Summary = fmt::format("answer to request \"{}\" is {}", Body.m_Request,
                                          Own ? std::string("not whole")
                                              : fmt::format("that of \"{}\"", Body.m_Echo)),
                 .m_Trace = copyOf(Operation.m_All)});
}

void checkOneAnswer(const std::string &Name, const RequestView &Request,
                    const CheckOptions &Options, std::vector<Violation> &Out) {
  const std::size_t Answers = Request.m_Answers.size();
  const bool Missing = Options.m_EachAnswered && Answers == 0;
  if (Request.m_Send == nullptr || (!Missing && Answers <= 1)) {
    return;
  }
  RecordList Trace{Request.m_Send};
  Trace.insert(Trace.end(), Request.m_Starts.begin(), Request.m_Starts.end());
  Trace.insert(Trace.end(), Request.m_Answers.begin(), Request.m_Answers.end());
  Out.push_back({.m_Point = Point::OneAnswer,
                 .m_Summary = fmt::format("request \"{}\" has {} answers", Name, Answers),
                 .m_Trace = copyOf(Trace)});
}

} // namespace

void checkRequests(const Index &History, const CheckOptions &Options, std::vector<Violation> &Out) {
  for (const auto &[Name, Operation] : History.m_Operations) {
    checkAtMostOnce(Name, Operation, Out);
  }
  for (const auto &[Name, Request] : History.m_Requests) {
    for (const Record *Value : Request.m_Answers) {
      const Answer &Body = std::get<Answer>(Value->m_Body);
      checkNotRun(History, Request, Body, Out);
      checkOwn(History, Body, Out);
    }
    checkOneAnswer(Name, Request, Options, Out);
  }
}

} // namespace vanillahill::history
