#include "vanillahill/config/replica.hpp"

#include <algorithm>

namespace vanillahill::config {

namespace {

/// Checkpoints are appended at a random age between these shares of the retention.
constexpr int EarliestShare = 4;
constexpr int LatestShare = 2;
/// An appended checkpoint that was not read back is appended again after this share.
constexpr int RepeatShare = 16;
/// A mark of the log's end is kept for each of these shares.
constexpr int MarkShare = 64;
/// A delay is the latest of as many draws: the first of many VMs is then well ahead of the second,
/// which sees the checkpoint of the first and sets itself a new time.
constexpr int DelayDraws = 8;
/// A read with fewer records than this ended at the end of the log.
constexpr std::size_t MinPageRecords = 64;
/// Spreads the checkpoints of many VMs after many changes.
constexpr Duration ChangesSpread = std::chrono::seconds(60);
/// Between two pulls of one VM.
constexpr Duration PullPeriod = std::chrono::milliseconds(500);
/// Between two pulls while nothing is in force.
constexpr Duration FirstPullPeriod = std::chrono::milliseconds(100);

} // namespace

Replica::Replica(ReplicaOptions Options)
    : m_Options(std::move(Options)), m_Log(m_Options.m_Policies), m_Random(m_Options.m_Seed) {}

void Replica::onLogRead(const kernel::LogRead &Read, TimePoint Now, kernel::Actions &Out) {
  const ReadResult Result = m_Log.read(Read);
  markHead(Read, Now);
  m_Counters.m_Malformed += Result.m_Malformed;
  count(Result.m_Changes);
  refresh(Now, Out);
  for (const CheckpointSeen &Each : Result.m_Checkpoints) {
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
    const std::uint64_t Before = m_Log.position();
    count(m_Log.adopt(*State));
    if (m_Log.position() != Before) {
      ++m_Counters.m_StatesAdopted;
    }
  }
  refresh(Now, Out);
}

void Replica::onPeerVersions(VmId From, std::span<const peer::FileVersion> Versions, TimePoint Now,
                             kernel::Actions &Out) {
  if (!isBehind(Versions)) {
    return;
  }
  m_BehindSince = std::min(m_BehindSince, Now);
  const bool Empty = m_Settings == nullptr;
  const bool GraceOver = Now - m_BehindSince >= PullGrace;
  if (Now < m_NextPull || !(Empty || GraceOver)) {
    return;
  }
  m_NextPull = Now + (Empty ? FirstPullPeriod : PullPeriod);
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
  m_CheckpointDue = Now + retention() / RepeatShare;
  if (m_Log.hasGap()) {
    return;
  }
  ++m_Counters.m_CheckpointsAppended;
  Out.emplace_back(kernel::AppendLog{.m_Data = encode(m_Log.checkpoint())});
}

std::vector<std::string> Replica::recordsInForce() const {
  if (m_Log.state().files().empty()) {
    return {};
  }
  return {encode(m_Log.checkpoint())};
}

std::vector<peer::FileVersion> Replica::versions() const {
  std::vector<peer::FileVersion> Result;
  for (const auto &[File, State] : m_Log.state().files()) {
    Result.push_back({.m_File = File, .m_Version = State.m_Change.m_Version});
  }
  return Result;
}

bool Replica::isBehind(std::span<const peer::FileVersion> Versions) const {
  return std::any_of(Versions.begin(), Versions.end(), [this](const peer::FileVersion &Each) {
    return Each.m_Version > m_Log.state().versionOf(Each.m_File);
  });
}

void Replica::count(const std::vector<RecordOutcome> &Outcomes) {
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

void Replica::refresh(TimePoint Now, kernel::Actions &Out) {
  takeSettings(Out);
  if (!m_Log.state().files().empty()) {
    scheduleCheckpoint(Now);
  }
}

void Replica::takeSettings(kernel::Actions &Out) {
  const Replay &State = m_Log.state();
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
  const bool TooLate = m_CheckpointDue > Now + retention() / LatestShare;
  if (TooLate) {
    m_CheckpointDue = Now + randomDelay(Duration::zero(), retention() / EarliestShare);
  }
}

void Replica::scheduleAfterChanges(TimePoint Now) {
  if (m_ChangesSinceCheckpoint < ChangesPerCheckpoint) {
    return;
  }
  m_ChangesSinceCheckpoint = 0;
  m_CheckpointDue = std::min(m_CheckpointDue, Now + randomDelay(Duration::zero(), ChangesSpread));
}

void Replica::onCheckpoint(const CheckpointSeen &Seen) {
  if (Seen.m_Mismatch) {
    ++m_Counters.m_CheckpointMismatches;
    return;
  }
  const auto After = std::find_if(m_HeadMarks.rbegin(), m_HeadMarks.rend(),
                                  [&](const HeadMark &Each) { return Each.m_Head <= Seen.m_AsOf; });
  if (After == m_HeadMarks.rend()) {
    return;
  }
  m_ChangesSinceCheckpoint = 0;
  m_CheckpointDue =
      After->m_Time + randomDelay(retention() / EarliestShare, retention() / LatestShare);
}

void Replica::markHead(const kernel::LogRead &Read, TimePoint Now) {
  if (Read.m_Records.size() >= MinPageRecords) {
    return;
  }
  const bool Due =
      m_HeadMarks.empty() || Now - m_HeadMarks.back().m_Time >= retention() / MarkShare;
  if (Due) {
    m_HeadMarks.push_back({.m_Time = Now, .m_Head = Read.m_Next});
  }
  while (m_HeadMarks.size() > MarkShare) {
    m_HeadMarks.pop_front();
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
