/// \file
/// Metrics of one entry process, written in the Prometheus text format.
#pragma once

#include "vanillahill/kernel/status.hpp"
#include "vanillahill/net/fault.hpp"
#include "vanillahill/peer/link.hpp"

#include <memory>
#include <string>

namespace vanillahill::observe {

/// Kinds of request to the platform.
enum class PollTarget : std::uint8_t { Log, VmList, Append };
inline constexpr std::size_t PollTargetCount = static_cast<std::size_t>(PollTarget::Append) + 1;

/// Why a reply of a backend server was not passed on as complete.
enum class ReplyFault : std::uint8_t {
  /// The connection ended before the reply was complete.
  Cut,
  /// Not HTTP/1.1, or without a length.
  Malformed,
  /// VH-Exchange is missing or names another attempt.
  OtherExchange,
  /// Bytes follow the reply.
  LeftOver,
  /// No complete reply by the deadline.
  Late,
};
inline constexpr std::size_t ReplyFaultCount = static_cast<std::size_t>(ReplyFault::Late) + 1;

/// Maximum number of kinds of request that have series of their own.
inline constexpr std::size_t MaxExportedKinds = 100;

/// Values read at the time the metrics are requested.
struct Gauges {
  std::size_t m_CallerConnections = 0;
  std::size_t m_BackendConnections = 0;
  /// Time since the configuration was last known to be current, where keys are judged by that.
  std::optional<Duration> m_ConfigurationAge = std::nullopt;
  peer::LinkCounters m_Links = {};
};

/// Counters and histograms that only grow. Thread safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  void countFault(net::CallerFault Fault);
  void countAttempt(kernel::AttemptResult Result);
  void countReplyFault(ReplyFault Fault);
  void countPollFailure(PollTarget Target);
  void countConnectionOpened();
  void countConnectionFailed();
  /// \brief Counts a measuring request that was sent.
  void countProbe();
  /// \brief Counts a connection opened for a measuring request.
  void countProbeConnection();
  /// \brief Counts an admin request with a wrong or missing token.
  void countWrongToken();

  /// \brief Records the time from the arrival of a request to its answer.
  void observeLatency(KindId Kind, kernel::Outcome Outcome, Duration Latency);

  /// \brief Returns all metrics in the Prometheus text format. Kinds without requests have no
  /// series, and of the others only the MaxExportedKinds with the most requests.
  /// \param Status the kernel's counters, which also give the kinds their names
  /// \param Present values of the gauges at this moment
  std::string text(const kernel::NodeStatus &Status, const Gauges &Present) const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace vanillahill::observe
