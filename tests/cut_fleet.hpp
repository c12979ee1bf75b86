/// \file
/// A fleet of simulated VMs of which some are cut off from all servers.
#pragma once

#include "probed_harness.hpp"

#include <array>
#include <span>

namespace vanillahill::kernel::probed {
/// Time after the begin of a cut from which requests are judged.
inline constexpr Duration Settled = seconds(3);

struct CutFleetOptions {
  std::size_t m_Vms = 20;
  std::size_t m_DataCenters = 4;
  std::size_t m_Servers = 14;
  /// Requests per second that arrive at all VMs together.
  double m_PerSecond = 120.0;
  std::uint64_t m_Seed = 1;
};

inline Duration fromSeconds(double Value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Value));
}

/// A fleet under load of which some VMs are cut off from all servers.
class CutFleet {
public:
  explicit CutFleet(const CutFleetOptions &Options)
      : m_Options(Options), m_Random(Options.m_Seed),
        m_Service(Options.m_Servers, &CutFleet::raiseBudgets, Options.m_Vms,
                  Options.m_DataCenters) {}

  void run(Duration Length) {
    const TimePoint End = m_Service.now() + Length;
    std::exponential_distribution<double> Gap(m_Options.m_PerSecond);
    while (true) {
      const TimePoint Arrival = m_Service.now() + fromSeconds(Gap(m_Random));
      m_Service.advance(std::min(Arrival, End) - m_Service.now());
      if (Arrival >= End) {
        return;
      }
      const std::size_t Vm =
          std::uniform_int_distribution<std::size_t>(0, m_Options.m_Vms - 1)(m_Random);
      const KindId Kind = ++m_Arrivals % 3 == 0 ? DispatcherHarness::Post : DispatcherHarness::Look;
      m_Requests.push_back({.m_Id = m_Service.arrive(Kind, Vm), .m_Vm = Vm});
    }
  }

  /// Cuts the VMs with the lowest numbers off, or ends that.
  void cut(std::size_t Count, Cut How) {
    for (std::size_t Vm = 0; Vm < Count; ++Vm) {
      cutVm(Vm, How);
    }
  }
  void cutVm(std::size_t Vm, Cut How) {
    m_Service.cutOff(Vm, How);
    m_WasCut[Vm] = true;
  }

  struct Served {
    std::size_t m_Arrived = 0;
    std::size_t m_Served = 0;
    double share() const {
      return m_Arrived == 0 ? 1.0 : static_cast<double>(m_Served) / static_cast<double>(m_Arrived);
    }
  };

  /// What became of the requests from a point in time on, at the VMs that were cut off or at the
  /// others. Those of the last second may still run.
  Served served(TimePoint From, bool AtCutVms) {
    Served Count;
    for (const Arrived &Each : m_Requests) {
      const TimePoint Arrival = m_Service.arrivedAt(Each.m_Id);
      if (Arrival < From || m_WasCut[Each.m_Vm] != AtCutVms ||
          m_Service.now() - Arrival < seconds(1)) {
        continue;
      }
      ++Count.m_Arrived;
      const bool IsServed = m_Service.isAnswered(Each.m_Id) &&
                            m_Service.answerOf(Each.m_Id).m_Outcome == Outcome::Completed;
      Count.m_Served += IsServed ? 1 : 0;
    }
    return Count;
  }

  /// Whether cut-off VMs serve two thirds as often as the others, or fail hardly any request.
  bool servesAlike(TimePoint From) {
    const Served Off = served(From, true);
    const Served Others = served(From, false);
    const double MostFailed = 10.0 + static_cast<double>(Off.m_Arrived + Others.m_Arrived) / 50.0;
    return 3.0 * Off.share() >= 2.0 * Others.share() ||
           static_cast<double>(Off.m_Arrived - Off.m_Served) <= MostFailed;
  }

  DispatcherHarness &service() { return m_Service; }

private:
  struct Arrived {
    RequestId m_Id{};
    std::size_t m_Vm = 0;
  };

  static void raiseBudgets(ServiceSettings &Settings) { Settings.m_Policy.m_ProbesPerSecond = 1e6; }

  CutFleetOptions m_Options;
  std::mt19937_64 m_Random;
  DispatcherHarness m_Service;
  std::vector<Arrived> m_Requests;
  std::map<std::size_t, bool> m_WasCut;
  std::uint64_t m_Arrivals = 0;
};

struct FleetSize {
  std::size_t m_Vms;
  std::size_t m_DataCenters;
  std::size_t m_Servers;
  double m_PerSecond;
};

// The sanitizers make the large fleets take too long; the optimised build runs all.
#ifdef __SANITIZE_ADDRESS__
inline constexpr std::array FleetSizes{FleetSize{5, 1, 8, 60.0}, FleetSize{20, 4, 14, 120.0}};
#else
inline constexpr std::array FleetSizes{FleetSize{5, 1, 8, 60.0}, FleetSize{20, 4, 14, 120.0},
                                       FleetSize{137, 4, 40, 400.0}, FleetSize{500, 6, 80, 1600.0}};
#endif

inline CutFleetOptions optionsOf(const FleetSize &Size) {
  return {.m_Vms = Size.m_Vms,
          .m_DataCenters = Size.m_DataCenters,
          .m_Servers = Size.m_Servers,
          .m_PerSecond = Size.m_PerSecond};
}

} // namespace vanillahill::kernel::probed
