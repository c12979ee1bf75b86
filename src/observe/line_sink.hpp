/// \file
/// A sink for log lines that never waits for their reader.
#pragma once

#include <spdlog/sinks/base_sink.h>

#include <chrono>
#include <mutex>
#include <string>

namespace vanillahill::observe {

/// Collects lines and writes them to standard output in one call. A pipe whose reader is slow holds
/// up nothing: lines wait up to a bound and are then left out and counted.
class LineSink final : public spdlog::sinks::base_sink<std::mutex> {
public:
  LineSink();

protected:
  void sink_it_(const spdlog::details::log_msg &Message) override;
  void flush_() override;

private:
  /// Bytes that wait at most.
  static constexpr std::size_t MostWaiting = 256UL * 1024;
  /// Lines are written once this many bytes wait, or after this time.
  static constexpr std::size_t WriteBytes = 4096;
  static constexpr std::chrono::milliseconds WritePeriod{200};

  std::string m_Waiting;
  std::uint64_t m_LeftOut = 0;
  std::chrono::steady_clock::time_point m_WrittenAt{};
};

} // namespace vanillahill::observe
