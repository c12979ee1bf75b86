/// \file
/// Reads the fields of one JSON object, each with type, unit and range, and reports what is wrong.
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

/// Collects the problems of one document and knows which file holds each value.
struct Report {
  /// Names the file that holds the value at a pointer.
  std::function<std::string(const nlohmann::json::json_pointer &)> m_FileOf;
  Problems m_Found;

  /// \brief Appends a problem at a pointer.
  void add(Errc Code, const nlohmann::json::json_pointer &At, std::string Found,
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

/// The fields of one object. A field that is not read is unknown to finish().
class ObjectReader {
public:
  /// \param Value the object; another type is reported and read as an empty object
  ObjectReader(const nlohmann::json &Value, nlohmann::json::json_pointer At, Report &Out);

  /// Optional fields: the target keeps its value when the field is absent or wrong.
  void integer(const char *Name, std::uint32_t &Target, const IntegerRange &Range);
  void integer(const char *Name, std::uint64_t &Target, const IntegerRange &Range);
  void number(const char *Name, double &Target, const NumberRange &Range);
  void boolean(const char *Name, bool &Target);
  /// A whole number of milliseconds.
  void millis(const char *Name, Duration &Target, const IntegerRange &Range);
  /// One of a list of words.
  void word(const char *Name, std::string &Target, std::span<const std::string_view> Words);
  /// A text that a predicate accepts; Allowed describes it.
  void text(const char *Name, std::string &Target, bool (*Accepts)(std::string_view),
            const char *Allowed);
  /// Reports the field when it is absent.
  void require(const char *Name, const char *Allowed);

  /// \brief The field, or null when absent.
  const nlohmann::json *field(const char *Name);
  /// \brief Pointer of a field.
  nlohmann::json::json_pointer at(const char *Name) const;
  /// \brief Reports each field that was never asked for.
  void finish();

private:
  void wrongType(const char *Name, const nlohmann::json &Value, const std::string &Allowed);

  const nlohmann::json &m_Value;
  nlohmann::json::json_pointer m_At;
  Report &m_Out;
  std::set<std::string> m_Known;
};

/// \brief A value as problems show it, cut to a readable length.
std::string shown(const nlohmann::json &Value);

} // namespace vanillahill::settings
