#include "vanillahill/settings/problem.hpp"

#include <spdlog/fmt/fmt.h>

namespace vanillahill::settings {

namespace {

constexpr const char *StepName = "check settings";

std::string pointerText(const Problem &Value) {
  return Value.m_Pointer.empty() ? std::string("(document)") : Value.m_Pointer;
}

std::string detailText(const Problem &Value) {
  return fmt::format("{}: found {}, allowed: {}", pointerText(Value), Value.m_Found,
                     Value.m_Allowed);
}

} // namespace

std::string toString(const Problem &Value) {
  return fmt::format("{}: {}: {}: found {}, allowed: {}", Value.m_File, pointerText(Value),
                     make_error_code(Value.m_Code).message(), Value.m_Found, Value.m_Allowed);
}

Error toError(const Problem &Value) {
  return {Value.m_Code, StepName, Value.m_File, detailText(Value)};
}

Error toError(std::span<const Problem> Found) {
  Error All = toError(Found.front());
  for (const Problem &Each : Found.subspan(1)) {
    All.m_Detail += '\n' + toString(Each);
  }
  return All;
}

} // namespace vanillahill::settings
