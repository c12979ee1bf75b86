/// \file
/// Towards callers: takes connections, hands whole requests to the kernel, gives answers back.
#pragma once

#include "vanillahill/net/detail/caller_request.hpp"
#include "vanillahill/net/detail/dialect.hpp"
#include "vanillahill/net/detail/types.hpp"
#include "vanillahill/observe/metrics.hpp"

#include <atomic>
#include <mutex>
#include <unordered_map>

namespace vanillahill::net {

class CallerConnection;

/// All callers' connections of one VM. Thread safe.
class CallerServer : public std::enable_shared_from_this<CallerServer> {
public:
  CallerServer(asio::io_context &Io, Acceptor Listener, EventSink Post, observe::Metrics &Metrics,
               const Dialect &Speech = ownDialect());
  ~CallerServer();

  /// Takes note of a request that is refused before the kernel sees it.
  using RefusalSink = std::function<void(std::string_view CallerId, CallerFault Why)>;

  /// \brief Sets who is told of refused requests. Called before start().
  void onRefusal(RefusalSink Sink) { m_OnRefusal = std::move(Sink); }

  /// \brief Begins to accept and to watch for slow callers.
  void start();

  /// \brief Takes new settings in force.
  void applySettings(const SiteSettings &Settings);

  /// \brief Gives the one answer to a request.
  void answer(kernel::Answer &Answer);

  /// \brief The request with this id; null once it was answered or its caller has gone.
  CallerRequestPtr findRequest(RequestId Id) const;

  /// \brief From now on each answer ends its connection.
  void leave();

  /// \brief Stops accepting and ends idle connections; those with an answer under way follow it.
  void close();

  /// \brief Connections open now.
  std::size_t connectionCount() const;

  /// \brief The port that callers connect to.
  std::uint16_t port() const { return m_Port; }

private:
  friend class CallerConnection;

  /// A request in the kernel's hands.
  struct OpenRequest {
    std::shared_ptr<CallerConnection> m_Connection;
    CallerRequestPtr m_Request;
    TimePoint m_Arrived{};
  };

  void accept();
  void addConnection(Socket Stream);
  void watchSlowCallers();
  std::vector<std::shared_ptr<CallerConnection>> connections() const;

  // For CallerConnection.
  std::shared_ptr<const RouteTable> routes() const;
  CallerLimits limits() const;
  bool isLeaving() const { return m_Leaving.load(std::memory_order_relaxed); }
  RequestId nextRequest() { return static_cast<RequestId>(++m_LastRequest); }
  void submit(RequestId Id, std::shared_ptr<CallerConnection> Connection, CallerRequestPtr Request);
  void abandon(RequestId Id);
  void removeConnection(std::uint64_t Id);

  asio::io_context &m_Io;
  Acceptor m_Acceptor;
  Timer m_WatchTimer;
  EventSink m_Post;
  RefusalSink m_OnRefusal;
  observe::Metrics &m_Metrics;
  const Dialect &m_Dialect;
  std::uint16_t m_Port = 0;
  std::atomic<std::uint64_t> m_LastRequest = 0;
  std::atomic<bool> m_Leaving = false;
  std::atomic<bool> m_Closed = false;
  mutable std::mutex m_Mutex;
  CallerLimits m_Limits;
  std::shared_ptr<const RouteTable> m_Routes;
  std::uint64_t m_LastConnection = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<CallerConnection>> m_Connections;
  std::unordered_map<RequestId, OpenRequest> m_Requests;
};

} // namespace vanillahill::net
