/// \file
/// Test peers on loopback: a blocking client and a scripted backend server.
#pragma once

#include "vanillahill/net/entry.hpp"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace vanillahill::net::fakes {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using BackendRequest = http::request<http::string_body>;
using CallerReply = http::response<http::string_body>;

inline Tcp::endpoint loopback(std::uint16_t Port) {
  return {asio::ip::address_v4::loopback(), Port};
}

/// A blocking connection of a caller.
class Client {
public:
  explicit Client(std::uint16_t Port) { m_Stream.connect(loopback(Port)); }

  /// Sends bytes as they are.
  void send(std::string_view Text) {
    boost::system::error_code Ignored;
    asio::write(m_Stream, asio::buffer(Text.data(), Text.size()), Ignored);
  }

  /// Waits for one reply. Throws if the connection ends first.
  CallerReply receive() {
    CallerReply Message;
    http::read(m_Stream, m_Buffer, Message);
    return Message;
  }

  CallerReply ask(std::string_view Text) {
    send(Text);
    return receive();
  }

  /// Waits for the end of the connection.
  void awaitEnd() {
    boost::system::error_code Failure;
    std::array<char, 4096> Dropped{};
    while (!Failure) {
      m_Stream.read_some(asio::buffer(Dropped), Failure);
    }
  }

  Tcp::socket &socket() { return m_Stream; }

private:
  asio::io_context m_Io;
  Tcp::socket m_Stream{m_Io};
  boost::beast::flat_buffer m_Buffer;
};

/// A backend server: each connection has a thread that answers requests with given bytes.
class Backend {
public:
  /// Ends a reply after which the connection is closed.
  static constexpr std::string_view CloseMark = "<closes here>";
  /// Returns the raw reply to a request; an empty one closes the connection.
  using Script = std::function<std::string(const BackendRequest &)>;

  explicit Backend(Script ReplyScript)
      : m_Script(std::move(ReplyScript)), m_Acceptor(m_Io, loopback(0)),
        m_Thread([this] { accept(); }) {}

  ~Backend() {
    m_Stopping = true;
    // Wakes the accepting thread.
    boost::system::error_code Ignored;
    Tcp::socket Waker(m_Io);
    Waker.connect(loopback(port()), Ignored);
    m_Thread.join();
    for (auto &Stream : m_Streams) {
      Stream->shutdown(Tcp::socket::shutdown_both, Ignored);
    }
    for (auto &ConnectionThread : m_ConnectionThreads) {
      ConnectionThread.join();
    }
  }
  Backend(const Backend &) = delete;
  Backend &operator=(const Backend &) = delete;

  std::uint16_t port() const { return m_Acceptor.local_endpoint().port(); }
  int accepted() const { return m_Accepted; }
  int requests() const { return m_Requests; }
  int openConnections() const { return m_OpenConnections; }
  int maxOpenConnections() const { return m_MaxOpenConnections; }

  /// A complete reply to a request.
  static std::string reply(const BackendRequest &Request, std::string_view Body,
                           std::string_view MoreHeaders = {}, std::string_view Status = "200 OK") {
    return "HTTP/1.1 " + std::string(Status) +
           "\r\nVH-Exchange: " + std::string(Request["VH-Exchange"]) + "\r\n" +
           std::string(MoreHeaders) + "Content-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + std::string(Body);
  }

private:
  void accept() {
    while (true) {
      boost::system::error_code Failure;
      auto Stream = std::make_shared<Tcp::socket>(m_Io);
      m_Acceptor.accept(*Stream, Failure);
      if (m_Stopping) {
        return;
      }
      ++m_Accepted;
      m_MaxOpenConnections = std::max(m_MaxOpenConnections.load(), ++m_OpenConnections);
      m_Streams.push_back(Stream);
      m_ConnectionThreads.emplace_back([this, Stream] { serve(*Stream); });
    }
  }

  void serve(Tcp::socket &Stream) {
    boost::beast::flat_buffer Buffer;
    boost::system::error_code Failure;
    while (true) {
      BackendRequest Request;
      http::read(Stream, Buffer, Request, Failure);
      if (Failure) {
        break;
      }
      ++m_Requests;
      auto Text = m_Script(Request);
      const bool HasMark = Text.ends_with(CloseMark);
      const bool IsLast = Text.empty() || HasMark;
      if (HasMark) {
        Text.resize(Text.size() - CloseMark.size());
      }
      asio::write(Stream, asio::buffer(Text), Failure);
      if (IsLast) {
        break;
      }
    }
    --m_OpenConnections;
    Stream.shutdown(Tcp::socket::shutdown_both, Failure);
  }

  Script m_Script;
  asio::io_context m_Io;
  Tcp::acceptor m_Acceptor;
  std::atomic<bool> m_Stopping = false;
  std::atomic<int> m_Accepted = 0;
  std::atomic<int> m_Requests = 0;
  std::atomic<int> m_OpenConnections = 0;
  std::atomic<int> m_MaxOpenConnections = 0;
  std::vector<std::shared_ptr<Tcp::socket>> m_Streams;
  std::vector<std::thread> m_ConnectionThreads;
  std::thread m_Thread;
};

/// Settings of one service "desk" with the kinds "look" (idempotent) and "post".
inline SiteSettings deskSettings(const std::vector<std::uint16_t> &Ports) {
  SiteSettings Site{.m_Site = "test", .m_DataCenters = {"dc"}};
  ServiceSettings Service{.m_Id = idOf<ServiceId>("desk"), .m_Name = "desk"};
  Service.m_Kinds.push_back(
      {.m_Id = idOf<KindId>("desk/look"), .m_Name = "look", .m_Idempotent = true});
  Service.m_Kinds.push_back({.m_Id = idOf<KindId>("desk/post"), .m_Name = "post"});
  for (const auto Port : Ports) {
    const auto Name = "s" + std::to_string(Service.m_Servers.size() + 1);
    Service.m_Servers.push_back({.m_Id = idOf<ServerId>("desk/" + Name),
                                 .m_Name = Name,
                                 .m_Address = "127.0.0.1:" + std::to_string(Port),
                                 .m_DataCenter = "dc"});
  }
  Service.m_Policy.m_Name = "naive";
  Site.m_Services.push_back(std::move(Service));
  Site.m_Membership.m_MaxVms = 1;
  // A VM without peers waits this long for others before it serves.
  Site.m_Membership.m_LeaseMargin = std::chrono::milliseconds(1);
  return Site;
}

/// An entry process inside the test, stopped at the end.
class RunningEntry {
public:
  explicit RunningEntry(SiteSettings Site) {
    EntryOptions Options;
    Options.m_Vm.m_Name = "e1";
    Options.m_Vm.m_CallerAddress = "127.0.0.1:0";
    Options.m_Vm.m_AdminAddress = "127.0.0.1:0";
    Options.m_Vm.m_PeerAddress = "127.0.0.1:0";
    Options.m_Vm.m_PlatformAddress = "127.0.0.1:1";
    Options.m_Vm.m_AdminToken = "secret-token";
    Options.m_Vm.m_Seed = 1;
    Options.m_HandleSignals = true;
    Options.m_Settings = std::make_shared<const SiteSettings>(std::move(Site));
    m_Entry = Entry::open(Options).value();
    m_Thread = std::thread([this] { m_Entry->run(); });
  }

  ~RunningEntry() {
    if (m_Thread.joinable()) {
      m_Entry->requestStop();
      m_Thread.join();
    }
  }
  RunningEntry(const RunningEntry &) = delete;
  RunningEntry &operator=(const RunningEntry &) = delete;

  Entry *operator->() { return m_Entry.get(); }

  /// Waits until the entry is ready. There is no timeout here; the test's time limit applies.
  void awaitReady() {
    while (admin("/ready").result_int() != 200U) {
      std::this_thread::yield();
    }
  }

  /// Waits until the entry has stopped by itself.
  void awaitStopped() { m_Thread.join(); }

  /// Requests one page of the admin address.
  CallerReply admin(std::string_view Path, std::string_view Token = "secret-token") {
    Client Operator(m_Entry->adminPort());
    return Operator.ask("GET " + std::string(Path) +
                        " HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + std::string(Token) +
                        "\r\n\r\n");
  }

private:
  std::unique_ptr<Entry> m_Entry;
  std::thread m_Thread;
};

} // namespace vanillahill::net::fakes
