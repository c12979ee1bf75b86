#include "vanillahill/fleet/follower.hpp"

#include <algorithm>

namespace vanillahill::fleet {

Follower::Follower(FollowerOptions Options)
    : m_Options(Options), m_Random(Options.m_Seed), m_Standing(Options.m_Rank, Options.m_Bound) {}

std::optional<Stream> Follower::nextRead(TimePoint Now) {
  if (Now < m_PausedUntil) {
    return std::nullopt;
  }
  std::optional<Stream> Next;
  for (std::size_t Index = 0; Index < StreamCount; ++Index) {
    const auto Which = static_cast<Stream>(Index);
    const bool IsDue = std::max(state(Which).m_NextReadAt, mayReadFrom(Which)) <= Now;
    if (IsDue && (!Next || state(Which).m_NextReadAt < state(*Next).m_NextReadAt)) {
      Next = Which;
    }
  }
  if (Next) {
    state(*Next).m_ReadingSince = Now;
    state(*Next).m_ReadFrom = position(*Next);
    state(*Next).m_HoldTime = holdTimeAt(*Next, Now);
  }
  return Next;
}

Duration Follower::holdTimeAt(Stream Which, TimePoint Now) const {
  const bool IsHeld = Which == Stream::Configuration && position(Which) && m_Standing.isKeeper(Now);
  return IsHeld ? m_Standing.holdTime() : Duration::zero();
}

Duration Follower::heldFor(Stream Which, Duration AnsweredAfter) const {
  const StreamState &State = state(Which);
  return std::clamp(AnsweredAfter - State.m_RoundTrip, Duration::zero(), State.m_HoldTime);
}

TimePoint Follower::mayReadFrom(Stream Which) const {
  if (state(Which).m_ReadingSince) {
    return TimePoint::max();
  }
  TimePoint From = TimePoint::min();
  for (const StreamState &State : m_Streams) {
    if (State.m_ReadingSince && State.m_HoldTime == Duration::zero()) {
      const auto &KnownAt = state(Which).m_CurrentAt;
      From = KnownAt && !isPositionLost(state(Which))
                 ? std::max(*State.m_ReadingSince + shareOfBound(LongReadShare),
                            *KnownAt + shareOfBound(UrgentAgeShare))
                 : TimePoint::max();
    }
  }
  return From;
}

TimePoint Follower::nextTimer() const {
  TimePoint Next = TimePoint::max();
  for (std::size_t Index = 0; Index < StreamCount; ++Index) {
    const auto Which = static_cast<Stream>(Index);
    Next = std::min(Next, std::max(state(Which).m_NextReadAt, mayReadFrom(Which)));
  }
  return Next == TimePoint::max() ? Next : std::max(Next, m_PausedUntil);
}

bool Follower::isPositionLost(const StreamState &State) const {
  return State.m_IsPositionLost || (State.m_Position && State.m_Position->m_Era < m_Era);
}

std::optional<Position> Follower::position(Stream Which) const {
  const StreamState &State = state(Which);
  const bool AreSeveralMissing = State.m_Position &&
                                 State.m_AnnouncedTo.m_Era == State.m_Position->m_Era &&
                                 State.m_AnnouncedTo.m_Offset > State.m_Position->m_Offset + 1;
  const bool IsListed =
      isPositionLost(State) || (Which == Stream::Configuration && AreSeveralMissing);
  return IsListed ? std::nullopt : State.m_Position;
}

bool Follower::hearEra(std::uint64_t Era) {
  if (Era <= m_Era) {
    return false;
  }
  m_Era = Era;
  m_HasNotedOutdated = false;
  return true;
}

void Follower::noteEra(std::uint64_t Era, TimePoint Now) {
  if (!hearEra(Era)) {
    return;
  }
  for (StreamState &State : m_Streams) {
    State.m_NextReadAt = std::min(State.m_NextReadAt, Now);
  }
  if (m_Failures > 0) {
    spreadFirstReads(m_LocalVms, Now);
  }
}

bool Follower::answered(Stream Which, const std::optional<Position> &From, const Position &To,
                        TimePoint Now) {
  noteEra(To.m_Era, Now);
  const bool IsOutdated = To.m_Era < m_Era;
  if (!IsOutdated && (!From || From->m_Era == m_Era)) {
    return true;
  }
  state(Which).m_ReadingSince.reset();
  if (IsOutdated) {
    pauseUntil(Now + InitialBackoff);
  }
  return false;
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

bool Follower::readSucceeded(Stream Which, const Position &To, TimePoint AskedAt, TimePoint Now,
                             Duration HeldFor) {
  StreamState &State = state(Which);
  State.m_ReadingSince.reset();
  noteEra(To.m_Era, Now);
  // After a lost position a lower one is valid, too: a store that tells no era may have gone back.
  State.m_Position =
      State.m_IsPositionLost ? To : std::max(State.m_Position.value_or(Position{}), To);
  if (State.m_IsPositionLost) {
    State.m_AnnouncedTo = To;
  }
  State.m_IsPositionLost = false;
  const TimePoint CurrentAt = AskedAt + HeldFor;
  State.m_CurrentAt = std::max(State.m_CurrentAt.value_or(CurrentAt), CurrentAt);
  State.m_ReadTime = Now - CurrentAt;
  if (Which == Stream::Configuration) {
    const bool HasRecords = State.m_ReadFrom != To;
    m_Standing.succeeded(!HasRecords && Now - AskedAt < State.m_HoldTime, Now);
    if (!HasRecords && State.m_HoldTime > Duration::zero()) {
      State.m_RoundTrip = std::max(Now - AskedAt - State.m_HoldTime, Duration::zero());
    }
  }
  scheduleRead(Which, Now);
  const bool WasUnreachable = m_Failures > 0;
  m_Failures = 0;
  return WasUnreachable;
}

void Follower::readFailed(Stream Which, bool IsPositionLost, TimePoint Now) {
  StreamState &State = state(Which);
  State.m_ReadingSince.reset();
  if (IsPositionLost) {
    // The position of a later era, which another VM may have told since, is not lost.
    if (!State.m_ReadFrom || !State.m_Position ||
        State.m_ReadFrom->m_Era == State.m_Position->m_Era) {
      State.m_IsPositionLost = true;
      State.m_NextReadAt = Now;
    }
    return;
  }
  ++m_Failures;
  if (Which == Stream::Configuration) {
    m_Standing.failed(Now);
  }
  constexpr std::uint32_t MaxDoublings = 3;
  const Duration Backoff =
      std::min(InitialBackoff * (1U << std::min(m_Failures - 1, MaxDoublings)), MaxBackoff);
  std::uniform_real_distribution<double> Spread(0.75, 1.25);
  m_PausedUntil = Now + std::chrono::duration_cast<Duration>(Backoff * Spread(m_Random));
}

bool Follower::reaches(const RecordRange &Range) const {
  const auto &Known = state(Range.m_Stream).m_Position;
  if (!Known || *Known >= Range.m_To) {
    return Known.has_value();
  }
  // A difference between eras holds only for a VM that knew the same as the one that made it.
  return Range.m_From.m_Era == Range.m_To.m_Era
             ? Known->m_Era == Range.m_From.m_Era && *Known >= Range.m_From
             : *Known == Range.m_From;
}

bool Follower::heard(const RecordRange &Range, TimePoint Now) {
  if (Range.m_To.m_Era < m_Era) {
    return false;
  }
  hearEra(Range.m_To.m_Era);
  StreamState &State = state(Range.m_Stream);
  State.m_AnnouncedTo = std::max(State.m_AnnouncedTo, Range.m_To);
  const bool ShouldReplace = Range.m_KeeperRank && m_Standing.noteKeeper(*Range.m_KeeperRank, Now);
  if (!reaches(Range)) {
    // Records between the position and the range are missing.
    readSoon(Range.m_Stream, Range.m_To, Now);
    return false;
  }
  const bool IsNew = Range.m_To > *State.m_Position;
  if (IsNew) {
    State.m_Position = Range.m_To;
    State.m_IsPositionLost = false;
  }
  if (!State.m_CurrentAt || Range.currentAt() > *State.m_CurrentAt) {
    State.m_CurrentAt = Range.currentAt();
    State.m_ReadTime = Now - Range.currentAt();
    scheduleRead(Range.m_Stream, Now);
  }
  if (ShouldReplace) {
    std::uniform_real_distribution<double> Spread(0.0, ReplaceSpreadShare);
    State.m_NextReadAt = std::min(State.m_NextReadAt, Now + shareOfBound(Spread(m_Random)));
  }
  return IsNew;
}

void Follower::adopt(Stream Which, const Position &To, TimePoint CurrentAt) {
  StreamState &State = state(Which);
  if (To.m_Era < m_Era || (State.m_Position && *State.m_Position > To)) {
    return;
  }
  hearEra(To.m_Era);
  State.m_Position = To;
  State.m_IsPositionLost = false;
  if (!State.m_CurrentAt || CurrentAt > *State.m_CurrentAt) {
    State.m_CurrentAt = CurrentAt;
    scheduleRead(Which, CurrentAt);
  }
}

void Follower::readSoon(Stream Which, const Position &To, TimePoint Now) {
  StreamState &State = state(Which);
  State.m_AnnouncedTo = std::max(State.m_AnnouncedTo, To);
  // Records that are being fetched have a time of their own at which the store is read instead.
  if (State.m_Position.value_or(Position{}) < To && !State.m_ReadBy) {
    State.m_NextReadAt = std::min(State.m_NextReadAt, Now + shareOfBound(FetchTimeShare));
  }
}

void Follower::readAtOnce(Stream Which, const Position &To, TimePoint Now) {
  StreamState &State = state(Which);
  if (State.m_AnnouncedTo >= To || State.m_Position.value_or(Position{}) >= To) {
    return;
  }
  State.m_AnnouncedTo = To;
  std::uniform_real_distribution<double> Spread(0.0, ReplaceSpreadShare);
  State.m_NextReadAt = std::min(State.m_NextReadAt, Now + shareOfBound(Spread(m_Random)));
}

void Follower::readUnlessFetched(Stream Which, const Position &To, TimePoint Now,
                                 TimePoint MissingFrom) {
  StreamState &State = state(Which);
  if (State.m_AnnouncedTo >= To || State.m_Position.value_or(Position{}) >= To) {
    // An announcement that is heard again draws no second time.
    return;
  }
  const auto RandomShare = [this](double Least, double Most) {
    return shareOfBound(std::uniform_real_distribution<double>(Least, Most)(m_Random));
  };
  if (!State.m_ReadBy) {
    const TimePoint KnownAt = std::max(State.m_CurrentAt.value_or(Now), MissingFrom);
    State.m_ReadBy = std::max(KnownAt + RandomShare(MinFetchAgeShare, MaxFetchAgeShare),
                              Now + RandomShare(0.0, FetchTimeShare));
  }
  State.m_AnnouncedTo = To;
  // The regular read waits for the fetch, too: it would read the same records.
  const Duration Wait = RandomShare(FetchTimeShare, FetchTimeShare + FetchSpreadShare);
  State.m_NextReadAt = std::min(Now + Wait, *State.m_ReadBy);
}

Position Follower::untoldFrom(const RecordRange &Range) const {
  return std::clamp(state(Range.m_Stream).m_AnnouncedTo, Range.m_From, Range.m_To);
}

void Follower::told(const RecordRange &Range) {
  StreamState &State = state(Range.m_Stream);
  State.m_AnnouncedTo = std::max(State.m_AnnouncedTo, Range.m_To);
}

void Follower::scheduleRead(Stream Which, TimePoint Now) {
  StreamState &State = state(Which);
  State.m_ReadBy.reset();
  if (holdTimeAt(Which, Now) > Duration::zero()) {
    const TimePoint BeganAt = State.m_CurrentAt.value_or(Now);
    State.m_NextReadAt = BeganAt + shareOfBound(MinStandingPeriodShare);
    return;
  }
  constexpr double HalfSpread = ReadSpreadShare / 2;
  const bool IsKept = Which == Stream::Configuration && m_Standing.hasOther(Now);
  if (IsKept && m_IsFirst) {
    std::uniform_real_distribution<double> Spread(0.0, ReplaceSpreadShare);
    State.m_NextReadAt =
        *State.m_CurrentAt + shareOfBound(KeptPeriodShareOfFirst + Spread(m_Random));
    return;
  }
  const double PeriodShare = IsKept ? KeptPeriodShare : ReadPeriodShare;
  std::bernoulli_distribution IsEarly(std::min(EarlyVms / static_cast<double>(m_FleetSize), 1.0));
  std::uniform_real_distribution<double> Spread(0.0, HalfSpread);
  const double ExtraShare = IsEarly(m_Random) ? 0.0 : HalfSpread;
  State.m_NextReadAt =
      *State.m_CurrentAt + shareOfBound(PeriodShare + ExtraShare + Spread(m_Random));
  if (ExtraShare > 0.0) {
    // The early VMs' reads take long at a slow store: without this, all others would read before
    // the first answer is announced.
    State.m_NextReadAt += std::min(State.m_ReadTime, shareOfBound(MaxSlowStoreShare));
  }
}

} // namespace vanillahill::fleet
