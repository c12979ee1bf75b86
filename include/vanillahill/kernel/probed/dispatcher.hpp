/// \file
/// The dispatcher of a service whose backend servers tell their load on request.
#pragma once

#include "vanillahill/kernel/dispatcher_base.hpp"
#include "vanillahill/kernel/probed/placement.hpp"
#include "vanillahill/kernel/probed/probe_budget.hpp"
#include "vanillahill/kernel/probed/request.hpp"
#include "vanillahill/kernel/probed/retry_budget.hpp"

#include <unordered_map>

namespace vanillahill::kernel::probed {

/// Asks a few servers for their load immediately before each send and sends to the one that will
/// answer first. Nothing waits in the VM: a request is sent, or refused at once.
class Dispatcher final : public DispatcherBase {
public:
  Dispatcher(const DispatcherOptions &Options, DispatcherContext &Context);

  void configure(const ServiceSettings &Settings, TimePoint Now) override;
  void setMembers(std::span<const VmId> /*Alive*/) override {}
  void arrive(RequestId Request, KindId Kind, TimePoint Deadline, TimePoint Now,
              Actions &Out) override;
  void callerGone(RequestId Request, TimePoint Now, Actions &Out) override;
  void attemptEnded(const AttemptEnded &Ended, TimePoint Now, Actions &Out) override;
  void probeEnded(const ProbeEnded &Ended, TimePoint Now, Actions &Out) override;
  void peerMessage(VmId /*From*/, const peer::Message & /*Message*/, TimePoint /*Now*/,
                   Actions & /*Out*/) override {}
  void peerHint(VmId /*From*/, const peer::ServiceHint & /*Hint*/, TimePoint /*Now*/) override {}
  void peerMark(ServerId Server, bool Leaving, TimePoint Now) override;
  void tick(TimePoint Now, Actions &Out) override;

  TimePoint nextTimer(TimePoint Now) const override;
  peer::ServiceHint hint() const override { return {.m_Service = m_Settings.m_Id}; }
  void appendMarks(TimePoint Now, std::vector<ServerId> &Avoid,
                   std::vector<ServerId> &Leaving) const override;
  void appendStatus(TimePoint Now, NodeStatus &Status) const override;
  std::size_t unfinished() const override { return m_Requests.size() + m_Attempts.size(); }

private:
  void assignBackends();
  void assignKinds();
  std::optional<std::uint32_t> findKind(KindId Kind) const;
  BackendView *findBackend(ServerId Server);
  SearchTarget targetOf(const Request &Value) const;

  // Search for a server.
  void search(Request &Value, SearchFor Purpose, TimePoint Now, Actions &Out);
  void askRound(Request &Value, TimePoint Now, Actions &Out);
  bool ask(BackendIndex Index, TimePoint Now, Actions &Out);
  bool isRoundOver(const Search &Looking, TimePoint Now) const;
  void advanceSearches(TimePoint Now, Actions &Out);
  void decide(Request &Value, TimePoint Now, Actions &Out);
  void settle(Request &Value, const std::optional<Candidate> &Best, TimePoint Now, Actions &Out);
  void place(Request &Value, BackendIndex Index, TimePoint Now, Actions &Out);
  void settleHedge(Request &Value, const std::optional<Candidate> &Best, TimePoint Now,
                   Actions &Out);
  void send(Request &Value, BackendIndex Index, TimePoint Now, Actions &Out);

  // Turning away.
  bool hasRoom(const Request &Value, const Candidate &Best, TimePoint Now);
  bool isTrial();
  Duration timeUntilRoom(const Request &Value, const Candidate &Best, TimePoint Now);

  // Repeating.
  void armHedge(Request &Value, TimePoint Now);
  void hedge(Request &Value, TimePoint Now, Actions &Out);
  void noteServer(const Attempt &Sent, const AttemptEnded &Ended, TimePoint Now, Actions &Out);
  void noteTime(BackendView &Backend, const Attempt &Sent, TimePoint Now);
  void conclude(Request &Value, const AttemptEnded &Ended, TimePoint Now, Actions &Out);
  bool retry(Request &Value, RetryReason Why, bool PaysToken, TimePoint Now, Actions &Out);
  void giveUp(Request &Value, TimePoint Now, Actions &Out);

  void fireTimers(TimePoint Now, Actions &Out);
  void missDeadline(Request &Value, TimePoint Now, Actions &Out);
  void complete(Request &Value, const ReplyPtr &Whole, TimePoint Now, Actions &Out);
  void refuse(Request &Value, Reason Why, Duration RetryAfter, TimePoint Now, Actions &Out);
  void refuseFull(Request &Value, const Candidate &Best, TimePoint Now, Actions &Out);
  void answerRefused(Request &Value, Reason Why, Duration RetryAfter, Actions &Out);
  void finish(Request &Value, Actions &Out);
  void checkInvariants() const;

  // For logs.
  void explainEnd(const Attempt &Sent, const AttemptEnded &Ended, TimePoint Now, Actions &Out);
  Decision about(DecisionType Type, const Request &Value, TimePoint Now) const;
  static void describe(Decision &Made, const BackendView &Backend, TimePoint Now);
  void addFailure(BackendView &Backend, double Weight, TimePoint Now, Actions &Out);

  DispatcherContext &m_Context;
  ServiceSettings m_Settings;
  std::vector<BackendView> m_Backends;
  std::vector<Kind> m_Kinds;
  std::vector<KindCounters> m_Counters;
  std::unordered_map<RequestId, Request> m_Requests;
  std::unordered_map<AttemptId, Attempt> m_Attempts;
  /// Requests that look for a server.
  std::vector<RequestId> m_Searching;
  RequestTimers m_Timers;
  RetryBudget m_Budget;
  ProbeBudget m_Probes;
  /// Round trip of a probe, seconds.
  Ewma m_ProbeSeconds{0.005, 0.05};
  /// Servers asked by the search that ended last.
  std::uint32_t m_LastAsked = 0;
  /// Servers of the service tell their load; unknown until one has answered.
  std::optional<bool> m_TellsLoad;
};

} // namespace vanillahill::kernel::probed
