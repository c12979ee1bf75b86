#include "vanillahill/ctl/commands.hpp"

#include "vanillahill/config/publisher.hpp"
#include "vanillahill/ctl/vm_status.hpp"
#include "vanillahill/platform/log_client.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <spdlog/fmt/fmt.h>
#include <thread>

namespace vanillahill::ctl {

namespace {

using Json = nlohmann::ordered_json;
using SortedJson = nlohmann::json;
using Publisher = config::Publisher<platform::LogClient>;

constexpr const char *NotJson = ": not JSON, or a name stands twice in an object; run check";
constexpr const char *Program = "vanillahill-ctl: ";
constexpr Duration StatusPause = std::chrono::milliseconds(100);
constexpr Duration CallTimeout = std::chrono::seconds(3);

void complain(std::string_view Text) { std::cerr << Program << Text << '\n'; }

int fail(const Error &Cause) {
  complain(toString(Cause));
  const bool Local = Cause.m_Code == Errc::SettingsUnreadable;
  return Local ? ExitInvalid : ExitUnavailable;
}

Json toJson(const settings::Problem &Each) {
  return {{"file", Each.m_File},
          {"pointer", Each.m_Pointer},
          {"error", make_error_code(Each.m_Code).message()},
          {"found", Each.m_Found},
          {"allowed", Each.m_Allowed}};
}

Json toJson(const settings::Problems &Found) {
  Json List = Json::array();
  for (const settings::Problem &Each : Found) {
    List.push_back(toJson(Each));
  }
  return List;
}

void printProblems(const settings::Problems &Found) {
  for (const settings::Problem &Each : Found) {
    std::cerr << settings::toString(Each) << '\n';
  }
}

Result<std::string> readInput(const std::string &Path) {
  if (Path == "-") {
    return std::string(std::istreambuf_iterator<char>(std::cin), {});
  }
  return settings::readText(Path);
}

std::string newChangeId() {
  std::random_device Source;
  return fmt::format("{:08x}{:08x}", Source(), Source());
}

std::int64_t unixMillis() {
  const auto Since = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(Since).count();
}

std::vector<peer::FileVersion> versionsOf(const config::Replay &State) {
  std::vector<peer::FileVersion> Versions;
  for (const auto &[File, Each] : State.files()) {
    Versions.push_back({.m_File = File, .m_Version = Each.m_Change.m_Version});
  }
  return Versions;
}

/// Reads the log to its end; complains when that is not possible.
bool readLog(Publisher &Reader, const Options &Given) {
  if (!Reader.catchUp(SystemClock().now() + Given.m_Timeout)) {
    complain(toString(Reader.lastError().value_or(
        Error{Errc::LogUnavailable, "read log", Given.m_Platform, "no end in time"})));
    return false;
  }
  if (Reader.follower().hasGap()) {
    complain("the oldest records of the log aged out and no checkpoint stands for them yet; "
             "see docs/operators/log-outage.md");
    return false;
  }
  return true;
}

std::vector<VmStatus> askAll(const Options &Given) {
  std::vector<VmStatus> Vms;
  for (const std::string &Address : Given.m_Vms) {
    Vms.push_back(askVm(Address, Given.m_Token));
  }
  return Vms;
}

void printStatus(const Options &Given, const std::vector<VmStatus> &Vms,
                 const std::vector<peer::FileVersion> &Versions) {
  std::cout << (Given.m_Json ? statusJson(Vms, Versions) : statusTable(Vms, Versions));
}

int waitInForce(const Options &Given, const config::Draft &Wanted, std::uint64_t Version) {
  const std::vector<peer::FileVersion> Versions = {{.m_File = Wanted.m_File, .m_Version = Version}};
  const TimePoint Start = SystemClock().now();
  std::vector<VmStatus> Vms = askAll(Given);
  while (!inForce(Vms, Versions) && SystemClock().now() - Start < Given.m_Timeout) {
    std::this_thread::sleep_for(StatusPause);
    Vms = askAll(Given);
  }
  const std::int64_t Elapsed = toMillis(SystemClock().now() - Start);
  const bool Everywhere = inForce(Vms, Versions);
  printStatus(Given, Vms, Versions);
  complain(fmt::format("{} on {} VMs after {} ms", Everywhere ? "in force" : "not yet in force",
                       Vms.size(), Elapsed));
  return Everywhere ? ExitOk : ExitDifferent;
}

const char *nameOf(config::PublishStatus Status) {
  switch (Status) {
  case config::PublishStatus::Accepted:
    return "accepted";
  case config::PublishStatus::LostRace:
    return "lost-race";
  case config::PublishStatus::Invalid:
    return "invalid";
  case config::PublishStatus::IdReused:
    return "id-reused";
  case config::PublishStatus::Unconfirmed:
    return "unconfirmed";
  case config::PublishStatus::LogUnavailable:
    return "log-unavailable";
  case config::PublishStatus::StateMissing:
    return "state-missing";
  }
  return "unconfirmed";
}

int exitOf(config::PublishStatus Status) {
  switch (Status) {
  case config::PublishStatus::Accepted:
    return ExitOk;
  case config::PublishStatus::LostRace:
    return ExitLostRace;
  case config::PublishStatus::Invalid:
  case config::PublishStatus::IdReused:
    return ExitInvalid;
  case config::PublishStatus::Unconfirmed:
    return ExitUnconfirmed;
  case config::PublishStatus::LogUnavailable:
  case config::PublishStatus::StateMissing:
    return ExitUnavailable;
  }
  return ExitUnconfirmed;
}

std::string sentenceFor(const config::Draft &Wanted, const config::PublishResult &Result) {
  switch (Result.m_Status) {
  case config::PublishStatus::Accepted:
    return fmt::format("accepted: {} version {}, change {}", Wanted.m_File, Result.m_Version,
                       Wanted.m_ChangeId);
  case config::PublishStatus::LostRace:
    return fmt::format("lost the race: {} is at version {}, change {} by {}. This change never "
                       "takes effect; compare with the current version and publish again",
                       Wanted.m_File, Result.m_Version, Result.m_Winner.m_ChangeId,
                       Result.m_Winner.m_Operator);
  case config::PublishStatus::Invalid:
    return fmt::format("refused: {} does not pass the checks", Wanted.m_File);
  case config::PublishStatus::IdReused:
    return fmt::format("refused: change id {} was used for another content, version {}",
                       Wanted.m_ChangeId, Result.m_Version);
  case config::PublishStatus::Unconfirmed:
    return fmt::format("not confirmed: the record may have been appended. Run again with "
                       "--change-id {} to learn what became of it",
                       Wanted.m_ChangeId);
  case config::PublishStatus::LogUnavailable:
    return "nothing was published: the log cannot be read";
  case config::PublishStatus::StateMissing:
    return "nothing was published: the log holds no checkpoint yet";
  }
  return "";
}

void report(const Options &Given, const config::Draft &Wanted,
            const config::PublishResult &Result) {
  if (Given.m_Json) {
    const Json Body{{"result", nameOf(Result.m_Status)},
                    {"file", Wanted.m_File},
                    {"version", Result.m_Version},
                    {"change_id", Wanted.m_ChangeId},
                    {"problems", toJson(Result.m_Problems)}};
    std::cout << Body.dump(2) << '\n';
  } else if (Result.m_Status == config::PublishStatus::Accepted) {
    std::cout << sentenceFor(Wanted, Result) << '\n';
  }
  if (Result.m_Status == config::PublishStatus::Accepted) {
    return;
  }
  printProblems(Result.m_Problems);
  complain(sentenceFor(Wanted, Result));
  if (Result.m_Error) {
    complain(toString(*Result.m_Error));
  }
}

SortedJson contentOf(const config::FileState *State) {
  return State == nullptr ? SortedJson::object() : SortedJson::parse(State->m_Change.m_Content);
}

/// One step of a JSON patch (RFC 6902) as "pointer: old -> new".
void printStep(const SortedJson &Step, const SortedJson &Current) {
  const auto Path = Step.at("path").get<std::string>();
  const SortedJson::json_pointer At(Path);
  const std::string Old = Current.contains(At) ? Current.at(At).dump() : "nothing";
  const std::string New = Step.contains("value") ? Step["value"].dump() : "nothing";
  std::cout << Path << ": " << Old << " -> " << New << '\n';
}

/// The newest version of each file on any of the VMs.
std::vector<peer::FileVersion> newestOn(const std::vector<VmStatus> &Vms) {
  std::map<std::string, std::uint64_t> Newest;
  for (const VmStatus &Vm : Vms) {
    for (const peer::FileVersion &Each : Vm.m_Versions) {
      Newest[Each.m_File] = std::max(Newest[Each.m_File], Each.m_Version);
    }
  }
  std::vector<peer::FileVersion> Versions;
  Versions.reserve(Newest.size());
  for (const auto &[File, Version] : Newest) {
    Versions.push_back({.m_File = File, .m_Version = Version});
  }
  return Versions;
}

} // namespace

int check(const Options &Given) {
  const Result<std::string> Base = readInput(Given.m_BasePath);
  if (!Base) {
    return fail(Base.error());
  }
  settings::Problems Found;
  const settings::CheckOptions Checks{
      .m_Site = Given.m_Site, .m_BaseFile = Given.m_BasePath, .m_OverlayFile = Given.m_OverlayPath};
  if (Given.m_OverlayPath.empty()) {
    Found = settings::checkBase(*Base, Checks);
  } else {
    const Result<std::string> Overlay = readInput(Given.m_OverlayPath);
    if (!Overlay) {
      return fail(Overlay.error());
    }
    Found = settings::checkSite(*Base, *Overlay, Checks).m_Problems;
  }
  if (Given.m_Json) {
    std::cout << Json{{"valid", Found.empty()}, {"problems", toJson(Found)}}.dump(2) << '\n';
  }
  printProblems(Found);
  return Found.empty() ? ExitOk : ExitInvalid;
}

int diff(const Options &Given) {
  platform::LogClient Log(Given.m_Platform, CallTimeout);
  Publisher Reader(Log);
  const Result<std::string> Text = readInput(Given.m_Path);
  if (!Text) {
    return fail(Text.error());
  }
  const std::optional<std::string> Canonical = config::canonicalJson(*Text);
  if (!Canonical) {
    complain(Given.m_Path + NotJson);
    return ExitInvalid;
  }
  if (!readLog(Reader, Given)) {
    return ExitUnavailable;
  }
  const SortedJson Wanted = SortedJson::parse(*Canonical);
  const SortedJson Current = contentOf(Reader.follower().state().find(Given.m_Name));
  const SortedJson Patch = SortedJson::diff(Current, Wanted);
  if (Given.m_Json) {
    std::cout << Patch.dump(2) << '\n';
    return Patch.empty() ? ExitOk : ExitDifferent;
  }
  for (const SortedJson &Step : Patch) {
    printStep(Step, Current);
  }
  return Patch.empty() ? ExitOk : ExitDifferent;
}

int publish(const Options &Given) {
  std::string Content(config::WithdrawnContent);
  if (!Given.m_Withdraw) {
    const Result<std::string> Text = readInput(Given.m_Path);
    if (!Text) {
      return fail(Text.error());
    }
    Content = *Text;
  }
  if (!config::canonicalJson(Content)) {
    complain(Given.m_Path + NotJson);
    return ExitInvalid;
  }
  const config::Draft Wanted{.m_File = Given.m_Name,
                             .m_Content = Content,
                             .m_ChangeId =
                                 Given.m_ChangeId.empty() ? newChangeId() : Given.m_ChangeId,
                             .m_Operator = Given.m_Operator,
                             .m_WrittenMillis = unixMillis(),
                             .m_BuildsOn = Given.m_BuildsOn};
  platform::LogClient Log(Given.m_Platform, CallTimeout);
  const config::PublishResult Result = Publisher(Log).publish(Wanted, Given.m_Timeout);
  report(Given, Wanted, Result);
  if (Result.m_Status == config::PublishStatus::Accepted && Given.m_Wait) {
    return waitInForce(Given, Wanted, Result.m_Version);
  }
  return exitOf(Result.m_Status);
}

int show(const Options &Given) {
  platform::LogClient Log(Given.m_Platform, CallTimeout);
  Publisher Reader(Log);
  if (!readLog(Reader, Given)) {
    return ExitUnavailable;
  }
  Json Files = Json::array();
  for (const auto &[File, Each] : Reader.follower().state().files()) {
    if (!Given.m_Name.empty() && Given.m_Name != File) {
      continue;
    }
    Files.push_back({{"file", File},
                     {"version", Each.m_Change.m_Version},
                     {"change_id", Each.m_Change.m_ChangeId},
                     {"operator", Each.m_Change.m_Operator},
                     {"written_ms", Each.m_Change.m_WrittenMillis},
                     {"content", Json::parse(Each.m_Change.m_Content)}});
  }
  if (!Given.m_Name.empty() && Files.empty()) {
    complain(Given.m_Name + " was never published");
    return ExitDifferent;
  }
  std::cout << Files.dump(2) << '\n';
  return ExitOk;
}

int status(const Options &Given) {
  platform::LogClient Log(Given.m_Platform, CallTimeout);
  Publisher Reader(Log);
  const bool LogRead = readLog(Reader, Given);
  const std::vector<VmStatus> Vms = askAll(Given);
  const std::vector<peer::FileVersion> Versions =
      LogRead ? versionsOf(Reader.follower().state()) : newestOn(Vms);
  if (!LogRead) {
    complain("versions in the log are not known; LAG is behind the newest VM shown");
  }
  printStatus(Given, Vms, Versions);
  if (!LogRead) {
    return ExitUnavailable;
  }
  return inForce(Vms, Versions) ? ExitOk : ExitDifferent;
}

} // namespace vanillahill::ctl
