/// \file
/// Clock, timer and datagrams of a fleet client.
#pragma once

#include "vanillahill/core/time.hpp"
#include "vanillahill/net/detail/datagrams.hpp"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace vanillahill::net {

/// What a fleet client needs of its surroundings. Used from one thread.
struct FleetRuntime {
  std::function<TimePoint()> m_Now;
  /// Calls a function at a time, in place of the one that was set before.
  std::function<void(TimePoint When, std::function<void()> Due)> m_CallAt;
  /// Sends a datagram to a VM; it may be lost.
  std::function<void(const std::string &Ip, std::string_view Datagram)> m_Send;
  /// Starts to receive the datagrams of other VMs.
  std::function<void(Datagrams::Receiver OnDatagram)> m_Receive;
  /// Ends the timer and the datagrams.
  std::function<void()> m_Close;
};

/// \brief The machine's clock, a timer and a socket.
FleetRuntime systemRuntime(asio::io_context &Io, const std::shared_ptr<Datagrams> &DatagramSocket);

} // namespace vanillahill::net
