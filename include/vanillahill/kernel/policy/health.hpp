/// \file
/// Ejection of failing backend servers, and their return through trial requests.
#pragma once

#include "vanillahill/kernel/server_table.hpp"

#include <concepts>
#include <random>

namespace vanillahill::kernel {

/// Decides which servers may take a request, from the results of earlier attempts.
template <typename T>
concept HealthPolicy = requires(T Policy, const T &Const, ServerTable &Servers,
                                const ServerTable &ConstServers, ServerIndex Index, bool Flag,
                                AttemptResult Result, TimePoint Now, std::mt19937_64 &Random) {
  { Const.mayUse(ConstServers, Index, Flag, Now) } -> std::same_as<bool>;
  { Const.isSuspect(ConstServers, Index, Now) } -> std::same_as<bool>;
  { Policy.recordSuccess(Servers, Index, Now) } -> std::same_as<void>;
  { Policy.recordFailure(Servers, Index, Result, Now, Random) } -> std::same_as<void>;
  { Policy.startTrials(Servers, Now) } -> std::same_as<void>;
};

/// Allows every server that the settings do not mark as leaving.
struct NoEjection {
  static bool mayUse(const ServerTable &Servers, ServerIndex Index, bool /*Idempotent*/,
                     TimePoint /*Now*/) {
    return !Servers.at(Index).m_Settings.m_Leaving;
  }
  static bool isSuspect(const ServerTable &, ServerIndex, TimePoint) { return false; }
  static void recordSuccess(ServerTable &, ServerIndex, TimePoint) {}
  static void recordFailure(ServerTable &, ServerIndex, AttemptResult, TimePoint,
                            std::mt19937_64 &) {}
  static void startTrials(ServerTable &, TimePoint) {}
};

/// Ejects a server after consecutive failures. The ejection time doubles with each ejection; after
/// it the server is on trial and gets one request at a time until one succeeds. A peer's mark that
/// the server fails lowers the threshold. A server in good health is ejected only if fewer than
/// half of all servers, itself included, are then ejected or on trial.
class ConsecutiveFailureEjection {
public:
  static constexpr std::uint32_t FailuresToEject = 3;
  static constexpr std::uint32_t FailuresToEjectWithPeerMark = 1;
  static constexpr Duration InitialEjection = std::chrono::milliseconds(250);
  static constexpr Duration MaxEjection = std::chrono::seconds(8);
  /// How long after an attempt with an unknown outcome a server on trial gets idempotent requests
  /// only.
  static constexpr Duration LostAttemptPeriod = std::chrono::seconds(30);

  /// \brief Whether a request may go to a server.
  /// \param Idempotent whether the request is; a server on trial with a recent attempt of unknown
  /// outcome gets idempotent requests only
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
      return Server.m_InFlight == 0 &&
             (Idempotent || Now >= Server.m_LastLostAttempt + LostAttemptPeriod);
    }
    return false;
  }

  /// \brief Whether a server is unusually slow at present; other servers are preferred.
  static bool isSuspect(const ServerTable &Servers, ServerIndex Index, TimePoint Now) {
    return Servers.at(Index).isSuspect(Now);
  }

  /// \brief Records a complete reply, which makes the server Good again.
  static void recordSuccess(ServerTable &Servers, ServerIndex Index, TimePoint Now) {
    constexpr Duration RecoveredColdTime = std::chrono::seconds(1);
    ServerState &Server = Servers.at(Index);
    Server.m_Failures = 0;
    if (Server.m_Health != Health::Good) {
      Server.m_Health = Health::Good;
      Server.m_ColdUntil = Now + RecoveredColdTime;
    } else if (Now > Server.m_ColdUntil) {
      Server.m_Ejections = 0;
    }
  }

  /// \brief Records an attempt that failed, was refused or could not be sent.
  static void recordFailure(ServerTable &Servers, ServerIndex Index, AttemptResult Result,
                            TimePoint Now, std::mt19937_64 &Random) {
    ServerState &Server = Servers.at(Index);
    ++Server.m_Failures;
    if (Result == AttemptResult::Unknown) {
      Server.m_LastLostAttempt = Now;
    }
    const std::uint32_t FailureThreshold =
        Now < Server.m_PeerAvoidsUntil ? FailuresToEjectWithPeerMark : FailuresToEject;
    const bool TrialFailed = Server.m_Health == Health::Trial;
    if (Server.m_Health == Health::Ejected ||
        (!TrialFailed && Server.m_Failures < FailureThreshold)) {
      return;
    }
    if (!TrialFailed && ejectedShare(Servers) >= MaxEjectedShare) {
      return;
    }
    eject(Server, Now, Random);
  }

  /// \brief Puts servers whose ejection time is over on trial.
  static void startTrials(ServerTable &Servers, TimePoint Now) {
    for (ServerState &Server : Servers.all()) {
      if (Server.m_Health == Health::Ejected && Now >= Server.m_EjectedUntil) {
        Server.m_Health = Health::Trial;
      }
    }
  }

private:
  static constexpr double MaxEjectedShare = 0.5;

  /// Share of the servers that are ejected or on trial once one more is ejected.
  static double ejectedShare(const ServerTable &Servers) {
    const auto NotGoodCount =
        std::count_if(Servers.all().begin(), Servers.all().end(),
                      [](const ServerState &Server) { return Server.m_Health != Health::Good; });
    return static_cast<double>(NotGoodCount + 1) / static_cast<double>(Servers.size());
  }

  static void eject(ServerState &Server, TimePoint Now, std::mt19937_64 &Random) {
    constexpr std::uint32_t MaxDoublings = 5;
    const Duration Base = InitialEjection * (1U << std::min(Server.m_Ejections, MaxDoublings));
    std::uniform_real_distribution<double> Jitter(0.75, 1.25);
    const auto Length = std::chrono::duration_cast<Duration>(Base * Jitter(Random));
    Server.m_Health = Health::Ejected;
    Server.m_EjectedUntil = Now + std::min(Length, MaxEjection);
    ++Server.m_Ejections;
    Server.m_Failures = 0;
  }
};

static_assert(HealthPolicy<NoEjection>);
static_assert(HealthPolicy<ConsecutiveFailureEjection>);

} // namespace vanillahill::kernel
