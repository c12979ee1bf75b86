#include "detail/answer.hpp"

#include <nlohmann/json.hpp>

#include <charconv>

namespace vanillahill::load::detail {

namespace {

constexpr unsigned FirstErrorStatus = 400;

/// An entry VM names the outcome; a backend server that is asked directly does not.
std::string outcomeName(const HttpResponse &Response) {
  const std::string_view Named = Response["VH-Outcome"];
  if (!Named.empty()) {
    return std::string(Named);
  }
  return Response["VH-Not-Run"] == "true" ? "not-run" : "completed";
}

Duration retryAfter(const HttpResponse &Response) {
  const std::string_view Text = Response["VH-Retry-After-Ms"];
  std::int64_t Millis = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Millis);
  return std::chrono::milliseconds(Millis);
}

void checkBody(const HttpResponse &Response, const SentIds &Sent, Answer &Out) {
  const auto Body = nlohmann::json::parse(Response.body(), nullptr, false);
  if (Body.is_discarded() || !Body.is_object() || !Body.value("end", false)) {
    Out.m_Whole = false;
    Out.m_Incomplete = true;
    return;
  }
  Out.m_Echo = Body.value("request", "");
  const bool SameOperation = Body.value("operation", "") == Sent.m_Operation;
  const bool SameAttempt = Out.m_Echo == Sent.m_Request;
  const bool EarlierAttempt = Sent.m_IsRepeat && Out.m_Echo.starts_with(Sent.m_Operation + "-");
  Out.m_Foreign = !SameOperation || !(SameAttempt || EarlierAttempt);
}

} // namespace

Answer readAnswer(const Exchanged &Got, const SentIds &Sent) {
  Answer Out;
  if (!Got.m_Whole) {
    Out.m_Reason = Got.m_TimedOut ? "caller_timeout" : "connection_lost";
    return Out;
  }
  Out.m_Whole = true;
  Out.m_Reason = std::string(Got.m_Response["VH-Reason"]);
  Out.m_RetryAfter = retryAfter(Got.m_Response);
  const std::string Name = outcomeName(Got.m_Response);
  if (Name == "not-run") {
    Out.m_Ending = Ending::NotRun;
  } else if (Name == "unknown") {
    Out.m_Ending = Ending::Unknown;
  } else if (Got.m_Response.result_int() >= FirstErrorStatus) {
    Out.m_Ending = Ending::Failed;
  } else {
    Out.m_Ending = Ending::Completed;
    checkBody(Got.m_Response, Sent, Out);
  }
  return Out;
}

history::Ending historyEnding(Ending Value) {
  switch (Value) {
  case Ending::Completed:
  case Ending::Failed:
    return history::Ending::Completed;
  case Ending::NotRun:
    return history::Ending::NotRun;
  case Ending::Unknown:
    return history::Ending::Unknown;
  case Ending::Cut:
    return history::Ending::Cut;
  }
  return history::Ending::Cut;
}

} // namespace vanillahill::load::detail
