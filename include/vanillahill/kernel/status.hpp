/// \file
/// A snapshot of a kernel for the status page, the metrics and the tests.
#pragma once

#include "vanillahill/kernel/events.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <iterator>
#include <span>
#include <string>
#include <vector>

namespace vanillahill::kernel {

/// Number of values of Reason.
inline constexpr std::size_t ReasonCount = static_cast<std::size_t>(Reason::UnknownKind) + 1;

/// Why an attempt was followed by another one.
enum class RetryReason : std::uint8_t { ServerNotRun, NotSent, LostIdempotent, Hedge };
inline constexpr std::size_t RetryReasonCount = static_cast<std::size_t>(RetryReason::Hedge) + 1;

/// \brief The name of a retry reason as used in counters.
std::string_view toString(RetryReason Value);

/// Counters of one kind of request; they never decrease.
struct KindCounters {
  ServiceId m_Service{};
  KindId m_Kind{};
  std::string m_Name;
  std::uint64_t m_Arrived = 0;
  std::uint64_t m_Completed = 0;
  std::array<std::uint64_t, ReasonCount> m_NotRun{};
  std::array<std::uint64_t, ReasonCount> m_Unknown{};
  std::array<std::uint64_t, RetryReasonCount> m_Retries{};

  /// \brief Whether there was any request of this kind.
  bool isUsed() const { return m_Arrived > 0; }

  /// \brief Adds other counters of the same kind.
  void add(const KindCounters &Other) {
    m_Arrived += Other.m_Arrived;
    m_Completed += Other.m_Completed;
    for (std::size_t Index = 0; Index < ReasonCount; ++Index) {
      m_NotRun[Index] += Other.m_NotRun[Index];
      m_Unknown[Index] += Other.m_Unknown[Index];
    }
    for (std::size_t Index = 0; Index < RetryReasonCount; ++Index) {
      m_Retries[Index] += Other.m_Retries[Index];
    }
  }
};

/// \brief Appends the counters of the kinds that had requests.
inline void appendUsed(std::span<const KindCounters> Counters, std::vector<KindCounters> &Out) {
  std::copy_if(Counters.begin(), Counters.end(), std::back_inserter(Out),
               [](const KindCounters &Kind) { return Kind.isUsed(); });
}

/// Status of one backend server.
struct ServerStatus {
  ServerId m_Server{};
  std::string m_Name;
  std::uint32_t m_InFlight = 0;
  std::uint32_t m_SlotsHeld = 0;
  bool m_Ejected = false;
  /// The settings or the server itself say that it is leaving.
  bool m_Leaving = false;
  /// The server itself says that it is leaving.
  bool m_SaidLeaving = false;
  /// How much longer the server wants no request from this VM.
  Duration m_PauseLeft{};
  /// Pauses requested from this VM.
  std::uint64_t m_Pauses = 0;
  /// Requests per second that the server takes from all VMs together; empty without a limit.
  std::optional<double> m_RequestLimit;
  /// Requests per second that this VM may send of these; empty without a limit.
  std::optional<double> m_LimitShare;
  /// How much longer the server is cold, where cold servers get a limited rate.
  Duration m_ColdLeft{};
  /// Requests per second that this VM may send meanwhile.
  double m_ColdShare = 0.0;
  std::uint64_t m_Probes = 0;
};

/// Status of one VM as seen by this VM.
struct MemberStatus {
  VmId m_Vm{};
  std::string m_Name;
  std::string m_DataCenter;
  bool m_Alive = false;
  peer::VmState m_State = peer::VmState::Starting;
  Duration m_SilentFor{};
  std::vector<peer::FileVersion> m_Versions;
};

/// Counters of one tenant at this VM; they never decrease.
struct TenantCounters {
  std::string m_Name;
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Served = 0;
  /// Refused since the usage cap is reached.
  std::uint64_t m_CapReached = 0;
  /// Refused since no VM that counts the tenant's requests could be reached.
  std::uint64_t m_CapUnknown = 0;
  /// Admitted, and refused without having run.
  std::uint64_t m_RefusedForRoom = 0;
  /// Share of the cap in use, from 0 to 1, if this VM counts the tenant's requests.
  double m_CapInUse = 0.0;

  void add(const TenantCounters &Other) {
    m_Requests += Other.m_Requests;
    m_Served += Other.m_Served;
    m_CapReached += Other.m_CapReached;
    m_CapUnknown += Other.m_CapUnknown;
    m_RefusedForRoom += Other.m_RefusedForRoom;
  }
};

/// Tokens that one VM moved to others and back; they never decrease.
struct TokenCounters {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Received = 0;
  std::uint64_t m_Given = 0;
};

/// This VM's part of the probes of one service's servers.
struct ProbeBudgetStatus {
  std::string m_Service;
  /// Probes per second of the equal part.
  double m_Part = 0.0;
  double m_Tokens = 0.0;
  /// Requests per second that arrive at this VM.
  double m_Demand = 0.0;
  TokenCounters m_Moved;
};

/// An evacuated data centre.
struct EvacuationStatus {
  std::string m_DataCenter;
  /// Time since this VM first knew of the evacuation.
  Duration m_For{};
};

struct NodeStatus {
  std::string m_Name;
  peer::VmState m_State = peer::VmState::Starting;
  bool m_HasLease = false;
  std::vector<peer::FileVersion> m_Versions;
  /// The kinds that had requests.
  std::vector<KindCounters> m_Kinds;
  std::vector<ServerStatus> m_Servers;
  std::vector<MemberStatus> m_Members;
  std::uint64_t m_InFlight = 0;
  std::uint64_t m_Queued = 0;
  std::uint64_t m_Keys = 0;
  std::uint64_t m_PeerMessagesSent = 0;
  /// Requests that are suspected of crashing servers, or blocked for it.
  std::uint64_t m_PoisonRequests = 0;
  std::vector<ProbeBudgetStatus> m_ProbeBudgets;
  std::vector<EvacuationStatus> m_Evacuated;
  /// The tenants with most requests; one named "other" sums the rest.
  std::vector<TenantCounters> m_Tenants;
};

} // namespace vanillahill::kernel
