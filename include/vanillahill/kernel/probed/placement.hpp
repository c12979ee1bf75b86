/// \file
/// Placement: which servers are sampled for a request, and which of them gets it.
#pragma once

#include "vanillahill/kernel/probed/backend_view.hpp"
#include "vanillahill/kernel/probed/subset_size.hpp"

#include <boost/container/static_vector.hpp>

#include <array>
#include <random>
#include <span>

namespace vanillahill::kernel::probed {

/// Servers sampled in one round of a search.
inline constexpr std::size_t ServersPerRound = 3;
/// Most rounds in one search.
inline constexpr std::size_t MaxRounds = 3;
/// Further rounds while only servers with a reserved last slot were found: with half of the servers
/// in that state, three rounds would refuse requests although there is capacity.
inline constexpr std::size_t MaxRoundsForFreeSlot = 4;
inline constexpr std::size_t MaxSampled = ServersPerRound * (MaxRounds + MaxRoundsForFreeSlot);
/// A server is good enough to end a search when the request's cost there is at most this multiple
/// of the usual time.
inline constexpr double GoodMultiple = 1.25;
/// Failure score from which a server is set aside for idempotent requests.
inline constexpr double SetAsideScore = 1.5;
/// The same for non-idempotent requests. They are not retried once they may have run, so one
/// failure is enough.
inline constexpr double SetAsideScoreNonIdempotent = 0.5;
/// The expected time grows by this share for each point of the failure score.
inline constexpr double FailurePenalty = 1.0;
/// A server in another data centre must be faster than a local one by this share of the usual time
/// to be chosen.
inline constexpr double RemotePenalty = 0.12;

/// Added to the cost of a full server, as a share of the usual time; a partly full one adds a part.
/// Servers that became slow without reporting it fill up, so the emptier one is the better choice
/// among servers that seem alike.
inline constexpr double LoadPenalty = 0.3;

/// With fewer local servers than this to sample, the first round samples a remote one as well: the
/// load of a data centre is often larger than its share of the servers.
inline constexpr std::size_t MinLocalChoice = 2 * ServersPerRound;

/// \brief Marks the servers that a VM prefers, by rendezvous hashing: VMs prefer different subsets
/// of a large service, and adding or removing a server changes little. A smaller subset is a part
/// of each larger one.
void choosePreferred(std::span<BackendView> Backends, VmId Self, const PreferredCounts &Counts);

/// What placement needs to know about a request.
struct SearchCriteria {
  /// Estimate for the request's kind.
  const WorkEstimate &m_Work;
  bool m_Idempotent = false;
  /// Servers that the request was already sent to.
  std::span<const ServerId> m_Tried;
  /// When the request arrived at this VM.
  TimePoint m_Arrived{};
  /// Time for which a server that says that it is leaving still serves requests.
  Duration m_DrainBound{};
  /// A server with at most this cost, in seconds, is good even if it is slower than usual, unless
  /// it is nearly full.
  double m_EnoughSeconds = 0.0;
  /// More urgent requests have arrived lately, for which last slots are reserved.
  bool m_SparesLastSlot = false;
  /// No other server may be used, so one that says that it is leaving may.
  bool m_UsesLeaving = false;
};

/// \brief Whether a server may get a request. Every choice of a server for a request or a probe
/// asks this.
bool isUsable(const BackendView &Backend, const SearchCriteria &Criteria, TimePoint Now);

/// What one round of a search samples.
struct RoundPlan {
  std::size_t m_Servers = ServersPerRound;
  /// Remote servers are sampled only when no local one is left.
  bool m_IsLocal = false;
  /// Local servers that have replied since then are sampled before others, as a connection to them
  /// is open.
  TimePoint m_OpenSince = TimePoint::max();
};

/// Open connections are preferred only while so many local servers have one: with fewer to choose
/// from, too often all are slow or busy.
inline constexpr std::size_t MinOpenChoice = 3;

/// The rounds of a search at a VM that sends few requests to the service. Most first servers are
/// good, so sampling them one by one saves probes; a further round costs a round trip.
inline constexpr std::array<RoundPlan, 5> RoundsWithFewProbes{{{.m_Servers = 1, .m_IsLocal = true},
                                                               {.m_Servers = 1, .m_IsLocal = true},
                                                               {.m_Servers = 1, .m_IsLocal = true},
                                                               {.m_Servers = 2},
                                                               {.m_Servers = 3}}};

/// Which reports recentBackends() uses.
struct RecentReports {
  /// Upper limit of servers.
  std::size_t m_Count = 0;
  Duration m_MaxAge{};
};

/// One request's search for a server.
struct Search {
  /// Servers considered so far: probed, or with a report that is still fresh.
  boost::container::static_vector<BackendIndex, MaxSampled> m_Sampled;
  /// How many of m_Sampled belong to earlier rounds.
  std::size_t m_RoundBegin = 0;
  std::size_t m_Rounds = 0;
  /// The rounds are those of RoundsWithFewProbes.
  bool m_UsesFewProbes = false;
  /// Latest end of the current round, also when replies to its probes are missing.
  TimePoint m_RoundDeadline{};
};

/// A server and the cost of a request there.
struct Candidate {
  BackendIndex m_Backend = 0;
  /// From costOf(), in seconds, and the load penalty.
  double m_Cost = 0.0;
  /// costOf() is at most GoodMultiple of the usual time, or SearchCriteria::m_EnoughSeconds.
  bool m_IsGood = false;
  /// No request runs there.
  bool m_IsIdle = false;
  /// The request must not take the last slot of the server.
  bool m_IsReserved = false;
};

/// \brief Cost of sending a request to a server, in seconds: the expected time, the time added to
/// requests that already run there, and penalties for a remote data centre and for failures.
double costOf(const BackendView &Backend, const SearchCriteria &Criteria, TimePoint Now);

/// \brief Samples servers at random for the next round of a search: local ones first; from the
/// second round on, one remote server.
/// \param Backends all servers of the service
/// \param Criteria the request
/// \param Sampled servers sampled in earlier rounds
/// \param Plan what the round samples
/// \return up to Plan.m_Servers servers; empty when none is left
/// \note Complexity: linear in the servers of the service.
boost::container::static_vector<BackendIndex, ServersPerRound>
sampleBackends(std::span<const BackendView> Backends, const SearchCriteria &Criteria,
               std::span<const BackendIndex> Sampled, const RoundPlan &Plan, TimePoint Now,
               std::mt19937_64 &Random);

/// \brief Finds the server with the lowest cost among those sampled that have a load report and no
/// outstanding probe. A server whose last slot is reserved is found only when there is no other.
/// \return nothing when there is none
std::optional<Candidate> findCheapest(std::span<const BackendView> Backends,
                                      const SearchCriteria &Criteria,
                                      std::span<const BackendIndex> Sampled, TimePoint Now);

/// \brief Chooses servers that need no probe because their last report is recent, cheapest first.
/// Load pattern: with probes scarce, a random server would be slow or nearly full too often.
boost::container::static_vector<BackendIndex, ServersPerRound>
recentBackends(std::span<const BackendView> Backends, const SearchCriteria &Criteria,
               std::span<const BackendIndex> Sampled, const RecentReports &Wanted, TimePoint Now);

/// \brief Finds the preferred server that was last reported to be idle and good enough to end a
/// search. \param MaxAge how old the report may be \return nothing when there is none
std::optional<BackendIndex> findLastGood(std::span<const BackendView> Backends,
                                         const SearchCriteria &Criteria, Duration MaxAge,
                                         TimePoint Now);

/// \brief Chooses a server without a load report: the better of two random ones, judged by this
/// VM's own attempts there.
/// \return nothing when no server may be used
std::optional<BackendIndex> chooseWithoutReport(std::span<const BackendView> Backends,
                                                const SearchCriteria &Criteria, TimePoint Now,
                                                std::mt19937_64 &Random);

/// \brief Whether any server may take the request, now or later.
bool hasUsableBackend(std::span<const BackendView> Backends, const SearchCriteria &Criteria,
                      TimePoint Now);

/// When a server may be used again, and why it may not be used before.
struct Resumption {
  TimePoint m_At{};
  Reason m_Reason = Reason::None;
};

/// \brief When the first of the paused or limited servers may be used by a request that arrives
/// anew.
/// \return nothing when a server may be used now, or when none is paused or limited
std::optional<Resumption> firstResumption(std::span<const BackendView> Backends,
                                          const SearchCriteria &Criteria, TimePoint Now);

} // namespace vanillahill::kernel::probed
