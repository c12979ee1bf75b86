/// \file
/// Placing: which servers are asked for their load, and which of them gets the request.
#pragma once

#include "vanillahill/kernel/probed/backend_view.hpp"

#include <boost/container/static_vector.hpp>

#include <random>
#include <span>

namespace vanillahill::kernel::probed {

/// Servers asked in one round of a search.
inline constexpr std::size_t ServersPerRound = 3;
/// Rounds of one search at most.
inline constexpr std::size_t MostRounds = 3;
inline constexpr std::size_t MostAsked = ServersPerRound * MostRounds;
/// A server is good enough when a request takes at most this multiple of its usual time there.
inline constexpr double GoodMultiple = 1.25;
/// Evidence of failure from which a server is set aside for idempotent requests.
inline constexpr double SetAsideFailures = 1.5;
/// The same for requests that must not run twice: they get one send, so one failure is enough.
inline constexpr double SetAsideFailuresOnce = 0.5;
/// Expected time grows by this share for each recent failure.
inline constexpr double FailurePenalty = 1.0;
/// A server elsewhere must be faster by this share of the usual time to be chosen.
inline constexpr double FarPenalty = 0.12;

/// Servers of a service that one VM prefers, in its own data centre and elsewhere. Few enough that
/// their connections stay in use, many enough to find quick ones.
inline constexpr std::size_t PreferredNear = 24;
inline constexpr std::size_t PreferredFar = 12;

/// \brief Marks the servers that a VM prefers, by rendezvous hashing: VMs take different parts of a
/// large service, and a server that comes or goes changes little.
void choosePreferred(std::span<BackendView> Backends, VmId Self);

/// What a search looks for.
struct SearchTarget {
  /// Work of the request's kind.
  const WorkEstimate &m_Work;
  bool m_Idempotent = false;
  /// Servers that had the request already.
  std::span<const ServerId> m_Tried;
};

/// One request's search for a server.
struct Search {
  boost::container::static_vector<BackendIndex, MostAsked> m_Asked;
  /// How many of m_Asked were asked in earlier rounds.
  std::size_t m_RoundBegin = 0;
  std::size_t m_Rounds = 0;
  TimePoint m_DecideAt{};
};

/// A server with what a request would cost there.
struct Candidate {
  BackendIndex m_Backend = 0;
  /// Expected seconds, with penalties.
  double m_Cost = 0.0;
  /// m_Cost is at most GoodMultiple of the usual time.
  bool m_IsGood = false;
};

/// \brief Expected seconds at a server, with what others lose and penalties for distance and
/// failures.
double costOf(const BackendView &Backend, const SearchTarget &Target, TimePoint Now);

/// \brief Draws the servers that the next round of a search asks: near ones first; from the second
/// round on, one elsewhere.
/// \param Backends all servers of the service
/// \param Target the request
/// \param Asked servers asked in earlier rounds
/// \return up to ServersPerRound servers; empty when none is left
/// \note Complexity: linear in the servers of the service.
boost::container::static_vector<BackendIndex, ServersPerRound>
drawRound(std::span<const BackendView> Backends, const SearchTarget &Target,
          std::span<const BackendIndex> Asked, TimePoint Now, std::mt19937_64 &Random);

/// \brief The cheapest of the servers that answered.
/// \return nothing when none answered
std::optional<Candidate> cheapest(std::span<const BackendView> Backends, const SearchTarget &Target,
                                  std::span<const BackendIndex> Asked, TimePoint Now);

/// \brief A server without any report: the better of two random ones by this VM's own attempts.
/// \return nothing when no server may be used
std::optional<BackendIndex> chooseBlind(std::span<const BackendView> Backends,
                                        const SearchTarget &Target, TimePoint Now,
                                        std::mt19937_64 &Random);

/// \brief Whether any server may take the request, now or later.
bool anyUsable(std::span<const BackendView> Backends, const SearchTarget &Target);

} // namespace vanillahill::kernel::probed
