/// \file
/// Slots: which VM may use which slot of a backend server, and lending between VMs.
#pragma once

#include "vanillahill/kernel/server_table.hpp"

#include <concepts>
#include <optional>
#include <random>
#include <span>
#include <vector>

namespace vanillahill::kernel {

/// Identifies a slot that an attempt occupies.
enum class SlotHandle : std::uint64_t {};

/// What a slot policy is told of the present when it may ask peers.
struct Demand {
  std::size_t m_Queued = 0;
  TimePoint m_Now{};
};

/// Decides on how many requests one VM may have at a server.
template <typename T>
concept SlotPolicy = requires(T Slots, const T &Const, const ServerTable &Servers,
                              ServiceId Service, VmId Vm, std::span<const VmId> Alive,
                              ServerIndex Index, SlotHandle Handle, Demand Wanted,
                              std::mt19937_64 &Random, const peer::Message &Message, Actions &Out,
                              TimePoint Now) {
  { Slots.assign(Service, Servers, Vm, Alive) } -> std::same_as<void>;
  { Slots.idleByServer(Servers, Now) } -> std::same_as<std::span<const std::uint32_t>>;
  { Slots.take(Servers, Index, Now) } -> std::same_as<std::optional<SlotHandle>>;
  { Slots.release(Handle, Wanted) } -> std::same_as<void>;
  { Slots.mayOverflow(Servers, Now) } -> std::same_as<bool>;
  { Slots.ask(Wanted, Random, Out) } -> std::same_as<void>;
  { Slots.onPeer(Vm, Message, Servers, Wanted, Out) } -> std::same_as<void>;
  { Slots.flush(Servers, Wanted, Out) } -> std::same_as<void>;
  { Const.held() } -> std::same_as<std::uint32_t>;
  { Const.idle() } -> std::same_as<std::uint32_t>;
  { Const.nextTimer(Now) } -> std::same_as<TimePoint>;
};

/// No limit: every server always takes one more request.
class UnlimitedSlots {
public:
  void assign(ServiceId, const ServerTable &Servers, VmId, std::span<const VmId>) {
    m_AlwaysOne.assign(Servers.size(), 1);
  }
  std::span<const std::uint32_t> idleByServer(const ServerTable &, TimePoint) const {
    return m_AlwaysOne;
  }
  static std::optional<SlotHandle> take(const ServerTable &, ServerIndex, TimePoint) {
    return std::nullopt;
  }
  static void release(SlotHandle, const Demand &) {}
  static bool mayOverflow(const ServerTable &, TimePoint) { return false; }
  static void ask(const Demand &, std::mt19937_64 &, Actions &) {}
  static void onPeer(VmId, const peer::Message &, const ServerTable &, const Demand &, Actions &) {}
  static void setHint(VmId, std::uint32_t, TimePoint) {}
  static void flush(const ServerTable &, const Demand &, Actions &) {}
  static std::uint32_t held() { return 0; }
  static std::uint32_t heldAt(ServerId) { return 0; }
  static std::uint32_t idle() { return 0; }
  static TimePoint nextTimer(TimePoint) { return TimePoint::max(); }

private:
  std::vector<std::uint32_t> m_AlwaysOne;
};

/// Each slot of each server is owned by one VM, by rendezvous hashing with a bound on each VM's
/// share; an owner lends idle slots to a VM whose requests wait. All VMs with the same view of
/// the members compute the same owners, so no message is needed to share the slots out.
class LentSlots {
public:
  /// A borrowed slot may take new attempts for this long.
  static constexpr Duration LoanTerm = std::chrono::milliseconds(200);
  /// A lent slot that was not returned is taken back after this.
  static constexpr Duration ReclaimAfter = std::chrono::seconds(4);
  /// An unanswered request for slots is given up after this.
  static constexpr Duration AskTimeout = std::chrono::milliseconds(50);
  /// A lender without an idle slot remembers who asked for this long.
  static constexpr Duration AskMemory = std::chrono::milliseconds(40);
  /// Requests for slots that are open at once.
  static constexpr std::size_t MostAsks = 4;
  /// Messages that ask for slots, per second and at once, so that control traffic is bounded.
  static constexpr double AsksPerSecond = 120.0;
  static constexpr double AskBurst = 24.0;

  /// \brief Computes which slots this VM owns.
  /// \param Service the service, part of the hash
  /// \param Servers its servers; leaving ones give no slots
  /// \param Self this VM
  /// \param Alive the VMs that share the slots, sorted; without Self this VM owns none
  void assign(ServiceId Service, const ServerTable &Servers, VmId Self,
              std::span<const VmId> Alive);

  /// \brief Idle slots of each server that may be used now, in the order of the table.
  /// \return valid until the next call. \note Complexity: linear in the slots held.
  std::span<const std::uint32_t> idleByServer(const ServerTable &Servers, TimePoint Now);

  /// \brief Occupies an idle slot of a server; an owned one before a borrowed one.
  std::optional<SlotHandle> take(const ServerTable &Servers, ServerIndex Index, TimePoint Now);

  /// \brief Frees a slot; a borrowed one goes back unless more requests wait.
  void release(SlotHandle Handle, const Demand &Wanted);

  /// \brief Whether so many slots are idle over all VMs that a request may go to a server without
  /// a slot: a busy server is then unlikely and asking would cost more.
  bool mayOverflow(const ServerTable &Servers, TimePoint Now) const;

  /// \brief Asks peers for slots when requests wait.
  void ask(const Demand &Wanted, std::mt19937_64 &Random, Actions &Out);

  /// \brief Takes SlotRequest, SlotLoan and SlotReturn.
  void onPeer(VmId From, const peer::Message &Message, const ServerTable &Servers,
              const Demand &Wanted, Actions &Out);

  /// \brief Notes how many idle slots a peer reported.
  void setHint(VmId From, std::uint32_t IdleSlots, TimePoint Now);

  /// \brief Lends idle slots to peers that asked, sends back the borrowed slots that are not used
  /// and reclaims those never returned. Called after each event.
  void flush(const ServerTable &Servers, const Demand &Wanted, Actions &Out);

  /// \brief Slots that this VM may use: owned and not lent, or borrowed.
  std::uint32_t held() const;
  /// \brief The same, of one server.
  std::uint32_t heldAt(ServerId Server) const;
  /// \brief Idle ones among them.
  std::uint32_t idle() const;
  /// \brief When flush() or ask() has something to do next.
  TimePoint nextTimer(TimePoint Now) const;

private:
  static constexpr ServerIndex NoServer = ~ServerIndex{0};

  enum class SlotState : std::uint8_t { Idle, Busy, Lent };

  struct HeldSlot {
    SlotHandle m_Handle{};
    peer::Slot m_Slot;
    /// Position of the server; NoServer once the server is gone from the settings.
    ServerIndex m_Server = NoServer;
    SlotState m_State = SlotState::Idle;
    /// The lender of a borrowed slot, the borrower of a lent one.
    VmId m_Peer{};
    bool m_Borrowed = false;
    /// Owned no more: dropped when it is released.
    bool m_Disowned = false;
    /// End of the term of a borrowed slot; time to reclaim a lent one.
    TimePoint m_Until{};
  };

  struct OpenAsk {
    VmId m_To{};
    TimePoint m_Expires{};
  };

  struct PeerHint {
    VmId m_Vm{};
    std::uint32_t m_Idle = 0;
    TimePoint m_At{};
  };

  /// A peer whose request for slots was not met yet.
  struct Asker {
    VmId m_Vm{};
    std::uint32_t m_Count = 0;
    TimePoint m_Until{};
  };

  bool usable(const HeldSlot &Slot, TimePoint Now) const;
  bool refillAsks(TimePoint Now);
  std::optional<VmId> choosePeer(std::mt19937_64 &Random) const;
  bool isAsked(VmId Vm) const;
  std::uint32_t idleOf(VmId Vm) const;
  void remember(VmId Vm, std::uint32_t Count, TimePoint Now);
  void lendToAskers(const ServerTable &Servers, const Demand &Wanted, Actions &Out);
  std::uint32_t lend(VmId To, std::uint32_t Count, const ServerTable &Servers, const Demand &Wanted,
                     Actions &Out);
  void returnUnused(const Demand &Wanted, Actions &Out);
  void expireAsks(TimePoint Now);
  void noteUnanswered(std::size_t Count, TimePoint Now);
  void borrow(VmId From, const peer::SlotLoan &Loan, const ServerTable &Servers,
              const Demand &Wanted);
  void takeBack(VmId From, const peer::SlotReturn &Returned);
  HeldSlot &add(const peer::Slot &Slot, const ServerTable &Servers);
  void checkInvariants() const;

  ServiceId m_Service{};
  VmId m_Self{};
  std::vector<VmId> m_Peers;
  std::vector<HeldSlot> m_Slots;
  std::vector<OpenAsk> m_Asks;
  /// Oldest first.
  std::vector<Asker> m_Askers;
  /// Sorted by VM.
  std::vector<PeerHint> m_Hints;
  /// Scratch space of idleByServer().
  std::vector<std::uint32_t> m_IdleByServer;
  std::uint64_t m_NextHandle = 1;
  std::uint32_t m_TotalSlots = 0;
  double m_AskTokens = AskBurst;
  TimePoint m_TokensAt{};
  std::uint32_t m_Unanswered = 0;
  TimePoint m_QuietUntil{};
};

static_assert(SlotPolicy<UnlimitedSlots>);
static_assert(SlotPolicy<LentSlots>);

} // namespace vanillahill::kernel
