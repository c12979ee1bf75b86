/// \file
/// Parses and formats TCP endpoints.
#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace vanillahill::peer {

/// \brief Parses "IP:port"; an IPv6 address is in brackets.
/// \return nothing when the text has another format
std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view Text);

/// \brief Formats an endpoint as "IP:port".
std::string toText(const boost::asio::ip::tcp::endpoint &Value);

/// \brief Opens an acceptor and listens.
/// \return the error of the step that failed, or no error
boost::system::error_code listenOn(boost::asio::ip::tcp::acceptor &Acceptor,
                                   const boost::asio::ip::tcp::endpoint &Address);

} // namespace vanillahill::peer
