/// \file
/// Records of a history: what callers, backend servers and scripts saw, one JSON object a line.
/// docs/design/architecture.md, "Histories", gives the format.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/core/time.hpp"

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace vanillahill::history {

/// A caller sends one attempt of an operation.
struct Send {
  std::string m_Request;
  std::string m_Operation;
  std::string m_Kind;
  bool m_Idempotent = false;
  std::string m_Vm;
  std::string m_Key;
  bool m_First = false;
};

/// How an attempt ended for its caller.
enum class Ending : std::uint8_t { Completed, NotRun, Unknown, Cut };

/// A caller has its answer, or lost the connection.
struct Answer {
  std::string m_Request;
  std::string m_Operation;
  Ending m_Ending = Ending::Cut;
  std::string m_Reason;
  /// The attempt that the body names; for a kept answer an earlier one of the same operation.
  std::string m_Echo;
  bool m_Whole = false;
};

/// What a backend server did with a request.
enum class BackendEvent : std::uint8_t { Start, End, Refuse, Cancel, Probe };

/// An entry of a backend server's own ledger.
struct Backend {
  BackendEvent m_Event = BackendEvent::Start;
  std::string m_Request;
  std::string m_Operation;
  std::string m_Server;
  std::string m_Vm;
  std::string m_Exchange;
};

/// What a script did or read.
enum class ScriptEvent : std::uint8_t {
  /// m_Subject was killed.
  Kill,
  /// m_Subject was told to stop.
  Stop,
  /// m_Subject has exited.
  Exit,
  /// m_Subject, a backend server, is leaving.
  Leave,
  /// m_Subject, an operator, was told that m_Detail ("file=version") is accepted.
  Accepted,
  /// m_Subject, a VM, showed that m_Detail ("file=version") is in force.
  InForce,
};

struct Script {
  ScriptEvent m_Event = ScriptEvent::Kill;
  std::string m_Subject;
  std::string m_Detail;
};

/// One record, with the file and the line where it stands.
struct Record {
  TimePoint m_At{};
  std::variant<Send, Answer, Backend, Script> m_Body;
  std::string m_File;
  std::size_t m_Line = 0;
};

/// \brief Reads one line.
/// \param Text one JSON object
/// \param File how an error and the record name the file
/// \param Line number of the line, from 1
/// \return the record, or RecordMalformed with file and line as the peer
Result<Record> parseRecord(std::string_view Text, const std::string &File, std::size_t Line);

/// \brief Reads a whole stream; empty lines are skipped.
/// \param Input the stream
/// \param File its name
/// \param Out records are appended in the order of the stream
/// \return how many were read, or the error of the first malformed line
Result<std::size_t> readRecords(std::istream &Input, const std::string &File,
                                std::vector<Record> &Out);

/// \brief The record as one JSON line without a line end.
std::string toLine(const Record &Value);

} // namespace vanillahill::history
