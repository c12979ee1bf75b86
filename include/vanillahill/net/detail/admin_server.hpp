/// \file
/// HTTP server for operators and other VMs: metrics, status, readiness, snapshot. It is read only;
/// metrics and status need a token unless they are configured as open.
#pragma once

#include "vanillahill/fleet/snapshot_fetcher.hpp"
#include "vanillahill/fleet/snapshot_request.hpp"
#include "vanillahill/net/detail/types.hpp"
#include "vanillahill/observe/metrics.hpp"

#include <atomic>

namespace vanillahill::net {

/// Data sources of the admin server. Each function is called when a request needs its value.
struct AdminSources {
  std::function<kernel::NodeStatus()> m_Status;
  std::function<observe::Gauges()> m_Gauges;
  std::function<bool()> m_IsReady;
  /// The frame of a snapshot for another VM, empty when it cannot be given; not served when the
  /// function is empty.
  std::function<std::string(const fleet::SnapshotRequest &)> m_Snapshot;
  /// Limit on the snapshots that are sent at the same time.
  std::size_t m_MaxTransfers = fleet::SnapshotFetcher::MinTransfers;
};

/// Access rules of an admin address.
struct AdminAccess {
  /// Bearer token of operators; metrics and status are refused without it.
  std::string m_Token;
  /// Metrics and status need no token: anyone who can reach the address may read them.
  bool m_IsOpen = false;
  /// Request target of the readiness check.
  std::string m_ReadyTarget = "/ready";
};

/// Serves GET /metrics, /status, the ready target, /live and, to other VMs, the snapshot. Thread
/// safe.
class AdminServer : public std::enable_shared_from_this<AdminServer> {
public:
  using Response = http::response<http::string_body>;
  using Request = http::request<http::string_body>;

  AdminServer(asio::io_context &Io, Acceptor Listener, AdminAccess Access, AdminSources Sources,
              observe::Metrics &Metrics);

  /// \brief Starts accepting connections.
  void start();

  /// \brief Stops accepting.
  void close();

  /// \brief The port that operators connect to.
  std::uint16_t port() const { return m_Port; }

  /// \brief Answers one request.
  Response respond(const Request &Message);

private:
  friend class AdminSession;
  void accept();

  asio::io_context &m_Io;
  Acceptor m_Acceptor;
  std::uint16_t m_Port = 0;
  const AdminAccess m_Access;
  AdminSources m_Sources;
  observe::Metrics &m_Metrics;
  std::atomic<int> m_Sessions = 0;
  /// Snapshots that are being sent.
  std::atomic<std::size_t> m_Transfers = 0;
};

} // namespace vanillahill::net
