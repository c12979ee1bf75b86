#include "vanillahill/net/detail/backend_pool.hpp"

#include "vanillahill/net/detail/backend_connection.hpp"

#include <algorithm>

namespace vanillahill::net {

namespace {

/// Measuring requests have ids of their own range, above those of attempts.
constexpr std::uint64_t FirstProbeId = 1ULL << 63U;

} // namespace

BackendPool::BackendPool(asio::io_context &Io, std::string VmName, EventSink Post,
                         observe::Metrics &Metrics, BackendPoolOptions Options)
    : m_Io(Io), m_VmName(std::move(VmName)), m_Post(std::move(Post)), m_Metrics(Metrics),
      m_Options(Options) {}

BackendPool::~BackendPool() = default;

void BackendPool::applySettings(const SiteSettings &Settings) {
  Work Steps;
  {
    const std::lock_guard Lock(m_Mutex);
    std::set<ServerId> Listed;
    for (const auto &Service : Settings.m_Services) {
      for (const auto &Listing : Service.m_Servers) {
        Listed.insert(Listing.m_Id);
        applyServer(Listing, Service, std::max(Settings.m_Membership.m_MaxVms, 1U), Steps);
      }
    }
    dropUnlisted(Listed, Steps);
  }
  carryOut(std::move(Steps));
}

void BackendPool::applyServer(const ServerSettings &Settings, const ServiceSettings &Service,
                              std::size_t MaxVms, Work &Out) {
  auto &Target = m_Servers[Settings.m_Id];
  Target.m_Name = Settings.m_Name;
  Target.m_HealthPath = Service.m_HealthPath;
  if (Target.m_Address != Settings.m_Address) {
    const auto Where = parseEndpoint(Settings.m_Address);
    if (!Where) {
      Target.m_IsListed = false;
      return;
    }
    Target.m_Address = Settings.m_Address;
    Target.m_Endpoint = *Where;
    closeIdle(Target, Out);
  }
  Target.m_IsListed = true;
  Target.m_Bound = std::max<std::size_t>(Settings.m_MaxConnections / MaxVms, 1);
  Target.m_IsLeaving = Settings.m_Leaving;
  if (Target.m_IsLeaving) {
    closeIdle(Target, Out);
  } else {
    openConnections(Settings.m_Id, Target, m_Options.m_SpareConnections, Out);
  }
}

void BackendPool::closeIdle(Server &Target, Work &Out) {
  std::move(Target.m_Idle.begin(), Target.m_Idle.end(), std::back_inserter(Out.m_Close));
  Target.m_Idle.clear();
}

void BackendPool::dropUnlisted(const std::set<ServerId> &Listed, Work &Out) {
  for (auto &[Id, Target] : m_Servers) {
    if (Listed.contains(Id)) {
      continue;
    }
    Target.m_IsListed = false;
    closeIdle(Target, Out);
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
  start({.m_Id = raw(Dispatch.m_Attempt),
         .m_Request = std::move(Request),
         .m_Server = Dispatch.m_Server,
         .m_Deadline = Dispatch.m_Deadline});
}

void BackendPool::probe(ServerId Target) {
  std::uint64_t Id = 0;
  {
    const std::lock_guard Lock(m_Mutex);
    Id = FirstProbeId + m_LastProbe++;
    const auto Found = m_Servers.find(Target);
    if (Found != m_Servers.end() && Found->second.m_Idle.empty()) {
      m_Metrics.countProbeConnection();
    }
  }
  m_Metrics.countProbe();
  start({.m_Id = Id,
         .m_Server = Target,
         .m_Deadline = SystemClock().now() + m_Options.m_ProbeTimeout});
}

void BackendPool::start(BackendExchange Begun) {
  Work Steps;
  const auto Id = Begun.m_Id;
  {
    const std::lock_guard Lock(m_Mutex);
    const auto Found = m_Servers.find(Begun.m_Server);
    if (Found != m_Servers.end()) {
      Begun.m_ServerName = Found->second.m_Name;
      Begun.m_HealthPath = Begun.isProbe() ? Found->second.m_HealthPath : std::string();
    }
    const auto Exchange = std::make_shared<const BackendExchange>(std::move(Begun));
    auto Deadline = std::make_shared<asio::steady_timer>(m_Io);
    armDeadline(Exchange, *Deadline);
    m_Running[Id] = {Exchange, nullptr, std::move(Deadline)};
    if (Found == m_Servers.end() || !Found->second.m_IsListed) {
      Steps.m_NotSent.push_back(Id);
    } else {
      auto &Target = Found->second;
      Target.m_Waiting.push_back(Id);
      matchWaiting(Target, Steps);
      const bool IsLow = Target.m_Idle.empty() && !Exchange->isProbe();
      openConnections(Exchange->m_Server, Target, IsLow ? m_Options.m_SpareConnections : 0, Steps);
    }
  }
  carryOut(std::move(Steps));
}

void BackendPool::armDeadline(const std::shared_ptr<const BackendExchange> &Exchange,
                              asio::steady_timer &Deadline) {
  Deadline.expires_at(Exchange->m_Deadline + m_Options.m_LateGrace);
  Deadline.async_wait([Self = shared_from_this(), Id = Exchange->m_Id](ErrorCode Failure) {
    if (!Failure) {
      Self->giveUp(Id, true);
    }
  });
}

void BackendPool::cancel(AttemptId Id) { giveUp(raw(Id), false); }

void BackendPool::giveUp(std::uint64_t Id, bool IsLate) {
  BackendConnectionPtr Connection;
  {
    const std::lock_guard Lock(m_Mutex);
    const auto Found = m_Running.find(Id);
    if (Found == m_Running.end()) {
      return;
    }
    Connection = Found->second.m_Connection;
    if (!Connection) {
      auto &Waiting = m_Servers[Found->second.m_Exchange->m_Server].m_Waiting;
      std::erase(Waiting, Id);
    }
  }
  if (Connection) {
    Connection->abort(Id, IsLate);
  } else {
    finish(Id, {.m_Result = kernel::AttemptResult::NotSent});
  }
}

/// A connection that its server may close at any moment must not carry a request.
void BackendPool::closeExpired(Server &Target, Work &Out) {
  const auto Now = SystemClock().now();
  const auto Fresh = std::stable_partition(
      Target.m_Idle.begin(), Target.m_Idle.end(),
      [Now](const BackendConnectionPtr &Connection) { return Connection->usableUntil() <= Now; });
  std::move(Target.m_Idle.begin(), Fresh, std::back_inserter(Out.m_Close));
  Target.m_Idle.erase(Target.m_Idle.begin(), Fresh);
}

void BackendPool::matchWaiting(Server &Target, Work &Out) {
  closeExpired(Target, Out);
  while (!Target.m_Waiting.empty() && !Target.m_Idle.empty()) {
    auto &Next = m_Running[Target.m_Waiting.front()];
    Target.m_Waiting.pop_front();
    Next.m_Connection = std::move(Target.m_Idle.back());
    Target.m_Idle.pop_back();
    Out.m_Send.emplace_back(Next.m_Connection, Next.m_Exchange);
  }
}

void BackendPool::openConnections(ServerId Id, Server &Target, std::size_t Spare, Work &Out) {
  const bool IsEnding = m_Closed || Target.m_IsLeaving;
  const auto Wanted = Target.m_Waiting.size() + (IsEnding ? 0 : Spare);
  while (Target.m_Connecting + Target.m_Idle.size() < Wanted && Target.m_Open < Target.m_Bound) {
    ++Target.m_Connecting;
    ++Target.m_Open;
    Out.m_Start.push_back(
        std::make_shared<BackendConnection>(m_Io, Id, Target.m_Endpoint, shared_from_this()));
  }
}

void BackendPool::connected(const BackendConnectionPtr &Connection) {
  m_Metrics.countConnectionOpened();
  {
    const std::lock_guard Lock(m_Mutex);
    --m_Servers[Connection->server()].m_Connecting;
  }
  released(Connection);
}

void BackendPool::released(const BackendConnectionPtr &Connection) {
  Work Steps;
  {
    const std::lock_guard Lock(m_Mutex);
    auto &Target = m_Servers[Connection->server()];
    const bool IsEnding = m_Closed || Target.m_IsLeaving;
    const bool Keep = Target.m_IsListed && !(IsEnding && Target.m_Waiting.empty());
    if (Keep) {
      Target.m_Idle.push_back(Connection);
      matchWaiting(Target, Steps);
    } else {
      Steps.m_Close.push_back(Connection);
    }
  }
  carryOut(std::move(Steps));
}

void BackendPool::closed(const BackendConnectionPtr &Connection, bool WasConnecting) {
  Work Steps;
  {
    const std::lock_guard Lock(m_Mutex);
    auto &Target = m_Servers[Connection->server()];
    --Target.m_Open;
    std::erase(Target.m_Idle, Connection);
    if (WasConnecting) {
      --Target.m_Connecting;
      m_Metrics.countConnectionFailed();
      if (Target.m_Waiting.size() > Target.m_Connecting) {
        Steps.m_NotSent.push_back(Target.m_Waiting.front());
        Target.m_Waiting.pop_front();
      }
    }
    openConnections(Connection->server(), Target, 0, Steps);
  }
  carryOut(std::move(Steps));
}

void BackendPool::finish(std::uint64_t Id, ExchangeEnd End) {
  Running Ended;
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
  if (Ended.m_Exchange->isProbe()) {
    const bool IsHealthy = End.m_Result == kernel::AttemptResult::Completed &&
                           End.m_Reply->m_Status == static_cast<unsigned>(http::status::ok) &&
                           !End.m_ServerLeaving;
    m_Post(kernel::ProbeEnded{.m_Server = Ended.m_Exchange->m_Server,
                              .m_Healthy = IsHealthy,
                              .m_Load = End.m_Load,
                              .m_Answered = End.m_Answered,
                              .m_WrongServer = End.m_WrongServer});
    return;
  }
  m_Metrics.countAttempt(End.m_Result);
  m_Post(kernel::AttemptEnded{.m_Attempt = static_cast<AttemptId>(Id),
                              .m_Result = End.m_Result,
                              .m_Reply = std::move(End.m_Reply),
                              .m_ServerLeaving = End.m_ServerLeaving,
                              .m_Load = End.m_Load,
                              .m_WrongServer = End.m_WrongServer});
}

void BackendPool::close() {
  Work Steps;
  {
    const std::lock_guard Lock(m_Mutex);
    m_Closed = true;
    for (auto &[Id, Target] : m_Servers) {
      closeIdle(Target, Steps);
    }
  }
  carryOut(std::move(Steps));
}

void BackendPool::carryOut(Work &&Steps) {
  for (const auto &Connection : Steps.m_Start) {
    Connection->open();
  }
  for (auto &[Connection, Exchange] : Steps.m_Send) {
    Connection->send(std::move(Exchange));
  }
  for (const auto &Connection : Steps.m_Close) {
    Connection->closeIdle();
  }
  for (const auto Id : Steps.m_NotSent) {
    finish(Id, {.m_Result = kernel::AttemptResult::NotSent});
  }
}

std::size_t BackendPool::connectionCount() const {
  const std::lock_guard Lock(m_Mutex);
  std::size_t Sum = 0;
  for (const auto &[Id, Target] : m_Servers) {
    Sum += Target.m_Open;
  }
  return Sum;
}

std::size_t BackendPool::connectionCount(ServerId Target) const {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Servers.find(Target);
  return Found == m_Servers.end() ? 0 : Found->second.m_Open;
}

} // namespace vanillahill::net
