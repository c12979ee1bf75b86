/// \file
/// One UDP socket for messages between VMs.
#pragma once

#include "vanillahill/net/detail/types.hpp"

#include <boost/asio/ip/udp.hpp>

#include <array>
#include <memory>

namespace vanillahill::net {

/// Sends and receives datagrams; lost datagrams are not resent. Used from one thread.
class Datagrams : public std::enable_shared_from_this<Datagrams> {
public:
  /// Receives a datagram and its source IP.
  using Receiver = std::function<void(std::string_view Ip, std::string_view Datagram)>;

  /// \brief Opens the socket.
  /// \param Ip address of this VM
  /// \param Port the same on all VMs
  /// \return the socket, or Errc::AddressUnusable
  static Result<std::shared_ptr<Datagrams>> open(asio::io_context &Io, const std::string &Ip,
                                                 std::uint16_t Port);

  explicit Datagrams(asio::ip::udp::socket Opened) : m_Socket(std::move(Opened)) {}

  /// \brief Starts receiving.
  void start(Receiver OnDatagram);

  /// \brief Sends a datagram; it is dropped if the send buffer is full.
  void send(const std::string &Ip, std::string_view Datagram);

  void close();

private:
  void receive();

  /// Maximum size of a received datagram.
  static constexpr std::size_t MaxDatagramBytes = 2048;

  asio::ip::udp::socket m_Socket;
  asio::ip::udp::endpoint m_From;
  std::array<char, MaxDatagramBytes> m_Buffer{};
  Receiver m_OnDatagram;
};

} // namespace vanillahill::net
