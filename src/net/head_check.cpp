#include "vanillahill/net/head_check.hpp"

#include <algorithm>
#include <cctype>

namespace vanillahill::net {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr unsigned char FirstPrintable = 0x20;
constexpr unsigned char DeleteByte = 0x7f;
// Any number of this many digits fits into 64 bits.
constexpr std::size_t MaxLengthDigits = 18;

bool isTokenByte(char Byte) {
  constexpr std::string_view Marks = "!#$%&'*+-.^_`|~";
  return std::isalnum(static_cast<unsigned char>(Byte)) != 0 ||
         Marks.find(Byte) != std::string_view::npos;
}

bool equalIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::equal(Left.begin(), Left.end(), Right.begin(), Right.end(), [](char A, char B) {
    return std::tolower(static_cast<unsigned char>(A)) ==
           std::tolower(static_cast<unsigned char>(B));
  });
}

std::string_view trimmed(std::string_view Text) {
  constexpr std::string_view Blank = " \t";
  const auto First = Text.find_first_not_of(Blank);
  if (First == std::string_view::npos) {
    return {};
  }
  return Text.substr(First, Text.find_last_not_of(Blank) - First + 1);
}

CallerFault checkByte(char Previous, char Byte, bool IsLast, char Next) {
  if (Byte == '\n') {
    return Previous == '\r' ? CallerFault::None : CallerFault::BareLineEnd;
  }
  if (Byte == '\r') {
    return IsLast || Next == '\n' ? CallerFault::None : CallerFault::BareLineEnd;
  }
  const auto Value = static_cast<unsigned char>(Byte);
  const bool IsControl = (Value < FirstPrintable && Byte != '\t') || Value == DeleteByte;
  return IsControl ? CallerFault::ControlByte : CallerFault::None;
}

/// How often each framing header and Host occur in one head.
struct FramingCounts {
  unsigned m_ContentLengths = 0;
  unsigned m_TransferEncodings = 0;
  unsigned m_Hosts = 0;
};

CallerFault checkLength(std::string_view Value) {
  const bool AllDigits = std::all_of(Value.begin(), Value.end(), [](char Byte) {
    return std::isdigit(static_cast<unsigned char>(Byte)) != 0;
  });
  const bool Fits = !Value.empty() && Value.size() <= MaxLengthDigits;
  return AllDigits && Fits ? CallerFault::None : CallerFault::BadLength;
}

CallerFault countHeader(std::string_view Name, std::string_view Value, FramingCounts &Seen) {
  if (equalIgnoringCase(Name, "content-length")) {
    ++Seen.m_ContentLengths;
    return checkLength(Value);
  }
  if (equalIgnoringCase(Name, "transfer-encoding")) {
    ++Seen.m_TransferEncodings;
    return equalIgnoringCase(Value, "chunked") ? CallerFault::None : CallerFault::TransferEncoding;
  }
  if (equalIgnoringCase(Name, "host")) {
    ++Seen.m_Hosts;
  }
  return CallerFault::None;
}

CallerFault checkHeader(std::string_view Line, FramingCounts &Seen) {
  if (Line.front() == ' ' || Line.front() == '\t') {
    return CallerFault::FoldedHeader;
  }
  const auto Colon = Line.find(':');
  if (Colon == std::string_view::npos || Colon == 0) {
    return CallerFault::HeaderName;
  }
  const auto Name = Line.substr(0, Colon);
  if (!std::all_of(Name.begin(), Name.end(), isTokenByte)) {
    return CallerFault::HeaderName;
  }
  return countHeader(Name, trimmed(Line.substr(Colon + 1)), Seen);
}

CallerFault checkFraming(const FramingCounts &Seen, HeadKind Kind) {
  if (Seen.m_ContentLengths > 1) {
    return CallerFault::TwoLengths;
  }
  if (Seen.m_ContentLengths > 0 && Seen.m_TransferEncodings > 0) {
    return CallerFault::LengthWithChunked;
  }
  if (Seen.m_TransferEncodings > 1) {
    return CallerFault::TransferEncoding;
  }
  if (Kind == HeadKind::Request && Seen.m_Hosts != 1) {
    return CallerFault::Host;
  }
  return CallerFault::None;
}

} // namespace

std::size_t headLength(std::string_view Bytes) {
  const auto End = Bytes.find(HeadEnd);
  return End == std::string_view::npos ? 0 : End + HeadEnd.size();
}

CallerFault checkPartialHead(std::string_view Bytes) {
  char Previous = '\0';
  for (std::size_t Index = 0; Index < Bytes.size(); ++Index) {
    const bool IsLast = Index + 1 == Bytes.size();
    const auto Fault = checkByte(Previous, Bytes[Index], IsLast, IsLast ? '\0' : Bytes[Index + 1]);
    if (Fault != CallerFault::None) {
      return Fault;
    }
    Previous = Bytes[Index];
  }
  return CallerFault::None;
}

CallerFault checkHead(std::string_view Head, HeadKind Kind) {
  if (const auto Fault = checkPartialHead(Head); Fault != CallerFault::None) {
    return Fault;
  }
  if (!Head.ends_with(HeadEnd)) {
    return CallerFault::Malformed;
  }
  FramingCounts Seen;
  auto Rest = Head.substr(Head.find(LineEnd) + LineEnd.size());
  while (Rest.size() > LineEnd.size()) {
    const auto End = Rest.find(LineEnd);
    const auto Line = Rest.substr(0, End);
    if (Line.empty()) {
      return CallerFault::Malformed;
    }
    if (const auto Fault = checkHeader(Line, Seen); Fault != CallerFault::None) {
      return Fault;
    }
    Rest.remove_prefix(End + LineEnd.size());
  }
  return checkFraming(Seen, Kind);
}

} // namespace vanillahill::net
