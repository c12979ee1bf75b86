/// \file
/// The data centres that the operator has evacuated: their servers get nothing new.
#pragma once

#include "vanillahill/core/time.hpp"

#include <algorithm>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahill::fleet {

/// Holds the evacuated data centres as one VM knows them. Not thread safe.
class Evacuations {
public:
  /// A store that has returned from a copy may lack an evacuation that it had acknowledged. The
  /// operator writes it again; until then it stays in force for this long.
  static constexpr Duration CopyGracePeriod = std::chrono::seconds(2);

  /// \brief Begins the evacuation of a data centre.
  /// \return whether it was not evacuated before
  bool begin(std::string_view DataCenter, TimePoint Now) {
    const auto [Known, IsNew] = m_Active.try_emplace(std::string(DataCenter));
    if (IsNew) {
      Known->second.m_Since = Now;
    }
    Known->second.m_EndsAt.reset();
    return IsNew;
  }

  /// \brief Ends the evacuation of a data centre.
  /// \return whether it was evacuated
  bool end(std::string_view DataCenter) {
    const auto Known = m_Active.find(DataCenter);
    if (Known == m_Active.end()) {
      return false;
    }
    m_Active.erase(Known);
    return true;
  }

  /// \brief Ends the evacuation of a data centre after CopyGracePeriod, unless it begins again.
  void endLater(std::string_view DataCenter, TimePoint Now) {
    const auto Known = m_Active.find(DataCenter);
    if (Known != m_Active.end() && !Known->second.m_EndsAt) {
      Known->second.m_EndsAt = Now + CopyGracePeriod;
    }
  }

  /// \brief Ends the evacuations that are due to end.
  /// \return their data centres
  std::vector<std::string> tick(TimePoint Now) {
    std::vector<std::string> Ended;
    std::erase_if(m_Active, [&](const auto &Known) {
      const bool IsDue = Known.second.m_EndsAt && *Known.second.m_EndsAt <= Now;
      if (IsDue) {
        Ended.push_back(Known.first);
      }
      return IsDue;
    });
    return Ended;
  }

  /// \brief When tick() is due; max() when no evacuation is about to end.
  TimePoint nextTimer() const {
    TimePoint Next = TimePoint::max();
    for (const auto &[DataCenter, Known] : m_Active) {
      Next = std::min(Next, Known.m_EndsAt.value_or(TimePoint::max()));
    }
    return Next;
  }

  bool isEvacuated(std::string_view DataCenter) const { return m_Active.contains(DataCenter); }

  /// \brief When this VM first knew of the evacuation; nothing for a data centre that is in use.
  std::optional<TimePoint> since(std::string_view DataCenter) const {
    const auto Known = m_Active.find(DataCenter);
    return Known == m_Active.end() ? std::nullopt : std::optional(Known->second.m_Since);
  }

  /// \brief The evacuated data centres in alphabetical order.
  std::vector<std::string> names() const {
    std::vector<std::string> Names;
    for (const auto &[DataCenter, Known] : m_Active) {
      Names.push_back(DataCenter);
    }
    return Names;
  }

  /// \brief The same without those that are about to end: a VM that took these over would not know
  /// that they end.
  std::vector<std::string> lastingNames() const {
    std::vector<std::string> Names;
    for (const auto &[DataCenter, Known] : m_Active) {
      if (!Known.m_EndsAt) {
        Names.push_back(DataCenter);
      }
    }
    return Names;
  }

private:
  struct State {
    TimePoint m_Since{};
    /// Set while the evacuation is about to end.
    std::optional<TimePoint> m_EndsAt;
  };

  std::map<std::string, State, std::less<>> m_Active;
};

} // namespace vanillahill::fleet
