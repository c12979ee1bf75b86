#include "checks.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <charconv>
#include <optional>
#include <tuple>

namespace vanillahill::history {

namespace {

const Script &scriptOf(const Record &Value) { return std::get<Script>(Value.m_Body); }

/// Whether the VM was killed or ended within the time.
bool ended(const Index &History, const std::string &Vm, TimePoint From, TimePoint To) {
  return std::ranges::any_of(History.m_Scripts, [&](const Record *Value) {
    const Script &Body = scriptOf(*Value);
    const bool Ends = Body.m_Event == ScriptEvent::Kill || Body.m_Event == ScriptEvent::Stop ||
                      Body.m_Event == ScriptEvent::Exit;
    return Ends && Body.m_Subject == Vm && From <= Value->m_At && Value->m_At <= To;
  });
}

bool killed(const Index &History, const std::string &Vm, TimePoint From, TimePoint To) {
  return std::ranges::any_of(History.m_Scripts, [&](const Record *Value) {
    const Script &Body = scriptOf(*Value);
    return Body.m_Event == ScriptEvent::Kill && Body.m_Subject == Vm && From <= Value->m_At &&
           Value->m_At <= To;
  });
}

/// Whether the attempt was in flight on the VM when it was told to stop, and was cut after that.
bool cutByStop(const Index &History, const RequestView &Request, const Record &Stop) {
  if (Request.m_Send == nullptr || Request.m_Answers.empty()) {
    return false;
  }
  const Record &Answered = *Request.m_Answers.front();
  const bool Cut = std::get<Answer>(Answered.m_Body).m_Ending == Ending::Cut;
  const Send &Sent = std::get<Send>(Request.m_Send->m_Body);
  const std::string &Vm = scriptOf(Stop).m_Subject;
  return Cut && Sent.m_Vm == Vm && Request.m_Send->m_At <= Stop.m_At &&
         Answered.m_At >= Stop.m_At && !killed(History, Vm, Request.m_Send->m_At, Answered.m_At);
}

/// A version of a configuration file, as script records name it.
struct VersionOf {
  std::string m_File;
  std::uint64_t m_Version = 0;
};

std::optional<VersionOf> parseVersion(const std::string &Detail) {
  const std::size_t Split = Detail.rfind('=');
  VersionOf Out;
  if (Split == std::string::npos) {
    return std::nullopt;
  }
  Out.m_File = Detail.substr(0, Split);
  const char *End = Detail.data() + Detail.size();
  const auto Parsed = std::from_chars(Detail.data() + Split + 1, End, Out.m_Version);
  if (Parsed.ec != std::errc{} || Parsed.ptr != End) {
    return std::nullopt;
  }
  return Out;
}

struct Sighting {
  const Record *m_Record = nullptr;
  std::uint64_t m_Version = 0;
};

/// What a VM showed in force of one file, in order of time.
struct VmFile {
  std::string m_Vm;
  std::string m_File;
  bool operator<(const VmFile &Other) const {
    return std::tie(m_Vm, m_File) < std::tie(Other.m_Vm, Other.m_File);
  }
};
using Sightings = std::map<VmFile, std::vector<Sighting>>;

Sightings collectInForce(const Index &History) {
  Sightings Seen;
  for (const Record *Value : History.m_Scripts) {
    const Script &Body = scriptOf(*Value);
    if (Body.m_Event != ScriptEvent::InForce) {
      continue;
    }
    if (const std::optional<VersionOf> Version = parseVersion(Body.m_Detail)) {
      Seen[VmFile{Body.m_Subject, Version->m_File}].push_back({Value, Version->m_Version});
    }
  }
  return Seen;
}

void checkNoRevert(const VmFile &Where, const std::vector<Sighting> &Seen,
                   std::vector<Violation> &Out) {
  for (std::size_t Next = 1; Next < Seen.size(); ++Next) {
    if (Seen[Next].m_Version < Seen[Next - 1].m_Version) {
      Out.push_back({.m_Point = Point::Configuration,
                     .m_Summary = fmt::format("VM \"{}\" went back from version {} of \"{}\" to {}",
                                              Where.m_Vm, Seen[Next - 1].m_Version, Where.m_File,
                                              Seen[Next].m_Version),
                     .m_Trace = copyOf({Seen[Next - 1].m_Record, Seen[Next].m_Record})});
    }
  }
}

void checkAccepted(const Index &History, const Record &Accepted, const VersionOf &Version,
                   const Sightings &InForce, Duration Limit, std::vector<Violation> &Out) {
  const TimePoint Due = Accepted.m_At + Limit;
  for (const auto &[Where, Seen] : InForce) {
    const bool SeenBefore = Seen.front().m_Record->m_At <= Accepted.m_At;
    if (Where.m_File != Version.m_File || !SeenBefore ||
        ended(History, Where.m_Vm, Seen.front().m_Record->m_At, Due)) {
      continue;
    }
    const bool InTime = std::ranges::any_of(Seen, [&](const Sighting &Item) {
      return Item.m_Version >= Version.m_Version && Item.m_Record->m_At <= Due;
    });
    if (!InTime) {
      Out.push_back(
          {.m_Point = Point::Configuration,
           .m_Summary = fmt::format("version {} of \"{}\" was not in force on VM \"{}\" "
                                    "{} ms after it was accepted",
                                    Version.m_Version, Version.m_File, Where.m_Vm, toMillis(Limit)),
           .m_Trace = copyOf({Seen.front().m_Record, &Accepted})});
    }
  }
}

/// After the limit no VM, also a new one, may show an older version.
void checkLateOld(const Record &Accepted, const VersionOf &Version, const Sightings &InForce,
                  Duration Limit, std::vector<Violation> &Out) {
  for (const auto &[Where, Seen] : InForce) {
    for (const Sighting &Item : Seen) {
      if (Where.m_File == Version.m_File && Item.m_Version < Version.m_Version &&
          Item.m_Record->m_At > Accepted.m_At + Limit) {
        Out.push_back(
            {.m_Point = Point::Configuration,
             .m_Summary = fmt::format("VM \"{}\" had version {} of \"{}\" in force after "
                                      "version {} was accepted",
                                      Where.m_Vm, Item.m_Version, Where.m_File, Version.m_Version),
             .m_Trace = copyOf({&Accepted, Item.m_Record})});
      }
    }
  }
}

} // namespace

void checkStops(const Index &History, std::vector<Violation> &Out) {
  for (const Record *Stop : History.m_Scripts) {
    if (scriptOf(*Stop).m_Event != ScriptEvent::Stop) {
      continue;
    }
    for (const auto &[Name, Request] : History.m_Requests) {
      if (cutByStop(History, Request, *Stop)) {
        Out.push_back({.m_Point = Point::PlannedStop,
                       .m_Summary = fmt::format("request \"{}\" was cut by the planned stop of VM "
                                                "\"{}\"",
                                                Name, scriptOf(*Stop).m_Subject),
                       .m_Trace = copyOf({Request.m_Send, Stop, Request.m_Answers.front()})});
      }
    }
  }
}

void checkConfiguration(const Index &History, const CheckOptions &Options,
                        std::vector<Violation> &Out) {
  const Sightings InForce = collectInForce(History);
  for (const auto &[Where, Seen] : InForce) {
    checkNoRevert(Where, Seen, Out);
  }
  for (const Record *Value : History.m_Scripts) {
    const Script &Body = scriptOf(*Value);
    const std::optional<VersionOf> Version = parseVersion(Body.m_Detail);
    if (Body.m_Event == ScriptEvent::Accepted && Version) {
      checkAccepted(History, *Value, *Version, InForce, Options.m_InForceLimit, Out);
      checkLateOld(*Value, *Version, InForce, Options.m_InForceLimit, Out);
    }
  }
}

} // namespace vanillahill::history
