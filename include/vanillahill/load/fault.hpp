/// \file
/// Faults of stand-in backend servers and the JSON script that gives them.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/core/time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahill::load {

enum class FaultKind : std::uint8_t {
  /// Runs slower by a factor.
  Slow,
  /// Rejects every request at once.
  FailFast,
  /// Says that it leaves and refuses new requests.
  Drain,
  /// The first requests, or those of the first time, run slower by a factor.
  Cold,
  /// Refuses a share of the requests as not run.
  Shed,
  /// The speed shifts between two bounds once a period.
  Noise,
  /// The health endpoint claims health, whatever holds.
  LieHealthy,
  /// The health endpoint claims failure, whatever holds.
  LieFailing,
  /// Closes every connection and accepts none.
  Down,
  /// Answers a share of the requests with the reply of another.
  SwapReply,
  /// Cuts a share of the replies short.
  CutReply,
  /// Delays a share of the replies.
  LateReply,
};

/// How a server that fails fast rejects.
enum class FailMode : std::uint8_t { Error, NotRun, Reset };

/// One fault of one or several servers.
struct Fault {
  FaultKind m_Kind = FaultKind::Slow;
  /// "service/server", "service/*" or "*".
  std::string m_Server{};
  /// After the start of the script.
  Duration m_At{};
  /// Zero: until the process ends.
  Duration m_For{};
  /// Time from one beginning to the next when it repeats.
  Duration m_Every{};
  std::uint32_t m_Times = 1;
  double m_Factor = 10.0;
  double m_Share = 1.0;
  /// Period of Noise, delay of LateReply.
  Duration m_Period = std::chrono::milliseconds(5);
  double m_LowSpeed = 0.3;
  double m_HighSpeed = 1.0;
  /// Requests that Cold slows; zero: those of its whole time.
  std::uint32_t m_Requests = 0;
  FailMode m_Mode = FailMode::NotRun;

  /// \brief Tells whether the fault strikes a server.
  /// \param Name "service/server"
  bool matches(std::string_view Name) const;
};

/// \brief Reads a fault script: {"faults":[{...}]}, or one fault object.
/// \param Text the JSON text
/// \param File its name, for error texts
/// \return the faults, or the first error with file and JSON pointer
Result<std::vector<Fault>> parseFaults(std::string_view Text, std::string_view File);

} // namespace vanillahill::load
