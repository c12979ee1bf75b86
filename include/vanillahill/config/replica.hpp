/// \file
/// One VM's copy of the configuration: what is in force, when to append a checkpoint, and whom to
/// ask when other VMs are ahead. No input or output: it is given reads and messages and returns
/// actions.
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
  /// Whose overlay is in force here.
  std::string m_Site;
  /// Must differ between VMs, so that they do not all append at one moment.
  std::uint64_t m_Seed = 0;
  std::span<const std::string_view> m_Policies = settings::defaultPolicyNames();
};

/// Counters; they only grow.
struct ReplicaCounters {
  std::uint64_t m_Won = 0;
  std::uint64_t m_LostRace = 0;
  std::uint64_t m_Invalid = 0;
  std::uint64_t m_Repeat = 0;
  std::uint64_t m_Malformed = 0;
  /// Checkpoints asked to be appended.
  std::uint64_t m_CheckpointsAppended = 0;
  /// Checkpoints in the log that differ from what was replayed here.
  std::uint64_t m_CheckpointMismatches = 0;
  /// States taken from peers.
  std::uint64_t m_StatesAdopted = 0;
  std::uint64_t m_PullsSent = 0;
};

/// Changes that win after a checkpoint before the next one is due.
inline constexpr std::uint32_t ChangesPerCheckpoint = 64;

/// The configuration on one VM. Not thread safe.
class Replica {
public:
  explicit Replica(ReplicaOptions Options);

  /// \brief Takes the next read of the log, also an empty one.
  /// \param Out may receive SettingsChanged
  void onLogRead(const kernel::LogRead &Read, TimePoint Now, kernel::Actions &Out);

  /// \brief Takes the records of a peer's ConfigPush: checkpoints of what it replayed.
  void onPeerRecords(std::span<const std::string> Records, TimePoint Now, kernel::Actions &Out);

  /// \brief Compares a peer's versions (of its heartbeat) with the own ones.
  /// \param Out receives a ConfigPull to that peer when it has been ahead for PullGrace, or at once
  /// when nothing is in force here
  void onPeerVersions(VmId From, std::span<const peer::FileVersion> Versions, TimePoint Now,
                      kernel::Actions &Out);

  /// \brief Answers a peer's ConfigPull. \param Out receives a ConfigPush
  void onPull(VmId From, kernel::Actions &Out) const;

  /// \brief Appends a checkpoint when one is due. \param Out may receive AppendLog
  void tick(TimePoint Now, kernel::Actions &Out);

  /// \brief When tick has something to do. \return TimePoint::max() when nothing waits
  TimePoint nextTimer() const { return m_CheckpointDue; }

  /// \brief The state as records that a peer may adopt; empty when nothing is in force.
  std::vector<std::string> recordsInForce() const;

  /// \brief Version in force of each file, sorted by file.
  std::vector<peer::FileVersion> versions() const;

  /// \brief The settings in force. \return null before the first
  std::shared_ptr<const SiteSettings> settings() const { return m_Settings; }

  const ReplicaCounters &counters() const { return m_Counters; }

  /// \brief Every record of the log before this offset was replayed.
  std::uint64_t position() const { return m_Log.position(); }

  /// \brief Whether records aged out before this VM read them and nothing has bridged them yet.
  bool hasGap() const { return m_Log.hasGap(); }

  /// \brief How long a peer may be ahead before it is asked; the log is usually faster.
  static constexpr Duration PullGrace = std::chrono::milliseconds(500);

private:
  /// The log ended at an offset at a time: what stands behind it was appended later.
  struct HeadMark {
    TimePoint m_Time;
    std::uint64_t m_Head = 0;
  };

  void count(const std::vector<RecordOutcome> &Outcomes);
  void refresh(TimePoint Now, kernel::Actions &Out);
  void takeSettings(kernel::Actions &Out);
  /// At first, and when a new retention makes the time set too late.
  void scheduleCheckpoint(TimePoint Now);
  void scheduleAfterChanges(TimePoint Now);
  void onCheckpoint(const CheckpointSeen &Seen);
  void markHead(const kernel::LogRead &Read, TimePoint Now);
  bool isBehind(std::span<const peer::FileVersion> Versions) const;
  Duration retention() const;
  /// Between From and To, more often near To.
  Duration randomDelay(Duration From, Duration To);

  ReplicaOptions m_Options;
  LogFollower m_Log;
  std::mt19937_64 m_Random;
  std::shared_ptr<const SiteSettings> m_Settings;
  std::uint64_t m_BaseVersion = 0;
  std::uint64_t m_OverlayVersion = 0;
  TimePoint m_CheckpointDue = TimePoint::max();
  std::uint32_t m_ChangesSinceCheckpoint = 0;
  std::deque<HeadMark> m_HeadMarks;
  TimePoint m_BehindSince = TimePoint::max();
  TimePoint m_NextPull = TimePoint::min();
  ReplicaCounters m_Counters;
};

} // namespace vanillahill::config
