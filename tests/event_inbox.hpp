/// \file
/// Runs an io_context in a thread and collects the events that a module sends to the kernel.
#pragma once

#include "vanillahill/net/detail/types.hpp"

#include <boost/asio/executor_work_guard.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace vanillahill::net::fakes {

/// An io_context with one thread.
class IoThread {
public:
  IoThread() : m_Work(m_Io.get_executor()), m_Thread([this] { m_Io.run(); }) {}
  ~IoThread() { stop(); }
  IoThread(const IoThread &) = delete;
  IoThread &operator=(const IoThread &) = delete;

  asio::io_context &io() { return m_Io; }

  /// Ends the thread, then runs the handlers that closed sockets still have pending.
  void stop() {
    if (!m_Thread.joinable()) {
      return;
    }
    m_Io.stop();
    m_Thread.join();
    m_Io.restart();
    m_Io.poll();
  }

private:
  asio::io_context m_Io;
  asio::executor_work_guard<asio::io_context::executor_type> m_Work;
  std::thread m_Thread;
};

/// Events in the order of their arrival.
class EventInbox {
public:
  EventSink sink() {
    return [this](const kernel::Event &Input) { put(Input); };
  }

  /// Waits for the next event of one type; others are dropped. Throws if none arrives in 20 s.
  template <typename Wanted> Wanted next() {
    std::unique_lock Lock(m_Mutex);
    while (true) {
      if (!m_Arrived.wait_for(Lock, std::chrono::seconds(20),
                              [this] { return !m_Events.empty(); })) {
        throw std::runtime_error("no event arrived within 20 s");
      }
      const auto Input = std::move(m_Events.front());
      m_Events.pop_front();
      if (const auto *Found = std::get_if<Wanted>(&Input)) {
        return *Found;
      }
    }
  }

  std::size_t size() {
    const std::lock_guard Lock(m_Mutex);
    return m_Events.size();
  }

private:
  void put(const kernel::Event &Input) {
    const std::lock_guard Lock(m_Mutex);
    m_Events.push_back(Input);
    m_Arrived.notify_one();
  }

  std::mutex m_Mutex;
  std::condition_variable m_Arrived;
  std::deque<kernel::Event> m_Events;
};

} // namespace vanillahill::net::fakes
