#include "line_sink.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace vanillahill::observe {

LineSink::LineSink() {
  struct stat Info {};
  if (::fstat(STDOUT_FILENO, &Info) == 0 && S_ISFIFO(Info.st_mode)) {
    ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
  }
}

void LineSink::sink_it_(const spdlog::details::log_msg &Message) {
  const std::string_view Line(Message.payload.data(), Message.payload.size());
  if (m_Pending.size() + Line.size() > MaxPendingBytes) {
    ++m_LinesDropped;
    return;
  }
  appendDropCount();
  m_Pending += Line;
  m_Pending += '\n';
  const bool IsDue = std::chrono::steady_clock::now() - m_LastFlush >= FlushInterval;
  if (IsDue || m_Pending.size() >= FlushThresholdBytes) {
    flush_();
  }
}

void LineSink::flush_() {
  m_LastFlush = std::chrono::steady_clock::now();
  while (!m_Pending.empty()) {
    const ssize_t Written = ::write(STDOUT_FILENO, m_Pending.data(), m_Pending.size());
    if (Written <= 0) {
      // The reader is slow or gone; the lines stay buffered until the next flush.
      return;
    }
    m_Pending.erase(0, static_cast<std::size_t>(Written));
  }
}

void LineSink::appendDropCount() {
  if (m_LinesDropped > 0) {
    m_Pending +=
        "{\"event\":\"lines_lost\",\"count\":\"" + std::to_string(m_LinesDropped) + "\"}\n";
    m_LinesDropped = 0;
  }
}

bool LineSink::drain(std::chrono::nanoseconds Limit) {
  using Clock = std::chrono::steady_clock;
  const std::lock_guard Lock(mutex_);
  const auto Until = Clock::now() + Limit;
  appendDropCount();
  while (true) {
    errno = 0;
    flush_();
    if (m_Pending.empty()) {
      return true;
    }
    if (errno != EAGAIN && errno != EINTR) {
      // The reader is gone.
      return false;
    }
    const auto Left = std::chrono::ceil<std::chrono::milliseconds>(Until - Clock::now());
    if (Left.count() <= 0) {
      return false;
    }
    pollfd Output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
    ::poll(&Output, 1, static_cast<int>(Left.count()));
  }
}

} // namespace vanillahill::observe
