/// \file
/// The kernel of one entry VM: a deterministic state machine that does no I/O.
#pragma once

#include "vanillahill/kernel/events.hpp"
#include "vanillahill/kernel/poison_tracker.hpp"
#include "vanillahill/kernel/status.hpp"
#include "vanillahill/settings/settings.hpp"

#include <memory>

namespace vanillahill::kernel {

/// Start options of a kernel.
struct NodeOptions {
  std::string m_Name;
  std::string m_Site;
  std::string m_DataCenter;
  /// IP under which other VMs know this one where they count requests of tenants together.
  std::string m_Ip = {};
  /// IP:port where other VMs reach this one.
  std::string m_PeerAddress;
  /// Higher at each start of the same VM.
  std::uint64_t m_Incarnation = 1;
  /// Seeds every random choice.
  std::uint64_t m_Seed = 0;
  /// If set, applied from the start, and settings from the log are ignored. For tests and
  /// experiments that run without a log.
  std::shared_ptr<const SiteSettings> m_Settings;
  /// How long new requests are still accepted after a stop is requested, because the balancer that
  /// sends them learns with a delay that the VM is leaving.
  Duration m_DrainLinger = std::chrono::seconds(1);
  /// If empty, requests that crash servers are not found.
  RequestContents m_Contents = {};
};

/// Makes the decisions of one VM. Not thread safe: the owner calls it under one lock or from one
/// thread. The caller of handle() carries out the actions in order, after it releases the lock.
class Node {
public:
  explicit Node(NodeOptions Options);
  ~Node();
  Node(const Node &) = delete;
  Node &operator=(const Node &) = delete;

  /// \brief Handles one event and appends the resulting actions.
  /// \param Input the event
  /// \param Now the present time; never before the time of an earlier call
  /// \param Out actions are appended here
  /// \note Errors: none; a bad message is counted and dropped.
  void handle(const Event &Input, TimePoint Now, Actions &Out);

  /// \brief When the kernel needs the next TimerFired event.
  /// \return a time; TimePoint::max() when no timer is set
  TimePoint nextTimer() const;

  /// \brief The settings in force.
  /// \return null before the first configuration
  std::shared_ptr<const SiteSettings> settings() const;

  /// \brief A snapshot of the kernel: counters, membership, versions, load.
  NodeStatus status(TimePoint Now) const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace vanillahill::kernel
