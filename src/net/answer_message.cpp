#include "vanillahill/net/detail/answer_message.hpp"

namespace vanillahill::net {

namespace {

constexpr unsigned HttpVersion = 11;
/// Retry-After for a caller that was refused before the kernel saw its request, with status 503.
constexpr std::chrono::milliseconds FaultRetryAfter(1000);

std::string_view outcomeName(kernel::Outcome Value) {
  switch (Value) {
  case kernel::Outcome::Completed:
    return "completed";
  case kernel::Outcome::NotRun:
    return "not-run";
  case kernel::Outcome::Unknown:
    return "unknown";
  }
  return "unknown";
}

http::status statusOfRefusal(kernel::Reason Why) {
  switch (Why) {
  case kernel::Reason::KeyMissing:
    return http::status::bad_request;
  case kernel::Reason::UnknownKind:
    return http::status::not_found;
  case kernel::Reason::KeySealed:
  case kernel::Reason::KeyExpired:
    return http::status::conflict;
  default:
    return http::status::service_unavailable;
  }
}

beast::string_view toBeastView(std::string_view Text) { return {Text.data(), Text.size()}; }

void setRetryAfter(AnswerMessage &Message, Duration Wait) {
  const auto Seconds = std::chrono::ceil<std::chrono::seconds>(Wait).count();
  Message.set(http::field::retry_after, std::to_string(Seconds));
  Message.set("VH-Retry-After-Ms", std::to_string(toMillis(Wait)));
}

void finishMessage(AnswerMessage &Message, std::string_view Body, std::string_view Type,
                   bool KeepAlive) {
  if (!Type.empty()) {
    Message.set(http::field::content_type, toBeastView(Type));
  }
  Message.body() = {Body.data(), Body.size()};
  Message.keep_alive(KeepAlive);
  Message.prepare_payload();
}

void setOutcome(AnswerMessage &Message, std::string_view Outcome, std::string_view Why) {
  Message.set("VH-Outcome", toBeastView(Outcome));
  if (!Why.empty()) {
    Message.set("VH-Reason", toBeastView(Why));
  }
}

AnswerMessage completedMessage(const kernel::Answer &Answer, bool KeepAlive) {
  AnswerMessage Message(http::int_to_status(Answer.m_Reply->m_Status), HttpVersion);
  Message.result(Answer.m_Reply->m_Status);
  setOutcome(Message, outcomeName(Answer.m_Outcome), {});
  finishMessage(Message, Answer.m_Reply->m_Body, Answer.m_Reply->m_ContentType, KeepAlive);
  return Message;
}

} // namespace

AnswerMessage answerMessage(const kernel::Answer &Answer, std::string &Text, bool KeepAlive) {
  if (Answer.m_Outcome == kernel::Outcome::Completed && Answer.m_Reply) {
    return completedMessage(Answer, KeepAlive);
  }
  const bool NotRun = Answer.m_Outcome == kernel::Outcome::NotRun;
  AnswerMessage Message(NotRun ? statusOfRefusal(Answer.m_Reason) : http::status::gateway_timeout,
                        HttpVersion);
  const auto Outcome = NotRun ? kernel::Outcome::NotRun : kernel::Outcome::Unknown;
  setOutcome(Message, outcomeName(Outcome), toString(Answer.m_Reason));
  if (Answer.m_RetryAfter > Duration::zero()) {
    setRetryAfter(Message, Answer.m_RetryAfter);
  }
  Text.assign(outcomeName(Outcome)).append(": ").append(toString(Answer.m_Reason)).append("\n");
  finishMessage(Message, Text, "text/plain", KeepAlive);
  return Message;
}

AnswerMessage faultMessage(CallerFault Fault, std::string &Text, bool KeepAlive) {
  AnswerMessage Message(http::int_to_status(statusOf(Fault)), HttpVersion);
  setOutcome(Message, outcomeName(kernel::Outcome::NotRun), toString(Fault));
  if (Message.result() == http::status::service_unavailable) {
    setRetryAfter(Message, FaultRetryAfter);
  }
  if (Fault == CallerFault::Method) {
    Message.set(http::field::allow, "GET, POST");
  }
  Text.assign("not-run: ").append(toString(Fault)).append("\n");
  finishMessage(Message, Text, "text/plain", KeepAlive);
  return Message;
}

} // namespace vanillahill::net
