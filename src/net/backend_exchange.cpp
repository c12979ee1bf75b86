#include "vanillahill/net/detail/backend_exchange.hpp"

#include <algorithm>
#include <charconv>

namespace vanillahill::net {

namespace {

constexpr unsigned HttpVersion = 11;
constexpr unsigned FirstFinalStatus = 200;
constexpr unsigned LastStatus = 599;
constexpr std::string_view ExchangeHeader = "VH-Exchange";

bool isTrue(const HttpReply &Message, std::string_view Name) { return Message[Name] == "true"; }

bool hasNoBody(http::status Status) {
  return Status == http::status::no_content || Status == http::status::not_modified;
}

HttpRequest healthMessage(const std::string &Path) {
  HttpRequest Message(http::verb::get, Path, HttpVersion);
  Message.set(http::field::host, "vanillahill");
  return Message;
}

} // namespace

HttpRequest exchangeMessage(const BackendExchange &Exchange, std::string_view VmName,
                            TimePoint Now) {
  auto Message =
      Exchange.isProbe() ? healthMessage(Exchange.m_HealthPath) : Exchange.m_Request->m_Message;
  const auto TimeLeft = std::max<std::int64_t>(toMillis(Exchange.m_Deadline - Now), 0);
  Message.set("VH-Deadline-Ms", std::to_string(TimeLeft));
  Message.set(ExchangeHeader, std::to_string(Exchange.m_Id));
  Message.set("VH-Vm", VmName);
  return Message;
}

bool belongsTo(const HttpReply &Message, const BackendExchange &Exchange) {
  return Message.count(ExchangeHeader) == 1 &&
         Message[ExchangeHeader] == std::to_string(Exchange.m_Id);
}

bool hasFinalStatus(const HttpReply &Message) {
  // By number, since Beast does not know the names of all statuses.
  return Message.result_int() >= FirstFinalStatus && Message.result_int() <= LastStatus;
}

bool hasKnownLength(const HttpReply &Message) {
  return Message.chunked() || Message.count(http::field::content_length) == 1 ||
         hasNoBody(Message.result());
}

std::optional<Duration> keepAliveTime(const HttpReply &Message) {
  constexpr std::string_view Name = "timeout=";
  const auto Value = Message[http::field::keep_alive];
  const std::string_view Text(Value.data(), Value.size());
  const auto Begin = Text.find(Name);
  if (Begin == std::string_view::npos) {
    return std::nullopt;
  }
  std::uint32_t Seconds = 0;
  const auto *First = Text.data() + Begin + Name.size();
  if (std::from_chars(First, Text.data() + Text.size(), Seconds).ec != std::errc{}) {
    return std::nullopt;
  }
  return std::chrono::seconds(Seconds);
}

ExchangeEnd readExchangeReply(HttpReply Message, const BackendExchange & /*Exchange*/) {
  ExchangeEnd End;
  End.m_Answered = true;
  End.m_ServerLeaving = isTrue(Message, "VH-Leaving");
  if (Message.result() == http::status::service_unavailable && isTrue(Message, "VH-Not-Run")) {
    End.m_Result = kernel::AttemptResult::NotRun;
    return End;
  }
  auto Content = std::make_shared<Reply>();
  Content->m_Status = Message.result_int();
  Content->m_ContentType = std::string(Message[http::field::content_type]);
  Content->m_Body = std::move(Message.body());
  End.m_Result = kernel::AttemptResult::Completed;
  End.m_Reply = std::move(Content);
  return End;
}

} // namespace vanillahill::net
