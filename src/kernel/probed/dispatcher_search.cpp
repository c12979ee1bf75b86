#include "vanillahill/kernel/probed/dispatcher.hpp"
#include "vanillahill/kernel/probed/seconds.hpp"

namespace vanillahill::kernel::probed {

namespace {

/// Bounds of the time for which a round waits for its probes.
constexpr Duration ShortestProbeWait = std::chrono::milliseconds(3);
constexpr Duration LongestProbeWait = std::chrono::milliseconds(20);
/// A round waits for this multiple of the average round trip of a probe.
constexpr double ProbeWaitMultiple = 2.5;

const RoundPlan &roundWithFewProbes(std::size_t Round) {
  return RoundsWithFewProbes[std::min(Round, RoundsWithFewProbes.size()) - 1];
}

} // namespace

void Dispatcher::startSearch(Request &Pending, SearchPurpose Purpose, TimePoint Now, Actions &Out) {
  if (Purpose == SearchPurpose::FirstAttempt) {
    m_ArrivalRate.count(Now);
    if (m_SubsetSize.countRequest(Now)) {
      chooseSubset();
    }
  }
  requestTokensIfShort(Now, Out);
  Pending.m_Purpose = Purpose;
  Pending.m_Search.emplace().m_UsesFewProbes =
      m_HasSmallSubset && Purpose != SearchPurpose::Retry &&
      m_Settings.m_Policy.m_LowRatePlacement == LowRatePlacement::FewProbes;
  m_SearchingRequests.push_back(Pending.m_Id);
  startRound(Pending, Now, Out);
}

void Dispatcher::startRound(Request &Pending, TimePoint Now, Actions &Out) {
  forgetFailuresOfCut(Now);
  Search &CurrentSearch = *Pending.m_Search;
  const SearchCriteria Criteria = criteriaOf(Pending, Now);
  ++CurrentSearch.m_Rounds;
  CurrentSearch.m_RoundBegin = CurrentSearch.m_Sampled.size();
  const Duration Wait = std::clamp(toDuration(m_ProbeSeconds.value() * ProbeWaitMultiple),
                                   ShortestProbeWait, LongestProbeWait);
  CurrentSearch.m_RoundDeadline = Now + Wait;
  if (m_ReportsLoad == false) {
    finishRound(Pending, Now, Out);
    return;
  }
  const bool UsesFewProbes = CurrentSearch.m_UsesFewProbes;
  if (UsesFewProbes && CurrentSearch.m_Rounds == 1 &&
      Pending.m_Purpose == SearchPurpose::FirstAttempt && sampleLastGood(Pending, Now, Out)) {
    if (isRoundOver(CurrentSearch, Now)) {
      finishRound(Pending, Now, Out);
    }
    return;
  }
  RoundPlan Plan = UsesFewProbes ? roundWithFewProbes(CurrentSearch.m_Rounds) : RoundPlan{};
  if (Plan.m_IsLocal) {
    Plan.m_OpenSince = Now - m_SubsetSize.idleTime();
  }
  auto NewlySampled =
      sampleBackends(m_Backends, Criteria, CurrentSearch.m_Sampled, Plan, Now, m_Context.m_Random);
  const std::size_t Wanted = NewlySampled.size();
  const std::size_t ProbeCount = std::min(Wanted, m_ProbeBudget.roundSize(Wanted, Now));
  NewlySampled.resize(ProbeCount);
  // Servers with recent reports make up for the probes that the budget does not allow.
  for (const BackendIndex Index :
       recentBackends(m_Backends, Criteria, CurrentSearch.m_Sampled,
                      {.m_Count = Wanted - ProbeCount, .m_MaxAge = RecentReportAge}, Now)) {
    if (std::find(NewlySampled.begin(), NewlySampled.end(), Index) == NewlySampled.end()) {
      CurrentSearch.m_Sampled.push_back(Index);
    }
  }
  for (const BackendIndex Index : NewlySampled) {
    CurrentSearch.m_Sampled.push_back(Index);
    sendProbe(Index, Now, Out);
  }
  if (isRoundOver(CurrentSearch, Now)) {
    finishRound(Pending, Now, Out);
  }
}

/// \return the cost up to which a server needs no search for a better one
double Dispatcher::enoughSeconds(const Request &Pending, TimePoint Now) const {
  if (!Pending.m_Search || !Pending.m_Search->m_UsesFewProbes) {
    return 0.0;
  }
  // The rest is for transit, and for a hedge if the server becomes slower after its report.
  constexpr double ShareOfTimeLeft = 0.5;
  const Duration Target = m_Kinds[Pending.m_Kind].m_Settings.m_TargetLatency;
  const TimePoint End = Target > Duration::zero() ? Pending.m_Arrived + Target : Pending.m_Deadline;
  return ShareOfTimeLeft * toSeconds(std::max(End - Now, Duration::zero()));
}

/// Begins a search with the server that was last reported to be idle and quick.
/// \return whether a probe is not needed, as the report is recent
bool Dispatcher::sampleLastGood(Request &Pending, TimePoint Now, Actions &Out) {
  const SearchCriteria Criteria = criteriaOf(Pending, Now);
  const auto LastGood = findLastGood(m_Backends, Criteria, LowRateProbedAge, Now);
  if (!LastGood) {
    return false;
  }
  // A server that has become slow or busy since its report costs a hedge, so one must be possible.
  const bool MayHedge = Criteria.m_Idempotent && m_RetryBudget.hasToken();
  const Duration MaxAge = MayHedge                ? LowRateReportAge
                          : Criteria.m_Idempotent ? RecentReportAge
                                                  : ReportLifetime;
  const bool IsRecent = m_Backends[*LastGood].hasLoadWithin(MaxAge, Now);
  if (!IsRecent && m_ProbeBudget.roundSize(1, Now) == 0) {
    return false;
  }
  Pending.m_Search->m_Sampled.push_back(*LastGood);
  if (!IsRecent) {
    sendProbe(*LastGood, Now, Out);
  }
  return true;
}

bool Dispatcher::sendProbe(BackendIndex Index, TimePoint Now, Actions &Out) {
  BackendView &Backend = m_Backends[Index];
  if (Backend.m_ProbeSince || Backend.hasFreshLoad(Now)) {
    return false;
  }
  noticePauseEnd(Backend, Now, Out);
  Backend.m_ProbeSince = Now;
  ++Backend.m_Probes;
  m_ProbeBudget.takeToken();
  Out.push_back(Probe{Backend.m_Settings.m_Id});
  return true;
}

TokenLevel Dispatcher::tokenLevel(TimePoint Now) {
  return {.m_Tokens = m_ProbeBudget.tokens(Now), .m_Demand = m_ArrivalRate.perSecond(Now)};
}

/// Asks another VM for probe tokens when those of this one do not last long.
void Dispatcher::requestTokensIfShort(TimePoint Now, Actions &Out) {
  constexpr double ShortSeconds = 0.5;
  const TokenLevel Own = tokenLevel(Now);
  if (m_ReportsLoad == false ||
      Own.m_Tokens >= ShortSeconds * Own.m_Demand * ProbeBudget::ProbesPerRequest) {
    return;
  }
  if (auto Due = m_TokenExchange.ask(Own, m_Context.m_Helpers.all(), Now, m_Context.m_Random)) {
    Due->m_Request.m_Service = m_Settings.m_Id;
    ++m_TokenCounters.m_Requests;
    Out.push_back(SendTokenRequest{.m_ToVm = std::move(Due->m_Vm), .m_Request = Due->m_Request});
  }
}

void Dispatcher::tokensRequested(const TokenRequestReceived &Received, TimePoint Now,
                                 Actions &Out) {
  const TokenRequest &Request = Received.m_Request;
  const TokenLevel Requester{.m_Tokens = static_cast<double>(Request.m_Tokens),
                             .m_Demand = Request.m_Demand};
  const double Wanted = tokensToGive(tokenLevel(Now), Requester, ProbeBudget::ProbesPerRequest);
  // The parts are equal, so the bucket of the other VM holds as many as this one.
  const double Room = m_ProbeBudget.capacity() - Requester.m_Tokens;
  const std::uint32_t Given = m_ProbeBudget.give(std::min(Wanted, Room), Now);
  m_TokenCounters.m_Given += Given;
  Out.push_back(SendTokenGrant{
      .m_ToVm = Received.m_FromVm,
      .m_Grant = {.m_Number = Request.m_Number, .m_Service = m_Settings.m_Id, .m_Tokens = Given}});
}

void Dispatcher::tokensGranted(const TokenGrant &Granted, TimePoint Now) {
  const std::uint32_t Tokens = m_TokenExchange.answered(Granted, Now);
  m_ProbeBudget.receive(Tokens, Now);
  m_TokenCounters.m_Received += Tokens;
}

bool Dispatcher::isRoundOver(const Search &CurrentSearch, TimePoint Now) const {
  if (Now >= CurrentSearch.m_RoundDeadline) {
    return true;
  }
  return std::none_of(
      CurrentSearch.m_Sampled.begin(), CurrentSearch.m_Sampled.end(),
      [this](BackendIndex Index) { return m_Backends[Index].m_ProbeSince.has_value(); });
}

void Dispatcher::advanceSearches(TimePoint Now, Actions &Out) {
  // A copy, as finishRound() may end searches and start others.
  const std::vector<RequestId> SearchingRequests = m_SearchingRequests;
  for (const RequestId Id : SearchingRequests) {
    const auto Found = m_Requests.find(Id);
    if (Found == m_Requests.end() || !Found->second.m_Search) {
      continue;
    }
    Request &Pending = Found->second;
    const auto Best =
        findCheapest(m_Backends, criteriaOf(Pending, Now), Pending.m_Search->m_Sampled, Now);
    // An idle and quick server ends the round; else the replies of the others are awaited, as an
    // emptier one may be among them.
    if ((Best && Best->m_IsGood && Best->m_IsIdle) || isRoundOver(*Pending.m_Search, Now)) {
      finishRound(Pending, Now, Out);
    }
  }
}

void Dispatcher::finishRound(Request &Pending, TimePoint Now, Actions &Out) {
  const SearchCriteria Criteria = criteriaOf(Pending, Now);
  const auto Best = findCheapest(m_Backends, Criteria, Pending.m_Search->m_Sampled, Now);
  const bool IsGood = Best && Best->m_IsGood;
  // A request is not refused on the word of few servers: for that, the last probes are used.
  const bool HasFewSampled = Pending.m_Search->m_Sampled.size() < ServersPerRound;
  const bool IsHedge = Pending.m_Purpose == SearchPurpose::Hedge;
  const bool NeedsFreeSlot = Best && Best->m_IsReserved && !IsHedge;
  const bool NeedsRound = (HasFewSampled || NeedsFreeSlot) && !IsHedge && Best &&
                          (!IsGood || !hasRoom(Pending, *Best, Now)) &&
                          m_ProbeBudget.roundSize(1, Now) > 0;
  const std::size_t UsualRounds =
      Pending.m_Search->m_UsesFewProbes ? RoundsWithFewProbes.size() : MaxRounds;
  const std::size_t Rounds = UsualRounds + (NeedsFreeSlot ? MaxRoundsForFreeSlot : 0);
  const bool MayStartRound = m_ReportsLoad != false && Pending.m_Search->m_Rounds < Rounds &&
                             (m_ProbeBudget.allowsMoreRounds(Now) || NeedsRound);
  const std::size_t SampledCount = Pending.m_Search->m_Sampled.size();
  if (!IsGood && MayStartRound && SampledCount < m_Backends.size() &&
      SampledCount + ServersPerRound <= MaxSampled) {
    startRound(Pending, Now, Out);
    return;
  }
  m_LastSampled = static_cast<std::uint32_t>(Pending.m_Search->m_Sampled.size());
  std::erase(m_SearchingRequests, Pending.m_Id);
  Pending.m_Search.reset();
  if (Pending.m_Purpose == SearchPurpose::Hedge) {
    finishHedgeSearch(Pending, Best, Now, Out);
  } else {
    finishSearch(Pending, Best, Now, Out);
  }
}

void Dispatcher::finishSearch(Request &Pending, const std::optional<Candidate> &Best, TimePoint Now,
                              Actions &Out) {
  if (Best) {
    if (hasRoom(Pending, *Best, Now)) {
      placeRequest(Pending, Best->m_Backend, Now, Out);
    } else if (Pending.m_MayHaveRun || Pending.m_FailedReply) {
      giveUpRequest(Pending, Now, Out);
    } else {
      refuseOverloaded(Pending, *Best, Now, Out);
    }
    return;
  }
  const auto Chosen =
      chooseWithoutReport(m_Backends, criteriaOf(Pending, Now), Now, m_Context.m_Random);
  if (Chosen) {
    placeRequest(Pending, *Chosen, Now, Out);
    return;
  }
  giveUpRequest(Pending, Now, Out);
}

} // namespace vanillahill::kernel::probed
