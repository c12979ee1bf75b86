/// \file
/// Towards operators: metrics, status and readiness. Read only, with a token.
#pragma once

#include "vanillahill/net/detail/types.hpp"
#include "vanillahill/observe/metrics.hpp"

#include <atomic>

namespace vanillahill::net {

/// What the admin address shows. Each function is called for a request that asks for it.
struct AdminSources {
  std::function<kernel::NodeStatus()> m_Status;
  std::function<observe::Gauges()> m_Gauges;
  std::function<bool()> m_IsReady;
};

/// What an admin address asks for.
struct AdminAccess {
  /// Shown by operators; metrics and status are refused without it.
  std::string m_Token;
  /// Metrics and status are open to everybody who reaches the address.
  bool m_IsOpen = false;
  /// Target that tells whether the VM is ready.
  std::string m_ReadyTarget = "/ready";
};

/// Serves GET /metrics, /status, the ready target and /live. Thread safe.
class AdminServer : public std::enable_shared_from_this<AdminServer> {
public:
  using Response = http::response<http::string_body>;
  using Request = http::request<http::string_body>;

  AdminServer(asio::io_context &Io, Acceptor Listener, AdminAccess Access, AdminSources Sources,
              observe::Metrics &Metrics);

  /// \brief Begins to accept.
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
};

} // namespace vanillahill::net
