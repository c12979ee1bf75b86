/// \file
/// Time limit of a transfer whose size is not known in advance.
#pragma once

#include "vanillahill/core/time.hpp"

#include <algorithm>

namespace vanillahill::net {

struct ProgressTimeoutOptions {
  /// Longest time without any progress.
  Duration m_MaxSilence = std::chrono::seconds(2);
  /// Longest time in all, against a peer that sends its answer byte by byte.
  Duration m_MaxTotal = std::chrono::seconds(15);
};

/// Expires when a transfer makes no progress, not when it is merely long: a transfer that is cut
/// off and repeated from its start never ends on a link that needs longer than the limit. Does no
/// I/O itself.
class ProgressTimeout {
public:
  explicit ProgressTimeout(ProgressTimeoutOptions Options) : m_Options(Options) {}

  /// \brief Begins a transfer, such as a call with its connection and answer.
  void start(TimePoint Now) {
    m_StartedAt = Now;
    m_ProgressAt = Now;
  }

  /// \brief Reports that the transfer made progress.
  void progressed(TimePoint Now) { m_ProgressAt = Now; }

  /// \brief When the transfer counts as failed if it makes no progress until then.
  TimePoint expiresAt() const {
    return std::min(m_ProgressAt + m_Options.m_MaxSilence, m_StartedAt + m_Options.m_MaxTotal);
  }

  bool hasExpired(TimePoint Now) const { return Now >= expiresAt(); }

private:
  ProgressTimeoutOptions m_Options;
  TimePoint m_StartedAt{};
  TimePoint m_ProgressAt{};
};

} // namespace vanillahill::net
