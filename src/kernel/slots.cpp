#include "vanillahill/kernel/policy/slots.hpp"

#include <xxhash.h>

#include <array>
#include <cassert>
#include <iterator>

namespace vanillahill::kernel {

namespace {

/// How early a VM stands in the order for a slot: smaller goes first.
std::uint64_t rank(VmId Vm, ServiceId Service, const peer::Slot &Slot) {
  const std::array<std::uint32_t, 4> Words{raw(Vm), raw(Service), raw(Slot.m_Server), Slot.m_Index};
  return XXH3_64bits(Words.data(), sizeof(Words));
}

std::uint64_t slotOrder(ServiceId Service, const peer::Slot &Slot) {
  return rank(VmId{}, Service, Slot);
}

std::vector<peer::Slot> allSlots(ServiceId Service, const ServerTable &Servers) {
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

/// Slots owned by one VM: each slot goes to the first VM in its order that has room left.
std::vector<peer::Slot> ownedBy(VmId Self, ServiceId Service, std::span<const peer::Slot> Slots,
                                std::span<const VmId> Alive) {
  std::vector<peer::Slot> Owned;
  std::vector<std::size_t> Share(Alive.size(), 0);
  const std::size_t Least = Slots.size() / Alive.size();
  std::size_t Extra = Slots.size() % Alive.size();
  for (const peer::Slot &Slot : Slots) {
    std::size_t Best = Alive.size();
    std::uint64_t BestRank = 0;
    for (std::size_t Position = 0; Position < Alive.size(); ++Position) {
      const std::size_t Limit = Least + (Extra > 0 ? 1 : 0);
      if (Share[Position] >= Limit) {
        continue;
      }
      const std::uint64_t Rank = rank(Alive[Position], Service, Slot);
      if (Best == Alive.size() || Rank < BestRank) {
        Best = Position;
        BestRank = Rank;
      }
    }
    if (Share[Best] == Least) {
      --Extra;
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
  const std::vector<peer::Slot> Slots = allSlots(Service, Servers);
  m_TotalSlots = static_cast<std::uint32_t>(Slots.size());
  std::vector<peer::Slot> Owned;
  if (m_Peers.size() != Alive.size() && !Slots.empty()) {
    Owned = ownedBy(Self, Service, Slots, Alive);
  }
  std::sort(Owned.begin(), Owned.end());
  for (HeldSlot &Slot : m_Slots) {
    Slot.m_Server = Servers.find(Slot.m_Slot.m_Server).value_or(NoServer);
    Slot.m_Disowned =
        !Slot.m_Borrowed && !std::binary_search(Owned.begin(), Owned.end(), Slot.m_Slot);
  }
  std::erase_if(m_Slots, [](const HeldSlot &Slot) {
    return Slot.m_Disowned && Slot.m_State != SlotState::Busy;
  });
  for (const peer::Slot &Slot : Owned) {
    const bool Known = std::any_of(m_Slots.begin(), m_Slots.end(), [&Slot](const HeldSlot &Held) {
      return !Held.m_Borrowed && Held.m_Slot == Slot;
    });
    if (!Known) {
      add(Slot, Servers);
    }
  }
  std::erase_if(m_Hints, [this](const PeerHint &Hint) {
    return !std::binary_search(m_Peers.begin(), m_Peers.end(), Hint.m_Vm);
  });
  checkInvariants();
}

LentSlots::HeldSlot &LentSlots::add(const peer::Slot &Slot, const ServerTable &Servers) {
  m_Slots.push_back({.m_Handle = SlotHandle{m_NextHandle++},
                     .m_Slot = Slot,
                     .m_Server = Servers.find(Slot.m_Server).value_or(NoServer)});
  return m_Slots.back();
}

bool LentSlots::usable(const HeldSlot &Slot, TimePoint Now) const {
  return Slot.m_State == SlotState::Idle && (!Slot.m_Borrowed || Now < Slot.m_Until);
}

std::span<const std::uint32_t> LentSlots::idleByServer(const ServerTable &Servers, TimePoint Now) {
  m_IdleByServer.assign(Servers.size(), 0);
  for (const HeldSlot &Slot : m_Slots) {
    if (Slot.m_Server != NoServer && usable(Slot, Now)) {
      ++m_IdleByServer[Slot.m_Server];
    }
  }
  return m_IdleByServer;
}

std::optional<SlotHandle> LentSlots::take(const ServerTable & /*Servers*/, ServerIndex Index,
                                          TimePoint Now) {
  HeldSlot *Best = nullptr;
  for (HeldSlot &Slot : m_Slots) {
    if (Slot.m_Server != Index || !usable(Slot, Now)) {
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

void LentSlots::release(SlotHandle Handle, const Demand & /*Wanted*/) {
  const auto Found = std::find_if(m_Slots.begin(), m_Slots.end(), [Handle](const HeldSlot &Slot) {
    return Slot.m_Handle == Handle;
  });
  if (Found == m_Slots.end()) {
    return;
  }
  Found->m_State = SlotState::Idle;
  if (Found->m_Disowned) {
    m_Slots.erase(Found);
  }
  checkInvariants();
}

bool LentSlots::mayOverflow(const ServerTable & /*Servers*/, TimePoint Now) const {
  constexpr Duration HintAge = std::chrono::seconds(1);
  constexpr double IdleShareNeeded = 0.35;
  double Idle = idle();
  double Known = held();
  for (const PeerHint &Hint : m_Hints) {
    if (Now - Hint.m_At < HintAge) {
      Idle += Hint.m_Idle;
      Known += static_cast<double>(m_TotalSlots) / static_cast<double>(m_Peers.size() + 1);
    }
  }
  return Idle > Known * IdleShareNeeded;
}

bool LentSlots::refillAsks(TimePoint Now) {
  const std::chrono::duration<double> Passed = Now - m_TokensAt;
  m_AskTokens = std::min(AskBurst, m_AskTokens + Passed.count() * AsksPerSecond);
  m_TokensAt = Now;
  return m_AskTokens >= 1.0;
}

bool LentSlots::isAsked(VmId Vm) const {
  return std::any_of(m_Asks.begin(), m_Asks.end(),
                     [Vm](const OpenAsk &Ask) { return Ask.m_To == Vm; });
}

std::uint32_t LentSlots::idleOf(VmId Vm) const {
  const auto Found =
      std::lower_bound(m_Hints.begin(), m_Hints.end(), Vm,
                       [](const PeerHint &Hint, VmId Wanted) { return Hint.m_Vm < Wanted; });
  return Found != m_Hints.end() && Found->m_Vm == Vm ? Found->m_Idle : 0;
}

/// Of some peers drawn at random, the one that reported most idle slots.
std::optional<VmId> LentSlots::choosePeer(std::mt19937_64 &Random) const {
  constexpr int Draws = 4;
  std::optional<VmId> Best;
  if (m_Peers.empty()) {
    return Best;
  }
  std::uniform_int_distribution<std::size_t> Any(0, m_Peers.size() - 1);
  for (int Draw = 0; Draw < Draws; ++Draw) {
    const VmId Vm = m_Peers[Any(Random)];
    if (!isAsked(Vm) && (!Best || idleOf(Vm) > idleOf(*Best))) {
      Best = Vm;
    }
  }
  return Best;
}

void LentSlots::ask(const Demand &Wanted, std::mt19937_64 &Random, Actions &Out) {
  expireAsks(Wanted.m_Now);
  if (Wanted.m_Now < m_QuietUntil) {
    return;
  }
  while (m_Asks.size() < std::min(MostAsks, Wanted.m_Queued) && refillAsks(Wanted.m_Now)) {
    const std::optional<VmId> To = choosePeer(Random);
    if (!To) {
      return;
    }
    m_AskTokens -= 1.0;
    m_Asks.push_back({.m_To = *To, .m_Expires = Wanted.m_Now + AskTimeout});
    const auto Count = static_cast<std::uint32_t>(Wanted.m_Queued / MostAsks + 1);
    Out.push_back(SendPeer{*To, peer::SlotRequest{.m_Service = m_Service, .m_Count = Count}});
  }
}

void LentSlots::expireAsks(TimePoint Now) {
  const std::size_t Expired =
      std::erase_if(m_Asks, [Now](const OpenAsk &Ask) { return Ask.m_Expires <= Now; });
  noteUnanswered(Expired, Now);
}

/// When request after request stays unanswered, all are busy: asking pauses, longer each time.
void LentSlots::noteUnanswered(std::size_t Count, TimePoint Now) {
  constexpr std::uint32_t UnansweredBeforeQuiet = 4;
  constexpr std::uint32_t MostDoublings = 4;
  constexpr Duration FirstQuiet = std::chrono::milliseconds(16);
  if (Count == 0) {
    return;
  }
  m_Unanswered += static_cast<std::uint32_t>(Count);
  if (m_Unanswered >= UnansweredBeforeQuiet) {
    const std::uint32_t Rounds = m_Unanswered / UnansweredBeforeQuiet - 1;
    m_QuietUntil = Now + FirstQuiet * (1U << std::min(Rounds, MostDoublings));
  }
}

void LentSlots::onPeer(VmId From, const peer::Message &Message, const ServerTable &Servers,
                       const Demand &Wanted, Actions &Out) {
  if (const auto *Request = std::get_if<peer::SlotRequest>(&Message)) {
    const std::uint32_t Lent = lend(From, Request->m_Count, Servers, Wanted, Out);
    remember(From, Request->m_Count - Lent, Wanted.m_Now);
  } else if (const auto *Loan = std::get_if<peer::SlotLoan>(&Message)) {
    borrow(From, *Loan, Servers, Wanted);
  } else if (const auto *Returned = std::get_if<peer::SlotReturn>(&Message)) {
    takeBack(From, *Returned);
  }
  checkInvariants();
}

/// Keeps what a peer still wants; a newer request replaces an older one.
void LentSlots::remember(VmId Vm, std::uint32_t Count, TimePoint Now) {
  std::erase_if(m_Askers, [&](const Asker &Each) { return Each.m_Vm == Vm; });
  if (Count > 0) {
    m_Askers.push_back({.m_Vm = Vm, .m_Count = Count, .m_Until = Now + AskMemory});
  }
}

void LentSlots::lendToAskers(const ServerTable &Servers, const Demand &Wanted, Actions &Out) {
  if (m_Askers.empty() || Wanted.m_Queued > 0) {
    return;
  }
  std::erase_if(m_Askers, [&](const Asker &Each) { return Each.m_Until <= Wanted.m_Now; });
  for (Asker &Each : m_Askers) {
    Each.m_Count -= lend(Each.m_Vm, Each.m_Count, Servers, Wanted, Out);
  }
  std::erase_if(m_Askers, [](const Asker &Each) { return Each.m_Count == 0; });
}

/// Lends up to a number of idle slots in one message; sends none when no slot can be lent.
/// \return how many were lent
std::uint32_t LentSlots::lend(VmId To, std::uint32_t Count, const ServerTable &Servers,
                              const Demand &Wanted, Actions &Out) {
  peer::SlotLoan Loan{.m_Service = m_Service, .m_Slots = {}, .m_Term = LoanTerm};
  for (HeldSlot &Slot : m_Slots) {
    const bool Lendable = Slot.m_State == SlotState::Idle && !Slot.m_Borrowed;
    if (Loan.m_Slots.size() == Count || Wanted.m_Queued > 0) {
      break;
    }
    if (!Lendable || !mayLend(Servers, Slot.m_Slot.m_Server, Wanted.m_Now)) {
      continue;
    }
    Slot.m_State = SlotState::Lent;
    Slot.m_Peer = To;
    Slot.m_Until = Wanted.m_Now + ReclaimAfter;
    Loan.m_Slots.push_back(Slot.m_Slot);
  }
  const auto Lent = static_cast<std::uint32_t>(Loan.m_Slots.size());
  if (Lent > 0) {
    Out.push_back(SendPeer{To, std::move(Loan)});
  }
  return Lent;
}

void LentSlots::borrow(VmId From, const peer::SlotLoan &Loan, const ServerTable &Servers,
                       const Demand &Wanted) {
  std::erase_if(m_Asks, [From](const OpenAsk &Ask) { return Ask.m_To == From; });
  m_Unanswered = 0;
  m_QuietUntil = Wanted.m_Now;
  const Duration Term = std::min(Loan.m_Term, LoanTerm);
  for (const peer::Slot &Slot : Loan.m_Slots) {
    HeldSlot &Held = add(Slot, Servers);
    Held.m_Borrowed = true;
    Held.m_Peer = From;
    Held.m_Until = Wanted.m_Now + Term;
  }
}

void LentSlots::takeBack(VmId From, const peer::SlotReturn &Returned) {
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
  const auto Place =
      std::lower_bound(m_Hints.begin(), m_Hints.end(), From,
                       [](const PeerHint &Hint, VmId Wanted) { return Hint.m_Vm < Wanted; });
  const PeerHint Hint{.m_Vm = From, .m_Idle = IdleSlots, .m_At = Now};
  if (Place != m_Hints.end() && Place->m_Vm == From) {
    *Place = Hint;
  } else if (std::binary_search(m_Peers.begin(), m_Peers.end(), From)) {
    m_Hints.insert(Place, Hint);
  }
}

void LentSlots::flush(const ServerTable &Servers, const Demand &Wanted, Actions &Out) {
  expireAsks(Wanted.m_Now);
  lendToAskers(Servers, Wanted, Out);
  returnUnused(Wanted, Out);
  checkInvariants();
}

void LentSlots::returnUnused(const Demand &Wanted, Actions &Out) {
  std::vector<std::pair<VmId, peer::Slot>> Returns;
  for (HeldSlot &Slot : m_Slots) {
    if (Slot.m_State == SlotState::Lent && Slot.m_Until <= Wanted.m_Now) {
      Slot.m_State = SlotState::Idle;
    }
    const bool Idle = Slot.m_Borrowed && Slot.m_State == SlotState::Idle;
    if (Idle && (Wanted.m_Queued == 0 || Slot.m_Until <= Wanted.m_Now)) {
      Returns.emplace_back(Slot.m_Peer, Slot.m_Slot);
      Slot.m_Disowned = true;
    }
  }
  if (Returns.empty()) {
    return;
  }
  std::erase_if(m_Slots, [](const HeldSlot &Slot) {
    return Slot.m_Borrowed && Slot.m_Disowned && Slot.m_State == SlotState::Idle;
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
    const bool Waits =
        Slot.m_State == SlotState::Lent || (Slot.m_Borrowed && Slot.m_State == SlotState::Idle);
    if (Waits) {
      Earliest = std::min(Earliest, Slot.m_Until);
    }
  }
  for (const OpenAsk &Ask : m_Asks) {
    // One that has expired is forgotten by the next ask and wants no timer.
    if (Now < Ask.m_Expires) {
      Earliest = std::min(Earliest, Ask.m_Expires);
    }
  }
  if (Now < m_QuietUntil) {
    Earliest = std::min(Earliest, m_QuietUntil);
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
