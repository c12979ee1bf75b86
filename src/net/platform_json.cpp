#include "vanillahill/net/platform_json.hpp"

#include <nlohmann/json.hpp>

namespace vanillahill::net {

namespace {

using nlohmann::json;

/// Error id of nlohmann::json for a value of the wrong type.
constexpr int WrongType = 302;

Error malformed(std::string_view What, std::string Detail) {
  return {Errc::RecordMalformed, "read " + std::string(What), "platform", std::move(Detail)};
}

/// Runs a reader that may throw exceptions of nlohmann::json and converts these to an Error.
template <typename Value, typename Reader>
Result<Value> readJson(std::string_view What, std::string_view Text, Reader Read) {
  try {
    return Read(json::parse(Text));
  } catch (const json::exception &Exception) {
    return malformed(What, Exception.what());
  }
}

/// Reads an offset; get() alone would convert a negative number to a large one.
std::uint64_t readOffset(const json &From) {
  if (!From.is_number_unsigned()) {
    throw json::type_error::create(WrongType, "an offset must be a non-negative integer", &From);
  }
  return From.get<std::uint64_t>();
}

kernel::LogRecord readRecord(const json &From) {
  return {.m_Offset = readOffset(From.at("offset")), .m_Data = From.at("data").get<std::string>()};
}

kernel::VmEntry readVm(const json &From) {
  return {.m_Name = From.at("name").get<std::string>(),
          .m_PeerAddress = From.at("peer_address").get<std::string>(),
          .m_DataCenter = From.at("data_center").get<std::string>(),
          .m_Leaving = From.at("state").get<std::string>() == "leaving"};
}

} // namespace

Result<kernel::LogRead> parseLogPage(std::string_view Text) {
  return readJson<kernel::LogRead>("log page", Text, [](const json &Page) {
    kernel::LogRead Read;
    Read.m_First = readOffset(Page.at("first"));
    Read.m_Next = readOffset(Page.at("next"));
    for (const auto &Record : Page.at("records")) {
      Read.m_Records.push_back(readRecord(Record));
    }
    return Read;
  });
}

Result<kernel::VmListRead> parseVmList(std::string_view Text) {
  return readJson<kernel::VmListRead>("VM list", Text, [](const json &List) {
    kernel::VmListRead Read;
    for (const auto &Vm : List.at("vms")) {
      Read.m_Vms.push_back(readVm(Vm));
    }
    return Read;
  });
}

} // namespace vanillahill::net
