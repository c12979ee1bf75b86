/// \file
/// Time that an entry process adds: the same paced load straight to a backend server and through an
/// entry process, in turns in one run. Latency counts from the intended send time.
/// Usage: bench-entry [REQUESTS_PER_SECOND] [ROUNDS]
#include "vanillahill/net/entry.hpp"

#include "vanillahill/observe/log.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <thread>
#include <vector>

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace vanillahill;
using Tcp = asio::ip::tcp;

constexpr int Connections = 8;
constexpr int RoundSeconds = 2;

Tcp::endpoint loopback(std::uint16_t Port) { return {asio::ip::address_v4::loopback(), Port}; }

/// Answers each request at once, with a thread for each connection.
class Backend {
public:
  Backend() : m_Acceptor(m_Io, loopback(0)) {
    std::thread([this] { accept(); }).detach();
  }
  std::uint16_t port() const { return m_Acceptor.local_endpoint().port(); }

private:
  void accept() {
    while (true) {
      auto Stream = std::make_shared<Tcp::socket>(m_Io);
      m_Acceptor.accept(*Stream);
      Stream->set_option(Tcp::no_delay(true));
      std::thread([Stream] { serve(*Stream); }).detach();
    }
  }

  static void serve(Tcp::socket &Stream) {
    boost::beast::flat_buffer Buffer;
    boost::system::error_code Failure;
    while (!Failure) {
      http::request<http::string_body> Request;
      http::read(Stream, Buffer, Request, Failure);
      http::response<http::string_body> Reply(http::status::ok, 11);
      Reply.set("VH-Exchange", Request["VH-Exchange"]);
      Reply.body() = "0123456789012345678901234567890123456789012345678901234567890123";
      Reply.prepare_payload();
      if (!Failure) {
        http::write(Stream, Reply, Failure);
      }
    }
  }

  asio::io_context m_Io;
  Tcp::acceptor m_Acceptor;
};

std::vector<double> paceOne(std::uint16_t Port, double Rate, int Phase) {
  asio::io_context Io;
  Tcp::socket Stream(Io);
  Stream.connect(loopback(Port));
  Stream.set_option(Tcp::no_delay(true));
  boost::beast::flat_buffer Buffer;
  const std::string Text = "GET /desk/look HTTP/1.1\r\nHost: vh\r\n\r\n";
  const auto Gap =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Connections / Rate));
  auto Intended = SystemClock().now() + Gap * Phase / Connections;
  const auto Until = Intended + std::chrono::seconds(RoundSeconds);
  std::vector<double> Micros;
  for (; Intended < Until; Intended += Gap) {
    std::this_thread::sleep_until(Intended);
    asio::write(Stream, asio::buffer(Text));
    http::response<http::string_body> Reply;
    http::read(Stream, Buffer, Reply);
    if (Reply.result() != http::status::ok) {
      std::fprintf(stderr, "status %u\n", Reply.result_int());
      std::exit(1);
    }
    Micros.push_back(
        std::chrono::duration<double, std::micro>(SystemClock().now() - Intended).count());
  }
  return Micros;
}

std::vector<double> pace(std::uint16_t Port, double Rate) {
  std::vector<std::vector<double>> Each(Connections);
  std::vector<std::thread> Callers;
  Callers.reserve(Connections);
  for (int Index = 0; Index < Connections; ++Index) {
    Callers.emplace_back([&Each, Port, Rate, Index] { Each[Index] = paceOne(Port, Rate, Index); });
  }
  std::vector<double> All;
  for (int Index = 0; Index < Connections; ++Index) {
    Callers[Index].join();
    All.insert(All.end(), Each[Index].begin(), Each[Index].end());
  }
  std::sort(All.begin(), All.end());
  return All;
}

double quantile(const std::vector<double> &Sorted, double Share) {
  return Sorted[static_cast<std::size_t>(Share * static_cast<double>(Sorted.size() - 1))];
}

SiteSettings siteSettings(std::uint16_t Port) {
  SiteSettings Site{.m_Site = "bench", .m_DataCenters = {"dc"}};
  ServiceSettings Service{.m_Id = idOf<ServiceId>("desk"), .m_Name = "desk"};
  Service.m_Kinds.push_back(
      {.m_Id = idOf<KindId>("desk/look"), .m_Name = "look", .m_Idempotent = true});
  Service.m_Servers.push_back({.m_Id = idOf<ServerId>("desk/s1"),
                               .m_Name = "s1",
                               .m_Address = "127.0.0.1:" + std::to_string(Port),
                               .m_DataCenter = "dc",
                               .m_Slots = Connections * 2});
  Site.m_Services.push_back(std::move(Service));
  Site.m_Membership.m_MaxVms = 1;
  Site.m_Membership.m_LeaseMargin = std::chrono::milliseconds(1);
  return Site;
}

} // namespace

int main(int Count, char **Arguments) {
  const double Rate = Count > 1 ? std::atof(Arguments[1]) : 2000;
  const int Rounds = Count > 2 ? std::atoi(Arguments[2]) : 5;
  observe::setLogLevel("error");
  Backend Server;
  net::EntryOptions Options;
  Options.m_Vm.m_Name = "e1";
  Options.m_Vm.m_CallerAddress = "127.0.0.1:0";
  Options.m_Vm.m_AdminAddress = "127.0.0.1:0";
  Options.m_Vm.m_PeerAddress = "127.0.0.1:0";
  Options.m_Vm.m_PlatformAddress = "127.0.0.1:1";
  Options.m_Settings = std::make_shared<const SiteSettings>(siteSettings(Server.port()));
  const auto Vm = net::Entry::open(Options).value();
  std::thread Serving([&Vm] { Vm->run(); });
  while (Vm->status().m_State != peer::VmState::Serving) {
    std::this_thread::yield();
  }
  std::printf("%.0f requests a second, %d connections; microseconds\n", Rate, Connections);
  std::printf("round   way      p50      p99    p99.9\n");
  for (int Round = 0; Round < Rounds; ++Round) {
    const auto Direct = pace(Server.port(), Rate);
    const auto Through = pace(Vm->callerPort(), Rate);
    for (const auto &[Name, All] : {std::pair("direct", &Direct), std::pair("entry", &Through)}) {
      std::printf("%5d %6s %8.0f %8.0f %8.0f\n", Round, Name, quantile(*All, 0.5),
                  quantile(*All, 0.99), quantile(*All, 0.999));
    }
    std::printf("%5d  added %8.0f %8.0f %8.0f\n", Round,
                quantile(Through, 0.5) - quantile(Direct, 0.5),
                quantile(Through, 0.99) - quantile(Direct, 0.99),
                quantile(Through, 0.999) - quantile(Direct, 0.999));
  }
  Vm->requestStop();
  Serving.join();
  // Threads of the backend server wait on their connections.
  std::fflush(stdout);
  std::_Exit(0);
}
