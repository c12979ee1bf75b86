/// \file
/// Writes history lines: one JSON object a line, times in nanoseconds of the monotonic clock.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/core/time.hpp"

#include <memory>
#include <string>
#include <string_view>

namespace vanillahill::load {

/// What happened to a request at a backend server.
struct BackendLine {
  TimePoint m_At{};
  /// "start", "end", "refuse", "cancel" or "probe".
  std::string_view m_Event;
  std::string_view m_Request;
  std::string_view m_Operation;
  std::string_view m_Server;
  std::string_view m_Vm;
  std::string_view m_Exchange;
};

/// A caller sends one attempt.
struct SendLine {
  TimePoint m_At{};
  std::string_view m_Request;
  std::string_view m_Operation;
  std::string_view m_Kind;
  bool m_Idempotent = false;
  std::string_view m_Vm;
  std::string_view m_Key;
  bool m_First = true;
};

/// A caller has the answer to one attempt, or lost it.
struct AnswerLine {
  TimePoint m_At{};
  std::string_view m_Request;
  std::string_view m_Operation;
  /// "completed", "not-run", "unknown" or "cut".
  std::string_view m_Outcome;
  std::string_view m_Reason;
  std::string_view m_Echo;
  bool m_Whole = false;
};

/// A history file. Buffered; not thread safe.
class Ledger {
public:
  /// \brief Opens a file for writing. \param Path its path; empty: lines are dropped
  /// \return the ledger, or SettingsUnreadable
  static Result<Ledger> open(const std::string &Path);

  Ledger(Ledger &&) noexcept;
  Ledger &operator=(Ledger &&) noexcept;
  ~Ledger();

  void write(const BackendLine &Line);
  void write(const SendLine &Line);
  void write(const AnswerLine &Line);
  /// \brief Hands buffered lines to the operating system.
  void flush();

private:
  struct State;
  explicit Ledger(std::unique_ptr<State> Inner);
  std::unique_ptr<State> m_State;
};

} // namespace vanillahill::load
