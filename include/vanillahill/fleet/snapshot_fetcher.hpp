/// \file
/// Decides when a VM fetches a snapshot, from which other VM, and whom it offers its own.
#pragma once

#include "vanillahill/fleet/follower.hpp"
#include "vanillahill/fleet/snapshot_request.hpp"
#include "vanillahill/fleet/vm_info.hpp"

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahill::fleet {

/// Records that are too long for an announcement spread from VM to VM: each one that has fetched
/// them offers them to a few others, which fetch them from it at once. The announcer's link carries
/// a few copies then, not one for each VM, and the store is read by few. Does no I/O itself. Not
/// thread safe.
class SnapshotFetcher {
public:
  /// Limit on the VMs that are remembered as having the wanted records.
  static constexpr std::size_t MaxHolders = 8;
  /// Number of VMs to which a VM offers what it has fetched.
  static constexpr std::size_t OffersPerVm = 4;
  /// Bounds of the snapshots that a VM sends at the same time: one that is refused asks another VM,
  /// and the few that are served become sources sooner.
  static constexpr std::size_t MinTransfers = 2;
  static constexpr std::size_t MaxTransfers = 24;
  /// Rate that each of several snapshots must have on the sender's link, in bits per second.
  static constexpr double TransferBitsPerSecond = 10e6;

  /// \brief Limit on the snapshots that a VM sends at the same time.
  /// \param LinkBitsPerSecond rate of its link; 0 when it is not known
  static std::size_t maxTransfers(double LinkBitsPerSecond) {
    return std::clamp(static_cast<std::size_t>(LinkBitsPerSecond / TransferBitsPerSecond),
                      MinTransfers, MaxTransfers);
  }
  /// Upper limit of the random delay before an announced snapshot is fetched, so that not all VMs
  /// of a data centre ask the announcer at the same time.
  static constexpr Duration MaxDelay = std::chrono::milliseconds(250);
  /// Bounds of the random pause after a fetch that failed: the source may be busy with others.
  static constexpr Duration MinPause = std::chrono::milliseconds(40);
  static constexpr Duration MaxPause = std::chrono::milliseconds(100);

  explicit SnapshotFetcher(std::uint64_t Seed) : m_Random(Seed) {}

  /// \brief Reports that another VM has records which are missing here.
  /// \param Ip the VM that has them
  /// \param To position behind the last of them
  /// \param IsOffer the VM speaks to few others, or waits for this VM to relay: the fetch is due at
  /// once
  /// \param LinkClass that of the VM; see ReaderRank
  void announced(std::string_view Ip, Stream Which, const Position &To, bool IsOffer, TimePoint Now,
                 std::uint32_t LinkClass = VmInfo::UnknownLink);

  /// \brief Positions up to which records are known to exist; the first position for none.
  const SnapshotRequest &wanted() const { return m_Wanted; }
  bool hasWanted() const {
    return m_Wanted.m_ConfigurationTo > Position{} || m_Wanted.m_ServersTo > Position{};
  }

  /// \brief Whether a fetch may start now, if a snapshot is needed.
  bool mayStart(TimePoint Now) const { return !m_IsFetching && Now >= m_NextAt; }
  bool isFetching() const { return m_IsFetching; }
  /// \brief Earliest time of the next fetch.
  TimePoint nextAt() const { return m_NextAt; }

  /// \brief A random VM that is known to have all wanted records that are missing here, among those
  /// with the fastest links.
  /// \param Known what this VM knows
  /// \return nothing when none is known, or when the last one was busy: any other VM may have
  /// fetched the records by now
  std::optional<std::string> drawHolder(const SnapshotRequest &Known);

  void started() { m_IsFetching = true; }

  /// \brief Reports the end of a fetch.
  /// \param Source the VM from which the snapshot was fetched
  /// \param HasSucceeded a snapshot was received
  void ended(std::string_view Source, bool HasSucceeded, TimePoint Now);

private:
  struct Holder {
    std::string m_Ip;
    SnapshotRequest m_Has;
    std::uint32_t m_LinkClass = VmInfo::UnknownLink;
  };

  void forgetHolder();

  std::mt19937_64 m_Random;
  SnapshotRequest m_Wanted;
  /// In the order of their last announcement.
  std::vector<Holder> m_Holders;
  bool m_IsFetching = false;
  /// The last fetch was from a known holder and failed.
  bool m_HasHolderFailed = false;
  TimePoint m_NextAt{};
};

} // namespace vanillahill::fleet
