#include "vanillahill/kernel/tenants/cap_ledger.hpp"

#include <algorithm>

namespace vanillahill::kernel::tenants {

namespace {

double toSeconds(Duration Value) { return std::chrono::duration<double>(Value).count(); }

Duration fromSeconds(double Value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Value));
}

/// Tokens of a bucket that holds at least one: a rate without a burst must allow single requests.
double capacityOf(double Burst) { return std::max(Burst, 1.0); }

} // namespace

double CapLedger::tokens(const Bucket &Counted, TimePoint Now) {
  const double Passed = toSeconds(std::max(Now - Counted.m_CountedAt, Duration::zero()));
  return std::min(Counted.m_Tokens + Passed * Counted.m_PerSecond, capacityOf(Counted.m_Burst));
}

void CapLedger::refill(Bucket &Counted, TimePoint Now) {
  Counted.m_Tokens = tokens(Counted, Now);
  Counted.m_CountedAt = std::max(Counted.m_CountedAt, Now);
}

void CapLedger::configure(std::span<const TenantSettings> Tenants, const CapBounds &Bounds,
                          TimePoint Now) {
  std::unordered_map<TenantId, Bucket> Next;
  for (const TenantSettings &Tenant : Tenants) {
    if (!Tenant.hasCap()) {
      continue;
    }
    const auto Known = m_Buckets.find(Tenant.m_Id);
    Bucket Counted = Known != m_Buckets.end()
                         ? Known->second
                         : Bucket{.m_CountedAt = Now, .m_ReserveCountedAt = Now};
    refill(Counted, Now);
    const double Window = toSeconds(Bounds.m_Window);
    const double ExcessRatio = Window > 0.0 ? Bounds.m_ExcessRatio : 0.0;
    const double Slack = Window > 0.0 ? Bounds.m_Slack : 0.0;
    const double BurstExcess = Tenant.m_Burst * ExcessRatio + Slack;
    Counted.m_PerSecond = Tenant.m_PerSecond * (1.0 + ExcessRatio * RateShare);
    Counted.m_Burst = Tenant.m_Burst + BurstExcess * BurstShare;
    Counted.m_Tokens = std::min(Counted.m_Tokens, capacityOf(Counted.m_Burst));
    Counted.m_FirstPromise = Counted.m_LastPromise = TimePoint{};
    // In any window, a bucket grants its burst and what its rate adds.
    const double Reserve = (Tenant.m_PerSecond * Window * ExcessRatio + BurstExcess) * ReserveShare;
    Counted.m_ReserveBurst = Reserve / 2.0;
    Counted.m_ReservePerSecond = Window > 0.0 ? Counted.m_ReserveBurst / Window : 0.0;
    Next.emplace(Tenant.m_Id, Counted);
  }
  m_Buckets = std::move(Next);
}

void CapLedger::setCounting(TenantId Tenant, bool IsCounting, TimePoint Now) {
  const auto Found = m_Buckets.find(Tenant);
  if (Found == m_Buckets.end() || Found->second.m_IsCounting == IsCounting) {
    return;
  }
  Found->second.m_IsCounting = IsCounting;
  Found->second.m_Tokens = 0.0;
  Found->second.m_CountedAt = Now;
  Found->second.m_FirstPromise = Found->second.m_LastPromise = TimePoint{};
}

bool CapLedger::isCounting(TenantId Tenant) const {
  const auto Found = m_Buckets.find(Tenant);
  return Found != m_Buckets.end() && Found->second.m_IsCounting;
}

CapDecision CapLedger::charge(TenantId Tenant, std::uint32_t Units, TimePoint Now) {
  const auto Found = m_Buckets.find(Tenant);
  if (Found == m_Buckets.end()) {
    return {.m_Verdict = CapVerdict::Granted};
  }
  Bucket &Counted = Found->second;
  refill(Counted, Now);
  // A request that arrives before the first promised time must not take the promised token.
  const bool IsPromised =
      Now < Counted.m_FirstPromise && Counted.m_FirstPromise <= Counted.m_LastPromise;
  const Duration Interval =
      Counted.m_PerSecond > 0.0 ? fromSeconds(Units / Counted.m_PerSecond) : LongestRetryAfter;
  if (Counted.m_Tokens >= Units && !IsPromised) {
    Counted.m_Tokens -= Units;
    Counted.m_FirstPromise = std::max(Counted.m_FirstPromise, Now - LongestRetryAfter) + Interval;
    return {.m_Verdict = CapVerdict::Granted};
  }
  // Each refused request gets the time of a token of its own, so that those of one moment do not
  // come back together.
  const double Missing = std::max(Units - Counted.m_Tokens, 0.0);
  const TimePoint Next = Counted.m_PerSecond > 0.0
                             ? Now + fromSeconds(Missing / Counted.m_PerSecond)
                             : TimePoint::max();
  const bool HasPromises = Now <= Counted.m_LastPromise;
  const TimePoint At =
      std::min(HasPromises ? std::max(Next, Counted.m_LastPromise + Interval) : Next,
               Now + LongestRetryAfter);
  Counted.m_FirstPromise = HasPromises ? Counted.m_FirstPromise : At;
  Counted.m_LastPromise = At;
  return {.m_Verdict = CapVerdict::Reached, .m_RetryAfter = At - Now};
}

CapDecision CapLedger::chargeReserve(TenantId Tenant, std::uint32_t Units, TimePoint Now) {
  const auto Found = m_Buckets.find(Tenant);
  if (Found == m_Buckets.end()) {
    return {.m_Verdict = CapVerdict::Granted};
  }
  Bucket &Counted = Found->second;
  const double Passed = toSeconds(std::max(Now - Counted.m_ReserveCountedAt, Duration::zero()));
  Counted.m_ReserveTokens = std::min(Counted.m_ReserveTokens + Passed * Counted.m_ReservePerSecond,
                                     Counted.m_ReserveBurst);
  Counted.m_ReserveCountedAt = std::max(Counted.m_ReserveCountedAt, Now);
  if (Counted.m_ReserveTokens < Units) {
    return {.m_Verdict = CapVerdict::Unknown};
  }
  Counted.m_ReserveTokens -= Units;
  return {.m_Verdict = CapVerdict::Granted};
}

void CapLedger::giveBack(TenantId Tenant, std::uint32_t Units, TimePoint Now) {
  const auto Found = m_Buckets.find(Tenant);
  if (Found == m_Buckets.end() || !Found->second.m_IsCounting) {
    return;
  }
  refill(Found->second, Now);
  Found->second.m_Tokens =
      std::min(Found->second.m_Tokens + Units, capacityOf(Found->second.m_Burst));
}

double CapLedger::usedShare(TenantId Tenant, TimePoint Now) const {
  const auto Found = m_Buckets.find(Tenant);
  if (Found == m_Buckets.end() || !Found->second.m_IsCounting) {
    return 0.0;
  }
  return 1.0 - tokens(Found->second, Now) / capacityOf(Found->second.m_Burst);
}

} // namespace vanillahill::kernel::tenants
