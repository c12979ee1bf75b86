#include "vanillahill/net/detail/completed_requests.hpp"

#include <algorithm>

namespace vanillahill::net {

namespace {

/// Memory of a header beside its text.
constexpr std::size_t HeaderOverhead = 64;

std::size_t memoryOf(const CallerRequest &Request) {
  std::size_t Bytes = sizeof(CallerRequest) + Request.m_Message.body().capacity() +
                      Request.m_Message.target().size() + Request.m_Key.capacity();
  for (const auto &Header : Request.m_Message) {
    Bytes += HeaderOverhead + Header.name_string().size() + Header.value().size();
  }
  return Bytes;
}

} // namespace

void CompletedRequests::add(RequestId Id, CallerRequestPtr Request) {
  const std::size_t Bytes = memoryOf(*Request);
  if (Bytes > MaxRequestBytes) {
    return;
  }
  m_Bytes += Bytes;
  m_Requests.push_back({.m_Id = Id, .m_Request = std::move(Request), .m_Bytes = Bytes});
  while (m_Requests.size() > MaxRequests || m_Bytes > MaxBytes) {
    m_Bytes -= m_Requests.front().m_Bytes;
    m_Requests.pop_front();
  }
}

CallerRequestPtr CompletedRequests::find(RequestId Id) const {
  const auto Found = std::find_if(m_Requests.begin(), m_Requests.end(),
                                  [Id](const Kept &Each) { return Each.m_Id == Id; });
  return Found != m_Requests.end() ? Found->m_Request : nullptr;
}

} // namespace vanillahill::net
