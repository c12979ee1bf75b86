#include "detail/address.hpp"

#include <charconv>
#include <string>

namespace vanillahill::load::detail {

Result<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view Text) {
  const Error Unusable{Errc::AddressUnusable, "read address", std::string(Text),
                       "IP:port is expected"};
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos) {
    return Unusable;
  }
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Failure] = std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Failure != std::errc() || Stop != End) {
    return Unusable;
  }
  boost::system::error_code Bad;
  const auto Ip = boost::asio::ip::make_address(std::string(Text.substr(0, Colon)), Bad);
  if (Bad) {
    return Unusable;
  }
  return boost::asio::ip::tcp::endpoint(Ip, Port);
}

} // namespace vanillahill::load::detail
