#include "object_reader.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <spdlog/fmt/ranges.h>

namespace vanillahill::settings {

namespace {

using Json = nlohmann::json;
using Pointer = Json::json_pointer;

constexpr std::size_t MaxShownBytes = 80;

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

std::string shown(const Json &Value) {
  std::string Text = Value.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (Text.size() > MaxShownBytes) {
    Text.resize(MaxShownBytes);
    Text += "...";
  }
  return Text;
}

void Report::add(Errc Code, const Pointer &At, std::string Found, std::string Allowed) {
  m_Found.push_back({Code, m_FileOf(At), At.to_string(), std::move(Found), std::move(Allowed)});
}

ObjectReader::ObjectReader(const Json &Value, Pointer At, Report &Out)
    : m_Value(Value.is_object() ? Value : emptyObject()), m_At(std::move(At)), m_Out(Out) {
  if (!Value.is_object()) {
    m_Out.add(Errc::SettingsWrongType, m_At, shown(Value), "object");
  }
}

const Json *ObjectReader::field(const char *Name) {
  m_Known.insert(Name);
  const auto Found = m_Value.find(Name);
  return Found == m_Value.end() ? nullptr : &*Found;
}

Pointer ObjectReader::at(const char *Name) const { return m_At / std::string(Name); }

void ObjectReader::wrongType(const char *Name, const Json &Value, const std::string &Allowed) {
  m_Out.add(Errc::SettingsWrongType, at(Name), shown(Value), Allowed);
}

void ObjectReader::integer(const char *Name, std::uint64_t &Target, const IntegerRange &Range) {
  const Json *Value = field(Name);
  if (Value == nullptr) {
    return;
  }
  if (!Value->is_number_integer()) {
    wrongType(Name, *Value, describe(Range));
    return;
  }
  const bool Negative = !Value->is_number_unsigned() && Value->get<std::int64_t>() < 0;
  const auto Number = Value->get<std::uint64_t>();
  if (Negative || Number < Range.m_Min || Number > Range.m_Max) {
    m_Out.add(Errc::SettingsOutOfRange, at(Name), shown(*Value), describe(Range));
    return;
  }
  Target = Number;
}

void ObjectReader::integer(const char *Name, std::uint32_t &Target, const IntegerRange &Range) {
  std::uint64_t Wide = Target;
  integer(Name, Wide, Range);
  Target = static_cast<std::uint32_t>(Wide);
}

void ObjectReader::number(const char *Name, double &Target, const NumberRange &Range) {
  const Json *Value = field(Name);
  if (Value == nullptr) {
    return;
  }
  if (!Value->is_number()) {
    wrongType(Name, *Value, describe(Range));
    return;
  }
  const auto Number = Value->get<double>();
  if (!(Number >= Range.m_Min && Number <= Range.m_Max)) {
    m_Out.add(Errc::SettingsOutOfRange, at(Name), shown(*Value), describe(Range));
    return;
  }
  Target = Number;
}

void ObjectReader::boolean(const char *Name, bool &Target) {
  const Json *Value = field(Name);
  if (Value == nullptr) {
    return;
  }
  if (!Value->is_boolean()) {
    wrongType(Name, *Value, "true or false");
    return;
  }
  Target = Value->get<bool>();
}

void ObjectReader::millis(const char *Name, Duration &Target, const IntegerRange &Range) {
  auto Count = static_cast<std::uint64_t>(toMillis(Target));
  integer(Name, Count, Range);
  Target = std::chrono::milliseconds(Count);
}

void ObjectReader::word(const char *Name, std::string &Target,
                        std::span<const std::string_view> Words) {
  const Json *Value = field(Name);
  if (Value == nullptr) {
    return;
  }
  const std::string Allowed = fmt::format("one of {}", fmt::join(Words, ", "));
  if (!Value->is_string()) {
    wrongType(Name, *Value, Allowed);
    return;
  }
  const auto &Text = Value->get_ref<const std::string &>();
  if (std::find(Words.begin(), Words.end(), Text) == Words.end()) {
    m_Out.add(Errc::SettingsOutOfRange, at(Name), shown(*Value), Allowed);
    return;
  }
  Target = Text;
}

void ObjectReader::text(const char *Name, std::string &Target, bool (*Accepts)(std::string_view),
                        const char *Allowed) {
  const Json *Value = field(Name);
  if (Value == nullptr) {
    return;
  }
  if (!Value->is_string()) {
    wrongType(Name, *Value, Allowed);
    return;
  }
  const auto &Text = Value->get_ref<const std::string &>();
  if (!Accepts(Text)) {
    m_Out.add(Errc::SettingsOutOfRange, at(Name), shown(*Value), Allowed);
    return;
  }
  Target = Text;
}

void ObjectReader::require(const char *Name, const char *Allowed) {
  if (field(Name) == nullptr) {
    m_Out.add(Errc::SettingsMissingField, at(Name), "nothing", Allowed);
  }
}

void ObjectReader::finish() {
  for (const auto &[Name, Value] : m_Value.items()) {
    if (!m_Known.contains(Name)) {
      m_Out.add(Errc::SettingsUnknownField, at(Name.c_str()), shown(Value),
                fmt::format("one of {}", fmt::join(m_Known, ", ")));
    }
  }
}

} // namespace vanillahill::settings
