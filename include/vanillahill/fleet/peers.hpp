/// \file
/// The other VMs that this one knows, by data centre. Does no I/O itself.
#pragma once

#include "vanillahill/core/time.hpp"
#include "vanillahill/fleet/vm_info.hpp"

#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahill::fleet {

struct PeersOptions {
  std::string m_SelfIp;
  std::string m_DataCenter;
  /// Addresses of VMs that may know others; they may be out of date or down.
  std::vector<std::string> m_SeedIps;
  std::uint64_t m_Seed = 0;
};

/// A hello that is to be sent now.
struct DueHello {
  std::string m_Ip;
  /// The hello requests a list of the VMs that the receiver knows.
  bool m_AsksForPeers = false;
};

/// Knows every VM of its own data centre (local) and a few of each other one (remote), so that the
/// cost of membership grows with the size of one data centre and not with that of the fleet. Finds
/// VMs through the seeds and through the VMs already known, and forgets those that are silent. Not
/// thread safe.
class Peers {
public:
  /// Time between two hellos to each local VM, before HelloPeriodPerVm is added.
  static constexpr Duration HelloPeriod = std::chrono::seconds(4);
  /// Added to the period for each local VM, so that the rate of hellos that one VM sends stays
  /// bounded.
  static constexpr Duration HelloPeriodPerVm = std::chrono::milliseconds(40);
  /// A local VM that is silent for more hello periods than this is forgotten.
  static constexpr int MaxSilentPeriods = 3;
  /// A remote VM that is silent for longer is forgotten. Each remote VM sends only some of its
  /// hellos to this VM.
  static constexpr Duration RemoteLifetime = std::chrono::seconds(60);
  /// Time between two questions for other VMs while none is known, and during SettlingTime.
  static constexpr Duration QueryPeriod = std::chrono::milliseconds(400);
  /// The same while none is known during SettlingTime: the seeds may start at the same time.
  static constexpr Duration FirstQueryPeriod = std::chrono::milliseconds(60);
  /// For this long after its start a VM asks often, and at its end sends hellos to all: many VMs
  /// may start at the same time, and the first lists are incomplete.
  static constexpr Duration SettlingTime = std::chrono::seconds(4);
  /// Limit on known VMs of one remote data centre; the one that was silent longest is replaced.
  static constexpr std::size_t MaxRemoteVms = 32;
  /// VMs of each remote data centre that a message for the whole fleet is sent to; each passes it
  /// on in its data centre. With two, the loss of one datagram or VM delays nothing.
  static constexpr std::size_t RelaysPerDataCenter = 2;
  /// Relays are drawn from this many of the VMs with the most recent messages.
  static constexpr std::size_t RelayCandidates = 4;
  /// Limits on the addresses in a list: of the receiver's data centre, and of each other one.
  static constexpr std::size_t MaxListedLocalVms = 200;
  static constexpr std::size_t MaxListedRemoteVms = 4;

  explicit Peers(PeersOptions Options)
      : m_Options(std::move(Options)), m_Random(m_Options.m_Seed) {}

  /// \brief Replaces PeersOptions::m_SeedIps.
  void setSeeds(std::vector<std::string> SeedIps) { m_Options.m_SeedIps = std::move(SeedIps); }

  /// \brief Records that a VM sent a message with information about itself.
  /// \return whether the VM was not known before
  bool heard(std::string_view Ip, const VmInfo &Sender, TimePoint Now);

  /// \brief Records that a VM sent a message without such information; no effect on an unknown VM.
  void refresh(std::string_view Ip, TimePoint Now);

  /// \brief Adds the VMs that another VM knows.
  /// \return the local ones that were not known here; they are to be sent a hello
  std::vector<std::string> learn(std::span<const VmGroup> Groups, TimePoint Now);

  /// \brief Forgets silent VMs and returns the hellos that are due now: to every local VM, to one
  /// VM of each remote data centre, and to the seeds while no other VM is known.
  std::vector<DueHello> dueHellos(TimePoint Now);

  /// \brief When dueHellos() should be called next.
  TimePoint nextTimer() const;

  /// \brief The VMs to tell a VM of the given data centre about: all of its data centre up to the
  /// limit, and some of each other one.
  std::vector<VmGroup> list(std::string_view DataCenter, TimePoint Now);

  /// \brief All known local VMs, without this one.
  std::vector<std::string> local() const;

  /// \brief All known VMs of other data centres.
  std::vector<std::string> remote() const;

  /// \brief The other data centres with at least one known VM.
  std::vector<std::string> remoteDataCenters() const;

  /// Known VMs of one data centre.
  struct CapableGroup {
    std::string m_DataCenter;
    std::vector<std::string> m_Ips;
  };

  /// \brief The known VMs with a capability, without this one: those of this data centre first,
  /// then those of each other one.
  std::vector<CapableGroup> capable(std::uint32_t Capability) const;

  /// \brief Counts the changes of capable().
  std::uint64_t capabilityChanges() const { return m_CapabilityChanges; }

  /// \brief Counts the changes of local() and remoteDataCenters().
  std::uint64_t changes() const { return m_Changes; }

  /// \brief The relays for one message to the whole fleet.
  std::vector<std::string> drawRelays();

  /// \brief Some random VMs of this data centre; all of them when there are no more.
  std::vector<std::string> drawLocal(std::size_t Count);

  /// \brief A random known VM, preferably a local one that has a catalog.
  /// \return nothing while no VM is known
  std::optional<std::string> drawSnapshotSource();

  /// \brief Whether no other VM is known.
  bool isAlone() const { return m_Local.empty() && m_Remote.empty(); }

  /// \brief Number of VMs of this data centre with a faster link than this VM; among equal links
  /// the addresses decide.
  std::size_t localRank(std::uint32_t LinkClass) const;

  /// \brief Number of other VMs of this data centre whose link is of a class or faster.
  std::size_t localWithLink(std::uint32_t LinkClass) const;

  /// \brief Whether a local VM is known to have a catalog.
  bool hasLocalCatalog() const;

  /// \brief Number of VMs known in this data centre, including this one.
  std::size_t localSize() const { return m_Local.size() + 1; }

  /// \brief Number of VMs in the fleet, including this one.
  std::size_t fleetSize() const;

  /// \brief Whether two sizes of the fleet differ by more than a fifth of the larger one, so that
  /// budgets are divided anew.
  static bool hasSizeChanged(std::size_t Previous, std::size_t Present);

private:
  /// Times at which a VM was last heard from are those of this VM or of the one that named it, so
  /// that a VM that is gone is forgotten although others may still name it.
  struct LocalVm {
    TimePoint m_LastHeard{};
    bool m_HasCatalog = false;
    std::uint32_t m_Capabilities = 0;
    /// See VmInfo.
    std::uint32_t m_LinkClass = VmInfo::UnknownLink;
  };
  struct RemoteGroup {
    std::uint32_t m_Vms = 0;
    /// When the number of VMs was received.
    TimePoint m_CountedAt{};
    std::map<std::string, TimePoint, std::less<>> m_LastHeard;
    /// Capabilities of those that sent messages to this VM.
    std::map<std::string, std::uint32_t, std::less<>> m_Capabilities;
  };

  bool isSettling() const;
  Duration helloPeriod() const;
  void forgetSilent(TimePoint Now);
  void addHellosToGroups(std::vector<DueHello> &Due);
  void addQueries(std::vector<DueHello> &Due);
  void learnLocal(const VmGroup &Named, TimePoint Now, std::vector<std::string> &Added);
  void learnRemote(const VmGroup &Named, TimePoint Now);
  RemoteGroup &remoteGroup(const std::string &DataCenter);
  static void trimGroup(RemoteGroup &Group);
  /// At most Count VMs of a group, in order of their last message, the most recent first.
  static std::vector<std::string> mostRecent(const RemoteGroup &Group, std::size_t Count);
  template <typename Container> std::size_t drawIndex(const Container &From);

  PeersOptions m_Options;
  std::mt19937_64 m_Random;
  std::map<std::string, LocalVm, std::less<>> m_Local;
  std::map<std::string, RemoteGroup, std::less<>> m_Remote;
  std::uint64_t m_Changes = 0;
  std::uint64_t m_CapabilityChanges = 0;
  /// When dueHellos() last returned hellos, and when for the first time.
  std::optional<TimePoint> m_LastHello;
  TimePoint m_FirstHello{};
  /// When hellos were last sent to all local VMs.
  TimePoint m_LastRound{};
};

} // namespace vanillahill::fleet
