/// \file
/// Serves a platform::Service over HTTP/1.1 on one thread.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/platform/service.hpp"

#include <memory>
#include <string>

namespace vanillahill::platform {

struct HttpServerOptions {
  /// IP:port; port 0 takes a free one.
  std::string m_Listen = "127.0.0.1:0";
  ServiceOptions m_Service;
};

/// The listening stand-in.
class HttpServer {
public:
  /// \brief Binds the address.
  /// \return the server, or AddressUnusable
  static Result<HttpServer> open(const HttpServerOptions &Options);
  ~HttpServer();
  HttpServer(HttpServer &&) noexcept;
  HttpServer &operator=(HttpServer &&) noexcept;

  /// \brief IP:port that was bound.
  std::string address() const;

  /// \brief Serves until SIGTERM, SIGINT or stop().
  void run();

  /// \brief Ends run(). \note Thread safe.
  void stop();

private:
  struct State;
  explicit HttpServer(std::unique_ptr<State> Opened);
  std::unique_ptr<State> m_State;
};

} // namespace vanillahill::platform
