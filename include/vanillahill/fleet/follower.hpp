/// \file
/// Decides when this VM reads the store and what it tells the other VMs of it. No input or output:
/// the owner carries out what it asks for.
#pragma once

#include "vanillahill/core/time.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace vanillahill::fleet {

/// Streams of the store that a VM follows.
enum class Stream : std::uint8_t { Configuration, Servers };
inline constexpr std::size_t StreamCount = 2;

/// One record of a stream.
struct Record {
  std::string m_Key;
  /// Nothing when the key was removed.
  std::optional<std::string> m_Value;
};

/// Records of one stream, one after the other.
struct RecordRange {
  Stream m_Stream = Stream::Configuration;
  /// Offset of the first record, and the one behind the last.
  std::uint64_t m_From = 0;
  std::uint64_t m_To = 0;
  /// When the store was asked: everything it had acknowledged by then is in the range.
  TimePoint m_AskedAt{};
  std::vector<Record> m_Records;
};

struct FollowerOptions {
  /// Every VM must know what the store acknowledged within this time.
  Duration m_Bound = std::chrono::seconds(2);
  std::uint64_t m_Seed = 0;
};

/// Reads a stream when no VM is known to have read it of late. Each VM waits for a random time more
/// than the period, so that one of them reads and tells the others. Not thread safe.
class Follower {
public:
  /// Share of the bound after which a stream is read again.
  static constexpr double PeriodShare = 0.3;
  /// Spread of the reads of different VMs, as a share of the bound.
  static constexpr double SpreadShare = 0.25;
  /// VMs of a fleet that wait for less than half of the spread, on average. With more, several
  /// would read before the first one's word reaches them; with fewer, often none would.
  static constexpr double EarlyVms = 4.0;
  /// Pauses after failed reads.
  static constexpr Duration ShortestPause = std::chrono::milliseconds(150);
  static constexpr Duration LongestPause = std::chrono::milliseconds(800);

  explicit Follower(FollowerOptions Options);

  /// \brief Replaces the bound within which everything must be known.
  void setBound(Duration Bound) { m_Options.m_Bound = Bound; }

  /// \brief VMs of the fleet, with this one.
  void setFleetSize(std::size_t Vms) { m_FleetSize = Vms; }

  /// \brief The part of a range that no VM is known to have told: other VMs need no more.
  /// \return the offset from which on it is new; the range's end when nothing is
  std::uint64_t untoldFrom(const RecordRange &Range) const;

  /// \brief A range was told to all others.
  void told(const RecordRange &Range);

  /// \brief The stream to read now, if any; the caller then reports how that ended.
  std::optional<Stream> nextRead(TimePoint Now);

  /// \brief When nextRead() may have something to do; max() while a read runs.
  TimePoint nextTimer() const;

  /// \brief Where the next read of a stream begins; nothing when the newest record of every key is
  /// to be read.
  std::optional<std::uint64_t> position(Stream Which) const;

  /// \brief A read of the store succeeded.
  /// \param To offset to go on from
  /// \param AskedAt when the read was sent
  /// \return whether the store had been out of reach until now
  bool readSucceeded(Stream Which, std::uint64_t To, TimePoint AskedAt, TimePoint Now);

  /// \brief A read failed. \param IsPositionLost the store no longer has the position
  void readFailed(Stream Which, bool IsPositionLost, TimePoint Now);

  /// \brief Another VM told what it had read.
  /// \return whether the records follow on what is known here and are to be taken
  bool heard(const RecordRange &Range, TimePoint Now);

  /// \brief Another VM gave everything that a stream holds up to an offset.
  void jumpTo(Stream Which, std::uint64_t To);

  /// \brief A stream has something that only the store can tell.
  void readSoon(Stream Which, TimePoint Now);

  /// \brief Failed reads in a row.
  std::uint32_t failures() const { return m_Failures; }

  /// \brief When a stream was last known to be up to date; nothing before the first time.
  std::optional<TimePoint> currentAt(Stream Which) const { return state(Which).m_CurrentAt; }

private:
  struct StreamState {
    std::optional<std::uint64_t> m_Position;
    std::optional<TimePoint> m_CurrentAt;
    TimePoint m_ReadAt{};
    /// End of what some VM told all others.
    std::uint64_t m_ToldTo = 0;
  };

  StreamState &state(Stream Which) { return m_Streams[static_cast<std::size_t>(Which)]; }
  const StreamState &state(Stream Which) const {
    return m_Streams[static_cast<std::size_t>(Which)];
  }
  void schedule(StreamState &Value);

  FollowerOptions m_Options;
  std::mt19937_64 m_Random;
  std::array<StreamState, StreamCount> m_Streams;
  std::optional<Stream> m_Reading;
  std::uint32_t m_Failures = 0;
  std::size_t m_FleetSize = 1;
  /// No read before then.
  TimePoint m_PausedUntil{};
};

} // namespace vanillahill::fleet
