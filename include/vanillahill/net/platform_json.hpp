/// \file
/// Parses the JSON replies of the platform's log and VM list.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/kernel/events.hpp"

#include <string_view>

namespace vanillahill::net {

/// \brief Parses the reply to GET /log.
/// \return the records; Errc::RecordMalformed if the text has another form
Result<kernel::LogRead> parseLogPage(std::string_view Text);

/// \brief Parses the reply to GET /vms.
/// \return the VMs; Errc::RecordMalformed if the text has another form
Result<kernel::VmListRead> parseVmList(std::string_view Text);

} // namespace vanillahill::net
