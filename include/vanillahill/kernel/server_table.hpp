/// \file
/// One VM's view of the backend servers and the request kinds of one service.
#pragma once

#include "vanillahill/kernel/events.hpp"
#include "vanillahill/kernel/ewma.hpp"
#include "vanillahill/settings/settings.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace vanillahill::kernel {

/// Position of a backend server in its ServerTable.
using ServerIndex = std::uint32_t;

/// Health of a backend server as this VM sees it.
enum class Health : std::uint8_t {
  /// Takes requests.
  Good,
  /// Takes no requests until its ejection ends.
  Ejected,
  /// Takes one request at a time until one succeeds.
  Trial,
};

/// One backend server.
struct ServerState {
  ServerSettings m_Settings;
  /// Attempts of this VM that run on the server.
  std::uint32_t m_InFlight = 0;
  /// Duration of attempts on the server as a multiple of their kind's usual time, at m_SlownessAt.
  Ewma m_Slowness{1.0, SlownessRate};
  TimePoint m_SlownessAt{};
  /// Evidence that the server is slow; see slowEvidence().
  double m_SlowEvidence = 0.0;
  TimePoint m_SlowEvidenceAt{};
  /// Usual time in seconds of the kind dispatched last to the server; scales m_SlowEvidence.
  double m_UsualSeconds = 0.05;
  Health m_Health = Health::Good;
  std::uint32_t m_Failures = 0;
  std::uint32_t m_Ejections = 0;
  /// When an attempt on the server last ended with its outcome unknown.
  TimePoint m_LastLostAttempt = TimePoint{} - std::chrono::hours(24);
  TimePoint m_EjectedUntil{};
  /// Until when the server counts as leaving because it told this VM so.
  TimePoint m_LeavingUntil{};
  /// Until when the server counts as leaving because a peer said so. Not passed on to other peers,
  /// or the VMs would renew each other's mark forever.
  TimePoint m_PeerLeavingUntil{};
  /// Until when the server is preferred less because it is new or has just recovered.
  TimePoint m_ColdUntil{};
  /// Until when the server counts as failing because a peer said so.
  TimePoint m_PeerAvoidsUntil{};
  /// Earliest time of the next probe (measuring request).
  TimePoint m_NextProbe{};
  std::uint64_t m_Probes = 0;

  /// \brief Whether the server is leaving according to the settings, itself or a peer.
  bool isLeaving(TimePoint Now) const {
    return m_Settings.m_Leaving || Now < m_LeavingUntil || Now < m_PeerLeavingUntil;
  }

  /// \brief How slow the server is relative to the usual time of each kind; 1 is usual. Decays to 1
  /// within seconds, so that a server which is avoided is tried again.
  double slowness(TimePoint Now) const {
    constexpr double DecaySeconds = 0.5;
    const std::chrono::duration<double> Age = Now - m_SlownessAt;
    return 1.0 + (m_Slowness.value() - 1.0) * std::exp(-Age.count() / DecaySeconds);
  }

  /// \brief Records how long a completed attempt took.
  /// \param Multiple its duration as a multiple of the kind's usual time
  void recordSlowness(double Multiple, TimePoint Now) {
    m_Slowness = Ewma(slowness(Now), SlownessRate);
    // The first sample replaces the prior, so the decayed value is added as the first sample.
    m_Slowness.add(m_Slowness.value());
    m_Slowness.add(Multiple);
    m_SlownessAt = Now;
  }

  /// \brief Evidence that the server is slow, a cumulative sum. It grows by one for each usual time
  /// that an attempt runs on the server; each completed attempt subtracts EvidencePerCompletion. So
  /// one long attempt among others that complete does not make the server suspect, but attempts of
  /// which none completes do. It decays, so that a server which gets no requests is tried again.
  double slowEvidence(TimePoint Now) const {
    constexpr double DecaySeconds = 0.5;
    const std::chrono::duration<double> Age = Now - m_SlowEvidenceAt;
    const double Growth = Age.count() * m_InFlight / m_UsualSeconds;
    return m_SlowEvidence * std::exp(-Age.count() / DecaySeconds) + Growth;
  }

  /// \brief Updates the evidence to the present; must be called before m_InFlight changes.
  void updateSlowEvidence(TimePoint Now) {
    m_SlowEvidence = slowEvidence(Now);
    m_SlowEvidenceAt = Now;
  }

  /// \brief Subtracts the evidence that one completed attempt refutes.
  void recordCompletion() {
    m_SlowEvidence = std::max(0.0, m_SlowEvidence - EvidencePerCompletion);
  }

  /// \brief Whether the server is unusually slow at present.
  bool isSuspect(TimePoint Now) const { return slowEvidence(Now) > SuspectThreshold; }

  static constexpr double SuspectThreshold = 6.0;
  static constexpr double EvidencePerCompletion = 2.0;
  static constexpr double SlownessRate = 0.1;
};

/// The backend servers of one service, in the order of the settings.
class ServerTable {
public:
  /// \brief Replaces the settings; the state of servers that stay is kept.
  /// \param Servers the new list
  /// \param ColdUntil until when servers that were not known before count as cold
  void assign(std::span<const ServerSettings> Servers, TimePoint ColdUntil) {
    std::vector<ServerState> Next;
    Next.reserve(Servers.size());
    for (const ServerSettings &Settings : Servers) {
      const std::optional<ServerIndex> Known = find(Settings.m_Id);
      ServerState State = Known ? m_Servers[*Known] : ServerState{};
      if (!Known) {
        State.m_ColdUntil = ColdUntil;
      }
      State.m_Settings = Settings;
      Next.push_back(std::move(State));
    }
    m_Servers = std::move(Next);
  }

  /// \brief Finds a server. \note Complexity: linear in the servers of the service.
  std::optional<ServerIndex> find(ServerId Id) const {
    const auto Found = std::find_if(m_Servers.begin(), m_Servers.end(), [Id](const auto &Server) {
      return Server.m_Settings.m_Id == Id;
    });
    if (Found == m_Servers.end()) {
      return std::nullopt;
    }
    return static_cast<ServerIndex>(Found - m_Servers.begin());
  }

  std::span<ServerState> all() { return m_Servers; }
  std::span<const ServerState> all() const { return m_Servers; }
  ServerState &at(ServerIndex Index) { return m_Servers[Index]; }
  const ServerState &at(ServerIndex Index) const { return m_Servers[Index]; }
  std::size_t size() const { return m_Servers.size(); }

private:
  std::vector<ServerState> m_Servers;
};

/// One kind of request, with its settings and measured usual time.
struct KindState {
  KindSettings m_Settings;
  /// Usual time of a completed attempt, seconds.
  Ewma m_UsualSeconds{0.05, 0.02};

  /// \brief Usual time of a completed attempt.
  Duration usualTime() const {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(m_UsualSeconds.value()));
  }

  /// \brief Weight of one request per second that it occupies a slot; decides which kinds are
  /// served first and which are refused under overload.
  double weightPerSlotSecond() const {
    constexpr double ShortestSeconds = 1e-4;
    return m_Settings.m_Weight / std::max(m_UsualSeconds.value(), ShortestSeconds);
  }
};

} // namespace vanillahill::kernel
