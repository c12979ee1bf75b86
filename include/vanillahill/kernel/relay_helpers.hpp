/// \file
/// The VMs that may send requests to backend servers for this one.
#pragma once

#include "vanillahill/core/ids.hpp"
#include "vanillahill/core/time.hpp"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

namespace vanillahill::kernel {

/// Another VM that takes requests from VMs which do not reach the servers.
struct HelperVm {
  /// Identifies the VM among the targets of attempts; see helperId().
  ServerId m_Id{};
  std::string m_Name;
  /// IP:port where it takes requests of other VMs.
  std::string m_Address;
  /// In the data centre of this VM.
  bool m_IsLocal = false;

  friend bool operator==(const HelperVm &, const HelperVm &) = default;
};

/// \brief The id of a VM as the target of attempts.
ServerId helperId(std::string_view Ip);

/// Chooses helpers: local ones first, the one with fewer requests of two. VMs that have announced
/// that they are cut off as well are passed over, and for a moment also one that did not serve a
/// request. Not thread safe.
class RelayHelpers {
public:
  /// A helper that did not serve a request is not chosen for this long.
  static constexpr Duration AvoidTime = std::chrono::seconds(1);
  /// An announcement that a VM is cut off holds for this long.
  static constexpr Duration AnnouncementLifetime = std::chrono::seconds(6);
  /// A VM that is cut off announces it in this interval while requests arrive.
  static constexpr Duration AnnounceInterval = std::chrono::seconds(2);

  /// \brief Replaces the helpers. What is known of those that stay is kept.
  void set(std::span<const HelperVm> Helpers);

  /// \brief Chooses a helper.
  /// \param Tried helpers that had the request before
  /// \return nothing when there is none
  std::optional<ServerId> choose(std::span<const ServerId> Tried, TimePoint Now,
                                 std::mt19937_64 &Random) const;

  /// \brief Whether the target of an attempt is a helper, and its name.
  const HelperVm *find(ServerId Id) const;

  /// \brief Notes what a VM announced about its links to the servers.
  void noteAnnounced(ServerId Id, bool IsCutOff, TimePoint Now);

  void countSent(ServerId Id);

  /// \brief Notes that a request sent to a helper has ended.
  /// \param WasServed a server's reply came back
  void noteEnd(ServerId Id, bool WasServed, TimePoint Now);

  std::size_t size() const { return m_Helpers.size(); }

  /// \brief All other VMs that are known, whether they take requests or not.
  std::span<const HelperVm> all() const { return m_All; }

private:
  struct Helper {
    HelperVm m_Vm;
    TimePoint m_AvoidUntil = TimePoint::min();
    std::uint32_t m_InFlight = 0;
  };

  Helper *findHelper(ServerId Id);

  std::vector<Helper> m_Helpers;
  std::vector<HelperVm> m_All;
};

} // namespace vanillahill::kernel
