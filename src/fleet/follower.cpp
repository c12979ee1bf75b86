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
    const bool IsDue = state(Which).m_NextReadAt <= Now;
    if (IsDue && (!Next || state(Which).m_NextReadAt < state(*Next).m_NextReadAt)) {
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
  for (const StreamState &State : m_Streams) {
    Next = std::min(Next, State.m_NextReadAt);
  }
  return std::max(Next, m_PausedUntil);
}

std::optional<std::uint64_t> Follower::position(Stream Which) const {
  const StreamState &State = state(Which);
  const bool AreSeveralMissing = State.m_Position && State.m_AnnouncedTo > *State.m_Position + 1;
  const bool IsListed =
      State.m_IsPositionLost || (Which == Stream::Configuration && AreSeveralMissing);
  return IsListed ? std::nullopt : State.m_Position;
}

void Follower::spreadFirstReads(std::size_t LocalVms, TimePoint Now) {
  std::bernoulli_distribution ReadsNow(std::min(FirstReadVms / static_cast<double>(LocalVms), 1.0));
  if (ReadsNow(m_Random)) {
    return;
  }
  std::uniform_int_distribution<Duration::rep> Delay(MinFirstReadDelay.count(),
                                                     MaxFirstReadDelay.count());
  pauseUntil(Now + Duration(Delay(m_Random)));
}

bool Follower::isComplete() const {
  return std::all_of(m_Streams.begin(), m_Streams.end(),
                     [](const StreamState &State) { return State.m_Position.has_value(); });
}

bool Follower::readSucceeded(Stream Which, std::uint64_t To, TimePoint AskedAt, TimePoint Now) {
  m_Reading.reset();
  StreamState &State = state(Which);
  State.m_Position = std::max(State.m_Position.value_or(0), To);
  State.m_IsPositionLost = false;
  State.m_CurrentAt = std::max(State.m_CurrentAt.value_or(AskedAt), AskedAt);
  State.m_ReadTime = Now - AskedAt;
  scheduleRead(State);
  const bool WasUnreachable = m_Failures > 0;
  m_Failures = 0;
  return WasUnreachable;
}

void Follower::readFailed(Stream Which, bool IsPositionLost, TimePoint Now) {
  m_Reading.reset();
  if (IsPositionLost) {
    state(Which).m_IsPositionLost = true;
    state(Which).m_NextReadAt = Now;
    return;
  }
  ++m_Failures;
  constexpr std::uint32_t MaxDoublings = 3;
  const Duration Backoff =
      std::min(InitialBackoff * (1U << std::min(m_Failures - 1, MaxDoublings)), MaxBackoff);
  std::uniform_real_distribution<double> Spread(0.75, 1.25);
  m_PausedUntil = Now + std::chrono::duration_cast<Duration>(Backoff * Spread(m_Random));
}

bool Follower::heard(const RecordRange &Range, TimePoint Now) {
  StreamState &State = state(Range.m_Stream);
  State.m_AnnouncedTo = std::max(State.m_AnnouncedTo, Range.m_To);
  if (!State.m_Position || *State.m_Position < Range.m_From) {
    // Records between the position and the range are missing.
    readSoon(Range.m_Stream, Range.m_To, Now);
    return false;
  }
  const bool IsNew = Range.m_To > *State.m_Position;
  if (IsNew) {
    State.m_Position = Range.m_To;
    State.m_IsPositionLost = false;
  }
  if (!State.m_CurrentAt || Range.m_AskedAt > *State.m_CurrentAt) {
    State.m_CurrentAt = Range.m_AskedAt;
    State.m_ReadTime = Now - Range.m_AskedAt;
    scheduleRead(State);
  }
  return IsNew;
}

void Follower::adopt(Stream Which, std::uint64_t To, TimePoint CurrentAt) {
  StreamState &State = state(Which);
  if (State.m_Position && *State.m_Position > To) {
    return;
  }
  State.m_Position = To;
  State.m_IsPositionLost = false;
  if (!State.m_CurrentAt || CurrentAt > *State.m_CurrentAt) {
    State.m_CurrentAt = CurrentAt;
    scheduleRead(State);
  }
}

void Follower::readSoon(Stream Which, std::uint64_t To, TimePoint Now) {
  readWithin(Which, To, FetchTimeShare, Now);
}

void Follower::readUnlessFetched(Stream Which, std::uint64_t To, TimePoint Now) {
  const StreamState &State = state(Which);
  const bool IsDue = State.m_AnnouncedTo >= To && State.m_Position.value_or(0) < To;
  if (IsDue) {
    // An announcement that is heard again draws no second time.
    return;
  }
  std::uniform_real_distribution<double> Share(FetchTimeShare, FetchTimeShare + FetchSpreadShare);
  readWithin(Which, To, Share(m_Random), Now);
}

void Follower::readWithin(Stream Which, std::uint64_t To, double BoundShare, TimePoint Now) {
  StreamState &State = state(Which);
  State.m_AnnouncedTo = std::max(State.m_AnnouncedTo, To);
  if (State.m_Position.value_or(0) < To) {
    const auto Wait = std::chrono::duration_cast<Duration>(m_Options.m_Bound * BoundShare);
    State.m_NextReadAt = std::min(State.m_NextReadAt, Now + Wait);
  }
}

std::uint64_t Follower::untoldFrom(const RecordRange &Range) const {
  return std::clamp(state(Range.m_Stream).m_AnnouncedTo, Range.m_From, Range.m_To);
}

void Follower::told(const RecordRange &Range) {
  StreamState &State = state(Range.m_Stream);
  State.m_AnnouncedTo = std::max(State.m_AnnouncedTo, Range.m_To);
}

void Follower::scheduleRead(StreamState &State) {
  constexpr double HalfSpread = ReadSpreadShare / 2;
  std::bernoulli_distribution IsEarly(std::min(EarlyVms / static_cast<double>(m_FleetSize), 1.0));
  std::uniform_real_distribution<double> Spread(0.0, HalfSpread);
  const double ExtraShare = IsEarly(m_Random) ? 0.0 : HalfSpread;
  const auto Delay = m_Options.m_Bound * (ReadPeriodShare + ExtraShare + Spread(m_Random));
  State.m_NextReadAt = *State.m_CurrentAt + std::chrono::duration_cast<Duration>(Delay);
  if (ExtraShare > 0.0) {
    // The early VMs' reads take long at a slow store: without this, all others would read before
    // the first answer is announced.
    const auto MaxExtra =
        std::chrono::duration_cast<Duration>(m_Options.m_Bound * MaxSlowStoreShare);
    State.m_NextReadAt += std::min(State.m_ReadTime, MaxExtra);
  }
}

} // namespace vanillahill::fleet
