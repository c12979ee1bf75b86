/// \file
/// Choice of a backend server among those that may be used.
#pragma once

#include "vanillahill/kernel/server_table.hpp"

#include <concepts>
#include <limits>
#include <random>
#include <span>

namespace vanillahill::kernel {

/// Chooses one of the candidate servers.
template <typename T>
concept ChoicePolicy = requires(T Choice, const ServerTable &Servers,
                                std::span<const ServerIndex> Candidates, TimePoint Now,
                                std::mt19937_64 &Random) {
  { Choice.choose(Servers, Candidates, Now, Random) } -> std::same_as<ServerIndex>;
};

/// Takes the servers in turn.
class RoundRobin {
public:
  /// \param Candidates not empty, in the order of the table
  ServerIndex choose(const ServerTable & /*Servers*/, std::span<const ServerIndex> Candidates,
                     TimePoint /*Now*/, std::mt19937_64 & /*Random*/) {
    for (const ServerIndex Index : Candidates) {
      if (Index >= m_Next) {
        m_Next = Index + 1;
        return Index;
      }
    }
    m_Next = Candidates.front() + 1;
    return Candidates.front();
  }

private:
  ServerIndex m_Next = 0;
};

/// Chooses the server whose recent attempts were fastest relative to the usual time of their kind.
/// Cold servers and servers that run more of this VM's attempts are preferred less. A random amount
/// is added to each cost, so that not all VMs choose the same server at once.
class FastestIdle {
public:
  static constexpr double ColdPenalty = 1.0;
  static constexpr double InFlightPenalty = 0.1;
  static constexpr double RandomSpread = 0.3;

  /// \param Candidates not empty
  static ServerIndex choose(const ServerTable &Servers, std::span<const ServerIndex> Candidates,
                            TimePoint Now, std::mt19937_64 &Random) {
    std::uniform_real_distribution<double> Spread(0.0, RandomSpread);
    ServerIndex Best = Candidates.front();
    double BestCost = std::numeric_limits<double>::max();
    for (const ServerIndex Index : Candidates) {
      const double Cost = costOf(Servers.at(Index), Now) + Spread(Random);
      if (Cost < BestCost) {
        Best = Index;
        BestCost = Cost;
      }
    }
    return Best;
  }

private:
  static double costOf(const ServerState &Server, TimePoint Now) {
    const double Cold = Now < Server.m_ColdUntil ? ColdPenalty : 0.0;
    return Server.slowness(Now) + Cold + InFlightPenalty * Server.m_InFlight;
  }
};

static_assert(ChoicePolicy<RoundRobin>);
static_assert(ChoicePolicy<FastestIdle>);

} // namespace vanillahill::kernel
