#include "vanillahill/kernel/probed/dispatcher.hpp"

namespace vanillahill::kernel::probed {

/// Whether no server of this service, or none at all, answers.
bool Dispatcher::isUnreachable() const {
  return m_Context.m_Reach.isCutOff() || m_ServiceReach.isCutOff();
}

/// Whether what becomes of a request to a server shows which servers this VM reaches: requests that
/// run at an evacuated server show nothing about those that are in use.
bool Dispatcher::showsReach(ServerId Server) {
  const BackendView *Backend = findBackend(Server);
  return Backend == nullptr || !Backend->m_Settings.m_IsEvacuated;
}

/// \param IsOwn the server is one of this service
void Dispatcher::noteReply(ServerId Server, bool IsOwn, TimePoint Now, Actions &Out) {
  if (!showsReach(Server)) {
    return;
  }
  const Duration ServiceSilence = m_ServiceReach.silence(Now);
  if (IsOwn && m_ServiceReach.noteReply(Now)) {
    Out.push_back(Decision{.m_Type = DecisionType::ServersReachable,
                           .m_Server = m_Settings.m_Name,
                           .m_Took = ServiceSilence,
                           .m_Outcome = "service"});
  }
  const Duration Silence = m_Context.m_Reach.silence(Now);
  if (m_Context.m_Reach.noteReply(Now)) {
    Out.push_back(
        Decision{.m_Type = DecisionType::ServersReachable, .m_Took = Silence, .m_Outcome = "vm"});
    Out.push_back(AnnounceReach{.m_IsCutOff = false});
  }
}

void Dispatcher::noteSilence(ServerId Server, TimePoint Now, Actions &Out) {
  if (!showsReach(Server)) {
    return;
  }
  const auto Silent = [Now](const ServerReach &Reach) {
    return Decision{.m_Type = DecisionType::ServersUnreachable,
                    .m_Asked = static_cast<std::uint32_t>(Reach.silentServers()),
                    .m_Took = Reach.silence(Now)};
  };
  if (m_ServiceReach.noteSilence(Server, Now)) {
    Decision Entry = Silent(m_ServiceReach);
    Entry.m_Server = m_Settings.m_Name;
    Entry.m_Outcome = "service";
    Out.push_back(std::move(Entry));
  }
  if (m_Context.m_Reach.noteSilence(Server, Now)) {
    Decision Entry = Silent(m_Context.m_Reach);
    Entry.m_Outcome = "vm";
    Out.push_back(std::move(Entry));
    announceCut(Now, Out);
  }
}

/// The other VMs then do not pass their requests on to this one.
void Dispatcher::announceCut(TimePoint Now, Actions &Out) {
  if (m_Context.m_Reach.takeAnnouncement(Now, RelayHelpers::AnnounceInterval)) {
    Out.push_back(AnnounceReach{.m_IsCutOff = true});
  }
}

/// Announces the failure of a server, unless the cause is more likely that this VM reaches none.
void Dispatcher::announceFailure(ServerId Server, Actions &Out) const {
  if (!isUnreachable()) {
    Out.push_back(TellServerFailure{Server});
  }
}

/// After a cut, what was recorded of the servers meanwhile says nothing about them.
void Dispatcher::forgetFailuresOfCut(TimePoint Now) {
  const std::uint64_t Returns = m_Context.m_Reach.returns() + m_ServiceReach.returns();
  if (m_SeenReturns == Returns) {
    return;
  }
  m_SeenReturns = Returns;
  for (BackendView &Backend : m_Backends) {
    Backend.m_FailureScore.set(0.0, Now);
  }
}

/// While no server can be reached, probes one at random now and then.
void Dispatcher::checkReach(TimePoint Now, Actions &Out) {
  announceCut(Now, Out);
  if (!m_ServiceReach.takeCheck(Now) && !m_Context.m_Reach.takeCheck(Now)) {
    return;
  }
  std::vector<BackendIndex> Candidates;
  for (BackendIndex Index = 0; Index < m_Backends.size(); ++Index) {
    const BackendView &Backend = m_Backends[Index];
    if (!Backend.m_ProbeSince && !Backend.m_Fitness.isPaused(Now) && !Backend.isLeaving() &&
        !Backend.m_Settings.m_IsEvacuated) {
      Candidates.push_back(Index);
    }
  }
  if (Candidates.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> Position(0, Candidates.size() - 1);
  BackendView &Backend = m_Backends[Candidates[Position(m_Context.m_Random)]];
  Backend.m_ProbeSince = Now;
  ++Backend.m_Probes;
  m_ProbeBudget.takeToken();
  Out.push_back(Probe{Backend.m_Settings.m_Id});
}

bool Dispatcher::isRelayed(const Request &Pending) const {
  const RequestContents &Contents = m_Context.m_Contents;
  return Contents.m_IsRelayed && Contents.m_IsRelayed(Pending.m_Id);
}

/// Sends the request to a VM that may reach the servers. A request that came from another VM is not
/// passed on.
/// \return false when it cannot be sent
bool Dispatcher::tryRelay(Request &Pending, TimePoint Now, Actions &Out) {
  const auto &Tried = Pending.m_TriedHelpers;
  if (Tried.size() == Tried.capacity() || Now >= Pending.m_Deadline || isRelayed(Pending) ||
      isHeldBack(Pending, Now) || isTooLate(Pending, Now)) {
    return false;
  }
  const auto Helper =
      m_Context.m_Helpers.choose({Tried.data(), Tried.size()}, Now, m_Context.m_Random);
  if (!Helper) {
    return false;
  }
  const bool IsIdempotent = m_Kinds[Pending.m_Kind].m_Settings.m_Idempotent;
  if (!IsIdempotent && m_Context.m_Gate != nullptr &&
      m_Context.m_Gate->mayDispatch(Pending.m_Id, Now) != Reason::None) {
    return false;
  }
  const Attempt Sent{.m_Id = AttemptId{m_Context.m_NextAttempt++},
                     .m_Request = Pending.m_Id,
                     .m_Kind = Pending.m_Kind,
                     .m_Server = *Helper,
                     .m_Started = Now,
                     .m_IsRelay = true};
  Decision Entry = makeDecision(DecisionType::Relayed, Pending, Now);
  Entry.m_Server = m_Context.m_Helpers.find(*Helper)->m_Name;
  Out.push_back(std::move(Entry));
  m_Context.m_Helpers.countSent(*Helper);
  m_Attempts.emplace(Sent.m_Id, Sent);
  Pending.m_Running.push_back(Sent.m_Id);
  Pending.m_TriedHelpers.push_back(*Helper);
  announceIfTrial(Pending, Now, Out);
  Out.push_back(
      Dispatch{.m_Request = Pending.m_Id,
               .m_Attempt = Sent.m_Id,
               .m_Server = *Helper,
               .m_Deadline = std::min(Pending.m_Deadline, m_Context.m_EndsAt),
               .m_SendBy = sendBy(Pending, m_Kinds[Pending.m_Kind].m_Work.usualSeconds())});
  return true;
}

void Dispatcher::relayEnded(const Attempt &Sent, const AttemptEnded &Ended, TimePoint Now,
                            Actions &Out) {
  const bool WasServed = Ended.m_Result == AttemptResult::Completed;
  m_Context.m_Helpers.noteEnd(Sent.m_Server, WasServed || Sent.m_Cancelled, Now);
  Decision Entry{.m_Type = DecisionType::AttemptEnded,
                 .m_Request = Sent.m_Request,
                 .m_Took = Now - Sent.m_Started,
                 .m_Outcome = Sent.m_Cancelled ? "cancelled" : toString(Ended.m_Result),
                 .m_Status = Ended.m_Reply ? Ended.m_Reply->m_Status : 0};
  if (const HelperVm *Helper = m_Context.m_Helpers.find(Sent.m_Server)) {
    Entry.m_Server = Helper->m_Name;
  }
  Out.push_back(std::move(Entry));
  const auto Owner = m_Requests.find(Sent.m_Request);
  if (Owner == m_Requests.end()) {
    return;
  }
  Request &Pending = Owner->second;
  Pending.m_Running.erase(std::find(Pending.m_Running.begin(), Pending.m_Running.end(), Sent.m_Id));
  if (WasServed) {
    noteCompletion(Sent, Now, Out);
    completeRequest(Pending, Ended.m_Reply, Now, Out);
    return;
  }
  Pending.m_MayHaveRun |= Ended.m_Result == AttemptResult::Unknown;
  if (!Pending.m_Running.empty() || Pending.m_Search) {
    return;
  }
  if (!Pending.m_MayHaveRun && Pending.m_Tried.empty() && !isUnreachable()) {
    // The cut has ended meanwhile.
    startSearch(Pending, SearchPurpose::FirstAttempt, Now, Out);
  } else {
    giveUpRequest(Pending, Now, Out);
  }
}

} // namespace vanillahill::kernel::probed
