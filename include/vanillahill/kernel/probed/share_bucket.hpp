/// \file
/// A token bucket for one VM's share of a rate that all VMs keep together.
#pragma once

#include "vanillahill/core/time.hpp"

#include <algorithm>
#include <optional>

namespace vanillahill::kernel::probed {

/// A VM's part of a limit.
struct LimitShare {
  /// Requests per second; zero when other VMs hold the limit.
  double m_PerSecond = 0.0;
  /// Requests that may be sent at once after a quiet time.
  double m_Burst = 1.0;
};

/// Without a share, no request is allowed. A new share begins without tokens, so that a VM which
/// starts or takes over adds no burst to those of the other holders.
class ShareBucket {
public:
  bool hasShare() const { return m_Share.m_PerSecond > 0.0; }

  /// \brief Requests per second; zero without a share.
  double perSecond() const { return m_Share.m_PerSecond; }

  /// \brief Sets the share.
  /// \param From when it may be used first, if there was none before
  void setShare(const LimitShare &Share, TimePoint From, TimePoint Now) {
    const bool IsNew = !hasShare();
    m_Tokens = IsNew ? 0.0 : tokens(Now);
    m_CountedAt = IsNew ? std::max(From, Now) : std::max(m_CountedAt, Now);
    m_Share = Share;
    m_Tokens = std::min(m_Tokens, m_Share.m_Burst);
  }

  void removeShare() { m_Share = {}; }

  bool allowsRequest(TimePoint Now) const { return hasShare() && tokens(Now) >= 1.0; }

  /// \brief When allowsRequest() changes to true; nothing without a share.
  std::optional<TimePoint> nextRequestAt(TimePoint Now) const {
    if (!hasShare()) {
      return std::nullopt;
    }
    const double Missing = std::max(1.0 - tokens(Now), 0.0);
    const std::chrono::duration<double> Wait(Missing / m_Share.m_PerSecond);
    return std::max(Now, m_CountedAt) + std::chrono::duration_cast<Duration>(Wait);
  }

  /// \brief Counts a request that is sent; does nothing without a share.
  void countRequest(TimePoint Now) {
    if (hasShare()) {
      m_Tokens = std::max(tokens(Now) - 1.0, 0.0);
      m_CountedAt = std::max(m_CountedAt, Now);
    }
  }

private:
  double tokens(TimePoint Now) const {
    const std::chrono::duration<double> Passed = std::max(Now - m_CountedAt, Duration::zero());
    return std::min(m_Tokens + Passed.count() * m_Share.m_PerSecond, m_Share.m_Burst);
  }

  LimitShare m_Share;
  double m_Tokens = 0.0;
  TimePoint m_CountedAt{};
};

} // namespace vanillahill::kernel::probed
