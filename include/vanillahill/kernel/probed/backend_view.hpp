/// \file
/// What one VM knows of one backend server when servers tell their load on request, and how long a
/// request would take there.
#pragma once

#include "vanillahill/kernel/events.hpp"
#include "vanillahill/kernel/probed/work_estimate.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace vanillahill::kernel::probed {

/// Position of a backend server in the dispatcher's table.
using BackendIndex = std::uint32_t;

/// A server is nearly full from this share of its slots on.
inline constexpr double NearlyFullShare = 0.75;
/// Work takes longer by this factor at a server that has just started.
inline constexpr double ColdSlowdown = 2.0;
/// A load report older than this says nothing of the present.
inline constexpr Duration ReportLifetime = std::chrono::milliseconds(12);
/// Failures are forgotten with this time constant.
inline constexpr Duration FailureMemory = std::chrono::milliseconds(2500);
/// Slowness seen in finished work is forgotten with this time constant.
inline constexpr Duration SlownessMemory = std::chrono::milliseconds(1500);

/// A value that fades to zero with a time constant.
class Fading {
public:
  explicit Fading(Duration TimeConstant) : m_TimeConstant(TimeConstant) {}

  double value(TimePoint Now) const {
    if (m_Value == 0.0) {
      return 0.0;
    }
    const std::chrono::duration<double> Age = Now - m_At;
    const std::chrono::duration<double> Constant = m_TimeConstant;
    return m_Value * std::exp(-Age / Constant);
  }

  void set(double Value, TimePoint Now) {
    m_Value = Value;
    m_At = Now;
  }

private:
  Duration m_TimeConstant;
  double m_Value = 0.0;
  TimePoint m_At{};
};

/// One backend server as this VM sees it.
struct BackendView {
  ServerSettings m_Settings;
  /// In the same data centre as this VM.
  bool m_IsNear = false;
  /// In this VM's own part of a large service; others are used only when these are of no use.
  bool m_IsPreferred = true;
  /// Attempts of this VM that run there.
  std::uint32_t m_InFlight = 0;
  std::optional<LoadReport> m_Load;
  TimePoint m_LoadAt{};
  /// A probe is on its way since then.
  std::optional<TimePoint> m_ProbeSince;
  /// Failures of late; one adds 1.
  Fading m_Failures{FailureMemory};
  /// Time taken by work there beyond what its load reports explained, as a multiple less one.
  Fading m_Slowness{SlownessMemory};
  std::uint64_t m_Probes = 0;

  bool hasFreshLoad(TimePoint Now) const { return m_Load && Now - m_LoadAt <= ReportLifetime; }

  void takeLoad(const LoadReport &Load, TimePoint Now) {
    m_Load = Load;
    m_LoadAt = Now;
  }

  /// \brief A request of this VM was sent there: until the next report it counts as running, or as
  /// waiting when every slot is taken.
  void countSent() {
    ++m_InFlight;
    if (m_Load) {
      ++(isFull() ? m_Load->m_Waiting : m_Load->m_Running);
    }
  }

  /// \brief A request of this VM ended there and the reply told no load.
  void countEnded() {
    if (m_Load && m_Load->m_Waiting > 0) {
      --m_Load->m_Waiting;
    } else if (m_Load && m_Load->m_Running > 0) {
      --m_Load->m_Running;
    }
  }

  /// \brief Adds evidence of failure, at most up to a bound, so that a server that has recovered is
  /// tried again soon.
  void addFailure(double Weight, TimePoint Now) {
    constexpr double MostFailures = 6.0;
    m_Failures.set(std::min(m_Failures.value(Now) + Weight, MostFailures), Now);
  }

  void takeSuccess(TimePoint Now) {
    constexpr double KeptShare = 0.5;
    m_Failures.set(m_Failures.value(Now) * KeptShare, Now);
  }

  /// \brief Whether every slot is taken, by the last report.
  bool isFull() const { return m_Load && m_Load->m_Running >= slots(); }

  /// \brief Whether one more request would take the server beyond NearlyFullShare.
  bool isNearlyFull() const {
    return m_Load && (m_Load->m_Running + 1.0) / slots() > NearlyFullShare;
  }

  /// \brief Whether one more request keeps it in a state in which it gets no more done.
  bool losesByOneMore(const WorkEstimate &Kind) const {
    return isNearlyFull() && Kind.losesByFilling(std::floor(NearlyFullShare * slots()));
  }

  /// \brief Requests that wait there for a slot, by the last report.
  std::uint32_t waiting() const { return m_Load ? m_Load->m_Waiting : 0; }

  std::uint32_t slots() const {
    const std::uint32_t Told = m_Load ? m_Load->m_Slots : 0;
    return std::max(Told != 0 ? Told : m_Settings.m_Slots, 1U);
  }

  /// \brief How much longer work takes there for reasons that its reports do not tell.
  double untoldFactor(TimePoint Now) const {
    const double Factor = 1.0 + m_Slowness.value(Now);
    return Now < m_Settings.m_ColdUntil ? Factor * ColdSlowdown : Factor;
  }

  /// \brief Slowdown that it last reported; 1 is usual.
  double toldSlowdown() const { return m_Load ? m_Load->m_Slowdown : 1.0; }

  /// \brief Expected seconds until an answer of a request sent there now.
  double expectedSeconds(const WorkEstimate &Kind, TimePoint Now) const {
    const double Work =
        Kind.seconds() * Kind.factor(toldSlowdown(), isNearlyFull()) * untoldFactor(Now);
    return isFull() ? Work + Work * (waiting() + 1.0) / slots() : Work;
  }

  /// \brief Seconds that one more request there takes from those that run already, because the
  /// server becomes nearly full.
  double secondsTakenFromOthers(const WorkEstimate &Kind) const {
    if (!isNearlyFull()) {
      return 0.0;
    }
    // On average half of their work is left.
    constexpr double ShareLeft = 0.5;
    return m_Load->m_Running * ShareLeft * Kind.seconds() * (Kind.nearlyFullFactor() - 1.0);
  }
};

} // namespace vanillahill::kernel::probed
