/// \file
/// The dispatcher of a service whose backend servers report their load when probed.
#pragma once

#include "vanillahill/kernel/dispatcher_base.hpp"
#include "vanillahill/kernel/kind_table.hpp"
#include "vanillahill/kernel/probed/arrival_rate.hpp"
#include "vanillahill/kernel/probed/limit_share.hpp"
#include "vanillahill/kernel/probed/placement.hpp"
#include "vanillahill/kernel/probed/probe_budget.hpp"
#include "vanillahill/kernel/probed/request.hpp"
#include "vanillahill/kernel/probed/retry_budget.hpp"
#include "vanillahill/kernel/probed/token_exchange.hpp"
#include "vanillahill/kernel/probed/urgent_priority.hpp"

#include <map>
#include <unordered_map>

namespace vanillahill::kernel::probed {

/// Probes a few servers immediately before each attempt and sends to the one with the lowest
/// expected cost. There is no queue in the VM: a request is sent, or refused at once.
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
  void limitAnnounced(const ServerLimitReceived &Announced, TimePoint Now, Actions &Out) override;
  void coldAnnounced(const ServerColdReceived &Announced, TimePoint Now, Actions &Out) override;
  void tokensRequested(const TokenRequestReceived &Received, TimePoint Now, Actions &Out) override;
  void tokensGranted(const TokenGrant &Granted, TimePoint Now) override;
  void fleetChanged(TimePoint Now) override;
  void tick(TimePoint Now, Actions &Out) override;

  TimePoint nextTimer(TimePoint Now) const override;
  peer::ServiceHint hint() const override { return {.m_Service = m_Settings.m_Id}; }
  const KindSettings *findKind(KindId Kind) const override { return m_Kinds.findSettings(Kind); }
  void appendMarks(TimePoint Now, std::vector<ServerId> &Avoid,
                   std::vector<ServerId> &Leaving) const override;
  void appendStatus(TimePoint Now, NodeStatus &Status) const override;
  std::size_t unfinished() const override { return m_Requests.size() + m_Attempts.size(); }

private:
  void assignBackends(TimePoint Now);
  void assignKinds();
  void chooseSubset();
  BackendView *findBackend(ServerId Server);
  SearchCriteria criteriaOf(const Request &Pending, TimePoint Now) const;
  Fitness &fitnessOf(ServerId Server);
  void recordPause(ServerId Server, Duration Length, std::string_view Source, Duration Age,
                   TimePoint Now, Actions &Out);
  void recordLimit(ServerId Server, const LimitStatement &Stated, std::string_view Source,
                   TimePoint Now, Actions &Out);
  void updateLimitShare(BackendView &Backend, TimePoint Now);
  void recordCold(BackendView &Backend, const ColdStatement &Stated, std::string_view Source,
                  TimePoint Now, Actions &Out);
  void updateColdShare(BackendView &Backend, TimePoint Now);
  static void noticePauseEnd(BackendView &Backend, TimePoint Now, Actions &Out);
  Duration timeUntilResumed(TimePoint UsableAt, TimePoint Now);
  void recordLeaving(ServerId Server, std::string_view Source, Duration Age, TimePoint Now,
                     Actions &Out);

  // Searching for a server.
  void startSearch(Request &Pending, SearchPurpose Purpose, TimePoint Now, Actions &Out);
  void startRound(Request &Pending, TimePoint Now, Actions &Out);
  double enoughSeconds(const Request &Pending, TimePoint Now) const;
  bool sampleLastGood(Request &Pending, TimePoint Now, Actions &Out);
  bool sendProbe(BackendIndex Index, TimePoint Now, Actions &Out);
  TokenLevel tokenLevel(TimePoint Now);
  void requestTokensIfShort(TimePoint Now, Actions &Out);
  bool isRoundOver(const Search &CurrentSearch, TimePoint Now) const;
  void advanceSearches(TimePoint Now, Actions &Out);
  void finishRound(Request &Pending, TimePoint Now, Actions &Out);
  void finishSearch(Request &Pending, const std::optional<Candidate> &Best, TimePoint Now,
                    Actions &Out);
  void placeRequest(Request &Pending, BackendIndex Index, TimePoint Now, Actions &Out);
  void finishHedgeSearch(Request &Pending, const std::optional<Candidate> &Best, TimePoint Now,
                         Actions &Out);
  void sendAttempt(Request &Pending, BackendIndex Index, TimePoint Now, Actions &Out);

  // Admission.
  bool hasRoom(const Request &Pending, const Candidate &Best, TimePoint Now);
  bool drawTrial();
  Duration timeUntilRoom(const Request &Pending, const Candidate &Best, TimePoint Now);
  double returnSeconds(const Request &Pending) const;

  // Attempt results, retries and hedges.
  void startHedgeTimer(Request &Pending, TimePoint Now);
  void startHedgeSearch(Request &Pending, TimePoint Now, Actions &Out);
  void updateBackend(const Attempt &Sent, const AttemptEnded &Ended, TimePoint Now, Actions &Out);
  void learnDuration(BackendView &Backend, const Attempt &Sent, TimePoint Now);
  void handleAttemptResult(Request &Pending, const AttemptEnded &Ended, TimePoint Now,
                           Actions &Out);
  bool tryRetry(Request &Pending, RetryReason Why, bool IsCharged, TimePoint Now, Actions &Out);
  void giveUpRequest(Request &Pending, TimePoint Now, Actions &Out);

  void fireTimers(TimePoint Now, Actions &Out);
  void handleMissedDeadline(Request &Pending, TimePoint Now, Actions &Out);
  void completeRequest(Request &Pending, const ReplyPtr &FinalReply, TimePoint Now, Actions &Out);
  void refuseRequest(Request &Pending, Reason Why, Duration RetryAfter, TimePoint Now,
                     Actions &Out);
  void refuseOverloaded(Request &Pending, const Candidate &Best, TimePoint Now, Actions &Out);
  void answerRefusal(Request &Pending, Reason Why, Duration RetryAfter, Actions &Out);
  void finishRequest(Request &Pending, Actions &Out);
  void checkInvariants() const;

  // Whether servers are reached at all.
  bool isUnreachable() const;
  bool showsReach(ServerId Server);
  void noteReply(ServerId Server, bool IsOwn, TimePoint Now, Actions &Out);
  void noteSilence(ServerId Server, TimePoint Now, Actions &Out);
  void announceFailure(ServerId Server, Actions &Out) const;
  void forgetFailuresOfCut(TimePoint Now);
  void announceCut(TimePoint Now, Actions &Out);
  void checkReach(TimePoint Now, Actions &Out);

  // Passing requests on to VMs that reach the servers.
  bool isRelayed(const Request &Pending) const;
  bool tryRelay(Request &Pending, TimePoint Now, Actions &Out);
  void relayEnded(const Attempt &Sent, const AttemptEnded &Ended, TimePoint Now, Actions &Out);

  // A stop of this VM.
  bool isStopping() const { return m_Context.m_EndsAt != TimePoint::max(); }
  TimePoint sendBy(const Request &Pending, double WorkSeconds) const;
  bool isTooLate(const Request &Pending, TimePoint Now) const;
  bool isTooLate(const Request &Pending, const BackendView &Backend, TimePoint Now) const;
  void refuseLate(Request &Pending, TimePoint Now, Actions &Out);

  // Requests that crash servers.
  std::optional<RequestContent> trackedContent(RequestId Request) const;
  bool isHeldBack(const Request &Pending, TimePoint Now) const;
  bool refuseIfHeldBack(Request &Pending, TimePoint Now, Actions &Out);
  void announceIfTrial(const Request &Pending, TimePoint Now, Actions &Out);
  void noteLostRequest(const Attempt &Sent, TimePoint Now, Actions &Out);
  void noteCompletion(const Attempt &Sent, TimePoint Now, Actions &Out);
  void checkServer(ServerId Server, TimePoint Now, Actions &Out);
  void noteServerAlive(ServerId Server) { m_Unconfirmed.erase(Server); }
  void noteServerCrashed(ServerId Server, TimePoint Now, Actions &Out);
  /// The server that crashed or answered, and the request that it completed.
  struct CrashEvidence {
    ServerId m_Server{};
    std::optional<RequestId> m_Request = std::nullopt;
  };
  void appendCrashReport(const CrashReport &Report, const CrashEvidence &Evidence,
                         std::string_view Source, TimePoint Now, Actions &Out);

  // Decisions for logs.
  void appendAttemptEnd(const Attempt &Sent, const AttemptEnded &Ended, TimePoint Now,
                        Actions &Out);
  Decision makeDecision(DecisionType Type, const Request &Pending, TimePoint Now) const;
  static void addBackendState(Decision &Entry, const BackendView &Backend, TimePoint Now);
  void addFailure(BackendView &Backend, double Weight, TimePoint Now, Actions &Out);

  /// Requests that were lost at a server of which it is not yet known whether it crashed.
  struct LostRequests {
    std::vector<RequestContent> m_Contents;
    /// Probes that have shown nothing.
    std::uint32_t m_Checks = 0;
  };

  DispatcherContext &m_Context;
  const TimePoint m_CreatedAt;
  ServiceSettings m_Settings;
  std::vector<BackendView> m_Backends;
  SubsetSize m_SubsetSize;
  /// The subset by rate is in force, and it is smaller than the largest one.
  bool m_HasSmallSubset = false;
  UnlistedFitness m_UnlistedFitness;
  KindTable<Kind> m_Kinds;
  UrgentPriority m_UrgentPriority;
  std::unordered_map<RequestId, Request> m_Requests;
  std::unordered_map<AttemptId, Attempt> m_Attempts;
  /// Requests with a search in progress.
  std::vector<RequestId> m_SearchingRequests;
  std::map<ServerId, LostRequests> m_Unconfirmed;
  RequestTimers m_Timers;
  RetryBudget m_RetryBudget;
  ProbeBudget m_ProbeBudget;
  ArrivalRate m_ArrivalRate;
  TokenExchange m_TokenExchange;
  TokenCounters m_TokenCounters;
  /// Average round trip time of a probe, seconds.
  Ewma m_ProbeSeconds{0.005, 0.05};
  /// Whether this VM reaches servers of this service.
  ServerReach m_ServiceReach;
  /// ServerReach::returns() of the VM and the service when failures were last forgotten.
  std::uint64_t m_SeenReturns = 0;
  /// How many servers the last finished search had sampled.
  std::uint32_t m_LastSampled = 0;
  /// Whether the servers report their load; empty until the first one has answered a probe.
  std::optional<bool> m_ReportsLoad;
};

} // namespace vanillahill::kernel::probed
