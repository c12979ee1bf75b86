#include "vanillahill/net/detail/backend_pool.hpp"

#include "vanillahill/net/detail/backend_connection.hpp"

#include <algorithm>

namespace vanillahill::net {

namespace {

/// Probes have an id range of their own, above the ids of attempts.
constexpr std::uint64_t FirstProbeId = 1ULL << 63U;
/// Connections to one VM, over which requests are passed on.
constexpr std::size_t MaxConnectionsToVm = 64;

} // namespace

BackendPool::BackendPool(asio::io_context &Io, std::string VmName, EventSink Post,
                         observe::Metrics &Metrics, BackendPoolOptions Options)
    : m_Io(Io), m_VmName(std::move(VmName)), m_Post(std::move(Post)), m_Metrics(Metrics),
      m_Options(Options) {}

BackendPool::~BackendPool() = default;

void BackendPool::applySettings(const SiteSettings &Settings) {
  PendingActions Actions;
  {
    const std::lock_guard Lock(m_Mutex);
    std::set<ServerId> Listed;
    for (const auto &Service : Settings.m_Services) {
      for (const auto &Listing : Service.m_Servers) {
        Listed.insert(Listing.m_Id);
        applyServer(Listing, Service, std::max(Settings.m_Membership.m_MaxVms, 1U), Actions);
      }
    }
    markUnlisted(Listed, Actions);
  }
  runActions(std::move(Actions));
}

void BackendPool::applyServer(const ServerSettings &Settings, const ServiceSettings &Service,
                              std::size_t MaxVms, PendingActions &Actions) {
  auto &Target = m_Servers[Settings.m_Id];
  Target.m_Name = Settings.m_Name;
  Target.m_HealthPath = Service.m_HealthPath;
  setAddress(Target, Settings.m_Address, Actions);
  if (!Target.m_IsListed) {
    return;
  }
  Target.m_MaxConnections = std::max<std::size_t>(Settings.m_MaxConnections / MaxVms, 1);
  Target.m_IsLeaving = Settings.m_Leaving;
  Target.m_IsEvacuated = Settings.m_IsEvacuated;
  if (Target.m_IsEvacuated) {
    Actions.m_NotSentIds.insert(Actions.m_NotSentIds.end(), Target.m_Waiting.begin(),
                                Target.m_Waiting.end());
    Target.m_Waiting.clear();
  }
  if (Target.m_IsLeaving || Target.m_IsEvacuated) {
    closeIdleConnections(Target, Actions);
  } else {
    openConnections(Settings.m_Id, Target, m_Options.m_SpareConnections, Actions);
  }
}

/// Lists the target if the address is valid.
void BackendPool::setAddress(Server &Target, const std::string &Address, PendingActions &Actions) {
  Target.m_IsListed = true;
  if (Target.m_Address == Address) {
    return;
  }
  const auto Endpoint = parseEndpoint(Address);
  if (!Endpoint) {
    Target.m_IsListed = false;
    return;
  }
  Target.m_Address = Address;
  Target.m_Endpoint = *Endpoint;
  closeIdleConnections(Target, Actions);
}

void BackendPool::setHelpers(std::span<const kernel::HelperVm> Helpers) {
  PendingActions Actions;
  {
    const std::lock_guard Lock(m_Mutex);
    for (auto &[Id, Target] : m_Servers) {
      const bool IsGone =
          Target.m_IsVm && std::none_of(Helpers.begin(), Helpers.end(),
                                        [Id = Id](const auto &Each) { return Each.m_Id == Id; });
      if (IsGone) {
        Target.m_IsListed = false;
        closeIdleConnections(Target, Actions);
      }
    }
    for (const kernel::HelperVm &Helper : Helpers) {
      Server &Target = m_Servers[Helper.m_Id];
      Target.m_IsVm = true;
      Target.m_Name = Helper.m_Name;
      Target.m_MaxConnections = MaxConnectionsToVm;
      setAddress(Target, Helper.m_Address, Actions);
    }
  }
  runActions(std::move(Actions));
}

void BackendPool::closeIdleConnections(Server &Target, PendingActions &Actions) {
  std::move(Target.m_Idle.begin(), Target.m_Idle.end(), std::back_inserter(Actions.m_ToClose));
  Target.m_Idle.clear();
}

void BackendPool::markUnlisted(const std::set<ServerId> &Listed, PendingActions &Actions) {
  for (auto &[Id, Target] : m_Servers) {
    if (Target.m_IsVm || Listed.contains(Id)) {
      continue;
    }
    Target.m_IsListed = false;
    closeIdleConnections(Target, Actions);
  }
}

void BackendPool::dispatch(const kernel::Dispatch &Dispatch, CallerRequestPtr Request) {
  if (!Request) {
    m_Metrics.countAttempt(kernel::AttemptResult::NotSent);
    m_Post(kernel::AttemptEnded{.m_Attempt = Dispatch.m_Attempt,
                                .m_Result = kernel::AttemptResult::NotSent,
                                .m_Reply = nullptr});
    return;
  }
  startExchange({.m_Id = raw(Dispatch.m_Attempt),
                 .m_Request = std::move(Request),
                 .m_Server = Dispatch.m_Server,
                 .m_Deadline = Dispatch.m_Deadline,
                 .m_SendBy = Dispatch.m_SendBy});
}

void BackendPool::endWaitingAttempts(TimePoint Deadline) {
  std::vector<std::uint64_t> Ended;
  {
    const std::lock_guard Lock(m_Mutex);
    for (auto &[Id, Target] : m_Servers) {
      const auto Later = std::stable_partition(
          Target.m_Waiting.begin(), Target.m_Waiting.end(), [&](std::uint64_t Waiting) {
            const BackendExchange &Exchange = *m_Running.at(Waiting).m_Exchange;
            return Exchange.isProbe() || Exchange.m_Deadline <= Deadline;
          });
      Ended.insert(Ended.end(), Later, Target.m_Waiting.end());
      Target.m_Waiting.erase(Later, Target.m_Waiting.end());
    }
  }
  endUnsent(Ended);
}

void BackendPool::probe(ServerId Target) {
  std::uint64_t Id = 0;
  {
    const std::lock_guard Lock(m_Mutex);
    Id = FirstProbeId + m_NextProbeIndex++;
    const auto Found = m_Servers.find(Target);
    if (Found != m_Servers.end() && Found->second.m_Idle.empty()) {
      m_Metrics.countProbeConnection();
    }
  }
  m_Metrics.countProbe();
  startExchange({.m_Id = Id,
                 .m_Server = Target,
                 .m_Deadline = SystemClock().now() + m_Options.m_ProbeTimeout});
}

void BackendPool::startExchange(BackendExchange NewExchange) {
  PendingActions Actions;
  const auto Id = NewExchange.m_Id;
  {
    const std::lock_guard Lock(m_Mutex);
    const auto Found = m_Servers.find(NewExchange.m_Server);
    if (Found != m_Servers.end()) {
      NewExchange.m_ServerName = Found->second.m_Name;
      NewExchange.m_IsRelay = Found->second.m_IsVm;
      NewExchange.m_HealthPath = NewExchange.isProbe() ? Found->second.m_HealthPath : std::string();
    }
    const auto Exchange = std::make_shared<const BackendExchange>(std::move(NewExchange));
    auto Deadline = std::make_shared<asio::steady_timer>(m_Io);
    startDeadlineTimer(Exchange, *Deadline);
    m_Running[Id] = {Exchange, nullptr, std::move(Deadline), startSendTimer(*Exchange)};
    if (Found == m_Servers.end() || !Found->second.mayGetRequests()) {
      Actions.m_NotSentIds.push_back(Id);
    } else {
      auto &Target = Found->second;
      Target.m_Waiting.push_back(Id);
      assignIdleConnections(Target, Actions);
      const bool IsLow = Target.m_Idle.empty() && !Exchange->isProbe();
      openConnections(Exchange->m_Server, Target, IsLow ? m_Options.m_SpareConnections : 0,
                      Actions);
    }
  }
  runActions(std::move(Actions));
}

void BackendPool::startDeadlineTimer(const std::shared_ptr<const BackendExchange> &Exchange,
                                     asio::steady_timer &Deadline) {
  Deadline.expires_at(Exchange->m_Deadline + m_Options.m_LateGrace);
  Deadline.async_wait([Self = shared_from_this(), Id = Exchange->m_Id](ErrorCode Failure) {
    if (!Failure) {
      Self->abandonExchange(Id, true);
    }
  });
}

std::shared_ptr<asio::steady_timer> BackendPool::startSendTimer(const BackendExchange &Exchange) {
  if (Exchange.m_SendBy >= Exchange.m_Deadline) {
    return nullptr;
  }
  auto SendTimer = std::make_shared<asio::steady_timer>(m_Io);
  SendTimer->expires_at(Exchange.m_SendBy);
  SendTimer->async_wait([Self = shared_from_this(), Id = Exchange.m_Id](ErrorCode Failure) {
    if (!Failure) {
      Self->endIfWaiting(Id);
    }
  });
  return SendTimer;
}

/// Ends an exchange that waits for a connection.
/// \return false if it has one
bool BackendPool::endIfWaiting(std::uint64_t Id) {
  {
    const std::lock_guard Lock(m_Mutex);
    const auto Found = m_Running.find(Id);
    if (Found == m_Running.end() || Found->second.m_Connection) {
      return false;
    }
    std::erase(m_Servers[Found->second.m_Exchange->m_Server].m_Waiting, Id);
  }
  finishExchange(Id, {.m_Result = kernel::AttemptResult::NotSent});
  return true;
}

void BackendPool::cancel(AttemptId Id) { abandonExchange(raw(Id), false); }

void BackendPool::abandonExchange(std::uint64_t Id, bool IsLate) {
  if (endIfWaiting(Id)) {
    return;
  }
  BackendConnectionPtr Connection;
  {
    const std::lock_guard Lock(m_Mutex);
    const auto Found = m_Running.find(Id);
    if (Found == m_Running.end()) {
      return;
    }
    Connection = Found->second.m_Connection;
  }
  Connection->abort(Id, IsLate);
}

/// Closes idle connections that the server may close at any moment: these must not carry a
/// request.
void BackendPool::closeExpiredConnections(Server &Target, PendingActions &Actions) {
  const auto Now = SystemClock().now();
  const auto Fresh = std::stable_partition(
      Target.m_Idle.begin(), Target.m_Idle.end(),
      [Now](const BackendConnectionPtr &Connection) { return Connection->usableUntil() <= Now; });
  std::move(Target.m_Idle.begin(), Fresh, std::back_inserter(Actions.m_ToClose));
  Target.m_Idle.erase(Target.m_Idle.begin(), Fresh);
}

void BackendPool::assignIdleConnections(Server &Target, PendingActions &Actions) {
  closeExpiredConnections(Target, Actions);
  const auto Now = SystemClock().now();
  while (!Target.m_Waiting.empty() && !Target.m_Idle.empty()) {
    const auto Id = Target.m_Waiting.front();
    auto &Next = m_Running[Id];
    Target.m_Waiting.pop_front();
    if (Now > Next.m_Exchange->m_SendBy) {
      Actions.m_NotSentIds.push_back(Id);
      continue;
    }
    Next.m_Connection = std::move(Target.m_Idle.back());
    Target.m_Idle.pop_back();
    Actions.m_ToSend.emplace_back(Next.m_Connection, Next.m_Exchange);
  }
}

void BackendPool::openConnections(ServerId Id, Server &Target, std::size_t Spare,
                                  PendingActions &Actions) {
  const bool IsEnding = m_Closed || Target.m_IsLeaving || Target.m_IsEvacuated;
  const auto Wanted = Target.m_Waiting.size() + (IsEnding ? 0 : Spare);
  while (Target.m_ConnectingCount + Target.m_Idle.size() < Wanted &&
         Target.m_OpenCount < Target.m_MaxConnections) {
    ++Target.m_ConnectingCount;
    ++Target.m_OpenCount;
    Actions.m_ToOpen.push_back(
        std::make_shared<BackendConnection>(m_Io, Id, Target.m_Endpoint, shared_from_this()));
  }
}

void BackendPool::onConnected(const BackendConnectionPtr &Connection) {
  m_Metrics.countConnectionOpened();
  {
    const std::lock_guard Lock(m_Mutex);
    --m_Servers[Connection->server()].m_ConnectingCount;
  }
  onReleased(Connection);
}

void BackendPool::onReleased(const BackendConnectionPtr &Connection) {
  PendingActions Actions;
  {
    const std::lock_guard Lock(m_Mutex);
    auto &Target = m_Servers[Connection->server()];
    const bool IsEnding = m_Closed || Target.m_IsLeaving || Target.m_IsEvacuated;
    const bool Keep = Target.m_IsListed && !(IsEnding && Target.m_Waiting.empty());
    if (Keep) {
      Target.m_Idle.push_back(Connection);
      assignIdleConnections(Target, Actions);
    } else {
      Actions.m_ToClose.push_back(Connection);
    }
  }
  runActions(std::move(Actions));
}

void BackendPool::onClosed(const BackendConnectionPtr &Connection, bool WasConnecting) {
  PendingActions Actions;
  {
    const std::lock_guard Lock(m_Mutex);
    auto &Target = m_Servers[Connection->server()];
    --Target.m_OpenCount;
    std::erase(Target.m_Idle, Connection);
    if (WasConnecting) {
      --Target.m_ConnectingCount;
      m_Metrics.countConnectionFailed();
      if (Target.m_Waiting.size() > Target.m_ConnectingCount) {
        (Connection->wasRefused() ? Actions.m_RefusedIds : Actions.m_NotSentIds)
            .push_back(Target.m_Waiting.front());
        Target.m_Waiting.pop_front();
      }
    }
    openConnections(Connection->server(), Target, 0, Actions);
  }
  runActions(std::move(Actions));
}

void BackendPool::finishExchange(std::uint64_t Id, ExchangeEnd End) {
  RunningExchange Ended;
  {
    const std::lock_guard Lock(m_Mutex);
    const auto Found = m_Running.find(Id);
    if (Found == m_Running.end()) {
      return;
    }
    Ended = std::move(Found->second);
    m_Running.erase(Found);
  }
  Ended.m_Timer->cancel();
  if (Ended.m_SendTimer) {
    Ended.m_SendTimer->cancel();
  }
  if (Ended.m_Exchange->isProbe()) {
    const bool IsHealthy = End.m_Result == kernel::AttemptResult::Completed &&
                           End.m_Reply->m_Status == static_cast<unsigned>(http::status::ok) &&
                           !End.m_ServerLeaving;
    m_Post(kernel::ProbeEnded{.m_Server = Ended.m_Exchange->m_Server,
                              .m_Healthy = IsHealthy,
                              .m_Load = End.m_Load,
                              .m_Answered = End.m_Answered,
                              .m_ConnectionRefused = End.m_ConnectionRefused,
                              .m_ServerLeaving = End.m_ServerLeaving,
                              .m_PauseFor = End.m_PauseFor,
                              .m_RequestLimit = End.m_RequestLimit,
                              .m_ColdFor = End.m_ColdFor,
                              .m_WrongServer = End.m_WrongServer});
    return;
  }
  m_Metrics.countAttempt(End.m_Result);
  m_Post(kernel::AttemptEnded{.m_Attempt = static_cast<AttemptId>(Id),
                              .m_Result = End.m_Result,
                              .m_Reply = std::move(End.m_Reply),
                              .m_ClosedUnanswered = End.m_ClosedUnanswered,
                              .m_ConnectionRefused = End.m_ConnectionRefused,
                              .m_ServerLeaving = End.m_ServerLeaving,
                              .m_PauseFor = End.m_PauseFor,
                              .m_RequestLimit = End.m_RequestLimit,
                              .m_Load = End.m_Load,
                              .m_IdleTime = End.m_IdleTime,
                              .m_WrongServer = End.m_WrongServer});
}

/// \param Named the limit that a reply of the server named, if it says anything about it
/// \return whether the server takes fewer requests than before
bool BackendPool::noteRequestLimit(ServerId Target, std::optional<double> Named) {
  if (!Named) {
    return false;
  }
  const std::lock_guard Lock(m_Mutex);
  const double Previous = std::exchange(m_Servers[Target].m_RequestLimit, *Named);
  return *Named < Previous;
}

/// Takes the requests that wait for a connection to a server. Probes stay: they end soon.
std::vector<std::uint64_t> BackendPool::takeWaitingRequests(ServerId Target) {
  const std::lock_guard Lock(m_Mutex);
  auto &Waiting = m_Servers[Target].m_Waiting;
  const auto Taken = std::stable_partition(Waiting.begin(), Waiting.end(),
                                           [](std::uint64_t Id) { return Id >= FirstProbeId; });
  std::vector<std::uint64_t> Ids(Taken, Waiting.end());
  Waiting.erase(Taken, Waiting.end());
  return Ids;
}

void BackendPool::endUnsent(std::span<const std::uint64_t> Ids) {
  for (const auto Id : Ids) {
    finishExchange(Id, {.m_Result = kernel::AttemptResult::NotSent});
  }
}

void BackendPool::close() {
  PendingActions Actions;
  {
    const std::lock_guard Lock(m_Mutex);
    m_Closed = true;
    for (auto &[Id, Target] : m_Servers) {
      closeIdleConnections(Target, Actions);
    }
  }
  runActions(std::move(Actions));
}

void BackendPool::runActions(PendingActions &&Actions) {
  for (const auto &Connection : Actions.m_ToOpen) {
    Connection->open();
  }
  for (auto &[Connection, Exchange] : Actions.m_ToSend) {
    Connection->send(std::move(Exchange));
  }
  for (const auto &Connection : Actions.m_ToClose) {
    Connection->closeIdle();
  }
  for (const auto Id : Actions.m_NotSentIds) {
    finishExchange(Id, {.m_Result = kernel::AttemptResult::NotSent});
  }
  for (const auto Id : Actions.m_RefusedIds) {
    finishExchange(Id, {.m_Result = kernel::AttemptResult::NotSent, .m_ConnectionRefused = true});
  }
}

std::size_t BackendPool::connectionCount() const {
  const std::lock_guard Lock(m_Mutex);
  std::size_t Sum = 0;
  for (const auto &[Id, Target] : m_Servers) {
    Sum += Target.m_OpenCount;
  }
  return Sum;
}

std::size_t BackendPool::connectionCount(ServerId Target) const {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Servers.find(Target);
  return Found == m_Servers.end() ? 0 : Found->second.m_OpenCount;
}

} // namespace vanillahill::net
