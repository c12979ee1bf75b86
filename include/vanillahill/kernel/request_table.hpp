/// \file
/// The unanswered requests of one service, their attempts, and the timers of both.
#pragma once

#include "vanillahill/kernel/kind_table.hpp"
#include "vanillahill/kernel/policy/slots.hpp"
#include "vanillahill/kernel/server_table.hpp"

#include <boost/container/static_vector.hpp>

#include <cassert>
#include <queue>
#include <unordered_map>

namespace vanillahill::kernel {

/// Largest number of attempts of one request that run at once: the first and a hedge.
inline constexpr std::size_t MaxRunningAttempts = 2;
/// Largest number of attempts of one request in total.
inline constexpr std::size_t MaxAttempts = 8;

/// One request between its arrival and its answer.
struct RequestState {
  RequestId m_Id{};
  KindIndex m_Kind = 0;
  TimePoint m_Arrived{};
  TimePoint m_Deadline{};
  bool m_Waiting = false;
  /// Whether an attempt ended with its outcome unknown.
  bool m_MayHaveRun = false;
  /// Running attempts: one, or two while a hedge runs.
  boost::container::static_vector<AttemptId, MaxRunningAttempts> m_Attempts;
  /// Servers that got an attempt of the request; no server gets a second one.
  boost::container::static_vector<ServerId, MaxAttempts> m_Tried;

  bool wasTried(ServerId Server) const {
    return std::find(m_Tried.begin(), m_Tried.end(), Server) != m_Tried.end();
  }
};

/// One attempt between its dispatch and its end. It may outlive its request.
struct AttemptState {
  AttemptId m_Id{};
  RequestId m_Request{};
  KindIndex m_Kind = 0;
  ServerId m_Server{};
  TimePoint m_Started{};
  std::optional<SlotHandle> m_Slot;
  bool m_Cancelled = false;
};

/// Owns requests and attempts, which are looked up by their ids.
class RequestTable {
public:
  void add(RequestState State) { m_Requests.emplace(State.m_Id, std::move(State)); }

  /// \return null when the request is unknown or was answered
  RequestState *find(RequestId Request) {
    const auto Found = m_Requests.find(Request);
    return Found == m_Requests.end() ? nullptr : &Found->second;
  }

  void remove(RequestId Request) { m_Requests.erase(Request); }

  void addAttempt(RequestState &State, const AttemptState &Attempt) {
    State.m_Attempts.push_back(Attempt.m_Id);
    State.m_Tried.push_back(Attempt.m_Server);
    m_Attempts.emplace(Attempt.m_Id, Attempt);
  }

  void markCancelled(AttemptId Attempt) { m_Attempts.at(Attempt).m_Cancelled = true; }

  /// \brief Removes an attempt from the table and from its request.
  /// \return nothing when the attempt has already ended
  std::optional<AttemptState> removeAttempt(AttemptId Attempt) {
    const auto Found = m_Attempts.find(Attempt);
    if (Found == m_Attempts.end()) {
      return std::nullopt;
    }
    const AttemptState State = Found->second;
    m_Attempts.erase(Found);
    if (RequestState *Request = find(State.m_Request)) {
      const auto Position =
          std::find(Request->m_Attempts.begin(), Request->m_Attempts.end(), Attempt);
      Request->m_Attempts.erase(Position);
    }
    return State;
  }

  std::size_t size() const { return m_Requests.size(); }
  std::size_t attempts() const { return m_Attempts.size(); }

private:
  std::unordered_map<RequestId, RequestState> m_Requests;
  std::unordered_map<AttemptId, AttemptState> m_Attempts;
};

enum class TimerType : std::uint8_t { Deadline, Hedge };

/// A timer of a request; ignored when the request has been answered by then.
struct Timer {
  TimePoint m_At{};
  TimerType m_Type = TimerType::Deadline;
  RequestId m_Request{};

  bool operator>(const Timer &Other) const { return m_At > Other.m_At; }
};

/// Timers ordered by time, the earliest on top.
using TimerQueue = std::priority_queue<Timer, std::vector<Timer>, std::greater<>>;

} // namespace vanillahill::kernel
