#include "vanillahill/net/detail/fleet_runtime.hpp"

#include <boost/asio/steady_timer.hpp>

namespace vanillahill::net {

FleetRuntime systemRuntime(asio::io_context &Io, const std::shared_ptr<Datagrams> &DatagramSocket) {
  const auto DueTimer = std::make_shared<asio::steady_timer>(Io);
  return {
      .m_Now = [] { return SystemClock().now(); },
      .m_CallAt =
          [DueTimer](TimePoint When, std::function<void()> Due) {
            DueTimer->expires_at(When);
            DueTimer->async_wait([Due = std::move(Due)](ErrorCode Failure) {
              if (!Failure) {
                Due();
              }
            });
          },
      .m_Send = [DatagramSocket](const std::string &Ip,
                                 std::string_view Datagram) { DatagramSocket->send(Ip, Datagram); },
      .m_Receive =
          [DatagramSocket](Datagrams::Receiver OnDatagram) {
            DatagramSocket->start(std::move(OnDatagram));
          },
      .m_Close =
          [DueTimer, DatagramSocket] {
            DueTimer->cancel();
            DatagramSocket->close();
          }};
}

} // namespace vanillahill::net
