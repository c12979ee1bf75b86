#include "vanillahill/net/entry.hpp"

#include "vanillahill/net/detail/admin_server.hpp"
#include "vanillahill/net/detail/backend_pool.hpp"
#include "vanillahill/net/detail/caller_server.hpp"
#include "vanillahill/net/detail/node_loop.hpp"
#include "vanillahill/net/detail/platform_client.hpp"
#include "vanillahill/net/detail/worker_pool.hpp"
#include "vanillahill/observe/log.hpp"
#include "vanillahill/peer/link.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>

#include <atomic>

namespace vanillahill::net {

namespace {

/// How often a stopping process checks whether all callers have disconnected.
constexpr std::chrono::milliseconds CloseCheckPeriod(10);
/// After this time, the connections that callers have not closed are closed.
constexpr std::chrono::seconds CloseTimeout(3);

kernel::NodeOptions nodeOptions(const EntryOptions &Options) {
  const auto &Vm = Options.m_Vm;
  const auto Fallback = Options.m_Incarnation ^ raw(idOf<VmId>(Vm.m_Name));
  return {.m_Name = Vm.m_Name,
          .m_Site = Vm.m_Site,
          .m_DataCenter = Vm.m_DataCenter,
          .m_PeerAddress = Vm.m_PeerAddress,
          .m_Incarnation = Options.m_Incarnation,
          .m_Seed = Vm.m_Seed != 0 ? Vm.m_Seed : Fallback,
          .m_Settings = Options.m_Settings};
}

} // namespace

struct Entry::State {
  State(EntryOptions Given, std::shared_ptr<asio::io_context> Io, Acceptor Callers, Acceptor Admin);
  ~State();

  void start();
  void run();
  void requestStop();

  // Actions of the kernel.
  void execute(kernel::Action &Step);
  void carryOut(kernel::Dispatch &Step);
  void carryOut(kernel::CancelAttempt &Step) { m_Pool->cancel(Step.m_Attempt); }
  void carryOut(kernel::EndWaitingAttempts &Step) { m_Pool->endWaitingAttempts(Step.m_Deadline); }
  void carryOut(kernel::Answer &Step) { m_Callers->answer(Step); }
  void carryOut(kernel::SendPeer &Step) { m_Links->send(Step.m_To, std::move(Step.m_Message)); }
  void carryOut(kernel::ConnectPeers &Step) { m_Links->connect(Step.m_Vms); }
  void carryOut(kernel::AppendLog &Step) { m_Platform->append(std::move(Step.m_Data)); }
  void carryOut(kernel::Probe &Step) { m_Pool->probe(Step.m_Server); }
  void carryOut(kernel::SettingsChanged &Step);
  void carryOut(kernel::Decision & /*Step*/) {
    // This deployment counts its decisions in the metrics instead.
  }
  void carryOut(kernel::SendTenantQuery & /*Step*/) {
    // This deployment has no tenants, so VMs exchange no messages about them.
  }
  void carryOut(kernel::SendTenantVerdict & /*Step*/) {}
  void carryOut(kernel::SendTenantReturn & /*Step*/) {}
  void carryOut(kernel::SendTokenRequest & /*Step*/) {
    // Tokens are moved only where VMs exchange datagrams.
  }
  void carryOut(kernel::SendTokenGrant & /*Step*/) {}
  void carryOut(kernel::AnnounceServerCold & /*Step*/) {
    // Only the policy set "probed" limits cold servers.
  }
  void carryOut(kernel::AnnounceServerLimit & /*Step*/) {
    // Servers name limits only where VMs announce them to each other by datagrams.
  }
  void carryOut(kernel::AnnounceReach & /*Step*/) {
    // Requests are passed on only where VMs announce this to each other by datagrams.
  }
  void carryOut(kernel::AnnounceCrashReport & /*Step*/) {
    // Requests that crash servers are found only where VMs announce them to each other by
    // datagrams.
  }
  void carryOut(kernel::TellServerFailure & /*Step*/) {
    // The heartbeats between VMs already report server failures.
  }
  void carryOut(kernel::StopAccepting & /*Step*/) { m_Callers->close(); }
  void carryOut(kernel::Stopped &Step);

  void applySettings();
  void armTimer(TimePoint When);
  void awaitSignal();
  void awaitCallersGone(TimePoint Until);
  void closeAll();
  bool isReady() const;
  observe::Gauges gauges() const;
  AdminSources adminSources();
  peer::PeerLinksOptions linkOptions();

  const EntryOptions m_Options;
  observe::Metrics m_Metrics;
  const std::shared_ptr<asio::io_context> m_OwnedIo;
  asio::io_context &m_Io;
  asio::executor_work_guard<asio::io_context::executor_type> m_WorkGuard;
  asio::steady_timer m_NodeTimer;
  asio::steady_timer m_CloseTimer;
  asio::signal_set m_Signals;
  std::atomic<bool> m_Stopping = false;
  NodeLoop m_Loop;
  std::shared_ptr<CallerServer> m_Callers;
  std::shared_ptr<BackendPool> m_Pool;
  std::shared_ptr<PlatformClient> m_Platform;
  std::shared_ptr<AdminServer> m_Admin;
  std::unique_ptr<peer::PeerLinks> m_Links;
};

Entry::State::State(EntryOptions Given, std::shared_ptr<asio::io_context> Io, Acceptor Callers,
                    Acceptor Admin)
    : m_Options(std::move(Given)), m_OwnedIo(std::move(Io)), m_Io(*m_OwnedIo),
      m_WorkGuard(m_Io.get_executor()), m_NodeTimer(m_Io), m_CloseTimer(m_Io), m_Signals(m_Io),
      m_Loop(
          nodeOptions(m_Options), [this](kernel::Action &Step) { execute(Step); },
          [this](TimePoint When) { armTimer(When); }) {
  const EventSink Post = [this](const kernel::Event &Input) { m_Loop.post(Input); };
  m_Callers = std::make_shared<CallerServer>(m_Io, std::move(Callers), Post, m_Metrics);
  m_Pool = std::make_shared<BackendPool>(m_Io, m_Options.m_Vm.m_Name, Post, m_Metrics);
  m_Platform = std::make_shared<PlatformClient>(
      m_Io,
      PlatformOptions{.m_Address = m_Options.m_Vm.m_PlatformAddress,
                      .m_Seed = nodeOptions(m_Options).m_Seed},
      Post, m_Metrics);
  m_Admin = std::make_shared<AdminServer>(m_Io, std::move(Admin),
                                          AdminAccess{.m_Token = m_Options.m_Vm.m_AdminToken},
                                          adminSources(), m_Metrics);
  m_Links = std::make_unique<peer::PeerLinks>(m_Io, linkOptions());
}

peer::PeerLinksOptions Entry::State::linkOptions() {
  const VmSettings &Vm = m_Options.m_Vm;
  return {.m_SelfName = Vm.m_Name,
          .m_PeerAddress = Vm.m_PeerAddress,
          .m_PeerToken = Vm.m_PeerToken,
          .m_OnMessage =
              [this](VmId From, peer::Message Value) {
                m_Loop.post(kernel::PeerReceived{.m_From = From, .m_Message = std::move(Value)});
              },
          .m_OnProblem = [](const Error &Problem) { observe::logFault("peer_link", Problem); },
          .m_Seed = nodeOptions(m_Options).m_Seed};
}

Entry::State::~State() {
  closeAll();
  // Runs the handlers of the closed sockets, so that they release the objects they hold.
  m_Io.restart();
  m_Io.poll();
}

AdminSources Entry::State::adminSources() {
  return {.m_Status = [this] { return m_Loop.status(); },
          .m_Gauges = [this] { return gauges(); },
          .m_IsReady = [this] { return isReady(); }};
}

void Entry::State::start() {
  // The first event applies the settings given in the options and lets the kernel arm its timer.
  m_Loop.post(kernel::TimerFired{});
  applySettings();
  m_Callers->start();
  m_Admin->start();
  if (m_Options.m_Settings) {
    const VmSettings &Vm = m_Options.m_Vm;
    m_Loop.post(kernel::VmListRead{{{.m_Name = Vm.m_Name,
                                     .m_PeerAddress = Vm.m_PeerAddress,
                                     .m_DataCenter = Vm.m_DataCenter}}});
  } else {
    m_Platform->start();
  }
  if (m_Options.m_HandleSignals) {
    m_Signals.add(SIGTERM);
    m_Signals.add(SIGINT);
    awaitSignal();
  }
}

void Entry::State::run() {
  observe::log(observe::LogLevel::Info, "started",
               {{"vm", m_Options.m_Vm.m_Name},
                {"caller_port", std::to_string(m_Callers->port())},
                {"admin_port", std::to_string(m_Admin->port())}});
  start();
  runWorkers(m_Io, m_Options.m_Vm.m_Workers);
  observe::log(observe::LogLevel::Info, "stopped", {{"vm", m_Options.m_Vm.m_Name}});
}

void Entry::State::awaitSignal() {
  m_Signals.async_wait([this](ErrorCode Failure, int) {
    if (!Failure) {
      requestStop();
      awaitSignal();
    }
  });
}

void Entry::State::requestStop() {
  asio::post(m_Io, [this] {
    if (m_Stopping.exchange(true)) {
      return;
    }
    observe::log(observe::LogLevel::Info, "stop_requested", {{"vm", m_Options.m_Vm.m_Name}});
    m_Callers->leave();
    m_Loop.post(kernel::StopRequested{});
  });
}

void Entry::State::execute(kernel::Action &Step) {
  std::visit([this](auto &Typed) { carryOut(Typed); }, Step);
}

void Entry::State::carryOut(kernel::Dispatch &Step) {
  m_Pool->dispatch(Step, m_Callers->findRequest(Step.m_Request));
}

void Entry::State::carryOut(kernel::SettingsChanged &) {
  applySettings();
  observe::log(observe::LogLevel::Info, "settings_in_force", {{"vm", m_Options.m_Vm.m_Name}});
}

void Entry::State::carryOut(kernel::Stopped &) {
  m_Platform->close();
  asio::post(m_Io, [this] { awaitCallersGone(SystemClock().now() + CloseTimeout); });
}

void Entry::State::applySettings() {
  const auto Settings = m_Loop.settings();
  if (!Settings) {
    return;
  }
  m_Callers->applySettings(*Settings);
  m_Pool->applySettings(*Settings);
}

void Entry::State::armTimer(TimePoint When) {
  m_NodeTimer.expires_at(When);
  m_NodeTimer.async_wait([this](ErrorCode Failure) {
    if (!Failure) {
      m_Loop.timerFired();
    }
  });
}

void Entry::State::awaitCallersGone(TimePoint Until) {
  if (m_Callers->connectionCount() == 0 || SystemClock().now() >= Until) {
    closeAll();
    m_Io.stop();
    return;
  }
  m_CloseTimer.expires_after(CloseCheckPeriod);
  m_CloseTimer.async_wait([this, Until](ErrorCode Failure) {
    if (!Failure) {
      awaitCallersGone(Until);
    }
  });
}

void Entry::State::closeAll() {
  m_Callers->close();
  m_Platform->close();
  m_Pool->close();
  m_Admin->close();
  m_Links->stop();
}

bool Entry::State::isReady() const {
  return !m_Stopping.load() && m_Loop.status().m_State == peer::VmState::Serving;
}

observe::Gauges Entry::State::gauges() const {
  return {.m_CallerConnections = m_Callers->connectionCount(),
          .m_BackendConnections = m_Pool->connectionCount(),
          .m_Links = m_Links->counters()};
}

Entry::Entry(std::unique_ptr<State> Opened) : m_State(std::move(Opened)) {}
Entry::~Entry() = default;

Result<std::unique_ptr<Entry>> Entry::open(EntryOptions Options) {
  // Kept alive here too: the moved-from acceptors refer to it until this function returns.
  const auto Io = std::make_shared<asio::io_context>(static_cast<int>(Options.m_Vm.m_Workers));
  auto Callers = listenOn(*Io, Options.m_Vm.m_CallerAddress);
  if (!Callers) {
    return Callers.error();
  }
  auto Admin = listenOn(*Io, Options.m_Vm.m_AdminAddress);
  if (!Admin) {
    return Admin.error();
  }
  const std::string PeerAddress = Options.m_Vm.m_PeerAddress;
  try {
    auto Opened =
        std::make_unique<State>(std::move(Options), Io, std::move(*Callers), std::move(*Admin));
    return std::unique_ptr<Entry>(new Entry(std::move(Opened)));
  } catch (const std::system_error &Raised) {
    return Error{Raised.code(), "listen for peers", PeerAddress, Raised.what()};
  }
}

void Entry::run() { m_State->run(); }
void Entry::requestStop() { m_State->requestStop(); }
std::uint16_t Entry::callerPort() const { return m_State->m_Callers->port(); }
std::uint16_t Entry::adminPort() const { return m_State->m_Admin->port(); }
kernel::NodeStatus Entry::status() const { return m_State->m_Loop.status(); }

} // namespace vanillahill::net
