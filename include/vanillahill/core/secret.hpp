/// \file
/// Comparison of secrets in a time independent of their content.
#pragma once

#include <cstddef>
#include <string_view>

namespace vanillahill {

/// \brief Compares two secrets in a time that does not reveal how many of their bytes are equal.
/// \param Received the secret that the other side sent
/// \param Expected the secret
/// \return true when they are equal and not empty
/// \note Complexity: linear in the length of Received.
inline bool equalSecrets(std::string_view Received, std::string_view Expected) {
  unsigned Difference = Received.size() == Expected.size() ? 0 : 1;
  for (std::size_t Index = 0; Index < Received.size(); ++Index) {
    const char ExpectedByte = Expected.empty() ? '\0' : Expected[Index % Expected.size()];
    Difference |=
        static_cast<unsigned char>(Received[Index]) ^ static_cast<unsigned char>(ExpectedByte);
  }
  return Difference == 0 && !Expected.empty();
}

} // namespace vanillahill
