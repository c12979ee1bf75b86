#include "vanillahill/config/log_follower.hpp"

#include <algorithm>

namespace vanillahill::config {

ReadResult LogFollower::read(const kernel::LogRead &Read) {
  ReadResult Result;
  noticeGap(Read.m_First);
  for (const kernel::LogRecord &Each : Read.m_Records) {
    if (Each.m_Offset < readEnd()) {
      continue;
    }
    const vanillahill::Result<Record> Next = decode(Each.m_Data);
    if (!Next) {
      ++Result.m_Malformed;
      continue;
    }
    take(Each.m_Offset, *Next, Result);
  }
  std::uint64_t &End = m_Gap ? m_HeldEnd : m_Position;
  End = std::max(End, Read.m_Next);
  return Result;
}

void LogFollower::noticeGap(std::uint64_t First) {
  if (First <= readEnd()) {
    return;
  }
  m_Gap = true;
  m_Held.clear();
  m_HeldBytes = 0;
  m_HeldFrom = First;
  m_HeldEnd = First;
}

void LogFollower::take(std::uint64_t Offset, const Record &Next, ReadResult &Result) {
  if (const auto *State = std::get_if<Checkpoint>(&Next)) {
    takeCheckpoint(Offset, *State, Result);
    return;
  }
  const Change &Written = std::get<Change>(Next);
  if (m_Gap) {
    hold(Offset, Written);
    m_HeldEnd = Offset + 1;
    return;
  }
  apply(Offset, Written, Result.m_Changes);
  m_Position = Offset + 1;
}

void LogFollower::takeCheckpoint(std::uint64_t Offset, const Checkpoint &State,
                                 ReadResult &Result) {
  if (State.m_AsOf > Offset) {
    ++Result.m_Malformed;
    return;
  }
  if (m_Gap) {
    m_HeldEnd = Offset + 1;
    const std::vector<RecordOutcome> Replayed = adopt(State);
    Result.m_Changes.insert(Result.m_Changes.end(), Replayed.begin(), Replayed.end());
  } else {
    m_Position = Offset + 1;
  }
  Result.m_Checkpoints.push_back({.m_AsOf = State.m_AsOf, .m_Mismatch = differs(State)});
}

bool LogFollower::differs(const Checkpoint &State) const {
  const bool Comparable = !m_Gap && m_LastWon <= State.m_AsOf;
  return Comparable && State.m_Files != m_Replay.checkpoint(State.m_AsOf).m_Files;
}

bool LogFollower::isOlder(const Checkpoint &State) const {
  Replay Theirs(m_Replay);
  Theirs.restore(State);
  const auto &Ours = m_Replay.files();
  return std::any_of(Ours.begin(), Ours.end(), [&](const auto &Entry) {
    return Theirs.versionOf(Entry.first) < Entry.second.m_Change.m_Version;
  });
}

std::vector<RecordOutcome> LogFollower::adopt(const Checkpoint &State) {
  std::vector<RecordOutcome> Outcomes;
  if (State.m_AsOf <= m_Position || isOlder(State)) {
    return Outcomes;
  }
  m_Replay.restore(State);
  m_Position = State.m_AsOf;
  m_LastWon = State.m_AsOf;
  if (!m_Gap || State.m_AsOf < m_HeldFrom) {
    return Outcomes;
  }
  for (const Held &Each : m_Held) {
    if (Each.m_Offset >= State.m_AsOf) {
      apply(Each.m_Offset, Each.m_Change, Outcomes);
    }
  }
  m_Position = std::max(m_Position, m_HeldEnd);
  m_Gap = false;
  m_Held.clear();
  m_HeldBytes = 0;
  return Outcomes;
}

void LogFollower::hold(std::uint64_t Offset, const Change &Next) {
  m_Held.push_back({Offset, Next});
  m_HeldBytes += bytesOf(m_Held.back());
  while (m_HeldBytes > MaxHeldBytes) {
    m_HeldBytes -= bytesOf(m_Held.front());
    m_HeldFrom = m_Held.front().m_Offset + 1;
    m_Held.pop_front();
  }
}

void LogFollower::apply(std::uint64_t Offset, const Change &Next,
                        std::vector<RecordOutcome> &Outcomes) {
  RecordOutcome Result{.m_Offset = Offset, .m_Change = Next, .m_Outcome = {}, .m_Winner = {}};
  Result.m_Outcome = m_Replay.apply(Next);
  if (Result.m_Outcome.m_Verdict == Verdict::Won) {
    m_LastWon = Offset + 1;
  }
  if (Result.m_Outcome.m_Verdict == Verdict::LostRace) {
    if (const FileState *Current = m_Replay.find(Next.m_File)) {
      Result.m_Winner = Current->m_Change;
    }
  }
  Outcomes.push_back(std::move(Result));
}

} // namespace vanillahill::config
