/// \file
/// Identifiers: strongly typed integers by which objects are looked up in containers.
#pragma once

#include <cstdint>
#include <string_view>
#include <type_traits>

namespace vanillahill {

/// An entry VM. The hash of its name, the same on every VM.
enum class VmId : std::uint32_t {};
/// A service: a set of interchangeable backend servers.
enum class ServiceId : std::uint32_t {};
/// A backend server. The hash of "service/server", the same on every VM.
enum class ServerId : std::uint32_t {};
/// A kind of request. The hash of "service/kind", the same on every VM.
enum class KindId : std::uint32_t {};
/// A tenant. The hash of its name, the same on every VM.
enum class TenantId : std::uint32_t {};
/// One caller request inside one VM.
enum class RequestId : std::uint64_t {};
/// One dispatch of a request to one backend server inside one VM; also the exchange id.
enum class AttemptId : std::uint64_t {};

/// \brief Hashes a name to an identifier that is the same on every VM.
/// \param Name the full name, for example "rounds-desk/server-03"
/// \return the identifier
/// \note Complexity: linear in the name. Validation of settings rejects two names with the
/// same identifier.
template <typename Id> Id idOf(std::string_view Name);

extern template VmId idOf<VmId>(std::string_view);
extern template ServiceId idOf<ServiceId>(std::string_view);
extern template ServerId idOf<ServerId>(std::string_view);
extern template KindId idOf<KindId>(std::string_view);
extern template TenantId idOf<TenantId>(std::string_view);

/// \brief The underlying integer of an identifier.
/// \param Value any identifier
/// \return its underlying integer
template <typename Id> constexpr auto raw(Id Value) {
  return static_cast<std::underlying_type_t<Id>>(Value);
}

} // namespace vanillahill
