#include "vanillahill/kernel/tenants/tenant_caps.hpp"

#include <algorithm>

namespace vanillahill::kernel::tenants {

namespace {

/// Bounds of Retry-After when no VM could be queried: another VM may reach the one that counts.
constexpr Duration ShortestUnknownWait = std::chrono::milliseconds(50);
constexpr Duration LongestUnknownWait = std::chrono::milliseconds(150);
/// Limit on remembered checks; more are forgotten, the oldest first.
constexpr std::size_t MaxChecks = 256;
/// Limit on remembered queries that were decided; the oldest are forgotten.
constexpr std::size_t MaxDecided = 256;

} // namespace

TenantCaps::TenantCaps(TenantCapsOptions Options)
    : m_Options(std::move(Options)), m_Random(m_Options.m_Seed),
      m_Vms(m_Options.m_SelfIp, m_Options.m_DataCenter) {}

void TenantCaps::configure(const SiteSettings &Settings, TimePoint Now) {
  if (m_Tenants.sharesWith(Settings.m_Tenants)) {
    return;
  }
  m_Tenants = Settings.m_Tenants;
  m_Ledger.configure(m_Tenants.span(), Settings.m_Caps, Now);
  updateRoles(Now);
}

void TenantCaps::setCountingVms(std::vector<CountingGroup> Groups, TimePoint Now) {
  m_Vms.set(std::move(Groups));
  updateRoles(Now);
}

void TenantCaps::updateRoles(TimePoint Now) {
  for (const TenantSettings &Tenant : m_Tenants) {
    if (Tenant.hasCap()) {
      const auto First = m_Vms.placeOf(Tenant.m_Id, 0);
      m_Ledger.setCounting(Tenant.m_Id, m_Vms.isSelf(First), Now);
    }
  }
}

Duration TenantCaps::spread(Duration Wait) {
  constexpr double Share = 0.25;
  std::uniform_real_distribution<double> Factor(1.0, 1.0 + Share);
  return std::chrono::duration_cast<Duration>(Wait * Factor(m_Random));
}

/// In another data centre, the VM that last gave a verdict is the likely one; else any of them.
std::string TenantCaps::chooseVm(const CountingVms::Place &Where, TenantId Tenant) {
  if (!Where.m_Ip.empty()) {
    return std::string(Where.m_Ip);
  }
  const std::vector<std::string> &Vms = Where.m_Group->m_Vms;
  const auto Last = m_AnsweredBy.find(Tenant);
  if (Last != m_AnsweredBy.end() && std::find(Vms.begin(), Vms.end(), Last->second) != Vms.end()) {
    return Last->second;
  }
  std::uniform_int_distribution<std::size_t> Position(0, Vms.size() - 1);
  return Vms[Position(m_Random)];
}

Admitted TenantCaps::arrive(RequestId Request, TenantId Tenant, TimePoint Now, Actions &Out) {
  ++m_Counters[Tenant].m_Requests;
  if (!m_Ledger.hasCap(Tenant)) {
    m_Open[Request] = {.m_Tenant = Tenant, .m_GrantedBy = {}};
    return {.m_Request = Request};
  }
  const std::uint64_t Number = ++m_LastNumber;
  Waiting Pending{.m_Request = Request, .m_Tenant = Tenant, .m_SentAt = Now, .m_FirstIp = {}};
  if (const auto Decided = queryOrDecide(Number, Pending, 0, Now, Out)) {
    return *Decided;
  }
  m_Waiting.emplace(Number, std::move(Pending));
  return {.m_Request = Request, .m_Admission = Admission::Waiting};
}

/// Sends a query to the VM of a rank, or decides when that is this VM.
/// \return nothing when a verdict is awaited
std::optional<Admitted> TenantCaps::queryOrDecide(std::uint64_t Number, Waiting &Pending,
                                                  std::size_t Rank, TimePoint Now, Actions &Out) {
  const auto Where = m_Vms.placeOf(Pending.m_Tenant, Rank);
  if (Where.m_Group == nullptr) {
    return Rank == 0 ? queryOrDecide(Number, Pending, 1, Now, Out)
                     : std::optional(refuseUnknown(Pending.m_Request, Pending.m_Tenant));
  }
  Pending.m_HasQueriedSecond = Pending.m_HasQueriedSecond || Rank > 0;
  if (m_Vms.isSelf(Where)) {
    const auto Decided = decide(Pending.m_Tenant, 1, Rank > 0, Now, Out);
    const bool IsDecided = Decided.m_Verdict != CapVerdict::Unknown || Pending.m_FirstIp.empty();
    return IsDecided ? std::optional(conclude(Pending, Decided, m_Options.m_SelfIp)) : std::nullopt;
  }
  const std::string Ip = chooseVm(Where, Pending.m_Tenant);
  if (Rank == 0) {
    if (isSuspect(Ip, Now)) {
      return queryOrDecide(Number, Pending, 1, Now, Out);
    }
    Pending.m_FirstIp = Ip;
  }
  Out.push_back(SendTenantQuery{.m_ToIp = Ip,
                                .m_Query = {.m_Number = Number,
                                            .m_Tenant = Pending.m_Tenant,
                                            .m_AskerIp = {},
                                            .m_IsForSecond = Rank > 0}});
  return std::nullopt;
}

bool TenantCaps::isSuspect(std::string_view Ip, TimePoint Now) const {
  const auto Found = m_Suspects.find(Ip);
  return Found != m_Suspects.end() && Found->second.m_Unanswered >= SuspectQueries &&
         Now < Found->second.m_AvoidedUntil;
}

void TenantCaps::noteUnanswered(const std::string &Ip, TimePoint Now) {
  Suspect &Noted = m_Suspects[Ip];
  ++Noted.m_Unanswered;
  Noted.m_AvoidedUntil = Now + SuspectTime;
}

/// Repeats the query to the VM that counts: it, or the VM that passes queries on there, may be
/// gone, and datagrams are lost. A second grant is returned.
void TenantCaps::repeatQuery(std::uint64_t Number, Waiting &Pending, Actions &Out) {
  const auto Where = m_Vms.placeOf(Pending.m_Tenant, 0);
  if (Where.m_Group == nullptr || m_Vms.isSelf(Where)) {
    return;
  }
  Out.push_back(SendTenantQuery{
      .m_ToIp = chooseVm(Where, Pending.m_Tenant),
      .m_Query = {.m_Number = Number, .m_Tenant = Pending.m_Tenant, .m_AskerIp = {}}});
}

void TenantCaps::rememberDecided(std::uint64_t Number, TenantId Tenant) {
  if (m_Decided.size() >= MaxDecided) {
    m_Decided.erase(m_Decided.begin());
  }
  m_Decided.emplace(Number, Tenant);
}

/// Decides about requests of a tenant whose VM of the rank in question is this one.
CapDecision TenantCaps::decide(TenantId Tenant, std::uint32_t Units, bool IsForSecond,
                               TimePoint Now, Actions &Out) {
  if (IsForSecond) {
    m_Ledger.setCounting(Tenant, isFirstSilent(Tenant, Now, Out), Now);
  }
  if (m_Ledger.isCounting(Tenant)) {
    return m_Ledger.charge(Tenant, Units, Now);
  }
  return m_Ledger.chargeReserve(Tenant, Units, Now);
}

/// Whether the VM that counts a tenant's requests has answered no query of this VM for
/// TakeOverSilence. Starts the queries that find out.
bool TenantCaps::isFirstSilent(TenantId Tenant, TimePoint Now, Actions &Out) {
  const auto First = m_Vms.placeOf(Tenant, 0);
  if (First.m_Group == nullptr || m_Vms.isSelf(First)) {
    return true;
  }
  const std::string Watched =
      First.m_Ip.empty() ? First.m_Group->m_DataCenter : std::string(First.m_Ip);
  const auto [Found, IsNew] = m_Watches.try_emplace(Watched);
  Watch &Checked = Found->second;
  Checked.m_WantedAt = Now;
  if (IsNew) {
    Checked.m_Tenant = Tenant;
    Checked.m_UnansweredSince = Now;
    check(Watched, Checked, Now, Out);
  }
  return Checked.isSilent(Now);
}

void TenantCaps::check(const std::string &Watched, Watch &Checked, TimePoint Now, Actions &Out) {
  const auto First = m_Vms.placeOf(Checked.m_Tenant, 0);
  if (First.m_Group == nullptr || m_Vms.isSelf(First)) {
    return;
  }
  if (m_Checks.size() >= MaxChecks) {
    m_Checks.erase(m_Checks.begin());
  }
  Checked.m_NextCheckAt = Now + (Checked.isSilent(Now) ? TakenOverCheckInterval : CheckInterval);
  ++Checked.m_Unanswered;
  const std::uint64_t Number = ++m_LastNumber;
  m_Checks.emplace(Number, Watched);
  m_AnsweredBy.erase(Checked.m_Tenant);
  Out.push_back(SendTenantQuery{
      .m_ToIp = chooseVm(First, Checked.m_Tenant),
      .m_Query = {
          .m_Number = Number, .m_Tenant = Checked.m_Tenant, .m_Units = 0, .m_AskerIp = {}}});
}

void TenantCaps::checkWatches(TimePoint Now, Actions &Out) {
  const std::size_t Ended = std::erase_if(
      m_Watches, [Now](const auto &Each) { return Now - Each.second.m_WantedAt > CheckLifetime; });
  if (Ended > 0) {
    updateRoles(Now);
  }
  for (auto &[Watched, Checked] : m_Watches) {
    if (Checked.m_NextCheckAt <= Now) {
      check(Watched, Checked, Now, Out);
    }
  }
}

Admitted TenantCaps::conclude(const Waiting &Pending, const CapDecision &Decided,
                              std::string GrantedBy) {
  switch (Decided.m_Verdict) {
  case CapVerdict::Granted:
    m_Open[Pending.m_Request] = {.m_Tenant = Pending.m_Tenant, .m_GrantedBy = std::move(GrantedBy)};
    return {.m_Request = Pending.m_Request};
  case CapVerdict::Reached:
    ++m_Counters[Pending.m_Tenant].m_CapReached;
    return {.m_Request = Pending.m_Request,
            .m_Admission = Admission::CapReached,
            .m_RetryAfter = spread(Decided.m_RetryAfter)};
  case CapVerdict::Unknown:
    break;
  }
  return refuseUnknown(Pending.m_Request, Pending.m_Tenant);
}

Admitted TenantCaps::refuseUnknown(RequestId Request, TenantId Tenant) {
  ++m_Counters[Tenant].m_CapUnknown;
  std::uniform_int_distribution<Duration::rep> Wait(ShortestUnknownWait.count(),
                                                    LongestUnknownWait.count());
  return {.m_Request = Request,
          .m_Admission = Admission::CapUnknown,
          .m_RetryAfter = Duration(Wait(m_Random))};
}

bool TenantCaps::cancel(RequestId Request) {
  const auto Found = std::find_if(m_Waiting.begin(), m_Waiting.end(), [Request](const auto &Each) {
    return Each.second.m_Request == Request;
  });
  if (Found == m_Waiting.end()) {
    return false;
  }
  rememberDecided(Found->first, Found->second.m_Tenant);
  m_Waiting.erase(Found);
  return true;
}

void TenantCaps::finished(const Answer &Final, TimePoint Now, Actions &Out) {
  const auto Found = m_Open.find(Final.m_Request);
  if (Found == m_Open.end()) {
    return;
  }
  const Open Ended = std::move(Found->second);
  m_Open.erase(Found);
  TenantCounters &Counters = m_Counters[Ended.m_Tenant];
  if (Final.m_Outcome != Outcome::NotRun) {
    Counters.m_Served += Final.m_Outcome == Outcome::Completed ? 1 : 0;
    return;
  }
  ++Counters.m_RefusedForRoom;
  if (Ended.m_GrantedBy == m_Options.m_SelfIp) {
    m_Ledger.giveBack(Ended.m_Tenant, 1, Now);
  } else if (!Ended.m_GrantedBy.empty()) {
    Out.push_back(
        SendTenantReturn{.m_ToIp = Ended.m_GrantedBy, .m_Returned = {.m_Tenant = Ended.m_Tenant}});
  }
}

void TenantCaps::onQuery(const TenantQuery &Query, TimePoint Now, Actions &Out) {
  if (!m_Ledger.hasCap(Query.m_Tenant) && Query.m_Units > 0) {
    // A configuration that this VM does not have yet, or has no longer.
    Out.push_back(
        SendTenantVerdict{.m_ToIp = Query.m_AskerIp, .m_Verdict = {.m_Number = Query.m_Number}});
    return;
  }
  const auto Where = m_Vms.placeOf(Query.m_Tenant, Query.m_IsForSecond ? 1 : 0);
  const bool IsOwn = Where.m_Group == nullptr || m_Vms.isSelf(Where);
  if (!IsOwn && Query.m_Hops < MaxHops) {
    m_AnsweredBy.erase(Query.m_Tenant);
    SendTenantQuery Passed{.m_ToIp = chooseVm(Where, Query.m_Tenant), .m_Query = Query};
    ++Passed.m_Query.m_Hops;
    Out.push_back(std::move(Passed));
    return;
  }
  const CapDecision Decided =
      Query.m_Units == 0 ? CapDecision{.m_Verdict = CapVerdict::Granted}
                         : decide(Query.m_Tenant, Query.m_Units, Query.m_IsForSecond, Now, Out);
  Out.push_back(SendTenantVerdict{.m_ToIp = Query.m_AskerIp,
                                  .m_Verdict = {.m_Number = Query.m_Number,
                                                .m_Verdict = Decided.m_Verdict,
                                                .m_RetryAfter = Decided.m_RetryAfter}});
}

std::optional<Admitted> TenantCaps::onVerdict(std::string_view FromIp, const TenantVerdict &Verdict,
                                              TimePoint Now, Actions &Out) {
  if (const auto Known = m_Suspects.find(FromIp); Known != m_Suspects.end()) {
    m_Suspects.erase(Known);
  }
  if (const auto Check = m_Checks.extract(Verdict.m_Number); !Check.empty()) {
    m_Watches.erase(Check.mapped());
    // It counts again; this VM may have taken over meanwhile.
    updateRoles(Now);
    return std::nullopt;
  }
  const auto Found = m_Waiting.find(Verdict.m_Number);
  if (Found == m_Waiting.end()) {
    const auto Late = m_Decided.find(Verdict.m_Number);
    if (Late != m_Decided.end() && Verdict.m_Verdict == CapVerdict::Granted) {
      Out.push_back(SendTenantReturn{.m_ToIp = std::string(FromIp),
                                     .m_Returned = {.m_Tenant = Late->second}});
    }
    return std::nullopt;
  }
  Waiting &Pending = Found->second;
  std::optional<Admitted> Decided;
  if (Verdict.m_Verdict != CapVerdict::Unknown) {
    m_AnsweredBy[Pending.m_Tenant] = std::string(FromIp);
    Decided =
        conclude(Pending, {.m_Verdict = Verdict.m_Verdict, .m_RetryAfter = Verdict.m_RetryAfter},
                 std::string(FromIp));
  } else if (!Pending.m_HasQueriedSecond) {
    Decided = queryOrDecide(Verdict.m_Number, Pending, 1, Now, Out);
  } else if (Pending.m_FirstIp.empty()) {
    Decided = refuseUnknown(Pending.m_Request, Pending.m_Tenant);
  }
  if (Decided) {
    rememberDecided(Verdict.m_Number, Pending.m_Tenant);
    m_Waiting.erase(Found);
  }
  return Decided;
}

std::vector<Admitted> TenantCaps::tick(TimePoint Now, Actions &Out) {
  checkWatches(Now, Out);
  std::vector<Admitted> Ended;
  for (auto Next = m_Waiting.begin(); Next != m_Waiting.end();) {
    auto &[Number, Pending] = *Next;
    std::optional<Admitted> Decided;
    if (Now - Pending.m_SentAt >= LongestWait) {
      Decided = refuseUnknown(Pending.m_Request, Pending.m_Tenant);
    } else if (!Pending.m_HasQueriedSecond && Now - Pending.m_SentAt >= FirstWait) {
      noteUnanswered(Pending.m_FirstIp, Now);
      m_AnsweredBy.erase(Pending.m_Tenant);
      Decided = queryOrDecide(Number, Pending, 1, Now, Out);
      if (!Decided) {
        repeatQuery(Number, Pending, Out);
      }
    }
    if (Decided) {
      rememberDecided(Number, Pending.m_Tenant);
      Ended.push_back(*Decided);
    }
    Next = Decided ? m_Waiting.erase(Next) : std::next(Next);
  }
  return Ended;
}

TimePoint TenantCaps::nextTimer() const {
  TimePoint Next = TimePoint::max();
  for (const auto &[Watched, Checked] : m_Watches) {
    Next = std::min(Next, Checked.m_NextCheckAt);
  }
  for (const auto &[Number, Pending] : m_Waiting) {
    Next =
        std::min(Next, Pending.m_SentAt + (Pending.m_HasQueriedSecond ? LongestWait : FirstWait));
  }
  return Next;
}

void TenantCaps::appendStatus(TimePoint Now, NodeStatus &Status) const {
  std::vector<TenantCounters> All;
  for (const TenantSettings &Tenant : m_Tenants) {
    const auto Found = m_Counters.find(Tenant.m_Id);
    if (Found != m_Counters.end()) {
      All.push_back(Found->second);
      All.back().m_Name = Tenant.m_Name;
      All.back().m_CapInUse = m_Ledger.usedShare(Tenant.m_Id, Now);
    }
  }
  std::stable_sort(All.begin(), All.end(), [](const auto &Left, const auto &Right) {
    return Left.m_Requests > Right.m_Requests;
  });
  TenantCounters Others{.m_Name = "other"};
  for (std::size_t Index = MaxListedTenants; Index < All.size(); ++Index) {
    Others.add(All[Index]);
  }
  const bool HasOthers = All.size() > MaxListedTenants;
  All.resize(std::min(All.size(), MaxListedTenants));
  if (HasOthers) {
    All.push_back(Others);
  }
  Status.m_Tenants = std::move(All);
}

} // namespace vanillahill::kernel::tenants
