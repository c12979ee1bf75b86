/// \file
/// Reads the platform's log and VM list, and appends to the log.
#pragma once

#include "vanillahill/net/detail/platform_channel.hpp"
#include "vanillahill/observe/metrics.hpp"

#include <deque>
#include <mutex>
#include <random>

namespace vanillahill::net {

/// How the platform is polled.
struct PlatformOptions {
  std::string m_Address;
  /// Seed for the random backoff after a failure.
  std::uint64_t m_Seed = 0;
};

/// Exponential backoff with a maximum and random jitter.
class Backoff {
public:
  explicit Backoff(std::uint64_t Seed) : m_Random(Seed) {}

  /// \brief Returns the wait before the next attempt and doubles the limit for the one after it.
  Duration nextWait();

  /// \brief Resets the wait after a successful attempt.
  void reset();

private:
  static constexpr std::chrono::milliseconds MinWait{100};
  static constexpr std::chrono::milliseconds MaxWait{2000};

  std::mt19937_64 m_Random;
  std::chrono::milliseconds m_WaitLimit = MinWait;
};

/// Three connections: for the log, for the VM list and for appends. Thread safe.
class PlatformClient : public std::enable_shared_from_this<PlatformClient> {
public:
  PlatformClient(asio::io_context &Io, const PlatformOptions &Options, EventSink Post,
                 observe::Metrics &Metrics);

  /// \brief Starts polling.
  void start();

  /// \brief Appends a record. It is retried until the log accepts it; newer records wait.
  void append(std::string Data);

  /// \brief Stops polling and drops records that are not appended yet.
  void close();

private:
  void pollLog();
  void handleLogReply(const Result<std::string> &Body);
  void pollVmList();
  void handleVmListReply(const Result<std::string> &Body);
  void appendNext();
  void handleAppendReply(const Result<std::string> &Body);
  void countFailure(observe::PollTarget Target, std::string_view Event, const Error &Fault);

  EventSink m_Post;
  observe::Metrics &m_Metrics;
  std::shared_ptr<PlatformChannel> m_LogChannel;
  std::shared_ptr<PlatformChannel> m_VmListChannel;
  std::shared_ptr<PlatformChannel> m_AppendChannel;
  Backoff m_LogBackoff;
  Backoff m_VmListBackoff;
  Backoff m_AppendBackoff;
  /// Used by the log channel's strand only.
  std::uint64_t m_NextOffset = 0;
  std::mutex m_Mutex;
  std::deque<std::string> m_PendingAppends;
};

} // namespace vanillahill::net
