/// \file
/// Feeds arbitrary bytes to the frame reader and the decoders of peer messages. A decoded
/// message must encode to bytes that decode again.
#include "vanillahill/peer/delta.hpp"

#include "../../src/peer/frame_reader.hpp"

#include <cstdlib>

namespace {

using namespace vanillahill::peer;

constexpr std::size_t MaxFrameBytes = 1U << 16U;

void checkFrame(std::span<const std::uint8_t> Frame, DeltaDecoder &Connection) {
  (void)Connection.decode(Frame);
  const auto Decoded = decode(Frame);
  if (Decoded && Decoded->m_Message && !decode(encode(*Decoded->m_Message))) {
    std::abort();
  }
}

} // namespace

// libFuzzer requires this name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  const std::span<const std::uint8_t> Input(Data, Size);
  DeltaDecoder Connection;
  checkFrame(Input, Connection);
  FrameReader Reader(MaxFrameBytes);
  Reader.append(Input);
  std::span<const std::uint8_t> Frame;
  while (Reader.nextFrame(Frame) == FrameStatus::Complete) {
    checkFrame(Frame, Connection);
  }
  return 0;
}
