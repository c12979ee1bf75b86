/// \file
/// Which VMs this one knows. No input or output.
#pragma once

#include "vanillahill/core/time.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahill::fleet {

struct PeersOptions {
  std::string m_SelfIp;
  /// VMs that may know others; they may be stale or down.
  std::vector<std::string> m_SeedIps;
};

/// Learns of VMs from seeds and from each other, and forgets those that are silent. Not thread
/// safe.
class Peers {
public:
  /// A VM tells each other one at least this often that it is alive; in a large fleet less often.
  static constexpr Duration HelloPeriod = std::chrono::seconds(4);
  /// Added to the period for each VM known, so that its cost for a VM does not grow with the fleet.
  static constexpr Duration HelloPeriodForEach = std::chrono::milliseconds(40);
  /// Periods after which a silent VM is forgotten.
  static constexpr int SilentPeriods = 3;
  /// Pause between questions to the seeds while no other VM is known.
  static constexpr Duration SearchPeriod = std::chrono::milliseconds(400);

  explicit Peers(PeersOptions Options) : m_Options(std::move(Options)) {}

  /// \brief Replaces the VMs that may know others.
  void setSeeds(std::vector<std::string> SeedIps) { m_Options.m_SeedIps = std::move(SeedIps); }

  /// \brief A message came from a VM.
  /// \return whether it was not known before
  bool heard(std::string_view Ip, TimePoint Now);

  /// \brief Another VM told which ones it knows.
  /// \return those that were not known here, to be greeted
  std::vector<std::string> learn(const std::vector<std::string> &Ips, TimePoint Now);

  /// \brief A message was sent to every known VM: they need no greeting for a period.
  void toldAll(TimePoint Now) {
    if (!isAlone()) {
      m_LastHello = Now;
    }
  }

  /// \brief The VMs to greet now. Forgets silent ones.
  std::vector<std::string> dueHellos(TimePoint Now);

  /// \brief Whether other VMs should be asked for: none is known yet.
  bool isAlone() const { return m_Known.empty(); }

  TimePoint nextTimer() const;

  /// \brief All VMs known, without this one.
  std::vector<std::string> all() const;

  /// \brief VMs of the fleet, with this one.
  std::size_t fleetSize() const { return m_Known.size() + 1; }

private:
  Duration period() const;

  PeersOptions m_Options;
  /// When each VM was last heard, or told of.
  std::map<std::string, TimePoint, std::less<>> m_Known;
  TimePoint m_LastHello{};
};

} // namespace vanillahill::fleet
