#include "line_sink.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

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
  if (m_LinesDropped > 0) {
    m_Pending +=
        "{\"event\":\"lines_lost\",\"count\":\"" + std::to_string(m_LinesDropped) + "\"}\n";
    m_LinesDropped = 0;
  }
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

} // namespace vanillahill::observe
