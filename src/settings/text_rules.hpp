/// \file
/// Rules for names, addresses and tokens in settings.
#pragma once

#include <string_view>

namespace vanillahill::settings {

inline constexpr const char *NameRule =
    "1 to 64 characters of a-z, 0-9 and -, the first a letter or a digit";
inline constexpr const char *AddressRule = "IP:port with a port from 1 to 65535";
inline constexpr const char *BindAddressRule =
    "IP:port with a port from 0 to 65535, 0 takes a free one";
inline constexpr const char *TokenRule = "8 to 256 visible ASCII characters";

/// \brief Whether a text is valid as the name of a service, kind, server, VM, site or data centre.
bool isName(std::string_view Text);
/// \brief Whether a text is an IPv4 address, or an IPv6 one in brackets, with a port above 0.
bool isAddress(std::string_view Text);
/// \brief As isAddress; port 0 is accepted too.
bool isBindAddress(std::string_view Text);
/// \brief Whether a text is valid as a bearer token.
bool isToken(std::string_view Text);

} // namespace vanillahill::settings
