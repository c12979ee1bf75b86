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
  if (m_Waiting.size() + Line.size() > MostWaiting) {
    ++m_LeftOut;
    return;
  }
  if (m_LeftOut > 0) {
    m_Waiting += "{\"event\":\"lines_lost\",\"count\":\"" + std::to_string(m_LeftOut) + "\"}\n";
    m_LeftOut = 0;
  }
  m_Waiting += Line;
  m_Waiting += '\n';
  const bool IsDue = std::chrono::steady_clock::now() - m_WrittenAt >= WritePeriod;
  if (IsDue || m_Waiting.size() >= WriteBytes) {
    flush_();
  }
}

void LineSink::flush_() {
  m_WrittenAt = std::chrono::steady_clock::now();
  while (!m_Waiting.empty()) {
    const ssize_t Written = ::write(STDOUT_FILENO, m_Waiting.data(), m_Waiting.size());
    if (Written <= 0) {
      // The reader is slow or gone; the lines stay for the next time.
      return;
    }
    m_Waiting.erase(0, static_cast<std::size_t>(Written));
  }
}

} // namespace vanillahill::observe
