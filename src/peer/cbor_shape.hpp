/// \file
/// A check of CBOR bytes before the library parses them.
#pragma once

#include <cstdint>
#include <span>
#include <string>

namespace vanillahill::peer {

/// \brief Checks that bytes are one CBOR item of the shape that peer messages have: integers,
/// strings, byte strings, null, booleans and arrays, all of definite length, nested at most
/// MaxCborDepth deep, with no byte left over. The library's parser recurses without a bound and
/// reserves memory for lengths as claimed; bytes that pass cannot make it do either.
/// \param Bytes the frame
/// \return empty when the shape is right, else what is wrong and at which byte
/// \note Complexity: linear in the bytes; no allocation unless there is an error.
std::string checkCborShape(std::span<const std::uint8_t> Bytes);

/// Deepest nesting of arrays: a message, a list in it, an entry of the list, one spare level.
inline constexpr std::size_t MaxCborDepth = 4;

} // namespace vanillahill::peer
