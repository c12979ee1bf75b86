/// \file
/// Metrics of one entry process, written in the Prometheus text format.
#pragma once

#include "vanillahill/kernel/status.hpp"
#include "vanillahill/net/fault.hpp"
#include "vanillahill/peer/link.hpp"
#include "vanillahill/settings/settings.hpp"

#include <memory>
#include <string>

namespace vanillahill::observe {

/// What is polled at the platform.
enum class PollTarget : std::uint8_t { Log, VmList, Append };
inline constexpr std::size_t PollTargetCount = static_cast<std::size_t>(PollTarget::Append) + 1;

/// Why a reply of a backend server was not passed on as whole.
enum class ReplyFault : std::uint8_t {
  /// The connection ended before the reply was whole.
  Cut,
  /// Not HTTP/1.1, or without a length.
  Malformed,
  /// VH-Exchange is missing or names another attempt.
  OtherExchange,
  /// Bytes follow the reply.
  LeftOver,
  /// No whole reply by the deadline.
  Late,
};
inline constexpr std::size_t ReplyFaultCount = static_cast<std::size_t>(ReplyFault::Late) + 1;

/// Values that are read when the metrics are asked for.
struct Gauges {
  std::size_t m_CallerConnections = 0;
  std::size_t m_BackendConnections = 0;
  peer::LinkCounters m_PeerLinks{};
};

/// Counters and histograms that only grow. Thread safe.
class Metrics {
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// \brief Names the kinds of request; those without a name are counted under "other".
  void nameKinds(const SiteSettings &Settings);

  void countFault(net::CallerFault Fault);
  void countAttempt(kernel::AttemptResult Result);
  void countReplyFault(ReplyFault Fault);
  void countPollFailure(PollTarget Target);
  void countConnectionOpened();
  void countConnectionFailed();
  /// \brief A measuring request was sent.
  void countProbe();
  /// \brief A connection was opened for a measuring request.
  void countProbeConnection();
  /// \brief A wrong or missing token on the admin address.
  void countWrongToken();

  /// \brief The time from the arrival of a request to its answer.
  void observeLatency(KindId Kind, kernel::Outcome Outcome, Duration Latency);

  /// \brief Writes all metrics.
  /// \param Status the kernel's counters
  /// \param Present values of the moment
  std::string text(const kernel::NodeStatus &Status, const Gauges &Present) const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace vanillahill::observe
