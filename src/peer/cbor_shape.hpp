/// \file
/// Validates CBOR bytes before the library parses them.
#pragma once

#include <cstdint>
#include <span>
#include <string>

namespace vanillahill::peer {

/// \brief Checks that bytes are one CBOR item of the shape that peer messages have: integers,
/// strings, byte strings, null, booleans and arrays, all of definite length, nested at most
/// MaxCborDepth deep, with no trailing bytes. The library's parser recurses without a limit and
/// reserves memory for the lengths that the input claims; input that passes this check cannot
/// exploit either.
/// \param Bytes the frame
/// \return empty when the bytes are valid, else the problem and the byte where it is
/// \note Complexity: linear in the bytes; no allocation unless there is an error.
std::string checkCborShape(std::span<const std::uint8_t> Bytes);

/// Maximum nesting of arrays: a message, a list in it, an entry of the list, and one spare level.
inline constexpr std::size_t MaxCborDepth = 4;

} // namespace vanillahill::peer
