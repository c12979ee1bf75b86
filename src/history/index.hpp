/// \file
/// A history sorted by time and grouped by what the checks look at.
#pragma once

#include "vanillahill/history/record.hpp"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace vanillahill::history {

using RecordList = std::vector<const Record *>;

/// What is recorded of one attempt of a caller.
struct RequestView {
  const Record *m_Send = nullptr;
  RecordList m_Answers;
  RecordList m_Starts;
};

/// What is recorded of one operation.
struct OperationView {
  RecordList m_All;
  RecordList m_Sends;
  RecordList m_Starts;
};

/// Groups of a history. Points into the records, which must outlive it.
struct Index {
  explicit Index(std::span<const Record> Records);

  std::map<std::string, RequestView> m_Requests;
  std::map<std::string, OperationView> m_Operations;
  /// Backend records by server.
  std::map<std::string, RecordList> m_Servers;
  /// Script records in order of time.
  RecordList m_Scripts;

private:
  void add(const Record &Value, const Send &Body);
  void add(const Record &Value, const Answer &Body);
  void add(const Record &Value, const Backend &Body);
  void add(const Record &Value, const Script &Body);
};

/// \brief The records that a list points to.
std::vector<Record> copyOf(const RecordList &List);

} // namespace vanillahill::history
