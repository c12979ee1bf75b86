/// \file
/// What one VM knows about a backend server that reports its load, and how long a request is
/// expected to take there.
#pragma once

#include "vanillahill/kernel/events.hpp"
#include "vanillahill/kernel/probed/fitness.hpp"
#include "vanillahill/kernel/probed/work_estimate.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace vanillahill::kernel::probed {

/// Index of a backend server in the dispatcher's table.
using BackendIndex = std::uint32_t;

/// A server is nearly full when more than this share of its slots is taken.
inline constexpr double NearlyFullShare = 0.75;
/// Factor by which requests take longer at a server that has just started.
inline constexpr double ColdSlowdown = 2.0;
/// A server whose load report is older than this is probed again.
inline constexpr Duration ReportLifetime = std::chrono::milliseconds(12);
/// A load report that is not older than this is used when probes are scarce.
inline constexpr Duration RecentReportAge = std::chrono::milliseconds(50);
/// The same at a VM that sends few requests to the service, for idempotent requests.
inline constexpr Duration LowRateReportAge = std::chrono::milliseconds(250);
/// A VM that sends few requests to the service probes a server first whose last report is not older
/// than this and showed it idle and quick: it is more likely than others to be so still.
inline constexpr Duration LowRateProbedAge = std::chrono::milliseconds(600);
/// Time constant with which a server's failure score decays.
inline constexpr Duration FailureTimeConstant = std::chrono::milliseconds(2500);
/// Time constant with which the slowness measured on finished requests decays.
inline constexpr Duration SlownessTimeConstant = std::chrono::milliseconds(1500);

/// A value that decays exponentially to zero.
class DecayingValue {
public:
  explicit DecayingValue(Duration TimeConstant) : m_TimeConstant(TimeConstant) {}

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
  /// The server is in the same data centre as this VM.
  bool m_IsLocal = false;
  /// The server belongs to this VM's subset of a large service; servers outside of the subset are
  /// used only when none in it can be.
  bool m_IsPreferred = true;
  /// Attempts sent by this VM that have not ended.
  std::uint32_t m_InFlight = 0;
  std::optional<LoadReport> m_Load;
  TimePoint m_LoadReceivedAt{};
  /// When the outstanding probe was sent; empty when there is none.
  std::optional<TimePoint> m_ProbeSince;
  /// Decaying count of recent failures: a failed attempt adds 1, weaker signs of failure add less.
  DecayingValue m_FailureScore{FailureTimeConstant};
  /// Extra time that requests took beyond what the load reports explain, as a share of the expected
  /// time: 0 is as expected, 1 is twice as long.
  DecayingValue m_Slowness{SlownessTimeConstant};
  std::uint64_t m_Probes = 0;
  /// What the server has said about itself.
  Fitness m_Fitness;

  /// \brief Whether the store's record or the server itself says that it is leaving.
  bool isLeaving() const { return m_Settings.m_Leaving || m_Fitness.isLeaving(); }

  bool hasFreshLoad(TimePoint Now) const {
    return m_Load && Now - m_LoadReceivedAt <= ReportLifetime;
  }

  bool hasLoadWithin(Duration MaxAge, TimePoint Now) const {
    return m_Load && Now - m_LoadReceivedAt <= MaxAge;
  }

  void setLoad(const LoadReport &Load, TimePoint Now) {
    m_Load = Load;
    m_LoadReceivedAt = Now;
  }

  /// \brief Counts a request that this VM sent: until the next report it counts as running, or as
  /// waiting when every slot is taken.
  void countSentRequest() {
    ++m_InFlight;
    if (m_Load) {
      ++(isFull() ? m_Load->m_Waiting : m_Load->m_Running);
    }
  }

  /// \brief Counts a request of this VM that ended without a load report.
  void countEndedRequest() {
    if (m_Load && m_Load->m_Waiting > 0) {
      --m_Load->m_Waiting;
    } else if (m_Load && m_Load->m_Running > 0) {
      --m_Load->m_Running;
    }
  }

  /// \brief Adds to the failure score. The score is capped so that a server that has recovered is
  /// tried again soon.
  void addFailure(double Weight, TimePoint Now) {
    constexpr double MaxFailureScore = 6.0;
    m_FailureScore.set(std::min(m_FailureScore.value(Now) + Weight, MaxFailureScore), Now);
  }

  void recordSuccess(TimePoint Now) {
    constexpr double KeptShare = 0.5;
    m_FailureScore.set(m_FailureScore.value(Now) * KeptShare, Now);
  }

  /// \brief Whether every slot is taken, according to the last report.
  bool isFull() const { return m_Load && m_Load->m_Running >= slots(); }

  /// \brief Share of the slots that is taken, according to the last report.
  double takenShare() const {
    return m_Load ? std::min(1.0, static_cast<double>(m_Load->m_Running) / slots()) : 0.0;
  }

  /// \brief Whether one more request would take more than NearlyFullShare of the slots.
  bool isNearlyFull() const {
    return m_Load && (m_Load->m_Running + 1.0) / slots() > NearlyFullShare;
  }

  /// \brief Whether one more request would make or keep the server nearly full without raising its
  /// throughput.
  bool extraRequestGainsNoThroughput(const WorkEstimate &Work) const {
    return isNearlyFull() && Work.extraSlotGainsNoThroughput(std::floor(NearlyFullShare * slots()));
  }

  /// \brief Whether the server has two slots and at most one of them is free, according to the last
  /// report. Using the second slot slows the requests in both.
  bool hasOnlyLastSlot() const {
    constexpr std::uint32_t MaxSlots = 2;
    return m_Load && slots() == MaxSlots && m_Load->m_Running + 1 >= MaxSlots;
  }

  /// \brief Requests that wait for a slot, according to the last report.
  std::uint32_t waiting() const { return m_Load ? m_Load->m_Waiting : 0; }

  std::uint32_t slots() const {
    const std::uint32_t Reported = m_Load ? m_Load->m_Slots : 0;
    return std::max(Reported != 0 ? Reported : m_Settings.m_Slots, 1U);
  }

  /// \brief Factor by which requests take longer for reasons that load reports do not show.
  double unreportedFactor(TimePoint Now) const {
    const double Factor = 1.0 + m_Slowness.value(Now);
    const bool IsCold = Now < m_Settings.m_ColdUntil || m_Fitness.cold().isCold(Now);
    return IsCold ? Factor * ColdSlowdown : Factor;
  }

  /// \brief The last reported slowdown; 1 is the usual speed.
  double reportedSlowdown() const { return m_Load ? m_Load->m_Slowdown : 1.0; }

  /// \brief Expected seconds until the reply to a request that is sent now.
  double expectedSeconds(const WorkEstimate &Work, TimePoint Now) const {
    const double WorkSeconds = Work.usualSeconds() *
                               Work.slowdownFactor(reportedSlowdown(), isNearlyFull()) *
                               unreportedFactor(Now);
    return isFull() ? WorkSeconds + WorkSeconds * (waiting() + 1.0) / slots() : WorkSeconds;
  }

  /// \brief Seconds that one more request adds in total to those already running, because the
  /// server becomes nearly full.
  double secondsAddedToOthers(const WorkEstimate &Work) const {
    if (!isNearlyFull()) {
      return 0.0;
    }
    // On average half of the work of the running requests is left.
    constexpr double ShareLeft = 0.5;
    return m_Load->m_Running * ShareLeft * Work.usualSeconds() * (Work.nearlyFullFactor() - 1.0);
  }
};

} // namespace vanillahill::kernel::probed
