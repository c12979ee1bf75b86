/// \file
/// Reads HTTP/1.1 messages from received bytes: strict head check first, then the Beast parser.
#pragma once

#include "vanillahill/net/detail/types.hpp"
#include "vanillahill/net/head_check.hpp"

#include <boost/beast/core/flat_buffer.hpp>

#include <limits>
#include <optional>

namespace vanillahill::net {

/// Size limits of one message.
struct MessageLimits {
  std::size_t m_HeaderBytes = 8192;
  std::size_t m_BodyBytes = 1U << 20U;
};

/// Result of reading the bytes received so far.
enum class ReadState : std::uint8_t { NeedMore, Whole, Faulty };

/// Turns the bytes of one connection into complete messages, one at a time.
template <bool IsRequest> class MessageReader {
public:
  using Message = http::message<IsRequest, http::string_body>;

  explicit MessageReader(MessageLimits Limits) : m_Limits(Limits) {}

  /// \brief Buffer space for the next bytes to receive.
  auto prepare() { return m_Buffer.prepare(ReadBytes); }

  /// \brief Adds the Count bytes that were received into the space from prepare().
  void commit(std::size_t Count) { m_Buffer.commit(Count); }

  /// \brief Continues to parse the bytes received so far.
  /// \return Whole once a message is complete; then call take()
  ReadState advance() {
    if (!m_Parser && !startMessage()) {
      return m_Fault == CallerFault::None ? ReadState::NeedMore : ReadState::Faulty;
    }
    return advanceBody();
  }

  /// \brief Returns the complete message; the bytes after it belong to the next message.
  Message take() {
    Message Complete = m_Parser->release();
    m_Parser.reset();
    return Complete;
  }

  /// \brief Part of a message was received.
  bool isInMessage() const { return m_Parser.has_value() || m_Buffer.size() > 0; }

  /// \brief The head was parsed, the body is incomplete and no bytes are buffered. The caller may
  /// be waiting for "100 Continue".
  bool isWaitingForBody() const { return m_Parser && m_Buffer.size() == 0; }

  /// \brief A header of the message being read.
  std::string_view header(http::field Name) const {
    const auto Value = m_Parser->get()[Name];
    return {Value.data(), Value.size()};
  }

  /// \brief The message being read has no length and ends with the connection.
  bool endsWithConnection() const {
    return m_Parser && m_Parser->is_header_done() && m_Parser->need_eof();
  }

  /// \brief Handles the orderly end of the connection.
  /// \return whether the message is complete; then call take()
  bool finishAtEnd() {
    ErrorCode Failure;
    m_Parser->put_eof(Failure);
    return !Failure && m_Parser->is_done();
  }

  /// \brief Number of buffered bytes that are not parsed yet.
  std::size_t leftOver() const { return m_Buffer.size(); }

  CallerFault fault() const { return m_Fault; }

private:
  static constexpr std::size_t ReadBytes = 16384;

  std::string_view bytes() const {
    const auto Data = m_Buffer.data();
    return {static_cast<const char *>(Data.data()), Data.size()};
  }

  bool startMessage() {
    const auto Length = headLength(bytes());
    if (Length > m_Limits.m_HeaderBytes ||
        (Length == 0 && bytes().size() > m_Limits.m_HeaderBytes)) {
      m_Fault = CallerFault::HeaderTooLong;
      return false;
    }
    if (Length == 0) {
      m_Fault = checkPartialHead(bytes());
      return false;
    }
    m_Fault = checkHead(bytes().substr(0, Length), IsRequest ? HeadKind::Request : HeadKind::Reply);
    return m_Fault == CallerFault::None && parseHead(Length);
  }

  bool parseHead(std::size_t Length) {
    m_Parser.emplace();
    m_Parser->eager(true);
    m_Parser->header_limit(std::numeric_limits<std::uint32_t>::max());
    m_Parser->body_limit(m_Limits.m_BodyBytes);
    ErrorCode Failure;
    const auto Used = m_Parser->put(asio::const_buffer(bytes().data(), Length), Failure);
    m_Buffer.consume(Used);
    return checkParseResult(Failure);
  }

  ReadState advanceBody() {
    while (!m_Parser->is_done() && m_Buffer.size() > 0) {
      ErrorCode Failure;
      const auto Used = m_Parser->put(m_Buffer.data(), Failure);
      m_Buffer.consume(Used);
      if (!checkParseResult(Failure)) {
        return ReadState::Faulty;
      }
      if (Failure == http::error::need_more || Used == 0) {
        break;
      }
    }
    if (m_Parser->is_done()) {
      return ReadState::Whole;
    }
    // An incomplete chunk header stays in the buffer; its length has the same limit as a head.
    if (m_Buffer.size() > m_Limits.m_HeaderBytes + ReadBytes) {
      m_Fault = CallerFault::Malformed;
      return ReadState::Faulty;
    }
    return ReadState::NeedMore;
  }

  bool checkParseResult(ErrorCode Failure) {
    if (!Failure || Failure == http::error::need_more) {
      return true;
    }
    m_Fault =
        Failure == http::error::body_limit ? CallerFault::BodyTooLong : CallerFault::Malformed;
    return false;
  }

  MessageLimits m_Limits;
  beast::flat_buffer m_Buffer;
  std::optional<http::parser<IsRequest, http::string_body>> m_Parser;
  CallerFault m_Fault = CallerFault::None;
};

} // namespace vanillahill::net
