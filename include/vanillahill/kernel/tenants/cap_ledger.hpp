/// \file
/// Counts tenants' requests against their usage caps, at the VM that counts them for the fleet.
#pragma once

#include "vanillahill/core/tenant_messages.hpp"
#include "vanillahill/settings/settings.hpp"

#include <span>
#include <unordered_map>

namespace vanillahill::kernel::tenants {

/// A verdict and, when the cap is reached, the time until it allows the request.
struct CapDecision {
  CapVerdict m_Verdict = CapVerdict::Unknown;
  Duration m_RetryAfter{};
};

/// One token bucket for each tenant with a cap. Load pattern: a tenant at several times its usual
/// rate, whose requests arrive at all VMs. Not thread safe.
class CapLedger {
public:
  /// The excess over a cap that the deployment tolerates is divided: a share of it is added to the
  /// burst, since a tenant with a small cap would be refused for arrivals that are uneven by chance
  /// alone, and a request that is refused below its cap is worse than one served within the
  /// tolerance. Another share may be granted by VMs that do not know whether the VM that counts
  /// still does. The rest covers messages in transit.
  static constexpr double BurstShare = 0.5;
  static constexpr double ReserveShare = 0.2;
  /// Share of the relative excess that is added to the rate.
  static constexpr double RateShare = 0.5;
  /// Longest Retry-After of a refused request. Few callers wait for longer, and the
  /// tokens that are promised to the others would be lost.
  static constexpr Duration LongestRetryAfter = std::chrono::seconds(2);

  /// \brief Applies tenants and bounds. A lowered cap takes tokens away at once.
  void configure(std::span<const TenantSettings> Tenants, const CapBounds &Bounds, TimePoint Now);

  /// \brief Sets whether this VM counts a tenant's requests. When it begins to, it has no tokens:
  /// the VM that counted before may just have spent the burst.
  void setCounting(TenantId Tenant, bool IsCounting, TimePoint Now);

  bool isCounting(TenantId Tenant) const;
  bool hasCap(TenantId Tenant) const { return m_Buckets.contains(Tenant); }

  /// \brief Charges requests of a tenant that this VM counts.
  CapDecision charge(TenantId Tenant, std::uint32_t Units, TimePoint Now);

  /// \brief Charges requests of a tenant that another VM counts which may not answer any more.
  /// \return Granted or Unknown
  CapDecision chargeReserve(TenantId Tenant, std::uint32_t Units, TimePoint Now);

  /// \brief Returns units for requests that did not run.
  void giveBack(TenantId Tenant, std::uint32_t Units, TimePoint Now);

  /// \brief Share of the cap in use, from 0 to 1: what is missing from the burst.
  double usedShare(TenantId Tenant, TimePoint Now) const;

private:
  struct Bucket {
    double m_PerSecond = 0.0;
    double m_Burst = 0.0;
    double m_Tokens = 0.0;
    TimePoint m_CountedAt{};
    bool m_IsCounting = false;
    /// Tokens are promised to requests that were refused, from the first of these times to the
    /// last one.
    TimePoint m_FirstPromise{};
    TimePoint m_LastPromise{};
    double m_ReserveBurst = 0.0;
    double m_ReservePerSecond = 0.0;
    double m_ReserveTokens = 0.0;
    TimePoint m_ReserveCountedAt{};
  };

  static double tokens(const Bucket &Counted, TimePoint Now);
  static void refill(Bucket &Counted, TimePoint Now);

  std::unordered_map<TenantId, Bucket> m_Buckets;
};

} // namespace vanillahill::kernel::tenants
