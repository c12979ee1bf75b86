#include "vanillahill/net/detail/platform_client.hpp"

#include "vanillahill/net/platform_json.hpp"
#include "vanillahill/observe/log.hpp"

namespace vanillahill::net {

namespace {

/// How long the log may delay its reply until there is a record.
constexpr std::chrono::milliseconds MaxLogWait(1000);
constexpr std::chrono::milliseconds LogTimeout(4000);
constexpr std::chrono::milliseconds VmListPeriod(500);
constexpr std::chrono::milliseconds VmListTimeout(2000);
constexpr std::chrono::milliseconds AppendTimeout(4000);
/// Maximum number of records waiting to be appended. Beyond it, the oldest one whose append has
/// not started is dropped.
constexpr std::size_t MaxPendingAppends = 256;

} // namespace

Duration Backoff::nextWait() {
  std::uniform_int_distribution<std::int64_t> Distribution(m_WaitLimit.count() / 2,
                                                           m_WaitLimit.count());
  const std::chrono::milliseconds Wait(Distribution(m_Random));
  m_WaitLimit = std::min(2 * m_WaitLimit, MaxWait);
  return Wait;
}

void Backoff::reset() { m_WaitLimit = MinWait; }

PlatformClient::PlatformClient(asio::io_context &Io, const PlatformOptions &Options, EventSink Post,
                               observe::Metrics &Metrics)
    : m_Post(std::move(Post)), m_Metrics(Metrics),
      m_LogChannel(std::make_shared<PlatformChannel>(Io, Options.m_Address)),
      m_VmListChannel(std::make_shared<PlatformChannel>(Io, Options.m_Address)),
      m_AppendChannel(std::make_shared<PlatformChannel>(Io, Options.m_Address)),
      m_LogBackoff(Options.m_Seed), m_VmListBackoff(Options.m_Seed + 1),
      m_AppendBackoff(Options.m_Seed + 2) {}

void PlatformClient::start() {
  pollLog();
  pollVmList();
}

void PlatformClient::close() {
  m_LogChannel->close();
  m_VmListChannel->close();
  m_AppendChannel->close();
}

void PlatformClient::pollLog() {
  m_LogChannel->request(
      {.m_Target = "/log?from=" + std::to_string(m_NextOffset) +
                   "&wait_ms=" + std::to_string(MaxLogWait.count()),
       .m_Timeout = LogTimeout},
      [Self = shared_from_this()](const Result<std::string> &Body) { Self->handleLogReply(Body); });
}

void PlatformClient::handleLogReply(const Result<std::string> &Body) {
  const auto Page = Body ? parseLogPage(*Body) : Result<kernel::LogRead>(Body.error());
  if (!Page) {
    countFailure(observe::PollTarget::Log, "log_unreadable", Page.error());
    m_LogChannel->runAfter(m_LogBackoff.nextWait(),
                           [Self = shared_from_this()] { Self->pollLog(); });
    return;
  }
  m_LogBackoff.reset();
  m_NextOffset = Page->m_Next;
  m_Post(*Page);
  pollLog();
}

void PlatformClient::pollVmList() {
  m_VmListChannel->request({.m_Target = "/vms", .m_Timeout = VmListTimeout},
                           [Self = shared_from_this()](const Result<std::string> &Body) {
                             Self->handleVmListReply(Body);
                           });
}

void PlatformClient::handleVmListReply(const Result<std::string> &Body) {
  const auto List = Body ? parseVmList(*Body) : Result<kernel::VmListRead>(Body.error());
  Duration Wait = VmListPeriod;
  if (List) {
    m_VmListBackoff.reset();
    m_Post(*List);
  } else {
    countFailure(observe::PollTarget::VmList, "vm_list_unreadable", List.error());
    Wait = m_VmListBackoff.nextWait();
  }
  m_VmListChannel->runAfter(Wait, [Self = shared_from_this()] { Self->pollVmList(); });
}

void PlatformClient::append(std::string Data) {
  {
    const std::lock_guard Lock(m_Mutex);
    m_PendingAppends.push_back(std::move(Data));
    if (m_PendingAppends.size() > 1) {
      if (m_PendingAppends.size() > MaxPendingAppends) {
        m_PendingAppends.erase(m_PendingAppends.begin() + 1);
      }
      return;
    }
  }
  appendNext();
}

void PlatformClient::appendNext() {
  PlatformRequest Request{
      .m_Method = http::verb::post, .m_Target = "/log", .m_Timeout = AppendTimeout};
  {
    const std::lock_guard Lock(m_Mutex);
    if (m_PendingAppends.empty()) {
      return;
    }
    Request.m_Body = m_PendingAppends.front();
  }
  m_AppendChannel->request(std::move(Request),
                           [Self = shared_from_this()](const Result<std::string> &Body) {
                             Self->handleAppendReply(Body);
                           });
}

void PlatformClient::handleAppendReply(const Result<std::string> &Body) {
  if (!Body) {
    countFailure(observe::PollTarget::Append, "append_failed", Body.error());
    m_AppendChannel->runAfter(m_AppendBackoff.nextWait(),
                              [Self = shared_from_this()] { Self->appendNext(); });
    return;
  }
  m_AppendBackoff.reset();
  {
    const std::lock_guard Lock(m_Mutex);
    m_PendingAppends.pop_front();
  }
  appendNext();
}

void PlatformClient::countFailure(observe::PollTarget Target, std::string_view Event,
                                  const Error &Fault) {
  m_Metrics.countPollFailure(Target);
  observe::logFault(Event, Fault);
}

} // namespace vanillahill::net
