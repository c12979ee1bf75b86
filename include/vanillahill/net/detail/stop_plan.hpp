/// \file
/// When a stopping process ends its open requests and when it exits.
#pragma once

#include "vanillahill/core/time.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace vanillahill::net {

/// What a stopping process does next.
enum class StopStep : std::uint8_t {
  /// Nothing is due.
  Wait,
  /// The open requests are ended, each with an answer. Due once.
  EndRequests,
  /// The remaining connections are closed and the process exits.
  Exit,
};

/// What still keeps a stopping process from exiting.
struct StopBacklog {
  /// The kernel has said kernel::Stopped: no request and no attempt is open.
  bool m_KernelIsIdle = false;
  /// Open connections of callers.
  std::size_t m_Connections = 0;
};

/// Divides the time between SIGTERM and SIGKILL, which is called grace, so that the process always
/// ends by itself. Reads no clock and does no I/O. Not thread safe.
class StopPlan {
public:
  /// Share of grace in which new requests are still accepted: the platform's balancer removes a VM
  /// after two failed readiness checks, sent once a second.
  static constexpr double AcceptShare = 0.45;
  /// Share of grace after which open requests are ended. A request at which its server works must
  /// not be broken off before the last sixth of grace; one hundredth is added to that bound.
  static constexpr double AnswerShare = 5.0 / 6.0 + 0.01;
  /// Share of grace after which connections are closed, whatever they still do. The time before it
  /// is for answers: a process on a slowed machine needs a multiple of the usual time for them.
  static constexpr double CloseShare = 0.93;
  /// Share of grace after which the last log lines are no longer waited for. The rest is left for
  /// the release of the process's memory and sockets.
  static constexpr double LogShare = 0.96;
  /// Interval of checking whether the callers have closed their connections.
  static constexpr std::chrono::milliseconds ConnectionCheckPeriod{20};

  /// \brief How long new requests are accepted after the request to stop.
  static constexpr Duration acceptTime(Duration Grace) { return share(Grace, AcceptShare); }

  /// \brief How long open requests may be answered after the request to stop.
  static constexpr Duration answerTime(Duration Grace) { return share(Grace, AnswerShare); }

  /// \brief Starts the plan.
  /// \return false if a stop was requested before; the plan is then unchanged
  bool request(TimePoint Now, Duration Grace) {
    if (m_IsRequested) {
      return false;
    }
    m_IsRequested = true;
    m_RequestedAt = Now;
    m_Grace = Grace;
    return true;
  }

  bool isRequested() const { return m_IsRequested; }

  /// \brief Decides what is due. EndRequests is returned once.
  StopStep next(TimePoint Now, const StopBacklog &Backlog) {
    if (!m_IsRequested) {
      return StopStep::Wait;
    }
    if (Now >= at(CloseShare) || (Backlog.m_KernelIsIdle && Backlog.m_Connections == 0)) {
      return StopStep::Exit;
    }
    if (!m_HasEndedRequests && Now >= at(AnswerShare)) {
      m_HasEndedRequests = true;
      return StopStep::EndRequests;
    }
    return StopStep::Wait;
  }

  /// \brief When next() has to be called again; a change of the backlog calls for it earlier.
  TimePoint nextCheck(TimePoint Now, const StopBacklog &Backlog) const {
    if (!m_IsRequested) {
      return TimePoint::max();
    }
    const TimePoint Bound = at(m_HasEndedRequests ? CloseShare : AnswerShare);
    return Backlog.m_KernelIsIdle ? std::min(Bound, Now + ConnectionCheckPeriod) : Bound;
  }

  /// \brief How long the last log lines may still be waited for.
  Duration logTime(TimePoint Now) const { return std::max(at(LogShare) - Now, Duration::zero()); }

  /// \brief Time since the stop was requested; zero if it was not.
  Duration elapsed(TimePoint Now) const {
    return m_IsRequested ? Now - m_RequestedAt : Duration::zero();
  }

private:
  static constexpr Duration share(Duration Grace, double Share) {
    return std::chrono::duration_cast<Duration>(Grace * Share);
  }
  TimePoint at(double Share) const { return m_RequestedAt + share(m_Grace, Share); }

  bool m_IsRequested = false;
  bool m_HasEndedRequests = false;
  TimePoint m_RequestedAt{};
  Duration m_Grace{};
};

} // namespace vanillahill::net
