/// \file
/// Exponentially weighted moving average.
#pragma once

namespace vanillahill::kernel {

/// An average that forgets old values at a fixed rate per sample. Starts at a prior.
class Ewma {
public:
  /// \param Prior value before the first sample
  /// \param Rate weight of one new sample, between 0 and 1
  constexpr Ewma(double Prior, double Rate) : m_Value(Prior), m_Rate(Rate) {}

  /// \brief Takes one sample; the first one replaces the prior.
  constexpr void add(double Sample) {
    m_Value = m_Empty ? Sample : m_Value + m_Rate * (Sample - m_Value);
    m_Empty = false;
  }

  /// \return the average, or the prior
  constexpr double value() const { return m_Value; }
  /// \return whether no sample came yet
  constexpr bool empty() const { return m_Empty; }

private:
  double m_Value;
  double m_Rate;
  bool m_Empty = true;
};

} // namespace vanillahill::kernel
