/// \file
/// The entry process: the kernel with all its input and output.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/kernel/status.hpp"
#include "vanillahill/settings/settings.hpp"

#include <cstdint>
#include <memory>

namespace vanillahill::net {

/// Options of an entry process.
struct EntryOptions {
  VmSettings m_Vm;
  /// Increases with each start of the same VM.
  std::uint64_t m_Incarnation = 1;
  /// Settings in force from the start, for tests. If set, no platform is polled and no other VM is
  /// known.
  std::shared_ptr<const SiteSettings> m_Settings;
  /// SIGTERM and SIGINT stop the process gracefully.
  bool m_HandleSignals = false;
};

/// One entry VM. It listens once it is opened, and serves while run() runs.
class Entry {
public:
  /// \brief Opens the listening sockets.
  /// \return the entry, or Errc::AddressUnusable
  static Result<std::unique_ptr<Entry>> open(EntryOptions Options);

  ~Entry();
  Entry(const Entry &) = delete;
  Entry &operator=(const Entry &) = delete;

  /// \brief Serves with a pool of worker threads until a graceful stop is complete.
  void run();

  /// \brief Begins a graceful stop: requests in flight are completed, then run() returns.
  /// \note Thread safe.
  void requestStop();

  /// \brief The port that callers connect to.
  std::uint16_t callerPort() const;

  /// \brief The port that operators connect to.
  std::uint16_t adminPort() const;

  /// \brief The kernel's status. \note Thread safe.
  kernel::NodeStatus status() const;

private:
  struct State;
  explicit Entry(std::unique_ptr<State> Opened);
  std::unique_ptr<State> m_State;
};

} // namespace vanillahill::net
