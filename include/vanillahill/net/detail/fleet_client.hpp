/// \file
/// Keeps this VM's catalog current: the VMs take turns in reading the store and announce what they
/// read to each other.
#pragma once

#include "vanillahill/fleet/catalog.hpp"
#include "vanillahill/fleet/configuration_proof.hpp"
#include "vanillahill/fleet/divided_size.hpp"
#include "vanillahill/fleet/failure_throttle.hpp"
#include "vanillahill/fleet/follower.hpp"
#include "vanillahill/fleet/lapse_watch.hpp"
#include "vanillahill/fleet/majority_guard.hpp"
#include "vanillahill/fleet/news.hpp"
#include "vanillahill/fleet/peers.hpp"
#include "vanillahill/fleet/snapshot_fetcher.hpp"
#include "vanillahill/kernel/events.hpp"
#include "vanillahill/net/detail/fleet_runtime.hpp"

#include <optional>
#include <random>
#include <span>

namespace vanillahill::net {

/// Result of a read of the store.
struct StoreRead {
  /// Position at which the next read starts.
  fleet::Position m_To;
  std::vector<fleet::Record> m_Records;
  /// The records are a full snapshot: the newest record of every key.
  bool m_IsWhole = false;
  /// The records are the difference from what was known in an earlier era.
  bool m_IsNewEra = false;
  /// Time from the begin of the read to the first byte of its answer.
  Duration m_AnsweredAfter{};
};

/// How records reached this VM, for logs.
struct RecordSource {
  /// "read", "listing", "announcement" or "snapshot".
  std::string_view m_Way;
  /// IP of the VM that sent them; "store" for a read.
  std::string_view m_From;
  /// When the read or the fetch began, or the announcement arrived.
  TimePoint m_BeganAt{};
};

/// Why a read of the store failed.
struct StoreFailure {
  Error m_Error;
  /// The store no longer has the records from the requested position on.
  bool m_IsPositionLost = false;
  /// Era that the store told with its last answer; 0 when it has told none.
  std::uint64_t m_Era = 0;
};

using StoreResult = boost::system::result<StoreRead, StoreFailure>;
using StoreReadDone = std::function<void(StoreResult)>;
/// Called with the end of the stream, the length of the answer in bytes, and
/// StoreRead::m_AnsweredAfter.
using StoreReadBegun =
    std::function<void(const fleet::Position &To, std::uint64_t Bytes, Duration AnsweredAfter)>;

/// The store as a fleet client uses it: how it is read, and how its records are decoded.
struct StoreAccess {
  /// Reads a stream from a position, or the newest record of every key without one. The store may
  /// hold the read for a time while it has no record from the position on.
  /// OnBegun is called when the answer begins with the end of the stream, long before its last
  /// byte.
  std::function<void(fleet::Stream, std::optional<std::uint64_t> From, Duration HoldTime,
                     StoreReadBegun OnBegun, StoreReadDone)>
      m_Read;
  Result<fleet::Configuration> (*m_DecodeConfiguration)(std::string_view Text) = nullptr;
  Result<fleet::ServerEntry> (*m_DecodeServer)(std::string_view Id,
                                               std::string_view Text) = nullptr;
  /// Key of the configuration.
  std::string m_ConfigurationKey;
  /// Whether a key of the stream of configurations is that of an evacuation; null when the
  /// deployment has none. Keys that are neither are ignored.
  bool (*m_IsEvacuationKey)(std::string_view Key) = nullptr;
  /// Decodes the record of an evacuation into the name of the data centre.
  Result<std::string> (*m_DecodeEvacuation)(std::string_view Key,
                                            std::optional<std::string_view> Value) = nullptr;
  /// The key under which a data centre is evacuated.
  std::string (*m_EvacuationKey)(std::string_view DataCenter) = nullptr;
};

/// Receives the snapshot of another VM, as FleetClient::snapshotFrame() made it there.
using SnapshotDone = std::function<void(Result<std::string>)>;

struct FleetClientOptions {
  fleet::CatalogOptions m_Catalog;
  fleet::FollowerOptions m_Follower;
  fleet::PeersOptions m_Peers;
  /// How long a key may work after it was taken away; see ConfigurationProof.
  Duration m_RevokeBound{};
  /// Whether this VM counts requests of tenants for others; see m_OnCountingVms.
  bool m_CountsTenants = false;
  /// Called when the VMs have changed that can count requests of tenants.
  std::function<void(kernel::CountingVmsChanged)> m_OnCountingVms;
  /// Called with a message about requests of a tenant from another VM.
  std::function<void(kernel::Event)> m_OnTenantMessage;
  /// Called with a message about tokens that VMs move between them.
  std::function<void(kernel::Event)> m_OnTokenMessage;
  /// The data centres that may be evacuated; empty when the deployment has no evacuations.
  std::vector<std::string> m_DataCenters;
  /// Called when the settings changed.
  std::function<void(std::shared_ptr<const SiteSettings>)> m_OnSettings;
  /// Called when another VM announced the failure of a backend server.
  std::function<void(ServerId)> m_OnServerFailed;
  /// Called when another VM announced the limit of a backend server.
  std::function<void(const kernel::ServerLimitReceived &)> m_OnServerLimit;
  /// Called when another VM announced that a backend server is cold or warm.
  std::function<void(const kernel::ServerColdReceived &)> m_OnServerCold;
  /// Called when another VM announced servers that crashed under a request.
  std::function<void(const CrashReport &)> m_OnCrashReport;
  /// Called when other VMs may take requests for this one than before.
  std::function<void(std::vector<std::string> LocalIps, std::vector<std::string> RemoteIps)>
      m_OnHelpersChanged;
  /// Called when another VM announced whether it reaches the servers.
  std::function<void(std::string_view Ip, bool IsCutOff)> m_OnReachAnnounced;
  /// Called when VMs have joined the fleet or left it.
  std::function<void(kernel::FleetView)> m_OnFleetChanged;
  /// Fetches the snapshot of the VM with the given IP.
  std::function<void(const std::string &Ip, const fleet::SnapshotRequest &Wanted,
                     SnapshotDone Done)>
      m_FetchSnapshot;
};

/// Used from one thread.
class FleetClient : public std::enable_shared_from_this<FleetClient> {
public:
  FleetClient(FleetRuntime Runtime, StoreAccess Store, FleetClientOptions Options);

  void start();
  void close();

  /// \brief Applies changed options: budgets, the bound of the follower, the seeds.
  void reconfigure(fleet::CatalogOptions Catalog, Duration Bound, std::vector<std::string> SeedIps,
                   Duration RevokeBound = {});

  /// \brief Announces to the local VMs that a backend server failed for this VM.
  void tellServerFailed(ServerId Server);

  /// \brief Announces to all other VMs the limit that a backend server named.
  void announceServerLimit(const kernel::AnnounceServerLimit &Named);

  /// \brief Announces to all other VMs that a backend server is cold or warm.
  void announceServerCold(const kernel::AnnounceServerCold &Stated);

  /// \brief Sends a message to one VM.
  void sendTo(const std::string &Ip, const fleet::News &Message);

  /// \brief Announces to all other VMs whether this one reaches the servers.
  void announceReach(bool IsCutOff);

  /// \brief Announces to all other VMs the servers that crashed under a request.
  void announceCrashReport(const CrashReport &Report);

  /// \brief The contents of the store as this VM knows them, for another VM.
  /// \return a frame with a fleet::Snapshot, empty when this VM does not know the wanted records
  std::string snapshotFrame(const fleet::SnapshotRequest &Wanted);

  /// \brief Whether there is a configuration and a server, and the evacuations are known.
  bool isUsable() const {
    return m_Catalog.isUsable() &&
           (!hasEvacuations() || m_Follower.knownTo(fleet::Stream::Configuration));
  }

  /// \brief Whether callers' keys may be judged by the configuration in force.
  bool mayJudgeKeys();

  /// \brief Time since the configuration was last known to be current; nothing when that is not
  /// known. Where callers' keys depend on it, the time for which that is proved.
  std::optional<Duration> configurationAge() const;

  /// \brief Version of the configuration in force; 0 for none.
  std::uint64_t version() const { return m_Catalog.version(); }

  std::size_t fleetSize() const { return m_Peers.fleetSize(); }
  std::size_t serverCount() const { return m_Catalog.serverCount(); }
  bool knows(std::string_view ServerId) const { return m_Catalog.has(ServerId); }

private:
  void runDueTasks();
  void observePauses(TimePoint Now);
  Duration ageToState(fleet::Stream Which, TimePoint CurrentAt, bool IsStatedAge,
                      TimePoint Now) const;
  void logLateRead(fleet::Stream Which, TimePoint Now);
  void startTimer();
  void decideFirstReads(TimePoint Now);
  void onRead(fleet::Stream Which, const std::optional<fleet::Position> &From, TimePoint AskedAt,
              StoreResult Result);
  void onReadFailed(fleet::Stream Which, const StoreFailure &Failed, TimePoint Now);
  void noteEra(TimePoint Now);
  void logOutdated(std::string_view Source, std::uint64_t Era);
  void recordCatalogCurrent(std::optional<TimePoint> Previous, TimePoint Now);
  bool applyRecords(fleet::Stream Which, const StoreRead &Read, const RecordSource &Source,
                    std::vector<bool> &ShouldAnnounce, TimePoint Now);
  bool applyOperatorRecords(const StoreRead &Read, const RecordSource &Source,
                            std::vector<bool> &ShouldAnnounce, TimePoint Now);
  bool applyNewestConfiguration(std::span<const fleet::Record> Records, const RecordSource &Source,
                                std::vector<bool> &ShouldAnnounce);
  bool hasEvacuations() const;
  bool applyEvacuation(const fleet::Record &Entry, bool IsNewEra, TimePoint Now);
  bool adoptEvacuated(const std::vector<std::string> &Evacuated, bool IsNewEra, TimePoint Now);
  bool mayLackEvacuations(const fleet::StoreNews &Message) const;
  void addUnlistedEvacuations(std::vector<fleet::Record> &Listing) const;
  void logEvacuation(std::string_view DataCenter, bool HasBegun, TimePoint Now) const;
  std::optional<bool> applyConfiguration(const std::string &Text, const RecordSource &Source);
  void noticeConfiguration(std::string_view Ip, const fleet::StoreNews &Message, TimePoint Now);
  bool applyServer(const fleet::Record &Entry, fleet::Removal Removed, bool IsLogged,
                   TimePoint Now);
  void announce(fleet::StoreNews Announcement, TimePoint AskedAt, TimePoint Now);
  void publishSettings();

  void onDatagram(std::string_view Ip, std::string_view Datagram);
  void handleMessage(std::string_view Ip, const fleet::Hello &Message, TimePoint Now);
  void handleMessage(std::string_view Ip, const fleet::PeerList &Message, TimePoint Now);
  void handleMessage(std::string_view Ip, const fleet::StoreNews &Message, TimePoint Now);
  void handleMessage(std::string_view Ip, const fleet::ServerFailed &Message, TimePoint Now);
  void handleMessage(std::string_view Ip, const fleet::ServerLimited &Message, TimePoint Now);
  void handleMessage(std::string_view Ip, const fleet::VmReach &Message, TimePoint Now);
  void handleMessage(std::string_view Ip, const fleet::RequestCrashes &Message, TimePoint Now);
  void handleMessage(std::string_view Ip, const fleet::ServerCold &Message, TimePoint Now);
  void handleMessage(std::string_view Ip, const TenantQuery &Message, TimePoint Now);
  void handleMessage(std::string_view Ip, const TenantVerdict &Message, TimePoint Now);
  void handleMessage(std::string_view Ip, const TenantReturn &Message, TimePoint Now);
  void handleMessage(std::string_view Ip, const TokenRequest &Message, TimePoint Now);
  void handleMessage(std::string_view Ip, const TokenGrant &Message, TimePoint Now);
  void handleMessage(std::string_view Ip, const fleet::Piece &Message, TimePoint Now);
  void handleMessage(std::string_view Ip, const fleet::Snapshot &Message, TimePoint Now);
  void relay(fleet::StoreNews Message, TimePoint AskedAt, TimePoint Now);

  void onNotice(std::string_view Ip, const fleet::StoreNews &Message, bool IsMissing,
                TimePoint Now);
  void onReadBegun(const fleet::RecordRange &Begun, std::uint64_t Bytes, Duration AnsweredAfter);
  void giveNotice(const fleet::Position &To, TimePoint AskedAt, Duration HeldFor);
  void passHolder(std::string_view HolderIp, const fleet::StoreNews &Message);
  bool isFirstInDataCenter() const;
  bool readsForOthers() const;
  bool needsSnapshot() const;
  bool isKnown(const fleet::SnapshotRequest &Wanted) const;
  void noteMissing(std::string_view Ip, const fleet::StoreNews &Message, TimePoint Now);
  void offer(fleet::Stream Which, TimePoint Now);
  void relayPending(TimePoint Now);
  void fetchSnapshot(TimePoint Now);
  void onSnapshot(const std::string &Ip, TimePoint AskedAt, const Result<std::string> &Frame);
  void logSnapshot(const std::string &Ip, const fleet::Snapshot &Received, std::size_t FrameBytes,
                   TimePoint AskedAt, TimePoint Now) const;
  void adoptSnapshot(const std::string &Ip, const fleet::Snapshot &Received, TimePoint AskedAt,
                     TimePoint Now);

  fleet::VmInfo selfInfo() const;
  void logFleetSize();
  void publishFleet();
  void publishHelpers();
  void publishCountingVms();
  void sendDueHellos();
  void sendHello(const std::string &Ip, bool AsksForPeers);
  void send(std::span<const std::string> Ips, const fleet::News &Message);
  template <typename Message> void sendToAll(Message Sent);
  template <typename Message> void passOnIfRelay(const Message &Received);

  StoreAccess m_Store;
  FleetRuntime m_Runtime;
  FleetClientOptions m_Options;
  /// When the next due task is run.
  TimePoint m_TimerAt = TimePoint::max();
  fleet::Catalog m_Catalog;
  fleet::Follower m_Follower;
  fleet::ConfigurationProof m_Proof;
  /// Since when keyed requests are held back for want of a proof.
  std::optional<TimePoint> m_UnprovenSince;
  fleet::LapseWatch m_Lapse;
  /// Era of the store that was last logged.
  std::uint64_t m_Era = 0;
  fleet::Peers m_Peers;
  fleet::PieceCollector m_Pieces;
  fleet::SnapshotFetcher m_Fetcher;
  /// Up to where records of the configuration were noticed to others of this data centre.
  fleet::Position m_NoticedTo;
  /// The texts of the configuration in force and of the newest record of each server, as read from
  /// the store, for the snapshots that other VMs fetch.
  std::string m_ConfigurationText;
  std::map<std::string, std::string, std::less<>> m_ServerTexts;
  /// Number of the last message that was packed for sending, which may be split into pieces.
  std::uint64_t m_LastSplitMessage = 0;
  std::mt19937_64 m_Random;
  /// Last frame that snapshotFrame() made, up to which positions, and when.
  std::string m_SnapshotFrame;
  fleet::SnapshotRequest m_SnapshotPositions;
  TimePoint m_SnapshotMadeAt{};
  /// An announcement to be relayed once its records were fetched, with the time of its read.
  std::optional<std::pair<fleet::StoreNews, TimePoint>> m_PendingRelay;
  TimePoint m_StartedAt{};
  /// When it is decided whether this VM reads the store at its start; nothing afterwards.
  std::optional<TimePoint> m_DecideFirstReadsAt;
  /// Fleet size for which the settings in force were computed.
  std::size_t m_SettingsFleetSize = 1;
  fleet::DividedSize m_DividedSize;
  fleet::MajorityGuard m_MajorityGuard;
  /// Peers::changes() when the fleet was last published.
  std::uint64_t m_PublishedFleet = 0;
  /// Peers::capabilityChanges() when the counting VMs were last published.
  std::optional<std::uint64_t> m_PublishedCapabilities;
  /// VMs that were last passed to FleetClientOptions::m_OnHelpersChanged.
  std::vector<std::string> m_LocalHelpers;
  std::vector<std::string> m_RemoteHelpers;
  /// A configuration that another VM announced and this one lacks.
  struct NoticedConfiguration {
    TimePoint m_At{};
    std::string m_FromIp;
  };
  /// The first one since the configuration in force was taken.
  std::optional<NoticedConfiguration> m_Noticed;
  /// Version in the last log line about published settings.
  std::uint64_t m_LoggedVersion = 0;
  /// Fleet size in the last log line about it.
  std::size_t m_LoggedFleetSize = 1;
  fleet::FailureThrottle m_FailureThrottle;
  /// Keys of evacuations that were refused; each is logged once.
  std::set<std::string, std::less<>> m_RefusedEvacuations;
  bool m_Closed = false;
};

} // namespace vanillahill::net
