#include "vanillahill/fleet/follower.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>

namespace vanillahill::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Start = TimePoint{} + std::chrono::hours(1);
constexpr Duration Bound = seconds(2);

/// Simulates a fleet of several data centres whose store is away at times and returns from a copy
/// in a new era. The clock advances in steps of one millisecond. A VM that misses records gets the
/// position of the announcer within 400 ms, as by a snapshot.
class EraRun {
public:
  static constexpr std::size_t Vms = 500;
  static constexpr std::size_t LocalVms = 84;
  static constexpr Duration DatagramTime = milliseconds(2);
  static constexpr Duration MaxFetchTime = milliseconds(400);
  /// Records are appended at this interval.
  static constexpr Duration RecordInterval = milliseconds(60);

  /// The store is away before it returns.
  struct Return {
    TimePoint m_AwayFrom{};
    TimePoint m_At{};
    /// Age of the copy at the time when the store went away.
    Duration m_Lost{};
  };

  explicit EraRun(std::vector<Return> Returns) : m_Returns(std::move(Returns)) {
    for (std::size_t Vm = 0; Vm < Vms; ++Vm) {
      m_Vms.push_back(Follower({.m_Bound = Bound, .m_Seed = Vm + 1}));
      m_Vms.back().setFleetSize(Vms, LocalVms);
      for (const Stream Which : {Stream::Configuration, Stream::Servers}) {
        m_Vms.back().adopt(Which, end(Start), Start);
      }
    }
  }

  /// These VMs neither reach the store nor other VMs from m_CutFrom to m_CutTo.
  std::size_t m_CutVms = 0;
  TimePoint m_CutFrom{};
  TimePoint m_CutTo{};
  /// All VMs start anew at this time.
  TimePoint m_RestartAt = TimePoint::max();
  /// How long the store takes to answer.
  Duration m_ReadTime = milliseconds(30);
  /// The records before this time are deleted then.
  TimePoint m_DeletedAt = TimePoint::max();
  /// Listings asked for from this time on.
  TimePoint m_CountFrom = Start;
  std::size_t m_Listings = 0;
  /// How often a VM took records that follow others of their era which it did not know.
  std::size_t m_Skips = 0;
  /// When all VMs knew the last era in both streams; max() while they do not.
  TimePoint m_AllKnowAt = TimePoint::max();

  void run(TimePoint Until) {
    for (TimePoint Now = Start; Now < Until; Now += milliseconds(1)) {
      if (Now == m_RestartAt) {
        restart(Now);
      }
      for (std::size_t Vm = 0; Vm < Vms; ++Vm) {
        step(Vm, Now);
      }
      for (auto Due = m_Events.begin(); Due != m_Events.end() && Due->first <= Now;
           Due = m_Events.erase(Due)) {
        Due->second(Now);
      }
      if (!m_Returns.empty() && Now >= m_Returns.back().m_At && m_AllKnowAt == TimePoint::max() &&
          allKnow(Now)) {
        m_AllKnowAt = Now;
      }
    }
  }

  /// Age of the oldest content that any VM has.
  Duration largestAge(TimePoint Now) const {
    Duration Largest{};
    for (const Follower &Reader : m_Vms) {
      for (const Stream Which : {Stream::Configuration, Stream::Servers}) {
        Largest = std::max(Largest, Now - Reader.currentAt(Which).value_or(Start));
      }
    }
    return Largest;
  }

  /// Number of VMs that know a position which the store does not have.
  std::size_t vmsBehindTheEnd(TimePoint Now) const {
    return static_cast<std::size_t>(
        std::count_if(m_Vms.begin(), m_Vms.end(), [&](const Follower &Reader) {
          const SnapshotRequest Known = Reader.known();
          return std::max(Known.m_ConfigurationTo, Known.m_ServersTo) > end(Now);
        }));
  }

private:
  bool isAway(TimePoint Now) const {
    return std::any_of(m_Returns.begin(), m_Returns.end(),
                       [&](const Return &One) { return One.m_AwayFrom <= Now && Now < One.m_At; });
  }

  bool isCut(std::size_t Vm, TimePoint Now) const {
    return Vm < m_CutVms && m_CutFrom <= Now && Now < m_CutTo;
  }

  /// End of both streams; each return takes back the records of the copy's age.
  Position end(TimePoint Now) const {
    Position End{.m_Offset = 100};
    TimePoint From = Start;
    for (const Return &One : m_Returns) {
      if (One.m_At > Now) {
        break;
      }
      End.m_Offset += static_cast<std::uint64_t>((One.m_AwayFrom - From) / RecordInterval);
      End.m_Offset -= static_cast<std::uint64_t>(One.m_Lost / RecordInterval);
      ++End.m_Era;
      From = One.m_At;
    }
    End.m_Offset += static_cast<std::uint64_t>((Now - From) / RecordInterval);
    return End;
  }

  bool allKnow(TimePoint Now) const {
    return std::all_of(m_Vms.begin(), m_Vms.end(), [&](const Follower &Reader) {
      return Reader.isComplete() && Reader.known().m_ConfigurationTo.m_Era == end(Now).m_Era &&
             Reader.known().m_ServersTo.m_Era == end(Now).m_Era;
    });
  }

  void restart(TimePoint Now) {
    m_Events.clear();
    for (std::size_t Vm = 0; Vm < Vms; ++Vm) {
      m_Vms[Vm] = Follower({.m_Bound = Bound, .m_Seed = Vm + 1});
      m_Vms[Vm].setFleetSize(Vms, LocalVms);
      m_Vms[Vm].spreadFirstReads(LocalVms, Now);
    }
  }

  void step(std::size_t Vm, TimePoint Now) {
    const auto Which = m_Vms[Vm].nextRead(Now);
    if (!Which) {
      return;
    }
    const auto From = m_Vms[Vm].position(*Which);
    m_Listings += !From && Now >= m_CountFrom ? 1 : 0;
    m_Events.emplace(Now + m_ReadTime, [this, Vm, Which = *Which, From, Now](TimePoint Ended) {
      finishRead(Vm, Which, From, Now, Ended);
    });
  }

  void finishRead(std::size_t Vm, Stream Which, std::optional<Position> From, TimePoint AskedAt,
                  TimePoint Now) {
    Follower &Reader = m_Vms[Vm];
    if (isAway(AskedAt) || isCut(Vm, AskedAt) || isAway(Now) || isCut(Vm, Now)) {
      Reader.readFailed(Which, false, Now);
      return;
    }
    const Position To = end(Now);
    const bool IsDeleted = From && Now >= m_DeletedAt && *From < end(m_DeletedAt);
    if (IsDeleted || (From && From->m_Offset > To.m_Offset)) {
      Reader.noteEra(To.m_Era, Now);
      Reader.readFailed(Which, true, Now);
      return;
    }
    if (!Reader.answered(Which, From, To, Now)) {
      return;
    }
    m_Skips += From && From->m_Era != To.m_Era ? 1 : 0;
    const auto KnownTo = Reader.knownTo(Which);
    Reader.readSucceeded(Which, To, AskedAt, Now);
    const RecordRange Range{.m_Stream = Which,
                            .m_From = From.value_or(std::min(KnownTo.value_or(To), To)),
                            .m_To = To,
                            .m_AskedAt = AskedAt};
    m_Events.emplace(Now + DatagramTime,
                     [this, Vm, Range](TimePoint Arrived) { announce(Vm, Range, Arrived); });
  }

  void announce(std::size_t Sender, const RecordRange &Range, TimePoint Now) {
    std::uniform_int_distribution<Duration::rep> FetchTime(0, MaxFetchTime.count());
    for (std::size_t Vm = 0; Vm < Vms; ++Vm) {
      if (Vm == Sender || isCut(Vm, Now) || isCut(Sender, Now)) {
        continue;
      }
      const bool IsMissing = !m_Vms[Vm].reaches(Range) && Range.m_To.m_Era >= m_Vms[Vm].era();
      const Position Before = m_Vms[Vm].knownTo(Range.m_Stream).value_or(Position{});
      const bool IsDifference = Range.m_From.m_Era < Range.m_To.m_Era;
      const bool Follows = IsDifference ? toString(Before) == toString(Range.m_From)
                                        : Before.m_Era == Range.m_From.m_Era;
      m_Skips += m_Vms[Vm].heard(Range, Now) && !Follows ? 1 : 0;
      if (IsMissing) {
        m_Events.emplace(Now + Duration(FetchTime(m_Random)), [this, Vm, Range](TimePoint Ended) {
          if (!isCut(Vm, Ended)) {
            m_Vms[Vm].adopt(Range.m_Stream, Range.m_To, Range.m_AskedAt);
          }
        });
      }
    }
  }

  std::vector<Return> m_Returns;
  std::mt19937_64 m_Random{7};
  std::vector<Follower> m_Vms;
  std::multimap<TimePoint, std::function<void(TimePoint)>> m_Events;
};

/// At the return all VMs try again at about the same time. Each that met the new era before the
/// first listing was announced listed both streams, which is most of them at a slow store.
TEST(Eras, InANewEraFewVmsListForAll) {
  const TimePoint ReturnAt = Start + seconds(6);
  EraRun Fleet({{.m_AwayFrom = ReturnAt - seconds(2), .m_At = ReturnAt, .m_Lost = seconds(3)}});
  Fleet.m_ReadTime = milliseconds(250);
  Fleet.m_CountFrom = ReturnAt;
  Fleet.run(ReturnAt + seconds(4));
  EXPECT_LT(Fleet.m_AllKnowAt, ReturnAt + Bound);
  EXPECT_LT(Fleet.m_Listings, 80U);
}

/// No VM had a failed read: only those that read at the return list.
TEST(Eras, AnEraDuringACalmDayCostsFewListings) {
  const TimePoint ReturnAt = Start + seconds(6);
  EraRun Fleet({{.m_AwayFrom = ReturnAt, .m_At = ReturnAt, .m_Lost = seconds(3)}});
  Fleet.m_CountFrom = ReturnAt;
  Fleet.run(ReturnAt + seconds(4));
  EXPECT_LT(Fleet.m_AllKnowAt, ReturnAt + Bound);
  EXPECT_LT(Fleet.m_Listings, 20U);
  EXPECT_EQ(Fleet.m_Skips, 0U);
  EXPECT_EQ(Fleet.vmsBehindTheEnd(ReturnAt + seconds(4)), 0U);
  EXPECT_LT(Fleet.largestAge(ReturnAt + seconds(4)), Bound * 3 / 4);
}

/// A third of the VMs is cut off when the store returns, and meets the era from the others later.
TEST(Eras, VmsThatWereCutOffTakeTheEraFromTheOthers) {
  const TimePoint ReturnAt = Start + seconds(6);
  EraRun Fleet({{.m_AwayFrom = ReturnAt - seconds(1), .m_At = ReturnAt, .m_Lost = seconds(3)}});
  Fleet.m_CutVms = EraRun::Vms / 3;
  Fleet.m_CutFrom = ReturnAt - seconds(3);
  Fleet.m_CutTo = ReturnAt + seconds(5);
  Fleet.m_CountFrom = Fleet.m_CutTo;
  Fleet.run(Fleet.m_CutTo + seconds(4));
  EXPECT_LT(Fleet.m_AllKnowAt, Fleet.m_CutTo + Bound);
  EXPECT_LT(Fleet.m_Listings, 40U);
  EXPECT_EQ(Fleet.m_Skips, 0U);
  EXPECT_EQ(Fleet.vmsBehindTheEnd(Fleet.m_CutTo + seconds(4)), 0U);
  EXPECT_LT(Fleet.largestAge(Fleet.m_CutTo + seconds(4)), Bound * 3 / 4);
}

/// Announcements of the first new era are on their way when the second one begins.
TEST(Eras, TwoErasWithinASecondEndInTheLaterOne) {
  const TimePoint ReturnAt = Start + seconds(6);
  for (const Duration Between : {milliseconds(35), milliseconds(64), milliseconds(600)}) {
    EraRun Fleet({{.m_AwayFrom = ReturnAt - seconds(1), .m_At = ReturnAt, .m_Lost = seconds(2)},
                  {.m_AwayFrom = ReturnAt + Between, .m_At = ReturnAt + Between, .m_Lost = {}}});
    Fleet.m_CountFrom = ReturnAt;
    Fleet.run(ReturnAt + seconds(5));
    EXPECT_LT(Fleet.m_AllKnowAt, ReturnAt + Between + Bound) << toMillis(Between);
    EXPECT_LT(Fleet.m_Listings, 160U) << toMillis(Between);
    EXPECT_EQ(Fleet.m_Skips, 0U);
    EXPECT_EQ(Fleet.vmsBehindTheEnd(ReturnAt + seconds(5)), 0U);
    EXPECT_LT(Fleet.largestAge(ReturnAt + seconds(5)), Bound * 3 / 4) << toMillis(Between);
  }
}

/// All VMs lose power while the store is away, and start in the new era without any knowledge.
TEST(Eras, AllVmsThatStartInANewEraKnowItSoon) {
  const TimePoint ReturnAt = Start + seconds(6);
  EraRun Fleet({{.m_AwayFrom = ReturnAt - seconds(1), .m_At = ReturnAt, .m_Lost = seconds(3)}});
  Fleet.m_RestartAt = ReturnAt - milliseconds(300);
  Fleet.m_CountFrom = ReturnAt;
  Fleet.run(ReturnAt + seconds(4));
  EXPECT_LT(Fleet.m_AllKnowAt, ReturnAt + Bound);
  EXPECT_LT(Fleet.m_Listings, 120U);
  EXPECT_EQ(Fleet.m_Skips, 0U);
  EXPECT_EQ(Fleet.vmsBehindTheEnd(ReturnAt + seconds(4)), 0U);
  EXPECT_LT(Fleet.largestAge(ReturnAt + seconds(4)), Bound * 3 / 4);
}

/// An older platform tells no era and answers 410 when it has deleted its history.
TEST(Eras, WithoutAnEraAnAnsweredLostPositionCostsFewListings) {
  const TimePoint DeletedAt = Start + seconds(6);
  EraRun Fleet({});
  Fleet.m_DeletedAt = DeletedAt;
  Fleet.m_CountFrom = DeletedAt;
  Fleet.run(DeletedAt + seconds(4));
  EXPECT_EQ(Fleet.m_Skips, 0U);
  EXPECT_EQ(Fleet.vmsBehindTheEnd(DeletedAt + seconds(4)), 0U);
  EXPECT_LT(Fleet.m_Listings, 40U);
  EXPECT_LT(Fleet.largestAge(DeletedAt + seconds(4)), Bound * 3 / 4);
}

} // namespace
} // namespace vanillahill::fleet
