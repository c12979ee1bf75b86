#include "vanillahill/net/detail/caller_server.hpp"

#include "vanillahill/net/detail/caller_connection.hpp"

#include <random>

namespace vanillahill::net {

namespace {

/// Pause after a failed accept, which avoids a busy loop when file descriptors run out.
constexpr std::chrono::milliseconds AcceptPause(20);
/// Number of checks for slow callers within one timeout.
constexpr int ChecksPerTimeout = 8;
constexpr Duration MinCheckPeriod = std::chrono::milliseconds(5);
/// Maximum number of connections beyond the limit that get a refusal at the same time; more are
/// closed without one.
constexpr std::size_t MaxRefusedConnections = 64;
/// Maximum number of connections over which other VMs pass requests on, each with one at a time.
/// The VM's own callers need most of its processor time and memory.
constexpr std::size_t MaxVmConnections = 256;

} // namespace

CallerServer::CallerServer(asio::io_context &Io, Acceptor Listener, EventSink Post,
                           observe::Metrics &Metrics, const Dialect &HttpDialect)
    : m_Io(Io), m_Acceptor(std::move(Listener)), m_TimeoutCheckTimer(m_Acceptor.get_executor()),
      m_Post(std::move(Post)), m_Metrics(Metrics), m_Dialect(HttpDialect) {
  ErrorCode Ignored;
  m_Port = m_Acceptor.local_endpoint(Ignored).port();
}

CallerServer::~CallerServer() = default;

void CallerServer::start() {
  asio::dispatch(m_Acceptor.get_executor(), [Self = shared_from_this()] {
    Self->accept(Self->m_Acceptor);
    if (Self->m_VmAcceptor) {
      Self->accept(*Self->m_VmAcceptor);
    }
    Self->checkCallerTimeouts();
  });
}

void CallerServer::accept(Acceptor &Listener) {
  Listener.async_accept(asio::make_strand(m_Io), [Self = shared_from_this(),
                                                  &Listener](ErrorCode Failure, Socket Stream) {
    if (Self->m_Closed.load()) {
      return;
    }
    if (!Failure) {
      Self->addConnection(std::move(Stream), &Listener != &Self->m_Acceptor);
      Self->accept(Listener);
      return;
    }
    auto Pause = std::make_shared<Timer>(Listener.get_executor(), AcceptPause);
    Pause->async_wait([Self, Pause, &Listener](ErrorCode) { Self->accept(Listener); });
  });
}

void CallerServer::addConnection(Socket Stream, bool IsFromVm) {
  const auto Open = connectionCount();
  const auto Limit = limits().m_Connections;
  if (Open >= Limit + MaxRefusedConnections) {
    m_Metrics.countFault(CallerFault::TooManyConnections);
    return;
  }
  const bool IsFull = Open >= Limit || (IsFromVm && m_VmConnections >= MaxVmConnections);
  m_VmConnections += IsFromVm ? 1 : 0;
  const auto Id = ++m_LastConnectionId;
  auto Added = std::make_shared<CallerConnection>(
      CallerConnectionOptions{.m_Id = Id, .m_IsFromVm = IsFromVm}, std::move(Stream),
      shared_from_this());
  {
    const std::lock_guard Lock(m_Mutex);
    m_Connections[Id] = Added;
  }
  if (IsFull) {
    Added->startRefusal(CallerFault::TooManyConnections);
  } else {
    Added->start();
  }
}

void CallerServer::checkCallerTimeouts() {
  const auto Period = std::max(limits().m_Timeout / ChecksPerTimeout, MinCheckPeriod);
  m_TimeoutCheckTimer.expires_after(Period);
  m_TimeoutCheckTimer.async_wait([Self = shared_from_this()](ErrorCode Failure) {
    if (Failure) {
      return;
    }
    const auto Now = SystemClock().now();
    for (const auto &Connection : Self->connections()) {
      Connection->checkTimeout(Now);
    }
    Self->checkCallerTimeouts();
  });
}

std::vector<std::shared_ptr<CallerConnection>> CallerServer::connections() const {
  const std::lock_guard Lock(m_Mutex);
  std::vector<std::shared_ptr<CallerConnection>> All;
  All.reserve(m_Connections.size());
  for (const auto &[Id, Connection] : m_Connections) {
    All.push_back(Connection);
  }
  return All;
}

void CallerServer::applySettings(const SiteSettings &Settings) {
  auto Routes = routes();
  if (!Routes || !Routes->isMadeOf(Settings)) {
    Routes = std::make_shared<const RouteTable>(Settings, std::random_device{}());
  }
  const std::lock_guard Lock(m_Mutex);
  m_Limits = Settings.m_Callers;
  m_Routes = std::move(Routes);
}

void CallerServer::answer(kernel::Answer &Answer) {
  OpenRequest Open;
  {
    const std::lock_guard Lock(m_Mutex);
    const auto Found = m_Requests.find(Answer.m_Request);
    if (Found == m_Requests.end()) {
      return;
    }
    Open = std::move(Found->second);
    m_Requests.erase(Found);
    if (Answer.m_Outcome == kernel::Outcome::Completed) {
      m_Completed.add(Answer.m_Request, Open.m_Request);
    }
  }
  m_Metrics.observeLatency(Open.m_Request->m_Kind, Answer.m_Outcome,
                           SystemClock().now() - Open.m_Arrived);
  const auto Id = Answer.m_Request;
  Open.m_Connection->answer(Id, std::move(Answer));
}

CallerRequestPtr CallerServer::findRequest(RequestId Id) const {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Requests.find(Id);
  return Found == m_Requests.end() ? nullptr : Found->second.m_Request;
}

CallerRequestPtr CallerServer::findCompleted(RequestId Id) const {
  const std::lock_guard Lock(m_Mutex);
  return m_Completed.find(Id);
}

bool CallerServer::isRelayed(RequestId Id) const {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Requests.find(Id);
  return Found != m_Requests.end() && Found->second.m_IsRelayed;
}

void CallerServer::leave() { m_Leaving.store(true); }

void CallerServer::close() {
  m_Leaving.store(true);
  m_Closed.store(true);
  asio::post(m_Acceptor.get_executor(), [Self = shared_from_this()] {
    ErrorCode Ignored;
    Self->m_Acceptor.close(Ignored);
    if (Self->m_VmAcceptor) {
      Self->m_VmAcceptor->close(Ignored);
    }
    for (const auto &Connection : Self->connections()) {
      Connection->closeIfIdle();
    }
  });
}

void CallerServer::closeConnections() {
  for (const auto &Connection : connections()) {
    Connection->closeNow();
  }
}

std::size_t CallerServer::connectionCount() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Connections.size();
}

std::size_t CallerServer::requestCount() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Requests.size();
}

std::shared_ptr<const RouteTable> CallerServer::routes() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Routes;
}

CallerLimits CallerServer::limits() const {
  const std::lock_guard Lock(m_Mutex);
  return m_Limits;
}

void CallerServer::submitRequest(RequestId Id, std::shared_ptr<CallerConnection> Connection,
                                 CallerRequestPtr Request, bool IsRelayed) {
  kernel::RequestArrived Arrived{.m_Request = Id,
                                 .m_Service = Request->m_Service,
                                 .m_Kind = Request->m_Kind,
                                 .m_Key = Request->m_Key,
                                 .m_KeyAge = Request->m_KeyAge,
                                 .m_TimeLeft = Request->m_TimeLeft,
                                 .m_Tenant = Request->m_Tenant};
  {
    const std::lock_guard Lock(m_Mutex);
    m_Requests[Id] = {std::move(Connection), std::move(Request), SystemClock().now(), IsRelayed};
  }
  m_Post(std::move(Arrived));
}

RequestOrigin CallerServer::originOf(bool IsFromVm, const RouteTable *Routes) const {
  const bool NeedsKeys = Routes != nullptr && Routes->hasTenants();
  return {.m_IsFromVm = IsFromVm,
          .m_MayJudgeKeys = !NeedsKeys || !m_MayJudgeKeys || m_MayJudgeKeys()};
}

void CallerServer::abandonRequest(RequestId Id) {
  {
    const std::lock_guard Lock(m_Mutex);
    if (m_Requests.erase(Id) == 0) {
      return;
    }
  }
  m_Post(kernel::CallerGone{Id});
}

void CallerServer::removeConnection(std::uint64_t Id) {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Connections.find(Id);
  if (Found != m_Connections.end()) {
    m_VmConnections -= Found->second->isFromVm() ? 1 : 0;
    m_Connections.erase(Found);
  }
}

} // namespace vanillahill::net
