/// \file
/// One connection through a relay, with its two directions.
#pragma once

#include "vanillahill/relay/rules.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>

namespace vanillahill::relay {

enum class SessionId : std::uint64_t {};

/// Runs on the one thread of its io_context.
class Session : public std::enable_shared_from_this<Session> {
public:
  using Tcp = boost::asio::ip::tcp;

  struct Hooks {
    /// What holds for this connection now.
    std::function<const Rules &()> m_Rules;
    std::function<void(std::size_t)> m_OnBytes;
    std::function<void()> m_OnClosed;
  };

  Session(Tcp::socket Client, std::string From, Hooks Callbacks);

  void start(const Tcp::endpoint &Target);
  /// \brief Goes on after a change of the rules.
  void resume();
  /// \brief Closes both sides so that they see a reset.
  void reset();
  const std::string &from() const { return m_From; }

private:
  using ErrorCode = boost::system::error_code;

  /// Bytes that wait until their delay is over; no bytes stand for the end of the stream.
  struct Chunk {
    TimePoint m_Due{};
    std::vector<std::uint8_t> m_Bytes;
  };

  /// The bytes of one direction.
  struct Direction {
    Direction(Tcp::socket &From, Tcp::socket &To)
        : m_From(From), m_To(To), m_Timer(From.get_executor()) {}

    Tcp::socket &m_From;
    Tcp::socket &m_To;
    boost::asio::steady_timer m_Timer;
    std::array<std::uint8_t, 16384> m_Buffer{};
    std::deque<Chunk> m_Chunks;
    std::size_t m_Waiting = 0;
    bool m_Reading = false;
    bool m_Writing = false;
    bool m_TimerSet = false;
    bool m_Ended = false;
    bool m_Finished = false;
  };

  void read(Direction &Way);
  void onRead(Direction &Way, const ErrorCode &Code, std::size_t Size);
  void write(Direction &Way);
  void writeFront(Direction &Way);
  void waitFor(Direction &Way, TimePoint Due);
  void onWritten(Direction &Way, const ErrorCode &Code);
  void finish(Direction &Way);
  void close();

  Tcp::socket m_Client;
  Tcp::socket m_Target;
  std::string m_From;
  Hooks m_Hooks;
  Direction m_Forth;
  Direction m_Back;
  bool m_Connected = false;
  bool m_Closed = false;
};

using SessionPtr = std::shared_ptr<Session>;

} // namespace vanillahill::relay
