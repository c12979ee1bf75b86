#include "vanillahill/net/detail/types.hpp"

#include <charconv>

namespace vanillahill::net {

namespace {

Error addressError(std::string_view Step, std::string_view Text, std::string Detail) {
  return {Errc::AddressUnusable, std::string(Step), std::string(Text), std::move(Detail)};
}

} // namespace

Result<Tcp::endpoint> parseEndpoint(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos) {
    return addressError("read address", Text, "expected IP:port");
  }
  auto Host = Text.substr(0, Colon);
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']') {
    Host = Host.substr(1, Host.size() - 2);
  }
  std::uint16_t Port = 0;
  const auto *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End) {
    return addressError("read address", Text, "the port must be a number from 0 to 65535");
  }
  ErrorCode Failure;
  const auto Address = asio::ip::make_address(std::string(Host), Failure);
  if (Failure) {
    return addressError("read address", Text, "the host must be an IP address");
  }
  return Tcp::endpoint(Address, Port);
}

Result<Acceptor> listenOn(asio::io_context &Io, std::string_view Address) {
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint) {
    return Endpoint.error();
  }
  Acceptor Listener(asio::make_strand(Io));
  ErrorCode Failure;
  Listener.open(Endpoint->protocol(), Failure);
  if (!Failure) {
    Listener.set_option(asio::socket_base::reuse_address(true), Failure);
  }
  if (!Failure) {
    Listener.bind(*Endpoint, Failure);
  }
  if (!Failure) {
    Listener.listen(asio::socket_base::max_listen_connections, Failure);
  }
  if (Failure) {
    return addressError("listen", Address, Failure.message());
  }
  return Result<Acceptor>(std::move(Listener));
}

std::string toText(const Tcp::endpoint &Endpoint) {
  const auto Host = Endpoint.address().to_string();
  const bool NeedsBrackets = Endpoint.address().is_v6();
  return (NeedsBrackets ? "[" + Host + "]" : Host) + ":" + std::to_string(Endpoint.port());
}

void closeSocket(Socket &Stream) {
  ErrorCode Ignored;
  Stream.shutdown(Socket::shutdown_both, Ignored);
  Stream.close(Ignored);
}

void setNoDelay(Socket &Stream) {
  ErrorCode Ignored;
  Stream.set_option(Tcp::no_delay(true), Ignored);
}

} // namespace vanillahill::net
