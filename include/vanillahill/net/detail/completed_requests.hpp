/// \file
/// The requests that were completed last, kept so that a copy that crashes a server can be compared
/// with them.
#pragma once

#include "vanillahill/core/ids.hpp"
#include "vanillahill/net/detail/caller_request.hpp"

#include <cstddef>
#include <deque>

namespace vanillahill::net {

/// Bounded in number and memory; the oldest requests are evicted first. Requests are shared, not
/// copied, and no digest is computed on insertion. Not thread safe.
class CompletedRequests {
public:
  static constexpr std::size_t MaxRequests = 512;
  /// Memory of all requests.
  static constexpr std::size_t MaxBytes = std::size_t{1024} * 1024;
  /// Memory of one request; a larger one is not kept, since it would take the place of many.
  static constexpr std::size_t MaxRequestBytes = std::size_t{64} * 1024;

  /// \brief Keeps a request.
  void add(RequestId Id, CallerRequestPtr Request);

  /// \brief Finds a request.
  /// \return null if it is not kept
  /// \note Complexity: linear in the number of requests.
  CallerRequestPtr find(RequestId Id) const;

  std::size_t size() const { return m_Requests.size(); }

  /// \brief Memory of the requests that are kept, in bytes.
  std::size_t bytes() const { return m_Bytes; }

private:
  struct Kept {
    RequestId m_Id{};
    CallerRequestPtr m_Request;
    std::size_t m_Bytes = 0;
  };

  std::deque<Kept> m_Requests;
  std::size_t m_Bytes = 0;
};

} // namespace vanillahill::net
