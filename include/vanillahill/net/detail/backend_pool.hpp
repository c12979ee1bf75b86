/// \file
/// Connections to backend servers: limited per server, opened ahead of need and reused, each for
/// one exchange at a time.
#pragma once

#include "vanillahill/net/detail/dialect.hpp"
#include "vanillahill/observe/metrics.hpp"

#include <deque>
#include <mutex>
#include <set>
#include <span>
#include <unordered_map>

namespace vanillahill::net {

class BackendConnection;
using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

/// Options of a backend pool.
struct BackendPoolOptions {
  const Dialect *m_Dialect = &ownDialect();
  /// Idle connections kept in addition to those that waiting requests need.
  std::size_t m_SpareConnections = 1;
  /// A reply is accepted until this long after the deadline that was sent to the server.
  Duration m_LateGrace{};
  Duration m_ProbeTimeout = std::chrono::seconds(1);
};

/// All connections from this VM to backend servers. Thread safe.
class BackendPool : public std::enable_shared_from_this<BackendPool> {
public:
  BackendPool(asio::io_context &Io, std::string VmName, EventSink Post, observe::Metrics &Metrics,
              BackendPoolOptions Options = {});
  ~BackendPool();

  /// \brief Applies new settings: servers may be added, removed or get other limits.
  void applySettings(const SiteSettings &Settings);

  /// \brief Sets the VMs to which requests may be passed on.
  void setHelpers(std::span<const kernel::HelperVm> Helpers);

  /// \brief Sends a request; AttemptEnded follows exactly once.
  /// \param Dispatch the target server and the deadline
  /// \param Request the request to send; null ends the attempt as NotSent
  void dispatch(const kernel::Dispatch &Dispatch, CallerRequestPtr Request);

  /// \brief Cancels an attempt. Its connection, if it has one, is closed.
  void cancel(AttemptId Id);

  /// \brief Ends the attempts that wait for a connection and whose deadline is later than this, as
  /// NotSent.
  void endWaitingAttempts(TimePoint Deadline);

  /// \brief Sends a probe; ProbeEnded follows exactly once.
  void probe(ServerId Target);

  /// \brief Closes idle connections and stops opening connections ahead of need.
  void close();

  /// \brief Connections open or being opened, over all servers.
  std::size_t connectionCount() const;

  /// \brief Connections open or being opened to one server.
  std::size_t connectionCount(ServerId Target) const;

private:
  friend class BackendConnection;

  /// A running exchange, which either waits for a connection or has one.
  struct RunningExchange {
    std::shared_ptr<const BackendExchange> m_Exchange;
    BackendConnectionPtr m_Connection;
    std::shared_ptr<asio::steady_timer> m_Timer;
    /// Runs until BackendExchange::m_SendBy; null if nothing limits that.
    std::shared_ptr<asio::steady_timer> m_SendTimer;
  };

  /// One server with its connections.
  struct Server {
    /// It is another VM.
    bool m_IsVm = false;
    std::string m_Name;
    std::string m_HealthPath;
    std::string m_Address;
    Tcp::endpoint m_Endpoint;
    /// Maximum number of connections from this VM.
    std::size_t m_MaxConnections = 1;
    /// Still in the settings.
    bool m_IsListed = true;
    /// Idle connections are closed, so that the server can stop.
    bool m_IsLeaving = false;
    /// The server's data centre is evacuated: nothing is sent to it.
    bool m_IsEvacuated = false;
    /// Requests per second that the server last named as its limit.
    double m_RequestLimit = kernel::NoRequestLimit;
    std::vector<BackendConnectionPtr> m_Idle;
    /// Exchange ids in the order in which they get connections.
    std::deque<std::uint64_t> m_Waiting;
    std::size_t m_OpenCount = 0;
    std::size_t m_ConnectingCount = 0;

    bool mayGetRequests() const { return m_IsListed && !m_IsEvacuated; }
  };

  /// Actions to run after the mutex is released.
  struct PendingActions {
    std::vector<BackendConnectionPtr> m_ToOpen;
    std::vector<std::pair<BackendConnectionPtr, std::shared_ptr<const BackendExchange>>> m_ToSend;
    std::vector<BackendConnectionPtr> m_ToClose;
    std::vector<std::uint64_t> m_NotSentIds;
    /// Exchanges whose connection was refused.
    std::vector<std::uint64_t> m_RefusedIds;
  };

  void startExchange(BackendExchange NewExchange);
  void startDeadlineTimer(const std::shared_ptr<const BackendExchange> &Exchange,
                          asio::steady_timer &Deadline);
  std::shared_ptr<asio::steady_timer> startSendTimer(const BackendExchange &Exchange);
  bool endIfWaiting(std::uint64_t Id);
  void abandonExchange(std::uint64_t Id, bool IsLate);
  void assignIdleConnections(Server &Target, PendingActions &Actions);
  void setAddress(Server &Target, const std::string &Address, PendingActions &Actions);
  void openConnections(ServerId Id, Server &Target, std::size_t Spare, PendingActions &Actions);
  void applyServer(const ServerSettings &Settings, const ServiceSettings &Service,
                   std::size_t MaxVms, PendingActions &Actions);
  static void closeExpiredConnections(Server &Target, PendingActions &Actions);
  static void closeIdleConnections(Server &Target, PendingActions &Actions);
  void markUnlisted(const std::set<ServerId> &Listed, PendingActions &Actions);
  void runActions(PendingActions &&Actions);

  // Called by BackendConnection.
  void onConnected(const BackendConnectionPtr &Connection);
  void onReleased(const BackendConnectionPtr &Connection);
  void onClosed(const BackendConnectionPtr &Connection, bool WasConnecting);
  void finishExchange(std::uint64_t Id, ExchangeEnd End);
  bool noteRequestLimit(ServerId Target, std::optional<double> Named);
  std::vector<std::uint64_t> takeWaitingRequests(ServerId Target);
  void endUnsent(std::span<const std::uint64_t> Ids);

  asio::io_context &m_Io;
  const std::string m_VmName;
  EventSink m_Post;
  observe::Metrics &m_Metrics;
  const BackendPoolOptions m_Options;
  mutable std::mutex m_Mutex;
  bool m_Closed = false;
  std::uint64_t m_NextProbeIndex = 0;
  std::unordered_map<ServerId, Server> m_Servers;
  std::unordered_map<std::uint64_t, RunningExchange> m_Running;
};

} // namespace vanillahill::net
