// The cost of deciding for one request: arrival, dispatch and end, without input or output.
// Counts allocations by replacing operator new in this program only.

#include "vanillahill/kernel/node.hpp"

#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <deque>
#include <new>

namespace {

std::atomic<std::uint64_t> Allocations{0};
std::atomic<std::int64_t> LiveBytes{0};
constexpr std::size_t SizePrefix = alignof(std::max_align_t);

} // namespace

[[gnu::noinline]] void *operator new(std::size_t Size) {
  void *Memory = std::malloc(Size + SizePrefix);
  if (Memory == nullptr) {
    throw std::bad_alloc();
  }
  *static_cast<std::size_t *>(Memory) = Size;
  Allocations.fetch_add(1, std::memory_order_relaxed);
  LiveBytes.fetch_add(static_cast<std::int64_t>(Size), std::memory_order_relaxed);
  return static_cast<char *>(Memory) + SizePrefix;
}

[[gnu::noinline]] void operator delete(void *Memory) noexcept {
  if (Memory == nullptr) {
    return;
  }
  void *Start = static_cast<char *>(Memory) - SizePrefix;
  LiveBytes.fetch_sub(static_cast<std::int64_t>(*static_cast<std::size_t *>(Start)),
                      std::memory_order_relaxed);
  std::free(Start);
}

void operator delete(void *Memory, std::size_t) noexcept { operator delete(Memory); }

namespace vanillahill::kernel {
namespace {

/// Services of at most 20 servers, as in the two-year size: 600 servers in 93 services and fewer.
std::shared_ptr<SiteSettings> makeSite(std::uint32_t Servers, const char *Policy) {
  const std::uint32_t Services = Servers <= 35 ? 2 : 93;
  auto Site = std::make_shared<SiteSettings>();
  for (std::uint32_t Index = 0; Index < Services; ++Index) {
    const std::string Name = "service" + std::to_string(Index);
    ServiceSettings Service{.m_Id = idOf<ServiceId>(Name), .m_Name = Name};
    Service.m_Policy.m_Name = Policy;
    Service.m_Kinds.push_back({.m_Id = idOf<KindId>(std::string(Name).append("/read")),
                               .m_Name = "read",
                               .m_Idempotent = true});
    for (std::uint32_t Server = Index; Server < Servers; Server += Services) {
      const std::string ServerName = "s" + std::to_string(Server);
      Service.m_Servers.push_back(
          {.m_Id = idOf<ServerId>(std::string(Name).append("/").append(ServerName)),
           .m_Name = ServerName});
    }
    Site->m_Services.push_back(Service);
  }
  return Site;
}

VmListRead makeVms(std::uint32_t Count) {
  VmListRead List;
  for (std::uint32_t Index = 0; Index < Count; ++Index) {
    List.m_Vms.push_back({.m_Name = "e" + std::to_string(Index)});
  }
  return List;
}

/// One node that is kept at a number of requests in flight.
class Driver {
public:
  Driver(std::uint32_t Servers, std::uint32_t Vms, const char *Policy)
      : m_Site(makeSite(Servers, Policy)),
        m_Node({.m_Name = "e0", .m_Seed = 1, .m_Settings = m_Site}) {
    m_Node.handle(makeVms(Vms), m_Clock.now(), m_Out);
    hearPeers(Vms);
    hearPeers(Vms);
    m_Out.clear();
  }

  /// Each peer serves, acknowledges the last heartbeat and has no idle slot.
  void hearPeers(std::uint32_t Vms) {
    ++m_Sequence;
    m_Clock.advance(std::chrono::milliseconds(1));
    for (std::uint32_t Index = 1; Index < Vms; ++Index) {
      const VmId Peer = idOf<VmId>("e" + std::to_string(Index));
      const peer::Heartbeat Beat{
          .m_Incarnation = 1, .m_Sequence = m_Sequence, .m_State = peer::VmState::Serving};
      m_Node.handle(PeerReceived{Peer, Beat}, m_Clock.now(), m_Out);
    }
  }

  void arrive() {
    const ServiceSettings &Service = m_Site->m_Services[m_Next % m_Site->m_Services.size()];
    m_Clock.advance(std::chrono::microseconds(1));
    m_Node.handle(RequestArrived{.m_Request = RequestId{++m_Next},
                                 .m_Service = Service.m_Id,
                                 .m_Kind = Service.m_Kinds.front().m_Id},
                  m_Clock.now(), m_Out);
    collect();
  }

  void endOldest() {
    if (m_Running.empty()) {
      return;
    }
    const AttemptId Attempt = m_Running.front();
    m_Running.pop_front();
    m_Node.handle(AttemptEnded{.m_Attempt = Attempt,
                               .m_Result = AttemptResult::Completed,
                               .m_Reply = m_Reply},
                  m_Clock.now(), m_Out);
    collect();
  }

  void tick() {
    if (m_Node.nextTimer() <= m_Clock.now()) {
      m_Node.handle(TimerFired{}, m_Clock.now(), m_Out);
      collect();
    }
  }

private:
  void collect() {
    for (const Action &Item : m_Out) {
      if (const auto *Sent = std::get_if<Dispatch>(&Item)) {
        m_Running.push_back(Sent->m_Attempt);
      }
    }
    m_Out.clear();
  }

  std::shared_ptr<SiteSettings> m_Site;
  Node m_Node;
  PausedClock m_Clock;
  Actions m_Out;
  std::deque<AttemptId> m_Running;
  ReplyPtr m_Reply = std::make_shared<Reply>();
  std::uint64_t m_Next = 0;
  std::uint64_t m_Sequence = 0;
};

void decide(benchmark::State &State, const char *Policy) {
  const auto Servers = static_cast<std::uint32_t>(State.range(0));
  const auto Vms = static_cast<std::uint32_t>(State.range(1));
  const auto InFlight = static_cast<std::uint32_t>(State.range(2));
  const std::int64_t BytesBefore = LiveBytes.load();
  Driver Kernel(Servers, Vms, Policy);
  const std::int64_t BytesOfServers = LiveBytes.load() - BytesBefore;
  for (std::uint32_t Count = 0; Count < InFlight; ++Count) {
    Kernel.arrive();
  }
  const std::int64_t BytesOfRequests = LiveBytes.load() - BytesBefore - BytesOfServers;
  const std::uint64_t AllocationsBefore = Allocations.load();
  for (auto _ : State) {
    Kernel.arrive();
    Kernel.endOldest();
    Kernel.tick();
  }
  State.counters["allocs_per_request"] =
      static_cast<double>(Allocations.load() - AllocationsBefore) /
      static_cast<double>(State.iterations());
  State.counters["bytes_per_server"] = static_cast<double>(BytesOfServers) / Servers;
  State.counters["bytes_per_request"] = static_cast<double>(BytesOfRequests) / InFlight;
}

// Servers, VMs, requests in flight in this VM. The last row holds all slots of 35 servers.
BENCHMARK_CAPTURE(decide, leased, "leased")
    ->Args({35, 20, 6})
    ->Args({600, 100, 20})
    ->Args({35, 1, 150});
BENCHMARK_CAPTURE(decide, naive, "naive")->Args({35, 20, 6})->Args({600, 100, 20});

} // namespace
} // namespace vanillahill::kernel

BENCHMARK_MAIN();
