/// \file
/// The kernel of one entry VM: a deterministic state machine without input or output.
#pragma once

#include "vanillahill/kernel/events.hpp"
#include "vanillahill/kernel/status.hpp"
#include "vanillahill/settings/settings.hpp"

#include <memory>

namespace vanillahill::kernel {

/// What a kernel is told at its start.
struct NodeOptions {
  std::string m_Name;
  std::string m_Site;
  std::string m_DataCenter;
  /// Where other VMs reach this one.
  std::string m_PeerAddress;
  /// Higher at each start of the same VM.
  std::uint64_t m_Incarnation = 1;
  /// Seeds every random choice.
  std::uint64_t m_Seed = 0;
  /// Set in tests and experiments that need no log: in force from the start.
  std::shared_ptr<const SiteSettings> m_Settings;
  /// After a stop is requested, new requests are still taken for this long: the balancer learns
  /// late that the VM is leaving.
  Duration m_DrainLinger = std::chrono::seconds(1);
};

/// One VM's decisions. Not thread safe: the owner calls it under one lock, or from one thread.
/// Callers of handle() carry out the actions in order, after the lock is given back.
class Node {
public:
  explicit Node(NodeOptions Options);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// \brief Takes one event and appends the actions that follow from it.
  /// \param Input the event
  /// \param Now the present time; never before the time of an earlier call
  /// \param Out actions are appended here
  /// \note Errors: none; a bad message is counted and dropped.
  void handle(const Event &Input, TimePoint Now, Actions &Out);

  /// \brief When the kernel wants TimerFired next.
  /// \return a time; TimePoint::max() when nothing waits
  TimePoint nextTimer() const;

  /// \brief The settings in force.
  /// \return null before the first configuration
  std::shared_ptr<const SiteSettings> settings() const;

  /// \brief Where the kernel stands: counters, membership, versions, load.
  NodeStatus status(TimePoint Now) const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace vanillahill::kernel
