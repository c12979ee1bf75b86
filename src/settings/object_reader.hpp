/// \file
/// Reads the fields of one JSON object, checks their types and ranges, and reports problems.
#pragma once

#include "vanillahill/core/time.hpp"
#include "vanillahill/settings/problem.hpp"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace vanillahill::settings {

/// Collects the problems of one document, each with the file that contains the value.
struct ProblemCollector {
  /// Returns the name of the file that contains the value at a pointer.
  std::function<std::string(const nlohmann::json::json_pointer &)> m_FindFile;
  Problems m_Problems;

  /// \brief Appends a problem at a pointer.
  void addProblem(Errc Code, const nlohmann::json::json_pointer &At, std::string Found,
                  std::string Allowed);
};

/// Whole numbers from m_Min to m_Max.
struct IntegerRange {
  std::uint64_t m_Min = 0;
  std::uint64_t m_Max = 0;
  std::string_view m_Unit;
};

/// Numbers from m_Min to m_Max.
struct NumberRange {
  double m_Min = 0;
  double m_Max = 0;
  std::string_view m_Unit;
};

/// Reads the fields of one object. reportUnknownFields() reports every field that was not read.
class ObjectReader {
public:
  /// \param Value the object; another type is reported and read as an empty object
  ObjectReader(const nlohmann::json &Value, nlohmann::json::json_pointer At, ProblemCollector &Out);

  /// Optional fields: the target keeps its value when the field is absent or wrong.
  void readInteger(const char *Name, std::uint32_t &Target, const IntegerRange &Range);
  void readInteger(const char *Name, std::uint64_t &Target, const IntegerRange &Range);
  void readNumber(const char *Name, double &Target, const NumberRange &Range);
  void readBoolean(const char *Name, bool &Target);
  /// Reads a whole number of milliseconds.
  void readMillis(const char *Name, Duration &Target, const IntegerRange &Range);
  /// Reads a string that must be one of a list.
  void readChoice(const char *Name, std::string &Target, std::span<const std::string_view> Choices);
  /// Reads a string that Accepts must approve; Allowed describes the accepted strings.
  void readString(const char *Name, std::string &Target, bool (*Accepts)(std::string_view),
                  const char *Allowed);
  /// Reports the field when it is absent.
  void requireField(const char *Name, const char *Allowed);

  /// \brief Returns the field, or nullptr when absent, and marks it as read.
  const nlohmann::json *findField(const char *Name);
  /// \brief JSON pointer to a field.
  nlohmann::json::json_pointer pointerTo(const char *Name) const;
  /// \brief Reports each field of the object that was not read.
  void reportUnknownFields();

private:
  void reportWrongType(const char *Name, const nlohmann::json &Value, const std::string &Allowed);

  const nlohmann::json &m_Value;
  nlohmann::json::json_pointer m_At;
  ProblemCollector &m_Out;
  std::set<std::string> m_ReadFields;
};

/// \brief A value as JSON text for problems, cut to a readable length.
std::string valueText(const nlohmann::json &Value);

} // namespace vanillahill::settings
