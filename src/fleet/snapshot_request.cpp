#include "vanillahill/fleet/snapshot_request.hpp"

#include <charconv>

namespace vanillahill::fleet {

namespace {

constexpr std::string_view ConfigurationField = "?configuration=";
constexpr std::string_view ServersField = "&servers=";

/// Removes a prefix and the number behind it from the front of Rest.
bool takeNumber(std::string_view &Rest, std::string_view Prefix, std::uint64_t &Out) {
  if (!Rest.starts_with(Prefix)) {
    return false;
  }
  Rest.remove_prefix(Prefix.size());
  const auto Parsed = std::from_chars(Rest.data(), Rest.data() + Rest.size(), Out);
  Rest.remove_prefix(static_cast<std::size_t>(Parsed.ptr - Rest.data()));
  return Parsed.ec == std::errc{};
}

bool takeField(std::string_view &Rest, std::string_view Prefix, Position &Out) {
  return takeNumber(Rest, Prefix, Out.m_Era) && takeNumber(Rest, ".", Out.m_Offset);
}

} // namespace

std::string encodeTarget(const SnapshotRequest &Request) {
  std::string Target(SnapshotPath);
  Target.append(ConfigurationField).append(toString(Request.m_ConfigurationTo));
  Target.append(ServersField).append(toString(Request.m_ServersTo));
  return Target;
}

std::optional<SnapshotRequest> decodeTarget(std::string_view Target) {
  SnapshotRequest Request;
  if (!Target.starts_with(SnapshotPath)) {
    return std::nullopt;
  }
  Target.remove_prefix(SnapshotPath.size());
  if (!takeField(Target, ConfigurationField, Request.m_ConfigurationTo) ||
      !takeField(Target, ServersField, Request.m_ServersTo) || !Target.empty()) {
    return std::nullopt;
  }
  return Request;
}

} // namespace vanillahill::fleet
