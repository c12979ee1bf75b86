/// \file
/// Publishes a change: appends it to the log and reads its outcome back. "Accepted" is returned
/// only after the record was read back as won.
#pragma once

#include "vanillahill/config/log_follower.hpp"

#include <algorithm>
#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace vanillahill::config {

/// A log that can be appended to and read, and the clock that deadlines refer to.
template <typename T>
concept PublishLog = requires(T &Log, const std::string &Data, std::uint64_t From,
                              Duration Length) {
  { Log.append(Data) } -> std::same_as<Result<std::uint64_t>>;
  { Log.read(From) } -> std::same_as<Result<kernel::LogRead>>;
  { Log.pause(Length) } -> std::same_as<void>;
  { Log.now() } -> std::same_as<TimePoint>;
};

/// A change that an operator wants to publish.
struct Draft {
  std::string m_File;
  /// JSON text.
  std::string m_Content;
  std::string m_ChangeId;
  std::string m_Operator;
  std::int64_t m_WrittenMillis = 0;
  /// The version that the operator edited; the current one when not set.
  std::optional<std::uint64_t> m_BuildsOn;
};

/// The outcome of publishing.
enum class PublishStatus : std::uint8_t {
  /// Read back as won: it takes effect and stays in force until a later version.
  Accepted,
  /// Another change of the file came first in the log. This one never takes effect.
  LostRace,
  /// The settings do not pass the checks.
  Invalid,
  /// The change id won earlier with different content.
  IdReused,
  /// The change may have been appended but was not read back in time. Publish again with the same
  /// change id to learn its outcome.
  Unconfirmed,
  /// The log could not be read; nothing was appended.
  LogUnavailable,
  /// Records aged out and no checkpoint replaces them; nothing was appended.
  StateMissing,
};

struct PublishResult {
  PublishStatus m_Status = PublishStatus::Unconfirmed;
  /// Accepted: the version of the change. LostRace: the version in force.
  std::uint64_t m_Version = 0;
  /// LostRace: the change that is in force instead.
  Change m_Winner;
  /// Invalid: every problem.
  settings::Problems m_Problems;
  /// The last error of the log.
  std::optional<Error> m_Error;
};

/// Reads the log up to its end and publishes one change. Not thread safe.
template <PublishLog LogT> class Publisher {
public:
  explicit Publisher(LogT &Log,
                     std::span<const std::string_view> Policies = settings::defaultPolicyNames())
      : m_Log(Log), m_Follower(Policies) {}

  /// \brief Reads the log up to its end. \return false when Deadline passed first
  bool catchUp(TimePoint Deadline) {
    while (true) {
      const std::optional<bool> AtEnd = readPage();
      if (AtEnd.value_or(false)) {
        return true;
      }
      if (!AtEnd && !pauseForRetry(Deadline)) {
        return false;
      }
    }
  }

  /// \brief Publishes a change and reads its outcome back. \param Timeout for the whole call
  PublishResult publish(const Draft &Wanted, Duration Timeout) {
    const TimePoint Deadline = m_Log.now() + Timeout;
    if (!catchUp(Deadline)) {
      return resultWith(PublishStatus::LogUnavailable);
    }
    if (m_Follower.hasGap()) {
      return resultWith(PublishStatus::StateMissing);
    }
    m_Change = makeChange(Wanted);
    if (const auto Known = resultBeforeAppend()) {
      return *Known;
    }
    return appendUntilReadBack(Deadline);
  }

  const LogFollower &follower() const { return m_Follower; }
  const std::optional<Error> &lastError() const { return m_Error; }

private:
  static constexpr Duration RetryPause = std::chrono::milliseconds(100);

  Change makeChange(const Draft &Wanted) const {
    const std::uint64_t Current = m_Follower.state().versionOf(Wanted.m_File);
    const std::uint64_t BuildsOn = Wanted.m_BuildsOn.value_or(Current);
    return {.m_File = Wanted.m_File,
            .m_Version = BuildsOn + 1,
            .m_BuildsOn = BuildsOn,
            .m_ChangeId = Wanted.m_ChangeId,
            .m_Operator = Wanted.m_Operator,
            .m_WrittenMillis = Wanted.m_WrittenMillis,
            .m_Content = canonicalJson(Wanted.m_Content).value_or(Wanted.m_Content)};
  }

  PublishResult resultWith(PublishStatus Status) const {
    return {
        .m_Status = Status, .m_Version = 0, .m_Winner = {}, .m_Problems = {}, .m_Error = m_Error};
  }

  /// \return the result if it is known without an append; nothing when the change would win
  std::optional<PublishResult> resultBeforeAppend() const {
    const Outcome Evaluated = m_Follower.state().evaluate(m_Change);
    const FileState *Current = m_Follower.state().find(m_Change.m_File);
    RecordOutcome Expected{
        .m_Offset = 0, .m_Change = m_Change, .m_Outcome = Evaluated, .m_Winner = {}};
    if (Current != nullptr) {
      Expected.m_Winner = Current->m_Change;
    }
    if (Evaluated.m_Verdict == Verdict::Won) {
      return std::nullopt;
    }
    return resultOf(Expected);
  }

  PublishResult resultOf(const RecordOutcome &Seen) const {
    PublishResult Result = resultWith(PublishStatus::Accepted);
    Result.m_Version = Seen.m_Outcome.m_Version;
    if (Seen.m_Outcome.m_Verdict == Verdict::LostRace) {
      Result.m_Status = PublishStatus::LostRace;
      Result.m_Winner = Seen.m_Winner;
    } else if (Seen.m_Outcome.m_Verdict == Verdict::Invalid) {
      Result.m_Status = PublishStatus::Invalid;
      Result.m_Problems = Seen.m_Outcome.m_Problems;
    } else if (isChangeIdReused(Seen)) {
      Result.m_Status = PublishStatus::IdReused;
    }
    return Result;
  }

  bool isChangeIdReused(const RecordOutcome &Seen) const {
    const FileState *Current = m_Follower.state().find(m_Change.m_File);
    const bool StillInForce =
        Current != nullptr && Current->m_Change.m_Version == Seen.m_Outcome.m_Version;
    return StillInForce && Current->m_Change.m_Content != m_Change.m_Content;
  }

  /// Appends the same record until it is read back; that record can win only once.
  PublishResult appendUntilReadBack(TimePoint Deadline) {
    const std::string Text = encode(m_Change);
    std::uint32_t Appends = 0;
    while (true) {
      ++Appends;
      const Result<std::uint64_t> Offset = m_Log.append(Text);
      if (!Offset) {
        m_Error = Offset.error();
      }
      if (!readBack(Offset ? *Offset + 1 : 0, Deadline)) {
        return resultWith(PublishStatus::Unconfirmed);
      }
      if (m_OwnOutcome) {
        return resultAfterAppends(Appends);
      }
      if (!pauseForRetry(Deadline)) {
        return resultWith(PublishStatus::Unconfirmed);
      }
    }
  }

  /// After several appends an invalid change is reported as unconfirmed: a copy that is still under
  /// way could pass the checks after another change.
  PublishResult resultAfterAppends(std::uint32_t Appends) const {
    PublishResult Result = resultOf(*m_OwnOutcome);
    if (Result.m_Status == PublishStatus::Invalid && Appends > 1) {
      Result.m_Status = PublishStatus::Unconfirmed;
    }
    return Result;
  }

  /// Reads until the own change is found, or to the end of the log and at least up to an offset.
  /// \return false when Deadline passed first
  bool readBack(std::uint64_t AtLeast, TimePoint Deadline) {
    while (!m_OwnOutcome) {
      const std::optional<bool> AtEnd = readPage();
      if (AtEnd.value_or(false) && m_Follower.position() >= AtLeast) {
        return true;
      }
      if (!AtEnd.value_or(false) && AtEnd.has_value()) {
        continue;
      }
      if (!pauseForRetry(Deadline)) {
        return m_OwnOutcome.has_value();
      }
    }
    return true;
  }

  /// \return whether the end of the log was reached; nothing on an error
  std::optional<bool> readPage() {
    const Result<kernel::LogRead> Read = m_Log.read(m_ReadFrom);
    if (!Read) {
      m_Error = Read.error();
      return std::nullopt;
    }
    const bool AtEnd = Read->m_Next == m_ReadFrom || Read->m_Records.empty();
    m_ReadFrom = Read->m_Next;
    for (const RecordOutcome &Each : m_Follower.onLogRead(*Read).m_Changes) {
      recordOwnOutcome(Each);
    }
    return AtEnd;
  }

  void recordOwnOutcome(const RecordOutcome &Seen) {
    if (m_OwnOutcome || Seen.m_Change.m_File != m_Change.m_File ||
        Seen.m_Change.m_ChangeId != m_Change.m_ChangeId) {
      return;
    }
    const bool MatchesByIdAlone =
        Seen.m_Outcome.m_Verdict == Verdict::Won || Seen.m_Outcome.m_Verdict == Verdict::Repeat;
    if (MatchesByIdAlone || Seen.m_Change == m_Change) {
      m_OwnOutcome = Seen;
    }
  }

  bool pauseForRetry(TimePoint Deadline) {
    if (m_Log.now() >= Deadline) {
      return false;
    }
    m_Log.pause(std::min(RetryPause, Deadline - m_Log.now()));
    return true;
  }

  LogT &m_Log;
  LogFollower m_Follower;
  Change m_Change;
  std::uint64_t m_ReadFrom = 0;
  std::optional<RecordOutcome> m_OwnOutcome;
  std::optional<Error> m_Error;
};

} // namespace vanillahill::config
