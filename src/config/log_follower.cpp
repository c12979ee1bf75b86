#include "vanillahill/config/log_follower.hpp"

#include <algorithm>

namespace vanillahill::config {

ReadResult LogFollower::onLogRead(const kernel::LogRead &Read) {
  ReadResult Result;
  detectGap(Read.m_First);
  for (const kernel::LogRecord &Each : Read.m_Records) {
    if (Each.m_Offset < readEnd()) {
      continue;
    }
    const vanillahill::Result<Record> Next = decode(Each.m_Data);
    if (!Next) {
      ++Result.m_Malformed;
      continue;
    }
    processRecord(Each.m_Offset, *Next, Result);
  }
  std::uint64_t &End = m_Gap ? m_BufferEnd : m_Position;
  End = std::max(End, Read.m_Next);
  return Result;
}

void LogFollower::detectGap(std::uint64_t First) {
  if (First <= readEnd()) {
    return;
  }
  m_Gap = true;
  m_Buffered.clear();
  m_BufferedBytes = 0;
  m_BufferBegin = First;
  m_BufferEnd = First;
}

void LogFollower::processRecord(std::uint64_t Offset, const Record &Next, ReadResult &Result) {
  if (const auto *State = std::get_if<Checkpoint>(&Next)) {
    processCheckpoint(Offset, *State, Result);
    return;
  }
  const Change &Written = std::get<Change>(Next);
  if (m_Gap) {
    bufferChange(Offset, Written);
    m_BufferEnd = Offset + 1;
    return;
  }
  applyChange(Offset, Written, Result.m_Changes);
  m_Position = Offset + 1;
}

void LogFollower::processCheckpoint(std::uint64_t Offset, const Checkpoint &State,
                                    ReadResult &Result) {
  if (State.m_AsOf > Offset) {
    ++Result.m_Malformed;
    return;
  }
  if (m_Gap) {
    m_BufferEnd = Offset + 1;
    const std::vector<RecordOutcome> Replayed = adoptCheckpoint(State);
    Result.m_Changes.insert(Result.m_Changes.end(), Replayed.begin(), Replayed.end());
  } else {
    m_Position = Offset + 1;
  }
  Result.m_Checkpoints.push_back({.m_AsOf = State.m_AsOf, .m_Mismatch = differsFromReplay(State)});
}

bool LogFollower::differsFromReplay(const Checkpoint &State) const {
  const bool Comparable = !m_Gap && m_LastWonEnd <= State.m_AsOf;
  return Comparable && State.m_Files != m_Replay.checkpoint(State.m_AsOf).m_Files;
}

bool LogFollower::isOlderThanReplay(const Checkpoint &State) const {
  Replay Theirs(m_Replay);
  Theirs.restore(State);
  const auto &Ours = m_Replay.files();
  return std::any_of(Ours.begin(), Ours.end(), [&](const auto &Entry) {
    return Theirs.versionOf(Entry.first) < Entry.second.m_Change.m_Version;
  });
}

std::vector<RecordOutcome> LogFollower::adoptCheckpoint(const Checkpoint &State) {
  std::vector<RecordOutcome> Outcomes;
  if (State.m_AsOf <= m_Position || isOlderThanReplay(State)) {
    return Outcomes;
  }
  m_Replay.restore(State);
  m_Position = State.m_AsOf;
  m_LastWonEnd = State.m_AsOf;
  if (!m_Gap || State.m_AsOf < m_BufferBegin) {
    return Outcomes;
  }
  for (const BufferedChange &Each : m_Buffered) {
    if (Each.m_Offset >= State.m_AsOf) {
      applyChange(Each.m_Offset, Each.m_Change, Outcomes);
    }
  }
  m_Position = std::max(m_Position, m_BufferEnd);
  m_Gap = false;
  m_Buffered.clear();
  m_BufferedBytes = 0;
  return Outcomes;
}

void LogFollower::bufferChange(std::uint64_t Offset, const Change &Next) {
  m_Buffered.push_back({Offset, Next});
  m_BufferedBytes += bytesOf(m_Buffered.back());
  while (m_BufferedBytes > MaxBufferedBytes) {
    m_BufferedBytes -= bytesOf(m_Buffered.front());
    m_BufferBegin = m_Buffered.front().m_Offset + 1;
    m_Buffered.pop_front();
  }
}

void LogFollower::applyChange(std::uint64_t Offset, const Change &Next,
                              std::vector<RecordOutcome> &Outcomes) {
  RecordOutcome Result{.m_Offset = Offset, .m_Change = Next, .m_Outcome = {}, .m_Winner = {}};
  Result.m_Outcome = m_Replay.apply(Next);
  if (Result.m_Outcome.m_Verdict == Verdict::Won) {
    m_LastWonEnd = Offset + 1;
  }
  if (Result.m_Outcome.m_Verdict == Verdict::LostRace) {
    if (const FileState *Current = m_Replay.find(Next.m_File)) {
      Result.m_Winner = Current->m_Change;
    }
  }
  Outcomes.push_back(std::move(Result));
}

} // namespace vanillahill::config
