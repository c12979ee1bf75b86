#include "session.hpp"

#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>

namespace vanillahill::relay {

namespace {

/// Bytes of one direction that may wait; beyond it nothing is read.
constexpr std::size_t MaxWaitingBytes = 8U << 20U;

} // namespace

Session::Session(Tcp::socket Client, std::string From, Hooks Callbacks)
    : m_Client(std::move(Client)), m_Target(m_Client.get_executor()), m_From(std::move(From)),
      m_Hooks(std::move(Callbacks)), m_Forth(m_Client, m_Target), m_Back(m_Target, m_Client) {}

void Session::start(const Tcp::endpoint &Target) {
  m_Target.async_connect(Target, [Me = shared_from_this()](const ErrorCode &Code) {
    if (Code || Me->m_Closed) {
      Me->reset();
      return;
    }
    Me->m_Connected = true;
    ErrorCode Ignored;
    Me->m_Client.set_option(Tcp::no_delay(true), Ignored);
    Me->m_Target.set_option(Tcp::no_delay(true), Ignored);
    Me->resume();
  });
}

void Session::resume() {
  if (!m_Connected || m_Closed) {
    return;
  }
  for (Direction *Way : {&m_Forth, &m_Back}) {
    read(*Way);
    write(*Way);
  }
}

void Session::read(Direction &Way) {
  const bool Full = Way.m_Waiting >= MaxWaitingBytes;
  if (m_Closed || Way.m_Reading || Way.m_Ended || Full || m_Hooks.m_Rules().m_Freeze) {
    return;
  }
  Way.m_Reading = true;
  Way.m_From.async_read_some(
      boost::asio::buffer(Way.m_Buffer),
      [Me = shared_from_this(), &Way](const ErrorCode &Code, std::size_t Size) {
        Me->onRead(Way, Code, Size);
      });
}

void Session::onRead(Direction &Way, const ErrorCode &Code, std::size_t Size) {
  Way.m_Reading = false;
  if (m_Closed) {
    return;
  }
  if (Code && Code != boost::asio::error::eof) {
    reset();
    return;
  }
  Way.m_Ended = Code == boost::asio::error::eof;
  Way.m_Waiting += Size;
  Way.m_Chunks.push_back({.m_Due = SystemClock{}.now() + m_Hooks.m_Rules().m_Delay,
                          .m_Bytes = {Way.m_Buffer.data(), Way.m_Buffer.data() + Size}});
  m_Hooks.m_OnBytes(Size);
  read(Way);
  write(Way);
}

void Session::write(Direction &Way) {
  const bool Busy = Way.m_Writing || Way.m_TimerSet || Way.m_Chunks.empty();
  if (m_Closed || Busy || m_Hooks.m_Rules().m_Freeze) {
    return;
  }
  const TimePoint Due = Way.m_Chunks.front().m_Due;
  if (Due > SystemClock{}.now()) {
    waitFor(Way, Due);
    return;
  }
  if (Way.m_Chunks.front().m_Bytes.empty()) {
    finish(Way);
    return;
  }
  writeFront(Way);
}

void Session::waitFor(Direction &Way, TimePoint Due) {
  Way.m_TimerSet = true;
  Way.m_Timer.expires_at(Due);
  Way.m_Timer.async_wait([Me = shared_from_this(), &Way](const ErrorCode &) {
    Way.m_TimerSet = false;
    Me->write(Way);
  });
}

void Session::writeFront(Direction &Way) {
  Way.m_Writing = true;
  boost::asio::async_write(Way.m_To, boost::asio::buffer(Way.m_Chunks.front().m_Bytes),
                           [Me = shared_from_this(), &Way](const ErrorCode &Code, std::size_t) {
                             Me->onWritten(Way, Code);
                           });
}

void Session::onWritten(Direction &Way, const ErrorCode &Code) {
  Way.m_Writing = false;
  if (m_Closed) {
    return;
  }
  if (Code) {
    reset();
    return;
  }
  Way.m_Waiting -= Way.m_Chunks.front().m_Bytes.size();
  Way.m_Chunks.pop_front();
  read(Way);
  write(Way);
}

void Session::finish(Direction &Way) {
  ErrorCode Ignored;
  Way.m_To.shutdown(Tcp::socket::shutdown_send, Ignored);
  Way.m_Chunks.clear();
  Way.m_Finished = true;
  if (m_Forth.m_Finished && m_Back.m_Finished) {
    close();
  }
}

void Session::reset() {
  ErrorCode Ignored;
  m_Client.set_option(Tcp::socket::linger(true, 0), Ignored);
  m_Target.set_option(Tcp::socket::linger(true, 0), Ignored);
  close();
}

void Session::close() {
  if (m_Closed) {
    return;
  }
  m_Closed = true;
  ErrorCode Ignored;
  m_Client.close(Ignored);
  m_Target.close(Ignored);
  m_Forth.m_Timer.cancel();
  m_Back.m_Timer.cancel();
  m_Hooks.m_OnClosed();
}

} // namespace vanillahill::relay
