/// \file
/// A log sink that does not block when the reader of the pipe is slow.
#pragma once

#include <spdlog/sinks/base_sink.h>

#include <chrono>
#include <mutex>
#include <string>

namespace vanillahill::observe {

/// Collects lines and writes them to standard output in one call. Writes to a pipe do
/// not block: pending lines are buffered up to a limit; lines beyond it are dropped and counted.
class LineSink final : public spdlog::sinks::base_sink<std::mutex> {
public:
  LineSink();

  /// \brief Writes the pending lines, waiting for a slow reader if need be.
  /// \param Limit how long to wait at most; only writes to a pipe are bounded by it
  /// \return whether all lines were written. \note Thread safe.
  bool drain(std::chrono::nanoseconds Limit);

protected:
  void sink_it_(const spdlog::details::log_msg &Message) override;
  void flush_() override;

private:
  void appendDropCount();

  /// Maximum size of the buffer of pending lines.
  static constexpr std::size_t MaxPendingBytes = 256UL * 1024;
  /// Pending lines are written once they reach this size, or after this time.
  static constexpr std::size_t FlushThresholdBytes = 4096;
  static constexpr std::chrono::milliseconds FlushInterval{200};

  std::string m_Pending;
  std::uint64_t m_LinesDropped = 0;
  std::chrono::steady_clock::time_point m_LastFlush{};
};

} // namespace vanillahill::observe
