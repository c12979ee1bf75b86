/// \file
/// The kinds of request of one service.
#pragma once

#include "vanillahill/kernel/status.hpp"
#include "vanillahill/settings/settings.hpp"

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace vanillahill::kernel {

/// Position of a kind in the table of its service.
using KindIndex = std::uint32_t;

/// State of a kind, which includes its settings.
template <typename T>
concept KindStateType = requires(T State) {
  { (State.m_Settings) } -> std::same_as<KindSettings &>;
};

/// The kinds of request of one service and their counters. A kind that is no longer configured
/// keeps its index and its counters: requests may still refer to it, and it may come back.
template <KindStateType State> class KindTable {
public:
  /// \brief Replaces the settings; the state of known kinds is kept.
  /// \param Service the settings of the service
  /// \param OnAdded called with the state of each kind that was not known before
  /// \return false when the list of kinds is the one in force, so that nothing was done
  /// \note Complexity: constant for the list in force, else linear in the kinds.
  template <typename F> bool assign(const ServiceSettings &Service, F OnAdded) {
    if (m_Configured.sharesWith(Service.m_Kinds)) {
      return false;
    }
    m_Configured = Service.m_Kinds;
    m_IsConfigured.assign(m_States.size(), false);
    for (const KindSettings &Settings : m_Configured) {
      const auto [Position, IsNew] =
          m_Index.try_emplace(Settings.m_Id, static_cast<KindIndex>(m_States.size()));
      if (!IsNew) {
        m_States[Position->second].m_Settings = Settings;
        m_IsConfigured[Position->second] = true;
        continue;
      }
      m_States.push_back({.m_Settings = Settings});
      m_Counters.push_back({.m_Service = Service.m_Id,
                            .m_Kind = Settings.m_Id,
                            .m_Name = Service.m_Name + "/" + Settings.m_Name});
      m_IsConfigured.push_back(true);
      OnAdded(m_States.back());
    }
    return true;
  }

  /// \brief Finds a kind by its identifier, also one that is no longer configured.
  /// \note Complexity: constant.
  std::optional<KindIndex> find(KindId Id) const {
    const auto Found = m_Index.find(Id);
    return Found == m_Index.end() ? std::nullopt : std::optional(Found->second);
  }

  /// \brief The settings of a configured kind; null for another one.
  const KindSettings *findSettings(KindId Id) const {
    const auto Found = find(Id);
    return Found && m_IsConfigured[*Found] ? &m_States[*Found].m_Settings : nullptr;
  }

  State &operator[](KindIndex Index) { return m_States[Index]; }
  const State &operator[](KindIndex Index) const { return m_States[Index]; }
  std::span<const State> all() const { return m_States; }
  std::size_t size() const { return m_States.size(); }

  KindCounters &counters(KindIndex Index) { return m_Counters[Index]; }
  std::span<const KindCounters> allCounters() const { return m_Counters; }

private:
  /// The list in force.
  SharedList<KindSettings> m_Configured;
  std::vector<State> m_States;
  std::vector<KindCounters> m_Counters;
  std::vector<bool> m_IsConfigured;
  std::unordered_map<KindId, KindIndex> m_Index;
};

} // namespace vanillahill::kernel
