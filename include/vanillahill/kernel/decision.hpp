/// \file
/// What the kernel decided about a request, with the inputs that decided it. For logs.
#pragma once

#include "vanillahill/core/ids.hpp"
#include "vanillahill/core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace vanillahill::kernel {

/// What a backend server says of its load in a reply.
struct LoadReport {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  std::uint32_t m_Slots = 0;
  /// How long work takes there at present, as a multiple of the usual time.
  double m_Slowdown = 1.0;
};

enum class DecisionType : std::uint8_t {
  /// The request was sent to its first server.
  Placed,
  /// It was sent once more after an attempt that did not complete.
  Retried,
  /// It was sent to a second server beside a slow first one.
  Hedged,
  /// An attempt ended.
  AttemptEnded,
  /// The caller got a server's reply.
  Answered,
  /// The caller got an answer of this VM's own.
  Refused,
  /// A server failed so often that others go first.
  ServerSetAside,
};

/// \brief The name of a decision, as logs show it.
std::string_view toString(DecisionType Value);

/// One decision. Fields that do not belong to its type keep their defaults.
struct Decision {
  DecisionType m_Type = DecisionType::Placed;
  /// None for ServerSetAside.
  std::optional<RequestId> m_Request;
  /// Name of the server that it is about; empty for none.
  std::string m_Server = {};
  /// The server's last report, and its age.
  std::optional<LoadReport> m_Load = std::nullopt;
  Duration m_LoadAge{};
  /// Evidence of failure against the server.
  double m_Failures = 0.0;
  /// Time until an answer that was expected of the server.
  Duration m_Expected{};
  /// Servers that were asked for their load.
  std::uint32_t m_Asked = 0;
  /// Time since the request arrived, or since the attempt was sent.
  Duration m_Took{};
  /// Time that was left.
  Duration m_TimeLeft{};
  /// How an attempt ended, or why the request was refused.
  std::string_view m_Outcome = {};
  /// Status of a server's reply; 0 for none.
  std::uint32_t m_Status = 0;
};

} // namespace vanillahill::kernel
