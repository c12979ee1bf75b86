/// \file
/// Strict check of the head of an HTTP/1.1 message, made on its raw bytes before they are parsed.
/// It refuses heads that two HTTP parsers could interpret differently.
#pragma once

#include "vanillahill/net/fault.hpp"

#include <string_view>

namespace vanillahill::net {

/// Selects the rules that apply in addition to those for all messages.
enum class HeadKind : std::uint8_t { Request, Reply };

/// \brief Finds the end of a head.
/// \param Bytes the bytes received so far
/// \return length of the head with its empty line; 0 while it is incomplete
std::size_t headLength(std::string_view Bytes);

/// \brief Checks a complete head.
/// \param Head start line, headers and the empty line
/// \param Kind request or reply
/// \return CallerFault::None if it may be parsed
/// \note Complexity: linear in the head.
CallerFault checkHead(std::string_view Head, HeadKind Kind);

/// \brief Checks the bytes of an incomplete head, so that one that cannot become valid is refused
/// at once.
/// \param Bytes the bytes received so far
/// \return CallerFault::None when it may still become a valid head
CallerFault checkPartialHead(std::string_view Bytes);

} // namespace vanillahill::net
