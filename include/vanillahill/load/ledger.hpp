/// \file
/// Writes history lines: one JSON object a line, times in nanoseconds of the monotonic clock.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/core/time.hpp"
#include "vanillahill/history/record.hpp"

#include <memory>
#include <string>

namespace vanillahill::load {

/// A history file. Buffered; not thread safe.
class Ledger {
public:
  /// \brief Opens a file for writing. \param Path its path; empty: lines are dropped
  /// \return the ledger, or SettingsUnreadable
  static Result<Ledger> open(const std::string &Path);

  Ledger(Ledger &&) noexcept;
  Ledger &operator=(Ledger &&) noexcept;
  ~Ledger();

  /// \brief Writes one record as a line.
  /// \param At when it happened
  /// \param Body what happened
  void write(TimePoint At, history::Backend Body);
  void write(TimePoint At, history::Send Body);
  void write(TimePoint At, history::Answer Body);
  /// \brief Hands buffered lines to the operating system.
  void flush();

private:
  struct State;
  void writeLine(const history::Record &Line);
  explicit Ledger(std::unique_ptr<State> Inner);
  std::unique_ptr<State> m_State;
};

} // namespace vanillahill::load
