#include "vanillahill/core/key_digest.hpp"

#include <sodium.h>

namespace vanillahill {

KeyDigest digestOfKey(std::string_view Key) {
  KeyDigest Made;
  crypto_generichash(reinterpret_cast<unsigned char *>(Made.m_Words.data()), sizeof(Made.m_Words),
                     reinterpret_cast<const unsigned char *>(Key.data()), Key.size(), nullptr, 0);
  return Made;
}

std::string toHex(const KeyDigest &Value) {
  std::string Text(sizeof(Value.m_Words) * 2 + 1, '\0');
  sodium_bin2hex(Text.data(), Text.size(),
                 reinterpret_cast<const unsigned char *>(Value.m_Words.data()),
                 sizeof(Value.m_Words));
  Text.pop_back();
  return Text;
}

std::optional<KeyDigest> digestFromHex(std::string_view Text) {
  KeyDigest Read;
  std::size_t Bytes = 0;
  const char *End = nullptr;
  const int Status =
      sodium_hex2bin(reinterpret_cast<unsigned char *>(Read.m_Words.data()), sizeof(Read.m_Words),
                     Text.data(), Text.size(), nullptr, &Bytes, &End);
  const bool IsWhole = End == Text.data() + Text.size() && Bytes == sizeof(Read.m_Words);
  return Status == 0 && IsWhole ? std::optional(Read) : std::nullopt;
}

} // namespace vanillahill
