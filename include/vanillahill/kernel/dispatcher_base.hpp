/// \file
/// The dispatcher of one service as the node sees it, and the registry of policy sets.
#pragma once

#include "vanillahill/kernel/events.hpp"
#include "vanillahill/kernel/policy/slots.hpp"
#include "vanillahill/kernel/status.hpp"
#include "vanillahill/settings/settings.hpp"

#include <memory>
#include <random>
#include <span>
#include <string_view>
#include <vector>

namespace vanillahill::kernel {

/// Asked immediately before each dispatch of a request that must not run twice.
class DispatchGate {
public:
  DispatchGate() = default;
  DispatchGate(const DispatchGate &) = delete;
  DispatchGate &operator=(const DispatchGate &) = delete;
  virtual ~DispatchGate() = default;

  /// \return Reason::None when the request may go; else why it is refused as not run
  virtual Reason mayDispatch(RequestId Request, TimePoint Now) = 0;
};

/// What all dispatchers of a node share. Outlives them; used under the node's lock.
struct DispatcherContext {
  VmId m_Self{};
  std::string m_DataCenter;
  DispatchGate *m_Gate = nullptr;
  std::mt19937_64 m_Random;
  AskBudget m_Asks;
  std::uint64_t m_NextAttempt = 1;
};

/// Decides for one service: which server, when to wait, to refuse, to retry, to hedge. There is one
/// virtual call for each event; inside, the policies are bound at compile time.
class DispatcherBase {
public:
  DispatcherBase() = default;
  DispatcherBase(const DispatcherBase &) = delete;
  DispatcherBase &operator=(const DispatcherBase &) = delete;
  virtual ~DispatcherBase() = default;

  /// \brief Puts settings in force. Requests in flight go on.
  virtual void configure(const ServiceSettings &Settings, TimePoint Now) = 0;
  /// \brief Names the VMs that share the slots, sorted, with this VM when it serves.
  virtual void setMembers(std::span<const VmId> Alive) = 0;
  /// \brief A request arrived.
  /// \param Deadline from the arrival at this VM, also when it waited for peers
  virtual void arrive(RequestId Request, KindId Kind, TimePoint Deadline, TimePoint Now,
                      Actions &Out) = 0;
  /// \brief The caller is gone: what can be given up is given up.
  virtual void callerGone(RequestId Request, TimePoint Now, Actions &Out) = 0;
  virtual void attemptEnded(const AttemptEnded &Ended, TimePoint Now, Actions &Out) = 0;
  virtual void probeEnded(const ProbeEnded &Ended, TimePoint Now, Actions &Out) = 0;
  /// \brief Takes a slot message of a peer.
  virtual void peerMessage(VmId From, const peer::Message &Message, TimePoint Now,
                           Actions &Out) = 0;
  /// \brief Takes what a peer's heartbeat says of this service.
  virtual void peerHint(VmId From, const peer::ServiceHint &Hint, TimePoint Now) = 0;
  /// \brief A peer found a server failing or leaving. Ignored for an unknown server.
  virtual void peerMark(ServerId Server, bool Leaving, TimePoint Now) = 0;
  /// \brief Does what is due.
  virtual void tick(TimePoint Now, Actions &Out) = 0;

  /// \brief When tick() is due next; max() when nothing waits.
  virtual TimePoint nextTimer(TimePoint Now) const = 0;
  /// \brief What peers are told of this service.
  virtual peer::ServiceHint hint() const = 0;
  /// \brief Adds the servers that peers should avoid.
  virtual void appendMarks(TimePoint Now, std::vector<ServerId> &Avoid,
                           std::vector<ServerId> &Leaving) const = 0;
  /// \brief Adds counters and servers.
  virtual void appendStatus(TimePoint Now, NodeStatus &Status) const = 0;
  /// \brief Requests that are not answered and attempts that did not end.
  virtual std::size_t unfinished() const = 0;
};

/// What a policy set needs to be made.
struct DispatcherOptions {
  ServiceSettings m_Settings;
  /// VMs that may exist at once: fixes this VM's share of the measuring budget.
  std::uint32_t m_MaxVms = 1;
  TimePoint m_Now{};
};

using DispatcherFactory = std::unique_ptr<DispatcherBase> (*)(const DispatcherOptions &,
                                                              DispatcherContext &);

/// Makes a policy set known by its name for as long as the program runs.
class PolicyRegistration {
public:
  PolicyRegistration(std::string_view Name, DispatcherFactory Factory);
};

/// \brief Makes a dispatcher of a registered policy set.
/// \return null when no policy set has the name in the settings
std::unique_ptr<DispatcherBase> makeDispatcher(const DispatcherOptions &Options,
                                               DispatcherContext &Context);

/// \brief The names of the registered policy sets, sorted.
std::vector<std::string_view> policyNames();

} // namespace vanillahill::kernel
