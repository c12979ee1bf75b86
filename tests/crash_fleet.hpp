/// \file
/// A fleet of dispatchers with a request that crashes every server that runs it.
#pragma once

#include "probed_harness.hpp"

#include <array>

namespace vanillahill::kernel::probed {

/// Time after the third crash from which sendings are counted.
inline constexpr Duration Settled = seconds(3);
/// Sendings that are then still allowed, in all.
inline constexpr std::size_t AllowedSendings = 3;
/// Content of the request that ends the servers.
inline constexpr std::uint64_t CrashContent = 1ULL << 40U;

/// Content that many ordinary requests have.
inline constexpr std::uint64_t PopularContent = CrashContent + 1;

struct CrashFleetOptions {
  std::size_t m_Vms = 20;
  std::size_t m_DataCenters = 4;
  std::size_t m_Servers = 14;
  /// Ordinary requests per second that arrive at all VMs together.
  double m_PerSecond = 120.0;
  /// Copies per second of the request that ends the servers.
  double m_CrashingPerSecond = 4.0;
  KindId m_CrashingKind = DispatcherHarness::Look;
  std::uint64_t m_Seed = 1;
};

inline Duration fromSeconds(double Value) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(Value));
}

/// A fleet under load while one request, which ends every server that begins to run it, arrives
/// again and again at any VM.
class CrashFleet {
public:
  explicit CrashFleet(const CrashFleetOptions &Options)
      : m_Options(Options), m_Random(Options.m_Seed),
        m_Service(Options.m_Servers, &CrashFleet::raiseBudgets, Options.m_Vms,
                  Options.m_DataCenters) {
    m_Service.m_CrashesServer = [this](RequestId Request) {
      return m_Service.contentOf(Request) == CrashContent;
    };
  }

  void run(Duration Length) {
    const TimePoint End = m_Service.now() + Length;
    const double Total = m_Options.m_PerSecond + m_Options.m_CrashingPerSecond;
    std::exponential_distribution<double> Gap(Total);
    std::bernoulli_distribution Crashing(m_Options.m_CrashingPerSecond / Total);
    while (true) {
      const TimePoint Arrival = m_Service.now() + fromSeconds(Gap(m_Random));
      m_Service.advance(std::min(Arrival, End) - m_Service.now());
      if (Arrival >= End) {
        return;
      }
      if (Crashing(m_Random)) {
        m_Service.arrive(m_Options.m_CrashingKind, drawVm(), CrashContent);
      } else {
        const KindId Kind =
            ++m_Arrivals % 3 == 0 ? DispatcherHarness::Post : DispatcherHarness::Look;
        const bool IsPopular = std::bernoulli_distribution(m_PopularShare)(m_Random);
        const std::size_t Vm = drawVm();
        m_Ordinary.push_back(IsPopular ? m_Service.arrive(Kind, Vm, PopularContent)
                                       : m_Service.arrive(Kind, Vm));
      }
    }
  }

  /// Sendings of the request that ends servers, from Settled after it ended the third one on.
  std::size_t lateSendings() const {
    if (m_Service.crashes().size() < 3) {
      return 0;
    }
    const TimePoint From = m_Service.crashes()[2].m_At + Settled;
    return static_cast<std::size_t>(std::count_if(
        m_Service.sent().begin(), m_Service.sent().end(), [this, From](const Sent &Each) {
          return Each.m_Request && Each.m_At > From &&
                 m_Service.contentOf(*Each.m_Request) == CrashContent;
        }));
  }

  /// Share of the ordinary requests that arrived from a point in time on and were served.
  double servedShare(TimePoint From) {
    std::size_t Arrived = 0;
    std::size_t Served = 0;
    for (const RequestId Request : m_Ordinary) {
      if (m_Service.arrivedAt(Request) >= From && m_Service.isAnswered(Request)) {
        ++Arrived;
        Served += m_Service.answerOf(Request).m_Outcome == Outcome::Completed ? 1 : 0;
      }
    }
    return static_cast<double>(Served) / static_cast<double>(Arrived);
  }

  /// Ordinary requests that were refused as if they crashed servers.
  std::size_t blamedRequests() {
    return static_cast<std::size_t>(
        std::count_if(m_Ordinary.begin(), m_Ordinary.end(), [this](RequestId Request) {
          return m_Service.isAnswered(Request) &&
                 m_Service.answerOf(Request).m_Reason == Reason::PoisonRequest;
        }));
  }

  /// A VM's process is killed and starts again; the others of its data centre learn of it.
  void restart(std::size_t Vm) {
    const FleetView All = m_Service.fleetOf(Vm, m_Options.m_Vms);
    FleetView Alone = All;
    Alone.m_Local = {All.m_Self};
    m_Service.restart(Vm, Alone);
    for (std::size_t Other = 0; Other < m_Options.m_Vms; ++Other) {
      if (Other == Vm || m_Service.dataCenterOf(Other) != m_Service.dataCenterOf(Vm)) {
        continue;
      }
      FleetView Without = m_Service.fleetOf(Other, m_Options.m_Vms);
      std::erase(Without.m_Local, All.m_Self);
      m_Service.changeFleet(Other, std::move(Without));
      m_Service.changeFleet(Other, m_Service.fleetOf(Other, m_Options.m_Vms));
    }
    m_Service.changeFleet(Vm, All);
  }

  /// Share of the announcements that are lost.
  void loseAnnouncements(double Share) {
    m_Service.m_IsAnnounced = [this, Share](std::size_t, std::size_t) {
      return !std::bernoulli_distribution(Share)(m_Random);
    };
  }

  /// All requests have one method, host, path and length of the body.
  void giveAllTheSamePathAndLength() {
    m_Service.m_HashOf = [](std::uint64_t) { return std::uint64_t{1}; };
  }

  /// Share of the ordinary requests that ask for the same.
  double m_PopularShare = 0.0;

  DispatcherHarness &service() { return m_Service; }
  std::size_t vms() const { return m_Options.m_Vms; }

private:
  static void raiseBudgets(ServiceSettings &Settings) { Settings.m_Policy.m_ProbesPerSecond = 1e6; }

  std::size_t drawVm() {
    return std::uniform_int_distribution<std::size_t>(0, m_Options.m_Vms - 1)(m_Random);
  }

  CrashFleetOptions m_Options;
  std::mt19937_64 m_Random;
  DispatcherHarness m_Service;
  std::vector<RequestId> m_Ordinary;
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
                                       FleetSize{137, 4, 40, 400.0}, FleetSize{500, 6, 80, 800.0}};
#endif

inline CrashFleetOptions optionsOf(const FleetSize &Size) {
  return {.m_Vms = Size.m_Vms,
          .m_DataCenters = Size.m_DataCenters,
          .m_Servers = Size.m_Servers,
          .m_PerSecond = Size.m_PerSecond};
}

} // namespace vanillahill::kernel::probed
