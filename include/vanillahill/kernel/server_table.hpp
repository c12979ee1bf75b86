/// \file
/// What one VM knows of the backend servers and the kinds of one service.
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
/// Position of a kind in its KindTable.
using KindIndex = std::uint32_t;

/// Health of a backend server as this VM sees it.
enum class Health : std::uint8_t {
  /// Takes requests.
  Good,
  /// Takes no requests until a time.
  Ejected,
  /// Takes one request at a time until one succeeds.
  Trial,
};

/// One backend server.
struct ServerState {
  ServerSettings m_Settings;
  /// Attempts of this VM that run there.
  std::uint32_t m_InFlight = 0;
  /// Time taken there as a multiple of the kind's usual time, at m_SlownessAt.
  Ewma m_Slowness{1.0, SlownessRate};
  TimePoint m_SlownessAt{};
  /// Evidence that the server is slow; see ServerState::isSuspect().
  double m_Evidence = 0.0;
  TimePoint m_EvidenceAt{};
  /// Usual time of the attempts that run there, seconds; for the evidence.
  double m_UsualSeconds = 0.05;
  Health m_Health = Health::Good;
  std::uint32_t m_Failures = 0;
  std::uint32_t m_Ejections = 0;
  /// When an attempt was last lost there with its outcome unknown.
  TimePoint m_LostWorkAt = TimePoint{} - std::chrono::hours(24);
  TimePoint m_EjectedUntil{};
  /// Until when the server is taken to be leaving by its own word to this VM.
  TimePoint m_LeavingUntil{};
  /// The same, by a peer's word. Not passed on, or the word would never end.
  TimePoint m_PeerLeavingUntil{};
  /// The server is new or came back: it is preferred less until then.
  TimePoint m_ColdUntil{};
  /// A peer said that it fails, until then.
  TimePoint m_PeerAvoidsUntil{};
  /// No measuring request before then.
  TimePoint m_NextProbe{};
  std::uint64_t m_Probes = 0;

  /// \brief Whether the server is leaving, by settings or by word of mouth.
  bool isLeaving(TimePoint Now) const {
    return m_Settings.m_Leaving || Now < m_LeavingUntil || Now < m_PeerLeavingUntil;
  }

  /// \brief How slow the server is against the others; what was seen fades within seconds, so that
  /// a server which is avoided gets another chance.
  double slowness(TimePoint Now) const {
    constexpr double FadeSeconds = 0.5;
    const std::chrono::duration<double> Age = Now - m_SlownessAt;
    return 1.0 + (m_Slowness.value() - 1.0) * std::exp(-Age.count() / FadeSeconds);
  }

  /// \brief Notes how long an attempt took there.
  /// \param Multiple of the kind's usual time
  void addSlowness(double Multiple, TimePoint Now) {
    m_Slowness = Ewma(slowness(Now), SlownessRate);
    m_Slowness.add(m_Slowness.value());
    m_Slowness.add(Multiple);
    m_SlownessAt = Now;
  }

  /// \brief Evidence that the server is slow, a cumulative sum: it grows by one for each usual time
  /// that an attempt runs there, and each attempt that completes takes EvidencePerCompletion away.
  /// So one long attempt among others that complete is no evidence, and silence is. It fades, so
  /// that a server which gets no requests is tried again.
  double evidence(TimePoint Now) const {
    constexpr double FadeSeconds = 0.5;
    const std::chrono::duration<double> Age = Now - m_EvidenceAt;
    const double Grown = Age.count() * m_InFlight / m_UsualSeconds;
    return m_Evidence * std::exp(-Age.count() / FadeSeconds) + Grown;
  }

  /// \brief Brings the evidence up to date; called before m_InFlight changes.
  void updateEvidence(TimePoint Now) {
    m_Evidence = evidence(Now);
    m_EvidenceAt = Now;
  }

  /// \brief An attempt completed there.
  void takeCompletion() { m_Evidence = std::max(0.0, m_Evidence - EvidencePerCompletion); }

  /// \brief Whether the server is unusually slow at present.
  bool isSuspect(TimePoint Now) const { return evidence(Now) > SuspectEvidence; }

  static constexpr double SuspectEvidence = 6.0;
  static constexpr double EvidencePerCompletion = 2.0;
  static constexpr double SlownessRate = 0.1;
};

/// The backend servers of one service, in the order of the settings.
class ServerTable {
public:
  /// \brief Replaces the settings; what is known of servers that stay is kept.
  /// \param Servers the new list
  /// \param ColdUntil servers that were not known before count as cold until then
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

/// One kind of request with what was learnt of it.
struct KindState {
  KindSettings m_Settings;
  /// Usual time of a completed attempt, seconds.
  Ewma m_UsualSeconds{0.05, 0.02};

  /// \brief Usual time of a completed attempt.
  Duration usual() const {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(m_UsualSeconds.value()));
  }

  /// \brief Weight earned for each second of a slot: what overload is decided by.
  double density() const {
    constexpr double ShortestSeconds = 1e-4;
    return m_Settings.m_Weight / std::max(m_UsualSeconds.value(), ShortestSeconds);
  }
};

} // namespace vanillahill::kernel
