#include "detail/backend_control.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace vanillahill::load::detail {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Json = nlohmann::ordered_json;

/// One exchange on the control port.
struct Exchange {
  explicit Exchange(tcp::socket Peer) : m_Socket(std::move(Peer)) {}
  tcp::socket m_Socket;
  boost::beast::flat_buffer m_Buffer;
  http::request<http::string_body> m_Request;
  http::response<http::string_body> m_Response;
};

} // namespace

BackendControl::BackendControl(BackendShared &Shared, std::deque<BackendServer> &Servers)
    : m_Shared(Shared), m_Servers(Servers), m_Acceptor(Shared.m_Io) {
  const tcp::endpoint Place(boost::asio::ip::make_address(Shared.m_Options.m_Host),
                            Shared.m_Options.m_ControlPort);
  m_Acceptor.open(Place.protocol());
  m_Acceptor.set_option(boost::asio::socket_base::reuse_address(true));
  m_Acceptor.bind(Place);
  m_Acceptor.listen();
}

void BackendControl::start(const std::vector<Fault> &Faults) {
  for (const Fault &What : Faults) {
    schedule(What);
  }
  accept();
}

std::string BackendControl::addresses() const {
  const tcp::endpoint Place = m_Acceptor.local_endpoint();
  Json Servers = Json::array();
  for (const BackendServer &Server : m_Servers) {
    Servers.push_back(
        {{"name", Server.name()}, {"address", Server.address()}, {"slots", Server.slots()}});
  }
  const Json All{{"control", fmt::format("{}:{}", Place.address().to_string(), Place.port())},
                 {"servers", Servers}};
  return All.dump(2);
}

std::string BackendControl::stats() const {
  Json Servers = Json::array();
  for (const BackendServer &Server : m_Servers) {
    const BackendCounts &Counts = Server.counts();
    Servers.push_back({{"name", Server.name()},
                       {"started", Counts.m_Started},
                       {"ended", Counts.m_Ended},
                       {"refused", Counts.m_Refused},
                       {"cancelled", Counts.m_Cancelled},
                       {"running", Server.model().running()},
                       {"queued", Server.model().queued()},
                       {"most_running", Counts.m_MostRunning},
                       {"most_queued", Counts.m_MostQueued},
                       {"connections", Server.connections()},
                       {"most_connections", Counts.m_MostConnections},
                       {"connections_opened", Counts.m_Connections},
                       {"connections_refused", Counts.m_RefusedConnections},
                       {"probes", Counts.m_Probes.total()},
                       {"most_probes_per_second", Counts.m_Probes.mostPerSecond()}});
  }
  return Json{{"servers", Servers}}.dump(2);
}

void BackendControl::accept() {
  m_Acceptor.async_accept([this](const ErrorCode &Failure, tcp::socket Socket) {
    if (!Failure) {
      serve(std::move(Socket));
    }
    accept();
  });
}

void BackendControl::serve(tcp::socket Socket) {
  const auto One = std::make_shared<Exchange>(std::move(Socket));
  http::async_read(
      One->m_Socket, One->m_Buffer, One->m_Request,
      [this, One](const ErrorCode &Failure, std::size_t) {
        if (Failure) {
          return;
        }
        const Reply Answer =
            handle(One->m_Request.method_string(), One->m_Request.target(), One->m_Request.body());
        One->m_Response.result(Answer.m_Status);
        One->m_Response.set(http::field::content_type, "application/json");
        One->m_Response.keep_alive(false);
        One->m_Response.body() = Answer.m_Body + "\n";
        One->m_Response.prepare_payload();
        http::async_write(One->m_Socket, One->m_Response, [One](const ErrorCode &, std::size_t) {});
      });
}

BackendControl::Reply BackendControl::handle(std::string_view Method, std::string_view Target,
                                             std::string_view Body) {
  if (Method == "GET" && Target == "/addresses") {
    return {.m_Status = 200, .m_Body = addresses()};
  }
  if (Method == "GET" && Target == "/stats") {
    m_Shared.m_Ledger.flush();
    return {.m_Status = 200, .m_Body = stats()};
  }
  if (Method == "POST" && Target == "/reset") {
    for (BackendServer &Server : m_Servers) {
      Server.resetCounts();
    }
    return {.m_Status = 200, .m_Body = "{}"};
  }
  if (Method != "PUT" || Target != "/fault") {
    return {.m_Status = 404, .m_Body = R"({"error":"no such call"})"};
  }
  const Result<std::vector<Fault>> Faults = parseFaults(Body, "PUT /fault");
  if (!Faults) {
    return {.m_Status = 400, .m_Body = Json{{"error", toString(Faults.error())}}.dump()};
  }
  for (const Fault &What : *Faults) {
    schedule(What);
  }
  return {.m_Status = 200, .m_Body = Json{{"faults", Faults->size()}}.dump()};
}

void BackendControl::schedule(const Fault &What) {
  const auto Timer = std::make_shared<boost::asio::steady_timer>(m_Shared.m_Io);
  Timer->expires_after(What.m_At);
  Timer->async_wait([this, Timer, What](const ErrorCode &Failure) {
    if (Failure) {
      return;
    }
    strike(What);
    if (What.m_Times > 1) {
      Fault Again = What;
      Again.m_At = What.m_Every;
      --Again.m_Times;
      schedule(Again);
    }
  });
}

void BackendControl::strike(const Fault &What) {
  for (BackendServer &Server : m_Servers) {
    if (What.matches(Server.name())) {
      Server.begin(What);
    }
  }
}

} // namespace vanillahill::load::detail
