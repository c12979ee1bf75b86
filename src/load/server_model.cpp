#include "vanillahill/load/server_model.hpp"

#include <algorithm>
#include <cmath>

namespace vanillahill::load {

namespace {

double toSeconds(Duration Value) { return std::chrono::duration<double>(Value).count(); }

/// Rounded up, so that a timer at the end finds the work done.
Duration fromSeconds(double Value) { return Duration(static_cast<std::int64_t>(Value * 1e9) + 1); }

constexpr double DoneSeconds = 1e-9;

} // namespace

ServerModel::ServerModel(ServerModelOptions Options)
    : m_Options(Options), m_Random(Options.m_Seed) {}

const ServerModel::ActiveFault *ServerModel::find(FaultKind Kind) const {
  const auto Match = [Kind](const ActiveFault &Entry) { return Entry.m_Fault.m_Kind == Kind; };
  const auto Found = std::find_if(m_Faults.begin(), m_Faults.end(), Match);
  return Found == m_Faults.end() ? nullptr : &*Found;
}

bool ServerModel::chance(double Share) {
  return std::uniform_real_distribution<double>(0.0, 1.0)(m_Random) < Share;
}

std::optional<OutcomeKind> ServerModel::refusal() {
  if (const ActiveFault *Failing = find(FaultKind::FailFast)) {
    switch (Failing->m_Fault.m_Mode) {
    case FailMode::Error:
      return OutcomeKind::Rejected;
    case FailMode::Reset:
      return OutcomeKind::Reset;
    case FailMode::NotRun:
      return OutcomeKind::NotRun;
    }
  }
  if (has(FaultKind::Down)) {
    return OutcomeKind::Reset;
  }
  if (has(FaultKind::Drain)) {
    return OutcomeKind::NotRun;
  }
  const ActiveFault *Shedding = find(FaultKind::Shed);
  if (Shedding != nullptr && chance(Shedding->m_Fault.m_Share)) {
    return OutcomeKind::NotRun;
  }
  if (m_Running.size() >= m_Options.m_Slots && m_Queue.size() >= m_Options.m_QueueLimit) {
    return OutcomeKind::NotRun;
  }
  return std::nullopt;
}

void ServerModel::arrive(TimePoint Now, const Work &Request, std::vector<Outcome> &Out) {
  advance(Now, Out);
  if (const std::optional<OutcomeKind> Refused = refusal()) {
    Out.push_back({Request.m_Ticket, *Refused});
    return;
  }
  m_Queue.push_back(Request);
  fillSlots(Out);
  report();
}

bool ServerModel::cancel(TimePoint Now, Ticket Id, std::vector<Outcome> &Out) {
  advance(Now, Out);
  const auto IsRunning = [Id](const Running &Entry) { return Entry.m_Ticket == Id; };
  const auto IsQueued = [Id](const Work &Entry) { return Entry.m_Ticket == Id; };
  const std::size_t Removed =
      std::erase_if(m_Running, IsRunning) + std::erase_if(m_Queue, IsQueued);
  fillSlots(Out);
  report();
  return Removed > 0;
}

void ServerModel::advance(TimePoint Now, std::vector<Outcome> &Out) {
  while (true) {
    const std::optional<TimePoint> Next = nextEvent();
    const TimePoint Until = Next && *Next < Now ? *Next : Now;
    work(Until);
    collectDone(Out);
    updateFaults();
    fillSlots(Out);
    if (Until >= Now) {
      return;
    }
  }
}

void ServerModel::begin(TimePoint Now, const Fault &What, std::vector<Outcome> &Out) {
  advance(Now, Out);
  const TimePoint End = What.m_For.count() == 0 ? TimePoint::max() : Now + What.m_For;
  m_Faults.push_back({.m_Fault = What,
                      .m_End = End,
                      .m_NextShift = Now,
                      .m_NoiseSpeed = 1.0,
                      .m_RequestsLeft = What.m_Requests});
  updateFaults();
  report();
}

std::optional<TimePoint> ServerModel::nextEvent() const {
  TimePoint Next = TimePoint::max();
  for (const Running &Entry : m_Running) {
    Next = std::min(Next, m_Now + fromSeconds(Entry.m_Left / m_Speed));
  }
  for (const ActiveFault &Entry : m_Faults) {
    Next = std::min(Next, Entry.m_End);
    if (Entry.m_Fault.m_Kind == FaultKind::Noise) {
      Next = std::min(Next, Entry.m_NextShift);
    }
  }
  if (Next == TimePoint::max()) {
    return std::nullopt;
  }
  return Next;
}

HealthReport ServerModel::health(TimePoint Now) {
  const TimePoint Asked = Now - m_Options.m_HealthLag;
  while (m_Reports.size() > 1 && m_Reports[1].m_At <= Asked) {
    m_Reports.pop_front();
  }
  HealthReport Answer;
  if (!m_Reports.empty() && m_Reports.front().m_At <= Asked) {
    Answer = m_Reports.front();
  }
  if (has(FaultKind::LieHealthy)) {
    return {.m_At = Now, .m_TakesWork = true, .m_Running = 0, .m_Queued = 0};
  }
  if (has(FaultKind::LieFailing)) {
    Answer.m_TakesWork = false;
  }
  return Answer;
}

ReplyFault ServerModel::replyFault(Duration &Delay) {
  const ActiveFault *Swap = find(FaultKind::SwapReply);
  if (Swap != nullptr && chance(Swap->m_Fault.m_Share)) {
    return ReplyFault::Swap;
  }
  const ActiveFault *Cut = find(FaultKind::CutReply);
  if (Cut != nullptr && chance(Cut->m_Fault.m_Share)) {
    return ReplyFault::Cut;
  }
  const ActiveFault *Late = find(FaultKind::LateReply);
  if (Late != nullptr && chance(Late->m_Fault.m_Share)) {
    Delay = Late->m_Fault.m_Period;
    return ReplyFault::Late;
  }
  return ReplyFault::None;
}

void ServerModel::start(const Work &Request, std::vector<Outcome> &Out) {
  m_Running.push_back({Request.m_Ticket, toSeconds(Request.m_Time) * coldFactor()});
  Out.push_back({Request.m_Ticket, OutcomeKind::Started});
}

void ServerModel::fillSlots(std::vector<Outcome> &Out) {
  while (!m_Queue.empty() && m_Running.size() < m_Options.m_Slots) {
    const Work Next = m_Queue.front();
    m_Queue.pop_front();
    if (Next.m_Deadline <= m_Now) {
      Out.push_back({Next.m_Ticket, OutcomeKind::NotRun});
    } else {
      start(Next, Out);
    }
  }
}

double ServerModel::coldFactor() {
  double Factor = 1.0;
  for (ActiveFault &Entry : m_Faults) {
    if (Entry.m_Fault.m_Kind != FaultKind::Cold) {
      continue;
    }
    const bool Counted = Entry.m_Fault.m_Requests > 0;
    if (Counted && Entry.m_RequestsLeft == 0) {
      continue;
    }
    Factor *= Entry.m_Fault.m_Factor;
    Entry.m_RequestsLeft -= Counted ? 1 : 0;
  }
  return Factor;
}

void ServerModel::work(TimePoint Until) {
  const double Done = toSeconds(Until - m_Now) * m_Speed;
  for (Running &Entry : m_Running) {
    Entry.m_Left -= Done;
  }
  m_Now = Until;
}

void ServerModel::collectDone(std::vector<Outcome> &Out) {
  const auto IsDone = [](const Running &Entry) { return Entry.m_Left <= DoneSeconds; };
  for (const Running &Entry : m_Running) {
    if (IsDone(Entry)) {
      Out.push_back({Entry.m_Ticket, OutcomeKind::Completed});
    }
  }
  if (std::erase_if(m_Running, IsDone) > 0) {
    report();
  }
}

void ServerModel::updateFaults() {
  const auto IsOver = [this](const ActiveFault &Entry) { return Entry.m_End <= m_Now; };
  if (std::erase_if(m_Faults, IsOver) > 0) {
    report();
  }
  for (ActiveFault &Entry : m_Faults) {
    if (Entry.m_Fault.m_Kind != FaultKind::Noise || Entry.m_NextShift > m_Now) {
      continue;
    }
    std::uniform_real_distribution<double> Speeds(Entry.m_Fault.m_LowSpeed,
                                                  std::nextafter(Entry.m_Fault.m_HighSpeed, 2.0));
    Entry.m_NoiseSpeed = Speeds(m_Random);
    Entry.m_NextShift = m_Now + std::max(Entry.m_Fault.m_Period, Duration(1000000));
  }
  updateSpeed();
}

void ServerModel::updateSpeed() {
  m_Speed = 1.0;
  for (const ActiveFault &Entry : m_Faults) {
    if (Entry.m_Fault.m_Kind == FaultKind::Slow) {
      m_Speed /= Entry.m_Fault.m_Factor;
    }
    if (Entry.m_Fault.m_Kind == FaultKind::Noise) {
      m_Speed *= Entry.m_NoiseSpeed;
    }
  }
}

void ServerModel::report() {
  constexpr std::size_t MaxReports = 4096;
  const bool Refuses = has(FaultKind::FailFast) || has(FaultKind::Drain) || has(FaultKind::Down);
  const bool Full = queued() >= m_Options.m_QueueLimit;
  m_Reports.push_back({m_Now, !Refuses && !Full, running(), queued()});
  if (m_Reports.size() > MaxReports) {
    m_Reports.pop_front();
  }
}

} // namespace vanillahill::load
