#include "vanillahill/settings/load.hpp"

#include "json_text.hpp"
#include "site_reader.hpp"
#include "text_rules.hpp"

#include <array>
#include <cerrno>
#include <fstream>
#include <sstream>

namespace vanillahill::settings {

namespace {

using Json = nlohmann::json;
using Pointer = Json::json_pointer;

constexpr std::array<std::string_view, 2> DefaultPolicies = {"leased", "naive"};
constexpr std::array<std::string_view, 7> LogLevels = {"trace", "debug",    "info", "warning",
                                                       "error", "critical", "off"};
constexpr IntegerRange WorkerRange{.m_Min = 1, .m_Max = 64, .m_Unit = "threads"};
constexpr IntegerRange SeedRange{.m_Min = 0, .m_Max = UINT64_MAX, .m_Unit = ""};

Report reportFor(const std::string &File) {
  return Report{.m_FileOf = [File](const Pointer &) { return File; }, .m_Found = {}};
}

/// The overlay where it holds the value or its nearest parent that it sets, else the base.
std::string fileOf(const Json &Base, const Json &Overlay, const Pointer &At,
                   const CheckOptions &Options) {
  for (Pointer Place = At;; Place = Place.parent_pointer()) {
    if (Overlay.contains(Place)) {
      const bool OnlyParent = Place != At || Place.empty();
      const bool AlsoInBase = OnlyParent && Base.contains(Place);
      return AlsoInBase ? Options.m_BaseFile : Options.m_OverlayFile;
    }
    if (Base.contains(Place) || Place.empty()) {
      return Options.m_BaseFile;
    }
  }
}

struct TextField {
  const char *m_Name;
  std::string VmSettings::*m_Target;
  bool (*m_Accepts)(std::string_view);
  const char *m_Allowed;
};

constexpr std::array<TextField, 9> VmTexts = {{
    {"name", &VmSettings::m_Name, isName, NameRule},
    {"site", &VmSettings::m_Site, isName, NameRule},
    {"data_center", &VmSettings::m_DataCenter, isName, NameRule},
    {"caller_address", &VmSettings::m_CallerAddress, isBindAddress, BindAddressRule},
    {"peer_address", &VmSettings::m_PeerAddress, isBindAddress, BindAddressRule},
    {"admin_address", &VmSettings::m_AdminAddress, isBindAddress, BindAddressRule},
    {"platform_address", &VmSettings::m_PlatformAddress, isAddress, AddressRule},
    {"admin_token", &VmSettings::m_AdminToken, isToken, TokenRule},
    {"peer_token", &VmSettings::m_PeerToken, isToken, TokenRule},
}};

VmSettings readVm(const Json &Document, Report &Out) {
  VmSettings Vm;
  ObjectReader Reader(Document, Pointer(), Out);
  for (const TextField &Field : VmTexts) {
    Reader.require(Field.m_Name, Field.m_Allowed);
    Reader.text(Field.m_Name, Vm.*Field.m_Target, Field.m_Accepts, Field.m_Allowed);
  }
  Reader.integer("workers", Vm.m_Workers, WorkerRange);
  Reader.integer("seed", Vm.m_Seed, SeedRange);
  Reader.word("log_level", Vm.m_LogLevel, LogLevels);
  Reader.finish();
  return Vm;
}

} // namespace

std::span<const std::string_view> defaultPolicyNames() { return DefaultPolicies; }

Result<std::string> readText(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  std::ostringstream Text;
  if (File && File.peek() != std::ifstream::traits_type::eof()) {
    Text << File.rdbuf();
  }
  if (!File.is_open() || File.bad() || !Text) {
    const std::string Cause = std::generic_category().message(errno);
    return Error{Errc::SettingsUnreadable, "read settings", Path, Cause};
  }
  return Text.str();
}

Result<VmSettings> loadVmSettings(const std::string &Path) {
  const Result<std::string> Text = readText(Path);
  if (!Text) {
    return Text.error();
  }
  Report Out = reportFor(Path);
  const std::optional<Json> Document = parseJson(*Text, Path, Out.m_Found);
  VmSettings Vm;
  if (Document) {
    Vm = readVm(*Document, Out);
  }
  if (!Out.m_Found.empty()) {
    return toError(Out.m_Found);
  }
  return Vm;
}

Checked checkSite(std::string_view Base, std::string_view Overlay, const CheckOptions &Options) {
  Checked Result;
  const std::optional<Json> BaseJson = parseJson(Base, Options.m_BaseFile, Result.m_Problems);
  const std::optional<Json> OverlayJson =
      parseJson(Overlay, Options.m_OverlayFile, Result.m_Problems);
  if (!BaseJson || !OverlayJson) {
    return Result;
  }
  if (!OverlayJson->is_object()) {
    Result.m_Problems.push_back(
        {Errc::SettingsWrongType, Options.m_OverlayFile, "", shown(*OverlayJson), "object"});
    return Result;
  }
  Json Merged = *BaseJson;
  Merged.merge_patch(*OverlayJson);
  Report Out{
      .m_FileOf = [&](const Pointer &At) { return fileOf(*BaseJson, *OverlayJson, At, Options); },
      .m_Found = std::move(Result.m_Problems)};
  SiteSettings Site = readSite(Merged, Options, Out);
  Result.m_Problems = std::move(Out.m_Found);
  if (Result.m_Problems.empty()) {
    Result.m_Settings = std::make_shared<const SiteSettings>(std::move(Site));
  }
  return Result;
}

Problems checkBase(std::string_view Base, const CheckOptions &Options) {
  Report Out = reportFor(Options.m_BaseFile);
  const std::optional<Json> Document = parseJson(Base, Options.m_BaseFile, Out.m_Found);
  if (!Document || !Out.m_Found.empty()) {
    return Out.m_Found;
  }
  readSite(*Document, Options, Out);
  std::erase_if(Out.m_Found, [](const Problem &Each) {
    return Each.m_Code == Errc::SettingsMissingField || Each.m_Code == Errc::SettingsConflict;
  });
  return Out.m_Found;
}

} // namespace vanillahill::settings
