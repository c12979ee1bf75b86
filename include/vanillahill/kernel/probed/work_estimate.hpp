/// \file
/// How long requests of one kind take, and how the load of a server lengthens that.
#pragma once

#include "vanillahill/kernel/ewma.hpp"

#include <algorithm>
#include <cmath>

namespace vanillahill::kernel::probed {

/// Learns from finished requests. Only a share of a reported slowdown may affect a request: the
/// other work on the machine may end before a long request does. How much a nearly full server
/// slows down depends on the service. Not thread safe.
class WorkEstimate {
public:
  /// Mean deviation from the expected time, as a share of it, assumed before the first samples.
  static constexpr double InitialDeviation = 0.25;
  /// Factor assumed for a nearly full server before the first sample.
  static constexpr double InitialNearlyFullFactor = 1.5;
  /// A server that reports a slowdown below this is quick.
  static constexpr double QuickSlowdown = 1.25;
  /// Reported slowdown from which a sample shows what share of it affects the request.
  static constexpr double MinInformativeSlowdown = 1.5;

  /// One finished request, with what was known about its server when it was sent.
  struct Sample {
    double m_Seconds = 0.0;
    /// From the server's report; 1 is the usual speed.
    double m_ReportedSlowdown = 1.0;
    bool m_WasNearlyFull = false;
    /// Factor that was expected for reasons that load reports do not show.
    double m_UnreportedFactor = 1.0;
  };

  WorkEstimate() {
    // The first sample of an Ewma replaces its prior. Adding the prior as a sample keeps it in the
    // average.
    m_SlowdownShare.add(1.0);
    m_NearlyFullFactor.add(InitialNearlyFullFactor);
    m_Deviation.add(InitialDeviation);
  }

  /// \brief Sets the time that a request is assumed to take until one has finished.
  void setAssumedSeconds(double Seconds) { m_AssumedSeconds = Seconds; }

  /// \brief Whether a request has finished.
  bool isLearned() const { return !m_Seconds.empty(); }

  /// \brief Usual time at a quick server that is not nearly full, seconds.
  double usualSeconds() const { return m_Seconds.empty() ? m_AssumedSeconds : m_Seconds.value(); }

  /// \brief Factor by which a request takes longer than usual.
  /// \param ReportedSlowdown the slowdown in the server's report
  double slowdownFactor(double ReportedSlowdown, bool IsNearlyFull) const {
    const double Factor = 1.0 + (ReportedSlowdown - 1.0) * m_SlowdownShare.value();
    return IsNearlyFull ? Factor * m_NearlyFullFactor.value() : Factor;
  }

  /// \brief Multiple of its expected time within which nearly every request ends.
  double longestFactor() const {
    constexpr double DeviationsCovered = 4.0;
    constexpr double MinMargin = 0.1;
    return 1.0 + std::max(DeviationsCovered * m_Deviation.value(), MinMargin);
  }

  double nearlyFullFactor() const { return m_NearlyFullFactor.value(); }

  /// \brief Whether a server's throughput stays the same or falls when it uses one slot more than
  /// it can without slowing down: the slowdown of all its work costs at least what the slot adds.
  /// \param UnslowedSlots slots that it can use without slowing down
  bool extraSlotGainsNoThroughput(double UnslowedSlots) const {
    return (UnslowedSlots + 1.0) / m_NearlyFullFactor.value() <= UnslowedSlots;
  }

  /// \brief Learns from a finished request.
  void addSample(const Sample &Done) {
    noteDeviation(Done);
    const bool IsQuick = Done.m_ReportedSlowdown < QuickSlowdown;
    if (IsQuick && !Done.m_WasNearlyFull) {
      m_Seconds.add(Done.m_Seconds / Done.m_UnreportedFactor);
      return;
    }
    if (m_Seconds.empty()) {
      m_Seconds.add(Done.m_Seconds / Done.m_UnreportedFactor /
                    slowdownFactor(Done.m_ReportedSlowdown, Done.m_WasNearlyFull));
      return;
    }
    const double MeasuredFactor = Done.m_Seconds / (m_Seconds.value() * Done.m_UnreportedFactor);
    if (IsQuick) {
      m_NearlyFullFactor.add(std::clamp(MeasuredFactor, 1.0, MaxNearlyFullFactor));
    } else if (!Done.m_WasNearlyFull && Done.m_ReportedSlowdown >= MinInformativeSlowdown) {
      m_SlowdownShare.add(std::clamp((MeasuredFactor - 1.0) / (Done.m_ReportedSlowdown - 1.0), 0.0,
                                     MaxSlowdownShare));
    }
  }

private:
  void noteDeviation(const Sample &Done) {
    if (m_Seconds.empty()) {
      return;
    }
    const double Expected = m_Seconds.value() * Done.m_UnreportedFactor *
                            slowdownFactor(Done.m_ReportedSlowdown, Done.m_WasNearlyFull);
    m_Deviation.add(std::min(std::abs(Done.m_Seconds / Expected - 1.0), MaxDeviation));
  }

  /// Upper bounds of single samples, so that one that was slow for another reason has little
  /// effect.
  static constexpr double MaxNearlyFullFactor = 3.0;
  static constexpr double MaxSlowdownShare = 1.5;
  static constexpr double MaxDeviation = 3.0;
  static constexpr double SecondsRate = 0.05;
  static constexpr double EffectRate = 0.1;

  double m_AssumedSeconds = 0.1;
  Ewma m_Seconds{0.1, SecondsRate};
  Ewma m_SlowdownShare{1.0, EffectRate};
  Ewma m_NearlyFullFactor{InitialNearlyFullFactor, EffectRate};
  Ewma m_Deviation{InitialDeviation, EffectRate};
};

} // namespace vanillahill::kernel::probed
