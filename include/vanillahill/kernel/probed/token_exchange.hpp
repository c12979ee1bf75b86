/// \file
/// Moves tokens of a budget that all VMs share to the VMs at which requests arrive.
#pragma once

#include "vanillahill/core/time.hpp"
#include "vanillahill/core/token_messages.hpp"
#include "vanillahill/kernel/relay_helpers.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>

namespace vanillahill::kernel::probed {

/// Tokens and demand of one VM.
struct TokenLevel {
  double m_Tokens = 0.0;
  /// Requests per second.
  double m_Demand = 0.0;
};

/// \brief How many tokens a VM gives to one that asks: so many that both have equally many for each
/// request that arrives.
/// \param Requester the VM that asks; it gets tokens for at most one second of its demand
/// \param PerRequest tokens that a request uses where there are enough
/// \return a whole number; 0 when the difference is not worth a message
double tokensToGive(const TokenLevel &Own, const TokenLevel &Requester, double PerRequest);

/// Load pattern: a budget over the fleet is divided into equal parts, but callers are not spread
/// evenly over the VMs. A VM that is short of tokens asks another one, drawn at random, which gives
/// what makes both alike. Tokens only move, so the sum over all VMs stays what it is without them,
/// whatever their views of the fleet; tokens in a lost message are lost. Not thread safe.
class TokenExchange {
public:
  /// Shortest time between two requests.
  static constexpr Duration ShortestInterval = std::chrono::milliseconds(100);
  /// The interval doubles up to this one while no VM has tokens to spare.
  static constexpr Duration LongestInterval = std::chrono::milliseconds(400);
  /// After a grant of zero tokens, the VM gets no further request for this long.
  static constexpr Duration DeclinedTime = std::chrono::seconds(1);
  /// A request without an answer for this long is lost.
  static constexpr Duration AnswerTime = std::chrono::milliseconds(300);
  /// Backoff after a request without an answer, doubled up to the longest: the VM may be gone, or
  /// of a version without this message.
  static constexpr Duration SilentTime = std::chrono::seconds(2);
  static constexpr Duration LongestSilentTime = std::chrono::seconds(64);

  /// A request to be sent now.
  struct DueRequest {
    std::string m_Vm;
    TokenRequest m_Request;
  };

  /// \brief Begins a request if one is due.
  /// \param Vms the other VMs
  /// \return nothing when no request is due, or no VM is worth asking
  std::optional<DueRequest> ask(const TokenLevel &Own, std::span<const HelperVm> Vms, TimePoint Now,
                                std::mt19937_64 &Random);

  /// \brief Handles an answer.
  /// \return the tokens; 0 for an answer to another request than the last one, or a second answer
  std::uint32_t answered(const TokenGrant &Grant, TimePoint Now);

private:
  struct Avoided {
    TimePoint m_Until{};
    /// How long it was last avoided for not answering.
    Duration m_Silence{};
  };
  struct OpenRequest {
    std::uint64_t m_Number = 0;
    ServerId m_Vm{};
    TimePoint m_SentAt{};
  };

  void noteUnanswered(TimePoint Now);

  std::map<ServerId, Avoided> m_Avoided;
  std::optional<OpenRequest> m_Open;
  std::uint64_t m_LastNumber = 0;
  Duration m_Interval = ShortestInterval;
  TimePoint m_NextAt{};
};

} // namespace vanillahill::kernel::probed
