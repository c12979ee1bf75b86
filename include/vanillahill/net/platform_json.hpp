/// \file
/// What the platform's log and VM list answer, read from JSON.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/kernel/events.hpp"

#include <string_view>

namespace vanillahill::net {

/// \brief Reads the answer of GET /log.
/// \return the records; Errc::RecordMalformed when the text has another form
Result<kernel::LogRead> parseLogPage(std::string_view Text);

/// \brief Reads the answer of GET /vms.
/// \return the VMs; Errc::RecordMalformed when the text has another form
Result<kernel::VmListRead> parseVmList(std::string_view Text);

} // namespace vanillahill::net
