#include "vanillahill/net/detail/fleet_client.hpp"

#include "vanillahill/observe/log.hpp"

#include <array>
#include <set>

namespace vanillahill::net {

namespace {

using fleet::Stream;
using observe::LogLevel;

/// The failure of one server is announced at most once in this time.
constexpr Duration MinAnnounceInterval = std::chrono::milliseconds(150);
/// Maximum number of datagrams for one range. A longer range is read from the store by every VM,
/// which costs less than sending it over the links between data centres.
constexpr std::size_t MaxAnnouncedDatagrams = 8;
/// Maximum number of servers whose last announced failure is remembered.
constexpr std::size_t MaxAnnouncedFailures = 4096;
/// Number of failed reads after which another VM is asked for a snapshot.
constexpr std::uint32_t FailuresBeforeSnapshotRequest = 1;

std::string_view toString(Stream Which) {
  return Which == Stream::Configuration ? "configuration" : "servers";
}

} // namespace

FleetClient::FleetClient(asio::io_context &Io, StoreAccess Store,
                         std::shared_ptr<Datagrams> DatagramSocket, FleetClientOptions Options)
    : m_Store(std::move(Store)), m_DatagramSocket(std::move(DatagramSocket)),
      m_Options(std::move(Options)), m_Timer(Io), m_Catalog(m_Options.m_Catalog),
      m_Follower(m_Options.m_Follower), m_Lapse(m_Options.m_Follower.m_Bound),
      m_Peers(m_Options.m_Peers), m_Random(m_Options.m_Follower.m_Seed) {}

void FleetClient::start() {
  m_DatagramSocket->start(
      [Self = weak_from_this()](std::string_view Ip, std::string_view Datagram) {
        if (const auto Locked = Self.lock()) {
          Locked->onDatagram(Ip, Datagram);
        }
      });
  runDueTasks();
}

void FleetClient::close() {
  m_Closed = true;
  m_Timer.cancel();
  m_DatagramSocket->close();
}

void FleetClient::reconfigure(fleet::CatalogOptions Catalog, Duration Bound,
                              std::vector<std::string> SeedIps) {
  m_Catalog.setOptions(std::move(Catalog));
  m_Follower.setBound(Bound);
  m_Lapse.setBound(Bound);
  m_Peers.setSeeds(std::move(SeedIps));
  publishSettings();
}

void FleetClient::runDueTasks() {
  const auto Now = SystemClock().now();
  if (m_Catalog.tick(Now)) {
    publishSettings();
  }
  sendDueHellos();
  m_Follower.setFleetSize(m_Peers.fleetSize());
  observe::flushLog();
  if (hasFleetSizeChanged()) {
    publishSettings();
  }
  if (const auto Which = m_Follower.nextRead(Now)) {
    const auto From = m_Follower.position(*Which);
    m_Store.m_Read(*Which, From,
                   [Self = shared_from_this(), Which = *Which, From, Now](StoreResult Result) {
                     if (!Self->m_Closed) {
                       Self->onRead(Which, From, Now, std::move(Result));
                     }
                   });
  }
  startTimer();
}

void FleetClient::startTimer() {
  const auto Next = std::min({m_Follower.nextTimer(), m_Catalog.nextTimer(), m_Peers.nextTimer()});
  m_Timer.expires_at(Next);
  m_Timer.async_wait([Self = shared_from_this()](ErrorCode Failure) {
    if (!Failure && !Self->m_Closed) {
      Self->runDueTasks();
    }
  });
}

void FleetClient::onRead(Stream Which, std::optional<std::uint64_t> From, TimePoint AskedAt,
                         StoreResult Result) {
  const auto Now = SystemClock().now();
  if (!Result) {
    const StoreFailure &Failed = Result.error();
    m_Follower.readFailed(Which, Failed.m_IsPositionLost, Now);
    observe::logFault("store_read_failed", Failed.m_Error);
    if (m_Follower.failures() == FailuresBeforeSnapshotRequest) {
      observe::log(LogLevel::Warning, "store_lost", {{"stream", std::string(toString(Which))}});
    }
    if (!Failed.m_IsPositionLost && m_Follower.failures() >= FailuresBeforeSnapshotRequest) {
      requestSnapshot();
    }
    runDueTasks();
    return;
  }
  const auto Previous = m_Follower.currentAt(Which);
  if (m_Follower.readSucceeded(Which, Result->m_To, AskedAt, Now)) {
    observe::log(LogLevel::Info, "store_regained", {});
  }
  recordCatalogCurrent(Previous, Now);
  std::vector<bool> ShouldAnnounce;
  const bool Changed = applyRecords(Which, *Result, ShouldAnnounce, Now);
  const bool IsRange =
      From && !Result->m_IsWhole && *From + Result->m_Records.size() == Result->m_To;
  fleet::RecordRange Range{.m_Stream = Which,
                           .m_From = IsRange ? *From : Result->m_To,
                           .m_To = Result->m_To,
                           .m_AskedAt = AskedAt};
  if (IsRange) {
    Range.m_Records = std::move(Result->m_Records);
  } else {
    ShouldAnnounce.clear();
  }
  announceRange(Range, ShouldAnnounce, Now);
  if (Changed) {
    publishSettings();
  }
  runDueTasks();
}

/// Records that this VM knows the content of the store, by its own read or from another VM.
void FleetClient::recordCatalogCurrent(std::optional<TimePoint> Previous, TimePoint Now) {
  if (m_Lapse.becameCurrent(Previous, Now)) {
    m_Catalog.holdRemovals(Now);
    observe::log(LogLevel::Info, "removals_held_back",
                 {{"behind_ms", std::to_string(toMillis(Now - *Previous))}});
  }
}

bool FleetClient::applyRecords(Stream Which, const StoreRead &Read,
                               std::vector<bool> &ShouldAnnounce, TimePoint Now) {
  bool Changed = false;
  std::set<std::string, std::less<>> Listed;
  for (const fleet::Record &Entry : Read.m_Records) {
    bool IsNew = false;
    if (Which == Stream::Servers) {
      Listed.insert(Entry.m_Key);
      IsNew = applyServer(Entry, Now);
      // A removal may be held back on this VM but not on others, and vice versa.
      ShouldAnnounce.push_back(IsNew || !Entry.m_Value || m_Lapse.mayHaveLapsed(Now));
    } else {
      const bool IsConfiguration = Entry.m_Key == m_Store.m_ConfigurationKey && Entry.m_Value;
      IsNew = IsConfiguration && applyConfiguration(*Entry.m_Value);
      ShouldAnnounce.push_back(IsConfiguration);
    }
    Changed = Changed || IsNew;
  }
  if (Which == Stream::Servers && Read.m_IsWhole) {
    Changed = m_Catalog.keepOnly(Listed, Now) || Changed;
    std::erase_if(m_ServerTexts, [&](const auto &Known) { return !Listed.contains(Known.first); });
  }
  return Changed;
}

bool FleetClient::applyConfiguration(const std::string &Text) {
  auto Decoded = m_Store.m_DecodeConfiguration(Text);
  if (!Decoded) {
    observe::logFault("configuration_refused", Decoded.error());
    return false;
  }
  const auto Version = Decoded->m_Version;
  if (!m_Catalog.apply(std::move(*Decoded))) {
    return false;
  }
  m_ConfigurationText = Text;
  observe::log(LogLevel::Info, "configuration_taken", {{"version", std::to_string(Version)}});
  return true;
}

bool FleetClient::applyServer(const fleet::Record &Entry, TimePoint Now) {
  if (!Entry.m_Value) {
    const bool Changed = m_Catalog.remove(Entry.m_Key, Now);
    m_ServerTexts.erase(Entry.m_Key);
    if (Changed) {
      observe::log(LogLevel::Info, "server_removed", {{"server", Entry.m_Key}});
    }
    return Changed;
  }
  const auto Decoded = m_Store.m_DecodeServer(Entry.m_Key, *Entry.m_Value);
  if (!Decoded) {
    observe::logFault("server_record_skipped", Decoded.error());
    return false;
  }
  const bool Changed = m_Catalog.apply(*Decoded, Now);
  if (m_Catalog.has(Entry.m_Key)) {
    m_ServerTexts[Entry.m_Key] = *Entry.m_Value;
  }
  if (Changed) {
    observe::log(LogLevel::Info, "server_changed",
                 {{"server", Entry.m_Key},
                  {"state", Decoded->m_Draining ? "draining" : "ready"},
                  {"born_ms", std::to_string(Decoded->m_BornMillis)},
                  {"sequence", std::to_string(Decoded->m_Sequence)}});
  }
  return Changed;
}

void FleetClient::announceRange(const fleet::RecordRange &Range,
                                const std::vector<bool> &ShouldAnnounce, TimePoint Now) {
  // Only records that no VM has announced yet: many VMs read at once when a fleet starts.
  fleet::StoreNews Announcement{.m_Stream = Range.m_Stream,
                                .m_From = m_Follower.untoldFrom(Range),
                                .m_To = Range.m_To,
                                .m_Age = Now - Range.m_AskedAt,
                                .m_MayHaveLapsed = m_Lapse.mayHaveLapsed(Now),
                                .m_IsSteady = m_Lapse.isSteady(Now)};
  for (std::size_t Index = Announcement.m_From - Range.m_From; Index < ShouldAnnounce.size();
       ++Index) {
    if (ShouldAnnounce[Index]) {
      Announcement.m_Records.push_back(Range.m_Records[Index]);
    }
  }
  auto Datagrams = fleet::packNews(Announcement, ++m_LastSplitMessage);
  if (Datagrams.size() > MaxAnnouncedDatagrams) {
    Announcement.m_Records.clear();
    Announcement.m_IsPartial = true;
    Datagrams = fleet::packNews(Announcement, m_LastSplitMessage);
  }
  sendToAll(Datagrams);
  m_Follower.told(Range);
  m_Peers.toldAll(Now);
}

void FleetClient::publishSettings() {
  m_SettingsFleetSize = m_Peers.fleetSize();
  m_Catalog.setFleetSize(static_cast<std::uint32_t>(m_SettingsFleetSize));
  if (auto Settings = m_Catalog.settings()) {
    m_Options.m_OnSettings(std::move(Settings));
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
  const auto Now = SystemClock().now();
  if (m_Peers.heard(Ip, Now)) {
    observe::log(LogLevel::Info, "vm_found", {{"ip", std::string(Ip)}});
  }
  std::visit([&](const auto &Typed) { handleMessage(Ip, Typed, Now); }, *Message);
}

void FleetClient::handleMessage(std::string_view Ip, const fleet::Hello &Message,
                                TimePoint /*Now*/) {
  if (Message.m_AsksForPeers) {
    send(std::string(Ip), fleet::PeerList{.m_Ips = m_Peers.all()});
  }
}

void FleetClient::handleMessage(std::string_view /*Ip*/, const fleet::PeerList &Message,
                                TimePoint Now) {
  for (const std::string &Added : m_Peers.learn(Message.m_Ips, Now)) {
    send(Added, fleet::Hello{});
  }
}

void FleetClient::handleMessage(std::string_view /*Ip*/, const fleet::StoreNews &Message,
                                TimePoint Now) {
  const fleet::RecordRange Range{.m_Stream = Message.m_Stream,
                                 .m_From = Message.m_From,
                                 .m_To = Message.m_To,
                                 .m_AskedAt = Now - Message.m_Age};
  const auto Previous = m_Follower.currentAt(Message.m_Stream);
  const bool IsNew = !Message.m_IsPartial && m_Follower.heard(Range, Now);
  if (m_Follower.currentAt(Message.m_Stream) != Previous) {
    recordCatalogCurrent(Previous, Now);
  }
  if (m_Lapse.heard(Message.m_IsSteady, Message.m_MayHaveLapsed, Now)) {
    m_Catalog.releaseRemovals(Now);
  }
  if (Message.m_IsPartial) {
    m_Follower.told(Range);
    m_Follower.readSoon(Message.m_Stream, Now);
  } else if (IsNew) {
    std::vector<bool> Ignored;
    if (applyRecords(Message.m_Stream, {.m_To = Message.m_To, .m_Records = Message.m_Records},
                     Ignored, Now)) {
      publishSettings();
    }
  }
  runDueTasks();
}

void FleetClient::handleMessage(std::string_view /*Ip*/, const fleet::ServerFailed &Message,
                                TimePoint /*Now*/) {
  m_Options.m_OnServerFailed(Message.m_Server);
}

/// Asks a random other VM for a snapshot, because the store does not answer this VM.
void FleetClient::requestSnapshot() {
  const std::vector<std::string> Others = m_Peers.all();
  if (Others.empty()) {
    return;
  }
  std::uniform_int_distribution<std::size_t> Position(0, Others.size() - 1);
  send(
      Others[Position(m_Random)],
      fleet::SnapshotWanted{.m_Version = m_Catalog.version(),
                            .m_ServersPosition = m_Follower.position(Stream::Servers).value_or(0)});
}

void FleetClient::handleMessage(std::string_view Ip, const fleet::SnapshotWanted &Message,
                                TimePoint /*Now*/) {
  const std::uint64_t Servers = m_Follower.position(Stream::Servers).value_or(0);
  const bool HasNewerVersion = m_Catalog.version() > Message.m_Version;
  if (!HasNewerVersion && Servers <= Message.m_ServersPosition) {
    return;
  }
  fleet::Snapshot SnapshotReply{.m_ConfigurationPosition =
                                    m_Follower.position(Stream::Configuration).value_or(0),
                                .m_ServersPosition = Servers};
  if (HasNewerVersion) {
    SnapshotReply.m_ConfigurationText = m_ConfigurationText;
  }
  for (const auto &[Id, Text] : m_ServerTexts) {
    SnapshotReply.m_Servers.push_back({.m_Key = Id, .m_Value = Text});
  }
  for (const std::string &Datagram : fleet::packNews(SnapshotReply, ++m_LastSplitMessage)) {
    m_DatagramSocket->send(std::string(Ip), Datagram);
  }
}

void FleetClient::handleMessage(std::string_view Ip, const fleet::Piece &Message,
                                TimePoint /*Now*/) {
  if (const auto Frame = m_Pieces.take(Ip, Message)) {
    onDatagram(Ip, *Frame);
  }
}

void FleetClient::handleMessage(std::string_view Ip, const fleet::Snapshot &Message,
                                TimePoint Now) {
  bool Changed =
      !Message.m_ConfigurationText.empty() && applyConfiguration(Message.m_ConfigurationText);
  if (Message.m_ServersPosition > m_Follower.position(Stream::Servers).value_or(0)) {
    std::vector<bool> Ignored;
    Changed =
        applyRecords(
            Stream::Servers,
            {.m_To = Message.m_ServersPosition, .m_Records = Message.m_Servers, .m_IsWhole = true},
            Ignored, Now) ||
        Changed;
    m_Follower.jumpTo(Stream::Servers, Message.m_ServersPosition);
  }
  observe::log(LogLevel::Info, "snapshot_taken",
               {{"from", std::string(Ip)}, {"version", std::to_string(m_Catalog.version())}});
  if (Changed) {
    publishSettings();
  }
}

/// Whether the fleet size differs by more than a fifth of the larger size from the one for which
/// the budget shares were computed.
bool FleetClient::hasFleetSizeChanged() const {
  const std::size_t Present = m_Peers.fleetSize();
  constexpr std::size_t Tolerance = 5;
  const std::size_t Larger = std::max(Present, m_SettingsFleetSize);
  const std::size_t Smaller = std::min(Present, m_SettingsFleetSize);
  return (Larger - Smaller) * Tolerance > Larger;
}

void FleetClient::sendDueHellos() {
  const auto Due = m_Peers.dueHellos(SystemClock().now());
  for (const std::string &Ip : Due) {
    send(Ip, fleet::Hello{.m_AsksForPeers = m_Peers.isAlone()});
  }
}

void FleetClient::tellServerFailed(ServerId Server) {
  if (mayAnnounceFailure(Server, SystemClock().now())) {
    sendToAll(std::array{fleet::encodeNews(fleet::ServerFailed{.m_Server = Server})});
  }
}

bool FleetClient::mayAnnounceFailure(ServerId Server, TimePoint Now) {
  if (m_FailureAnnouncedAt.size() >= MaxAnnouncedFailures) {
    m_FailureAnnouncedAt.clear();
  }
  const auto [Known, IsNew] = m_FailureAnnouncedAt.try_emplace(Server, Now);
  if (!IsNew && Now - Known->second < MinAnnounceInterval) {
    return false;
  }
  Known->second = Now;
  return true;
}

void FleetClient::sendToAll(std::span<const std::string> Datagrams) {
  for (const std::string &Ip : m_Peers.all()) {
    for (const std::string &Datagram : Datagrams) {
      m_DatagramSocket->send(Ip, Datagram);
    }
  }
}

void FleetClient::send(const std::string &Ip, const fleet::News &Message) {
  m_DatagramSocket->send(Ip, fleet::encodeNews(Message));
}

} // namespace vanillahill::net
