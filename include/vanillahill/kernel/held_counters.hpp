/// \file
/// Counters of the requests that were answered before a dispatcher had them.
#pragma once

#include "vanillahill/kernel/status.hpp"
#include "vanillahill/settings/settings.hpp"

#include <algorithm>
#include <map>
#include <unordered_set>

namespace vanillahill::kernel {

/// Counts answers to requests that ended while the key guard, or the usage cap of their tenant,
/// still held them. Not thread safe.
class HeldCounters {
public:
  /// \brief Makes sure that a kind has counters.
  void add(const SiteSettings &Settings, ServiceId Service, const KindSettings &Kind) {
    const auto [Added, IsNew] = m_Counters.try_emplace(Kind.m_Id);
    if (!IsNew) {
      return;
    }
    const auto Found = std::find_if(Settings.m_Services.begin(), Settings.m_Services.end(),
                                    [Service](const auto &Each) { return Each.m_Id == Service; });
    Added->second = {
        .m_Service = Service, .m_Kind = Kind.m_Id, .m_Name = Found->m_Name + "/" + Kind.m_Name};
  }

  /// \brief Counts the answer to a request of a kind that has counters.
  void count(KindId Kind, const Answer &Final) {
    KindCounters &Counters = m_Counters.at(Kind);
    ++Counters.m_Arrived;
    const auto Index = static_cast<std::size_t>(Final.m_Reason);
    switch (Final.m_Outcome) {
    case Outcome::Completed:
      ++Counters.m_Completed;
      return;
    case Outcome::NotRun:
      ++Counters.m_NotRun[Index];
      return;
    case Outcome::Unknown:
      ++Counters.m_Unknown[Index];
      return;
    }
  }

  /// \brief Adds the counters to those of the dispatchers.
  void appendTo(NodeStatus &Status) const {
    std::unordered_set<KindId> Added;
    for (KindCounters &Counters : Status.m_Kinds) {
      const auto Found = m_Counters.find(Counters.m_Kind);
      if (Found != m_Counters.end()) {
        Counters.add(Found->second);
        Added.insert(Counters.m_Kind);
      }
    }
    for (const auto &[Id, Counters] : m_Counters) {
      if (Counters.isUsed() && !Added.contains(Id)) {
        Status.m_Kinds.push_back(Counters);
      }
    }
  }

private:
  std::map<KindId, KindCounters> m_Counters;
};

} // namespace vanillahill::kernel
