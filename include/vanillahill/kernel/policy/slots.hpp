/// \file
/// Slots: which VM may use which slot of a backend server, and how VMs lend slots to each other.
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

/// The number of waiting requests and the current time, as passed to a slot policy.
struct Demand {
  std::size_t m_Queued = 0;
  TimePoint m_Now{};
};

/// Limits the rate of slot requests of one VM over all its services, so that control traffic stays
/// within its budget under any load.
class AskBudget {
public:
  static constexpr double SlotRequestsPerSecond = 90.0;
  static constexpr double Burst = 24.0;

  /// \brief Takes one slot request from the budget. \return whether one was left
  bool take(TimePoint Now) {
    const std::chrono::duration<double> Passed = Now - m_At;
    m_Tokens = std::min(Burst, m_Tokens + Passed.count() * SlotRequestsPerSecond);
    m_At = Now;
    if (m_Tokens < 1.0) {
      return false;
    }
    m_Tokens -= 1.0;
    return true;
  }

private:
  double m_Tokens = Burst;
  TimePoint m_At{};
};

/// Decides how many requests one VM may run at a server.
template <typename T>
concept SlotPolicy = requires(T Slots, const T &Const, const ServerTable &Servers,
                              ServiceId Service, VmId Vm, std::span<const VmId> Alive,
                              ServerIndex Index, SlotHandle Handle, Demand CurrentDemand,
                              std::mt19937_64 &Random, AskBudget &Budget,
                              const peer::Message &Message, Actions &Out, TimePoint Now) {
  { Slots.assign(Service, Servers, Vm, Alive) } -> std::same_as<void>;
  { Slots.idleByServer(Servers, Now) } -> std::same_as<std::span<const std::uint32_t>>;
  { Slots.take(Servers, Index, Now) } -> std::same_as<std::optional<SlotHandle>>;
  { Slots.release(Handle, CurrentDemand) } -> std::same_as<void>;
  { Slots.mayOverflow(Servers, Now) } -> std::same_as<bool>;
  { Slots.requestSlots(CurrentDemand, Random, Budget, Out) } -> std::same_as<void>;
  { Slots.handlePeerMessage(Vm, Message, Servers, CurrentDemand, Out) } -> std::same_as<void>;
  { Slots.flush(Servers, CurrentDemand, Out) } -> std::same_as<void>;
  { Const.held() } -> std::same_as<std::uint32_t>;
  { Const.idle() } -> std::same_as<std::uint32_t>;
  { Const.nextTimer(Now) } -> std::same_as<TimePoint>;
};

/// No limit: every server can always take one more request.
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
  static void requestSlots(const Demand &, std::mt19937_64 &, AskBudget &, Actions &) {}
  static void handlePeerMessage(VmId, const peer::Message &, const ServerTable &, const Demand &,
                                Actions &) {}
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
/// share; an owner lends idle slots to VMs whose requests wait. All VMs with the same view of the
/// members compute the same owners, so assigning the slots needs no messages.
class LentSlots {
public:
  /// A borrowed slot may take new attempts for this long.
  static constexpr Duration LoanTerm = std::chrono::milliseconds(200);
  /// A lent slot that was not returned is reclaimed after this time.
  static constexpr Duration ReclaimAfter = std::chrono::seconds(4);
  /// A slot request without an answer expires after this time.
  static constexpr Duration SlotRequestTimeout = std::chrono::milliseconds(50);
  /// How long a slot request that was not fully met is kept for slots that become idle later.
  static constexpr Duration RequesterTtl = std::chrono::milliseconds(40);
  /// Slot requests that may wait for an answer at once.
  static constexpr std::size_t MaxPendingSlotRequests = 4;

  /// \brief Computes which slots this VM owns.
  /// \param Service the service, part of the hash
  /// \param Servers its servers; leaving ones give no slots
  /// \param Self this VM
  /// \param Alive the VMs that share the slots, sorted; this VM owns none unless it is included
  void assign(ServiceId Service, const ServerTable &Servers, VmId Self,
              std::span<const VmId> Alive);

  /// \brief Idle slots of each server that may be used now, in the order of the table.
  /// \return a view that is valid until the next call. \note Complexity: linear in the slots held.
  std::span<const std::uint32_t> idleByServer(const ServerTable &Servers, TimePoint Now);

  /// \brief Occupies an idle slot of a server; an owned one before a borrowed one.
  std::optional<SlotHandle> take(const ServerTable &Servers, ServerIndex Index, TimePoint Now);

  /// \brief Frees a slot. A borrowed slot is returned by the next flush() unless requests wait.
  void release(SlotHandle Handle, const Demand &CurrentDemand);

  /// \brief Whether so many slots are idle over all VMs that a request may go to a server without
  /// a slot. The server is then unlikely to be busy, and a slot request would cost more.
  bool mayOverflow(const ServerTable &Servers, TimePoint Now) const;

  /// \brief Sends slot requests to peers while requests wait.
  void requestSlots(const Demand &CurrentDemand, std::mt19937_64 &Random, AskBudget &Budget,
                    Actions &Out);

  /// \brief Handles SlotRequest, SlotLoan and SlotReturn; ignores other messages.
  void handlePeerMessage(VmId From, const peer::Message &Message, const ServerTable &Servers,
                         const Demand &CurrentDemand, Actions &Out);

  /// \brief Records how many idle slots a peer reported.
  void setHint(VmId From, std::uint32_t IdleSlots, TimePoint Now);

  /// \brief Lends idle slots to peers that requested some, returns borrowed slots that are not used
  /// and reclaims lent slots that were not returned in time. Called after each event.
  void flush(const ServerTable &Servers, const Demand &CurrentDemand, Actions &Out);

  /// \brief Slots that this VM may use: owned and not lent, or borrowed.
  std::uint32_t held() const;
  /// \brief Slots of one server that this VM may use.
  std::uint32_t heldAt(ServerId Server) const;
  /// \brief Idle slots among those that held() counts.
  std::uint32_t idle() const;
  /// \brief When flush() or requestSlots() has something to do next; max() for never.
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
    /// No longer owned, or returned to its lender: removed once no attempt occupies it.
    bool m_PendingRemoval = false;
    /// End of the term of a borrowed slot; time to reclaim a lent one.
    TimePoint m_Until{};
  };

  struct PendingSlotRequest {
    VmId m_To{};
    TimePoint m_Expires{};
  };

  struct PeerHint {
    VmId m_Vm{};
    std::uint32_t m_Idle = 0;
    TimePoint m_At{};
  };

  /// A peer whose slot request was not fully met yet.
  struct Requester {
    VmId m_Vm{};
    std::uint32_t m_Count = 0;
    TimePoint m_Expires{};
  };

  bool isUsable(const HeldSlot &Slot, TimePoint Now) const;
  std::optional<VmId> choosePeer(std::mt19937_64 &Random) const;
  bool hasPendingSlotRequest(VmId Vm) const;
  std::uint32_t reportedIdle(VmId Vm) const;
  void recordRequester(VmId Vm, std::uint32_t Count, TimePoint Now);
  void lendToRequesters(const ServerTable &Servers, const Demand &CurrentDemand, Actions &Out);
  std::uint32_t lendSlots(VmId To, std::uint32_t Count, const ServerTable &Servers,
                          const Demand &CurrentDemand, Actions &Out);
  void returnUnusedSlots(const Demand &CurrentDemand, Actions &Out);
  void expireSlotRequests(TimePoint Now);
  void recordUnanswered(std::size_t Count, TimePoint Now);
  void acceptLoan(VmId From, const peer::SlotLoan &Loan, const ServerTable &Servers,
                  const Demand &CurrentDemand);
  void acceptReturn(VmId From, const peer::SlotReturn &Returned);
  HeldSlot &addSlot(const peer::Slot &Slot, const ServerTable &Servers);
  void checkInvariants() const;

  ServiceId m_Service{};
  VmId m_Self{};
  std::vector<VmId> m_Peers;
  std::vector<HeldSlot> m_Slots;
  std::vector<PendingSlotRequest> m_PendingSlotRequests;
  /// Oldest first.
  std::vector<Requester> m_Requesters;
  /// Sorted by VM.
  std::vector<PeerHint> m_Hints;
  /// Scratch space of idleByServer().
  std::vector<std::uint32_t> m_IdleByServer;
  std::uint64_t m_NextHandle = 1;
  std::uint32_t m_TotalSlots = 0;
  std::uint32_t m_UnansweredCount = 0;
  TimePoint m_BackoffUntil{};
};

static_assert(SlotPolicy<UnlimitedSlots>);
static_assert(SlotPolicy<LentSlots>);

} // namespace vanillahill::kernel
