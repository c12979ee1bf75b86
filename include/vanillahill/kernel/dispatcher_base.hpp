/// \file
/// The interface between the node and the dispatcher of a service, and the registry of policy sets.
#pragma once

#include "vanillahill/kernel/events.hpp"
#include "vanillahill/kernel/poison_tracker.hpp"
#include "vanillahill/kernel/policy/slots.hpp"
#include "vanillahill/kernel/relay_helpers.hpp"
#include "vanillahill/kernel/server_reach.hpp"
#include "vanillahill/kernel/status.hpp"
#include "vanillahill/settings/settings.hpp"

#include <memory>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace vanillahill::kernel {

/// Queried immediately before each dispatch of a request that must not run twice.
class DispatchGate {
public:
  DispatchGate() = default;
  DispatchGate(const DispatchGate &) = delete;
  DispatchGate &operator=(const DispatchGate &) = delete;
  virtual ~DispatchGate() = default;

  /// \return Reason::None if the request may be sent, else the reason for refusing it as not run
  virtual Reason mayDispatch(RequestId Request, TimePoint Now) = 0;
};

/// State shared by all dispatchers of a node. Outlives them; used under the node's lock.
struct DispatcherContext {
  VmId m_Self{};
  std::string m_DataCenter;
  DispatchGate *m_Gate = nullptr;
  std::mt19937_64 m_Random;
  AskBudget m_Asks;
  std::uint64_t m_NextAttempt = 1;
  FleetView m_Fleet;
  RequestContents m_Contents;
  PoisonTracker m_Poison;
  ServerReach m_Reach;
  RelayHelpers m_Helpers;
  /// When this VM, which is stopping, ends the requests that are still open.
  TimePoint m_EndsAt = TimePoint::max();
};

/// Decides for the requests of one service: which server gets them, and when to wait, refuse, retry
/// or hedge. Each event costs one virtual call; the policies themselves are bound at compile time.
class DispatcherBase {
public:
  DispatcherBase() = default;
  DispatcherBase(const DispatcherBase &) = delete;
  DispatcherBase &operator=(const DispatcherBase &) = delete;
  virtual ~DispatcherBase() = default;

  /// \brief Applies settings. Requests in flight continue.
  virtual void configure(const ServiceSettings &Settings, TimePoint Now) = 0;
  /// \brief Sets the VMs that divide the slots among themselves.
  /// \param Alive sorted; includes this VM unless it is leaving
  virtual void setMembers(std::span<const VmId> Alive) = 0;
  /// \brief Handles the arrival of a request.
  /// \param Deadline counted from the arrival at this VM, even if the request then waited for peers
  virtual void arrive(RequestId Request, KindId Kind, TimePoint Deadline, TimePoint Now,
                      Actions &Out) = 0;
  /// \brief Handles the disconnection of a caller: abandons the work that may be abandoned.
  virtual void callerGone(RequestId Request, TimePoint Now, Actions &Out) = 0;
  virtual void attemptEnded(const AttemptEnded &Ended, TimePoint Now, Actions &Out) = 0;
  virtual void probeEnded(const ProbeEnded &Ended, TimePoint Now, Actions &Out) = 0;
  /// \brief Handles a slot message from a peer.
  virtual void peerMessage(VmId From, const peer::Message &Message, TimePoint Now,
                           Actions &Out) = 0;
  /// \brief Handles the hint about this service in a peer's heartbeat.
  virtual void peerHint(VmId From, const peer::ServiceHint &Hint, TimePoint Now) = 0;
  /// \brief Handles a peer's report that a server is failing or leaving. Ignored for an unknown
  /// server.
  virtual void peerMark(ServerId Server, bool Leaving, TimePoint Now) = 0;
  /// \brief Handles another VM's announcement of a server's limit. Ignored for an unknown server,
  /// and by policy sets whose servers name no limits.
  virtual void limitAnnounced(const ServerLimitReceived & /*Announced*/, TimePoint /*Now*/,
                              Actions & /*Out*/) {}
  /// \brief Handles another VM's announcement that a server is cold or warm. Ignored for an unknown
  /// server, and by policy sets that limit no cold servers.
  virtual void coldAnnounced(const ServerColdReceived & /*Announced*/, TimePoint /*Now*/,
                             Actions & /*Out*/) {}
  /// \brief Handles another VM's request for tokens of a budget that the VMs share. Ignored by
  /// policy sets that have no such budget.
  virtual void tokensRequested(const TokenRequestReceived & /*Received*/, TimePoint /*Now*/,
                               Actions & /*Out*/) {}
  /// \brief Handles the answer to such a request of this VM.
  virtual void tokensGranted(const TokenGrant & /*Granted*/, TimePoint /*Now*/) {}
  /// \brief Handles a change of DispatcherContext::m_Fleet.
  virtual void fleetChanged(TimePoint /*Now*/) {}
  /// \brief Carries out the actions that are due.
  virtual void tick(TimePoint Now, Actions &Out) = 0;

  /// \brief When tick() is due next; TimePoint::max() when no timer is set.
  virtual TimePoint nextTimer(TimePoint Now) const = 0;
  /// \brief The hint about this service for the heartbeats to peers.
  virtual peer::ServiceHint hint() const = 0;
  /// \brief The settings of a configured kind; null for another one.
  /// \note Complexity: constant.
  virtual const KindSettings *findKind(KindId Kind) const = 0;
  /// \brief Appends the servers that peers should avoid and those that are leaving.
  virtual void appendMarks(TimePoint Now, std::vector<ServerId> &Avoid,
                           std::vector<ServerId> &Leaving) const = 0;
  /// \brief Adds the counters and servers of this service to a status.
  virtual void appendStatus(TimePoint Now, NodeStatus &Status) const = 0;
  /// \brief The number of unanswered requests plus the number of attempts that have not ended.
  virtual std::size_t unfinished() const = 0;
};

/// Arguments for creating the dispatcher of a policy set.
struct DispatcherOptions {
  ServiceSettings m_Settings;
  /// VMs that may exist at once; determines this VM's share of the measuring budget.
  std::uint32_t m_MaxVms = 1;
  TimePoint m_Now{};
};

using DispatcherFactory = std::unique_ptr<DispatcherBase> (*)(const DispatcherOptions &,
                                                              DispatcherContext &);

/// Registers a policy set under its name until the program ends.
class PolicyRegistration {
public:
  PolicyRegistration(std::string_view Name, DispatcherFactory Factory);
};

/// \brief Creates a dispatcher of a registered policy set.
/// \return null if no policy set is registered under the name in the settings
std::unique_ptr<DispatcherBase> makeDispatcher(const DispatcherOptions &Options,
                                               DispatcherContext &Context);

/// \brief The names of the registered policy sets, sorted.
std::vector<std::string_view> policyNames();

} // namespace vanillahill::kernel
