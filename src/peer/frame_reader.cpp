#include "frame_reader.hpp"

namespace vanillahill::peer {

void FrameReader::append(std::span<const std::uint8_t> Bytes) {
  m_Bytes.erase(m_Bytes.begin(), m_Bytes.begin() + static_cast<std::ptrdiff_t>(m_Start));
  m_Start = 0;
  m_Bytes.insert(m_Bytes.end(), Bytes.begin(), Bytes.end());
}

FrameStatus FrameReader::nextFrame(std::span<const std::uint8_t> &Frame) {
  const std::span<const std::uint8_t> Rest = std::span(m_Bytes).subspan(m_Start);
  if (Rest.size() < FramePrefixBytes) {
    return FrameStatus::Incomplete;
  }
  std::size_t Size = 0;
  for (const std::uint8_t Byte : Rest.first(FramePrefixBytes)) {
    Size = (Size << 8U) | Byte;
  }
  if (Size > m_MaxBytes) {
    return FrameStatus::TooLong;
  }
  if (Rest.size() < FramePrefixBytes + Size) {
    return FrameStatus::Incomplete;
  }
  Frame = Rest.subspan(FramePrefixBytes, Size);
  m_Start += FramePrefixBytes + Size;
  return FrameStatus::Complete;
}

} // namespace vanillahill::peer
