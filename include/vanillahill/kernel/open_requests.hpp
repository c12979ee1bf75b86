/// \file
/// The requests of all services that have no answer yet, and their attempts.
#pragma once

#include "vanillahill/kernel/events.hpp"

#include <unordered_map>

namespace vanillahill::kernel {

/// A request that has no answer yet.
struct OpenRequest {
  ServiceId m_Service{};
  KindId m_Kind{};
  TimePoint m_Deadline{};
  /// Not idempotent: the key guard ensures that it runs at most once.
  bool m_Guarded = false;
  /// Set once the dispatcher has the request. Before that, a guarded request may wait for the
  /// answers of peers to a key query, and one of a tenant until it is granted.
  bool m_PassedToDispatcher = false;
  /// Attempts that have not ended.
  std::size_t m_Attempts = 0;
  /// An attempt ended in a reply that was not passed on, or without a known outcome.
  bool m_MayHaveRun = false;
};

/// An attempt that has not ended. It may outlive its request.
struct SentAttempt {
  ServiceId m_Service{};
  RequestId m_Request{};
};

/// Owns the open requests and looks them up by id. Also ends them when a stop takes too long.
class OpenRequests {
public:
  void add(RequestId Request, const OpenRequest &Open) { m_Requests.emplace(Request, Open); }

  /// \return null when the request is unknown or was answered
  OpenRequest *find(RequestId Request);

  /// \return the removed request; nothing when it is unknown or was answered
  std::optional<OpenRequest> remove(RequestId Request);

  /// \brief Adds an attempt of an open request.
  void addAttempt(AttemptId Attempt, RequestId Request);

  /// \brief Removes an attempt that has ended, and notes what that says about its request.
  /// \return nothing when the attempt is unknown
  std::optional<SentAttempt> removeAttempt(AttemptId Attempt, AttemptResult Result);

  /// \brief Whether neither a request nor an attempt is left.
  bool empty() const { return m_Requests.empty() && m_Attempts.empty(); }

  /// \brief Cancels all attempts, and answers the requests that have none.
  void endAll(TimePoint Now, Actions &Out) const;

  /// \brief Continues endAll() for a request when one of its attempts has ended. A reply that was
  /// complete before its attempt could be cancelled is passed on.
  void endAfterAttempt(RequestId Request, const AttemptEnded &Ended, TimePoint Now,
                       Actions &Out) const;

private:
  static void end(RequestId Request, const OpenRequest &Open, TimePoint Now, Actions &Out);

  std::unordered_map<RequestId, OpenRequest> m_Requests;
  std::unordered_map<AttemptId, SentAttempt> m_Attempts;
};

} // namespace vanillahill::kernel
