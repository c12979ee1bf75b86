/// \file
/// Decides when this VM reads the store and which of the records it announces to the other VMs.
/// Does no I/O itself: the owner carries out the reads and sends the messages.
#pragma once

#include "vanillahill/core/time.hpp"
#include "vanillahill/fleet/position.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahill::fleet {

/// The streams of the store that a VM reads.
enum class Stream : std::uint8_t { Configuration, Servers };
inline constexpr std::size_t StreamCount = 2;

/// \brief Name of a stream in logs.
inline std::string_view toString(Stream Which) {
  return Which == Stream::Configuration ? "configuration" : "servers";
}

/// One record of a stream.
struct Record {
  std::string m_Key;
  /// Nothing when the key was removed.
  std::optional<std::string> m_Value;
};

/// Consecutive records of one stream.
struct RecordRange {
  Stream m_Stream = Stream::Configuration;
  /// Offset of the first record.
  std::uint64_t m_From = 0;
  /// Offset behind the last record.
  std::uint64_t m_To = 0;
  /// When the read was sent: the range holds everything that the store had acknowledged by then.
  TimePoint m_AskedAt{};
  std::vector<Record> m_Records;
};

struct FollowerOptions {
  /// Every VM must know a record within this time after the store acknowledged it.
  Duration m_Bound = std::chrono::seconds(2);
  std::uint64_t m_Seed = 0;
};

/// Reads a stream when no VM is known to have read it recently. Each VM adds a random delay to the
/// read period, so that usually one of them reads first and announces the records to the others,
/// which then postpone their own reads. Not thread safe.
class Follower {
public:
  /// Period after which a stream is read again, as a share of the bound.
  static constexpr double ReadPeriodShare = 0.3;
  /// Largest random delay added to the read period, as a share of the bound.
  static constexpr double ReadSpreadShare = 0.25;
  /// Average number of VMs whose random delay is in the first half of the spread. With more,
  /// several would read before the first one's announcement reaches them; with fewer, there would
  /// often be none.
  static constexpr double EarlyVms = 4.0;
  /// Upper limit of the delay that is added for a slow store, as a share of the bound.
  static constexpr double MaxSlowStoreShare = 0.15;
  /// Time that a VM has to get announced records from another VM, as a share of the bound.
  static constexpr double FetchTimeShare = 0.25;
  /// Average number of VMs of one data centre that read the store when all of them start at the
  /// same time; the others fetch a snapshot from one of these.
  static constexpr double FirstReadVms = 8.0;
  /// Bounds of the delay after which a VM that has still no snapshot reads the store itself.
  static constexpr Duration MinFirstReadDelay = std::chrono::milliseconds(500);
  static constexpr Duration MaxFirstReadDelay = std::chrono::milliseconds(1200);
  /// Pause after the first of several failed reads in a row; doubled after each further one.
  static constexpr Duration InitialBackoff = std::chrono::milliseconds(150);
  /// Upper limit of the pause, before it is varied at random by up to 25 %.
  static constexpr Duration MaxBackoff = std::chrono::milliseconds(800);

  explicit Follower(FollowerOptions Options);

  /// \brief Replaces FollowerOptions::m_Bound.
  void setBound(Duration Bound) { m_Options.m_Bound = Bound; }

  /// \brief Sets the number of VMs in the fleet, including this one.
  void setFleetSize(std::size_t Vms) { m_FleetSize = Vms; }

  /// \brief Where the part of a range begins that no VM is known to have announced.
  /// \return the offset of its first record; the end of the range when all was announced
  std::uint64_t untoldFrom(const RecordRange &Range) const;

  /// \brief Records that a range was announced to all other VMs.
  void told(const RecordRange &Range);

  /// \brief Starts no read before the given time: other VMs may have a snapshot.
  void pauseUntil(TimePoint Until) { m_PausedUntil = std::max(m_PausedUntil, Until); }

  /// \brief Called when this VM knows the VMs of its data centre and none has a catalog yet: a few
  /// VMs, drawn at random, read the store at once and the others later.
  /// \param LocalVms number of VMs in the data centre, including this one
  void spreadFirstReads(std::size_t LocalVms, TimePoint Now);

  /// \brief Whether every stream was read or adopted.
  bool isComplete() const;

  /// \brief Starts the next read, if one is due. The caller must report its end with
  /// readSucceeded() or readFailed().
  /// \return the stream to read
  std::optional<Stream> nextRead(TimePoint Now);

  /// \brief When nextRead() should be called next; max() while a read runs.
  TimePoint nextTimer() const;

  /// \brief Offset at which the next read of a stream begins; nothing when a listing with the
  /// newest record of every key is to be read instead.
  std::optional<std::uint64_t> position(Stream Which) const;

  /// \brief Offset up to which the records of a stream are known; nothing before the first read.
  std::optional<std::uint64_t> knownTo(Stream Which) const { return state(Which).m_Position; }

  /// \brief Reports that a read succeeded.
  /// \param To offset at which the next read begins
  /// \param AskedAt when the read was sent
  /// \return whether the store had been unreachable until now
  bool readSucceeded(Stream Which, std::uint64_t To, TimePoint AskedAt, TimePoint Now);

  /// \brief Reports that a read failed.
  /// \param IsPositionLost the store no longer has the position: a listing is read next
  void readFailed(Stream Which, bool IsPositionLost, TimePoint Now);

  /// \brief Takes the announcement of another VM. When records before the range are missing here,
  /// a read of the stream becomes due as by readSoon().
  /// \return whether the range holds new records and none is missing before it: the caller applies
  /// the records
  bool heard(const RecordRange &Range, TimePoint Now);

  /// \brief Records that the content of a stream was received from another VM.
  /// \param To offset up to which the content is complete
  /// \param CurrentAt when that VM was last up to date
  void adopt(Stream Which, std::uint64_t To, TimePoint CurrentAt);

  /// \brief Makes a read of a stream due soon: another VM announced records that are missing here.
  /// Until then, this VM may get them from another one.
  /// \param To offset behind the last record
  void readSoon(Stream Which, std::uint64_t To, TimePoint Now);

  /// \brief Number of consecutive failed reads.
  std::uint32_t failures() const { return m_Failures; }

  /// \brief When a stream was last known to be up to date; nothing before the first time.
  std::optional<TimePoint> currentAt(Stream Which) const { return state(Which).m_CurrentAt; }

private:
  struct StreamState {
    std::optional<std::uint64_t> m_Position;
    /// The store no longer has the records from m_Position on.
    bool m_IsPositionLost = false;
    std::optional<TimePoint> m_CurrentAt;
    /// How long the last known read took, by this VM or another one.
    Duration m_ReadTime{};
    TimePoint m_NextReadAt{};
    /// Offset up to which some VM announced the records to all others.
    std::uint64_t m_AnnouncedTo = 0;
  };

  StreamState &state(Stream Which) { return m_Streams[static_cast<std::size_t>(Which)]; }
  const StreamState &state(Stream Which) const {
    return m_Streams[static_cast<std::size_t>(Which)];
  }
  void scheduleRead(StreamState &State);

  FollowerOptions m_Options;
  std::mt19937_64 m_Random;
  std::array<StreamState, StreamCount> m_Streams;
  std::optional<Stream> m_Reading;
  std::uint32_t m_Failures = 0;
  std::size_t m_FleetSize = 1;
  /// Back-off after failed reads: no read starts before this time.
  TimePoint m_PausedUntil{};
};

} // namespace vanillahill::fleet
