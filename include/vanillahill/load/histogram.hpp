/// \file
/// Latency histogram: log-linear buckets, below 1.6 in 100 wide.
#pragma once

#include "vanillahill/core/time.hpp"

#include <cstdint>
#include <vector>

namespace vanillahill::load {

/// Counts durations from one microsecond up. Not thread safe. Memory grows with the logarithm of
/// the largest duration.
class Histogram {
public:
  /// \brief Counts one duration. \param Value rounded down to microseconds; negative counts as zero
  void add(Duration Value);

  /// \brief Adds the counts of another histogram.
  void merge(const Histogram &Other);

  /// \brief The smallest bucket bound that a share of the durations does not exceed.
  /// \param Share from 0 to 1
  /// \return upper bound of the bucket; zero when nothing was counted
  Duration quantile(double Share) const;

  std::uint64_t count() const { return m_Count; }

private:
  std::vector<std::uint64_t> m_Buckets;
  std::uint64_t m_Count = 0;
};

} // namespace vanillahill::load
