#include "vanillahill/kernel/policy/slots.hpp"

#include <xxhash.h>

#include <array>
#include <cassert>
#include <iterator>

namespace vanillahill::kernel {

namespace {

/// Hash that orders the VMs for a slot; the VM with the smallest value comes first.
std::uint64_t rank(VmId Vm, ServiceId Service, const peer::Slot &Slot) {
  const std::array<std::uint32_t, 4> Words{raw(Vm), raw(Service), raw(Slot.m_Server), Slot.m_Index};
  return XXH3_64bits(Words.data(), sizeof(Words));
}

/// Hash that orders the slots for their assignment, the same on every VM.
std::uint64_t slotOrder(ServiceId Service, const peer::Slot &Slot) {
  return rank(VmId{}, Service, Slot);
}

std::vector<peer::Slot> listSlots(ServiceId Service, const ServerTable &Servers) {
  std::vector<peer::Slot> Slots;
  for (const ServerState &Server : Servers.all()) {
    for (std::uint32_t Index = 0; Index < Server.m_Settings.m_Slots; ++Index) {
      Slots.push_back({.m_Server = Server.m_Settings.m_Id, .m_Index = Index});
    }
  }
  std::sort(Slots.begin(), Slots.end(), [Service](const peer::Slot &A, const peer::Slot &B) {
    return std::pair(slotOrder(Service, A), A) < std::pair(slotOrder(Service, B), B);
  });
  return Slots;
}

/// Returns the slots owned by one VM. Each slot goes to the VM of lowest rank whose share is not
/// full; shares differ by at most one slot.
std::vector<peer::Slot> findOwnedSlots(VmId Self, ServiceId Service,
                                       std::span<const peer::Slot> Slots,
                                       std::span<const VmId> Alive) {
  std::vector<peer::Slot> Owned;
  std::vector<std::size_t> Share(Alive.size(), 0);
  const std::size_t MinShare = Slots.size() / Alive.size();
  std::size_t LargerShares = Slots.size() % Alive.size();
  for (const peer::Slot &Slot : Slots) {
    std::size_t Best = Alive.size();
    std::uint64_t BestRank = 0;
    for (std::size_t Position = 0; Position < Alive.size(); ++Position) {
      const std::size_t Limit = MinShare + (LargerShares > 0 ? 1 : 0);
      if (Share[Position] >= Limit) {
        continue;
      }
      const std::uint64_t Rank = rank(Alive[Position], Service, Slot);
      if (Best == Alive.size() || Rank < BestRank) {
        Best = Position;
        BestRank = Rank;
      }
    }
    if (Share[Best] == MinShare) {
      --LargerShares;
    }
    ++Share[Best];
    if (Alive[Best] == Self) {
      Owned.push_back(Slot);
    }
  }
  return Owned;
}

bool mayLend(const ServerTable &Servers, ServerId Id, TimePoint Now) {
  const std::optional<ServerIndex> Index = Servers.find(Id);
  if (!Index) {
    return false;
  }
  const ServerState &Server = Servers.at(*Index);
  return Server.m_Health == Health::Good && !Server.isLeaving(Now) && !Server.isSuspect(Now);
}

} // namespace

void LentSlots::assign(ServiceId Service, const ServerTable &Servers, VmId Self,
                       std::span<const VmId> Alive) {
  m_Service = Service;
  m_Self = Self;
  m_Peers.clear();
  std::copy_if(Alive.begin(), Alive.end(), std::back_inserter(m_Peers),
               [Self](VmId Vm) { return Vm != Self; });
  const std::vector<peer::Slot> Slots = listSlots(Service, Servers);
  m_TotalSlots = static_cast<std::uint32_t>(Slots.size());
  std::vector<peer::Slot> Owned;
  if (m_Peers.size() != Alive.size() && !Slots.empty()) {
    Owned = findOwnedSlots(Self, Service, Slots, Alive);
  }
  std::sort(Owned.begin(), Owned.end());
  for (HeldSlot &Slot : m_Slots) {
    Slot.m_Server = Servers.find(Slot.m_Slot.m_Server).value_or(NoServer);
    Slot.m_PendingRemoval =
        !Slot.m_Borrowed && !std::binary_search(Owned.begin(), Owned.end(), Slot.m_Slot);
  }
  std::erase_if(m_Slots, [](const HeldSlot &Slot) {
    return Slot.m_PendingRemoval && Slot.m_State != SlotState::Busy;
  });
  for (const peer::Slot &Slot : Owned) {
    const bool Known = std::any_of(m_Slots.begin(), m_Slots.end(), [&Slot](const HeldSlot &Held) {
      return !Held.m_Borrowed && Held.m_Slot == Slot;
    });
    if (!Known) {
      addSlot(Slot, Servers);
    }
  }
  std::erase_if(m_Hints, [this](const PeerHint &Hint) {
    return !std::binary_search(m_Peers.begin(), m_Peers.end(), Hint.m_Vm);
  });
  checkInvariants();
}

LentSlots::HeldSlot &LentSlots::addSlot(const peer::Slot &Slot, const ServerTable &Servers) {
  m_Slots.push_back({.m_Handle = SlotHandle{m_NextHandle++},
                     .m_Slot = Slot,
                     .m_Server = Servers.find(Slot.m_Server).value_or(NoServer)});
  return m_Slots.back();
}

bool LentSlots::isUsable(const HeldSlot &Slot, TimePoint Now) const {
  return Slot.m_State == SlotState::Idle && (!Slot.m_Borrowed || Now < Slot.m_Until);
}

std::span<const std::uint32_t> LentSlots::idleByServer(const ServerTable &Servers, TimePoint Now) {
  m_IdleByServer.assign(Servers.size(), 0);
  for (const HeldSlot &Slot : m_Slots) {
    if (Slot.m_Server != NoServer && isUsable(Slot, Now)) {
      ++m_IdleByServer[Slot.m_Server];
    }
  }
  return m_IdleByServer;
}

std::optional<SlotHandle> LentSlots::take(const ServerTable & /*Servers*/, ServerIndex Index,
                                          TimePoint Now) {
  HeldSlot *Best = nullptr;
  for (HeldSlot &Slot : m_Slots) {
    if (Slot.m_Server != Index || !isUsable(Slot, Now)) {
      continue;
    }
    if (Best == nullptr || (Best->m_Borrowed && !Slot.m_Borrowed)) {
      Best = &Slot;
    }
  }
  if (Best == nullptr) {
    return std::nullopt;
  }
  Best->m_State = SlotState::Busy;
  return Best->m_Handle;
}

void LentSlots::release(SlotHandle Handle, const Demand & /*CurrentDemand*/) {
  const auto Found = std::find_if(m_Slots.begin(), m_Slots.end(), [Handle](const HeldSlot &Slot) {
    return Slot.m_Handle == Handle;
  });
  if (Found == m_Slots.end()) {
    return;
  }
  Found->m_State = SlotState::Idle;
  if (Found->m_PendingRemoval) {
    m_Slots.erase(Found);
  }
  checkInvariants();
}

bool LentSlots::mayOverflow(const ServerTable & /*Servers*/, TimePoint Now) const {
  constexpr Duration MaxHintAge = std::chrono::seconds(1);
  constexpr double MinIdleShare = 0.35;
  double IdleSlots = idle();
  double KnownSlots = held();
  for (const PeerHint &Hint : m_Hints) {
    if (Now - Hint.m_At < MaxHintAge) {
      IdleSlots += Hint.m_Idle;
      KnownSlots += static_cast<double>(m_TotalSlots) / static_cast<double>(m_Peers.size() + 1);
    }
  }
  return IdleSlots > KnownSlots * MinIdleShare;
}

bool LentSlots::hasPendingSlotRequest(VmId Vm) const {
  return std::any_of(m_PendingSlotRequests.begin(), m_PendingSlotRequests.end(),
                     [Vm](const PendingSlotRequest &Pending) { return Pending.m_To == Vm; });
}

std::uint32_t LentSlots::reportedIdle(VmId Vm) const {
  const auto Found = std::lower_bound(m_Hints.begin(), m_Hints.end(), Vm,
                                      [](const PeerHint &Hint, VmId Id) { return Hint.m_Vm < Id; });
  return Found != m_Hints.end() && Found->m_Vm == Vm ? Found->m_Idle : 0;
}

/// Returns the peer that reported the most idle slots among a few drawn at random.
std::optional<VmId> LentSlots::choosePeer(std::mt19937_64 &Random) const {
  constexpr int Draws = 4;
  std::optional<VmId> Best;
  if (m_Peers.empty()) {
    return Best;
  }
  std::uniform_int_distribution<std::size_t> Any(0, m_Peers.size() - 1);
  for (int Draw = 0; Draw < Draws; ++Draw) {
    const VmId Vm = m_Peers[Any(Random)];
    if (!hasPendingSlotRequest(Vm) && (!Best || reportedIdle(Vm) > reportedIdle(*Best))) {
      Best = Vm;
    }
  }
  return Best;
}

void LentSlots::requestSlots(const Demand &CurrentDemand, std::mt19937_64 &Random,
                             AskBudget &Budget, Actions &Out) {
  expireSlotRequests(CurrentDemand.m_Now);
  if (CurrentDemand.m_Now < m_BackoffUntil) {
    return;
  }
  while (m_PendingSlotRequests.size() < std::min(MaxPendingSlotRequests, CurrentDemand.m_Queued)) {
    const std::optional<VmId> To = choosePeer(Random);
    if (!To || !Budget.take(CurrentDemand.m_Now)) {
      return;
    }
    m_PendingSlotRequests.push_back(
        {.m_To = *To, .m_Expires = CurrentDemand.m_Now + SlotRequestTimeout});
    const auto Count =
        static_cast<std::uint32_t>(CurrentDemand.m_Queued / MaxPendingSlotRequests + 1);
    Out.push_back(SendPeer{*To, peer::SlotRequest{.m_Service = m_Service, .m_Count = Count}});
  }
}

void LentSlots::expireSlotRequests(TimePoint Now) {
  const std::size_t Expired =
      std::erase_if(m_PendingSlotRequests,
                    [Now](const PendingSlotRequest &Pending) { return Pending.m_Expires <= Now; });
  recordUnanswered(Expired, Now);
}

/// Counts unanswered slot requests. Several in a row mean that all peers are busy: no slot request
/// is then sent for a backoff time that doubles up to a limit.
void LentSlots::recordUnanswered(std::size_t Count, TimePoint Now) {
  constexpr std::uint32_t UnansweredBeforeBackoff = 4;
  constexpr std::uint32_t MaxDoublings = 4;
  constexpr Duration InitialBackoff = std::chrono::milliseconds(16);
  if (Count == 0) {
    return;
  }
  m_UnansweredCount += static_cast<std::uint32_t>(Count);
  if (m_UnansweredCount >= UnansweredBeforeBackoff) {
    const std::uint32_t Doublings = m_UnansweredCount / UnansweredBeforeBackoff - 1;
    m_BackoffUntil = Now + InitialBackoff * (1U << std::min(Doublings, MaxDoublings));
  }
}

void LentSlots::handlePeerMessage(VmId From, const peer::Message &Message,
                                  const ServerTable &Servers, const Demand &CurrentDemand,
                                  Actions &Out) {
  if (const auto *Request = std::get_if<peer::SlotRequest>(&Message)) {
    const std::uint32_t Lent = lendSlots(From, Request->m_Count, Servers, CurrentDemand, Out);
    recordRequester(From, Request->m_Count - Lent, CurrentDemand.m_Now);
  } else if (const auto *Loan = std::get_if<peer::SlotLoan>(&Message)) {
    acceptLoan(From, *Loan, Servers, CurrentDemand);
  } else if (const auto *Returned = std::get_if<peer::SlotReturn>(&Message)) {
    acceptReturn(From, *Returned);
  }
  checkInvariants();
}

/// Keeps the unmet rest of a slot request; a newer one of the same peer replaces an older one.
void LentSlots::recordRequester(VmId Vm, std::uint32_t Count, TimePoint Now) {
  std::erase_if(m_Requesters, [&](const Requester &Entry) { return Entry.m_Vm == Vm; });
  if (Count > 0) {
    m_Requesters.push_back({.m_Vm = Vm, .m_Count = Count, .m_Expires = Now + RequesterTtl});
  }
}

void LentSlots::lendToRequesters(const ServerTable &Servers, const Demand &CurrentDemand,
                                 Actions &Out) {
  if (m_Requesters.empty() || CurrentDemand.m_Queued > 0) {
    return;
  }
  std::erase_if(m_Requesters,
                [&](const Requester &Entry) { return Entry.m_Expires <= CurrentDemand.m_Now; });
  for (Requester &Entry : m_Requesters) {
    Entry.m_Count -= lendSlots(Entry.m_Vm, Entry.m_Count, Servers, CurrentDemand, Out);
  }
  std::erase_if(m_Requesters, [](const Requester &Entry) { return Entry.m_Count == 0; });
}

/// Lends up to Count idle slots in one message; sends no message when no slot can be lent.
/// \return the number of slots lent
std::uint32_t LentSlots::lendSlots(VmId To, std::uint32_t Count, const ServerTable &Servers,
                                   const Demand &CurrentDemand, Actions &Out) {
  peer::SlotLoan Loan{.m_Service = m_Service, .m_Slots = {}, .m_Term = LoanTerm};
  for (HeldSlot &Slot : m_Slots) {
    const bool IsLendable = Slot.m_State == SlotState::Idle && !Slot.m_Borrowed;
    if (Loan.m_Slots.size() == Count || CurrentDemand.m_Queued > 0) {
      break;
    }
    if (!IsLendable || !mayLend(Servers, Slot.m_Slot.m_Server, CurrentDemand.m_Now)) {
      continue;
    }
    Slot.m_State = SlotState::Lent;
    Slot.m_Peer = To;
    Slot.m_Until = CurrentDemand.m_Now + ReclaimAfter;
    Loan.m_Slots.push_back(Slot.m_Slot);
  }
  const auto Lent = static_cast<std::uint32_t>(Loan.m_Slots.size());
  if (Lent > 0) {
    Out.push_back(SendPeer{To, std::move(Loan)});
  }
  return Lent;
}

void LentSlots::acceptLoan(VmId From, const peer::SlotLoan &Loan, const ServerTable &Servers,
                           const Demand &CurrentDemand) {
  std::erase_if(m_PendingSlotRequests,
                [From](const PendingSlotRequest &Pending) { return Pending.m_To == From; });
  m_UnansweredCount = 0;
  m_BackoffUntil = CurrentDemand.m_Now;
  const Duration Term = std::min(Loan.m_Term, LoanTerm);
  for (const peer::Slot &Slot : Loan.m_Slots) {
    HeldSlot &Held = addSlot(Slot, Servers);
    Held.m_Borrowed = true;
    Held.m_Peer = From;
    Held.m_Until = CurrentDemand.m_Now + Term;
  }
}

void LentSlots::acceptReturn(VmId From, const peer::SlotReturn &Returned) {
  for (const peer::Slot &Slot : Returned.m_Slots) {
    const auto Found = std::find_if(m_Slots.begin(), m_Slots.end(), [&](const HeldSlot &Held) {
      return Held.m_State == SlotState::Lent && Held.m_Peer == From && Held.m_Slot == Slot;
    });
    if (Found != m_Slots.end()) {
      Found->m_State = SlotState::Idle;
    }
  }
}

void LentSlots::setHint(VmId From, std::uint32_t IdleSlots, TimePoint Now) {
  const auto Position =
      std::lower_bound(m_Hints.begin(), m_Hints.end(), From,
                       [](const PeerHint &Hint, VmId Id) { return Hint.m_Vm < Id; });
  const PeerHint Hint{.m_Vm = From, .m_Idle = IdleSlots, .m_At = Now};
  if (Position != m_Hints.end() && Position->m_Vm == From) {
    *Position = Hint;
  } else if (std::binary_search(m_Peers.begin(), m_Peers.end(), From)) {
    m_Hints.insert(Position, Hint);
  }
}

void LentSlots::flush(const ServerTable &Servers, const Demand &CurrentDemand, Actions &Out) {
  expireSlotRequests(CurrentDemand.m_Now);
  lendToRequesters(Servers, CurrentDemand, Out);
  returnUnusedSlots(CurrentDemand, Out);
  checkInvariants();
}

void LentSlots::returnUnusedSlots(const Demand &CurrentDemand, Actions &Out) {
  std::vector<std::pair<VmId, peer::Slot>> Returns;
  for (HeldSlot &Slot : m_Slots) {
    if (Slot.m_State == SlotState::Lent && Slot.m_Until <= CurrentDemand.m_Now) {
      Slot.m_State = SlotState::Idle;
    }
    const bool Idle = Slot.m_Borrowed && Slot.m_State == SlotState::Idle;
    if (Idle && (CurrentDemand.m_Queued == 0 || Slot.m_Until <= CurrentDemand.m_Now)) {
      Returns.emplace_back(Slot.m_Peer, Slot.m_Slot);
      Slot.m_PendingRemoval = true;
    }
  }
  if (Returns.empty()) {
    return;
  }
  std::erase_if(m_Slots, [](const HeldSlot &Slot) {
    return Slot.m_Borrowed && Slot.m_PendingRemoval && Slot.m_State == SlotState::Idle;
  });
  std::sort(Returns.begin(), Returns.end());
  for (const auto &[Lender, Slot] : Returns) {
    const bool SameLender =
        !Out.empty() && std::holds_alternative<SendPeer>(Out.back()) &&
        std::get<SendPeer>(Out.back()).m_To == Lender &&
        std::holds_alternative<peer::SlotReturn>(std::get<SendPeer>(Out.back()).m_Message) &&
        std::get<peer::SlotReturn>(std::get<SendPeer>(Out.back()).m_Message).m_Service == m_Service;
    if (!SameLender) {
      Out.push_back(SendPeer{Lender, peer::SlotReturn{.m_Service = m_Service, .m_Slots = {}}});
    }
    auto &Message = std::get<SendPeer>(Out.back()).m_Message;
    std::get<peer::SlotReturn>(Message).m_Slots.push_back(Slot);
  }
}

std::uint32_t LentSlots::held() const {
  return static_cast<std::uint32_t>(
      std::count_if(m_Slots.begin(), m_Slots.end(),
                    [](const HeldSlot &Slot) { return Slot.m_State != SlotState::Lent; }));
}

std::uint32_t LentSlots::heldAt(ServerId Server) const {
  return static_cast<std::uint32_t>(
      std::count_if(m_Slots.begin(), m_Slots.end(), [Server](const HeldSlot &Slot) {
        return Slot.m_State != SlotState::Lent && Slot.m_Slot.m_Server == Server;
      }));
}

std::uint32_t LentSlots::idle() const {
  return static_cast<std::uint32_t>(
      std::count_if(m_Slots.begin(), m_Slots.end(),
                    [](const HeldSlot &Slot) { return Slot.m_State == SlotState::Idle; }));
}

TimePoint LentSlots::nextTimer(TimePoint Now) const {
  TimePoint Earliest = TimePoint::max();
  for (const HeldSlot &Slot : m_Slots) {
    const bool HasTimer =
        Slot.m_State == SlotState::Lent || (Slot.m_Borrowed && Slot.m_State == SlotState::Idle);
    if (HasTimer) {
      Earliest = std::min(Earliest, Slot.m_Until);
    }
  }
  for (const PendingSlotRequest &Pending : m_PendingSlotRequests) {
    // An expired one is removed by the next flush() or requestSlots() and needs no timer.
    if (Now < Pending.m_Expires) {
      Earliest = std::min(Earliest, Pending.m_Expires);
    }
  }
  if (Now < m_BackoffUntil) {
    Earliest = std::min(Earliest, m_BackoffUntil);
  }
  return Earliest;
}

void LentSlots::checkInvariants() const {
#ifndef NDEBUG
  for (std::size_t First = 0; First < m_Slots.size(); ++First) {
    const HeldSlot &Slot = m_Slots[First];
    assert(!(Slot.m_Borrowed && Slot.m_State == SlotState::Lent));
    for (std::size_t Second = First + 1; Second < m_Slots.size(); ++Second) {
      assert(Slot.m_Handle != m_Slots[Second].m_Handle);
    }
  }
#endif
}

} // namespace vanillahill::kernel
