/// \file
/// The other VMs that this one knows. Does no I/O itself.
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
  /// Addresses of VMs that may know others; they may be out of date or down.
  std::vector<std::string> m_SeedIps;
};

/// Finds other VMs through seeds and through the VMs already known, and forgets those that are
/// silent. Not thread safe.
class Peers {
public:
  /// Longest time between two messages to each other VM, before HelloPeriodPerVm is added.
  static constexpr Duration HelloPeriod = std::chrono::seconds(4);
  /// Added to the period for each known VM, so that the rate of hellos that one VM sends stays
  /// bounded in a large fleet.
  static constexpr Duration HelloPeriodPerVm = std::chrono::milliseconds(40);
  /// A VM that is silent for more hello periods than this is forgotten.
  static constexpr int MaxSilentPeriods = 3;
  /// Time between two hellos to the seeds while no other VM is known.
  static constexpr Duration SeedQueryPeriod = std::chrono::milliseconds(400);

  explicit Peers(PeersOptions Options) : m_Options(std::move(Options)) {}

  /// \brief Replaces PeersOptions::m_SeedIps.
  void setSeeds(std::vector<std::string> SeedIps) { m_Options.m_SeedIps = std::move(SeedIps); }

  /// \brief Records that a message arrived from a VM.
  /// \return whether the VM was not known before
  bool heard(std::string_view Ip, TimePoint Now);

  /// \brief Adds the VMs that another VM knows.
  /// \return those that were not known here; they are to be sent a hello
  std::vector<std::string> learn(const std::vector<std::string> &Ips, TimePoint Now);

  /// \brief Records that a message was sent to every known VM: no hello is due for a period.
  void toldAll(TimePoint Now) {
    if (!isAlone()) {
      m_LastHello = Now;
    }
  }

  /// \brief Forgets silent VMs and returns those to which a hello is due now, seeds included.
  std::vector<std::string> dueHellos(TimePoint Now);

  /// \brief Whether no other VM is known; a hello then asks for more.
  bool isAlone() const { return m_Known.empty(); }

  /// \brief When dueHellos() should be called next.
  TimePoint nextTimer() const;

  /// \brief All known VMs, without this one.
  std::vector<std::string> all() const;

  /// \brief Number of VMs in the fleet, including this one.
  std::size_t fleetSize() const { return m_Known.size() + 1; }

private:
  Duration helloPeriod() const;

  PeersOptions m_Options;
  /// When each VM was last heard from, or was named by another VM for the first time.
  std::map<std::string, TimePoint, std::less<>> m_Known;
  TimePoint m_LastHello{};
};

} // namespace vanillahill::fleet
