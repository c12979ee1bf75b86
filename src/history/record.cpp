#include "vanillahill/history/record.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <array>
#include <optional>

namespace vanillahill::history {

namespace {

using Json = nlohmann::ordered_json;

/// The text of one value of an enumeration; the place in its table is the value.
template <typename T, std::size_t N>
T parseName(const std::array<std::string_view, N> &Names, const std::string &Text) {
  const auto Found = std::find(Names.begin(), Names.end(), Text);
  if (Found == Names.end()) {
    throw std::invalid_argument(fmt::format("\"{}\" is not known", Text));
  }
  return static_cast<T>(Found - Names.begin());
}

constexpr std::array<std::string_view, 4> EndingNames = {"completed", "not-run", "unknown", "cut"};
constexpr std::array<std::string_view, 5> BackendNames = {"start", "end", "refuse", "cancel",
                                                          "probe"};
constexpr std::array<std::string_view, 6> ScriptNames = {"kill",  "stop",     "exit",
                                                         "leave", "accepted", "in-force"};

template <typename T, std::size_t N>
std::string nameOf(const std::array<std::string_view, N> &Names, T Value) {
  return std::string(Names.at(static_cast<std::size_t>(Value)));
}

Send readSend(const Json &Object) {
  return Send{.m_Request = Object.at("request"),
              .m_Operation = Object.at("operation"),
              .m_Kind = Object.at("kind"),
              .m_Idempotent = Object.at("idempotent"),
              .m_Vm = Object.at("vm"),
              .m_Key = Object.at("key"),
              .m_First = Object.at("first")};
}

Answer readAnswer(const Json &Object) {
  return Answer{.m_Request = Object.at("request"),
                .m_Operation = Object.at("operation"),
                .m_Ending = parseName<Ending>(EndingNames, Object.at("outcome")),
                .m_Reason = Object.value("reason", ""),
                .m_Echo = Object.value("echo", ""),
                .m_Whole = Object.value("whole", false)};
}

Backend readBackend(const Json &Object) {
  return Backend{.m_Event = parseName<BackendEvent>(BackendNames, Object.at("event")),
                 .m_Request = Object.value("request", ""),
                 .m_Operation = Object.value("operation", ""),
                 .m_Server = Object.at("server"),
                 .m_Vm = Object.value("vm", ""),
                 .m_Exchange = Object.value("exchange", "")};
}

Script readScript(const Json &Object) {
  return Script{.m_Event = parseName<ScriptEvent>(ScriptNames, Object.at("event")),
                .m_Subject = Object.at("subject"),
                .m_Detail = Object.value("detail", "")};
}

void readBody(const Json &Object, Record &Out) {
  const std::string By = Object.at("by");
  const std::string Event = Object.at("event");
  if (By == "backend") {
    Out.m_Body = readBackend(Object);
  } else if (By == "script") {
    Out.m_Body = readScript(Object);
  } else if (By == "caller" && Event == "send") {
    Out.m_Body = readSend(Object);
  } else if (By == "caller" && Event == "answer") {
    Out.m_Body = readAnswer(Object);
  } else {
    throw std::invalid_argument(fmt::format("event \"{}\" by \"{}\" is not known", Event, By));
  }
}

struct BodyWriter {
  Json &m_Object;

  void operator()(const Send &Value) const {
    m_Object["by"] = "caller";
    m_Object["event"] = "send";
    m_Object["request"] = Value.m_Request;
    m_Object["operation"] = Value.m_Operation;
    m_Object["kind"] = Value.m_Kind;
    m_Object["idempotent"] = Value.m_Idempotent;
    m_Object["vm"] = Value.m_Vm;
    m_Object["key"] = Value.m_Key;
    m_Object["first"] = Value.m_First;
  }
  void operator()(const Answer &Value) const {
    m_Object["by"] = "caller";
    m_Object["event"] = "answer";
    m_Object["request"] = Value.m_Request;
    m_Object["operation"] = Value.m_Operation;
    m_Object["outcome"] = nameOf(EndingNames, Value.m_Ending);
    m_Object["reason"] = Value.m_Reason;
    m_Object["echo"] = Value.m_Echo;
    m_Object["whole"] = Value.m_Whole;
  }
  void operator()(const Backend &Value) const {
    m_Object["by"] = "backend";
    m_Object["event"] = nameOf(BackendNames, Value.m_Event);
    m_Object["request"] = Value.m_Request;
    m_Object["operation"] = Value.m_Operation;
    m_Object["server"] = Value.m_Server;
    m_Object["vm"] = Value.m_Vm;
    m_Object["exchange"] = Value.m_Exchange;
  }
  void operator()(const Script &Value) const {
    m_Object["by"] = "script";
    m_Object["event"] = nameOf(ScriptNames, Value.m_Event);
    m_Object["subject"] = Value.m_Subject;
    m_Object["detail"] = Value.m_Detail;
  }
};

} // namespace

Result<Record> parseRecord(std::string_view Text, const std::string &File, std::size_t Line) {
  Record Out;
  Out.m_File = File;
  Out.m_Line = Line;
  try {
    const Json Object = Json::parse(Text);
    Out.m_At = TimePoint{Duration{Object.at("t").get<std::int64_t>()}};
    readBody(Object, Out);
  } catch (const std::exception &Problem) {
    return Error{Errc::RecordMalformed, "read history", fmt::format("{}:{}", File, Line),
                 Problem.what()};
  }
  return Out;
}

Result<std::size_t> readRecords(std::istream &Input, const std::string &File,
                                std::vector<Record> &Out) {
  std::string Text;
  std::size_t Count = 0;
  for (std::size_t Line = 1; std::getline(Input, Text); ++Line) {
    if (Text.empty()) {
      continue;
    }
    Result<Record> Parsed = parseRecord(Text, File, Line);
    if (!Parsed) {
      return Parsed.error();
    }
    Out.push_back(std::move(*Parsed));
    ++Count;
  }
  return Count;
}

std::string toLine(const Record &Value) {
  Json Object;
  Object["t"] = Value.m_At.time_since_epoch().count();
  std::visit(BodyWriter{Object}, Value.m_Body);
  return Object.dump(-1, ' ', true, Json::error_handler_t::replace);
}

} // namespace vanillahill::history
