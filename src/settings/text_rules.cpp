#include "text_rules.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

namespace vanillahill::settings {

namespace {

constexpr std::size_t MaxNameBytes = 64;
constexpr std::size_t MinTokenBytes = 8;
constexpr std::size_t MaxTokenBytes = 256;

bool isNameCharacter(char Byte) {
  return (Byte >= 'a' && Byte <= 'z') || (Byte >= '0' && Byte <= '9') || Byte == '-';
}

bool isIpAddress(std::string_view Text) {
  in6_addr Parsed{};
  if (Text.size() > 2 && Text.front() == '[' && Text.back() == ']') {
    const std::string Inner(Text.substr(1, Text.size() - 2));
    return inet_pton(AF_INET6, Inner.c_str(), &Parsed) == 1;
  }
  return inet_pton(AF_INET, std::string(Text).c_str(), &Parsed) == 1;
}

std::optional<std::uint16_t> parsePort(std::string_view Text) {
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Code] = std::from_chars(Text.data(), End, Port);
  if (Code != std::errc() || Stop != End || Text.empty()) {
    return std::nullopt;
  }
  return Port;
}

} // namespace

bool isName(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxNameBytes && Text.front() != '-' &&
         std::all_of(Text.begin(), Text.end(), isNameCharacter);
}

bool isBindAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  return Colon != std::string_view::npos && isIpAddress(Text.substr(0, Colon)) &&
         parsePort(Text.substr(Colon + 1)).has_value();
}

bool isAddress(std::string_view Text) {
  return isBindAddress(Text) && parsePort(Text.substr(Text.rfind(':') + 1)) != 0;
}

bool isToken(std::string_view Text) {
  const auto Visible = [](char Byte) { return Byte > ' ' && Byte < '\x7f'; };
  return Text.size() >= MinTokenBytes && Text.size() <= MaxTokenBytes &&
         std::all_of(Text.begin(), Text.end(), Visible);
}

} // namespace vanillahill::settings
