/// \file
/// A few kernels with one paused clock, joined only by a queue: a seeded engine draws delays,
/// losses, cuts, pauses, deaths and restarts. Everything seen is recorded as a history.
#pragma once

#include "vanillahill/history/checker.hpp"
#include "vanillahill/kernel/node.hpp"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace vanillahill::test {

/// How often each fault strikes; all zero is a calm run.
struct Faults {
  /// Of a hundred peer messages so many are lost.
  int m_LostMessages = 0;
  /// Of a hundred backend replies so many are lost.
  int m_LostReplies = 0;
  /// Of a hundred requests a backend server refuses so many before it starts them.
  int m_Refusals = 0;
  /// In a run.
  int m_Pauses = 0;
  int m_Kills = 0;
  int m_Cuts = 0;
  int m_ServerDeaths = 0;
};

class NodeCluster {
public:
  NodeCluster(std::uint64_t Seed, const Faults &Strikes) : m_Random(Seed), m_Faults(Strikes) {
    for (std::size_t Index = 0; Index < VmCount; ++Index) {
      m_Vms[Index].m_Name = "e" + std::to_string(Index + 1);
      setListed(Index, true);
      boot(Index);
    }
    m_ListLag = between(0, 1500);
    planFaults();
    for (int Operation = 0; Operation < Operations; ++Operation) {
      at(Warmup + between(0, FaultTime), [this, Operation] { begin(Operation); });
    }
  }

  /// \brief Runs to the end: faults, then calm until everything should be answered.
  void run() {
    const TimePoint End = m_Start + Duration(Warmup) + FaultTime + Calm;
    while (step(End)) {
    }
  }

  const std::vector<history::Record> &records() const { return m_Records; }
  std::uint64_t completed() const { return m_Completed; }

  /// \brief Requests never answered, answers given twice, timers that do not advance.
  std::vector<std::string> faulty() const {
    std::vector<std::string> Names = m_Faulty;
    for (const Vm &Each : m_Vms) {
      for (const auto &[Request, Attempt] : Each.m_Open) {
        Names.push_back("no answer to " + Attempt + " on " + Each.m_Name);
      }
    }
    return Names;
  }

private:
  using Millis = std::chrono::milliseconds;
  static constexpr std::size_t VmCount = 3;
  static constexpr std::size_t ServerCount = 2;
  static constexpr int Operations = 12;
  static constexpr Millis Warmup{4500};
  static constexpr Millis FaultTime{8000};
  static constexpr Millis Calm{12000};
  static constexpr Millis Patience{900};
  static constexpr int MostAttempts = 5;
  static constexpr int MostDueAgain = 20;

  struct Vm {
    std::string m_Name;
    std::unique_ptr<kernel::Node> m_Node;
    std::uint64_t m_Incarnation = 0;
    TimePoint m_PausedUntil{};
    /// Timers in a row after which the next one was due at once.
    int m_DueAgain = 0;
    /// Attempt of each request without an answer.
    std::map<RequestId, std::string> m_Open;
    std::map<AttemptId, bool> m_Attempts;
  };

  /// An operation of a caller.
  struct Call {
    std::string m_Name;
    bool m_Idempotent = false;
    TimePoint m_FirstSent{};
    int m_Attempts = 0;
    bool m_Done = false;
    /// The attempt that the caller waits for; empty when it does not wait.
    std::string m_Waiting;
  };

  struct Listing {
    TimePoint m_At{};
    std::set<std::size_t> m_Vms;
  };

  Millis between(int Low, int High) {
    return Millis(std::uniform_int_distribution<int>(Low, High)(m_Random));
  }
  Millis between(int Low, Millis High) { return between(Low, static_cast<int>(High.count())); }
  std::size_t pick(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(m_Random);
  }
  bool strikes(int Percent) { return between(0, 99).count() < Percent; }

  void at(Duration After, std::function<void()> Do) {
    m_Queue.emplace(m_Now + After, std::move(Do));
  }

  /// As at(), on a VM: waits while it is paused, is dropped when it was restarted meanwhile.
  void on(std::size_t Index, Duration After, std::function<void()> Do) {
    at(After, [this, Index, Incarnation = m_Vms[Index].m_Incarnation, Do = std::move(Do)] {
      resume(Index, Incarnation, Do);
    });
  }

  void resume(std::size_t Index, std::uint64_t Incarnation, const std::function<void()> &Do) {
    Vm &Self = m_Vms[Index];
    if (!Self.m_Node || Self.m_Incarnation != Incarnation) {
      return;
    }
    if (Self.m_PausedUntil > m_Now) {
      m_Queue.emplace(Self.m_PausedUntil,
                      [this, Index, Incarnation, Do] { resume(Index, Incarnation, Do); });
      return;
    }
    Do();
  }

  /// \brief Carries out what is due next. \return false at the end of the run
  bool step(TimePoint End) {
    std::size_t Timed = VmCount;
    TimePoint Next = m_Queue.empty() ? TimePoint::max() : m_Queue.begin()->first;
    for (std::size_t Index = 0; Index < VmCount; ++Index) {
      const Vm &Self = m_Vms[Index];
      if (!Self.m_Node) {
        continue;
      }
      const TimePoint Due =
          std::max({Self.m_Node->nextTimer(), m_Now + Millis(1), Self.m_PausedUntil});
      if (Due < Next) {
        Next = Due;
        Timed = Index;
      }
    }
    if (Next > End) {
      return false;
    }
    m_Now = Next;
    if (Timed < VmCount) {
      handle(Timed, kernel::TimerFired{});
      Vm &Self = m_Vms[Timed];
      Self.m_DueAgain = Self.m_Node->nextTimer() <= m_Now ? Self.m_DueAgain + 1 : 0;
      if (Self.m_DueAgain > MostDueAgain) {
        m_Faulty.push_back("timer does not advance on " + Self.m_Name);
        return false;
      }
      return true;
    }
    const std::function<void()> Do = std::move(m_Queue.begin()->second);
    m_Queue.erase(m_Queue.begin());
    Do();
    return true;
  }

  static std::shared_ptr<const SiteSettings> settings() {
    SiteSettings Site;
    Site.m_Site = "khomas";
    Site.m_Idempotency.m_TransitLimit = std::chrono::seconds(1);
    Site.m_Membership.m_HeartbeatPeriod = Millis(400);
    Site.m_Membership.m_MaxVms = VmCount;
    ServiceSettings Desk{.m_Id = idOf<ServiceId>("desk"),
                         .m_Name = "desk",
                         .m_Kinds = {},
                         .m_Servers = {},
                         .m_Policy = {}};
    Desk.m_Policy.m_MeasuringBudget = 2.0;
    Desk.m_Kinds.push_back({.m_Id = idOf<KindId>("desk/sign"), .m_Name = "sign"});
    Desk.m_Kinds.push_back(
        {.m_Id = idOf<KindId>("desk/look"), .m_Name = "look", .m_Idempotent = true});
    for (std::size_t Index = 0; Index < ServerCount; ++Index) {
      Desk.m_Servers.push_back(
          {.m_Id = idOf<ServerId>("desk/" + serverName(Index)), .m_Name = serverName(Index)});
    }
    Site.m_Services.push_back(std::move(Desk));
    return std::make_shared<const SiteSettings>(std::move(Site));
  }
  static std::string serverName(std::size_t Index) { return "s" + std::to_string(Index + 1); }

  void boot(std::size_t Index) {
    Vm &Self = m_Vms[Index];
    ++Self.m_Incarnation;
    Self.m_Node =
        std::make_unique<kernel::Node>(kernel::NodeOptions{.m_Name = Self.m_Name,
                                                           .m_Site = "khomas",
                                                           .m_DataCenter = "eros",
                                                           .m_PeerAddress = "127.0.0.1:1",
                                                           .m_Incarnation = Self.m_Incarnation,
                                                           .m_Seed = m_Random(),
                                                           .m_Settings = m_Settings});
    on(Index, Millis(1), [this, Index] { readList(Index); });
  }

  void setListed(std::size_t Index, bool Listed) {
    Listing Next{.m_At = m_Now, .m_Vms = {}};
    if (!m_Listings.empty()) {
      Next.m_Vms = m_Listings.back().m_Vms;
    }
    if (Listed) {
      Next.m_Vms.insert(Index);
    } else {
      Next.m_Vms.erase(Index);
    }
    m_Listings.push_back(std::move(Next));
  }

  /// The VM list lags behind reality by the same time for all.
  void readList(std::size_t Index) {
    const Listing *Seen = &m_Listings[VmCount - 1];
    for (const Listing &Each : m_Listings) {
      if (Each.m_At + m_ListLag <= m_Now) {
        Seen = std::max(Seen, &Each);
      }
    }
    kernel::VmListRead Read;
    for (const std::size_t Listed : Seen->m_Vms) {
      Read.m_Vms.push_back(
          {.m_Name = m_Vms[Listed].m_Name, .m_PeerAddress = "127.0.0.1:1", .m_DataCenter = "eros"});
    }
    handle(Index, Read);
    on(Index, Millis(500), [this, Index] { readList(Index); });
  }

  void handle(std::size_t Index, const kernel::Event &Input) {
    kernel::Actions Out;
    m_Vms[Index].m_Node->handle(Input, m_Now, Out);
    for (const kernel::Action &Each : Out) {
      std::visit([&](const auto &Typed) { carryOut(Index, Typed); }, Each);
    }
  }

  template <typename T> void carryOut(std::size_t /*Index*/, const T & /*Unused*/) {}

  void carryOut(std::size_t Index, const kernel::SendPeer &Item) {
    for (std::size_t To = 0; To < VmCount; ++To) {
      const bool Lost = strikes(m_Faults.m_LostMessages) || m_Cuts.contains(Index * VmCount + To);
      if (idOf<VmId>(m_Vms[To].m_Name) != Item.m_To || Lost || !m_Vms[To].m_Node) {
        continue;
      }
      TimePoint &Last = m_LastArrival[Index * VmCount + To];
      Last = std::max(Last, m_Now + between(0, 20));
      on(To, Last - m_Now, [this, Index, To, Message = Item.m_Message] {
        handle(To, kernel::PeerReceived{idOf<VmId>(m_Vms[Index].m_Name), Message});
      });
    }
  }

  void carryOut(std::size_t Index, const kernel::Answer &Item) {
    Vm &Self = m_Vms[Index];
    const auto Found = Self.m_Open.find(Item.m_Request);
    if (Found == Self.m_Open.end()) {
      m_Faulty.push_back("second answer on " + Self.m_Name);
      return;
    }
    const std::string Attempt = Found->second;
    Self.m_Open.erase(Found);
    const std::string Echo = Item.m_Reply ? Item.m_Reply->m_Body : "";
    at(between(1, 200), [this, Attempt, Item, Echo] {
      const auto Ending = static_cast<history::Ending>(Item.m_Outcome);
      hear(Attempt, Ending, std::string(kernel::toString(Item.m_Reason)), Echo);
    });
  }

  /// The request may reach its server after the VM was paused, or has died.
  void carryOut(std::size_t Index, const kernel::Dispatch &Item) {
    Vm &Self = m_Vms[Index];
    Self.m_Attempts[Item.m_Attempt] = true;
    const std::string Attempt = Self.m_Open.at(Item.m_Request);
    const bool Held = m_Faults.m_Pauses > 0 && strikes(5);
    if (Held) {
      Self.m_PausedUntil = std::max(Self.m_PausedUntil, m_Now + between(100, 4000));
    }
    const Duration Delay = (Held ? Self.m_PausedUntil - m_Now : Duration{}) + between(0, 20);
    at(Delay, [this, Index, Incarnation = Self.m_Incarnation, Item, Attempt] {
      serve(Index, Incarnation, Item, Attempt);
    });
  }

  void carryOut(std::size_t Index, const kernel::CancelAttempt &Item) {
    on(Index, Millis(1), [this, Index, Id = Item.m_Attempt] {
      finish(Index, Id, kernel::AttemptResult::Unknown, "");
    });
  }

  void carryOut(std::size_t Index, const kernel::Probe &Item) {
    record(history::Backend{.m_Event = history::BackendEvent::Probe,
                            .m_Server = std::to_string(raw(Item.m_Server))});
    on(Index, Millis(5), [this, Index, Item] {
      handle(Index, kernel::ProbeEnded{.m_Server = Item.m_Server, .m_Healthy = true});
    });
  }

  /// What the backend server does with a request.
  void serve(std::size_t Index, std::uint64_t Incarnation, const kernel::Dispatch &Item,
             const std::string &Attempt) {
    const std::string Server = std::to_string(raw(Item.m_Server));
    const auto End = [this, Index, Incarnation, Id = Item.m_Attempt](
                         Duration After, kernel::AttemptResult Result, const std::string &Body) {
      at(After, [this, Index, Incarnation, Id, Result, Body] {
        resume(Index, Incarnation,
               [this, Index, Id, Result, Body] { finish(Index, Id, Result, Body); });
      });
    };
    history::Backend Line{.m_Event = history::BackendEvent::Refuse,
                          .m_Request = Attempt,
                          .m_Operation = operationOf(Attempt),
                          .m_Server = Server,
                          .m_Vm = m_Vms[Index].m_Name};
    if (m_DeadServers.contains(Item.m_Server)) {
      End(Millis(1), kernel::AttemptResult::NotSent, "");
      return;
    }
    if (strikes(m_Faults.m_Refusals)) {
      record(Line);
      End(Millis(1), kernel::AttemptResult::NotRun, "");
      return;
    }
    Line.m_Event = history::BackendEvent::Start;
    record(Line);
    const bool Lost = strikes(m_Faults.m_LostReplies);
    End(between(1, 300), Lost ? kernel::AttemptResult::Unknown : kernel::AttemptResult::Completed,
        Attempt);
  }

  void finish(std::size_t Index, AttemptId Id, kernel::AttemptResult Result,
              const std::string &Body) {
    bool &Running = m_Vms[Index].m_Attempts[Id];
    if (!Running) {
      return;
    }
    Running = false;
    kernel::AttemptEnded Ended{.m_Attempt = Id, .m_Result = Result};
    if (Result == kernel::AttemptResult::Completed) {
      Ended.m_Reply = std::make_shared<const Reply>(Reply{.m_ContentType = "", .m_Body = Body});
    }
    handle(Index, Ended);
  }

  void begin(int Number) {
    const std::string Name = "o" + std::to_string(Number);
    Call &Caller = m_Calls[Name];
    Caller.m_Name = Name;
    Caller.m_Idempotent = strikes(20);
    Caller.m_FirstSent = m_Now;
    send(Caller);
  }

  static std::string operationOf(const std::string &Attempt) {
    return Attempt.substr(0, Attempt.find('.'));
  }

  void send(Call &Caller) {
    const std::size_t Index = pick(VmCount);
    const std::string Attempt = Caller.m_Name + "." + std::to_string(++Caller.m_Attempts);
    const bool First = Caller.m_Attempts == 1;
    Caller.m_Waiting = Attempt;
    record(history::Send{.m_Request = Attempt,
                         .m_Operation = Caller.m_Name,
                         .m_Kind = "desk",
                         .m_Idempotent = Caller.m_Idempotent,
                         .m_Vm = m_Vms[Index].m_Name,
                         .m_Key = Caller.m_Name,
                         .m_First = First});
    const kernel::RequestArrived Arrived{
        .m_Request = RequestId{++m_LastRequest},
        .m_Service = idOf<ServiceId>("desk"),
        .m_Kind = idOf<KindId>(Caller.m_Idempotent ? "desk/look" : "desk/sign"),
        .m_Key = Caller.m_Name,
        .m_KeyAge = {.m_First = First, .m_Age = m_Now - Caller.m_FirstSent}};
    on(Index, between(0, strikes(10) ? 800 : 20), [this, Index, Arrived, Attempt] {
      m_Vms[Index].m_Open.emplace(Arrived.m_Request, Attempt);
      handle(Index, Arrived);
    });
    at(Patience, [this, Attempt] { hear(Attempt, history::Ending::Cut, "", ""); });
  }

  /// The caller has an answer, or has lost its patience; it may repeat through another VM.
  void hear(const std::string &Attempt, history::Ending Ending, const std::string &Why,
            const std::string &Echo) {
    Call &Caller = m_Calls.at(operationOf(Attempt));
    if (Caller.m_Waiting != Attempt) {
      return;
    }
    Caller.m_Waiting.clear();
    record(history::Answer{.m_Request = Attempt,
                           .m_Operation = Caller.m_Name,
                           .m_Ending = Ending,
                           .m_Reason = Why,
                           .m_Echo = Echo,
                           .m_Whole = true});
    m_Completed += Ending == history::Ending::Completed ? 1 : 0;
    if (Ending != history::Ending::Completed && Caller.m_Attempts < MostAttempts) {
      at(between(0, 1200), [this, Name = Caller.m_Name] { send(m_Calls.at(Name)); });
    }
  }

  void planFaults() {
    for (int Count = 0; Count < m_Faults.m_Pauses; ++Count) {
      at(Warmup + between(0, FaultTime),
         [this] { m_Vms[pick(VmCount)].m_PausedUntil = m_Now + between(100, 6000); });
    }
    for (int Count = 0; Count < m_Faults.m_Kills; ++Count) {
      at(Warmup + between(0, FaultTime), [this] { kill(pick(VmCount)); });
    }
    for (int Count = 0; Count < m_Faults.m_Cuts; ++Count) {
      at(Warmup + between(0, FaultTime), [this] { cut(); });
    }
    for (int Count = 0; Count < m_Faults.m_ServerDeaths; ++Count) {
      at(Warmup + between(0, FaultTime), [this] {
        const ServerId Server = idOf<ServerId>("desk/" + serverName(pick(ServerCount)));
        m_DeadServers.insert(Server);
        at(between(100, 3000), [this, Server] { m_DeadServers.erase(Server); });
      });
    }
  }

  /// The VM dies; it is started anew under its name, or delisted first when that takes long.
  void kill(std::size_t Index) {
    Vm &Self = m_Vms[Index];
    if (!Self.m_Node) {
      return;
    }
    Self.m_Node.reset();
    Self.m_Open.clear();
    Self.m_Attempts.clear();
    Self.m_PausedUntil = TimePoint{};
    const Millis Away = between(50, 7000);
    if (Away > Millis(1000)) {
      at(Millis(1000), [this, Index] { setListed(Index, false); });
    }
    at(Away, [this, Index] {
      setListed(Index, true);
      boot(Index);
    });
  }

  /// Cuts one direction between two VMs, or one VM from all others.
  void cut() {
    const std::size_t Index = pick(VmCount);
    const bool Whole = strikes(50);
    std::set<std::size_t> Links;
    for (std::size_t Other = 0; Other < VmCount; ++Other) {
      Links.insert(Index * VmCount + Other);
      if (Whole) {
        Links.insert(Other * VmCount + Index);
      }
    }
    m_Cuts.insert(Links.begin(), Links.end());
    at(between(200, 6000), [this, Links] {
      for (const std::size_t Link : Links) {
        m_Cuts.erase(Link);
      }
    });
  }

  template <typename T> void record(T Body) {
    m_Records.push_back({.m_At = m_Now,
                         .m_Body = std::move(Body),
                         .m_File = "run",
                         .m_Line = m_Records.size() + 1});
  }

  std::mt19937_64 m_Random;
  Faults m_Faults;
  TimePoint m_Start{std::chrono::hours(24)};
  TimePoint m_Now = m_Start;
  std::multimap<TimePoint, std::function<void()>> m_Queue;
  std::shared_ptr<const SiteSettings> m_Settings = settings();
  std::array<Vm, VmCount> m_Vms;
  std::vector<Listing> m_Listings;
  Duration m_ListLag{};
  std::map<std::size_t, TimePoint> m_LastArrival;
  /// Directions between VMs that are cut: from * VmCount + to.
  std::set<std::size_t> m_Cuts;
  std::set<ServerId> m_DeadServers;
  std::map<std::string, Call> m_Calls;
  std::uint64_t m_LastRequest = 0;
  std::uint64_t m_Completed = 0;
  std::vector<std::string> m_Faulty;
  std::vector<history::Record> m_Records;
};

} // namespace vanillahill::test
