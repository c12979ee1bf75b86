/// \file
/// Which VM keeps a read of the configuration waiting at the store.
#pragma once

#include "vanillahill/core/ids.hpp"
#include "vanillahill/core/time.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string_view>
#include <tuple>

namespace vanillahill::fleet {

/// How well a VM is suited to read long records first; the lower rank is the better one.
struct ReaderRank {
  /// Binary logarithm of the milliseconds that a megabyte takes on its link.
  std::uint32_t m_LinkClass = 0;
  /// Distinguishes VMs with equal links.
  std::uint32_t m_Vm = 0;

  bool operator<(const ReaderRank &Other) const {
    return std::tie(m_LinkClass, m_Vm) < std::tie(Other.m_LinkClass, Other.m_Vm);
  }
};

/// \param LinkBitsPerSecond rate of the VM's link; 0 when it is not known
/// \param Ip address of the VM
inline ReaderRank rankOf(double LinkBitsPerSecond, std::string_view Ip) {
  constexpr double MegabyteBits = 8e6;
  constexpr double MillisPerSecond = 1000.0;
  constexpr double UnknownMillis = 1e6;
  const double Millis =
      LinkBitsPerSecond > 0.0
          ? std::clamp(MegabyteBits / LinkBitsPerSecond * MillisPerSecond, 1.0, UnknownMillis)
          : UnknownMillis;
  return {.m_LinkClass = static_cast<std::uint32_t>(std::log2(Millis)),
          .m_Vm = static_cast<std::uint32_t>(raw(idOf<VmId>(Ip)))};
}

/// The store answers a read when a record is there, or after the time for which the read may be
/// held. One VM of the fleet keeps such a read at the store, so that a new record is noticed at
/// once; it announces each answer, and the others read only when no announcement arrives. Any VM
/// that reads becomes the keeper until one with a lower rank announces a read, so the loss of a VM
/// costs only the time until the next one reads. Does no I/O itself. Not thread safe.
class StandingRead {
public:
  /// Time for which the store may hold a read, as a share of the bound.
  static constexpr double HoldShare = 0.2;
  /// A keeper without an announcement for this share of the bound is forgotten: two are missing.
  static constexpr double KeeperLifetimeShare = 0.5;
  /// After a failed read, a VM does not replace another keeper for this many bounds.
  static constexpr int FailurePauseBounds = 4;
  /// A store that answers at once although it has no record gets no read to hold for this time.
  static constexpr Duration NotHeldPause = std::chrono::seconds(30);

  /// \param Own rank of this VM; nothing when it keeps no read
  StandingRead(std::optional<ReaderRank> Own, Duration Bound) : m_Own(Own), m_Bound(Bound) {}

  void setBound(Duration Bound) { m_Bound = Bound; }

  /// \brief Whether the next read of this VM is to be held by the store.
  bool isKeeper(TimePoint Now) const { return m_IsKeeper && Now >= m_NotHeldUntil; }

  /// \brief Whether another VM is known to keep a read.
  bool hasOther(TimePoint Now) const { return m_OtherSeenAt && Now < lifetimeFrom(*m_OtherSeenAt); }

  /// \brief Time for which the store may hold a read.
  Duration holdTime() const { return shareOfBound(HoldShare); }

  /// \brief Reports that this VM has read the stream.
  /// \param WasRefused the store should have held the read, and answered it at once without a
  /// record
  void succeeded(bool WasRefused, TimePoint Now) {
    if (WasRefused) {
      m_NotHeldUntil = Now + NotHeldPause;
    }
    m_IsKeeper = m_Own && (!m_BetterSeenAt || Now >= lifetimeFrom(*m_BetterSeenAt));
  }

  /// \brief Reports that a read of this VM failed.
  void failed(TimePoint Now) {
    m_IsKeeper = false;
    m_FailedAt = Now;
  }

  /// \brief Takes the announcement of another VM that keeps a read.
  /// \return whether this VM should replace it, since its link is faster
  bool noteKeeper(const ReaderRank &Other, TimePoint Now) {
    m_OtherSeenAt = Now;
    if (!m_Own) {
      return false;
    }
    if (Other < *m_Own) {
      m_BetterSeenAt = Now;
      m_IsKeeper = false;
      return false;
    }
    const bool HasBetter = m_BetterSeenAt && Now < lifetimeFrom(*m_BetterSeenAt);
    const bool HasFailed = m_FailedAt && Now - *m_FailedAt < FailurePauseBounds * m_Bound;
    return m_Own->m_LinkClass < Other.m_LinkClass && !m_IsKeeper && !HasBetter && !HasFailed;
  }

private:
  Duration shareOfBound(double Share) const {
    return std::chrono::duration_cast<Duration>(m_Bound * Share);
  }
  TimePoint lifetimeFrom(TimePoint SeenAt) const {
    return SeenAt + shareOfBound(KeeperLifetimeShare);
  }

  std::optional<ReaderRank> m_Own;
  Duration m_Bound;
  bool m_IsKeeper = false;
  TimePoint m_NotHeldUntil = TimePoint::min();
  std::optional<TimePoint> m_OtherSeenAt;
  /// When the last announcement of a VM with a lower rank arrived.
  std::optional<TimePoint> m_BetterSeenAt;
  std::optional<TimePoint> m_FailedAt;
};

} // namespace vanillahill::fleet
