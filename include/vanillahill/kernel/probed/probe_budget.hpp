/// \file
/// How many probes one VM may send to a service.
#pragma once

#include "vanillahill/core/time.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace vanillahill::kernel::probed {

/// A token bucket. Its rate is this VM's equal share of the probes that all VMs together may send,
/// so the total stays within its limit however the load is spread over the VMs. Tokens may be moved
/// between the buckets of VMs. With few tokens left, searches probe fewer servers.
class ProbeBudget {
public:
  /// Capacity of the bucket, in seconds of its rate. The catalog divides a sixth less than the
  /// servers allow, so that with full buckets no ten seconds exceed what they allow.
  static constexpr double BurstSeconds = 1.5;
  /// Tokens at the start, in seconds of the rate.
  static constexpr double InitialSeconds = 1.0;
  /// Level, in seconds of the rate, from which a search may start a further round.
  static constexpr double SecondsForMoreRounds = 0.5;
  /// Level, in seconds of the rate, from which a round may sample all the servers it wants.
  static constexpr double SecondsForFullRound = 1.0;
  /// Most servers sampled in a round below that level.
  static constexpr std::size_t ReducedRoundSize = 1;
  /// Probes that a request uses where there are enough.
  static constexpr double ProbesPerRequest = 4.0;
  /// Share of the rate that may be given to other VMs. The rest stays, so that a VM which
  /// overstates its demand cannot take everything.
  static constexpr double GivenShare = 0.75;

  /// \brief Sets the rate. The first call adds the initial tokens.
  /// \param PerSecond probes that this VM may send per second
  void configure(double PerSecond, TimePoint Now) {
    refill(Now);
    if (m_PerSecond == 0.0) {
      m_Tokens = PerSecond * InitialSeconds;
      m_Givable = m_Tokens;
    }
    m_PerSecond = PerSecond;
    m_Tokens = std::min(m_Tokens, capacity());
    m_Givable = std::min(m_Givable, capacity());
  }

  /// \brief Probes per second of this VM's equal share.
  double perSecond() const { return m_PerSecond; }

  /// \brief Most tokens that the bucket holds.
  double capacity() const { return std::max(m_PerSecond * BurstSeconds, 1.0); }

  double tokens(TimePoint Now) const {
    const std::chrono::duration<double> Passed = Now - m_RefilledAt;
    return std::min(m_Tokens + Passed.count() * m_PerSecond, capacity());
  }

  /// \brief Gives tokens to another VM.
  /// \param Wanted a whole number
  /// \return how many; at most Wanted
  std::uint32_t give(double Wanted, TimePoint Now) {
    refill(Now);
    const double Given = std::floor(std::max(std::min({Wanted, m_Tokens, m_Givable}), 0.0));
    m_Tokens -= Given;
    m_Givable -= Given;
    return static_cast<std::uint32_t>(Given);
  }

  /// \brief Adds tokens of another VM, up to the capacity.
  void receive(std::uint32_t Tokens, TimePoint Now) {
    refill(Now);
    m_Tokens = std::min(m_Tokens + Tokens, capacity());
  }

  /// \brief How many of the wanted servers a round may sample.
  std::size_t roundSize(std::size_t Wanted, TimePoint Now) {
    refill(Now);
    const std::size_t Allowed =
        m_Tokens < SecondsForFullRound * m_PerSecond ? ReducedRoundSize : Wanted;
    return std::min({Wanted, Allowed, static_cast<std::size_t>(m_Tokens)});
  }

  /// \brief Whether a search that found no good server may start a further round.
  bool allowsMoreRounds(TimePoint Now) {
    refill(Now);
    return m_Tokens >= SecondsForMoreRounds * m_PerSecond;
  }

  /// \brief Takes the token of a probe that was sent.
  void takeToken() { m_Tokens = std::max(m_Tokens - 1.0, 0.0); }

private:
  void refill(TimePoint Now) {
    const std::chrono::duration<double> Passed = Now - m_RefilledAt;
    m_RefilledAt = Now;
    m_Tokens = std::min(m_Tokens + Passed.count() * m_PerSecond, capacity());
    m_Givable = std::min(m_Givable + Passed.count() * m_PerSecond * GivenShare, capacity());
  }

  double m_PerSecond = 0.0;
  double m_Tokens = 0.0;
  /// How many tokens may be given to other VMs.
  double m_Givable = 0.0;
  TimePoint m_RefilledAt{};
};

} // namespace vanillahill::kernel::probed
