/// \file
/// Connections to backend servers: bounded for each server, kept warm, each used for one exchange
/// at a time.
#pragma once

#include "vanillahill/net/detail/dialect.hpp"
#include "vanillahill/observe/metrics.hpp"

#include <deque>
#include <mutex>
#include <set>
#include <unordered_map>

namespace vanillahill::net {

class BackendConnection;
using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

/// How a pool keeps its connections.
struct BackendPoolOptions {
  const Dialect *m_Dialect = &ownDialect();
  /// Connections kept idle beyond those that waiting requests need.
  std::size_t m_SpareConnections = 1;
  /// A reply may come this long after the deadline that the server was told.
  Duration m_LateGrace{};
  Duration m_ProbeTimeout = std::chrono::seconds(1);
};

/// All connections from this VM to backend servers. Thread safe.
class BackendPool : public std::enable_shared_from_this<BackendPool> {
public:
  BackendPool(asio::io_context &Io, std::string VmName, EventSink Post, observe::Metrics &Metrics,
              BackendPoolOptions Options = {});
  ~BackendPool();

  /// \brief Takes new settings: servers come, go and change their bounds.
  void applySettings(const SiteSettings &Settings);

  /// \brief Sends a request; AttemptEnded follows exactly once.
  /// \param Dispatch where to and until when
  /// \param Request what to send; null ends the attempt as not sent
  void dispatch(const kernel::Dispatch &Dispatch, CallerRequestPtr Request);

  /// \brief Gives an attempt up. Its connection, if it has one, is closed.
  void cancel(AttemptId Id);

  /// \brief Sends a measuring request; ProbeEnded follows exactly once.
  void probe(ServerId Target);

  /// \brief Closes idle connections and opens none ahead of need any more.
  void close();

  /// \brief Connections open or being opened, over all servers.
  std::size_t connectionCount() const;

  /// \brief Connections open or being opened to one server.
  std::size_t connectionCount(ServerId Target) const;

private:
  friend class BackendConnection;

  /// A running exchange: it waits for a connection, or has one.
  struct Running {
    std::shared_ptr<const BackendExchange> m_Exchange;
    BackendConnectionPtr m_Connection;
    std::shared_ptr<asio::steady_timer> m_Timer;
  };

  /// One server with its connections.
  struct Server {
    std::string m_Name;
    std::string m_HealthPath;
    std::string m_Address;
    Tcp::endpoint m_Endpoint;
    /// Connections that this VM may have at once.
    std::size_t m_Bound = 1;
    /// Still in the settings.
    bool m_IsListed = true;
    /// Its connections are not kept, so that it can stop.
    bool m_IsLeaving = false;
    std::vector<BackendConnectionPtr> m_Idle;
    /// Exchange ids in the order in which they get connections.
    std::deque<std::uint64_t> m_Waiting;
    std::size_t m_Open = 0;
    std::size_t m_Connecting = 0;
  };

  /// What to do once the lock is given back.
  struct Work {
    std::vector<BackendConnectionPtr> m_Start;
    std::vector<std::pair<BackendConnectionPtr, std::shared_ptr<const BackendExchange>>> m_Send;
    std::vector<BackendConnectionPtr> m_Close;
    std::vector<std::uint64_t> m_NotSent;
  };

  void start(BackendExchange Begun);
  void armDeadline(const std::shared_ptr<const BackendExchange> &Exchange,
                   asio::steady_timer &Deadline);
  void giveUp(std::uint64_t Id, bool IsLate);
  void matchWaiting(Server &Target, Work &Out);
  void openConnections(ServerId Id, Server &Target, std::size_t Spare, Work &Out);
  void applyServer(const ServerSettings &Settings, const ServiceSettings &Service,
                   std::size_t MaxVms, Work &Out);
  static void closeExpired(Server &Target, Work &Out);
  static void closeIdle(Server &Target, Work &Out);
  void dropUnlisted(const std::set<ServerId> &Listed, Work &Out);
  void carryOut(Work &&Steps);

  // For BackendConnection.
  void connected(const BackendConnectionPtr &Connection);
  void released(const BackendConnectionPtr &Connection);
  void closed(const BackendConnectionPtr &Connection, bool WasConnecting);
  void finish(std::uint64_t Id, ExchangeEnd End);

  asio::io_context &m_Io;
  const std::string m_VmName;
  EventSink m_Post;
  observe::Metrics &m_Metrics;
  const BackendPoolOptions m_Options;
  mutable std::mutex m_Mutex;
  bool m_Closed = false;
  std::uint64_t m_LastProbe = 0;
  std::unordered_map<ServerId, Server> m_Servers;
  std::unordered_map<std::uint64_t, Running> m_Running;
};

} // namespace vanillahill::net
