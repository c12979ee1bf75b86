#include "index.hpp"

#include <algorithm>

namespace vanillahill::history {

Index::Index(std::span<const Record> Records) {
  RecordList Sorted;
  Sorted.reserve(Records.size());
  for (const Record &Value : Records) {
    Sorted.push_back(&Value);
  }
  std::ranges::stable_sort(Sorted, {}, &Record::m_At);
  for (const Record *Value : Sorted) {
    std::visit([&](const auto &Body) { add(*Value, Body); }, Value->m_Body);
  }
}

void Index::add(const Record &Value, const Send &Body) {
  m_Requests[Body.m_Request].m_Send = &Value;
  OperationView &Operation = m_Operations[Body.m_Operation];
  Operation.m_All.push_back(&Value);
  Operation.m_Sends.push_back(&Value);
}

void Index::add(const Record &Value, const Answer &Body) {
  m_Requests[Body.m_Request].m_Answers.push_back(&Value);
  m_Operations[Body.m_Operation].m_All.push_back(&Value);
}

void Index::add(const Record &Value, const Backend &Body) {
  m_Servers[Body.m_Server].push_back(&Value);
  if (Body.m_Event == BackendEvent::Probe) {
    return;
  }
  OperationView &Operation = m_Operations[Body.m_Operation];
  Operation.m_All.push_back(&Value);
  if (Body.m_Event == BackendEvent::Start) {
    Operation.m_Starts.push_back(&Value);
    m_Requests[Body.m_Request].m_Starts.push_back(&Value);
  }
}

void Index::add(const Record &Value, const Script & /*Body*/) { m_Scripts.push_back(&Value); }

std::vector<Record> copyOf(const RecordList &List) {
  std::vector<Record> Copies;
  Copies.reserve(List.size());
  for (const Record *Value : List) {
    Copies.push_back(*Value);
  }
  return Copies;
}

} // namespace vanillahill::history
