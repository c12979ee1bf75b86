/// \file
/// Decides when this VM reads the store and which of the records it announces to the other VMs.
/// Does no I/O itself: the owner carries out the reads and sends the messages.
#pragma once

#include "vanillahill/core/time.hpp"
#include "vanillahill/fleet/position.hpp"
#include "vanillahill/fleet/snapshot_request.hpp"
#include "vanillahill/fleet/standing_read.hpp"
#include "vanillahill/fleet/vm_info.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
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

/// Consecutive records of one stream; or, when the range begins in an earlier era than it ends, the
/// difference between what was known at its begin and a listing.
struct RecordRange {
  Stream m_Stream = Stream::Configuration;
  /// Position of the first record.
  Position m_From;
  /// Position behind the last record.
  Position m_To;
  /// When the read was sent: the range holds everything that the store had acknowledged by then.
  TimePoint m_AskedAt{};
  std::vector<Record> m_Records;
  /// For how long after m_AskedAt the store held the read, since it had no further record.
  Duration m_HeldFor{};
  /// Rank of the reader; nothing unless it keeps a standing read.
  std::optional<ReaderRank> m_KeeperRank;

  /// \brief When the store had no further record. Not a proof: held reads may miss records during a
  /// disturbance of the store.
  TimePoint currentAt() const { return m_AskedAt + m_HeldFor; }
};

struct FollowerOptions {
  /// Every VM must know a record within this time after the store acknowledged it.
  Duration m_Bound = std::chrono::seconds(2);
  std::uint64_t m_Seed = 0;
  /// Rate of this VM's link; 0 when it is not known.
  double m_LinkBitsPerSecond = 0.0;
  /// See StandingRead; nothing when the store cannot hold a read.
  std::optional<ReaderRank> m_Rank;

  std::uint32_t linkClass() const { return m_Rank ? m_Rank->m_LinkClass : VmInfo::UnknownLink; }
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
  /// Time after which a stream is read again while another VM keeps a standing read of it, as a
  /// share of the bound: its next announcement is due before. The second one is for VMs that get
  /// long records first.
  static constexpr double KeptPeriodShare = StandingRead::HoldShare + 0.1;
  static constexpr double KeptPeriodShareOfFirst = StandingRead::HoldShare + 0.06;
  /// Shortest time between two standing reads of this VM, as a share of the bound.
  static constexpr double MinStandingPeriodShare = 0.02;
  /// Largest random delay before this VM replaces the keeper of the standing read.
  static constexpr double ReplaceSpreadShare = 0.05;
  /// Average number of VMs whose random delay is in the first half of the spread. With more,
  /// several would read before the first one's announcement reaches them; with fewer, there would
  /// often be none.
  static constexpr double EarlyVms = 4.0;
  /// Upper limit of the delay that is added for a slow store, as a share of the bound.
  static constexpr double MaxSlowStoreShare = 0.15;
  /// Time that a VM has to get announced records from another VM, as a share of the bound.
  static constexpr double FetchTimeShare = 0.25;
  /// Largest random time added to it for records that are too long for an announcement, as a share
  /// of the bound. VMs that all read them at the same time would wait long for the store.
  static constexpr double FetchSpreadShare = 0.25;
  /// Bounds of the age of what is known at which the store is read although records are being
  /// fetched, as shares of the bound. The rest of the bound is for the read.
  static constexpr double MinFetchAgeShare = 0.55;
  static constexpr double MaxFetchAgeShare = 0.7;
  /// Average number of VMs of one data centre that read the store when all of them start at the
  /// same time; the others fetch a snapshot from one of these.
  static constexpr double FirstReadVms = 8.0;
  /// Bounds of the delay after which a VM that has still no snapshot reads the store itself.
  static constexpr Duration MinFirstReadDelay = std::chrono::milliseconds(500);
  static constexpr Duration MaxFirstReadDelay = std::chrono::milliseconds(1200);
  /// Pause after the first of several failed reads in a row; doubled after each further one.
  static constexpr Duration InitialBackoff = std::chrono::milliseconds(150);
  /// Reads of both streams run at the same time when the first one has run for longer than this
  /// share of the bound, and the age of what is known of the other stream exceeds the second one:
  /// long records take longer than the other stream may wait. After a lost position the other
  /// stream waits all the same: another VM is likely to announce its listing meanwhile.
  static constexpr double LongReadShare = 0.05;
  static constexpr double UrgentAgeShare = 0.6;
  /// Upper limit of the pause, before it is varied at random by up to 25 %.
  static constexpr Duration MaxBackoff = std::chrono::milliseconds(800);

  explicit Follower(FollowerOptions Options);

  /// \brief Replaces FollowerOptions::m_Bound.
  void setBound(Duration Bound) {
    m_Options.m_Bound = Bound;
    m_Standing.setBound(Bound);
  }

  /// \brief Sets the number of VMs in the fleet and in the data centre, including this one.
  void setFleetSize(std::size_t Vms, std::size_t LocalVms) {
    m_FleetSize = Vms;
    m_LocalVms = LocalVms;
  }

  /// \brief Sets whether this VM is one of those of its data centre that get long records first.
  void setIsFirst(bool IsFirst) { m_IsFirst = IsFirst; }

  /// \brief Where the part of a range begins that no VM is known to have announced.
  /// \return the position of its first record; the end of the range when all was announced
  Position untoldFrom(const RecordRange &Range) const;

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

  /// \brief Starts the next read, if one is due: one at a time, or one of each stream when the
  /// first one lasts. The caller must report its end with readSucceeded() or readFailed().
  /// \return the stream to read
  std::optional<Stream> nextRead(TimePoint Now);

  /// \brief Whether a read of a stream runs that may bring records at any moment.
  bool isReading(Stream Which) const { return state(Which).m_ReadingSince.has_value(); }

  /// \brief For how long the store may hold the read that nextRead() has started; zero unless it is
  /// a standing read.
  Duration holdTime(Stream Which) const { return state(Which).m_HoldTime; }

  /// \brief For how long the store held a read.
  /// \param AnsweredAfter time from the read's begin to the first byte of its answer
  Duration heldFor(Stream Which, Duration AnsweredAfter) const;

  /// \brief Rank of this VM while it keeps the standing read.
  std::optional<ReaderRank> keeperRank(TimePoint Now) const {
    return m_Standing.isKeeper(Now) ? m_Options.m_Rank : std::nullopt;
  }

  /// \brief When the next read of a stream is due.
  TimePoint dueAt(Stream Which) const { return state(Which).m_NextReadAt; }

  /// \brief When nextRead() should be called next; max() while both streams are read.
  TimePoint nextTimer() const;

  /// \brief Position at which the next read of a stream begins; nothing when a listing with the
  /// newest record of every key is to be read instead. Several configurations are listed: only the
  /// newest is of use, and each may be large.
  std::optional<Position> position(Stream Which) const;

  /// \brief Position up to which the records of a stream are known; nothing before the first read.
  std::optional<Position> knownTo(Stream Which) const { return state(Which).m_Position; }

  /// \brief Whether the records of a stream are known up to a position.
  bool knows(Stream Which, const Position &To) const {
    return knownTo(Which).value_or(Position{}) >= To;
  }

  /// \brief What is known of both streams; the first position before the first read.
  SnapshotRequest known() const {
    return {.m_ConfigurationTo = knownTo(Stream::Configuration).value_or(Position{}),
            .m_ServersTo = knownTo(Stream::Servers).value_or(Position{})};
  }

  /// \brief Latest era that the store or another VM reported.
  std::uint64_t era() const { return m_Era; }

  /// \brief Takes the era that the store reported. In a new era the streams are listed: at once,
  /// or, when reads had failed before and all VMs may learn of the era now, as by
  /// spreadFirstReads().
  void noteEra(std::uint64_t Era, TimePoint Now);

  /// \brief Reports that a read was answered, before its records are used.
  /// \param From where the read began; nothing for a listing
  /// \param To where the next read begins
  /// \return whether the records can be used: not when they are of an earlier era, or follow a
  /// position of an earlier era. The read has then ended
  bool answered(Stream Which, const std::optional<Position> &From, const Position &To,
                TimePoint Now);

  /// \brief Whether this is the first report of something outdated in this era.
  bool isFirstOutdated() { return !std::exchange(m_HasNotedOutdated, true); }

  /// \brief Reports that a read succeeded.
  /// \param To position at which the next read begins
  /// \param AskedAt when the read was sent
  /// \param HeldFor see heldFor()
  /// \return whether the store had been unreachable until now
  bool readSucceeded(Stream Which, const Position &To, TimePoint AskedAt, TimePoint Now,
                     Duration HeldFor = {});

  /// \brief Reports that a read failed.
  /// \param IsPositionLost the store no longer has the position: a listing is read next
  void readFailed(Stream Which, bool IsPositionLost, TimePoint Now);

  /// \brief Whether no record is missing between the known ones and those of a range.
  bool reaches(const RecordRange &Range) const;

  /// \brief Takes the announcement of another VM; one of an earlier era is ignored. When records
  /// before the range are missing here, a read of the stream becomes due as by readSoon(). \return
  /// whether the range holds new records and none is missing before it: the caller applies the
  /// records
  bool heard(const RecordRange &Range, TimePoint Now);

  /// \brief Records that the content of a stream was received from another VM.
  /// \param To position up to which the content is complete
  /// \param CurrentAt when that VM was last up to date
  void adopt(Stream Which, const Position &To, TimePoint CurrentAt);

  /// \brief Makes a read of a stream due soon: another VM announced records that are missing here.
  /// Until then, this VM may get them from another one.
  /// \param To position behind the last record
  void readSoon(Stream Which, const Position &To, TimePoint Now);

  /// \brief Makes a read of a stream due at once: records that are too long for an announcement are
  /// at the store, and this VM is to read them for the others of its data centre.
  void readAtOnce(Stream Which, const Position &To, TimePoint Now);

  /// \brief Like readSoon(), for records that are too long for an announcement: VMs fetch them from
  /// each other, and those that have not got them read the store at a random time. The regular read
  /// is postponed until then.
  /// \param MissingFrom the store did not have the records before this time, as far as is known
  void readUnlessFetched(Stream Which, const Position &To, TimePoint Now,
                         TimePoint MissingFrom = TimePoint::min());

  /// \brief Number of consecutive failed reads.
  std::uint32_t failures() const { return m_Failures; }

  /// \brief When a stream was last known to be up to date; nothing before the first time.
  std::optional<TimePoint> currentAt(Stream Which) const { return state(Which).m_CurrentAt; }

private:
  struct StreamState {
    std::optional<Position> m_Position;
    /// The store no longer has the records from m_Position on.
    bool m_IsPositionLost = false;
    std::optional<TimePoint> m_CurrentAt;
    /// How long the last known read took, by this VM or another one.
    Duration m_ReadTime{};
    TimePoint m_NextReadAt{};
    /// Latest time of the next read while records are being fetched.
    std::optional<TimePoint> m_ReadBy;
    /// Position up to which some VM announced the records to all others.
    Position m_AnnouncedTo;
    /// For how long the store may hold the running or last read.
    Duration m_HoldTime{};
    /// Time that the last held read took beyond the time for which it was held.
    Duration m_RoundTrip{};
    /// When the running read began; nothing while none runs.
    std::optional<TimePoint> m_ReadingSince;
    /// Where the running or last read began; nothing for a listing.
    std::optional<Position> m_ReadFrom;
  };

  StreamState &state(Stream Which) { return m_Streams[static_cast<std::size_t>(Which)]; }
  const StreamState &state(Stream Which) const {
    return m_Streams[static_cast<std::size_t>(Which)];
  }
  void scheduleRead(Stream Which, TimePoint Now);
  Duration shareOfBound(double Share) const {
    return std::chrono::duration_cast<Duration>(m_Options.m_Bound * Share);
  }
  /// \return for how long the store may hold a read that begins now
  Duration holdTimeAt(Stream Which, TimePoint Now) const;
  /// \return whether a listing must be read, since the store's position is another one
  bool isPositionLost(const StreamState &State) const;
  /// \return when a read of the stream may begin, as far as reads that run now are concerned
  TimePoint mayReadFrom(Stream Which) const;
  /// \return whether the era is new
  bool hearEra(std::uint64_t Era);

  FollowerOptions m_Options;
  std::mt19937_64 m_Random;
  /// Of the configuration: the records of servers change all the time, so that none is held.
  StandingRead m_Standing;
  std::array<StreamState, StreamCount> m_Streams;
  std::uint64_t m_Era = 0;
  /// Something of an earlier era was reported in this one.
  bool m_HasNotedOutdated = false;
  std::uint32_t m_Failures = 0;
  std::size_t m_FleetSize = 1;
  std::size_t m_LocalVms = 1;
  bool m_IsFirst = false;
  /// Back-off after failed reads: no read starts before this time.
  TimePoint m_PausedUntil{};
};

} // namespace vanillahill::fleet
