#include "vanillahill/load/result.hpp"

#include <algorithm>

namespace vanillahill::load {

double LoadResult::weightedInTime() const {
  double Sum = 0;
  for (const KindResult &Kind : m_Kinds) {
    Sum += Kind.m_Kind.m_Weight * static_cast<double>(Kind.m_InTime);
  }
  return Sum;
}

double LoadResult::weightedSent() const {
  double Sum = 0;
  for (const KindResult &Kind : m_Kinds) {
    Sum += Kind.m_Kind.m_Weight * static_cast<double>(Kind.m_Sent);
  }
  return Sum;
}

std::uint64_t LoadResult::sent() const {
  std::uint64_t Sum = 0;
  for (const KindResult &Kind : m_Kinds) {
    Sum += Kind.m_Sent;
  }
  return Sum;
}

std::uint64_t LoadResult::completed() const {
  std::uint64_t Sum = 0;
  for (const KindResult &Kind : m_Kinds) {
    Sum += Kind.m_Completed;
  }
  return Sum;
}

void count(KindResult &Kind, const EndedOperation &Ended) {
  ++Kind.m_Sent;
  Kind.m_Repeats += Ended.m_Repeats;
  if (!Ended.m_Reason.empty() && Ended.m_Reason != "none") {
    ++Kind.m_Reasons[Ended.m_Reason];
  }
  const bool Completed = Ended.m_Ending == Ending::Completed;
  const Duration Counted =
      Completed ? Ended.m_Latency : std::max(Ended.m_Latency, Kind.m_Kind.m_Deadline);
  Kind.m_LatencyOfAll.add(Counted + Ended.m_Way);
  switch (Ended.m_Ending) {
  case Ending::Completed:
    ++Kind.m_Completed;
    Kind.m_InTime += Ended.m_Latency <= Kind.m_Kind.m_Deadline ? 1 : 0;
    Kind.m_Latency.add(Ended.m_Latency + Ended.m_Way);
    return;
  case Ending::Failed:
    ++Kind.m_Failed;
    return;
  case Ending::NotRun:
    ++Kind.m_NotRun;
    Kind.m_RefusalLatency.add(Ended.m_Latency + Ended.m_Way);
    return;
  case Ending::Unknown:
    ++Kind.m_Unknown;
    return;
  case Ending::Cut:
    ++Kind.m_Cut;
    return;
  }
}

} // namespace vanillahill::load
