/// \file
/// The number of requests per second that a backend server takes from all VMs together, as far as
/// this VM knows, and this VM's part of it.
#pragma once

#include "vanillahill/kernel/events.hpp"
#include "vanillahill/kernel/probed/share_bucket.hpp"

#include <algorithm>
#include <cmath>
#include <optional>

namespace vanillahill::kernel::probed {

/// What a server says about its limit, in a reply to this VM or to another one.
struct LimitStatement {
  /// Requests per second, or NoRequestLimit.
  double m_PerSecond = NoRequestLimit;
  /// When the request to which the server replied was sent.
  TimePoint m_SentAt{};
};

/// What a statement did to the known limit.
enum class LimitChange : std::uint8_t {
  /// A later statement is known.
  Outdated,
  Confirmed,
  Changed,
};

/// The limit that one incarnation of a backend server has named. A VM that holds a part of it has a
/// token bucket; the other VMs send nothing.
class RequestLimit {
public:
  /// A limit that this VM has no part of is forgotten when no VM has confirmed it for this long, or
  /// up to twice as long. Whether it still holds then shows in the reply to the next request.
  static constexpr Duration Lifetime = std::chrono::seconds(30);
  /// When a limit has ended, the VMs without a part of it return within this time.
  static constexpr Duration ReturnTime = std::chrono::seconds(4);
  /// Interval in which a limit is announced to the other VMs.
  static constexpr Duration AnnounceInterval = std::chrono::seconds(8);
  /// The end of a limit is announced for this long: announcements may be lost.
  static constexpr Duration EndAnnouncedFor = std::chrono::seconds(20);
  /// Requests that waited for a connection end within this time after the limit fell.
  static constexpr Duration FallTime = std::chrono::milliseconds(100);

  /// \brief Records a statement. A lower limit holds at once. A higher one, or none, holds only if
  /// the request was sent after the last statement was received: replies on several connections may
  /// overtake each other.
  /// \param Delay drawn from 0 to 1: spreads the VMs over Lifetime and ReturnTime
  LimitChange record(const LimitStatement &Stated, double Delay, TimePoint Now) {
    if (Stated.m_PerSecond > m_PerSecond && Stated.m_SentAt < m_StatedAt) {
      return LimitChange::Outdated;
    }
    const bool Changes = Stated.m_PerSecond != m_PerSecond;
    const bool Ends = Changes && !std::isfinite(Stated.m_PerSecond);
    if (Ends) {
      m_EndedAt = Now;
      m_ReturnsAt = m_Bucket.hasShare() ? Now : Now + scaled(ReturnTime, Delay);
      m_Bucket.removeShare();
    }
    if (Stated.m_PerSecond < m_PerSecond) {
      m_FellAt = Now;
    }
    m_PerSecond = Stated.m_PerSecond;
    m_StatedAt = std::max(m_StatedAt, Now);
    m_ExpiresAt = Now + Lifetime + scaled(Lifetime, Delay);
    return Changes ? LimitChange::Changed : LimitChange::Confirmed;
  }

  /// \brief Whether the server has named a limit and not ended it.
  bool isKnown() const { return std::isfinite(m_PerSecond); }

  /// \brief Whether statements are of interest: a limit is known, or has ended a moment ago.
  bool isWatched(TimePoint Now) const {
    return isKnown() || (m_EndedAt && Now - *m_EndedAt < EndAnnouncedFor);
  }

  /// \brief Whether requests that were not sent may have been held back because the limit fell.
  bool hasJustFallen(TimePoint Now) const { return m_FellAt && Now - *m_FellAt < FallTime; }

  /// \brief Requests per second, or NoRequestLimit.
  double perSecond() const { return m_PerSecond; }

  /// \brief Requests per second that this VM may send; zero when other VMs hold the limit.
  double share() const { return m_Bucket.perSecond(); }

  /// \brief Sets this VM's part of the limit.
  /// \param From when it may be used first, if this VM had no part before
  void setShare(const LimitShare &Part, TimePoint From, TimePoint Now) {
    m_Bucket.setShare(Part, From, Now);
  }

  /// \brief Whether a request may be sent to the server.
  bool allowsRequest(TimePoint Now) const {
    if (!isKnown()) {
      return Now >= m_ReturnsAt;
    }
    return m_Bucket.hasShare() ? m_Bucket.allowsRequest(Now) : Now >= m_ExpiresAt;
  }

  /// \brief When allowsRequest() changes to true.
  /// \return nothing when other VMs hold the limit
  std::optional<TimePoint> nextRequestAt(TimePoint Now) const {
    if (!isKnown()) {
      return std::max(Now, m_ReturnsAt);
    }
    return m_Bucket.nextRequestAt(Now);
  }

  /// \brief Counts a request that is sent to the server.
  void countRequest(TimePoint Now) {
    if (isKnown()) {
      m_Bucket.countRequest(Now);
    }
  }

  /// \brief Whether to announce the last statement to the other VMs; counts it as announced.
  bool takeAnnouncement(bool IsChanged, TimePoint Now) {
    if (!IsChanged && (!isWatched(Now) || Now - m_AnnouncedAt < AnnounceInterval)) {
      return false;
    }
    m_AnnouncedAt = Now;
    return true;
  }

  /// \brief Notes that another VM has announced what is known here.
  void noteAnnounced(TimePoint Now) { m_AnnouncedAt = Now; }

  /// \brief When the last statement was received; TimePoint::min() without one.
  TimePoint statedAt() const { return m_StatedAt; }

private:
  static Duration scaled(Duration Length, double Factor) {
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Length) * Factor);
  }

  double m_PerSecond = NoRequestLimit;
  TimePoint m_StatedAt = TimePoint::min();
  TimePoint m_ExpiresAt = TimePoint::min();
  std::optional<TimePoint> m_EndedAt;
  std::optional<TimePoint> m_FellAt;
  TimePoint m_ReturnsAt = TimePoint::min();
  ShareBucket m_Bucket;
  TimePoint m_AnnouncedAt{};
};

} // namespace vanillahill::kernel::probed
