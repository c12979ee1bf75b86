#include "vanillahill/config/replay.hpp"

#include <algorithm>

namespace vanillahill::config {

namespace {

settings::Problem missingBaseProblem() {
  return {Errc::SettingsMissingField, std::string(BaseFile), "", "nothing",
          "a base, published before any overlay"};
}

} // namespace

std::string_view toString(Verdict Value) {
  switch (Value) {
  case Verdict::Won:
    return "won";
  case Verdict::LostRace:
    return "lost_race";
  case Verdict::Invalid:
    return "invalid";
  case Verdict::Repeat:
    return "repeat";
  }
  return "lost_race";
}

const FileState *Replay::find(std::string_view File) const {
  const auto Found = m_Files.find(File);
  return Found == m_Files.end() ? nullptr : &Found->second;
}

std::uint64_t Replay::versionOf(std::string_view File) const {
  const FileState *State = find(File);
  return State == nullptr ? 0 : State->m_Change.m_Version;
}

Outcome Replay::evaluate(const Change &Next) const {
  if (const FileState *Current = find(Next.m_File)) {
    const auto &Recent = Current->m_Recent;
    const auto Same = std::find_if(Recent.begin(), Recent.end(), [&](const PastChange &Each) {
      return Each.m_ChangeId == Next.m_ChangeId;
    });
    if (Same != Recent.end()) {
      return {.m_Verdict = Verdict::Repeat, .m_Version = Same->m_Version, .m_Problems = {}};
    }
  }
  const std::uint64_t Version = versionOf(Next.m_File);
  if (Next.m_BuildsOn != Version) {
    return {.m_Verdict = Verdict::LostRace, .m_Version = Version, .m_Problems = {}};
  }
  settings::Problems Found = checkChange(Next);
  if (!Found.empty()) {
    return {.m_Verdict = Verdict::Invalid, .m_Version = Version, .m_Problems = std::move(Found)};
  }
  return {.m_Verdict = Verdict::Won, .m_Version = Next.m_Version, .m_Problems = {}};
}

Outcome Replay::apply(const Change &Next) {
  Outcome Result = evaluate(Next);
  if (Result.m_Verdict == Verdict::Won) {
    FileState &State = m_Files[Next.m_File];
    State.m_Change = Next;
    State.m_Recent.push_back({Next.m_ChangeId, Next.m_Version});
    if (State.m_Recent.size() > RecentChanges) {
      State.m_Recent.erase(State.m_Recent.begin());
    }
  }
  return Result;
}

settings::Problems Replay::checkChange(const Change &Next) const {
  if (Next.m_File == BaseFile) {
    return checkNewBase(Next);
  }
  if (Next.m_Content == WithdrawnContent) {
    return {};
  }
  const FileState *Base = find(BaseFile);
  if (Base == nullptr) {
    return {missingBaseProblem()};
  }
  return checkMerged(Base->m_Change.m_Content, Next.m_Content, Next.m_File).m_Problems;
}

settings::Problems Replay::checkNewBase(const Change &Next) const {
  settings::Problems Found =
      settings::checkBase(Next.m_Content, {.m_Site = "", .m_Policies = m_Policies});
  if (!Found.empty()) {
    return Found;
  }
  for (const auto &[File, State] : m_Files) {
    const std::string &Overlay = State.m_Change.m_Content;
    if (File == BaseFile || Overlay == WithdrawnContent) {
      continue;
    }
    const settings::Problems More = checkMerged(Next.m_Content, Overlay, File).m_Problems;
    Found.insert(Found.end(), More.begin(), More.end());
  }
  return Found;
}

settings::Checked Replay::checkMerged(std::string_view Base, std::string_view Overlay,
                                      std::string_view File) const {
  const settings::CheckOptions Options{.m_Site = std::string(siteOf(File).value_or("")),
                                       .m_Policies = m_Policies,
                                       .m_BaseFile = std::string(BaseFile),
                                       .m_OverlayFile = std::string(File)};
  return settings::checkSite(Base, Overlay, Options);
}

settings::Checked Replay::settingsOf(std::string_view Site) const {
  const std::string File = overlayFile(Site);
  const FileState *Base = find(BaseFile);
  const FileState *Overlay = find(File);
  if (Base == nullptr || Overlay == nullptr || Overlay->m_Change.m_Content == WithdrawnContent) {
    return {};
  }
  return checkMerged(Base->m_Change.m_Content, Overlay->m_Change.m_Content, File);
}

Checkpoint Replay::checkpoint(std::uint64_t AsOf) const {
  Checkpoint Result{.m_AsOf = AsOf, .m_Files = {}};
  for (const auto &[File, State] : m_Files) {
    Result.m_Files.push_back(State);
  }
  return Result;
}

void Replay::restore(const Checkpoint &From) {
  m_Files.clear();
  for (const FileState &Each : From.m_Files) {
    m_Files.emplace(Each.m_Change.m_File, Each);
  }
}

} // namespace vanillahill::config
