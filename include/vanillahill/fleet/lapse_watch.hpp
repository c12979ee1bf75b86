/// \file
/// Distinguishes an outage of the store from a lost connection of this VM alone.
#pragma once

#include "vanillahill/core/time.hpp"

#include <optional>

namespace vanillahill::fleet {

/// Decides whether removals of server records are to be held back. A record lapses when the store
/// drops it although its server is alive. This may happen during an outage of the store, but not
/// while only this VM is disconnected from it. A VM whose data was out of date for longer than the
/// bound cannot distinguish the two cases: it assumes lapsed records for a grace period, or until a
/// VM that stayed current reports that nothing lapsed.
class LapseWatch {
public:
  /// Lapsed records of live servers are back in the store within this time after an outage.
  static constexpr Duration GracePeriod = std::chrono::seconds(2);
  /// A VM that has been current for this long would have noticed an outage.
  static constexpr Duration SteadyTime = 2 * GracePeriod;

  /// \param Bound a VM that was not current for longer than this may have missed an outage
  explicit LapseWatch(Duration Bound) : m_Bound(Bound) {}

  /// \brief Records that this VM is up to date with the store.
  /// \param Previous when it was last up to date; nothing the first time
  /// \return whether it was out of date for longer than the bound, so that records may have lapsed
  bool becameCurrent(std::optional<TimePoint> Previous, TimePoint Now) {
    if (!m_SteadySince) {
      m_SteadySince = Now;
    }
    if (!Previous || Now - *Previous <= m_Bound) {
      return false;
    }
    m_SteadySince = Now;
    m_MayHaveLapsedUntil = Now + GracePeriod;
    return true;
  }

  /// \brief Called when the store has returned from a copy, which may lack records of live servers.
  void startEra(TimePoint Now) {
    m_SteadySince = Now;
    m_MayHaveLapsedUntil = Now + GracePeriod;
  }

  /// \brief Takes the report of another VM.
  /// \param IsSteady whether that VM has been current for SteadyTime
  /// \param MayHaveLapsed whether records may have lapsed as far as that VM knows
  /// \return whether this VM assumed lapsed records and the report shows that there are none
  bool heard(bool IsSteady, bool MayHaveLapsed, TimePoint Now) {
    if (!IsSteady || MayHaveLapsed || !mayHaveLapsed(Now)) {
      return false;
    }
    m_MayHaveLapsedUntil = Now;
    return true;
  }

  /// \brief Whether a removed record may belong to a live server.
  bool mayHaveLapsed(TimePoint Now) const { return Now < m_MayHaveLapsedUntil; }

  /// \brief Whether this VM has been current for long enough to have noticed an outage of the
  /// store.
  bool isSteady(TimePoint Now) const { return m_SteadySince && Now - *m_SteadySince >= SteadyTime; }

  void setBound(Duration Bound) { m_Bound = Bound; }

private:
  Duration m_Bound;
  std::optional<TimePoint> m_SteadySince;
  TimePoint m_MayHaveLapsedUntil{};
};

} // namespace vanillahill::fleet
