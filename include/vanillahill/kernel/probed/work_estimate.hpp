/// \file
/// What one kind of work takes, and how load at a server lengthens it.
#pragma once

#include "vanillahill/kernel/ewma.hpp"

#include <algorithm>

namespace vanillahill::kernel::probed {

/// Learns from finished work. How much of a reported slowdown work feels depends on how long the
/// neighbours stay busy: it may pass before long work ends. How much a nearly full server slows
/// down depends on the service. Not thread safe.
class WorkEstimate {
public:
  /// Factor at a nearly full server before any is known.
  static constexpr double UsualNearlyFullFactor = 1.5;
  /// A server that reports less than this is quick.
  static constexpr double QuickSlowdown = 1.25;
  /// A server that reports at least this says something of how much of it the work feels.
  static constexpr double ClearSlowdown = 1.5;

  /// One finished piece of work, with what was known of its server when it was sent.
  struct Sample {
    double m_Seconds = 0.0;
    /// From the server's report; 1 is usual.
    double m_Slowdown = 1.0;
    bool m_WasNearlyFull = false;
    /// Lengthening that was expected for other reasons.
    double m_OtherFactor = 1.0;
  };

  WorkEstimate() {
    // The first sample would replace what is assumed.
    m_FeltShare.add(1.0);
    m_NearlyFullFactor.add(UsualNearlyFullFactor);
  }

  /// \brief Sets what the work is assumed to take until some has finished.
  void assume(double Seconds) { m_Assumed = Seconds; }

  /// \brief Usual time at a server that is quick and has room, seconds.
  double seconds() const { return m_Seconds.empty() ? m_Assumed : m_Seconds.value(); }

  /// \brief How much longer than usual the work takes.
  /// \param Slowdown as the server reports it
  double factor(double Slowdown, bool IsNearlyFull) const {
    const double Felt = 1.0 + (Slowdown - 1.0) * m_FeltShare.value();
    return IsNearlyFull ? Felt * m_NearlyFullFactor.value() : Felt;
  }

  double nearlyFullFactor() const { return m_NearlyFullFactor.value(); }

  /// \brief Whether a server gets no more done with more slots taken than it can have without
  /// slowing down, because all of its work then slows down by at least what one slot adds. \param
  /// Unhurried slots that it can have taken without slowing down
  bool losesByFilling(double Unhurried) const {
    return (Unhurried + 1.0) / m_NearlyFullFactor.value() <= Unhurried;
  }

  /// \brief Takes finished work into account.
  void learn(const Sample &Done) {
    const bool IsQuick = Done.m_Slowdown < QuickSlowdown;
    if (IsQuick && !Done.m_WasNearlyFull) {
      m_Seconds.add(Done.m_Seconds / Done.m_OtherFactor);
      return;
    }
    if (m_Seconds.empty()) {
      m_Seconds.add(Done.m_Seconds / Done.m_OtherFactor /
                    factor(Done.m_Slowdown, Done.m_WasNearlyFull));
      return;
    }
    const double Lengthening = Done.m_Seconds / (m_Seconds.value() * Done.m_OtherFactor);
    if (IsQuick) {
      m_NearlyFullFactor.add(std::clamp(Lengthening, 1.0, MostNearlyFullFactor));
    } else if (!Done.m_WasNearlyFull && Done.m_Slowdown >= ClearSlowdown) {
      m_FeltShare.add(
          std::clamp((Lengthening - 1.0) / (Done.m_Slowdown - 1.0), 0.0, MostFeltShare));
    }
  }

private:
  /// Bounds of single samples, so that one that waited for another reason says little.
  static constexpr double MostNearlyFullFactor = 3.0;
  static constexpr double MostFeltShare = 1.5;
  static constexpr double SecondsRate = 0.05;
  static constexpr double EffectRate = 0.1;

  double m_Assumed = 0.1;
  Ewma m_Seconds{0.1, SecondsRate};
  Ewma m_FeltShare{1.0, EffectRate};
  Ewma m_NearlyFullFactor{UsualNearlyFullFactor, EffectRate};
};

} // namespace vanillahill::kernel::probed
