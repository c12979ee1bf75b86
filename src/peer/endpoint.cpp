#include "endpoint.hpp"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <sstream>

namespace vanillahill::peer {

using Tcp = boost::asio::ip::tcp;

std::optional<Tcp::endpoint> parseEndpoint(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string Host(Text.substr(0, Colon));
  if (Host.starts_with('[') && Host.ends_with(']')) {
    Host = Host.substr(1, Host.size() - 2);
  }
  const char *const End = Text.data() + Text.size();
  std::uint16_t Port = 0;
  const auto [ParseEnd, ParseError] = std::from_chars(Text.data() + Colon + 1, End, Port);
  boost::system::error_code Code;
  const auto Address = boost::asio::ip::make_address(Host, Code);
  if (Code || ParseError != std::errc() || ParseEnd != End) {
    return std::nullopt;
  }
  return Tcp::endpoint(Address, Port);
}

std::string toText(const Tcp::endpoint &Value) {
  std::ostringstream Out;
  Out << Value;
  return Out.str();
}

boost::system::error_code listenOn(Tcp::acceptor &Acceptor, const Tcp::endpoint &Address) {
  boost::system::error_code Code;
  Acceptor.open(Address.protocol(), Code);
  if (!Code) {
    Acceptor.set_option(Tcp::acceptor::reuse_address(true), Code);
  }
  if (!Code) {
    Acceptor.bind(Address, Code);
  }
  if (!Code) {
    Acceptor.listen(Tcp::acceptor::max_listen_connections, Code);
  }
  return Code;
}

} // namespace vanillahill::peer
