/// \file
/// The control port of the stand-in backend servers: addresses, counts, faults.
#pragma once

#include "backend_server.hpp"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace vanillahill::load::detail {

/// GET /addresses, GET /stats, POST /reset, PUT /fault with a fault script.
class BackendControl {
public:
  /// \brief Listens on the control port. Throws boost::system::system_error.
  BackendControl(BackendShared &Shared, std::deque<BackendServer> &Servers);

  /// \brief Accepts connections and begins a fault script.
  void start(const std::vector<Fault> &Faults);
  std::string addresses() const;

private:
  struct Reply {
    std::uint32_t m_Status = 200;
    std::string m_Body;
  };

  void accept();
  void serve(boost::asio::ip::tcp::socket Socket);
  Reply handle(std::string_view Method, std::string_view Target, std::string_view Body);
  std::string stats() const;
  void schedule(const Fault &What);
  void strike(const Fault &What);

  BackendShared &m_Shared;
  std::deque<BackendServer> &m_Servers;
  boost::asio::ip::tcp::acceptor m_Acceptor;
};

} // namespace vanillahill::load::detail
