/// \file
/// Whether this VM can show that its configuration is recent enough to judge callers' keys by it.
#pragma once

#include "vanillahill/core/time.hpp"

#include <algorithm>
#include <optional>

namespace vanillahill::fleet {

/// Where the deployment asks that a key which was taken away works on no VM after a bound, a VM
/// judges keys only while its configuration is known to have been current within a share of that
/// bound. An age that another VM states lacks the time in transit, and the time that a datagram
/// waited while this process was paused; the rest of the bound covers these. The bound counts from
/// the time at which a caller sends its request, so one check when the request is read is enough.
/// Not thread safe.
class ConfigurationProof {
public:
  /// Age up to which a proof is valid, as a share of the bound.
  static constexpr double MaxAgeShare = 0.6;
  /// A timer that is overdue by this much shows that the process was paused or overloaded.
  static constexpr Duration MaxOverdue = std::chrono::milliseconds(250);
  /// The steady clock does not count while the machine is suspended. Growth of the suspended time
  /// by less than this is noise of the clocks.
  static constexpr Duration MinSuspension = std::chrono::milliseconds(50);
  /// Datagrams that are handled within this time after a pause may have waited meanwhile.
  static constexpr Duration BacklogTime = std::chrono::milliseconds(250);

  /// \param Bound how long a key may work after it was taken away; zero when proofs are not needed
  explicit ConfigurationProof(Duration Bound) { setBound(Bound); }

  void setBound(Duration Bound) {
    m_MaxAge = std::chrono::duration_cast<Duration>(Bound * MaxAgeShare);
  }

  bool isNeeded() const { return m_MaxAge > Duration::zero(); }

  /// \brief Called before anything else when the process does something, to detect pauses.
  /// \param Suspended time for which the machine was suspended since it booted
  /// \param DueAt when a timer of the process was due
  void observe(TimePoint Now, Duration Suspended, TimePoint DueAt) {
    const bool WasSuspended = m_Suspended && Suspended - *m_Suspended > MinSuspension;
    m_Suspended = Suspended;
    if (WasSuspended || (DueAt < Now && Now - DueAt > MaxOverdue)) {
      m_PausedUntil = Now;
    }
    if (WasSuspended) {
      m_SuspendedUntil = Now;
      // The age of earlier proofs lacks the suspension.
      m_ProvenAt.reset();
    }
  }

  /// \brief Called when this VM or another one has read the configuration.
  /// \param CurrentAt the configuration was current then
  /// \param IsStatedAge CurrentAt follows from an age in a datagram
  void note(TimePoint CurrentAt, bool IsStatedAge, TimePoint Now) {
    if (CurrentAt < m_PausedUntil || (IsStatedAge && mayHaveWaited(Now))) {
      return;
    }
    m_ProvenAt = std::max(m_ProvenAt.value_or(CurrentAt), CurrentAt);
  }

  /// \brief Whether keys may be judged.
  bool isValid(TimePoint Now) const {
    return !isNeeded() || (m_ProvenAt && Now - *m_ProvenAt <= m_MaxAge);
  }

  /// \brief Time since the configuration was last known to be current; nothing without a proof.
  std::optional<Duration> age(TimePoint Now) const {
    return m_ProvenAt ? std::optional(Now - *m_ProvenAt) : std::nullopt;
  }

  /// \brief The age to state to other VMs of what was current at a time. Where the true age may be
  /// greater than this VM can know, it is beyond that of a proof.
  /// \param IsStatedAge CurrentAt follows from an age in a datagram
  Duration ageToState(TimePoint CurrentAt, bool IsStatedAge, TimePoint Now) const {
    const bool IsUnsure =
        isNeeded() && (wasSuspendedSince(CurrentAt) || (IsStatedAge && mayHaveWaited(Now)));
    return Now - CurrentAt + (IsUnsure ? 2 * m_MaxAge : Duration::zero());
  }

  /// \brief The age to state of what is known by all means, which may include datagrams that are no
  /// proof: at least that of the last proof.
  Duration provenAge(TimePoint CurrentAt, TimePoint Now) const {
    const Duration Age = Now - CurrentAt;
    return std::max(Age, age(Now).value_or(Age + 2 * m_MaxAge));
  }

  /// \brief Whether a suspension that began after the given time has ended.
  bool wasSuspendedSince(TimePoint At) const { return At < m_SuspendedUntil; }

private:
  /// Whether a datagram that is handled now may have waited during a pause.
  bool mayHaveWaited(TimePoint Now) const { return Now - BacklogTime < m_PausedUntil; }

  Duration m_MaxAge{};
  std::optional<TimePoint> m_ProvenAt;
  std::optional<Duration> m_Suspended;
  /// When the end of a pause was last noticed.
  TimePoint m_PausedUntil = TimePoint::min();
  /// When the end of a suspension was last noticed.
  TimePoint m_SuspendedUntil = TimePoint::min();
};

} // namespace vanillahill::fleet
