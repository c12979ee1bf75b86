#include "node_state.hpp"

namespace vanillahill::kernel {

namespace {

/// The service that a slot message concerns; std::nullopt for other messages.
std::optional<ServiceId> serviceOf(const peer::Message &Message) {
  if (const auto *Request = std::get_if<peer::SlotRequest>(&Message)) {
    return Request->m_Service;
  }
  if (const auto *Loan = std::get_if<peer::SlotLoan>(&Message)) {
    return Loan->m_Service;
  }
  if (const auto *Returned = std::get_if<peer::SlotReturn>(&Message)) {
    return Returned->m_Service;
  }
  return std::nullopt;
}

} // namespace

void Node::State::onEvent(const PeerReceived &Input, TimePoint Now, Actions &Out) {
  if (const std::optional<ServiceId> Service = serviceOf(Input.m_Message)) {
    DispatcherBase *Dispatcher = findDispatcher(*Service);
    if (Dispatcher != nullptr && !m_EndsRequests) {
      Dispatcher->peerMessage(Input.m_From, Input.m_Message, Now, Out);
      markDispatcherChanged(*Service);
    }
  } else if (const auto *Beat = std::get_if<peer::Heartbeat>(&Input.m_Message)) {
    onHeartbeat(Input.m_From, *Beat, Now, Out);
  } else if (const auto *Ack = std::get_if<peer::HeartbeatAck>(&Input.m_Message)) {
    m_Members.onAck(Input.m_From, *Ack, Now);
    tickMembership(Now, Out);
  } else if (const auto *Query = std::get_if<peer::KeyQuery>(&Input.m_Message)) {
    m_KeyGuard.onQuery(Input.m_From, *Query, m_Members.view(Now), Now, Out);
  } else if (const auto *Known = std::get_if<peer::KeyAnswer>(&Input.m_Message)) {
    for (const RequestId Request :
         m_KeyGuard.onAnswer(Input.m_From, *Known, m_Members.view(Now), Now, Out)) {
      passToDispatcher(Request, Now, Out);
    }
  } else if (const auto *Push = std::get_if<peer::ConfigPush>(&Input.m_Message)) {
    m_Replica.onPeerRecords(Push->m_Records, Now, Out);
    applyReplicaSettings(Now);
  } else if (std::holds_alternative<peer::ConfigPull>(Input.m_Message)) {
    m_Replica.onPull(Input.m_From, Out);
  }
}

void Node::State::onHeartbeat(VmId From, const peer::Heartbeat &Beat, TimePoint Now, Actions &Out) {
  m_Members.onHeartbeat(From, Beat, Now, Out);
  std::vector<peer::FileVersion> &Versions = m_PeerVersions[From];
  if (!Beat.m_Versions.empty()) {
    Versions = Beat.m_Versions;
  }
  m_Replica.onPeerVersions(From, Versions, Now, Out);
  for (const peer::ServiceHint &Hint : Beat.m_Hints) {
    if (DispatcherBase *Dispatcher = findDispatcher(Hint.m_Service)) {
      Dispatcher->peerHint(From, Hint, Now);
    }
  }
  for (auto &[Id, Dispatcher] : m_Dispatchers) {
    for (const ServerId Server : Beat.m_Avoid) {
      Dispatcher->peerMark(Server, false, Now);
    }
    for (const ServerId Server : Beat.m_Leaving) {
      Dispatcher->peerMark(Server, true, Now);
    }
  }
  startServingIfReady();
  updateSlotVms();
}

void Node::State::onEvent(const CrashReportReceived &Input, TimePoint Now, Actions &Out) {
  const CrashReport &Report = Input.m_Report;
  const auto Merged = m_Context.m_Poison.receive(Report, m_Context.m_Fleet.m_Local.size(), Now);
  if (Merged.m_IsChanged) {
    const std::size_t Moments = m_Context.m_Poison.moments(Report.m_Content);
    Out.push_back(Decision{.m_Type = DecisionType::CrashReportChanged,
                           .m_Crashes = static_cast<std::uint32_t>(Moments),
                           .m_Trials = Report.m_Trials,
                           .m_Content = Report.m_Content,
                           .m_Outcome = "vm"});
  }
  if (const auto &Done = Merged.m_ClearedBy) {
    Out.push_back(Decision{.m_Type = DecisionType::CrashNotBlamed,
                           .m_Request = Done->m_Request,
                           .m_Took = Now - Done->m_At,
                           .m_Crashes = static_cast<std::uint32_t>(Report.m_Crashes.size()),
                           .m_Trials = Report.m_Trials,
                           .m_Content = Report.m_Content,
                           .m_Outcome = "vm"});
  }
  if (Merged.m_Answer) {
    Out.push_back(AnnounceCrashReport{*Merged.m_Answer});
  }
}

void Node::State::onEvent(const FleetChanged &Input, TimePoint Now, Actions &Out) {
  if (hasNewVms(m_Context.m_Fleet, Input.m_Fleet)) {
    for (const CrashReport &Report :
         m_Context.m_Poison.reportsForNewVm(Input.m_Fleet.m_Local.size(), Now)) {
      Out.push_back(AnnounceCrashReport{Report});
    }
  }
  m_Context.m_Fleet = Input.m_Fleet;
  m_Context.m_Fleet.m_ChangedAt = Now;
  for (auto &[Id, Dispatcher] : m_Dispatchers) {
    Dispatcher->fleetChanged(Now);
  }
}

/// Sends the heartbeats that are due and applies membership changes.
void Node::State::tickMembership(TimePoint Now, Actions &Out) {
  startServingIfReady();
  if (m_Members.nextTimer() <= Now) {
    m_Members.tick(Now, Out, makeHeartbeat(Now));
    startServingIfReady();
  }
  updateSlotVms();
}

peer::Heartbeat Node::State::makeHeartbeat(TimePoint Now) const {
  peer::Heartbeat Beat{.m_Versions = m_Replica.versions()};
  for (const auto &[Id, Dispatcher] : m_Dispatchers) {
    Beat.m_Hints.push_back(Dispatcher->hint());
    Dispatcher->appendMarks(Now, Beat.m_Avoid, Beat.m_Leaving);
  }
  return Beat;
}

} // namespace vanillahill::kernel
