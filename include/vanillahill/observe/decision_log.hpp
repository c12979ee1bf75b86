/// \file
/// Writes the kernel's decisions as log lines, within a bound.
#pragma once

#include "vanillahill/core/time.hpp"
#include "vanillahill/kernel/decision.hpp"

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace vanillahill::observe {

/// Lines that may be written a second; a second's worth may be saved up.
class LineBudget {
public:
  explicit LineBudget(double PerSecond) : m_PerSecond(PerSecond), m_Lines(PerSecond) {}

  /// \return false when the line must be left out
  bool take(TimePoint Now) {
    const std::chrono::duration<double> Passed = Now - m_At;
    m_At = Now;
    m_Lines = std::min(m_Lines + Passed.count() * m_PerSecond, m_PerSecond);
    if (m_Lines < 1.0) {
      return false;
    }
    m_Lines -= 1.0;
    return true;
  }

private:
  double m_PerSecond;
  double m_Lines;
  TimePoint m_At{};
};

struct DecisionLogOptions {
  /// Lines a second for refusals, failures, repeats and changes of belief.
  double m_ImportantPerSecond = 40.0;
  /// Lines a second for the requests that are kept by their id.
  double m_KeptPerSecond = 20.0;
  /// One request in this many is kept, by the hash of its id: the same on every VM.
  std::uint32_t m_KeepOneIn = 32;
};

/// Lines that do not fit are counted, and the count is written with the next line that does. Not
/// thread safe.
class DecisionLog {
public:
  explicit DecisionLog(DecisionLogOptions Options = {});

  /// \brief Whether every decision about a request is written.
  bool keeps(std::string_view CallerId) const;

  /// \brief Writes a decision, or counts it as left out.
  /// \param CallerId the caller's own id of the request; empty for none
  /// \param Version version of the configuration in force
  void write(const kernel::Decision &Made, std::string_view CallerId, std::uint64_t Version,
             TimePoint Now);

  /// \brief Lines left out since the last one written.
  std::uint64_t leftOut() const { return m_LeftOut; }

private:
  static bool isImportant(const kernel::Decision &Made);

  DecisionLogOptions m_Options;
  LineBudget m_Important;
  LineBudget m_Kept;
  std::uint64_t m_LeftOut = 0;
};

} // namespace vanillahill::observe
