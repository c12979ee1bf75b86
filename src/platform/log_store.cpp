#include "vanillahill/platform/log_store.hpp"

#include <algorithm>

namespace vanillahill::platform {

std::uint64_t LogStore::append(std::string Data, TimePoint Now) {
  const std::uint64_t Offset = next();
  m_Entries.push_back({Now, std::move(Data)});
  dropOld(Now);
  return Offset;
}

LogPage LogStore::read(std::uint64_t From, TimePoint Now, std::size_t MaxRecords) {
  dropOld(Now);
  LogPage Page;
  Page.m_First = m_First;
  const std::uint64_t Start = std::clamp(From, m_First, next());
  const std::uint64_t End = std::min<std::uint64_t>(next(), Start + MaxRecords);
  for (std::uint64_t Offset = Start; Offset < End; ++Offset) {
    Page.m_Records.push_back({Offset, m_Entries[Offset - m_First].m_Data});
  }
  Page.m_Next = End;
  return Page;
}

void LogStore::dropBefore(std::uint64_t Offset) {
  while (m_First < Offset && !m_Entries.empty()) {
    m_Entries.pop_front();
    ++m_First;
  }
}

void LogStore::dropOld(TimePoint Now) {
  while (m_Entries.size() > m_Retention.m_Records) {
    dropBefore(m_First + 1);
  }
  while (!m_Entries.empty() && Now - m_Entries.front().m_Time > m_Retention.m_Age) {
    dropBefore(m_First + 1);
  }
}

} // namespace vanillahill::platform
