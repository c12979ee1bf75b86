/// \file
/// Follows the log from any offset. Invariant: the state always equals the replay of the log prefix
/// [0, position()), and position() never decreases. Replay never lowers a version, so the state
/// never returns to an older version.
#pragma once

#include "vanillahill/config/replay.hpp"
#include "vanillahill/kernel/events.hpp"

#include <deque>
#include <vector>

namespace vanillahill::config {

/// One change read from the log, with the outcome of its replay.
struct RecordOutcome {
  std::uint64_t m_Offset = 0;
  Change m_Change;
  Outcome m_Outcome;
  /// For LostRace: the change in force when the record was replayed.
  Change m_Winner;
};

/// A checkpoint read from the log.
struct ObservedCheckpoint {
  std::uint64_t m_AsOf = 0;
  /// Its content differs from the replay by this follower.
  bool m_Mismatch = false;
};

/// The results of one read of the log.
struct ReadResult {
  std::vector<RecordOutcome> m_Changes;
  std::vector<ObservedCheckpoint> m_Checkpoints;
  std::uint32_t m_Malformed = 0;
};

/// Replays the log from any offset. Not thread safe.
///
/// Records that aged out before they were read leave a gap. The state then stays unchanged, and
/// changes after the gap are buffered until a checkpoint that includes the whole gap is read from
/// the log or received from a peer. The checkpoint replaces the records in the gap; the buffered
/// changes that it does not include are replayed on top of it.
class LogFollower {
public:
  explicit LogFollower(std::span<const std::string_view> Policies = settings::defaultPolicyNames())
      : m_Replay(Policies) {}

  /// \brief Processes the next read of the log.
  ReadResult onLogRead(const kernel::LogRead &Read);

  /// \brief Replaces the state by a checkpoint from a peer or from the log.
  /// \return the outcomes of the buffered changes that could now be replayed
  /// \note A checkpoint is ignored unless it includes more of the log than this follower has
  /// replayed. It is also ignored when a file is missing in it or older than here, which never
  /// happens in a correct checkpoint.
  std::vector<RecordOutcome> adoptCheckpoint(const Checkpoint &State);

  /// \brief Every record before this offset is included in the state.
  std::uint64_t position() const { return m_Position; }
  /// \brief Whether records aged out unread and no checkpoint has replaced them yet.
  bool hasGap() const { return m_Gap; }
  const Replay &state() const { return m_Replay; }
  Checkpoint checkpoint() const { return m_Replay.checkpoint(m_Position); }

private:
  struct BufferedChange {
    std::uint64_t m_Offset = 0;
    Change m_Change;
  };

  /// Limit of the bytes buffered after a gap; beyond it the oldest changes are dropped.
  static constexpr std::size_t MaxBufferedBytes = 8U << 20U;

  static std::size_t bytesOf(const BufferedChange &Each) {
    return sizeof(BufferedChange) + Each.m_Change.m_Content.size();
  }

  void detectGap(std::uint64_t First);
  void processRecord(std::uint64_t Offset, const Record &Next, ReadResult &Result);
  void processCheckpoint(std::uint64_t Offset, const Checkpoint &State, ReadResult &Result);
  void bufferChange(std::uint64_t Offset, const Change &Next);
  void applyChange(std::uint64_t Offset, const Change &Next, std::vector<RecordOutcome> &Outcomes);
  bool differsFromReplay(const Checkpoint &State) const;
  bool isOlderThanReplay(const Checkpoint &State) const;
  std::uint64_t readEnd() const { return m_Gap ? m_BufferEnd : m_Position; }

  Replay m_Replay;
  std::uint64_t m_Position = 0;
  /// Offset after the last change that won; 0 before any.
  std::uint64_t m_LastWonEnd = 0;
  bool m_Gap = false;
  /// While there is a gap, every change in [m_BufferBegin, m_BufferEnd) is buffered.
  std::uint64_t m_BufferBegin = 0;
  std::uint64_t m_BufferEnd = 0;
  std::size_t m_BufferedBytes = 0;
  std::deque<BufferedChange> m_Buffered;
};

} // namespace vanillahill::config
