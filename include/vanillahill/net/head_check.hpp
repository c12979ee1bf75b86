/// \file
/// Strict check of the head of an HTTP/1.1 message, made on its raw bytes before they are parsed.
/// It refuses what two HTTP parsers could read in two ways.
#pragma once

#include "vanillahill/net/fault.hpp"

#include <string_view>

namespace vanillahill::net {

/// Which rules apply besides those of every message.
enum class HeadKind : std::uint8_t { Request, Reply };

/// \brief Finds the end of a head.
/// \param Bytes what was received so far
/// \return length of the head with its empty line; 0 while it is not whole
std::size_t headLength(std::string_view Bytes);

/// \brief Checks a whole head.
/// \param Head start line, headers and the empty line
/// \param Kind request or reply
/// \return CallerFault::None when it may be parsed
/// \note Complexity: linear in the head.
CallerFault checkHead(std::string_view Head, HeadKind Kind);

/// \brief Checks a head that is not whole yet, so that one that can never end is refused at once.
/// \param Bytes what was received so far
/// \return CallerFault::None when it may still become a valid head
CallerFault checkPartialHead(std::string_view Bytes);

} // namespace vanillahill::net
