#include "cbor_shape.hpp"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <optional>

namespace vanillahill::peer {

namespace {

/// Major types of RFC 8949, the upper three bits of the first byte of an item.
enum class MajorType : std::uint8_t {
  Unsigned = 0,
  Negative = 1,
  Bytes = 2,
  Text = 3,
  Array = 4,
  Map = 5,
  Tag = 6,
  Simple = 7,
};

/// Head of an item: its major type and its argument.
struct ItemHead {
  MajorType m_Type = MajorType::Simple;
  std::uint64_t m_Value = 0;
};

constexpr std::uint8_t MaxInlineValue = 23;
constexpr std::uint8_t OneByteValue = 24;
constexpr std::uint8_t EightByteValue = 27;
constexpr std::uint64_t SimpleFalse = 20;
constexpr std::uint64_t SimpleNull = 22;

/// Iterates over the items of a frame without recursion.
class ShapeChecker {
public:
  explicit ShapeChecker(std::span<const std::uint8_t> Bytes) : m_Bytes(Bytes) {}

  std::string check() {
    m_ItemsLeft[0] = 1;
    while (m_Depth > 0 || m_ItemsLeft[0] > 0) {
      if (m_ItemsLeft[m_Depth] == 0) {
        --m_Depth;
        continue;
      }
      --m_ItemsLeft[m_Depth];
      if (std::string Problem = checkItem(); !Problem.empty()) {
        return Problem;
      }
    }
    if (m_Position != m_Bytes.size()) {
      return fmt::format("{} bytes left over after byte {}", m_Bytes.size() - m_Position,
                         m_Position);
    }
    return {};
  }

private:
  std::size_t remainingBytes() const { return m_Bytes.size() - m_Position; }

  std::optional<ItemHead> readHead() {
    if (remainingBytes() == 0) {
      return std::nullopt;
    }
    const std::uint8_t First = m_Bytes[m_Position++];
    const std::uint8_t Info = First & 0x1FU;
    ItemHead Out{.m_Type = static_cast<MajorType>(First >> 5U), .m_Value = Info};
    if (Info <= MaxInlineValue) {
      return Out;
    }
    if (Info > EightByteValue) {
      return std::nullopt;
    }
    const std::size_t Width = std::size_t{1} << (Info - OneByteValue);
    if (remainingBytes() < Width) {
      return std::nullopt;
    }
    Out.m_Value = 0;
    for (std::size_t Index = 0; Index < Width; ++Index) {
      Out.m_Value = (Out.m_Value << 8U) | m_Bytes[m_Position++];
    }
    return Out;
  }

  std::string checkItem() {
    const std::size_t Start = m_Position;
    const std::optional<ItemHead> Found = readHead();
    if (!Found) {
      return fmt::format("cut short or of indefinite length at byte {}", Start);
    }
    switch (Found->m_Type) {
    case MajorType::Unsigned:
    case MajorType::Negative:
      return {};
    case MajorType::Bytes:
    case MajorType::Text:
      if (Found->m_Value > remainingBytes()) {
        return fmt::format("string of {} bytes at byte {}, {} bytes follow", Found->m_Value, Start,
                           remainingBytes());
      }
      m_Position += Found->m_Value;
      return {};
    case MajorType::Array:
      return enterArray(Found->m_Value, Start);
    case MajorType::Simple:
      if (Found->m_Value >= SimpleFalse && Found->m_Value <= SimpleNull &&
          m_Position == Start + 1) {
        return {};
      }
      break;
    case MajorType::Map:
    case MajorType::Tag:
      break;
    }
    return fmt::format("item of CBOR major type {} is not allowed at byte {}",
                       static_cast<int>(Found->m_Type), Start);
  }

  std::string enterArray(std::uint64_t Count, std::size_t Start) {
    if (Count > remainingBytes()) {
      return fmt::format("array of {} items at byte {}, {} bytes follow", Count, Start,
                         remainingBytes());
    }
    if (m_Depth == MaxCborDepth) {
      return fmt::format("arrays nested deeper than {} at byte {}", MaxCborDepth, Start);
    }
    m_ItemsLeft[++m_Depth] = Count;
    return {};
  }

  std::span<const std::uint8_t> m_Bytes;
  std::size_t m_Position = 0;
  std::size_t m_Depth = 0;
  /// Items not read yet at each depth.
  std::array<std::uint64_t, MaxCborDepth + 1> m_ItemsLeft{};
};

} // namespace

std::string checkCborShape(std::span<const std::uint8_t> Bytes) {
  return ShapeChecker(Bytes).check();
}

} // namespace vanillahill::peer
