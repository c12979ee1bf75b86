/// \file
/// Depth of the nesting of documents from outside, found before they are parsed.
#pragma once

#include <cstddef>
#include <string_view>

namespace vanillahill {

/// Limit on the nesting of arrays and objects in a document. Code that visits a document calls
/// itself for each level, so that a deep one would exhaust the stack.
inline constexpr std::size_t MaxNesting = 32;

/// \brief Whether a JSON text nests deeper than MaxNesting; the text need not be valid.
/// \note Complexity: linear in the text.
bool isJsonTooDeep(std::string_view Text);

/// \brief Whether CBOR bytes nest deeper than MaxNesting; the bytes need not be valid.
/// \note Complexity: linear in the bytes.
bool isCborTooDeep(std::string_view Bytes);

} // namespace vanillahill
