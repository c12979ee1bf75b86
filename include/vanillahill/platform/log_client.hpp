/// \file
/// The platform's log over HTTP, for the operator's command.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/kernel/events.hpp"

#include <cstdint>
#include <string>

namespace vanillahill::platform {

/// Blocking calls to the log service. Satisfies config::PublishLog.
class LogClient {
public:
  /// \param Address IP:port of the platform
  LogClient(std::string Address, Duration Timeout)
      : m_Address(std::move(Address)), m_Timeout(Timeout) {}

  /// \brief Appends a record. \return its offset; after an error it may have been appended
  Result<std::uint64_t> append(const std::string &Data);
  /// \brief Reads records from an offset on.
  Result<kernel::LogRead> read(std::uint64_t From);
  /// \brief Waits before another try.
  void pause(Duration Length);
  TimePoint now() const { return SystemClock().now(); }

private:
  std::string m_Address;
  Duration m_Timeout;
};

} // namespace vanillahill::platform
