#include "vanillahill/net/detail/fleet_client.hpp"

#include "vanillahill/fleet/announcement.hpp"
#include "vanillahill/observe/log.hpp"

#include <algorithm>

namespace vanillahill::net {

namespace {

using fleet::Stream;
using observe::LogLevel;

/// Maximum number of datagrams for one range. A longer range is read from the store by every VM,
/// which costs less than sending it to every VM in pieces.
constexpr std::size_t MaxAnnouncedDatagrams = 8;
/// Number of failed reads after which a snapshot is fetched from another VM.
constexpr std::uint32_t FailuresBeforeFetch = 1;
/// At its start a VM waits this long for other VMs that may have a snapshot.
constexpr Duration PeerWait = std::chrono::milliseconds(40);
/// The same while no other VM is known: the seeds may start at the same time.
constexpr Duration MaxPeerWait = 2 * PeerWait;
/// A read that begins later than this after it was due gets a log line.
constexpr Duration MinLoggedDelay = std::chrono::milliseconds(100);

/// Records of more bytes than this are not packed to see whether they fit into an announcement.
constexpr std::size_t MaxPackedBytes = 100'000;

std::size_t bytesOf(std::span<const fleet::Record> Records) {
  std::size_t Bytes = 0;
  for (const fleet::Record &Entry : Records) {
    Bytes += Entry.m_Value ? Entry.m_Value->size() : 0;
  }
  return Bytes;
}

} // namespace

FleetClient::FleetClient(FleetRuntime Runtime, StoreAccess Store, FleetClientOptions Options)
    : m_Store(std::move(Store)), m_Runtime(std::move(Runtime)), m_Options(std::move(Options)),
      m_Catalog(m_Options.m_Catalog), m_Follower(m_Options.m_Follower),
      m_Proof(m_Options.m_RevokeBound), m_Lapse(m_Options.m_Follower.m_Bound),
      m_Peers(m_Options.m_Peers), m_Fetcher(m_Options.m_Follower.m_Seed),
      m_Random(m_Options.m_Follower.m_Seed) {}

void FleetClient::start() {
  m_Runtime.m_Receive([Self = weak_from_this()](std::string_view Ip, std::string_view Datagram) {
    if (const auto Locked = Self.lock()) {
      Locked->onDatagram(Ip, Datagram);
    }
  });
  const bool HasSeeds =
      std::any_of(m_Options.m_Peers.m_SeedIps.begin(), m_Options.m_Peers.m_SeedIps.end(),
                  [this](const std::string &Ip) { return Ip != m_Options.m_Peers.m_SelfIp; });
  if (HasSeeds) {
    m_StartedAt = m_Runtime.m_Now();
    m_DecideFirstReadsAt = m_StartedAt + PeerWait;
    m_Follower.pauseUntil(*m_DecideFirstReadsAt);
  }
  runDueTasks();
}

/// Decides once, when this VM had the time to get to know others, whether it reads the store or
/// waits for a snapshot of another VM.
void FleetClient::decideFirstReads(TimePoint Now) {
  if (!m_DecideFirstReadsAt || Now < *m_DecideFirstReadsAt) {
    return;
  }
  if (m_Peers.isAlone() && Now - m_StartedAt < MaxPeerWait) {
    m_DecideFirstReadsAt = Now + PeerWait;
    m_Follower.pauseUntil(*m_DecideFirstReadsAt);
    return;
  }
  m_DecideFirstReadsAt.reset();
  if (m_Follower.isComplete()) {
    return;
  }
  if (m_Peers.hasLocalCatalog()) {
    m_Follower.pauseUntil(Now + fleet::Follower::MinFirstReadDelay);
  } else {
    m_Follower.spreadFirstReads(m_Peers.localSize(), Now);
  }
}

void FleetClient::close() {
  m_Closed = true;
  m_Runtime.m_Close();
}

void FleetClient::reconfigure(fleet::CatalogOptions Catalog, Duration Bound,
                              std::vector<std::string> SeedIps, Duration RevokeBound) {
  m_Proof.setBound(RevokeBound);
  m_Catalog.setOptions(std::move(Catalog));
  m_Follower.setBound(Bound);
  m_Lapse.setBound(Bound);
  m_Peers.setSeeds(std::move(SeedIps));
  publishSettings();
}

void FleetClient::runDueTasks() {
  const auto Now = m_Runtime.m_Now();
  observePauses(Now);
  const auto Returned = m_Catalog.evacuations().tick(Now);
  for (const std::string &DataCenter : Returned) {
    logEvacuation(DataCenter, false, Now);
  }
  if (m_Catalog.tick(Now) || !Returned.empty()) {
    publishSettings();
  }
  sendDueHellos();
  logFleetSize();
  publishFleet();
  publishHelpers();
  publishCountingVms();
  m_Follower.setFleetSize(m_Peers.fleetSize(), m_Peers.localSize());
  m_Follower.setIsFirst(isFirstInDataCenter());
  observe::flushLog();
  if (fleet::Peers::hasSizeChanged(m_SettingsFleetSize,
                                   m_DividedSize.note(m_Peers.fleetSize(), Now))) {
    publishSettings();
  }
  decideFirstReads(Now);
  if (needsSnapshot()) {
    fetchSnapshot(Now);
  }
  const bool WaitsForSnapshot = m_Fetcher.isFetching() && !m_Follower.isComplete();
  if (const auto Which = WaitsForSnapshot ? std::nullopt : m_Follower.nextRead(Now)) {
    const auto From = m_Follower.position(*Which);
    logLateRead(*Which, Now);
    m_Store.m_Read(
        *Which, From ? std::optional(From->m_Offset) : std::nullopt, m_Follower.holdTime(*Which),
        [Self = weak_from_this(), Which = *Which,
         Now](const fleet::Position &To, std::uint64_t Bytes, Duration AnsweredAfter) {
          const auto Locked = Self.lock();
          if (Locked && !Locked->m_Closed) {
            Locked->onReadBegun({.m_Stream = Which, .m_To = To, .m_AskedAt = Now}, Bytes,
                                AnsweredAfter);
          }
        },
        [Self = shared_from_this(), Which = *Which, From, Now](StoreResult Result) {
          if (!Self->m_Closed) {
            Self->onRead(Which, From, Now, std::move(Result));
          }
        });
  }
  startTimer();
}

/// Detects that the process was paused; see ConfigurationProof.
void FleetClient::observePauses(TimePoint Now) {
  if (m_Proof.isNeeded()) {
    m_Proof.observe(Now, suspendedTime(), m_TimerAt);
  }
}

bool FleetClient::mayJudgeKeys() {
  if (!m_Proof.isNeeded()) {
    return true;
  }
  const auto Now = m_Runtime.m_Now();
  observePauses(Now);
  const bool IsValid = m_Proof.isValid(Now);
  if (IsValid == m_UnprovenSince.has_value()) {
    const Duration HeldBackFor = Now - m_UnprovenSince.value_or(Now);
    m_UnprovenSince = IsValid ? std::nullopt : std::optional(Now);
    const auto Age = m_Proof.age(Now);
    observe::log(LogLevel::Warning, IsValid ? "keys_judged_again" : "keys_held_back",
                 {{"age_ms", Age ? std::to_string(toMillis(*Age)) : "unknown"},
                  {"held_back_ms", std::to_string(toMillis(HeldBackFor))}});
  }
  return IsValid;
}

std::optional<Duration> FleetClient::configurationAge() const {
  const auto Now = m_Runtime.m_Now();
  if (m_Proof.isNeeded()) {
    return m_Proof.age(Now);
  }
  const auto CurrentAt = m_Follower.currentAt(Stream::Configuration);
  return CurrentAt ? std::optional(Now - *CurrentAt) : std::nullopt;
}

/// Logs a read that begins late although the store answers: another one was running.
void FleetClient::logLateRead(Stream Which, TimePoint Now) {
  const Duration Late = Now - m_Follower.dueAt(Which);
  if (m_Follower.failures() > 0 || !m_Follower.isComplete() || Late < MinLoggedDelay) {
    return;
  }
  observe::log(
      LogLevel::Warning, "store_read_late",
      {{"stream", std::string(toString(Which))},
       {"late_ms", std::to_string(toMillis(Late))},
       {"age_ms", std::to_string(toMillis(Now - m_Follower.currentAt(Which).value_or(Now)))}});
}

void FleetClient::startTimer() {
  TimePoint Next =
      std::min({m_Catalog.nextTimer(), m_Catalog.evacuations().nextTimer(), m_Peers.nextTimer()});
  if (m_Follower.isComplete() || !m_Fetcher.isFetching()) {
    Next = std::min(Next, m_Follower.nextTimer());
  }
  if (needsSnapshot() && !m_Fetcher.isFetching()) {
    Next = std::min(Next, m_Fetcher.nextAt());
  }
  m_TimerAt = Next;
  m_Runtime.m_CallAt(Next, [Self = weak_from_this()] {
    const auto Locked = Self.lock();
    if (Locked && !Locked->m_Closed) {
      Locked->runDueTasks();
    }
  });
}

void FleetClient::onRead(Stream Which, const std::optional<fleet::Position> &From,
                         TimePoint AskedAt, StoreResult Result) {
  const auto Now = m_Runtime.m_Now();
  observePauses(Now);
  if (!Result) {
    onReadFailed(Which, Result.error(), Now);
    runDueTasks();
    return;
  }
  const bool IsUsable = m_Follower.answered(Which, From, Result->m_To, Now);
  noteEra(Now);
  if (!IsUsable) {
    logOutdated("store", Result->m_To.m_Era);
    runDueTasks();
    return;
  }
  const auto Previous = m_Follower.currentAt(Which);
  const fleet::CompletedRead Read{.m_Stream = Which,
                                  .m_From = Result->m_IsWhole ? std::nullopt : From,
                                  .m_KnownTo = m_Follower.knownTo(Which),
                                  .m_To = Result->m_To,
                                  .m_Records = Result->m_Records.size(),
                                  .m_AskedAt = AskedAt};
  const Duration HeldFor = m_Follower.heldFor(Which, Result->m_AnsweredAfter);
  if (m_Follower.readSucceeded(Which, Read.m_To, AskedAt, Now, HeldFor)) {
    observe::log(LogLevel::Info, "store_regained", {});
  }
  if (Which == Stream::Configuration) {
    m_Proof.note(AskedAt, false, Now);
  }
  recordCatalogCurrent(Previous, Now);
  Result->m_IsNewEra = Read.m_KnownTo && Read.m_KnownTo->m_Era < Read.m_To.m_Era;
  if (Result->m_IsWhole && Which == Stream::Servers) {
    fleet::addUnlisted(m_Catalog, Result->m_Records);
  } else if (Result->m_IsWhole) {
    addUnlistedEvacuations(Result->m_Records);
  }
  std::vector<bool> ShouldAnnounce;
  const RecordSource Source{
      .m_Way = Result->m_IsWhole ? "listing" : "read", .m_From = "store", .m_BeganAt = AskedAt};
  const bool Changed = applyRecords(Which, *Result, Source, ShouldAnnounce, Now);
  fleet::StoreNews Announcement =
      fleet::announcementOf(Read, m_Follower, Result->m_Records, ShouldAnnounce);
  if (Which == Stream::Configuration) {
    Announcement.m_HeldFor = HeldFor;
    Announcement.m_KeeperRank = m_Follower.keeperRank(Now);
  }
  announce(std::move(Announcement), AskedAt, Now);
  m_Follower.told(Read.range());
  relayPending(Now);
  if (Changed) {
    publishSettings();
  }
  runDueTasks();
}

/// The answer to a read has begun. Long records are noticed to the other VMs, before they are here.
void FleetClient::onReadBegun(const fleet::RecordRange &Begun, std::uint64_t Bytes,
                              Duration AnsweredAfter) {
  const bool IsNew = Begun.m_To.m_Era == m_Follower.era() && m_Follower.knownTo(Begun.m_Stream) &&
                     !m_Follower.knows(Begun.m_Stream, Begun.m_To);
  if (Begun.m_Stream == Stream::Configuration && Bytes > MaxPackedBytes && IsNew &&
      m_NoticedTo < Begun.m_To) {
    giveNotice(Begun.m_To, Begun.m_AskedAt, m_Follower.heldFor(Begun.m_Stream, AnsweredAfter));
  }
}

void FleetClient::onReadFailed(Stream Which, const StoreFailure &Failed, TimePoint Now) {
  m_Follower.noteEra(Failed.m_Era, Now);
  noteEra(Now);
  const bool IsPositionLost = Failed.m_IsPositionLost && Failed.m_Era == m_Follower.era();
  m_Follower.readFailed(Which, IsPositionLost, Now);
  observe::logFault("store_read_failed", Failed.m_Error);
  if (m_Follower.failures() == FailuresBeforeFetch) {
    observe::log(LogLevel::Warning, "store_lost", {{"stream", std::string(toString(Which))}});
  }
  if (!IsPositionLost && m_Follower.failures() >= FailuresBeforeFetch) {
    fetchSnapshot(Now);
  }
}

/// Takes note of an era that the store or another VM told.
void FleetClient::noteEra(TimePoint Now) {
  if (m_Follower.era() == m_Era) {
    return;
  }
  m_Era = m_Follower.era();
  m_Lapse.startEra(Now);
  m_Catalog.holdRemovals(Now);
  observe::log(LogLevel::Warning, "store_era",
               {{"era", std::to_string(m_Era)},
                {"configuration", toString(m_Follower.known().m_ConfigurationTo)},
                {"servers", toString(m_Follower.known().m_ServersTo)}});
}

/// Logs, once in each era, that something of an earlier era was dropped.
void FleetClient::logOutdated(std::string_view Source, std::uint64_t Era) {
  if (Era < m_Follower.era() && m_Follower.isFirstOutdated()) {
    observe::log(LogLevel::Warning, "outdated_era_dropped",
                 {{"from", std::string(Source)},
                  {"era", std::to_string(Era)},
                  {"known_era", std::to_string(m_Follower.era())}});
  }
}

/// Records that this VM knows the content of the store, by its own read or from another VM.
void FleetClient::recordCatalogCurrent(std::optional<TimePoint> Previous, TimePoint Now) {
  if (m_Lapse.becameCurrent(Previous, Now)) {
    m_Catalog.holdRemovals(Now);
    observe::log(LogLevel::Info, "removals_held_back",
                 {{"behind_ms", std::to_string(toMillis(Now - *Previous))}});
  }
}

/// Announces what was read from the store to all other VMs: directly to the local ones, and through
/// relays to those of other data centres, so that each link between data centres carries few
/// copies.
void FleetClient::announce(fleet::StoreNews Announcement, TimePoint AskedAt, TimePoint Now) {
  Announcement.m_Sender = selfInfo();
  Announcement.m_Age = ageToState(Announcement.m_Stream, AskedAt, false, Now);
  Announcement.m_MayHaveLapsed = m_Lapse.mayHaveLapsed(Now);
  Announcement.m_IsSteady = m_Lapse.isSteady(Now);
  if (bytesOf(Announcement.m_Records) > MaxPackedBytes ||
      fleet::packNews(Announcement, m_LastSplitMessage).size() > MaxAnnouncedDatagrams) {
    Announcement.m_Records.clear();
    Announcement.m_IsPartial = true;
  }
  send(m_Peers.local(), Announcement);
  Announcement.m_IsForRelay = true;
  send(m_Peers.drawRelays(), Announcement);
}

/// \param IsStatedAge CurrentAt follows from an age in a datagram
Duration FleetClient::ageToState(Stream Which, TimePoint CurrentAt, bool IsStatedAge,
                                 TimePoint Now) const {
  // Only the age of the configuration is taken as a proof.
  return Which == Stream::Configuration ? m_Proof.ageToState(CurrentAt, IsStatedAge, Now)
                                        : Now - CurrentAt;
}

/// Relays an announcement whose records have been fetched since it arrived.
void FleetClient::relayPending(TimePoint Now) {
  if (!m_PendingRelay) {
    return;
  }
  const auto &[Message, AskedAt] = *m_PendingRelay;
  if (m_Follower.knows(Message.m_Stream, Message.m_To)) {
    relay(Message, AskedAt, Now);
    m_PendingRelay.reset();
  }
}

/// Passes an announcement on to the VMs of this data centre.
void FleetClient::relay(fleet::StoreNews Message, TimePoint AskedAt, TimePoint Now) {
  Message.m_IsForRelay = false;
  Message.m_Sender = selfInfo();
  Message.m_Age = ageToState(Message.m_Stream, AskedAt, true, Now);
  send(m_Peers.local(), Message);
}

void FleetClient::publishSettings() {
  m_SettingsFleetSize = m_DividedSize.note(m_Peers.fleetSize(), m_Runtime.m_Now());
  m_Catalog.setFleetSize(static_cast<std::uint32_t>(m_SettingsFleetSize));
  const auto BeganAt = m_Runtime.m_Now();
  if (auto Settings = m_Catalog.settings()) {
    m_Options.m_OnSettings(std::move(Settings));
  }
  if (m_Catalog.version() != m_LoggedVersion) {
    m_LoggedVersion = m_Catalog.version();
    observe::log(LogLevel::Info, "configuration_published",
                 {{"version", std::to_string(m_LoggedVersion)},
                  {"publish_ms", std::to_string(toMillis(m_Runtime.m_Now() - BeganAt))}});
  }
}

void FleetClient::onDatagram(std::string_view Ip, std::string_view Datagram) {
  const auto Message = fleet::decodeNews(Datagram);
  if (!Message) {
    Error Fault = Message.error();
    Fault.m_Peer = std::string(Ip);
    observe::logFault("datagram_refused", Fault);
    return;
  }
  const auto Now = m_Runtime.m_Now();
  observePauses(Now);
  std::visit(
      [&](const auto &Typed) {
        if constexpr (requires { Typed.m_Sender; }) {
          m_Peers.heard(Ip, Typed.m_Sender, Now);
        } else {
          m_Peers.refresh(Ip, Now);
        }
        handleMessage(Ip, Typed, Now);
      },
      *Message);
  publishFleet();
  publishCountingVms();
}

void FleetClient::handleMessage(std::string_view Ip, const fleet::StoreNews &Message,
                                TimePoint Now) {
  const fleet::RecordRange Range = fleet::rangeOf(Message, Now);
  if (Message.m_To.m_Era < m_Follower.era()) {
    logOutdated(Ip, Message.m_To.m_Era);
    return;
  }
  if (mayLackEvacuations(Message)) {
    m_Follower.readSoon(Message.m_Stream, Message.m_To, Now);
    runDueTasks();
    return;
  }
  const bool HasRecords = !Message.m_IsPartial && m_Follower.reaches(Range);
  const bool IsMissing = !HasRecords && !m_Follower.knows(Message.m_Stream, Message.m_To);
  if (Message.m_IsNotice) {
    onNotice(Ip, Message, IsMissing, Now);
    return;
  }
  if (Message.m_IsForRelay && Message.m_IsPartial && IsMissing) {
    m_PendingRelay = {Message, Range.m_AskedAt};
    passHolder(Ip, Message);
  } else if (Message.m_IsForRelay) {
    relay(Message, Range.m_AskedAt, Now);
  }
  const auto Previous = m_Follower.currentAt(Message.m_Stream);
  const bool IsNew = !Message.m_IsPartial && m_Follower.heard(Range, Now);
  noteEra(Now);
  if (m_Follower.currentAt(Message.m_Stream) != Previous) {
    recordCatalogCurrent(Previous, Now);
    if (Message.m_Stream == Stream::Configuration) {
      m_Proof.note(Range.m_AskedAt, true, Now);
    }
  }
  if (m_Lapse.heard(Message.m_IsSteady, Message.m_MayHaveLapsed, Now)) {
    m_Catalog.releaseRemovals(Now);
  }
  if (IsMissing) {
    noticeConfiguration(Ip, Message, Now);
    noteMissing(Ip, Message, Now);
  } else if (IsNew) {
    std::vector<bool> Ignored;
    const StoreRead Read{.m_To = Message.m_To,
                         .m_Records = Message.m_Records,
                         .m_IsNewEra = Message.m_From.m_Era < Message.m_To.m_Era};
    const RecordSource Source{.m_Way = "announcement", .m_From = Ip, .m_BeganAt = Now};
    if (applyRecords(Message.m_Stream, Read, Source, Ignored, Now)) {
      publishSettings();
    }
  }
  runDueTasks();
}

} // namespace vanillahill::net
