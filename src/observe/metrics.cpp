#include "vanillahill/observe/metrics.hpp"

#include "vanillahill/observe/detail/status_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <mutex>
#include <sstream>
#include <unordered_map>

namespace vanillahill::observe {

namespace {

using prometheus::Counter;
using prometheus::Histogram;
using prometheus::Registry;

constexpr std::size_t AttemptResultCount =
    static_cast<std::size_t>(kernel::AttemptResult::Unknown) + 1;

constexpr std::array<const char *, AttemptResultCount> AttemptResultNames{"completed", "not_run",
                                                                          "not_sent", "unknown"};
constexpr std::array<const char *, ReplyFaultCount> ReplyFaultNames{
    "cut", "malformed", "other_exchange", "left_over", "late"};
constexpr std::array<const char *, PollTargetCount> PollTargetNames{"log", "vm_list", "append"};
constexpr std::array<const char *, 3> OutcomeNames{"completed", "not_run", "unknown"};

/// Upper bounds of the latency buckets in seconds.
const Histogram::BucketBoundaries LatencyBounds{0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01,
                                                0.015,  0.02,  0.03,  0.05,  0.075, 0.1,    0.15,
                                                0.2,    0.3,   0.5,   1.0,   2.0,   5.0};

Counter &addCounter(Registry &Into, const char *Name, const char *Help) {
  return prometheus::BuildCounter().Name(Name).Help(Help).Register(Into).Add({});
}

/// One counter for each value of an enumeration.
template <std::size_t Count> class CounterSet {
public:
  template <typename NameOf>
  CounterSet(Registry &Into, const char *Name, const char *Help, const char *Label,
             NameOf LabelValue) {
    auto &Counters = prometheus::BuildCounter().Name(Name).Help(Help).Register(Into);
    for (std::size_t Index = 0; Index < Count; ++Index) {
      m_Counters[Index] = &Counters.Add({{Label, std::string(LabelValue(Index))}});
    }
  }

  template <typename Enum> void increment(Enum Value) {
    m_Counters[static_cast<std::size_t>(Value)]->Increment();
  }

private:
  std::array<Counter *, Count> m_Counters{};
};

} // namespace

struct Metrics::State {
  Registry m_Registry;
  CounterSet<net::CallerFaultCount> m_Faults{
      m_Registry, "vanillahill_caller_faults_total", "Callers refused before the kernel", "reason",
      [](std::size_t Index) { return net::toString(static_cast<net::CallerFault>(Index)); }};
  CounterSet<AttemptResultCount> m_Attempts{
      m_Registry, "vanillahill_attempts_total", "Attempts at backend servers", "result",
      [](std::size_t Index) { return AttemptResultNames[Index]; }};
  CounterSet<ReplyFaultCount> m_ReplyFaults{
      m_Registry, "vanillahill_reply_faults_total",
      "Replies of backend servers that were not passed on", "reason",
      [](std::size_t Index) { return ReplyFaultNames[Index]; }};
  CounterSet<PollTargetCount> m_PollFailures{
      m_Registry, "vanillahill_platform_failures_total", "Failed requests to the platform",
      "target", [](std::size_t Index) { return PollTargetNames[Index]; }};
  Counter &m_Opened = addCounter(m_Registry, "vanillahill_backend_connections_opened_total",
                                 "Connections opened to backend servers");
  Counter &m_OpenFailed = addCounter(m_Registry, "vanillahill_backend_connection_failures_total",
                                     "Connections to backend servers that could not be opened");
  Counter &m_Probes =
      addCounter(m_Registry, "vanillahill_measuring_requests_total", "Measuring requests sent");
  Counter &m_ProbeConnections = addCounter(m_Registry, "vanillahill_measuring_connections_total",
                                           "Connections opened for a measuring request");
  Counter &m_WrongTokens = addCounter(m_Registry, "vanillahill_wrong_tokens_total",
                                      "Admin requests with a wrong or missing token");
  mutable std::mutex m_Mutex;
  /// By outcome. Not in the registry, which would write those of all kinds.
  std::unordered_map<KindId, std::array<std::unique_ptr<Histogram>, OutcomeNames.size()>>
      m_Histograms;

  Histogram &findOrAddHistogram(KindId Kind, kernel::Outcome Outcome) {
    const std::lock_guard Lock(m_Mutex);
    auto &Slot = m_Histograms[Kind][static_cast<std::size_t>(Outcome)];
    if (!Slot) {
      Slot = std::make_unique<Histogram>(LatencyBounds);
    }
    return *Slot;
  }

  void appendLatencies(KindSpan Kinds, Families &Out) const {
    prometheus::MetricFamily Family{.name = "vanillahill_request_seconds",
                                    .help = "Time from a request's arrival to its answer",
                                    .type = prometheus::MetricType::Histogram};
    const std::lock_guard Lock(m_Mutex);
    for (const auto *Kind : Kinds) {
      const auto Found = m_Histograms.find(Kind->m_Kind);
      if (Found == m_Histograms.end()) {
        continue;
      }
      for (std::size_t Outcome = 0; Outcome < OutcomeNames.size(); ++Outcome) {
        if (const auto &Latency = Found->second[Outcome]) {
          auto &Added = Family.metric.emplace_back(Latency->Collect());
          Added.label = {{"kind", Kind->m_Name}, {"outcome", OutcomeNames[Outcome]}};
        }
      }
    }
    if (!Family.metric.empty()) {
      Out.push_back(std::move(Family));
    }
  }
};

Metrics::Metrics() : m_State(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::countFault(net::CallerFault Fault) { m_State->m_Faults.increment(Fault); }
void Metrics::countAttempt(kernel::AttemptResult Result) { m_State->m_Attempts.increment(Result); }
void Metrics::countReplyFault(ReplyFault Fault) { m_State->m_ReplyFaults.increment(Fault); }
void Metrics::countPollFailure(PollTarget Target) { m_State->m_PollFailures.increment(Target); }
void Metrics::countConnectionOpened() { m_State->m_Opened.Increment(); }
void Metrics::countConnectionFailed() { m_State->m_OpenFailed.Increment(); }
void Metrics::countProbe() { m_State->m_Probes.Increment(); }
void Metrics::countProbeConnection() { m_State->m_ProbeConnections.Increment(); }
void Metrics::countWrongToken() { m_State->m_WrongTokens.Increment(); }

void Metrics::observeLatency(KindId Kind, kernel::Outcome Outcome, Duration Latency) {
  const std::chrono::duration<double> Seconds = Latency;
  m_State->findOrAddHistogram(Kind, Outcome).Observe(Seconds.count());
}

std::string Metrics::text(const kernel::NodeStatus &Status, const Gauges &Present) const {
  auto All = m_State->m_Registry.Collect();
  const auto Kinds = mostUsedKinds(Status);
  m_State->appendLatencies(Kinds, All);
  appendStatusMetrics(Status, Kinds, All);
  appendProcessMetrics(Present, All);
  std::ostringstream Out;
  prometheus::TextSerializer().Serialize(Out, All);
  return Out.str();
}

} // namespace vanillahill::observe
