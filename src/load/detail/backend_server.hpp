/// \file
/// The sockets of one stand-in backend server around its ServerModel. One thread.
#pragma once

#include "vanillahill/load/backend_host.hpp"
#include "vanillahill/load/ledger.hpp"
#include "vanillahill/load/rate_window.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <set>
#include <unordered_map>

namespace vanillahill::load::detail {

class BackendConnection;

using ConnectionSet = std::set<BackendConnection *>;
/// Connections may outlive their server while the process ends.
using ConnectionSetPtr = std::shared_ptr<ConnectionSet>;

/// What all servers of a process share.
struct BackendShared {
  BackendHostOptions m_Options;
  Ledger m_Ledger;
  Engine m_Random{};
  boost::asio::io_context m_Io{1};
};

/// Counts of one server since the last reset.
struct BackendCounts {
  std::uint64_t m_Started = 0;
  std::uint64_t m_Ended = 0;
  std::uint64_t m_Refused = 0;
  std::uint64_t m_Cancelled = 0;
  std::uint64_t m_Connections = 0;
  std::uint64_t m_MostConnections = 0;
  std::uint64_t m_RefusedConnections = 0;
  std::uint32_t m_MostRunning = 0;
  std::uint32_t m_MostQueued = 0;
  RateWindow m_Probes;
};

/// A request as it was read from a connection.
struct BackendRequest {
  std::string m_Kind;
  std::string m_Request;
  std::string m_Operation;
  std::string m_Vm;
  std::string m_Exchange;
  Duration m_TimeLeft = Duration::max();
};

/// A reply to be written; corrupted as the faults say.
struct BackendReply {
  std::uint32_t m_Status = 200;
  bool m_NotRun = false;
  bool m_Leaving = false;
  std::string m_Exchange;
  std::string m_Body;
  ReplyFault m_Fault = ReplyFault::None;
  Duration m_Delay{};
};

/// One listening stand-in server.
class BackendServer {
public:
  BackendServer(BackendShared &Shared, std::string Name, std::uint32_t Slots, std::uint64_t Seed);

  /// \brief Listens on a port; 0 for any. Throws boost::system::system_error.
  void open(std::uint16_t Port);
  void accept();

  /// \brief Takes a whole request. \return its ticket
  Ticket submit(const std::shared_ptr<BackendConnection> &From, const BackendRequest &Request);
  /// \brief The connection of a request closed.
  void cancel(Ticket Id);
  /// \brief Answers a measuring request. \return the health
  HealthReport probe(const BackendRequest &Request);
  void begin(const Fault &What);
  /// \brief The open connections; each removes itself at its end.
  const ConnectionSetPtr &connectionSet() const { return m_Connections; }

  const std::string &name() const { return m_Name; }
  std::string address() const;
  std::uint32_t slots() const { return m_Slots; }
  const BackendCounts &counts() const { return m_Counts; }
  const ServerModel &model() const { return m_Model; }
  std::size_t connections() const { return m_Connections->size(); }
  void resetCounts() { m_Counts = {}; }
  BackendShared &shared() { return m_Shared; }

private:
  struct Pending {
    std::weak_ptr<BackendConnection> m_From;
    BackendRequest m_Request;
  };

  void accepted(boost::asio::ip::tcp::socket Socket);
  void carryOut(const std::vector<Outcome> &Outcomes);
  void finish(Ticket Id, OutcomeKind Kind);
  BackendReply makeReply(const BackendRequest &Request, OutcomeKind Kind);
  Duration drawTime(const std::string &Kind);
  void record(history::BackendEvent Event, const BackendRequest &Request);
  void arm();
  void closeAll();

  BackendShared &m_Shared;
  std::string m_Name;
  std::uint32_t m_Slots;
  ServerModel m_Model;
  boost::asio::ip::tcp::acceptor m_Acceptor;
  boost::asio::steady_timer m_Timer;
  Ticket m_NextTicket = 1;
  std::unordered_map<Ticket, Pending> m_Pending;
  ConnectionSetPtr m_Connections = std::make_shared<ConnectionSet>();
  BackendCounts m_Counts;
  BackendReply m_LastReply;
};

/// \brief The monotonic time now.
inline TimePoint timeNow() { return SystemClock().now(); }

} // namespace vanillahill::load::detail
