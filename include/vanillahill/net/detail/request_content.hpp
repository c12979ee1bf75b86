/// \file
/// Identifies what a caller asked for, so that copies of a request are recognized on every VM.
#pragma once

#include "vanillahill/core/crash_report.hpp"
#include "vanillahill/net/detail/caller_request.hpp"

namespace vanillahill::net {

/// \brief A fast hash over method, host, target and length of the body.
std::uint64_t contentHash(const HttpRequest &Message);

/// \brief The content of a request as its server sees it: method, host, target, the headers that
/// identify the caller, and body. Headers that differ with each attempt do not count, nor does the
/// address of the caller, which the server does not learn.
/// \param Tenant name of the caller's tenant, which the server sees in place of the key; empty for
/// none \note Complexity: linear in the body.
RequestContent contentOf(const HttpRequest &Message, std::string_view Tenant = {});

} // namespace vanillahill::net
