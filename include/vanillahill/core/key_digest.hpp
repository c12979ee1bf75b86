/// \file
/// Digests of callers' keys. Only digests are kept, compared and passed on, never the keys.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace vanillahill {

/// Cryptographic digest of a key, the same on every VM.
struct KeyDigest {
  std::array<std::uint64_t, 2> m_Words{};

  friend bool operator==(const KeyDigest &, const KeyDigest &) = default;
};

/// \brief Computes the digest of a key (BLAKE2b, 128 bits).
/// \note Complexity: linear in the key.
KeyDigest digestOfKey(std::string_view Key);

/// \brief The digest as 32 hexadecimal digits, for messages between VMs.
std::string toHex(const KeyDigest &Value);

/// \brief Decodes what toHex() made.
/// \return nothing for other text
std::optional<KeyDigest> digestFromHex(std::string_view Text);

} // namespace vanillahill

/// For containers: the digest is uniformly distributed already.
template <> struct std::hash<vanillahill::KeyDigest> {
  std::size_t operator()(const vanillahill::KeyDigest &Value) const noexcept {
    return static_cast<std::size_t>(Value.m_Words[0]);
  }
};
