/// \file
/// HTTP control of a relay: `PUT /fault` and `GET /status`.
#pragma once

#include "vanillahill/relay/relay.hpp"

namespace vanillahill::relay {

/// One listening port; runs on the thread of the io_context.
class Control {
public:
  /// \param Io as for the relay \param Target outlives this object
  Control(boost::asio::io_context &Io, Relay &Target);
  ~Control();
  Control(const Control &) = delete;
  Control &operator=(const Control &) = delete;

  /// \brief Listens. \param Address IP:port; port 0 takes a free one
  /// \return the address bound, or AddressUnusable
  Result<std::string> open(const std::string &Address);

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace vanillahill::relay
