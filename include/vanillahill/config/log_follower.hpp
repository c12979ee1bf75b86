/// \file
/// Follows the log from any point on. Invariant: the state is always the replay of a whole prefix
/// of the log, [0, position()), and position() never decreases. Versions never decrease in a
/// replay, so the state never goes back to an older version.
#pragma once

#include "vanillahill/config/replay.hpp"
#include "vanillahill/kernel/events.hpp"

#include <deque>
#include <vector>

namespace vanillahill::config {

/// One record that was read, with what became of it.
struct RecordOutcome {
  std::uint64_t m_Offset = 0;
  Change m_Change;
  Outcome m_Outcome;
  /// For LostRace: the change in force when the record was replayed.
  Change m_Winner;
};

/// A checkpoint that was read from the log.
struct CheckpointSeen {
  std::uint64_t m_AsOf = 0;
  /// Its content differs from what this follower replayed.
  bool m_Mismatch = false;
};

/// What one read brought.
struct ReadResult {
  std::vector<RecordOutcome> m_Changes;
  std::vector<CheckpointSeen> m_Checkpoints;
  std::uint32_t m_Malformed = 0;
};

/// Replays the log, also from its middle. Not thread safe.
///
/// Records that aged out before they were read leave a gap: the state then stays as it is, and the
/// records behind the gap are held until a checkpoint as of an offset behind the gap is found in
/// the log or comes from a peer. It stands for the records in the gap; the held ones are replayed
/// upon it.
class LogFollower {
public:
  explicit LogFollower(std::span<const std::string_view> Policies = settings::defaultPolicyNames())
      : m_Replay(Policies) {}

  /// \brief Takes the next read of the log.
  ReadResult read(const kernel::LogRead &Read);

  /// \brief Takes the state of a peer.
  /// \return the outcomes of held records that could now be replayed
  /// \note Ignored unless it includes more of the log than this follower has replayed, and when any
  /// file in it is older than here, which no true checkpoint is.
  std::vector<RecordOutcome> adopt(const Checkpoint &State);

  /// \brief Every record before this offset was replayed.
  std::uint64_t position() const { return m_Position; }
  /// \brief Whether records aged out unread and no checkpoint has bridged them yet.
  bool hasGap() const { return m_Gap; }
  const Replay &state() const { return m_Replay; }
  Checkpoint checkpoint() const { return m_Replay.checkpoint(m_Position); }

private:
  struct Held {
    std::uint64_t m_Offset = 0;
    Change m_Change;
  };

  /// Bytes held behind a gap.
  static constexpr std::size_t MaxHeldBytes = 8U << 20U;

  static std::size_t bytesOf(const Held &Each) {
    return sizeof(Held) + Each.m_Change.m_Content.size();
  }

  void noticeGap(std::uint64_t First);
  void take(std::uint64_t Offset, const Record &Next, ReadResult &Result);
  void takeCheckpoint(std::uint64_t Offset, const Checkpoint &State, ReadResult &Result);
  void hold(std::uint64_t Offset, const Change &Next);
  void apply(std::uint64_t Offset, const Change &Next, std::vector<RecordOutcome> &Outcomes);
  bool differs(const Checkpoint &State) const;
  bool isOlder(const Checkpoint &State) const;
  std::uint64_t readEnd() const { return m_Gap ? m_HeldEnd : m_Position; }

  Replay m_Replay;
  std::uint64_t m_Position = 0;
  /// Offset after the last change that won; 0 before any.
  std::uint64_t m_LastWon = 0;
  bool m_Gap = false;
  /// While there is a gap, every change in [m_HeldFrom, m_HeldEnd) is held.
  std::uint64_t m_HeldFrom = 0;
  std::uint64_t m_HeldEnd = 0;
  std::size_t m_HeldBytes = 0;
  std::deque<Held> m_Held;
};

} // namespace vanillahill::config
