#include "object_reader.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

namespace vanillahill::settings {

namespace {

using Json = nlohmann::json;
using Pointer = Json::json_pointer;

constexpr std::size_t MaxValueTextBytes = 80;

const Json &emptyObject() {
  static const Json Empty = Json::object();
  return Empty;
}

std::string withUnit(std::string Text, std::string_view Unit) {
  return Unit.empty() ? Text : fmt::format("{} ({})", Text, Unit);
}

std::string describe(const IntegerRange &Range) {
  return withUnit(fmt::format("whole number from {} to {}", Range.m_Min, Range.m_Max),
                  Range.m_Unit);
}

std::string describe(const NumberRange &Range) {
  return withUnit(fmt::format("number from {} to {}", Range.m_Min, Range.m_Max), Range.m_Unit);
}

} // namespace

std::string valueText(const Json &Value) {
  std::string Text = Value.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (Text.size() > MaxValueTextBytes) {
    Text.resize(MaxValueTextBytes);
    Text += "...";
  }
  return Text;
}

void ProblemCollector::addProblem(Errc Code, const Pointer &At, std::string Found,
                                  std::string Allowed) {
  m_Problems.push_back(
      {Code, m_FindFile(At), At.to_string(), std::move(Found), std::move(Allowed)});
}

ObjectReader::ObjectReader(const Json &Value, Pointer At, ProblemCollector &Out)
    : m_Value(Value.is_object() ? Value : emptyObject()), m_At(std::move(At)), m_Out(Out) {
  if (!Value.is_object()) {
    m_Out.addProblem(Errc::SettingsWrongType, m_At, valueText(Value), "object");
  }
}

const Json *ObjectReader::findField(const char *Name) {
  m_ReadFields.insert(Name);
  const auto Found = m_Value.find(Name);
  return Found == m_Value.end() ? nullptr : &*Found;
}

Pointer ObjectReader::pointerTo(const char *Name) const { return m_At / std::string(Name); }

void ObjectReader::reportWrongType(const char *Name, const Json &Value,
                                   const std::string &Allowed) {
  m_Out.addProblem(Errc::SettingsWrongType, pointerTo(Name), valueText(Value), Allowed);
}

void ObjectReader::readInteger(const char *Name, std::uint64_t &Target, const IntegerRange &Range) {
  const Json *Value = findField(Name);
  if (Value == nullptr) {
    return;
  }
  if (!Value->is_number_integer()) {
    reportWrongType(Name, *Value, describe(Range));
    return;
  }
  const bool Negative = !Value->is_number_unsigned() && Value->get<std::int64_t>() < 0;
  const auto Number = Value->get<std::uint64_t>();
  if (Negative || Number < Range.m_Min || Number > Range.m_Max) {
    m_Out.addProblem(Errc::SettingsOutOfRange, pointerTo(Name), valueText(*Value), describe(Range));
    return;
  }
  Target = Number;
}

void ObjectReader::readInteger(const char *Name, std::uint32_t &Target, const IntegerRange &Range) {
  std::uint64_t Value64 = Target;
  readInteger(Name, Value64, Range);
  Target = static_cast<std::uint32_t>(Value64);
}

void ObjectReader::readNumber(const char *Name, double &Target, const NumberRange &Range) {
  const Json *Value = findField(Name);
  if (Value == nullptr) {
    return;
  }
  if (!Value->is_number()) {
    reportWrongType(Name, *Value, describe(Range));
    return;
  }
  const auto Number = Value->get<double>();
  if (!(Number >= Range.m_Min && Number <= Range.m_Max)) {
    m_Out.addProblem(Errc::SettingsOutOfRange, pointerTo(Name), valueText(*Value), describe(Range));
    return;
  }
  Target = Number;
}

void ObjectReader::readBoolean(const char *Name, bool &Target) {
  const Json *Value = findField(Name);
  if (Value == nullptr) {
    return;
  }
  if (!Value->is_boolean()) {
    reportWrongType(Name, *Value, "true or false");
    return;
  }
  Target = Value->get<bool>();
}

void ObjectReader::readMillis(const char *Name, Duration &Target, const IntegerRange &Range) {
  auto Count = static_cast<std::uint64_t>(toMillis(Target));
  readInteger(Name, Count, Range);
  Target = std::chrono::milliseconds(Count);
}

void ObjectReader::readChoice(const char *Name, std::string &Target,
                              std::span<const std::string_view> Choices) {
  const Json *Value = findField(Name);
  if (Value == nullptr) {
    return;
  }
  const std::string Allowed = fmt::format("one of {}", fmt::join(Choices, ", "));
  if (!Value->is_string()) {
    reportWrongType(Name, *Value, Allowed);
    return;
  }
  const auto &Text = Value->get_ref<const std::string &>();
  if (std::find(Choices.begin(), Choices.end(), Text) == Choices.end()) {
    m_Out.addProblem(Errc::SettingsOutOfRange, pointerTo(Name), valueText(*Value), Allowed);
    return;
  }
  Target = Text;
}

void ObjectReader::readString(const char *Name, std::string &Target,
                              bool (*Accepts)(std::string_view), const char *Allowed) {
  const Json *Value = findField(Name);
  if (Value == nullptr) {
    return;
  }
  if (!Value->is_string()) {
    reportWrongType(Name, *Value, Allowed);
    return;
  }
  const auto &Text = Value->get_ref<const std::string &>();
  if (!Accepts(Text)) {
    m_Out.addProblem(Errc::SettingsOutOfRange, pointerTo(Name), valueText(*Value), Allowed);
    return;
  }
  Target = Text;
}

void ObjectReader::requireField(const char *Name, const char *Allowed) {
  if (findField(Name) == nullptr) {
    m_Out.addProblem(Errc::SettingsMissingField, pointerTo(Name), "nothing", Allowed);
  }
}

void ObjectReader::reportUnknownFields() {
  for (const auto &[Name, Value] : m_Value.items()) {
    if (!m_ReadFields.contains(Name)) {
      m_Out.addProblem(Errc::SettingsUnknownField, pointerTo(Name.c_str()), valueText(Value),
                       fmt::format("one of {}", fmt::join(m_ReadFields, ", ")));
    }
  }
}

} // namespace vanillahill::settings
