#include "vanillahill/net/detail/platform_client.hpp"

#include "vanillahill/net/platform_json.hpp"
#include "vanillahill/observe/log.hpp"

namespace vanillahill::net {

namespace {

/// How long the log may hold a request back until there is a record.
constexpr std::chrono::milliseconds LogWait(1000);
constexpr std::chrono::milliseconds LogTimeout(4000);
constexpr std::chrono::milliseconds VmListPeriod(500);
constexpr std::chrono::milliseconds VmListTimeout(2000);
constexpr std::chrono::milliseconds AppendTimeout(4000);
/// Records that wait to be appended; the oldest is dropped beyond this.
constexpr std::size_t MaxAppends = 256;

} // namespace

Duration Backoff::next() {
  std::uniform_int_distribution<std::int64_t> Share(m_Limit.count() / 2, m_Limit.count());
  const std::chrono::milliseconds Wait(Share(m_Random));
  m_Limit = std::min(2 * m_Limit, Longest);
  return Wait;
}

void Backoff::reset() { m_Limit = Shortest; }

PlatformClient::PlatformClient(asio::io_context &Io, const PlatformOptions &Options, EventSink Post,
                               observe::Metrics &Metrics)
    : m_Post(std::move(Post)), m_Metrics(Metrics),
      m_LogChannel(std::make_shared<PlatformChannel>(Io, Options.m_Address)),
      m_VmChannel(std::make_shared<PlatformChannel>(Io, Options.m_Address)),
      m_AppendChannel(std::make_shared<PlatformChannel>(Io, Options.m_Address)),
      m_LogBackoff(Options.m_Seed), m_VmBackoff(Options.m_Seed + 1),
      m_AppendBackoff(Options.m_Seed + 2) {}

void PlatformClient::start() {
  pollLog();
  pollVms();
}

void PlatformClient::close() {
  m_LogChannel->close();
  m_VmChannel->close();
  m_AppendChannel->close();
}

void PlatformClient::pollLog() {
  m_LogChannel->request(
      {.m_Target = "/log?from=" + std::to_string(m_NextOffset) +
                   "&wait_ms=" + std::to_string(LogWait.count()),
       .m_Timeout = LogTimeout},
      [Self = shared_from_this()](const Result<std::string> &Body) { Self->onLog(Body); });
}

void PlatformClient::onLog(const Result<std::string> &Body) {
  const auto Page = Body ? parseLogPage(*Body) : Result<kernel::LogRead>(Body.error());
  if (!Page) {
    countFailure(observe::PollTarget::Log, "log_unreadable", Page.error());
    m_LogChannel->after(m_LogBackoff.next(), [Self = shared_from_this()] { Self->pollLog(); });
    return;
  }
  m_LogBackoff.reset();
  m_NextOffset = Page->m_Next;
  m_Post(*Page);
  pollLog();
}

void PlatformClient::pollVms() {
  m_VmChannel->request(
      {.m_Target = "/vms", .m_Timeout = VmListTimeout},
      [Self = shared_from_this()](const Result<std::string> &Body) { Self->onVms(Body); });
}

void PlatformClient::onVms(const Result<std::string> &Body) {
  const auto List = Body ? parseVmList(*Body) : Result<kernel::VmListRead>(Body.error());
  Duration Wait = VmListPeriod;
  if (List) {
    m_VmBackoff.reset();
    m_Post(*List);
  } else {
    countFailure(observe::PollTarget::VmList, "vm_list_unreadable", List.error());
    Wait = m_VmBackoff.next();
  }
  m_VmChannel->after(Wait, [Self = shared_from_this()] { Self->pollVms(); });
}

void PlatformClient::append(std::string Data) {
  {
    const std::lock_guard Lock(m_Mutex);
    m_Appends.push_back(std::move(Data));
    if (m_Appends.size() > 1) {
      if (m_Appends.size() > MaxAppends) {
        m_Appends.erase(m_Appends.begin() + 1);
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
    if (m_Appends.empty()) {
      return;
    }
    Request.m_Body = m_Appends.front();
  }
  m_AppendChannel->request(
      std::move(Request),
      [Self = shared_from_this()](const Result<std::string> &Body) { Self->onAppended(Body); });
}

void PlatformClient::onAppended(const Result<std::string> &Body) {
  if (!Body) {
    countFailure(observe::PollTarget::Append, "append_failed", Body.error());
    m_AppendChannel->after(m_AppendBackoff.next(),
                           [Self = shared_from_this()] { Self->appendNext(); });
    return;
  }
  m_AppendBackoff.reset();
  {
    const std::lock_guard Lock(m_Mutex);
    m_Appends.pop_front();
  }
  appendNext();
}

void PlatformClient::countFailure(observe::PollTarget Target, std::string_view Event,
                                  const Error &Fault) {
  m_Metrics.countPollFailure(Target);
  observe::logFault(Event, Fault);
}

} // namespace vanillahill::net
