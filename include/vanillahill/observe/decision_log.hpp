/// \file
/// Writes the kernel's decisions as log lines, at a limited rate.
#pragma once

#include "vanillahill/core/time.hpp"
#include "vanillahill/kernel/decision.hpp"

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace vanillahill::observe {

/// Token bucket of log lines: refilled at a rate per second, and holds at most one second's lines.
class LineBudget {
public:
  explicit LineBudget(double PerSecond) : m_PerSecond(PerSecond), m_Available(PerSecond) {}

  /// \return false when no line is available and this one must be dropped
  bool tryTakeLine(TimePoint Now) {
    const std::chrono::duration<double> Elapsed = Now - m_LastRefill;
    m_LastRefill = Now;
    m_Available = std::min(m_Available + Elapsed.count() * m_PerSecond, m_PerSecond);
    if (m_Available < 1.0) {
      return false;
    }
    m_Available -= 1.0;
    return true;
  }

private:
  double m_PerSecond;
  double m_Available;
  TimePoint m_LastRefill{};
};

struct DecisionLogOptions {
  /// Lines per second for refusals, failures, retries and servers set aside.
  double m_ImportantPerSecond = 40.0;
  /// Lines per second for all other decisions, written only for sampled requests.
  double m_SampledPerSecond = 20.0;
  /// One request in this many is sampled, by the hash of its id, so every VM samples the same ones.
  std::uint32_t m_SampleOneIn = 32;
};

/// The request that a decision is about; empty for a decision about a server.
struct LoggedRequest {
  /// The caller's own id of the request; empty when it gave none.
  std::string_view m_CallerId = {};
  std::string_view m_Host = {};
  std::string_view m_Target = {};
};

/// Lines over the rate limit are dropped and counted; the next line written has the count. Not
/// thread safe.
class DecisionLog {
public:
  explicit DecisionLog(DecisionLogOptions Options = {});

  /// \brief Whether a request is sampled: its decisions are written even if not important.
  bool isSampled(std::string_view CallerId) const;

  /// \brief Writes a decision, or counts it as dropped when over the rate limit.
  /// \param Version version of the configuration in force
  void write(const kernel::Decision &Made, const LoggedRequest &Logged, std::uint64_t Version,
             TimePoint Now);

  /// \brief Lines dropped since the last one written.
  std::uint64_t linesDropped() const { return m_LinesDropped; }

private:
  static bool isImportant(const kernel::Decision &Made);

  DecisionLogOptions m_Options;
  LineBudget m_ImportantBudget;
  LineBudget m_SampledBudget;
  std::uint64_t m_LinesDropped = 0;
};

} // namespace vanillahill::observe
