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

ProblemCollector collectorFor(const std::string &File) {
  return ProblemCollector{.m_FindFile = [File](const Pointer &) { return File; }, .m_Problems = {}};
}

/// Names the file to report for a value: the file that contains it, the overlay first. For a
/// missing value, the file that contains its nearest parent; the base when both contain it.
/// The base also for the document itself.
std::string findFile(const Json &Base, const Json &Overlay, const Pointer &At,
                     const CheckOptions &Options) {
  for (Pointer Candidate = At;; Candidate = Candidate.parent_pointer()) {
    if (Overlay.contains(Candidate)) {
      const bool IsParentOrRoot = Candidate != At || Candidate.empty();
      const bool AlsoInBase = IsParentOrRoot && Base.contains(Candidate);
      return AlsoInBase ? Options.m_BaseFile : Options.m_OverlayFile;
    }
    if (Base.contains(Candidate) || Candidate.empty()) {
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

VmSettings readVm(const Json &Document, ProblemCollector &Out) {
  VmSettings Vm;
  ObjectReader Reader(Document, Pointer(), Out);
  for (const TextField &Field : VmTexts) {
    Reader.requireField(Field.m_Name, Field.m_Allowed);
    Reader.readString(Field.m_Name, Vm.*Field.m_Target, Field.m_Accepts, Field.m_Allowed);
  }
  Reader.readInteger("workers", Vm.m_Workers, WorkerRange);
  Reader.readInteger("seed", Vm.m_Seed, SeedRange);
  Reader.readChoice("log_level", Vm.m_LogLevel, LogLevels);
  Reader.reportUnknownFields();
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
  ProblemCollector Out = collectorFor(Path);
  const std::optional<Json> Document = parseJson(*Text, Path, Out.m_Problems);
  VmSettings Vm;
  if (Document) {
    Vm = readVm(*Document, Out);
  }
  if (!Out.m_Problems.empty()) {
    return toError(Out.m_Problems);
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
        {Errc::SettingsWrongType, Options.m_OverlayFile, "", valueText(*OverlayJson), "object"});
    return Result;
  }
  Json Merged = *BaseJson;
  Merged.merge_patch(*OverlayJson);
  ProblemCollector Out{
      .m_FindFile =
          [&](const Pointer &At) { return findFile(*BaseJson, *OverlayJson, At, Options); },
      .m_Problems = std::move(Result.m_Problems)};
  SiteSettings Site = readSite(Merged, Options, Out);
  Result.m_Problems = std::move(Out.m_Problems);
  if (Result.m_Problems.empty()) {
    Result.m_Settings = std::make_shared<const SiteSettings>(std::move(Site));
  }
  return Result;
}

Problems checkBase(std::string_view Base, const CheckOptions &Options) {
  ProblemCollector Out = collectorFor(Options.m_BaseFile);
  const std::optional<Json> Document = parseJson(Base, Options.m_BaseFile, Out.m_Problems);
  if (!Document || !Out.m_Problems.empty()) {
    return Out.m_Problems;
  }
  readSite(*Document, Options, Out);
  std::erase_if(Out.m_Problems, [](const Problem &Each) {
    return Each.m_Code == Errc::SettingsMissingField || Each.m_Code == Errc::SettingsConflict;
  });
  return Out.m_Problems;
}

} // namespace vanillahill::settings
