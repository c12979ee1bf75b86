#include "vanillahill/kernel/probed/dispatcher.hpp"
#include "vanillahill/kernel/probed/seconds.hpp"

namespace vanillahill::kernel::probed {

/// When a request must be sent at the latest to be answered before this VM ends what is still open.
/// \param WorkSeconds expected time until the reply
/// \return TimePoint::max() if the stop does not limit that: the VM is not stopping, or the request
/// has its final answer before
TimePoint Dispatcher::sendBy(const Request &Pending, double WorkSeconds) const {
  if (Pending.m_Deadline <= m_Context.m_EndsAt) {
    return TimePoint::max();
  }
  const Kind &RequestKind = m_Kinds[Pending.m_Kind];
  const double TargetSeconds = toSeconds(RequestKind.m_Settings.m_TargetLatency);
  if (!RequestKind.m_Work.isLearned()) {
    if (TargetSeconds <= 0.0) {
      // It may take until its deadline.
      return TimePoint::min();
    }
    WorkSeconds = std::max(WorkSeconds, TargetSeconds);
  }
  return m_Context.m_EndsAt - toDuration(WorkSeconds * RequestKind.m_Work.longestFactor());
}

bool Dispatcher::isTooLate(const Request &Pending, TimePoint Now) const {
  return Now > sendBy(Pending, m_Kinds[Pending.m_Kind].m_Work.usualSeconds());
}

bool Dispatcher::isTooLate(const Request &Pending, const BackendView &Backend,
                           TimePoint Now) const {
  return Now > sendBy(Pending, Backend.expectedSeconds(m_Kinds[Pending.m_Kind].m_Work, Now));
}

/// Ends a request that would be broken off by the stop. One that has not run may be served by
/// another VM at once.
void Dispatcher::refuseLate(Request &Pending, TimePoint Now, Actions &Out) {
  if (Pending.m_FailedReply) {
    completeRequest(Pending, ReplyPtr(Pending.m_FailedReply), Now, Out);
  } else {
    refuseRequest(Pending, Pending.m_MayHaveRun ? Reason::AttemptLost : Reason::NotServing,
                  Duration::zero(), Now, Out);
  }
}

} // namespace vanillahill::kernel::probed
