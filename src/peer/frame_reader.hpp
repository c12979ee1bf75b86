/// \file
/// Splits a byte stream into frames: a 4-byte big-endian length, then the frame.
#pragma once

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace vanillahill::peer {

/// Size of the length prefix of a frame.
inline constexpr std::size_t FramePrefixBytes = 4;

/// \brief Encodes the length prefix of a frame.
constexpr std::array<std::uint8_t, FramePrefixBytes> framePrefix(std::size_t Size) {
  return {static_cast<std::uint8_t>(Size >> 24U), static_cast<std::uint8_t>(Size >> 16U),
          static_cast<std::uint8_t>(Size >> 8U), static_cast<std::uint8_t>(Size)};
}

/// State of the first frame in the buffered bytes.
enum class FrameStatus : std::uint8_t { Complete, Incomplete, TooLong };

/// Buffers the bytes after the last complete frame. Not thread safe.
class FrameReader {
public:
  /// \param MaxBytes maximum size of a frame, without its length prefix
  explicit FrameReader(std::size_t MaxBytes) : m_MaxBytes(MaxBytes) {}

  /// \brief Appends bytes received from the stream.
  void append(std::span<const std::uint8_t> Bytes);

  /// \brief Finds the next frame.
  /// \param Frame set to the frame when it is complete; valid until the next call of append()
  /// \note Complexity: constant.
  FrameStatus nextFrame(std::span<const std::uint8_t> &Frame);

  /// \brief Whether the buffered bytes end within a frame.
  bool hasPartialFrame() const { return m_Start < m_Bytes.size(); }

private:
  std::size_t m_MaxBytes;
  std::vector<std::uint8_t> m_Bytes;
  /// Start of the first frame in m_Bytes that was not returned yet.
  std::size_t m_Start = 0;
};

} // namespace vanillahill::peer
