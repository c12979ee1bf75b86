/// \file
/// Whether a backend server is cold, and this VM's share of the rate that it tolerates then.
#pragma once

#include "vanillahill/kernel/probed/share_bucket.hpp"

namespace vanillahill::kernel::probed {

/// What is known of a server's cold time.
struct ColdStatement {
  /// How much longer the server was cold when it said so; zero when it was warm.
  Duration m_For{};
  /// When it said so, at the earliest.
  TimePoint m_SaidAt{};
};

/// The cold time of one incarnation of a server. While it is cold, VMs without a share of its rate
/// send nothing.
class ColdState {
public:
  /// A statement that moves the end by less than this is no news to other VMs: the same cold time
  /// ends at slightly different times for each VM that measures it.
  static constexpr Duration EndTolerance = std::chrono::milliseconds(500);

  /// \brief Records a statement; an outdated one is ignored.
  /// \return whether the end of the cold time has changed by more than EndTolerance
  bool record(const ColdStatement &Stated, TimePoint Now) {
    if (Stated.m_SaidAt < m_SaidAt) {
      return false;
    }
    m_SaidAt = Stated.m_SaidAt;
    const TimePoint Previous = std::max(m_Until, Now);
    m_Until = Stated.m_SaidAt + Stated.m_For;
    const Duration Moved = std::max(m_Until, Now) - Previous;
    return Moved > EndTolerance || Moved < -EndTolerance;
  }

  /// \brief Records the end that the server's record names; the later end applies. An end that is
  /// known counts no second time: the server may have said since that it is warm.
  void recordListed(TimePoint Until, TimePoint Now) {
    if (Until <= Now || Until <= m_ListedUntil + EndTolerance) {
      return;
    }
    m_ListedUntil = Until;
    if (Until > m_Until) {
      record({.m_For = Until - Now, .m_SaidAt = Now}, Now);
    }
  }

  bool isCold(TimePoint Now) const { return Now < m_Until; }

  /// \brief End of the cold time.
  TimePoint until() const { return m_Until; }

  /// \brief Sets this VM's share of the rate. \param From when it may be used first, if new
  void setShare(const LimitShare &Share, TimePoint From, TimePoint Now) {
    m_Bucket.setShare(Share, From, Now);
  }

  void removeShare() { m_Bucket.removeShare(); }

  /// \brief Requests per second that this VM may send while the server is cold.
  double share() const { return m_Bucket.perSecond(); }

  bool allowsRequest(TimePoint Now) const { return !isCold(Now) || m_Bucket.allowsRequest(Now); }

  /// \brief When allowsRequest() changes to true, at the latest.
  TimePoint nextRequestAt(TimePoint Now) const {
    return isCold(Now) ? std::min(m_Bucket.nextRequestAt(Now).value_or(m_Until), m_Until) : Now;
  }

  void countRequest(TimePoint Now) {
    if (isCold(Now)) {
      m_Bucket.countRequest(Now);
    }
  }

private:
  TimePoint m_Until = TimePoint::min();
  TimePoint m_SaidAt = TimePoint::min();
  /// The last end that a record of the server named.
  TimePoint m_ListedUntil = TimePoint::min();
  ShareBucket m_Bucket;
};

} // namespace vanillahill::kernel::probed
