#include "vanillahill/kernel/open_requests.hpp"

#include "vanillahill/kernel/status.hpp"

namespace vanillahill::kernel {

OpenRequest *OpenRequests::find(RequestId Request) {
  const auto Found = m_Requests.find(Request);
  return Found == m_Requests.end() ? nullptr : &Found->second;
}

std::optional<OpenRequest> OpenRequests::remove(RequestId Request) {
  const auto Found = m_Requests.find(Request);
  if (Found == m_Requests.end()) {
    return std::nullopt;
  }
  const OpenRequest Open = Found->second;
  m_Requests.erase(Found);
  return Open;
}

void OpenRequests::addAttempt(AttemptId Attempt, RequestId Request) {
  OpenRequest &Open = m_Requests.at(Request);
  ++Open.m_Attempts;
  m_Attempts.emplace(Attempt, SentAttempt{.m_Service = Open.m_Service, .m_Request = Request});
}

std::optional<SentAttempt> OpenRequests::removeAttempt(AttemptId Attempt, AttemptResult Result) {
  const auto Found = m_Attempts.find(Attempt);
  if (Found == m_Attempts.end()) {
    return std::nullopt;
  }
  const SentAttempt Sent = Found->second;
  m_Attempts.erase(Found);
  if (OpenRequest *Open = find(Sent.m_Request)) {
    --Open->m_Attempts;
    if (Result == AttemptResult::Completed || Result == AttemptResult::Unknown) {
      Open->m_MayHaveRun = true;
    }
  }
  return Sent;
}

void OpenRequests::endAll(TimePoint Now, Actions &Out) const {
  for (const auto &[Attempt, Sent] : m_Attempts) {
    Out.push_back(CancelAttempt{Attempt});
  }
  for (const auto &[Request, Open] : m_Requests) {
    if (Open.m_Attempts == 0) {
      end(Request, Open, Now, Out);
    }
  }
}

void OpenRequests::endAfterAttempt(RequestId Request, const AttemptEnded &Ended, TimePoint Now,
                                   Actions &Out) const {
  const auto Found = m_Requests.find(Request);
  if (Found == m_Requests.end()) {
    return;
  }
  if (Ended.m_Result == AttemptResult::Completed && Ended.m_Reply) {
    Out.push_back(
        Answer{.m_Request = Request, .m_Outcome = Outcome::Completed, .m_Reply = Ended.m_Reply});
  } else if (Found->second.m_Attempts == 0) {
    end(Request, Found->second, Now, Out);
  }
}

/// A guarded request that still waits for the answers of peers may be a repeat of one that has run.
void OpenRequests::end(RequestId Request, const OpenRequest &Open, TimePoint Now, Actions &Out) {
  const bool MayHaveRun = Open.m_MayHaveRun || (Open.m_Guarded && !Open.m_PassedToDispatcher);
  Out.push_back(Decision{.m_Type = DecisionType::Refused,
                         .m_Request = Request,
                         .m_TimeLeft = Open.m_Deadline - Now,
                         .m_Outcome = toString(Reason::NotServing)});
  Out.push_back(Answer{.m_Request = Request,
                       .m_Outcome = MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                       .m_Reason = Reason::NotServing});
}

} // namespace vanillahill::kernel
