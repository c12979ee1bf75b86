/// \file
/// Shares a kernel::Node between threads: a mutex protects it, and its actions are carried out in
/// order.
#pragma once

#include "vanillahill/kernel/node.hpp"

#include <functional>
#include <mutex>

namespace vanillahill::net {

/// Protects the kernel with one mutex. The actions of all calls form one sequence, which one thread
/// at a time carries out without holding the mutex. So an attempt is always dispatched before it is
/// cancelled, even if the two events come from different threads.
class NodeLoop {
public:
  /// Carries out one action. It must not block and may call post().
  using Executor = std::function<void(kernel::Action &)>;
  /// Arms the timer. Called only when the timer must fire earlier than it is armed for.
  using TimerSetter = std::function<void(TimePoint)>;

  NodeLoop(kernel::NodeOptions Options, Executor Execute, TimerSetter SetTimer);

  /// \brief Lets the kernel handle an event. The resulting actions are carried out in this thread,
  /// or in the thread that is already carrying out actions.
  /// \note Thread safe and re-entrant.
  void post(const kernel::Event &Input);

  /// \brief Handles the expiry of the timer.
  void timerFired();

  /// \brief A snapshot of the kernel. \note Thread safe.
  kernel::NodeStatus status() const;

  /// \brief The settings in force, null before the first configuration. \note Thread safe.
  std::shared_ptr<const SiteSettings> settings() const;

private:
  void executePending(std::unique_lock<std::mutex> Lock);
  void execute(kernel::Action &Step);
  void armTimer(TimePoint Next);

  mutable std::mutex m_Mutex;
  kernel::Node m_Node;
  kernel::Actions m_Pending;
  /// A thread is carrying out actions.
  bool m_IsExecuting = false;
  /// When the timer fires; max() if it is not armed.
  TimePoint m_ArmedFor = TimePoint::max();
  Executor m_Execute;
  TimerSetter m_SetTimer;
};

} // namespace vanillahill::net
