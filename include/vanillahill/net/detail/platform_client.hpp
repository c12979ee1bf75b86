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
  /// Seeds the waits between attempts after a failure.
  std::uint64_t m_Seed = 0;
};

/// Grows the wait after each failure, up to a bound, with a random share.
class Backoff {
public:
  explicit Backoff(std::uint64_t Seed) : m_Random(Seed) {}

  /// \brief The wait before the next attempt.
  Duration next();

  /// \brief An attempt succeeded.
  void reset();

private:
  static constexpr std::chrono::milliseconds Shortest{100};
  static constexpr std::chrono::milliseconds Longest{2000};

  std::mt19937_64 m_Random;
  std::chrono::milliseconds m_Limit = Shortest;
};

/// Three connections: for the log, for the VM list and for appends. Thread safe.
class PlatformClient : public std::enable_shared_from_this<PlatformClient> {
public:
  PlatformClient(asio::io_context &Io, const PlatformOptions &Options, EventSink Post,
                 observe::Metrics &Metrics);

  /// \brief Begins to poll.
  void start();

  /// \brief Appends a record; repeated until the log takes it, a newer one waits behind it.
  void append(std::string Data);

  /// \brief Ends polling and drops what is not appended yet.
  void close();

private:
  void pollLog();
  void onLog(const Result<std::string> &Body);
  void pollVms();
  void onVms(const Result<std::string> &Body);
  void appendNext();
  void onAppended(const Result<std::string> &Body);
  void countFailure(observe::PollTarget Target, std::string_view Event, const Error &Fault);

  EventSink m_Post;
  observe::Metrics &m_Metrics;
  std::shared_ptr<PlatformChannel> m_LogChannel;
  std::shared_ptr<PlatformChannel> m_VmChannel;
  std::shared_ptr<PlatformChannel> m_AppendChannel;
  Backoff m_LogBackoff;
  Backoff m_VmBackoff;
  Backoff m_AppendBackoff;
  /// Used by the log channel's strand only.
  std::uint64_t m_NextOffset = 0;
  std::mutex m_Mutex;
  std::deque<std::string> m_Appends;
};

} // namespace vanillahill::net
