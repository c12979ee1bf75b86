/// \file
/// TCP endpoints from the text of settings.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace vanillahill::peer {

/// \brief Reads "IP:port"; an IPv6 address stands in brackets.
/// \return nothing when the text is of another form
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view Text);

/// \brief Writes "IP:port".
std::string toText(const boost::asio::ip::tcp::endpoint &Value);

/// \brief Opens an acceptor and listens.
/// \return what failed; no error when it listens
boost::system::error_code listenOn(boost::asio::ip::tcp::acceptor &Acceptor,
                                   const boost::asio::ip::tcp::endpoint &Address);

} // namespace vanillahill::peer
