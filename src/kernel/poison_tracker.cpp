#include "vanillahill/kernel/poison_tracker.hpp"

#include <algorithm>
#include <utility>

namespace vanillahill::kernel {

PoisonTracker::Entry *PoisonTracker::find(const RequestContent &Content) {
  const auto Found = m_Requests.find(Content);
  return Found != m_Requests.end() ? &Found->second : nullptr;
}

const PoisonTracker::Entry *PoisonTracker::find(const RequestContent &Content) const {
  const auto Found = m_Requests.find(Content);
  return Found != m_Requests.end() ? &Found->second : nullptr;
}

PoisonTracker::Entry &PoisonTracker::add(const RequestContent &Content, TimePoint Now) {
  if (Entry *Known = find(Content)) {
    return *Known;
  }
  makeRoom(Now);
  m_Hashes.insert(Content.m_Hash);
  return m_Requests.emplace(Content, Entry{.m_Content = Content, .m_SeenAt = Now}).first->second;
}

PoisonTracker::Requests::iterator PoisonTracker::remove(Requests::iterator Known) {
  m_Hashes.erase(m_Hashes.find(Known->first.m_Hash));
  return m_Requests.erase(Known);
}

/// Forgets what is out of date; if that is not enough, the request with the fewest crashes.
void PoisonTracker::makeRoom(TimePoint Now) {
  if (m_Requests.size() < MaxRequests) {
    return;
  }
  for (auto Each = m_Requests.begin(); Each != m_Requests.end();) {
    const bool IsClear = Each->second.m_Crashes.empty();
    const bool IsOutdated = Now - Each->second.m_SeenAt > (IsClear ? ClearedLifetime : Lifetime);
    Each = IsOutdated ? remove(Each) : std::next(Each);
  }
  if (m_Requests.size() < MaxRequests) {
    return;
  }
  remove(std::min_element(m_Requests.begin(), m_Requests.end(),
                          [](const auto &Left, const auto &Right) {
                            const Entry &A = Left.second;
                            const Entry &B = Right.second;
                            return std::pair(A.m_Crashes.size(), A.m_SeenAt) <
                                   std::pair(B.m_Crashes.size(), B.m_SeenAt);
                          }));
}

/// Keeps the first crash of each moment.
/// \return whether it is kept
bool PoisonTracker::addCrash(Entry &Known, ServerId Server, TimePoint At) {
  const bool IsOtherMoment =
      std::none_of(Known.m_Crashes.begin(), Known.m_Crashes.end(), [&](const Crash &Each) {
        const bool IsClose = Each.m_At - At < MomentSpacing && At - Each.m_At < MomentSpacing;
        return Each.m_Server == Server || IsClose;
      });
  if (!IsOtherMoment || Known.m_Crashes.size() == CrashReport::MaxCrashes) {
    return false;
  }
  Known.m_Crashes.push_back({.m_Server = Server, .m_At = At});
  return true;
}

/// To be called whenever the crashes or trials of a request have changed, and when it is sent.
void PoisonTracker::updateBlock(Entry &Known, TimePoint Now) {
  std::uniform_real_distribution<double> Part(0.0, 1.0);
  const auto SpreadOver = [&](Duration Length) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Length) *
                                                Part(m_Random));
  };
  const std::size_t Moments = Known.m_Crashes.size();
  // Trials of two VMs at the same time may be announced as one, but each crashes a server.
  const std::size_t Trials =
      std::max<std::size_t>(Known.m_Trials, Moments - std::min(Moments, MomentsToSuspect));
  if (Moments < MomentsToSuspect) {
    Known.m_BlockedUntil = TimePoint::min();
  } else if (Moments < MomentsToBlock) {
    Known.m_BlockedUntil = Now + RetestPause + SpreadOver(RetestSpread);
  } else if (Trials >= MaxTrials) {
    Known.m_BlockedUntil = TimePoint::max();
  } else {
    Duration Pause = TrialPause;
    for (std::size_t Trial = 1; Trial < Trials; ++Trial) {
      Pause *= TrialPauseFactor;
    }
    Known.m_BlockedUntil = Now + Pause + SpreadOver(Pause);
  }
}

std::optional<CrashReport> PoisonTracker::announcementOf(Entry &Known, TimePoint Now) {
  const std::chrono::duration<double> Passed = Now - m_RefilledAt;
  m_RefilledAt = Now;
  m_AnnouncementsLeft = std::min(m_AnnouncementsLeft + Passed.count() * AnnouncementsPerSecond,
                                 AnnouncementsPerSecond);
  if (m_AnnouncementsLeft < 1.0) {
    return std::nullopt;
  }
  m_AnnouncementsLeft -= 1.0;
  Known.m_AnnouncedAt = Now;
  CrashReport Report{
      .m_Content = Known.m_Content, .m_Generation = Known.m_Generation, .m_Trials = Known.m_Trials};
  for (const Crash &Each : Known.m_Crashes) {
    Report.m_Crashes.push_back({.m_Server = Each.m_Server, .m_Age = Now - Each.m_At});
  }
  return Report;
}

bool PoisonTracker::draw(std::size_t LocalVms) {
  const double Vms = static_cast<double>(std::max<std::size_t>(LocalVms, 1));
  return std::bernoulli_distribution(std::min(AnsweringVms / Vms, 1.0))(m_Random);
}

std::size_t PoisonTracker::moments(const RequestContent &Content) const {
  const Entry *Known = find(Content);
  return Known != nullptr ? Known->m_Crashes.size() : 0;
}

Duration PoisonTracker::blockedFor(const RequestContent &Content, TimePoint Now) const {
  const Entry *Known = find(Content);
  if (Known == nullptr || Known->m_BlockedUntil <= Now) {
    return Duration::zero();
  }
  return Known->m_BlockedUntil == TimePoint::max() ? Duration::max() : Known->m_BlockedUntil - Now;
}

std::optional<CrashReport> PoisonTracker::recordRefusal(const RequestContent &Content,
                                                        TimePoint Now) {
  Entry *Known = find(Content);
  if (Known == nullptr) {
    return std::nullopt;
  }
  Known->m_SeenAt = Now;
  return Now - Known->m_AnnouncedAt < AnnounceInterval ? std::nullopt : announcementOf(*Known, Now);
}

std::optional<CrashReport> PoisonTracker::recordSending(const RequestContent &Content,
                                                        TimePoint Now) {
  Entry *Known = find(Content);
  if (Known == nullptr) {
    return std::nullopt;
  }
  Known->m_SeenAt = Now;
  const bool IsTrial = Known->m_Crashes.size() >= MomentsToSuspect;
  Known->m_Trials += IsTrial ? 1 : 0;
  updateBlock(*Known, Now);
  return IsTrial ? announcementOf(*Known, Now) : std::nullopt;
}

void PoisonTracker::noteCompletion(const Completion &Done) {
  if (m_Completions.size() < MaxCompletions) {
    m_Completions.push_back({.m_Done = Done});
    return;
  }
  m_Completions[m_NextCompletion] = {.m_Done = Done};
  m_NextCompletion = (m_NextCompletion + 1) % MaxCompletions;
}

std::optional<Completion> PoisonTracker::recentCompletion(const RequestContent &Content,
                                                          TimePoint Now) {
  for (RememberedCompletion &Each : m_Completions) {
    const bool IsRecent = Now - Each.m_Done.m_At < CompletionLifetime;
    if (!IsRecent || Each.m_Done.m_Hash != Content.m_Hash) {
      continue;
    }
    if (!std::exchange(Each.m_IsLookedUp, true) && m_Completed) {
      Each.m_Content = m_Completed(Each.m_Done.m_Request);
    }
    if (Each.m_Content == Content) {
      return Each.m_Done;
    }
  }
  return std::nullopt;
}

PoisonTracker::Recorded PoisonTracker::recordCrash(const RequestContent &Content, ServerId Server,
                                                   TimePoint Now) {
  if (const auto Done = recentCompletion(Content, Now)) {
    return {.m_ClearedBy = Done};
  }
  Entry &Known = add(Content, Now);
  Known.m_SeenAt = Now;
  if (!addCrash(Known, Server, Now)) {
    return {};
  }
  updateBlock(Known, Now);
  return {.m_Report = announcementOf(Known, Now)};
}

std::optional<CrashReport> PoisonTracker::recordCompletion(const RequestContent &Content,
                                                           TimePoint Now) {
  Entry *Known = find(Content);
  if (Known == nullptr || Known->m_Crashes.empty()) {
    return std::nullopt;
  }
  Known->m_Crashes.clear();
  Known->m_Trials = 0;
  ++Known->m_Generation;
  Known->m_SeenAt = Now;
  updateBlock(*Known, Now);
  return announcementOf(*Known, Now);
}

PoisonTracker::Received PoisonTracker::receive(const CrashReport &Report, std::size_t LocalVms,
                                               TimePoint Now) {
  Entry &Known = add(Report.m_Content, Now);
  Known.m_SeenAt = Now;
  const bool IsOutdated = Report.m_Generation < Known.m_Generation;
  Received Result;
  if (Report.m_Generation > Known.m_Generation) {
    Known.m_Generation = Report.m_Generation;
    Known.m_Trials = 0;
    Known.m_Crashes.clear();
    Result.m_IsChanged = true;
  }
  if (!IsOutdated) {
    for (const ServerCrash &Each : Report.m_Crashes) {
      Result.m_IsChanged |= addCrash(Known, Each.m_Server, Now - Each.m_Age);
    }
    Result.m_IsChanged |= Report.m_Trials > Known.m_Trials;
    Known.m_Trials = std::max(Known.m_Trials, Report.m_Trials);
  }
  if (Result.m_IsChanged) {
    updateBlock(Known, Now);
  }
  const bool KnowsLess =
      Known.m_Crashes.size() >= MomentsToSuspect &&
      (Report.m_Crashes.size() < Known.m_Crashes.size() || Report.m_Trials < Known.m_Trials);
  const bool IsSuspect = Known.m_Crashes.size() >= MomentsToSuspect;
  Result.m_ClearedBy = IsSuspect ? recentCompletion(Report.m_Content, Now) : std::nullopt;
  if (Result.m_ClearedBy) {
    Result.m_Answer = recordCompletion(Report.m_Content, Now);
  } else if (!IsOutdated && !KnowsLess) {
    Known.m_AnnouncedAt = Now;
  } else if (draw(LocalVms)) {
    Result.m_Answer = announcementOf(Known, Now);
  }
  return Result;
}

std::vector<CrashReport> PoisonTracker::reportsForNewVm(std::size_t LocalVms, TimePoint Now) {
  std::vector<CrashReport> Reports;
  for (auto &[Content, Known] : m_Requests) {
    if (Known.m_Crashes.size() < MomentsToSuspect || !draw(LocalVms)) {
      continue;
    }
    if (auto Report = announcementOf(Known, Now)) {
      Reports.push_back(*Report);
    }
  }
  return Reports;
}

std::size_t PoisonTracker::suspects() const {
  return static_cast<std::size_t>(
      std::count_if(m_Requests.begin(), m_Requests.end(), [](const auto &Each) {
        return Each.second.m_Crashes.size() >= MomentsToSuspect;
      }));
}

} // namespace vanillahill::kernel
