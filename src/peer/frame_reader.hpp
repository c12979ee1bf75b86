/// \file
/// Cuts a byte stream into frames: 4 bytes of big-endian length, then the frame.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace vanillahill::peer {

/// Bytes of the length before each frame.
inline constexpr std::size_t FramePrefixBytes = 4;

/// \brief The length as it stands before a frame.
constexpr std::array<std::uint8_t, FramePrefixBytes> framePrefix(std::size_t Size) {
  return {static_cast<std::uint8_t>(Size >> 24U), static_cast<std::uint8_t>(Size >> 16U),
          static_cast<std::uint8_t>(Size >> 8U), static_cast<std::uint8_t>(Size)};
}

/// What a reader found at the front of its bytes.
enum class FrameStatus : std::uint8_t { Whole, Incomplete, TooLong };

/// Holds the bytes that came after the last whole frame. Not thread safe.
class FrameReader {
public:
  /// \param MaxBytes longest frame allowed, without its length
  explicit FrameReader(std::size_t MaxBytes) : m_MaxBytes(MaxBytes) {}

  /// \brief Takes the next bytes of the stream.
  void append(std::span<const std::uint8_t> Bytes);

  /// \brief Finds the next frame.
  /// \param Frame set to the frame when it is whole; valid until the next call of append()
  /// \note Complexity: constant.
  FrameStatus next(std::span<const std::uint8_t> &Frame);

  /// \brief Whether the stream stands inside a frame.
  bool partial() const { return m_Start < m_Bytes.size(); }

private:
  std::size_t m_MaxBytes;
  std::vector<std::uint8_t> m_Bytes;
  /// Where the next frame begins in m_Bytes.
  std::size_t m_Start = 0;
};

} // namespace vanillahill::peer
