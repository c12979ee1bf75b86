#include "vanillahill/load/backend_host.hpp"

#include "detail/backend_control.hpp"
#include "detail/backend_server.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <csignal>
#include <deque>

namespace vanillahill::load {

struct BackendHost::State {
  State(BackendHostOptions Options, Ledger History)
      : m_Shared{.m_Options = std::move(Options), .m_Ledger = std::move(History)},
        m_Signals(m_Shared.m_Io, SIGTERM, SIGINT), m_FlushTimer(m_Shared.m_Io) {
    m_Shared.m_Random.seed(m_Shared.m_Options.m_Seed);
  }

  void openServers();
  void flushOften();

  detail::BackendShared m_Shared;
  std::deque<detail::BackendServer> m_Servers;
  std::unique_ptr<detail::BackendControl> m_Control;
  boost::asio::signal_set m_Signals;
  boost::asio::steady_timer m_FlushTimer;
};

void BackendHost::State::openServers() {
  const BackendHostOptions &Options = m_Shared.m_Options;
  std::uint16_t Port = Options.m_BasePort;
  for (const BackendService &Service : Options.m_Services) {
    for (std::uint32_t Index = 1; Index <= Service.m_Servers; ++Index) {
      m_Servers.emplace_back(m_Shared, fmt::format("{}/s{:02}", Service.m_Name, Index),
                             Service.m_Slots, Options.m_Seed + m_Servers.size());
      m_Servers.back().open(Port);
      Port = Port == 0 ? 0 : Port + 1;
    }
  }
}

void BackendHost::State::flushOften() {
  m_FlushTimer.expires_after(std::chrono::milliseconds(200));
  m_FlushTimer.async_wait([this](const boost::system::error_code &Failure) {
    if (!Failure) {
      m_Shared.m_Ledger.flush();
      flushOften();
    }
  });
}

BackendHost::BackendHost(std::unique_ptr<State> Inner) : m_State(std::move(Inner)) {}
BackendHost::~BackendHost() = default;

Result<std::unique_ptr<BackendHost>> BackendHost::open(BackendHostOptions Options) {
  Result<Ledger> History = Ledger::open(Options.m_History);
  if (!History) {
    return History.error();
  }
  auto Inner = std::make_unique<State>(std::move(Options), std::move(*History));
  try {
    Inner->openServers();
    Inner->m_Control = std::make_unique<detail::BackendControl>(Inner->m_Shared, Inner->m_Servers);
  } catch (const boost::system::system_error &Failure) {
    return Error{Errc::AddressUnusable, "open backend servers", Inner->m_Shared.m_Options.m_Host,
                 Failure.what()};
  }
  return std::unique_ptr<BackendHost>(new BackendHost(std::move(Inner)));
}

std::string BackendHost::addresses() const { return m_State->m_Control->addresses(); }

void BackendHost::run() {
  State &Inner = *m_State;
  for (detail::BackendServer &Server : Inner.m_Servers) {
    Server.accept();
  }
  Inner.m_Control->start(Inner.m_Shared.m_Options.m_Faults);
  Inner.flushOften();
  Inner.m_Signals.async_wait([this](const boost::system::error_code &Failure, int) {
    if (!Failure) {
      m_State->m_Shared.m_Io.stop();
    }
  });
  Inner.m_Shared.m_Io.run();
  Inner.m_Shared.m_Ledger.flush();
}

void BackendHost::stop() {
  boost::asio::post(m_State->m_Shared.m_Io, [this] { m_State->m_Shared.m_Io.stop(); });
}

} // namespace vanillahill::load
