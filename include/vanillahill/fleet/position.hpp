/// \file
/// A position in a stream of the store.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace vanillahill::fleet {

/// Position of a record in a stream. The store starts a new era when it returns from a copy:
/// offsets of the former era are then given out again for other records. Any position of a later
/// era is behind every position of an earlier one.
struct Position {
  /// 0 when the store does not report its era.
  std::uint64_t m_Era = 0;
  /// Offset of the record within the era.
  std::uint64_t m_Offset = 0;

  friend bool operator==(const Position &Left, const Position &Right) {
    return Left.m_Era == Right.m_Era && Left.m_Offset == Right.m_Offset;
  }
  friend std::strong_ordering operator<=>(const Position &Left, const Position &Right) {
    return Left.m_Era != Right.m_Era ? Left.m_Era <=> Right.m_Era
                                     : Left.m_Offset <=> Right.m_Offset;
  }
};

/// \brief The form used in logs and in requests between VMs: the era, a point, and the offset.
inline std::string toString(const Position &Shown) {
  return std::to_string(Shown.m_Era) + "." + std::to_string(Shown.m_Offset);
}

} // namespace vanillahill::fleet
