/// \file
/// State of requests and attempts in the probed dispatcher, and their timers.
#pragma once

#include "vanillahill/kernel/probed/placement.hpp"

#include <queue>

namespace vanillahill::kernel::probed {

/// Most servers that one request is sent to, whatever the settings allow.
inline constexpr std::size_t MaxAttemptsPerRequest = 8;
/// Other VMs that one request is passed on to, one after the other.
inline constexpr std::size_t MaxHelpersPerRequest = 5;
/// A request that could not be sent to this many servers is passed on to another VM.
inline constexpr std::uint32_t UnreachedBeforeRelay = 3;

/// A kind of request: its settings and its measured durations.
struct Kind {
  KindSettings m_Settings;
  WorkEstimate m_Work;
};

/// Why a request searches for a server.
enum class SearchPurpose : std::uint8_t { FirstAttempt, Retry, Hedge };

/// A request that has arrived and is not answered yet.
struct Request {
  RequestId m_Id{};
  std::uint32_t m_Kind = 0;
  /// 0 is the most urgent.
  std::uint32_t m_Priority = 0;
  TimePoint m_Arrived{};
  TimePoint m_Deadline{};
  std::optional<Search> m_Search;
  SearchPurpose m_Purpose = SearchPurpose::FirstAttempt;
  /// An attempt ended in a server error, or without a known outcome.
  bool m_MayHaveRun = false;
  /// Reply with a server error; the answer to the caller when no other attempt succeeds.
  ReplyPtr m_FailedReply;
  /// Attempts that have not ended.
  boost::container::static_vector<AttemptId, MaxAttemptsPerRequest + 1> m_Running;
  /// Servers that the request was sent to; none gets it twice.
  boost::container::static_vector<ServerId, MaxAttemptsPerRequest> m_Tried;
  /// VMs that the request was passed on to.
  boost::container::static_vector<ServerId, MaxHelpersPerRequest> m_TriedHelpers;
  /// Servers to which it could not be sent.
  std::uint32_t m_Unreached = 0;
};

/// One sending of a request to one server. It may outlive the request.
struct Attempt {
  AttemptId m_Id{};
  RequestId m_Request{};
  std::uint32_t m_Kind = 0;
  ServerId m_Server{};
  TimePoint m_Started{};
  /// The server's reportedSlowdown() and unreportedFactor() when the attempt was sent.
  double m_ReportedSlowdown = 1.0;
  double m_UnreportedFactor = 1.0;
  /// The server was nearly full when the attempt was sent.
  bool m_WasNearlyFull = false;
  /// A retry or hedge. Its token goes back to the retry budget when nothing was sent.
  bool m_IsAdditional = false;
  /// Sent to another VM, which m_Server identifies.
  bool m_IsRelay = false;
  bool m_Cancelled = false;
};

/// Overdue ends the grace period that running attempts get after the deadline.
enum class RequestTimerType : std::uint8_t { Deadline, Overdue, Hedge };

/// A timer of a request. It is ignored when the request has been answered by then.
struct RequestTimer {
  TimePoint m_At{};
  RequestTimerType m_Type = RequestTimerType::Deadline;
  RequestId m_Request{};

  bool operator>(const RequestTimer &Other) const { return m_At > Other.m_At; }
};

/// Timers in order of time, with the earliest on top.
using RequestTimers = std::priority_queue<RequestTimer, std::vector<RequestTimer>, std::greater<>>;

} // namespace vanillahill::kernel::probed
