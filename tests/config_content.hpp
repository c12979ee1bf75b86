/// \file
/// Small configuration contents for tests: a base and an overlay that are valid together if
/// max_connections of the overlay is at least max_vms of the base.
#pragma once

#include "vanillahill/config/replica.hpp"

#include <spdlog/fmt/fmt.h>

#include <map>
#include <string>

namespace vanillahill::config {

inline constexpr Duration TestRetention = std::chrono::seconds(60);

inline std::string baseContent(std::uint32_t MaxVms) {
  return fmt::format(R"({{"log":{{"retention_ms":60000}},"membership":{{"max_vms":{}}},)"
                     R"("services":{{"desk":{{"kinds":{{"look":{{"deadline_ms":300,)"
                     R"("idempotent":true}}}}}}}}}})",
                     MaxVms);
}

inline std::string overlayContent(std::uint32_t MaxConnections) {
  return fmt::format(R"({{"data_centers":["eros"],"services":{{"desk":{{"servers":{{"s01":{{)"
                     R"("address":"10.0.0.1:80","data_center":"eros","max_connections":{},)"
                     R"("slots":1}}}}}}}}}})",
                     MaxConnections);
}

inline Change makeChange(std::string File, std::uint64_t BuildsOn, std::string Id,
                         std::string Content) {
  return {.m_File = std::move(File),
          .m_Version = BuildsOn + 1,
          .m_BuildsOn = BuildsOn,
          .m_ChangeId = std::move(Id),
          .m_Operator = "test",
          .m_Content = std::move(Content)};
}

/// Version and change id of each file on a VM.
using HeldVersions = std::map<std::string, PastChange>;

inline HeldVersions heldVersions(const std::vector<std::string> &Records) {
  HeldVersions Held;
  for (const std::string &Text : Records) {
    const Result<Record> Decoded = decode(Text);
    for (const FileState &Each : std::get<Checkpoint>(Decoded.value()).m_Files) {
      Held[Each.m_Change.m_File] = {Each.m_Change.m_ChangeId, Each.m_Change.m_Version};
    }
  }
  return Held;
}

} // namespace vanillahill::config
