#include "vanillahill/kernel/probed/token_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <vector>

namespace vanillahill::kernel::probed {

double tokensToGive(const TokenLevel &Own, const TokenLevel &Requester, double PerRequest) {
  /// A VM without requests still keeps a part, for the first ones.
  constexpr double MinDemand = 0.5;
  /// A smaller difference is left, or tokens would go back and forth with chance arrivals.
  constexpr double MinRatio = 1.25;
  /// KeptTokens for the requests of so many seconds, up to a number of tokens.
  constexpr double KeptSeconds = 0.2;
  constexpr double MaxKeptTokens = 3.0;
  const double KeptTokens = std::min(Own.m_Demand * PerRequest * KeptSeconds, MaxKeptTokens);
  const double OwnTokens = std::max(Own.m_Tokens - KeptTokens, 0.0);
  const double OwnDemand = std::sqrt(std::max(Own.m_Demand, MinDemand));
  const double RequesterDemand = std::sqrt(std::max(Requester.m_Demand, MinDemand));
  if (OwnTokens * RequesterDemand < MinRatio * Requester.m_Tokens * OwnDemand) {
    return 0.0;
  }
  const double Balance = (OwnTokens * RequesterDemand - Requester.m_Tokens * OwnDemand) /
                         (OwnDemand + RequesterDemand);
  const double Wanted = std::max(Requester.m_Demand, MinDemand) * PerRequest - Requester.m_Tokens;
  return std::floor(std::max(std::min(Balance, Wanted), 0.0));
}

std::optional<TokenExchange::DueRequest> TokenExchange::ask(const TokenLevel &Own,
                                                            std::span<const HelperVm> Vms,
                                                            TimePoint Now,
                                                            std::mt19937_64 &Random) {
  noteUnanswered(Now);
  if (m_Open || Now < m_NextAt) {
    return std::nullopt;
  }
  if (m_Avoided.size() > 2 * Vms.size()) {
    // VMs that have been replaced.
    std::erase_if(m_Avoided, [Now](const auto &Each) { return Each.second.m_Until <= Now; });
  }
  std::vector<const HelperVm *> Candidates;
  for (const HelperVm &Vm : Vms) {
    const auto Known = m_Avoided.find(Vm.m_Id);
    if (Known == m_Avoided.end() || Known->second.m_Until <= Now) {
      Candidates.push_back(&Vm);
    }
  }
  m_NextAt = Now + m_Interval;
  if (Candidates.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> Position(0, Candidates.size() - 1);
  const HelperVm &Chosen = *Candidates[Position(Random)];
  m_Open = {.m_Number = ++m_LastNumber, .m_Vm = Chosen.m_Id, .m_SentAt = Now};
  return DueRequest{.m_Vm = Chosen.m_Name,
                    .m_Request = {.m_Number = m_LastNumber,
                                  .m_Demand = Own.m_Demand,
                                  .m_Tokens = static_cast<std::uint32_t>(Own.m_Tokens)}};
}

std::uint32_t TokenExchange::answered(const TokenGrant &Grant, TimePoint Now) {
  if (!m_Open || m_Open->m_Number != Grant.m_Number) {
    return 0;
  }
  const ServerId Vm = m_Open->m_Vm;
  m_Open.reset();
  if (Grant.m_Tokens == 0) {
    m_Avoided[Vm] = {.m_Until = Now + DeclinedTime};
    m_Interval = std::min<Duration>(2 * m_Interval, LongestInterval);
    m_NextAt = Now + m_Interval;
    return 0;
  }
  m_Avoided.erase(Vm);
  m_Interval = ShortestInterval;
  return Grant.m_Tokens;
}

void TokenExchange::noteUnanswered(TimePoint Now) {
  if (!m_Open || Now - m_Open->m_SentAt < AnswerTime) {
    return;
  }
  Avoided &Silent = m_Avoided[m_Open->m_Vm];
  Silent.m_Silence = std::clamp<Duration>(2 * Silent.m_Silence, SilentTime, LongestSilentTime);
  Silent.m_Until = Now + Silent.m_Silence;
  m_Open.reset();
}

} // namespace vanillahill::kernel::probed
