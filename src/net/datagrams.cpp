#include "vanillahill/net/detail/datagrams.hpp"

namespace vanillahill::net {

using asio::ip::udp;

Result<std::shared_ptr<Datagrams>> Datagrams::open(asio::io_context &Io, const std::string &Ip,
                                                   std::uint16_t Port) {
  ErrorCode Failure;
  const auto Address = asio::ip::make_address(Ip, Failure);
  udp::socket Opened(Io);
  const udp::endpoint Endpoint(Address, Port);
  if (!Failure) {
    Opened.open(Endpoint.protocol(), Failure);
  }
  if (!Failure) {
    Opened.bind(Endpoint, Failure);
  }
  if (!Failure) {
    Opened.non_blocking(true, Failure);
  }
  if (Failure) {
    return Error{Errc::AddressUnusable, "listen for datagrams", Ip + ":" + std::to_string(Port),
                 Failure.message()};
  }
  return std::make_shared<Datagrams>(std::move(Opened));
}

void Datagrams::start(Receiver OnDatagram) {
  m_OnDatagram = std::move(OnDatagram);
  receive();
}

void Datagrams::receive() {
  m_Socket.async_receive_from(
      asio::buffer(m_Buffer), m_From,
      [Self = shared_from_this()](ErrorCode Failure, std::size_t Count) {
        // A datagram may have been queued before the socket was closed: then there is no
        // operation_aborted, and another receive would fail at once, again and again.
        if (Failure == asio::error::operation_aborted || !Self->m_Socket.is_open()) {
          return;
        }
        if (!Failure && Self->m_OnDatagram) {
          Self->m_OnDatagram(Self->m_From.address().to_string(), {Self->m_Buffer.data(), Count});
        }
        Self->receive();
      });
}

void Datagrams::send(const std::string &Ip, std::string_view Datagram) {
  ErrorCode Ignored;
  const auto Address = asio::ip::make_address(Ip, Ignored);
  if (Ignored) {
    return;
  }
  ErrorCode EndpointFailure;
  const auto Port = m_Socket.local_endpoint(EndpointFailure).port();
  m_Socket.send_to(asio::buffer(Datagram.data(), Datagram.size()), udp::endpoint(Address, Port), 0,
                   Ignored);
}

void Datagrams::close() {
  m_OnDatagram = nullptr;
  ErrorCode Ignored;
  m_Socket.close(Ignored);
}

} // namespace vanillahill::net
