#include "vanillahill/load/histogram.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace vanillahill::load {

namespace {

/// Buckets in each power of two.
constexpr std::uint64_t Linear = 64;
constexpr int LinearBits = std::countr_zero(Linear);

std::size_t bucketOf(std::uint64_t Micros) {
  if (Micros < Linear) {
    return Micros;
  }
  const int Shift = static_cast<int>(std::bit_width(Micros)) - 1 - LinearBits;
  return static_cast<std::size_t>(Shift) * Linear + (Micros >> Shift);
}

std::uint64_t upperBound(std::size_t Bucket) {
  if (Bucket < Linear) {
    return Bucket;
  }
  const std::size_t Shift = Bucket / Linear - 1;
  const std::uint64_t Top = Bucket - Shift * Linear;
  return ((Top + 1) << Shift) - 1;
}

} // namespace

void Histogram::add(Duration Value) {
  const std::int64_t Micros = std::chrono::duration_cast<std::chrono::microseconds>(Value).count();
  const std::size_t Bucket =
      bucketOf(static_cast<std::uint64_t>(std::max<std::int64_t>(0, Micros)));
  if (m_Buckets.size() <= Bucket) {
    m_Buckets.resize(Bucket + 1);
  }
  ++m_Buckets[Bucket];
  ++m_Count;
}

void Histogram::merge(const Histogram &Other) {
  m_Buckets.resize(std::max(m_Buckets.size(), Other.m_Buckets.size()));
  for (std::size_t Bucket = 0; Bucket < Other.m_Buckets.size(); ++Bucket) {
    m_Buckets[Bucket] += Other.m_Buckets[Bucket];
  }
  m_Count += Other.m_Count;
}

Duration Histogram::quantile(double Share) const {
  if (m_Count == 0) {
    return {};
  }
  const double Exact = std::ceil(Share * static_cast<double>(m_Count));
  const auto Wanted = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(Exact));
  std::uint64_t Seen = 0;
  for (std::size_t Bucket = 0; Bucket < m_Buckets.size(); ++Bucket) {
    Seen += m_Buckets[Bucket];
    if (Seen >= Wanted) {
      return std::chrono::microseconds(upperBound(Bucket));
    }
  }
  return std::chrono::microseconds(upperBound(m_Buckets.size() - 1));
}

} // namespace vanillahill::load
