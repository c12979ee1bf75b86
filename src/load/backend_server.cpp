#include "detail/backend_server.hpp"

#include "detail/backend_connection.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace vanillahill::load::detail {

namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

ServerModelOptions modelOptions(const BackendHostOptions &Options, std::uint32_t Slots,
                                std::uint64_t Seed) {
  return {.m_Slots = Slots,
          .m_QueueLimit = Options.m_QueueLimit,
          .m_HealthLag = Options.m_HealthLag,
          .m_Seed = Seed};
}

} // namespace

BackendServer::BackendServer(BackendShared &Shared, std::string Name, std::uint32_t Slots,
                             std::uint64_t Seed)
    : m_Shared(Shared), m_Name(std::move(Name)), m_Slots(Slots),
      m_Model(modelOptions(Shared.m_Options, Slots, Seed)), m_Acceptor(Shared.m_Io),
      m_Timer(Shared.m_Io) {}

void BackendServer::open(std::uint16_t Port) {
  const tcp::endpoint Place(boost::asio::ip::make_address(m_Shared.m_Options.m_Host), Port);
  m_Acceptor.open(Place.protocol());
  m_Acceptor.set_option(boost::asio::socket_base::reuse_address(true));
  m_Acceptor.bind(Place);
  m_Acceptor.listen();
}

std::string BackendServer::address() const {
  const tcp::endpoint Place = m_Acceptor.local_endpoint();
  return fmt::format("{}:{}", Place.address().to_string(), Place.port());
}

void BackendServer::accept() {
  m_Acceptor.async_accept([this](const ErrorCode &Failure, tcp::socket Socket) {
    if (!m_Acceptor.is_open()) {
      return;
    }
    if (!Failure) {
      accepted(std::move(Socket));
    }
    accept();
  });
}

void BackendServer::accepted(tcp::socket Socket) {
  if (m_Model.isDown() || m_Connections->size() >= m_Shared.m_Options.m_MaxConnections) {
    ++m_Counts.m_RefusedConnections;
    ErrorCode Ignored;
    Socket.set_option(boost::asio::socket_base::linger(true, 0), Ignored);
    return;
  }
  const auto Connection = std::make_shared<BackendConnection>(*this, std::move(Socket));
  ++m_Counts.m_Connections;
  m_Counts.m_MostConnections =
      std::max<std::uint64_t>(m_Counts.m_MostConnections, m_Connections->size());
  Connection->start();
}

Ticket BackendServer::submit(const std::shared_ptr<BackendConnection> &From,
                             const BackendRequest &Request) {
  const TimePoint Now = timeNow();
  const Ticket Id = m_NextTicket++;
  m_Pending[Id] = {From, Request};
  const bool Limited = Request.m_TimeLeft != Duration::max();
  std::vector<Outcome> Outcomes;
  m_Model.arrive(Now,
                 {.m_Ticket = Id,
                  .m_Time = drawTime(Request.m_Kind),
                  .m_Deadline = Limited ? Now + Request.m_TimeLeft : TimePoint::max()},
                 Outcomes);
  m_Counts.m_MostQueued = std::max(m_Counts.m_MostQueued, m_Model.queued());
  carryOut(Outcomes);
  return m_Pending.contains(Id) ? Id : 0;
}

void BackendServer::cancel(Ticket Id) {
  std::vector<Outcome> Outcomes;
  const bool Found = m_Model.cancel(timeNow(), Id, Outcomes);
  const auto Entry = m_Pending.find(Id);
  if (Found && Entry != m_Pending.end()) {
    ++m_Counts.m_Cancelled;
    record(history::BackendEvent::Cancel, Entry->second.m_Request);
    m_Pending.erase(Entry);
  }
  carryOut(Outcomes);
}

HealthReport BackendServer::probe(const BackendRequest &Request) {
  const TimePoint Now = timeNow();
  m_Counts.m_Probes.add(Now);
  record(history::BackendEvent::Probe, Request);
  return m_Model.health(Now);
}

void BackendServer::begin(const Fault &What) {
  std::vector<Outcome> Outcomes;
  m_Model.begin(timeNow(), What, Outcomes);
  if (What.m_Kind == FaultKind::Down) {
    closeAll();
  }
  carryOut(Outcomes);
}

void BackendServer::closeAll() {
  const ConnectionSet Open = *m_Connections;
  for (BackendConnection *Connection : Open) {
    Connection->reset();
  }
}

void BackendServer::carryOut(const std::vector<Outcome> &Outcomes) {
  for (const Outcome &Entry : Outcomes) {
    if (Entry.m_Kind != OutcomeKind::Started) {
      finish(Entry.m_Ticket, Entry.m_Kind);
      continue;
    }
    const auto Found = m_Pending.find(Entry.m_Ticket);
    if (Found != m_Pending.end()) {
      ++m_Counts.m_Started;
      record(history::BackendEvent::Start, Found->second.m_Request);
    }
  }
  m_Counts.m_MostRunning = std::max(m_Counts.m_MostRunning, m_Model.running());
  arm();
}

void BackendServer::finish(Ticket Id, OutcomeKind Kind) {
  const auto Found = m_Pending.find(Id);
  if (Found == m_Pending.end()) {
    return;
  }
  const Pending Done = Found->second;
  m_Pending.erase(Found);
  const bool Ran = Kind == OutcomeKind::Completed;
  ++(Ran ? m_Counts.m_Ended : m_Counts.m_Refused);
  record(Ran ? history::BackendEvent::End : history::BackendEvent::Refuse, Done.m_Request);
  const std::shared_ptr<BackendConnection> To = Done.m_From.lock();
  if (!To) {
    return;
  }
  if (Kind == OutcomeKind::Reset) {
    To->reset();
    return;
  }
  To->reply(makeReply(Done.m_Request, Kind));
}

BackendReply BackendServer::makeReply(const BackendRequest &Request, OutcomeKind Kind) {
  BackendReply Reply;
  Reply.m_Exchange = Request.m_Exchange;
  Reply.m_Leaving = m_Model.isLeaving();
  if (Kind != OutcomeKind::Completed) {
    Reply.m_NotRun = Kind == OutcomeKind::NotRun;
    Reply.m_Status = Reply.m_NotRun ? 503 : 500;
    return Reply;
  }
  const nlohmann::ordered_json Body{{"request", Request.m_Request},
                                    {"operation", Request.m_Operation},
                                    {"server", m_Name},
                                    {"exchange", Request.m_Exchange},
                                    {"filler", std::string(m_Shared.m_Options.m_BodyBytes, '.')},
                                    {"end", true}};
  Reply.m_Body = Body.dump(-1, ' ', true, nlohmann::ordered_json::error_handler_t::replace);
  const ReplyFault Corruption = m_Model.replyFault(Reply.m_Delay);
  if (Corruption == ReplyFault::Swap && !m_LastReply.m_Body.empty()) {
    return m_LastReply;
  }
  m_LastReply = Reply;
  m_LastReply.m_Delay = {};
  Reply.m_Fault = Corruption;
  return Reply;
}

Duration BackendServer::drawTime(const std::string &Kind) {
  ServiceTimeOptions Options = m_Shared.m_Options.m_Time;
  for (const KindTime &Entry : m_Shared.m_Options.m_KindTimes) {
    if (Entry.m_Kind == Kind) {
      Options.m_Mean = Entry.m_Mean;
    }
  }
  return ServiceTime(Options).draw(m_Shared.m_Random);
}

void BackendServer::record(history::BackendEvent Event, const BackendRequest &Request) {
  m_Shared.m_Ledger.write(timeNow(), history::Backend{.m_Event = Event,
                                                      .m_Request = Request.m_Request,
                                                      .m_Operation = Request.m_Operation,
                                                      .m_Server = m_Name,
                                                      .m_Vm = Request.m_Vm,
                                                      .m_Exchange = Request.m_Exchange});
}

void BackendServer::arm() {
  const std::optional<TimePoint> Next = m_Model.nextEvent();
  if (!Next || *Next == TimePoint::max()) {
    m_Timer.cancel();
    return;
  }
  m_Timer.expires_at(*Next);
  m_Timer.async_wait([this](const ErrorCode &Failure) {
    if (Failure) {
      return;
    }
    std::vector<Outcome> Outcomes;
    m_Model.advance(timeNow(), Outcomes);
    carryOut(Outcomes);
  });
}

} // namespace vanillahill::load::detail
