/// \file
/// One VM's copy of the configuration. Decides which settings are in force, when to append a
/// checkpoint, and which peer to pull from when other VMs are ahead. Performs no I/O: it receives
/// log reads and messages and returns actions.
#pragma once

#include "vanillahill/config/log_follower.hpp"
#include "vanillahill/kernel/events.hpp"

#include <deque>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace vanillahill::config {

struct ReplicaOptions {
  /// Site whose overlay is in force on this VM.
  std::string m_Site;
  /// Seeds the random delays. Must differ between VMs, so that they do not all append at once.
  std::uint64_t m_Seed = 0;
  std::span<const std::string_view> m_Policies = settings::defaultPolicyNames();
};

/// Counters; they never decrease.
struct ReplicaCounters {
  std::uint64_t m_Won = 0;
  std::uint64_t m_LostRace = 0;
  std::uint64_t m_Invalid = 0;
  std::uint64_t m_Repeat = 0;
  std::uint64_t m_Malformed = 0;
  /// Checkpoints that tick() returned for appending.
  std::uint64_t m_CheckpointsAppended = 0;
  /// Checkpoints in the log that differ from the replay here.
  std::uint64_t m_CheckpointMismatches = 0;
  /// Checkpoints adopted from peers.
  std::uint64_t m_StatesAdopted = 0;
  std::uint64_t m_PullsSent = 0;
};

/// Number of won changes after a checkpoint that makes the next one due.
inline constexpr std::uint32_t ChangesPerCheckpoint = 64;

/// The configuration on one VM. Not thread safe.
class Replica {
public:
  explicit Replica(ReplicaOptions Options);

  /// \brief Processes the next read of the log, which may be empty.
  /// \param Out may receive SettingsChanged
  void onLogRead(const kernel::LogRead &Read, TimePoint Now, kernel::Actions &Out);

  /// \brief Processes the records of a peer's ConfigPush, which are checkpoints of its replay.
  void onPeerRecords(std::span<const std::string> Records, TimePoint Now, kernel::Actions &Out);

  /// \brief Compares the versions in a peer's heartbeat with those on this VM.
  /// \param Out receives a ConfigPull to that peer when this VM has been behind for
  /// PullGracePeriod, or at once when nothing is in force here
  void onPeerVersions(VmId From, std::span<const peer::FileVersion> Versions, TimePoint Now,
                      kernel::Actions &Out);

  /// \brief Answers a peer's ConfigPull. \param Out receives a ConfigPush
  void onPull(VmId From, kernel::Actions &Out) const;

  /// \brief Appends a checkpoint when one is due. \param Out may receive AppendLog
  void tick(TimePoint Now, kernel::Actions &Out);

  /// \brief Time at which tick() is next due. \return TimePoint::max() when it is not needed
  TimePoint nextTimer() const { return m_CheckpointDue; }

  /// \brief The state as records that a peer may adopt; empty when nothing is in force.
  std::vector<std::string> recordsInForce() const;

  /// \brief Version in force of each file, sorted by file.
  std::vector<peer::FileVersion> versions() const;

  /// \brief The settings in force. \return null before the first
  std::shared_ptr<const SiteSettings> settings() const { return m_Settings; }

  const ReplicaCounters &counters() const { return m_Counters; }

  /// \brief Every record of the log before this offset is included in the state.
  std::uint64_t position() const { return m_Follower.position(); }

  /// \brief Whether records aged out before this VM read them and no checkpoint has replaced them.
  bool hasGap() const { return m_Follower.hasGap(); }

  /// \brief How long this VM may be behind its peers before it pulls; the log is usually faster.
  static constexpr Duration PullGracePeriod = std::chrono::milliseconds(500);

private:
  /// The end of the log at a point in time; records from m_End on were appended later.
  struct LogEndSample {
    TimePoint m_Time;
    std::uint64_t m_End = 0;
  };

  void countOutcomes(const std::vector<RecordOutcome> &Outcomes);
  void updateSettingsAndTimer(TimePoint Now, kernel::Actions &Out);
  void updateSettings(kernel::Actions &Out);
  /// Sets the first due time, and a new one when a shorter retention makes the old one too late.
  void scheduleCheckpoint(TimePoint Now);
  void scheduleAfterChanges(TimePoint Now);
  void onCheckpoint(const ObservedCheckpoint &Seen);
  void sampleLogEnd(const kernel::LogRead &Read, TimePoint Now);
  bool isBehind(std::span<const peer::FileVersion> Versions) const;
  Duration retention() const;
  /// A delay between From and To, more often near To.
  Duration randomDelay(Duration From, Duration To);

  ReplicaOptions m_Options;
  LogFollower m_Follower;
  std::mt19937_64 m_Random;
  std::shared_ptr<const SiteSettings> m_Settings;
  std::uint64_t m_BaseVersion = 0;
  std::uint64_t m_OverlayVersion = 0;
  TimePoint m_CheckpointDue = TimePoint::max();
  std::uint32_t m_ChangesSinceCheckpoint = 0;
  std::deque<LogEndSample> m_LogEndSamples;
  TimePoint m_BehindSince = TimePoint::max();
  TimePoint m_NextPull = TimePoint::min();
  ReplicaCounters m_Counters;
};

} // namespace vanillahill::config
