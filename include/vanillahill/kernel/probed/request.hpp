/// \file
/// Requests and attempts of the probed dispatcher, and their timers.
#pragma once

#include "vanillahill/kernel/probed/placement.hpp"

#include <queue>

namespace vanillahill::kernel::probed {

/// Servers that one request is sent to at most, whatever the settings allow.
inline constexpr std::size_t MostAttempts = 8;

/// One kind of request with what was learnt of it.
struct Kind {
  KindSettings m_Settings;
  WorkEstimate m_Work;
};

/// Why a request looks for a server.
enum class SearchFor : std::uint8_t { FirstSend, Retry, Hedge };

/// One request between its arrival and its answer.
struct Request {
  RequestId m_Id{};
  std::uint32_t m_Kind = 0;
  TimePoint m_Arrived{};
  TimePoint m_Deadline{};
  std::optional<Search> m_Search;
  SearchFor m_Purpose = SearchFor::FirstSend;
  /// An attempt ended with its outcome unknown.
  bool m_MayHaveRun = false;
  /// The kept reply of a server that ran the request and failed; given when no attempt does better.
  ReplyPtr m_FailedReply;
  /// Attempts that run.
  boost::container::static_vector<AttemptId, MostAttempts> m_Running;
  /// Servers that had it; none gets it twice.
  boost::container::static_vector<ServerId, MostAttempts> m_Tried;
};

/// One send of a request to one server. It may outlive its request.
struct Attempt {
  AttemptId m_Id{};
  RequestId m_Request{};
  std::uint32_t m_Kind = 0;
  ServerId m_Server{};
  TimePoint m_Started{};
  /// What the server told and what else was expected there when it was sent.
  double m_ToldSlowdown = 1.0;
  double m_UntoldFactor = 1.0;
  /// Most slots of the server were taken when it was sent.
  bool m_WasNearlyFull = false;
  /// Paid for from the retry budget.
  bool m_IsPaid = false;
  bool m_Cancelled = false;
};

enum class RequestTimerType : std::uint8_t { Deadline, Overdue, Hedge };

/// Something that is due for a request; void when the request is answered by then.
struct RequestTimer {
  TimePoint m_At{};
  RequestTimerType m_Type = RequestTimerType::Deadline;
  RequestId m_Request{};

  bool operator>(const RequestTimer &Other) const { return m_At > Other.m_At; }
};

/// Timers, the earliest on top.
using RequestTimers = std::priority_queue<RequestTimer, std::vector<RequestTimer>, std::greater<>>;

} // namespace vanillahill::kernel::probed
