#include "vanillahill/net/detail/node_loop.hpp"

#include "vanillahill/observe/log.hpp"

namespace vanillahill::net {

NodeLoop::NodeLoop(kernel::NodeOptions Options, Executor Execute, TimerSetter SetTimer)
    : m_Node(std::move(Options)), m_Execute(std::move(Execute)), m_SetTimer(std::move(SetTimer)) {}

void NodeLoop::post(const kernel::Event &Input) {
  std::unique_lock Lock(m_Mutex);
  m_Node.handle(Input, SystemClock().now(), m_Pending);
  if (!m_Draining) {
    drain(std::move(Lock));
  }
}

void NodeLoop::timerFired() {
  {
    const std::lock_guard Lock(m_Mutex);
    m_Armed = TimePoint::max();
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

void NodeLoop::drain(std::unique_lock<std::mutex> Lock) {
  m_Draining = true;
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
  m_Draining = false;
}

void NodeLoop::execute(kernel::Action &Step) {
  // One action that fails, for want of memory or descriptors, must not stop those behind it.
  try {
    m_Execute(Step);
  } catch (const std::exception &Raised) {
    observe::log(observe::LogLevel::Error, "action_failed", {{"detail", Raised.what()}});
  }
}

void NodeLoop::armTimer(TimePoint Next) {
  if (Next >= m_Armed) {
    return;
  }
  m_Armed = Next;
  m_SetTimer(Next);
}

} // namespace vanillahill::net
