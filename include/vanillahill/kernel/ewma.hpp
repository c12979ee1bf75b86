/// \file
/// Exponentially weighted moving average.
#pragma once

namespace vanillahill::kernel {

/// An average in which the weight of old samples decays by a fixed rate per sample.
class Ewma {
public:
  /// \param Prior value before the first sample
  /// \param Rate weight of one new sample, between 0 and 1
  constexpr Ewma(double Prior, double Rate) : m_Value(Prior), m_Rate(Rate) {}

  /// \brief Adds one sample; the first one replaces the prior.
  constexpr void add(double Sample) {
    m_Value = m_Empty ? Sample : m_Value + m_Rate * (Sample - m_Value);
    m_Empty = false;
  }

  /// \return the average, or the prior before the first sample
  constexpr double value() const { return m_Value; }
  /// \return whether no sample was added yet
  constexpr bool empty() const { return m_Empty; }

private:
  double m_Value;
  double m_Rate;
  bool m_Empty = true;
};

} // namespace vanillahill::kernel
