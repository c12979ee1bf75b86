/// \file
/// Text addresses as endpoints.
#pragma once

#include "vanillahill/core/error.hpp"

#include <boost/asio/ip/tcp.hpp>

#include <string_view>

namespace vanillahill::load::detail {

/// \brief Reads "IP:port".
/// \return the endpoint, or AddressUnusable
Result<boost::asio::ip::tcp::endpoint> parseAddress(std::string_view Text);

} // namespace vanillahill::load::detail
