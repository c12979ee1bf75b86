/// \file
/// Ejection of backend servers that fail, and their return.
#pragma once

#include "vanillahill/kernel/server_table.hpp"

#include <concepts>
#include <random>

namespace vanillahill::kernel {

/// Decides which servers may take a request.
template <typename T>
concept HealthPolicy = requires(T Policy, const T &Const, ServerTable &Servers,
                                const ServerTable &ConstServers, ServerIndex Index, bool Flag,
                                AttemptResult Result, TimePoint Now, std::mt19937_64 &Random) {
  { Const.mayUse(ConstServers, Index, Flag, Now) } -> std::same_as<bool>;
  { Const.isSuspect(ConstServers, Index, Now) } -> std::same_as<bool>;
  { Policy.succeeded(Servers, Index, Now) } -> std::same_as<void>;
  { Policy.failed(Servers, Index, Result, Now, Random) } -> std::same_as<void>;
  { Policy.tick(Servers, Now) } -> std::same_as<void>;
};

/// Uses every server that is not leaving by its settings.
struct NoEjection {
  static bool mayUse(const ServerTable &Servers, ServerIndex Index, bool /*Idempotent*/,
                     TimePoint /*Now*/) {
    return !Servers.at(Index).m_Settings.m_Leaving;
  }
  static bool isSuspect(const ServerTable &, ServerIndex, TimePoint) { return false; }
  static void succeeded(ServerTable &, ServerIndex, TimePoint) {}
  static void failed(ServerTable &, ServerIndex, AttemptResult, TimePoint, std::mt19937_64 &) {}
  static void tick(ServerTable &, TimePoint) {}
};

/// Ejects a server after consecutive failures, for a time that doubles; it returns by one trial
/// request at a time. A peer's word lowers the threshold. At most half of the servers are ejected.
class ConsecutiveFailureEjection {
public:
  static constexpr std::uint32_t FailuresToEject = 3;
  static constexpr std::uint32_t FailuresToEjectWithPeer = 1;
  static constexpr Duration FirstEjection = std::chrono::milliseconds(250);
  static constexpr Duration LongestEjection = std::chrono::seconds(8);
  /// A server that lost work is tried with idempotent requests only for this long.
  static constexpr Duration LostWorkMemory = std::chrono::seconds(30);

  /// \brief Whether a request may go to a server.
  /// \param Idempotent a server on trial that lost work gets idempotent requests only
  static bool mayUse(const ServerTable &Servers, ServerIndex Index, bool Idempotent,
                     TimePoint Now) {
    const ServerState &Server = Servers.at(Index);
    if (Server.isLeaving(Now)) {
      return false;
    }
    switch (Server.m_Health) {
    case Health::Good:
      return true;
    case Health::Ejected:
      return false;
    case Health::Trial:
      return Server.m_InFlight == 0 && (Idempotent || Now >= Server.m_LostWorkAt + LostWorkMemory);
    }
    return false;
  }

  /// \brief Whether a server is unusually slow at present: others go first.
  static bool isSuspect(const ServerTable &Servers, ServerIndex Index, TimePoint Now) {
    return Servers.at(Index).isSuspect(Now);
  }

  /// \brief A whole reply came: the server is good again.
  static void succeeded(ServerTable &Servers, ServerIndex Index, TimePoint Now) {
    constexpr Duration ColdFor = std::chrono::seconds(1);
    ServerState &Server = Servers.at(Index);
    Server.m_Failures = 0;
    if (Server.m_Health != Health::Good) {
      Server.m_Health = Health::Good;
      Server.m_ColdUntil = Now + ColdFor;
    } else if (Now > Server.m_ColdUntil) {
      Server.m_Ejections = 0;
    }
  }

  /// \brief An attempt failed, was refused or could not be sent.
  static void failed(ServerTable &Servers, ServerIndex Index, AttemptResult Result, TimePoint Now,
                     std::mt19937_64 &Random) {
    ServerState &Server = Servers.at(Index);
    ++Server.m_Failures;
    if (Result == AttemptResult::Unknown) {
      Server.m_LostWorkAt = Now;
    }
    const std::uint32_t Needed =
        Now < Server.m_PeerAvoidsUntil ? FailuresToEjectWithPeer : FailuresToEject;
    const bool TrialFailed = Server.m_Health == Health::Trial;
    if (Server.m_Health == Health::Ejected || (!TrialFailed && Server.m_Failures < Needed)) {
      return;
    }
    if (!TrialFailed && ejectedShare(Servers) >= LargestEjectedShare) {
      return;
    }
    eject(Server, Now, Random);
  }

  /// \brief Moves servers whose ejection ended to trial.
  static void tick(ServerTable &Servers, TimePoint Now) {
    for (ServerState &Server : Servers.all()) {
      if (Server.m_Health == Health::Ejected && Now >= Server.m_EjectedUntil) {
        Server.m_Health = Health::Trial;
      }
    }
  }

private:
  static constexpr double LargestEjectedShare = 0.5;

  static double ejectedShare(const ServerTable &Servers) {
    const auto Count =
        std::count_if(Servers.all().begin(), Servers.all().end(),
                      [](const ServerState &Server) { return Server.m_Health != Health::Good; });
    return static_cast<double>(Count + 1) / static_cast<double>(Servers.size());
  }

  static void eject(ServerState &Server, TimePoint Now, std::mt19937_64 &Random) {
    constexpr std::uint32_t MostDoublings = 5;
    const Duration Base = FirstEjection * (1U << std::min(Server.m_Ejections, MostDoublings));
    std::uniform_real_distribution<double> Jitter(0.75, 1.25);
    const auto Length = std::chrono::duration_cast<Duration>(Base * Jitter(Random));
    Server.m_Health = Health::Ejected;
    Server.m_EjectedUntil = Now + std::min(Length, LongestEjection);
    ++Server.m_Ejections;
    Server.m_Failures = 0;
  }
};

static_assert(HealthPolicy<NoEjection>);
static_assert(HealthPolicy<ConsecutiveFailureEjection>);

} // namespace vanillahill::kernel
