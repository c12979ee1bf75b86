#include "vanillahill/config/record.hpp"

#include "../settings/json_text.hpp"
#include "../settings/text_rules.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>
#include <xxhash.h>

namespace vanillahill::config {

namespace {

using Json = nlohmann::json;

constexpr int FormatVersion = 1;
constexpr std::string_view OverlayPrefix = "overlay/";
constexpr std::size_t MaxIdBytes = 64;

std::string computeDigest(const Json &Body) {
  const std::string Text = Body.dump();
  const XXH128_hash_t Hash = XXH3_128bits(Text.data(), Text.size());
  return fmt::format("{:016x}{:016x}", Hash.high64, Hash.low64);
}

std::string encodeWithDigest(Json Body) {
  Body["format"] = FormatVersion;
  Body["digest"] = computeDigest(Body);
  return Body.dump();
}

Json toJson(const Change &Value) {
  return {{"type", "change"},
          {"file", Value.m_File},
          {"version", Value.m_Version},
          {"builds_on", Value.m_BuildsOn},
          {"change_id", Value.m_ChangeId},
          {"operator", Value.m_Operator},
          {"written_ms", Value.m_WrittenMillis},
          {"content", Json::parse(Value.m_Content)}};
}

Json toJson(const FileState &Value) {
  Json Recent = Json::array();
  for (const PastChange &Each : Value.m_Recent) {
    Recent.push_back({{"change_id", Each.m_ChangeId}, {"version", Each.m_Version}});
  }
  return {{"change", toJson(Value.m_Change)}, {"recent", std::move(Recent)}};
}

Error malformed(std::string Detail) {
  return {Errc::RecordMalformed, "read record", "log", std::move(Detail)};
}

bool isValidId(std::string_view Text) {
  const auto Visible = [](char Byte) { return Byte > ' ' && Byte < '\x7f'; };
  return !Text.empty() && Text.size() <= MaxIdBytes &&
         std::all_of(Text.begin(), Text.end(), Visible);
}

bool isFileName(std::string_view File) { return File == BaseFile || siteOf(File).has_value(); }

/// Throws Json::exception or std::invalid_argument when a field is missing or invalid.
Change parseChange(const Json &Body) {
  Change Value;
  Value.m_File = Body.at("file").get<std::string>();
  Value.m_Version = Body.at("version").get<std::uint64_t>();
  Value.m_BuildsOn = Body.at("builds_on").get<std::uint64_t>();
  Value.m_ChangeId = Body.at("change_id").get<std::string>();
  Value.m_Operator = Body.at("operator").get<std::string>();
  Value.m_WrittenMillis = Body.at("written_ms").get<std::int64_t>();
  Value.m_Content = Body.at("content").dump();
  if (!isFileName(Value.m_File)) {
    throw std::invalid_argument("file is neither base nor overlay/<site>");
  }
  if (Value.m_Version == 0 || Value.m_Version != Value.m_BuildsOn + 1) {
    throw std::invalid_argument("version is not one more than builds_on");
  }
  if (!isValidId(Value.m_ChangeId) || !isValidId(Value.m_Operator)) {
    throw std::invalid_argument("change_id or operator is not 1 to 64 visible ASCII characters");
  }
  return Value;
}

FileState parseFileState(const Json &Body) {
  FileState Value{.m_Change = parseChange(Body.at("change")), .m_Recent = {}};
  for (const Json &Each : Body.at("recent")) {
    Value.m_Recent.push_back(
        {Each.at("change_id").get<std::string>(), Each.at("version").get<std::uint64_t>()});
  }
  return Value;
}

Checkpoint parseCheckpoint(const Json &Body) {
  Checkpoint Value;
  Value.m_AsOf = Body.at("as_of").get<std::uint64_t>();
  for (const Json &Each : Body.at("files")) {
    Value.m_Files.push_back(parseFileState(Each));
  }
  const auto OutOfOrder = [](const FileState &Left, const FileState &Right) {
    return Left.m_Change.m_File >= Right.m_Change.m_File;
  };
  const auto &Files = Value.m_Files;
  if (std::adjacent_find(Files.begin(), Files.end(), OutOfOrder) != Files.end()) {
    throw std::invalid_argument("files are not sorted by name or a file is repeated");
  }
  return Value;
}

Record parseRecord(const Json &Body) {
  const auto Type = Body.at("type").get<std::string>();
  if (Type == "change") {
    return parseChange(Body);
  }
  if (Type == "checkpoint") {
    return parseCheckpoint(Body);
  }
  throw std::invalid_argument("type is neither change nor checkpoint");
}

} // namespace

std::string overlayFile(std::string_view Site) {
  return std::string(OverlayPrefix) + std::string(Site);
}

std::optional<std::string_view> siteOf(std::string_view File) {
  if (!File.starts_with(OverlayPrefix)) {
    return std::nullopt;
  }
  File.remove_prefix(OverlayPrefix.size());
  return settings::isName(File) ? std::optional(File) : std::nullopt;
}

std::string encode(const Change &Value) { return encodeWithDigest(toJson(Value)); }

std::string encode(const Checkpoint &Value) {
  Json Files = Json::array();
  for (const FileState &Each : Value.m_Files) {
    Files.push_back(toJson(Each));
  }
  return encodeWithDigest(
      {{"type", "checkpoint"}, {"as_of", Value.m_AsOf}, {"files", std::move(Files)}});
}

Result<Record> decode(std::string_view Text) {
  if (Text.size() > MaxRecordBytes) {
    return malformed(
        fmt::format("record has {} bytes, at most {} are allowed", Text.size(), MaxRecordBytes));
  }
  settings::Problems Found;
  std::optional<Json> Body = settings::parseJson(Text, "log", Found);
  if (!Found.empty()) {
    return malformed(Found.front().m_Found);
  }
  try {
    const auto Digest = Body->at("digest").get<std::string>();
    Body->erase("digest");
    if (Digest != computeDigest(*Body)) {
      return Error{Errc::RecordDigestMismatch, "read record", "log",
                   "record does not match its digest " + Digest};
    }
    if (Body->at("format") != FormatVersion) {
      return malformed("unsupported format " + Body->at("format").dump());
    }
    return parseRecord(*Body);
  } catch (const std::exception &Raised) {
    return malformed(Raised.what());
  }
}

std::optional<std::string> canonicalJson(std::string_view Text) {
  settings::Problems Found;
  const std::optional<Json> Document = settings::parseJson(Text, "", Found);
  if (!Found.empty()) {
    return std::nullopt;
  }
  return Document->dump();
}

} // namespace vanillahill::config
