/// \file
/// Runs a kernel::Node for many threads: one lock around it, its actions carried out in order.
#pragma once

#include "vanillahill/kernel/node.hpp"

#include <functional>
#include <mutex>

namespace vanillahill::net {

/// The kernel behind one mutex. Actions of all calls form one sequence, which one thread at a time
/// carries out without the mutex. So an attempt is cancelled after it was dispatched, whatever
/// threads the two events came from.
class NodeLoop {
public:
  /// Carries out one action. Must not block. May call post().
  using Executor = std::function<void(kernel::Action &)>;
  /// Arms the timer; called only when it must fire earlier than it was last armed for.
  using TimerSetter = std::function<void(TimePoint)>;

  NodeLoop(kernel::NodeOptions Options, Executor Execute, TimerSetter SetTimer);

  /// \brief Hands an event to the kernel and carries out what follows, here or in the thread that
  /// is carrying out actions already.
  /// \note Thread safe and re-entrant.
  void post(const kernel::Event &Input);

  /// \brief The armed timer fired.
  void timerFired();

  /// \brief A snapshot of the kernel. \note Thread safe.
  kernel::NodeStatus status() const;

  /// \brief The settings in force, null before the first configuration. \note Thread safe.
  std::shared_ptr<const SiteSettings> settings() const;

private:
  void drain(std::unique_lock<std::mutex> Lock);
  void execute(kernel::Action &Step);
  void armTimer(TimePoint Next);

  mutable std::mutex m_Mutex;
  kernel::Node m_Node;
  kernel::Actions m_Pending;
  /// A thread is carrying out actions.
  bool m_Draining = false;
  /// When the timer is armed for; max() when it is not.
  TimePoint m_Armed = TimePoint::max();
  Executor m_Execute;
  TimerSetter m_SetTimer;
};

} // namespace vanillahill::net
