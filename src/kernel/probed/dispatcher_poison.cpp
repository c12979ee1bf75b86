#include "vanillahill/kernel/probed/dispatcher.hpp"

namespace vanillahill::kernel::probed {

namespace {

/// A server is probed as often as this after a request was lost there; without any result, the loss
/// says nothing about the request.
constexpr std::uint32_t MaxChecks = 3;

} // namespace

/// The content of an open request if the tracker may know it; quick if not.
std::optional<RequestContent> Dispatcher::trackedContent(RequestId Request) const {
  const RequestContents &Contents = m_Context.m_Contents;
  if (m_Context.m_Poison.size() == 0 || !Contents.m_Hash) {
    return std::nullopt;
  }
  const auto Hash = Contents.m_Hash(Request);
  return Hash && m_Context.m_Poison.mayKnow(*Hash) ? Contents.m_Content(Request) : std::nullopt;
}

bool Dispatcher::isHeldBack(const Request &Pending, TimePoint Now) const {
  const auto Content = trackedContent(Pending.m_Id);
  return Content && m_Context.m_Poison.blockedFor(*Content, Now) > Duration::zero();
}

bool Dispatcher::refuseIfHeldBack(Request &Pending, TimePoint Now, Actions &Out) {
  const auto Content = trackedContent(Pending.m_Id);
  if (!Content) {
    return false;
  }
  const Duration Left = m_Context.m_Poison.blockedFor(*Content, Now);
  if (Left == Duration::zero()) {
    return false;
  }
  if (const auto Report = m_Context.m_Poison.recordRefusal(*Content, Now)) {
    Out.push_back(AnnounceCrashReport{*Report});
  }
  const bool IsForGood = Left == Duration::max();
  refuseRequest(Pending, Reason::PoisonRequest, IsForGood ? Duration::zero() : Left, Now, Out);
  return true;
}

/// Before a trial ends, the other VMs are to know of it, so that none of them makes another one.
void Dispatcher::announceIfTrial(const Request &Pending, TimePoint Now, Actions &Out) {
  const auto Content = trackedContent(Pending.m_Id);
  const auto Report =
      Content ? m_Context.m_Poison.recordSending(*Content, Now) : std::optional<CrashReport>();
  if (Report) {
    Out.push_back(AnnounceCrashReport{*Report});
  }
}

/// A connection that ends without a reply may be a crash, a reset or a lost link: a probe shows
/// whether the server's process is gone.
void Dispatcher::noteLostRequest(const Attempt &Sent, TimePoint Now, Actions &Out) {
  const RequestContents &Contents = m_Context.m_Contents;
  const auto Content = Contents.m_Content ? Contents.m_Content(Sent.m_Request) : std::nullopt;
  if (!Content) {
    return;
  }
  const auto [Lost, IsNew] = m_Unconfirmed.try_emplace(Sent.m_Server);
  Lost->second.m_Contents.push_back(*Content);
  if (IsNew) {
    checkServer(Sent.m_Server, Now, Out);
  }
}

void Dispatcher::noteCompletion(const Attempt &Sent, TimePoint Now, Actions &Out) {
  noteServerAlive(Sent.m_Server);
  if (m_Context.m_Contents.m_Hash) {
    if (const auto Hash = m_Context.m_Contents.m_Hash(Sent.m_Request)) {
      m_Context.m_Poison.noteCompletion(
          {.m_Request = Sent.m_Request, .m_Hash = *Hash, .m_At = Now});
    }
  }
  const auto Content = trackedContent(Sent.m_Request);
  const auto Report =
      Content ? m_Context.m_Poison.recordCompletion(*Content, Now) : std::optional<CrashReport>();
  if (Report) {
    appendCrashReport(*Report, {.m_Server = Sent.m_Server, .m_Request = Sent.m_Request},
                      "completed", Now, Out);
  }
}

/// Probes a server at which requests were lost, whatever is known of its load.
void Dispatcher::checkServer(ServerId Server, TimePoint Now, Actions &Out) {
  const auto Lost = m_Unconfirmed.find(Server);
  if (Lost == m_Unconfirmed.end()) {
    return;
  }
  BackendView *Backend = findBackend(Server);
  const bool MayProbe =
      Backend != nullptr && !Backend->m_Fitness.isPaused(Now) && !Backend->m_Settings.m_IsEvacuated;
  if (!MayProbe || Lost->second.m_Checks == MaxChecks) {
    m_Unconfirmed.erase(Lost);
    return;
  }
  ++Lost->second.m_Checks;
  if (!Backend->m_ProbeSince) {
    Backend->m_ProbeSince = Now;
    ++Backend->m_Probes;
    m_ProbeBudget.takeToken();
    Out.push_back(Probe{Server});
  }
}

void Dispatcher::noteServerCrashed(ServerId Server, TimePoint Now, Actions &Out) {
  const auto Lost = m_Unconfirmed.extract(Server);
  if (Lost.empty()) {
    return;
  }
  for (const RequestContent &Content : Lost.mapped().m_Contents) {
    const auto Recorded = m_Context.m_Poison.recordCrash(Content, Server, Now);
    if (Recorded.m_Report) {
      appendCrashReport(*Recorded.m_Report, {.m_Server = Server}, "request", Now, Out);
    } else if (Recorded.m_ClearedBy) {
      Decision Entry{.m_Type = DecisionType::CrashNotBlamed,
                     .m_Request = Recorded.m_ClearedBy->m_Request,
                     .m_Took = Now - Recorded.m_ClearedBy->m_At,
                     .m_Crashes = static_cast<std::uint32_t>(m_Context.m_Poison.moments(Content)),
                     .m_Content = Content};
      if (const BackendView *Backend = findBackend(Server)) {
        addBackendState(Entry, *Backend, Now);
      }
      Out.push_back(std::move(Entry));
    }
  }
}

/// \param Source what showed it
void Dispatcher::appendCrashReport(const CrashReport &Report, const CrashEvidence &Evidence,
                                   std::string_view Source, TimePoint Now, Actions &Out) {
  Out.push_back(AnnounceCrashReport{Report});
  Decision Entry{.m_Type = DecisionType::CrashReportChanged,
                 .m_Request = Evidence.m_Request,
                 .m_Crashes =
                     static_cast<std::uint32_t>(m_Context.m_Poison.moments(Report.m_Content)),
                 .m_Trials = Report.m_Trials,
                 .m_Content = Report.m_Content,
                 .m_Outcome = Source};
  if (const BackendView *Backend = findBackend(Evidence.m_Server)) {
    addBackendState(Entry, *Backend, Now);
  }
  Out.push_back(std::move(Entry));
}

} // namespace vanillahill::kernel::probed
