/// \file
/// Comparison of secrets.
#pragma once

#include <cstddef>
#include <string_view>

namespace vanillahill {

/// \brief Compares two secrets in a time that does not tell how much of them is equal.
/// \param Shown what the other side showed
/// \param Expected the secret
/// \return true when they are equal
/// \note Complexity: linear in the shown text.
inline bool equalSecrets(std::string_view Shown, std::string_view Expected) {
  unsigned Difference = Shown.size() == Expected.size() ? 0 : 1;
  for (std::size_t Index = 0; Index < Shown.size(); ++Index) {
    const char Other = Expected.empty() ? '\0' : Expected[Index % Expected.size()];
    Difference |= static_cast<unsigned char>(Shown[Index]) ^ static_cast<unsigned char>(Other);
  }
  return Difference == 0 && !Expected.empty();
}

} // namespace vanillahill
