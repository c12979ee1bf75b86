#include "node_state.hpp"

namespace vanillahill::kernel {

void Node::State::onEvent(const RequestArrived &Input, TimePoint Now, Actions &Out) {
  if (m_EndsRequests) {
    Out.push_back(Answer{.m_Request = Input.m_Request, .m_Reason = Reason::NotServing});
    return;
  }
  const KindSettings *Kind = findKind(Input.m_Service, Input.m_Kind);
  if (Kind == nullptr) {
    const Reason Why = m_Settings ? Reason::UnknownKind : Reason::NotServing;
    Out.push_back(Answer{.m_Request = Input.m_Request, .m_Reason = Why});
    return;
  }
  const Duration Allowed =
      Input.m_TimeLeft ? std::min(Kind->m_Deadline, *Input.m_TimeLeft) : Kind->m_Deadline;
  const bool IsGuarded = !Kind->m_Idempotent && m_Settings->m_Idempotency.m_Enabled;
  const OpenRequest Open{.m_Service = Input.m_Service,
                         .m_Kind = Input.m_Kind,
                         .m_Deadline = Now + Allowed,
                         .m_Guarded = IsGuarded};
  m_OpenRequests.add(Input.m_Request, Open);
  if (IsGuarded || Input.m_Tenant) {
    m_HeldCounters.add(*m_Settings, Input.m_Service, *Kind);
  }
  const auto Verdict = !IsGuarded ? idempotency::Verdict::Run
                                  : m_KeyGuard.arrived(Input.m_Request, Input.m_Key, Input.m_KeyAge,
                                                       m_Members.view(Now), Now, Out);
  if (Verdict == idempotency::Verdict::Run) {
    admit(Input, Now, Out);
  }
}

/// Charges a request to its tenant's usage cap. One that another VM passed on was charged there.
void Node::State::admit(const RequestArrived &Input, TimePoint Now, Actions &Out) {
  const auto &IsRelayed = m_Context.m_Contents.m_IsRelayed;
  if (!Input.m_Tenant || (IsRelayed && IsRelayed(Input.m_Request))) {
    passToDispatcher(Input.m_Request, Now, Out);
    return;
  }
  endWait(m_TenantCaps.arrive(Input.m_Request, *Input.m_Tenant, Now, Out), Now, Out);
}

void Node::State::endWait(const tenants::Admitted &Ended, TimePoint Now, Actions &Out) {
  const OpenRequest *Open = m_OpenRequests.find(Ended.m_Request);
  if (Open == nullptr || Ended.m_Admission == tenants::Admission::Waiting) {
    return;
  }
  if (Ended.m_Admission == tenants::Admission::Admitted) {
    passToDispatcher(Ended.m_Request, Now, Out);
    return;
  }
  const Reason Why = Ended.m_Admission == tenants::Admission::CapReached ? Reason::TenantCapReached
                                                                         : Reason::TenantCapUnknown;
  Out.push_back(Decision{.m_Type = DecisionType::Refused,
                         .m_Request = Ended.m_Request,
                         .m_TimeLeft = Open->m_Deadline - Now,
                         .m_Outcome = toString(Why)});
  Out.push_back(
      Answer{.m_Request = Ended.m_Request, .m_Reason = Why, .m_RetryAfter = Ended.m_RetryAfter});
}

/// Hands a request to the dispatcher of its service.
void Node::State::passToDispatcher(RequestId Request, TimePoint Now, Actions &Out) {
  if (m_EndsRequests) {
    return;
  }
  OpenRequest &Open = *m_OpenRequests.find(Request);
  Open.m_PassedToDispatcher = true;
  findDispatcher(Open.m_Service)->arrive(Request, Open.m_Kind, Open.m_Deadline, Now, Out);
  markDispatcherChanged(Open.m_Service);
}

void Node::State::onEvent(const CallerGone &Input, TimePoint Now, Actions &Out) {
  const OpenRequest *Open = m_OpenRequests.find(Input.m_Request);
  if (Open == nullptr) {
    return;
  }
  if (Open->m_PassedToDispatcher && !m_EndsRequests) {
    findDispatcher(Open->m_Service)->callerGone(Input.m_Request, Now, Out);
    markDispatcherChanged(Open->m_Service);
  } else if (m_EndsRequests || m_TenantCaps.cancel(Input.m_Request) ||
             m_KeyGuard.callerGone(Input.m_Request, Now)) {
    Out.push_back(Answer{.m_Request = Input.m_Request, .m_Reason = Reason::CallerGone});
  }
}

void Node::State::onEvent(const AttemptEnded &Input, TimePoint Now, Actions &Out) {
  const auto Sent = m_OpenRequests.removeAttempt(Input.m_Attempt, Input.m_Result);
  if (!Sent) {
    return;
  }
  if (m_EndsRequests) {
    m_OpenRequests.endAfterAttempt(Sent->m_Request, Input, Now, Out);
    return;
  }
  findDispatcher(Sent->m_Service)->attemptEnded(Input, Now, Out);
  markDispatcherChanged(Sent->m_Service);
}

/// Updates the request and attempt tables and the message counter for the actions from FirstIndex
/// on. Closing a request may make the key guard append further answers to Out; the same loop
/// handles these too.
void Node::State::recordActions(std::size_t FirstIndex, TimePoint Now, Actions &Out) {
  for (std::size_t Index = FirstIndex; Index < Out.size(); ++Index) {
    if (const auto *Sent = std::get_if<Dispatch>(&Out[Index])) {
      m_OpenRequests.addAttempt(Sent->m_Attempt, Sent->m_Request);
    } else if (const auto *Final = std::get_if<Answer>(&Out[Index])) {
      closeRequest(Answer(*Final), Now, Out);
    } else if (std::holds_alternative<SendPeer>(Out[Index])) {
      ++m_PeerMessagesSent;
    }
  }
}

void Node::State::closeRequest(const Answer &Final, TimePoint Now, Actions &Out) {
  const std::optional<OpenRequest> Open = m_OpenRequests.remove(Final.m_Request);
  if (!Open) {
    return;
  }
  m_TenantCaps.finished(Final, Now, Out);
  if (!Open->m_PassedToDispatcher) {
    m_HeldCounters.count(Open->m_Kind, Final);
  } else if (Open->m_Guarded) {
    m_KeyGuard.finished(Final.m_Request, Final.m_Outcome, Final.m_Reason, Final.m_Reply, Now, Out);
  }
}

} // namespace vanillahill::kernel
