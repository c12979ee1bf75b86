#include "vanillahill/net/detail/node_loop.hpp"

#include "vanillahill/observe/log.hpp"

namespace vanillahill::net {

NodeLoop::NodeLoop(kernel::NodeOptions Options, Executor Execute, TimerSetter SetTimer)
    : m_Node(std::move(Options)), m_Execute(std::move(Execute)), m_SetTimer(std::move(SetTimer)) {}

void NodeLoop::post(const kernel::Event &Input) {
  std::unique_lock Lock(m_Mutex);
  m_Node.handle(Input, SystemClock().now(), m_Pending);
  if (!m_IsExecuting) {
    executePending(std::move(Lock));
  }
}

void NodeLoop::timerFired() {
  {
    const std::lock_guard Lock(m_Mutex);
    m_ArmedFor = TimePoint::max();
  }
  post(kernel::TimerFired{});
}

kernel::NodeStatus NodeLoop::status() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Node.status(SystemClock().now());
}

std::shared_ptr<const SiteSettings> NodeLoop::settings() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Node.settings();
}

void NodeLoop::executePending(std::unique_lock<std::mutex> Lock) {
  m_IsExecuting = true;
  kernel::Actions Batch;
  while (!m_Pending.empty()) {
    Batch.swap(m_Pending);
    Lock.unlock();
    for (auto &Step : Batch) {
      execute(Step);
    }
    Batch.clear();
    Lock.lock();
  }
  armTimer(m_Node.nextTimer());
  m_IsExecuting = false;
}

void NodeLoop::execute(kernel::Action &Step) {
  // An action that fails, for lack of memory or descriptors, must not stop the actions after it.
  try {
    m_Execute(Step);
  } catch (const std::exception &Raised) {
    observe::log(observe::LogLevel::Error, "action_failed", {{"detail", Raised.what()}});
  }
}

void NodeLoop::armTimer(TimePoint Next) {
  if (Next >= m_ArmedFor) {
    return;
  }
  m_ArmedFor = Next;
  m_SetTimer(Next);
}

} // namespace vanillahill::net
