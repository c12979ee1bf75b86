#include "vanillahill/config/replica.hpp"

#include <algorithm>

namespace vanillahill::config {

namespace {

/// The next checkpoint is appended when the last one has a random age between
/// retention / EarliestAgeDivisor and retention / LatestAgeDivisor.
constexpr int EarliestAgeDivisor = 4;
constexpr int LatestAgeDivisor = 2;
/// A checkpoint that was not read back is appended again after retention / RetryDivisor.
constexpr int RetryDivisor = 16;
/// The log's end is sampled once per retention / LogEndSamplesPerRetention; as many samples are
/// kept.
constexpr int LogEndSamplesPerRetention = 64;
/// A delay is the longest of this many random draws. The first of many VMs is then well ahead of
/// the second, which reads the checkpoint of the first and schedules its own anew.
constexpr int DelayDraws = 8;
/// A read with fewer records than this reached the end of the log.
constexpr std::size_t MinFullPageRecords = 64;
/// Longest random delay of the checkpoint after ChangesPerCheckpoint changes, so that not all VMs
/// append at once.
constexpr Duration CheckpointSpread = std::chrono::seconds(60);
/// Shortest time between two pulls of one VM.
constexpr Duration MinPullInterval = std::chrono::milliseconds(500);
/// Shortest time between two pulls while nothing is in force.
constexpr Duration MinInitialPullInterval = std::chrono::milliseconds(100);

} // namespace

Replica::Replica(ReplicaOptions Options)
    : m_Options(std::move(Options)), m_Follower(m_Options.m_Policies), m_Random(m_Options.m_Seed) {}

void Replica::onLogRead(const kernel::LogRead &Read, TimePoint Now, kernel::Actions &Out) {
  const ReadResult Result = m_Follower.onLogRead(Read);
  sampleLogEnd(Read, Now);
  m_Counters.m_Malformed += Result.m_Malformed;
  countOutcomes(Result.m_Changes);
  updateSettingsAndTimer(Now, Out);
  for (const ObservedCheckpoint &Each : Result.m_Checkpoints) {
    onCheckpoint(Each);
  }
  scheduleAfterChanges(Now);
}

void Replica::onPeerRecords(std::span<const std::string> Records, TimePoint Now,
                            kernel::Actions &Out) {
  for (const std::string &Text : Records) {
    const Result<Record> Next = decode(Text);
    const Checkpoint *State = Next ? std::get_if<Checkpoint>(&*Next) : nullptr;
    if (State == nullptr) {
      ++m_Counters.m_Malformed;
      continue;
    }
    const std::uint64_t Before = m_Follower.position();
    countOutcomes(m_Follower.adoptCheckpoint(*State));
    if (m_Follower.position() != Before) {
      ++m_Counters.m_StatesAdopted;
    }
  }
  updateSettingsAndTimer(Now, Out);
}

void Replica::onPeerVersions(VmId From, std::span<const peer::FileVersion> Versions, TimePoint Now,
                             kernel::Actions &Out) {
  if (!isBehind(Versions)) {
    return;
  }
  m_BehindSince = std::min(m_BehindSince, Now);
  const bool NothingInForce = m_Settings == nullptr;
  const bool GracePeriodOver = Now - m_BehindSince >= PullGracePeriod;
  if (Now < m_NextPull || !(NothingInForce || GracePeriodOver)) {
    return;
  }
  m_NextPull = Now + (NothingInForce ? MinInitialPullInterval : MinPullInterval);
  ++m_Counters.m_PullsSent;
  Out.emplace_back(kernel::SendPeer{.m_To = From, .m_Message = peer::ConfigPull{}});
}

void Replica::onPull(VmId From, kernel::Actions &Out) const {
  std::vector<std::string> Records = recordsInForce();
  if (!Records.empty()) {
    Out.emplace_back(kernel::SendPeer{
        .m_To = From, .m_Message = peer::ConfigPush{.m_Records = std::move(Records)}});
  }
}

void Replica::tick(TimePoint Now, kernel::Actions &Out) {
  if (Now < m_CheckpointDue) {
    return;
  }
  m_CheckpointDue = Now + retention() / RetryDivisor;
  if (m_Follower.hasGap()) {
    return;
  }
  ++m_Counters.m_CheckpointsAppended;
  Out.emplace_back(kernel::AppendLog{.m_Data = encode(m_Follower.checkpoint())});
}

std::vector<std::string> Replica::recordsInForce() const {
  if (m_Follower.state().files().empty()) {
    return {};
  }
  return {encode(m_Follower.checkpoint())};
}

std::vector<peer::FileVersion> Replica::versions() const {
  std::vector<peer::FileVersion> Result;
  for (const auto &[File, State] : m_Follower.state().files()) {
    Result.push_back({.m_File = File, .m_Version = State.m_Change.m_Version});
  }
  return Result;
}

bool Replica::isBehind(std::span<const peer::FileVersion> Versions) const {
  return std::any_of(Versions.begin(), Versions.end(), [this](const peer::FileVersion &Each) {
    return Each.m_Version > m_Follower.state().versionOf(Each.m_File);
  });
}

void Replica::countOutcomes(const std::vector<RecordOutcome> &Outcomes) {
  for (const RecordOutcome &Each : Outcomes) {
    switch (Each.m_Outcome.m_Verdict) {
    case Verdict::Won:
      ++m_Counters.m_Won;
      ++m_ChangesSinceCheckpoint;
      break;
    case Verdict::LostRace:
      ++m_Counters.m_LostRace;
      break;
    case Verdict::Invalid:
      ++m_Counters.m_Invalid;
      break;
    case Verdict::Repeat:
      ++m_Counters.m_Repeat;
      break;
    }
  }
}

void Replica::updateSettingsAndTimer(TimePoint Now, kernel::Actions &Out) {
  updateSettings(Out);
  if (!m_Follower.state().files().empty()) {
    scheduleCheckpoint(Now);
  }
}

void Replica::updateSettings(kernel::Actions &Out) {
  const Replay &State = m_Follower.state();
  const std::uint64_t Base = State.versionOf(BaseFile);
  const std::uint64_t Overlay = State.versionOf(overlayFile(m_Options.m_Site));
  if (Base == m_BaseVersion && Overlay == m_OverlayVersion) {
    return;
  }
  m_BaseVersion = Base;
  m_OverlayVersion = Overlay;
  m_BehindSince = TimePoint::max();
  settings::Checked Next = State.settingsOf(m_Options.m_Site);
  if (Next.m_Settings != nullptr) {
    m_Settings = std::move(Next.m_Settings);
    Out.emplace_back(kernel::SettingsChanged{});
  }
}

void Replica::scheduleCheckpoint(TimePoint Now) {
  const bool TooLate = m_CheckpointDue > Now + retention() / LatestAgeDivisor;
  if (TooLate) {
    m_CheckpointDue = Now + randomDelay(Duration::zero(), retention() / EarliestAgeDivisor);
  }
}

void Replica::scheduleAfterChanges(TimePoint Now) {
  if (m_ChangesSinceCheckpoint < ChangesPerCheckpoint) {
    return;
  }
  m_ChangesSinceCheckpoint = 0;
  m_CheckpointDue =
      std::min(m_CheckpointDue, Now + randomDelay(Duration::zero(), CheckpointSpread));
}

void Replica::onCheckpoint(const ObservedCheckpoint &Seen) {
  if (Seen.m_Mismatch) {
    ++m_Counters.m_CheckpointMismatches;
    return;
  }
  const auto After =
      std::find_if(m_LogEndSamples.rbegin(), m_LogEndSamples.rend(),
                   [&](const LogEndSample &Each) { return Each.m_End <= Seen.m_AsOf; });
  if (After == m_LogEndSamples.rend()) {
    return;
  }
  m_ChangesSinceCheckpoint = 0;
  m_CheckpointDue =
      After->m_Time + randomDelay(retention() / EarliestAgeDivisor, retention() / LatestAgeDivisor);
}

void Replica::sampleLogEnd(const kernel::LogRead &Read, TimePoint Now) {
  if (Read.m_Records.size() >= MinFullPageRecords) {
    return;
  }
  const bool Due = m_LogEndSamples.empty() ||
                   Now - m_LogEndSamples.back().m_Time >= retention() / LogEndSamplesPerRetention;
  if (Due) {
    m_LogEndSamples.push_back({.m_Time = Now, .m_End = Read.m_Next});
  }
  while (m_LogEndSamples.size() > LogEndSamplesPerRetention) {
    m_LogEndSamples.pop_front();
  }
}

Duration Replica::retention() const {
  return m_Settings == nullptr ? LogSettings().m_Retention : m_Settings->m_Log.m_Retention;
}

Duration Replica::randomDelay(Duration From, Duration To) {
  std::uniform_int_distribution<Duration::rep> Draw(From.count(), To.count());
  Duration::rep Latest = From.count();
  for (int Index = 0; Index < DelayDraws; ++Index) {
    Latest = std::max(Latest, Draw(m_Random));
  }
  return Duration(Latest);
}

} // namespace vanillahill::config
