/// \file
/// A simulated cluster of kernels that share one clock and one event queue. A seeded random engine
/// draws message delays and losses, link cuts, pauses, kills and restarts. All requests, answers
/// and server events are recorded as a history.
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

/// How often each fault occurs; all zero means a run without faults.
struct Faults {
  /// Percentage of peer messages that are lost.
  int m_MessageLossPercent = 0;
  /// Percentage of backend replies that are lost.
  int m_ReplyLossPercent = 0;
  /// Percentage of requests that a backend server refuses before it starts them.
  int m_RefusalPercent = 0;
  /// Number of each of these faults in one run.
  int m_VmPauses = 0;
  int m_VmKills = 0;
  int m_LinkCuts = 0;
  int m_ServerOutages = 0;
};

class NodeCluster {
public:
  NodeCluster(std::uint64_t Seed, const Faults &Injected) : m_Random(Seed), m_Faults(Injected) {
    for (std::size_t Index = 0; Index < VmCount; ++Index) {
      m_Vms[Index].m_Name = "e" + std::to_string(Index + 1);
      setVmListed(Index, true);
      startVm(Index);
    }
    m_VmListLag = randomMillis(0, 1500);
    scheduleFaults();
    for (int Number = 0; Number < OperationCount; ++Number) {
      schedule(Warmup + randomMillis(0, FaultTime), [this, Number] { startOperation(Number); });
    }
  }

  /// \brief Runs to the end. Scheduled faults begin within FaultTime; by the end of SettleTime all
  /// requests should be answered.
  void run() {
    const TimePoint End = m_Start + Duration(Warmup) + FaultTime + SettleTime;
    while (step(End)) {
    }
  }

  const std::vector<history::Record> &records() const { return m_Records; }
  std::uint64_t completed() const { return m_Completed; }

  /// \brief Requests never answered, requests answered twice, timers that do not advance.
  std::vector<std::string> problems() const {
    std::vector<std::string> Problems = m_Problems;
    for (const Vm &Each : m_Vms) {
      for (const auto &[Request, Attempt] : Each.m_OpenRequests) {
        Problems.push_back("no answer to " + Attempt + " on " + Each.m_Name);
      }
    }
    return Problems;
  }

private:
  using Millis = std::chrono::milliseconds;
  static constexpr std::size_t VmCount = 3;
  static constexpr std::size_t ServerCount = 2;
  static constexpr int OperationCount = 12;
  static constexpr Millis Warmup{4500};
  static constexpr Millis FaultTime{8000};
  static constexpr Millis SettleTime{12000};
  static constexpr Millis CallerTimeout{900};
  static constexpr int MaxAttempts = 5;
  static constexpr int MaxImmediateTimers = 20;

  struct Vm {
    std::string m_Name;
    std::unique_ptr<kernel::Node> m_Node;
    std::uint64_t m_Incarnation = 0;
    TimePoint m_PausedUntil{};
    /// Consecutive timer events after which the next timer was due at once.
    int m_ImmediateTimers = 0;
    /// Caller attempt of each request without an answer.
    std::map<RequestId, std::string> m_OpenRequests;
    /// Whether each dispatched attempt is still running.
    std::map<AttemptId, bool> m_Attempts;
  };

  /// An operation that a caller attempts until it completes or MaxAttempts is reached.
  struct CallerOperation {
    std::string m_Name;
    bool m_Idempotent = false;
    TimePoint m_FirstSent{};
    int m_Attempts = 0;
    bool m_Done = false;
    /// The attempt whose answer the caller waits for; empty when it does not wait.
    std::string m_PendingAttempt;
  };

  /// The VM list after one change.
  struct VmListState {
    TimePoint m_ChangedAt{};
    std::set<std::size_t> m_Vms;
  };

  Millis randomMillis(int Low, int High) {
    return Millis(std::uniform_int_distribution<int>(Low, High)(m_Random));
  }
  Millis randomMillis(int Low, Millis High) {
    return randomMillis(Low, static_cast<int>(High.count()));
  }
  std::size_t randomIndex(std::size_t Count) {
    return std::uniform_int_distribution<std::size_t>(0, Count - 1)(m_Random);
  }
  bool chance(int Percent) { return randomMillis(0, 99).count() < Percent; }

  void schedule(Duration After, std::function<void()> Task) {
    m_Queue.emplace(m_Now + After, std::move(Task));
  }

  /// As schedule(), for a task of a VM: delayed while the VM is paused, dropped if the VM has been
  /// killed in the meantime.
  void scheduleOnVm(std::size_t Index, Duration After, std::function<void()> Task) {
    schedule(After, [this, Index, Incarnation = m_Vms[Index].m_Incarnation,
                     Task = std::move(Task)] { runOnVm(Index, Incarnation, Task); });
  }

  void runOnVm(std::size_t Index, std::uint64_t Incarnation, const std::function<void()> &Task) {
    Vm &Self = m_Vms[Index];
    if (!Self.m_Node || Self.m_Incarnation != Incarnation) {
      return;
    }
    if (Self.m_PausedUntil > m_Now) {
      m_Queue.emplace(Self.m_PausedUntil,
                      [this, Index, Incarnation, Task] { runOnVm(Index, Incarnation, Task); });
      return;
    }
    Task();
  }

  /// \brief Carries out the next timer event or task. \return false at the end of the run
  bool step(TimePoint End) {
    std::size_t TimerVm = VmCount;
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
        TimerVm = Index;
      }
    }
    if (Next > End) {
      return false;
    }
    m_Now = Next;
    if (TimerVm < VmCount) {
      handleEvent(TimerVm, kernel::TimerFired{});
      Vm &Self = m_Vms[TimerVm];
      Self.m_ImmediateTimers = Self.m_Node->nextTimer() <= m_Now ? Self.m_ImmediateTimers + 1 : 0;
      if (Self.m_ImmediateTimers > MaxImmediateTimers) {
        m_Problems.push_back("timer does not advance on " + Self.m_Name);
        return false;
      }
      return true;
    }
    const std::function<void()> Task = std::move(m_Queue.begin()->second);
    m_Queue.erase(m_Queue.begin());
    Task();
    return true;
  }

  static std::shared_ptr<const SiteSettings> makeSettings() {
    SiteSettings Site;
    Site.m_Site = "khomas";
    Site.m_Idempotency.m_TransitLimit = std::chrono::seconds(1);
    Site.m_Membership.m_HeartbeatPeriod = Millis(400);
    Site.m_Membership.m_MaxVms = VmCount;
    ServiceSettings Service{.m_Id = idOf<ServiceId>("desk"),
                            .m_Name = "desk",
                            .m_Kinds = {},
                            .m_Servers = {},
                            .m_Policy = {}};
    Service.m_Policy.m_MeasuringBudget = 2.0;
    Service.m_Kinds.push_back({.m_Id = idOf<KindId>("desk/sign"), .m_Name = "sign"});
    Service.m_Kinds.push_back(
        {.m_Id = idOf<KindId>("desk/look"), .m_Name = "look", .m_Idempotent = true});
    for (std::size_t Index = 0; Index < ServerCount; ++Index) {
      Service.m_Servers.push_back(
          {.m_Id = idOf<ServerId>("desk/" + serverName(Index)), .m_Name = serverName(Index)});
    }
    Site.m_Services.push_back(std::move(Service));
    return std::make_shared<const SiteSettings>(std::move(Site));
  }
  static std::string serverName(std::size_t Index) { return "s" + std::to_string(Index + 1); }

  void startVm(std::size_t Index) {
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
    scheduleOnVm(Index, Millis(1), [this, Index] { readVmList(Index); });
  }

  void setVmListed(std::size_t Index, bool Listed) {
    VmListState State{.m_ChangedAt = m_Now, .m_Vms = {}};
    if (!m_VmListStates.empty()) {
      State.m_Vms = m_VmListStates.back().m_Vms;
    }
    if (Listed) {
      State.m_Vms.insert(Index);
    } else {
      State.m_Vms.erase(Index);
    }
    m_VmListStates.push_back(std::move(State));
  }

  /// Passes the VM list to a VM. The list is outdated by the same time for all VMs.
  void readVmList(std::size_t Index) {
    const VmListState *Visible = &m_VmListStates[VmCount - 1];
    for (const VmListState &State : m_VmListStates) {
      if (State.m_ChangedAt + m_VmListLag <= m_Now) {
        Visible = std::max(Visible, &State);
      }
    }
    kernel::VmListRead Read;
    for (const std::size_t Listed : Visible->m_Vms) {
      Read.m_Vms.push_back(
          {.m_Name = m_Vms[Listed].m_Name, .m_PeerAddress = "127.0.0.1:1", .m_DataCenter = "eros"});
    }
    handleEvent(Index, Read);
    scheduleOnVm(Index, Millis(500), [this, Index] { readVmList(Index); });
  }

  void handleEvent(std::size_t Index, const kernel::Event &Input) {
    kernel::Actions Out;
    m_Vms[Index].m_Node->handle(Input, m_Now, Out);
    for (const kernel::Action &Each : Out) {
      std::visit([&](const auto &Typed) { carryOutAction(Index, Typed); }, Each);
    }
  }

  template <typename T> void carryOutAction(std::size_t /*Index*/, const T & /*Unused*/) {}

  void carryOutAction(std::size_t Index, const kernel::SendPeer &Item) {
    for (std::size_t To = 0; To < VmCount; ++To) {
      const bool Lost =
          chance(m_Faults.m_MessageLossPercent) || m_CutLinks.contains(Index * VmCount + To);
      if (idOf<VmId>(m_Vms[To].m_Name) != Item.m_To || Lost || !m_Vms[To].m_Node) {
        continue;
      }
      TimePoint &Last = m_LastArrival[Index * VmCount + To];
      Last = std::max(Last, m_Now + randomMillis(0, 20));
      scheduleOnVm(To, Last - m_Now, [this, Index, To, Message = Item.m_Message] {
        handleEvent(To, kernel::PeerReceived{idOf<VmId>(m_Vms[Index].m_Name), Message});
      });
    }
  }

  void carryOutAction(std::size_t Index, const kernel::Answer &Item) {
    Vm &Self = m_Vms[Index];
    const auto Found = Self.m_OpenRequests.find(Item.m_Request);
    if (Found == Self.m_OpenRequests.end()) {
      m_Problems.push_back("second answer on " + Self.m_Name);
      return;
    }
    const std::string Attempt = Found->second;
    Self.m_OpenRequests.erase(Found);
    const std::string Echo = Item.m_Reply ? Item.m_Reply->m_Body : "";
    schedule(randomMillis(1, 200), [this, Attempt, Item, Echo] {
      const auto Ending = static_cast<history::Ending>(Item.m_Outcome);
      endCallerAttempt(Attempt, Ending, std::string(kernel::toString(Item.m_Reason)), Echo);
    });
  }

  /// The request may reach its server only after the VM has been paused, or even after it was
  /// killed.
  void carryOutAction(std::size_t Index, const kernel::Dispatch &Item) {
    Vm &Self = m_Vms[Index];
    Self.m_Attempts[Item.m_Attempt] = true;
    const std::string Attempt = Self.m_OpenRequests.at(Item.m_Request);
    const bool PausesBeforeSend = m_Faults.m_VmPauses > 0 && chance(5);
    if (PausesBeforeSend) {
      Self.m_PausedUntil = std::max(Self.m_PausedUntil, m_Now + randomMillis(100, 4000));
    }
    const Duration Delay =
        (PausesBeforeSend ? Self.m_PausedUntil - m_Now : Duration{}) + randomMillis(0, 20);
    schedule(Delay, [this, Index, Incarnation = Self.m_Incarnation, Item, Attempt] {
      serveRequest(Index, Incarnation, Item, Attempt);
    });
  }

  void carryOutAction(std::size_t Index, const kernel::CancelAttempt &Item) {
    scheduleOnVm(Index, Millis(1), [this, Index, Id = Item.m_Attempt] {
      endAttempt(Index, Id, kernel::AttemptResult::Unknown, "");
    });
  }

  void carryOutAction(std::size_t Index, const kernel::Probe &Item) {
    addRecord(history::Backend{.m_Event = history::BackendEvent::Probe,
                               .m_Server = std::to_string(raw(Item.m_Server))});
    scheduleOnVm(Index, Millis(5), [this, Index, Item] {
      handleEvent(Index, kernel::ProbeEnded{.m_Server = Item.m_Server, .m_Healthy = true});
    });
  }

  /// The backend server refuses the request, or runs it and replies.
  void serveRequest(std::size_t Index, std::uint64_t Incarnation, const kernel::Dispatch &Item,
                    const std::string &Attempt) {
    const std::string Server = std::to_string(raw(Item.m_Server));
    const auto EndLater = [this, Index, Incarnation,
                           Id = Item.m_Attempt](Duration After, kernel::AttemptResult Result,
                                                const std::string &Body) {
      schedule(After, [this, Index, Incarnation, Id, Result, Body] {
        runOnVm(Index, Incarnation,
                [this, Index, Id, Result, Body] { endAttempt(Index, Id, Result, Body); });
      });
    };
    history::Backend Entry{.m_Event = history::BackendEvent::Refuse,
                           .m_Request = Attempt,
                           .m_Operation = operationOf(Attempt),
                           .m_Server = Server,
                           .m_Vm = m_Vms[Index].m_Name};
    if (m_FailedServers.contains(Item.m_Server)) {
      EndLater(Millis(1), kernel::AttemptResult::NotSent, "");
      return;
    }
    if (chance(m_Faults.m_RefusalPercent)) {
      addRecord(Entry);
      EndLater(Millis(1), kernel::AttemptResult::NotRun, "");
      return;
    }
    Entry.m_Event = history::BackendEvent::Start;
    addRecord(Entry);
    const bool ReplyLost = chance(m_Faults.m_ReplyLossPercent);
    EndLater(randomMillis(1, 300),
             ReplyLost ? kernel::AttemptResult::Unknown : kernel::AttemptResult::Completed,
             Attempt);
  }

  void endAttempt(std::size_t Index, AttemptId Id, kernel::AttemptResult Result,
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
    handleEvent(Index, Ended);
  }

  void startOperation(int Number) {
    const std::string Name = "o" + std::to_string(Number);
    CallerOperation &Operation = m_Operations[Name];
    Operation.m_Name = Name;
    Operation.m_Idempotent = chance(20);
    Operation.m_FirstSent = m_Now;
    sendAttempt(Operation);
  }

  static std::string operationOf(const std::string &Attempt) {
    return Attempt.substr(0, Attempt.find('.'));
  }

  void sendAttempt(CallerOperation &Operation) {
    const std::size_t Index = randomIndex(VmCount);
    const std::string Attempt = Operation.m_Name + "." + std::to_string(++Operation.m_Attempts);
    const bool First = Operation.m_Attempts == 1;
    Operation.m_PendingAttempt = Attempt;
    addRecord(history::Send{.m_Request = Attempt,
                            .m_Operation = Operation.m_Name,
                            .m_Kind = "desk",
                            .m_Idempotent = Operation.m_Idempotent,
                            .m_Vm = m_Vms[Index].m_Name,
                            .m_Key = Operation.m_Name,
                            .m_First = First});
    const kernel::RequestArrived Arrived{
        .m_Request = RequestId{++m_LastRequest},
        .m_Service = idOf<ServiceId>("desk"),
        .m_Kind = idOf<KindId>(Operation.m_Idempotent ? "desk/look" : "desk/sign"),
        .m_Key = Operation.m_Name,
        .m_KeyAge = {.m_First = First, .m_Age = m_Now - Operation.m_FirstSent}};
    scheduleOnVm(Index, randomMillis(0, chance(10) ? 800 : 20), [this, Index, Arrived, Attempt] {
      m_Vms[Index].m_OpenRequests.emplace(Arrived.m_Request, Attempt);
      handleEvent(Index, Arrived);
    });
    schedule(CallerTimeout,
             [this, Attempt] { endCallerAttempt(Attempt, history::Ending::Cut, "", ""); });
  }

  /// The caller received an answer or timed out; it may repeat the operation through another VM.
  void endCallerAttempt(const std::string &Attempt, history::Ending Ending,
                        const std::string &ReasonText, const std::string &Echo) {
    CallerOperation &Operation = m_Operations.at(operationOf(Attempt));
    if (Operation.m_PendingAttempt != Attempt) {
      return;
    }
    Operation.m_PendingAttempt.clear();
    addRecord(history::Answer{.m_Request = Attempt,
                              .m_Operation = Operation.m_Name,
                              .m_Ending = Ending,
                              .m_Reason = ReasonText,
                              .m_Echo = Echo,
                              .m_Whole = true});
    m_Completed += Ending == history::Ending::Completed ? 1 : 0;
    if (Ending != history::Ending::Completed && Operation.m_Attempts < MaxAttempts) {
      schedule(randomMillis(0, 1200),
               [this, Name = Operation.m_Name] { sendAttempt(m_Operations.at(Name)); });
    }
  }

  void scheduleFaults() {
    for (int Count = 0; Count < m_Faults.m_VmPauses; ++Count) {
      schedule(Warmup + randomMillis(0, FaultTime), [this] {
        m_Vms[randomIndex(VmCount)].m_PausedUntil = m_Now + randomMillis(100, 6000);
      });
    }
    for (int Count = 0; Count < m_Faults.m_VmKills; ++Count) {
      schedule(Warmup + randomMillis(0, FaultTime), [this] { killVm(randomIndex(VmCount)); });
    }
    for (int Count = 0; Count < m_Faults.m_LinkCuts; ++Count) {
      schedule(Warmup + randomMillis(0, FaultTime), [this] { cutLinks(); });
    }
    for (int Count = 0; Count < m_Faults.m_ServerOutages; ++Count) {
      schedule(Warmup + randomMillis(0, FaultTime), [this] {
        const ServerId Server = idOf<ServerId>("desk/" + serverName(randomIndex(ServerCount)));
        m_FailedServers.insert(Server);
        schedule(randomMillis(100, 3000), [this, Server] { m_FailedServers.erase(Server); });
      });
    }
  }

  /// Kills a VM and restarts it later under the same name. If its downtime is longer than a second,
  /// the VM list omits it from one second after the kill until the restart.
  void killVm(std::size_t Index) {
    Vm &Self = m_Vms[Index];
    if (!Self.m_Node) {
      return;
    }
    Self.m_Node.reset();
    Self.m_OpenRequests.clear();
    Self.m_Attempts.clear();
    Self.m_PausedUntil = TimePoint{};
    const Millis Downtime = randomMillis(50, 7000);
    if (Downtime > Millis(1000)) {
      schedule(Millis(1000), [this, Index] { setVmListed(Index, false); });
    }
    schedule(Downtime, [this, Index] {
      setVmListed(Index, true);
      startVm(Index);
    });
  }

  /// Cuts the links from one VM to the others for some time, in half of the cases also the links
  /// back.
  void cutLinks() {
    const std::size_t Index = randomIndex(VmCount);
    const bool BothDirections = chance(50);
    std::set<std::size_t> Links;
    for (std::size_t Other = 0; Other < VmCount; ++Other) {
      Links.insert(Index * VmCount + Other);
      if (BothDirections) {
        Links.insert(Other * VmCount + Index);
      }
    }
    m_CutLinks.insert(Links.begin(), Links.end());
    schedule(randomMillis(200, 6000), [this, Links] {
      for (const std::size_t Link : Links) {
        m_CutLinks.erase(Link);
      }
    });
  }

  template <typename T> void addRecord(T Body) {
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
  std::shared_ptr<const SiteSettings> m_Settings = makeSettings();
  std::array<Vm, VmCount> m_Vms;
  std::vector<VmListState> m_VmListStates;
  Duration m_VmListLag{};
  std::map<std::size_t, TimePoint> m_LastArrival;
  /// Cut links, each in one direction: from * VmCount + to.
  std::set<std::size_t> m_CutLinks;
  std::set<ServerId> m_FailedServers;
  std::map<std::string, CallerOperation> m_Operations;
  std::uint64_t m_LastRequest = 0;
  std::uint64_t m_Completed = 0;
  std::vector<std::string> m_Problems;
  std::vector<history::Record> m_Records;
};

} // namespace vanillahill::test
