#include "vanillahill/core/ids.hpp"

#include <xxhash.h>

namespace vanillahill {

template <typename Id> Id idOf(std::string_view Name) {
  constexpr XXH32_hash_t Seed = 0;
  return static_cast<Id>(XXH32(Name.data(), Name.size(), Seed));
}

template VmId idOf<VmId>(std::string_view);
template ServiceId idOf<ServiceId>(std::string_view);
template ServerId idOf<ServerId>(std::string_view);
template KindId idOf<KindId>(std::string_view);
template TenantId idOf<TenantId>(std::string_view);

} // namespace vanillahill
