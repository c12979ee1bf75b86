/// \file
/// HTTP server for callers: accepts connections, submits complete requests to the kernel and sends
/// the answers.
#pragma once

#include "vanillahill/net/detail/caller_request.hpp"
#include "vanillahill/net/detail/completed_requests.hpp"
#include "vanillahill/net/detail/dialect.hpp"
#include "vanillahill/net/detail/types.hpp"
#include "vanillahill/observe/metrics.hpp"

#include <atomic>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace vanillahill::net {

class CallerConnection;

/// All callers' connections of one VM. Thread safe.
class CallerServer : public std::enable_shared_from_this<CallerServer> {
public:
  CallerServer(asio::io_context &Io, Acceptor Listener, EventSink Post, observe::Metrics &Metrics,
               const Dialect &HttpDialect = ownDialect());
  ~CallerServer();

  /// Called for a request that is refused before the kernel sees it.
  using RefusalSink = std::function<void(std::string_view CallerId, CallerFault Why)>;

  /// \brief Sets the function to call for refused requests. Call it before start().
  void onRefusal(RefusalSink Sink) { m_OnRefusal = std::move(Sink); }

  /// \brief Sets the function that decides whether keys may be judged now; always when there is
  /// none. Call it before start().
  void judgeKeysIf(std::function<bool()> MayJudge) { m_MayJudgeKeys = std::move(MayJudge); }

  /// \brief Also accepts requests that other VMs pass on. Call it before start().
  void acceptFromVms(Acceptor Listener) { m_VmAcceptor.emplace(std::move(Listener)); }

  /// \brief Whether another VM has passed an open request on.
  bool isRelayed(RequestId Id) const;

  /// \brief Starts accepting connections and checking for slow callers.
  void start();

  /// \brief Applies new settings.
  void applySettings(const SiteSettings &Settings);

  /// \brief Sends the only answer to a request; does nothing if the request is no longer open.
  void answer(kernel::Answer &Answer);

  /// \brief The open request with this id; null after its answer or when its caller has
  /// disconnected.
  CallerRequestPtr findRequest(RequestId Id) const;

  /// \brief The request with this id if it was answered lately with the reply of a server.
  /// \return null if it is not kept, see CompletedRequests
  CallerRequestPtr findCompleted(RequestId Id) const;

  /// \brief Makes each further answer end its connection.
  void leave();

  /// \brief Stops accepting and ends idle connections; a connection with an open request is
  /// closed after its answer.
  void close();

  /// \brief Closes all connections, also those whose request has no answer yet.
  void closeConnections();

  /// \brief Number of open connections.
  std::size_t connectionCount() const;

  /// \brief Number of requests that have no answer yet.
  std::size_t requestCount() const;

  /// \brief The port that callers connect to.
  std::uint16_t port() const { return m_Port; }

private:
  friend class CallerConnection;

  /// A request that the kernel has not answered yet.
  struct OpenRequest {
    std::shared_ptr<CallerConnection> m_Connection;
    CallerRequestPtr m_Request;
    TimePoint m_Arrived{};
    bool m_IsRelayed = false;
  };

  void accept(Acceptor &Listener);
  void addConnection(Socket Stream, bool IsFromVm);
  void checkCallerTimeouts();
  std::vector<std::shared_ptr<CallerConnection>> connections() const;

  // For CallerConnection.
  std::shared_ptr<const RouteTable> routes() const;
  CallerLimits limits() const;
  bool isLeaving() const { return m_Leaving.load(std::memory_order_relaxed); }
  RequestOrigin originOf(bool IsFromVm, const RouteTable *Routes) const;
  RequestId nextRequestId() { return static_cast<RequestId>(++m_LastRequestId); }
  void submitRequest(RequestId Id, std::shared_ptr<CallerConnection> Connection,
                     CallerRequestPtr Request, bool IsRelayed);
  void abandonRequest(RequestId Id);
  void removeConnection(std::uint64_t Id);

  asio::io_context &m_Io;
  Acceptor m_Acceptor;
  /// For requests that other VMs pass on.
  std::optional<Acceptor> m_VmAcceptor;
  Timer m_TimeoutCheckTimer;
  EventSink m_Post;
  RefusalSink m_OnRefusal;
  std::function<bool()> m_MayJudgeKeys;
  observe::Metrics &m_Metrics;
  const Dialect &m_Dialect;
  std::uint16_t m_Port = 0;
  std::atomic<std::uint64_t> m_LastRequestId = 0;
  std::atomic<bool> m_Leaving = false;
  std::atomic<bool> m_Closed = false;
  mutable std::mutex m_Mutex;
  CallerLimits m_Limits;
  std::shared_ptr<const RouteTable> m_Routes;
  std::uint64_t m_LastConnectionId = 0;
  std::atomic<std::size_t> m_VmConnections = 0;
  std::unordered_map<std::uint64_t, std::shared_ptr<CallerConnection>> m_Connections;
  std::unordered_map<RequestId, OpenRequest> m_Requests;
  CompletedRequests m_Completed;
};

} // namespace vanillahill::net
