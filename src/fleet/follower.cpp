#include "vanillahill/fleet/follower.hpp"

#include <algorithm>

namespace vanillahill::fleet {

Follower::Follower(FollowerOptions Options) : m_Options(Options), m_Random(Options.m_Seed) {}

std::optional<Stream> Follower::nextRead(TimePoint Now) {
  if (m_Reading || Now < m_PausedUntil) {
    return std::nullopt;
  }
  std::optional<Stream> Next;
  for (std::size_t Index = 0; Index < StreamCount; ++Index) {
    const auto Which = static_cast<Stream>(Index);
    const bool IsDue = state(Which).m_ReadAt <= Now;
    if (IsDue && (!Next || state(Which).m_ReadAt < state(*Next).m_ReadAt)) {
      Next = Which;
    }
  }
  m_Reading = Next;
  return Next;
}

TimePoint Follower::nextTimer() const {
  if (m_Reading) {
    return TimePoint::max();
  }
  TimePoint Next = TimePoint::max();
  for (const StreamState &Value : m_Streams) {
    Next = std::min(Next, Value.m_ReadAt);
  }
  return std::max(Next, m_PausedUntil);
}

std::optional<std::uint64_t> Follower::position(Stream Which) const {
  return state(Which).m_Position;
}

bool Follower::readSucceeded(Stream Which, std::uint64_t To, TimePoint AskedAt, TimePoint /*Now*/) {
  m_Reading.reset();
  StreamState &Value = state(Which);
  Value.m_Position = std::max(Value.m_Position.value_or(0), To);
  Value.m_CurrentAt = std::max(Value.m_CurrentAt.value_or(AskedAt), AskedAt);
  schedule(Value);
  const bool WasAway = m_Failures > 0;
  m_Failures = 0;
  return WasAway;
}

void Follower::readFailed(Stream Which, bool IsPositionLost, TimePoint Now) {
  m_Reading.reset();
  if (IsPositionLost) {
    state(Which).m_Position.reset();
    state(Which).m_ReadAt = Now;
    return;
  }
  ++m_Failures;
  constexpr std::uint32_t MostDoublings = 3;
  const Duration Pause =
      std::min(ShortestPause * (1U << std::min(m_Failures - 1, MostDoublings)), LongestPause);
  std::uniform_real_distribution<double> Spread(0.75, 1.25);
  m_PausedUntil = Now + std::chrono::duration_cast<Duration>(Pause * Spread(m_Random));
}

bool Follower::heard(const RecordRange &Range, TimePoint /*Now*/) {
  StreamState &Value = state(Range.m_Stream);
  Value.m_ToldTo = std::max(Value.m_ToldTo, Range.m_To);
  if (!Value.m_Position || *Value.m_Position < Range.m_From) {
    // Something in between is missing here: it is read from the store.
    Value.m_ReadAt = std::min(Value.m_ReadAt, Range.m_AskedAt);
    return false;
  }
  const bool IsNew = Range.m_To > *Value.m_Position;
  Value.m_Position = std::max(*Value.m_Position, Range.m_To);
  if (!Value.m_CurrentAt || Range.m_AskedAt > *Value.m_CurrentAt) {
    Value.m_CurrentAt = Range.m_AskedAt;
    schedule(Value);
  }
  return IsNew;
}

void Follower::jumpTo(Stream Which, std::uint64_t To) {
  StreamState &Value = state(Which);
  Value.m_Position = std::max(Value.m_Position.value_or(0), To);
}

void Follower::readSoon(Stream Which, TimePoint Now) {
  state(Which).m_ReadAt = std::min(state(Which).m_ReadAt, Now);
}

std::uint64_t Follower::untoldFrom(const RecordRange &Range) const {
  return std::clamp(state(Range.m_Stream).m_ToldTo, Range.m_From, Range.m_To);
}

void Follower::told(const RecordRange &Range) {
  StreamState &Value = state(Range.m_Stream);
  Value.m_ToldTo = std::max(Value.m_ToldTo, Range.m_To);
}

void Follower::schedule(StreamState &Value) {
  constexpr double Middle = SpreadShare / 2;
  std::bernoulli_distribution IsEarly(std::min(EarlyVms / static_cast<double>(m_FleetSize), 1.0));
  std::uniform_real_distribution<double> Spread(0.0, Middle);
  const double Late = IsEarly(m_Random) ? 0.0 : Middle;
  const auto Wait = m_Options.m_Bound * (PeriodShare + Late + Spread(m_Random));
  Value.m_ReadAt = *Value.m_CurrentAt + std::chrono::duration_cast<Duration>(Wait);
}

} // namespace vanillahill::fleet
