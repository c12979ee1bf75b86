/// How much of the limits of servers is used, and how many requests a server gets at most in four
/// seconds, when all servers of a service name a limit: the parts of limitShare() beside an equal
/// part for each VM.

#include "vanillahill/kernel/probed/limit_share.hpp"

#include <benchmark/benchmark.h>

#include <deque>
#include <random>

namespace vanillahill::kernel::probed {
namespace {

constexpr Duration Window = std::chrono::seconds(4);
constexpr Duration Length = std::chrono::seconds(60);

struct Fleet {
  std::size_t m_Vms;
  std::size_t m_DataCenters;
  std::size_t m_Servers;
};

constexpr std::array Fleets{Fleet{20, 4, 22}, Fleet{137, 4, 230}, Fleet{472, 6, 543}};

FleetView viewOf(const Fleet &Of, std::size_t Vm) {
  FleetView View{.m_Self = VmId{static_cast<std::uint32_t>(Vm)},
                 .m_DataCenter = std::to_string(Vm % Of.m_DataCenters)};
  for (std::size_t Each = Vm % Of.m_DataCenters; Each < Of.m_Vms; Each += Of.m_DataCenters) {
    View.m_Local.push_back(VmId{static_cast<std::uint32_t>(Each)});
  }
  for (std::size_t Each = 0; Each < Of.m_DataCenters; ++Each) {
    if (std::to_string(Each) != View.m_DataCenter) {
      View.m_OtherDataCenters.push_back(std::to_string(Each));
    }
  }
  return View;
}

/// Requests arrive at random VMs; each goes to a random server whose limit has room at that VM.
class Simulation {
public:
  Simulation(const Fleet &Of, double Limit, bool IsEqual)
      : m_Fleet(Of), m_Limits(Of.m_Vms * Of.m_Servers), m_Received(Of.m_Servers) {
    for (std::size_t Vm = 0; Vm < Of.m_Vms; ++Vm) {
      const FleetView View = viewOf(Of, Vm);
      for (std::size_t Index = 0; Index < Of.m_Servers; ++Index) {
        const ServerSettings Server{.m_Name = "s" + std::to_string(Index),
                                    .m_DataCenter = std::to_string(Index % Of.m_DataCenters)};
        const LimitShare Part =
            IsEqual ? LimitShare{.m_PerSecond = Limit / static_cast<double>(Of.m_Vms)}
                    : limitShare(View, Server, Limit);
        RequestLimit &Known = limitAt(Vm, Index);
        Known.record({.m_PerSecond = Limit}, 0.0, m_Now);
        Known.setShare(Part, m_Now, m_Now);
      }
    }
  }

  void run(double PerSecond) {
    std::exponential_distribution<double> Gap(PerSecond);
    std::uniform_int_distribution<std::size_t> AnyVm(0, m_Fleet.m_Vms - 1);
    const TimePoint End = m_Now + Length;
    while (m_Now < End) {
      m_Now += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Gap(m_Random)));
      send(AnyVm(m_Random));
    }
  }

  std::size_t sent() const { return m_Sent; }
  std::size_t mostInWindow() const { return m_MostInWindow; }

private:
  RequestLimit &limitAt(std::size_t Vm, std::size_t Server) {
    return m_Limits[Vm * m_Fleet.m_Servers + Server];
  }

  void send(std::size_t Vm) {
    std::uniform_int_distribution<std::size_t> AnyServer(0, m_Fleet.m_Servers - 1);
    const std::size_t First = AnyServer(m_Random);
    for (std::size_t Step = 0; Step < m_Fleet.m_Servers; ++Step) {
      const std::size_t Server = (First + Step) % m_Fleet.m_Servers;
      if (limitAt(Vm, Server).share() == 0.0 || !limitAt(Vm, Server).allowsRequest(m_Now)) {
        continue;
      }
      limitAt(Vm, Server).countRequest(m_Now);
      ++m_Sent;
      std::deque<TimePoint> &Times = m_Received[Server];
      Times.push_back(m_Now);
      while (m_Now - Times.front() > Window) {
        Times.pop_front();
      }
      m_MostInWindow = std::max(m_MostInWindow, Times.size());
      return;
    }
  }

  Fleet m_Fleet;
  std::mt19937_64 m_Random{1};
  TimePoint m_Now = TimePoint{} + std::chrono::hours(1);
  std::vector<RequestLimit> m_Limits;
  std::vector<std::deque<TimePoint>> m_Received;
  std::size_t m_Sent = 0;
  std::size_t m_MostInWindow = 0;
};

/// Arguments: fleet, tenths of a request per second, demand in percent of all limits, equal parts.
void useOfLimits(benchmark::State &State) {
  const Fleet &Of = Fleets[static_cast<std::size_t>(State.range(0))];
  const double Limit = static_cast<double>(State.range(1)) / 10.0;
  const double Demand = static_cast<double>(State.range(2)) / 100.0;
  const double Allowed =
      Limit * static_cast<double>(Of.m_Servers) * std::chrono::duration<double>(Length).count();
  for (auto Run : State) {
    Simulation Simulated(Of, Limit, State.range(3) != 0);
    Simulated.run(Limit * static_cast<double>(Of.m_Servers) * Demand);
    State.counters["used"] = static_cast<double>(Simulated.sent()) / Allowed;
    State.counters["most_in_4s"] = static_cast<double>(Simulated.mostInWindow());
    State.counters["allowed_in_4s"] = 6.0 * Limit + 5.0;
  }
}

BENCHMARK(useOfLimits)
    ->ArgNames({"fleet", "limit_x10", "demand_pct", "equal"})
    ->ArgsProduct({{0, 1, 2}, {5, 60, 160}, {90, 200}, {0, 1}})
    ->Iterations(1);

} // namespace
} // namespace vanillahill::kernel::probed

BENCHMARK_MAIN();
