/// \file
/// Tells an outage of the store from a cut of this VM alone.
#pragma once

#include "vanillahill/core/time.hpp"

#include <optional>

namespace vanillahill::fleet {

/// While the store is away, records of living servers may lapse; while only this VM is cut off,
/// none does. A VM that was not current for longer than its bound cannot tell which it was and
/// holds removals back, until a VM that was current all the while says that nothing lapsed.
class LapseWatch {
public:
  /// Lapsed records of living servers are back within this time after an outage.
  static constexpr Duration Grace = std::chrono::seconds(2);
  /// A VM that was current for this long would have noticed an outage.
  static constexpr Duration SteadyTime = 2 * Grace;

  /// \param Bound a VM that was not current for longer missed something
  explicit LapseWatch(Duration Bound) : m_Bound(Bound) {}

  /// \brief This VM learnt what the store holds.
  /// \param Previous when it was current before; nothing the first time
  /// \return whether records may have lapsed from now on
  bool becameCurrent(std::optional<TimePoint> Previous, TimePoint Now) {
    if (!m_SteadySince) {
      m_SteadySince = Now;
    }
    if (!Previous || Now - *Previous <= m_Bound) {
      return false;
    }
    m_SteadySince = Now;
    m_LapseUntil = Now + Grace;
    return true;
  }

  /// \brief Another VM says how it fared.
  /// \return whether a suspicion of this VM is refuted now
  bool heard(bool IsSteady, bool MayHaveLapsed, TimePoint Now) {
    if (!IsSteady || MayHaveLapsed || !mayHaveLapsed(Now)) {
      return false;
    }
    m_LapseUntil = Now;
    return true;
  }

  /// \brief Whether a removal may be that of a living server.
  bool mayHaveLapsed(TimePoint Now) const { return Now < m_LapseUntil; }

  /// \brief Whether this VM was current for long enough to speak for the store.
  bool isSteady(TimePoint Now) const { return m_SteadySince && Now - *m_SteadySince >= SteadyTime; }

  void setBound(Duration Bound) { m_Bound = Bound; }

private:
  Duration m_Bound;
  std::optional<TimePoint> m_SteadySince;
  TimePoint m_LapseUntil{};
};

} // namespace vanillahill::fleet
