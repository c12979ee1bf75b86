/// \file
/// Time types and clocks. Modules are passed the present time; only clocks read it.
#pragma once

#include <chrono>
#include <concepts>

namespace vanillahill {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A source of monotonic time.
template <typename T>
concept Clock = requires(const T &Source) {
  { Source.now() } -> std::same_as<TimePoint>;
};

/// The monotonic clock of the machine.
class SystemClock {
public:
  /// \brief Reads the clock. \return the present time. \note Thread safe.
  TimePoint now() const { return std::chrono::steady_clock::now(); }
};

/// \brief Time for which the machine was suspended since it booted, which the steady clock does not
/// count. \note Thread safe.
Duration suspendedTime();

/// A clock for tests that changes only by advance().
class PausedClock {
public:
  /// \brief Reads the clock. \return the time reached by the calls of advance().
  TimePoint now() const { return m_Now; }
  /// \brief Moves time forward. \param Step by how much
  void advance(Duration Step) { m_Now += Step; }

private:
  TimePoint m_Now{};
};

/// \brief Converts to whole milliseconds, rounded towards zero, as used in messages and logs.
/// \param Value any duration
/// \return whole milliseconds
constexpr std::int64_t toMillis(Duration Value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
}

} // namespace vanillahill
