/// \file
/// Explores every interleaving of the protocol that makes repeats safe: the KeyGuards of three VMs,
/// attempts of one operation, messages delivered in any order, and a bounded number of VM restarts
/// or crashes. A VM that takes no step while others do represents a paused VM, and a message that
/// is never delivered represents a lost one, so every pause and every loss is covered.
#pragma once

#include "vanillahill/idempotency/key_guard.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <variant>
#include <vector>

namespace vanillahill::test {

/// Mechanisms of the protocol. Each can be disabled to show that the exploration then finds a
/// violation.
struct Mechanisms {
  bool m_Seal = true;
  bool m_Lease = true;
  bool m_JoinAcks = true;
  bool m_Incarnations = true;
  bool m_MemberSets = true;
  bool m_KnownSince = true;
};

/// One attempt, in transit to a VM in the initial state.
struct AttemptPlan {
  std::size_t m_Vm = 0;
  bool m_First = false;
};

struct Scenario {
  std::vector<AttemptPlan> m_Attempts;
  /// Maximum number of restarts and crashes together.
  int m_MaxRestarts = 0;
  /// VM 2 starts now and no other VM knows it yet.
  bool m_NewVm = false;
  /// A starting VM joins after one acknowledgement, as if the other VM did not reply to it.
  bool m_JoinAfterOneAck = false;
  /// VM 2 has no lease and the others dropped it long ago, but callers still reach it.
  bool m_DroppedVm = false;
  Mechanisms m_Mechanisms{};
};

struct Exploration {
  std::size_t m_States = 0;
  /// Highest number of runs of the operation in any state.
  int m_MaxRuns = 0;
  /// The first violation found; empty when there is none.
  std::string m_Violation;
};

/// Announces that the sender has started.
struct Hello {
  std::uint64_t m_Incarnation = 0;
};
/// Acknowledges a Hello; the receiver then knows the sender too.
struct HelloAck {
  std::uint64_t m_Incarnation = 0;
};

constexpr std::size_t VmCount = 3;
constexpr std::size_t CallerIndex = VmCount;

struct Message {
  std::size_t m_From = CallerIndex;
  std::size_t m_To = 0;
  std::variant<AttemptPlan, peer::KeyQuery, peer::KeyAnswer, Hello, HelloAck> m_Body;
  std::size_t m_Attempt = 0;
  /// Set by Explorer::sendMessage(); identifies the message in fingerprints and violations.
  std::string m_Description;
};

/// Progress of an attempt: not admitted, admitted by the KeyGuard, past the check before the
/// dispatch, running at the server, finished.
enum class Stage : std::uint8_t { Idle, Admitted, Checked, Running, Finished };

/// One VM: the real KeyGuard with a simplified membership that has only what the protocol needs.
struct Vm {
  idempotency::KeyGuard m_Guard;
  std::uint64_t m_Incarnation = 1;
  bool m_IsUp = true;
  bool m_Joined = true;
  bool m_Lease = true;
  TimePoint m_LeaseSince{};
  TimePoint m_KnownSince{};
  std::map<std::size_t, std::uint64_t> m_Known;
  std::set<std::size_t> m_AckedBy;
};

/// A state of the exploration. The vectors other than m_Vms and m_Messages have one element per
/// attempt.
struct SystemState {
  std::vector<Vm> m_Vms;
  std::vector<Message> m_Messages;
  std::vector<Stage> m_Stages;
  std::vector<int> m_Answers;
  std::vector<bool> m_Started;
  /// The VM stopped after the attempt had reached it, so no answer is required.
  std::vector<bool> m_AnswerNotRequired;
  TimePoint m_Now{std::chrono::hours(24)};
  int m_Runs = 0;
  int m_Restarts = 0;
};

class Explorer {
public:
  explicit Explorer(const Scenario &Plan) : m_Plan(Plan) {}

  Exploration run() {
    visitState(initialState());
    return m_Result;
  }

private:
  static constexpr const char *Key = "k";
  static constexpr Duration QueryTimeout = std::chrono::milliseconds(20);

  static VmId idOfVm(std::size_t Index) { return VmId{static_cast<std::uint32_t>(Index + 1)}; }
  static std::size_t indexOf(VmId Id) { return raw(Id) - 1; }
  /// The name in descriptions of steps; "*" for the caller.
  static std::string vmName(std::size_t Index) { return std::string(1, "ABC*"[Index]); }

  static idempotency::KeyGuard makeGuard(std::size_t Index, std::uint64_t Incarnation) {
    IdempotencySettings Settings;
    Settings.m_QueryTimeout = QueryTimeout;
    Settings.m_TransitLimit = std::chrono::seconds(1);
    return idempotency::KeyGuard(
        {.m_Settings = Settings, .m_Incarnation = Incarnation, .m_Seed = Index});
  }

  SystemState initialState() const {
    SystemState State;
    for (std::size_t Index = 0; Index < VmCount; ++Index) {
      State.m_Vms.push_back(Vm{.m_Guard = makeGuard(Index, 1), .m_Known = {}, .m_AckedBy = {}});
      for (std::size_t Other = 0; Other < VmCount; ++Other) {
        if (Other != Index && (Other != 2 || !(m_Plan.m_NewVm || m_Plan.m_DroppedVm))) {
          State.m_Vms[Index].m_Known[Other] = 1;
        }
      }
    }
    for (std::size_t Index = 0; Index < m_Plan.m_Attempts.size(); ++Index) {
      const AttemptPlan &Attempt = m_Plan.m_Attempts[Index];
      sendMessage(
          State,
          {.m_To = Attempt.m_Vm, .m_Body = Attempt, .m_Attempt = Index, .m_Description = {}});
    }
    State.m_Stages.resize(m_Plan.m_Attempts.size(), Stage::Idle);
    State.m_Answers.resize(m_Plan.m_Attempts.size(), 0);
    State.m_Started.resize(m_Plan.m_Attempts.size(), false);
    State.m_AnswerNotRequired.resize(m_Plan.m_Attempts.size(), false);
    if (m_Plan.m_DroppedVm) {
      State.m_Vms[2].m_Lease = false;
      State.m_Vms[0].m_KnownSince = State.m_Now - std::chrono::hours(1);
      State.m_Vms[1].m_KnownSince = State.m_Now - std::chrono::hours(1);
    }
    if (m_Plan.m_NewVm) {
      startJoining(State, 2);
      State.m_Vms[2].m_Joined = !m_Plan.m_Mechanisms.m_JoinAcks;
    }
    return State;
  }

  static void sendMessage(SystemState &State, Message Item) {
    Item.m_Description = vmName(Item.m_From) + ">" + vmName(Item.m_To) + " ";
    if (const auto *Query = std::get_if<peer::KeyQuery>(&Item.m_Body)) {
      Item.m_Description += "query " + std::to_string(Query->m_Query);
    } else if (const auto *Answer = std::get_if<peer::KeyAnswer>(&Item.m_Body)) {
      Item.m_Description += "answer " + std::to_string(Answer->m_Query) + " state " +
                            std::to_string(raw(Answer->m_State)) + " of " +
                            std::to_string(Answer->m_Incarnation) + " members " +
                            std::to_string(Answer->m_Members.size());
    } else if (const auto *Greeting = std::get_if<Hello>(&Item.m_Body)) {
      Item.m_Description += "hello " + std::to_string(Greeting->m_Incarnation);
    } else if (const auto *Ack = std::get_if<HelloAck>(&Item.m_Body)) {
      Item.m_Description += "ack " + std::to_string(Ack->m_Incarnation);
    } else {
      const bool First = std::get<AttemptPlan>(Item.m_Body).m_First;
      Item.m_Description += (First ? "first " : "repeat ") + std::to_string(Item.m_Attempt);
    }
    State.m_Messages.push_back(std::move(Item));
  }

  /// Starts a VM: it joins once the other VMs have acknowledged its Hello.
  static void startJoining(SystemState &State, std::size_t Index) {
    Vm &Self = State.m_Vms[Index];
    Self.m_Joined = false;
    Self.m_AckedBy.clear();
    Self.m_LeaseSince = State.m_Now;
    Self.m_KnownSince = State.m_Now;
    for (std::size_t Other = 0; Other < VmCount; ++Other) {
      if (Other != Index) {
        sendMessage(State, {.m_From = Index,
                            .m_To = Other,
                            .m_Body = Hello{Self.m_Incarnation},
                            .m_Description = {}});
      }
    }
  }

  membership::View makeView(const SystemState &State, std::size_t Index) {
    const Vm &Self = State.m_Vms[Index];
    m_Targets.clear();
    for (const auto &[Other, Incarnation] : Self.m_Known) {
      m_Targets.push_back({idOfVm(Other), Incarnation, true});
    }
    return {.m_Self = idOfVm(Index),
            .m_Incarnation = Self.m_Incarnation,
            .m_HasLease = !m_Plan.m_Mechanisms.m_Lease || (Self.m_Joined && Self.m_Lease),
            .m_LeaseSince = Self.m_LeaseSince,
            .m_KnownSince = m_Plan.m_Mechanisms.m_KnownSince ? Self.m_KnownSince : TimePoint{},
            .m_MustAsk = m_Targets};
  }

  /// Carries out the actions of a VM: sends messages to VMs, records answers to callers.
  void carryOutActions(SystemState &State, std::size_t From, const kernel::Actions &Actions) {
    for (const kernel::Action &Item : Actions) {
      if (const auto *Sent = std::get_if<kernel::SendPeer>(&Item)) {
        Message Next{
            .m_From = From, .m_To = indexOf(Sent->m_To), .m_Body = Hello{}, .m_Description = {}};
        if (const auto *Query = std::get_if<peer::KeyQuery>(&Sent->m_Message)) {
          Next.m_Body = *Query;
        } else {
          Next.m_Body = std::get<peer::KeyAnswer>(Sent->m_Message);
        }
        sendMessage(State, std::move(Next));
      } else if (const auto *Final = std::get_if<kernel::Answer>(&Item)) {
        recordAnswer(State, raw(Final->m_Request), Final->m_Outcome);
      }
    }
  }

  void recordAnswer(SystemState &State, std::size_t Attempt, kernel::Outcome Ended) {
    State.m_Stages[Attempt] = Stage::Finished;
    if (++State.m_Answers[Attempt] > 1) {
      recordViolation("attempt answered twice");
    }
    if (Ended == kernel::Outcome::NotRun && State.m_Started[Attempt]) {
      recordViolation("an attempt that ran was answered as not run");
    }
  }

  void deliverMessage(SystemState &State, const Message &Item) {
    Vm &Self = State.m_Vms[Item.m_To];
    kernel::Actions Out;
    const membership::View View = makeView(State, Item.m_To);
    if (const auto *Attempt = std::get_if<AttemptPlan>(&Item.m_Body)) {
      const kernel::KeyAge Age{.m_First = Attempt->m_First, .m_Age = Duration{}};
      const auto Verdict =
          Self.m_Guard.arrived(RequestId{Item.m_Attempt}, Key, Age, View, State.m_Now, Out);
      if (Verdict == idempotency::Verdict::Run) {
        State.m_Stages[Item.m_Attempt] = Stage::Admitted;
      }
    } else if (const auto *Query = std::get_if<peer::KeyQuery>(&Item.m_Body)) {
      idempotency::KeyGuard Copy = Self.m_Guard;
      idempotency::KeyGuard &Asked = m_Plan.m_Mechanisms.m_Seal ? Self.m_Guard : Copy;
      Asked.onQuery(idOfVm(Item.m_From), *Query, View, State.m_Now, Out);
    } else if (const auto *Answer = std::get_if<peer::KeyAnswer>(&Item.m_Body)) {
      for (const RequestId Request : Self.m_Guard.onAnswer(
               idOfVm(Item.m_From), withDisabledMechanisms(Self, Item.m_From, *Answer), View,
               State.m_Now, Out)) {
        State.m_Stages[raw(Request)] = Stage::Admitted;
      }
    } else if (const auto *Greeting = std::get_if<Hello>(&Item.m_Body)) {
      recordIncarnation(State, Self, Item.m_From, Greeting->m_Incarnation);
      sendMessage(State, {.m_From = Item.m_To,
                          .m_To = Item.m_From,
                          .m_Body = HelloAck{Self.m_Incarnation},
                          .m_Description = {}});
    } else {
      Self.m_Known[Item.m_From] = std::get<HelloAck>(Item.m_Body).m_Incarnation;
      Self.m_AckedBy.insert(Item.m_From);
      const std::size_t Needed = m_Plan.m_JoinAfterOneAck ? 1 : VmCount - 1;
      Self.m_Joined = Self.m_Joined || Self.m_AckedBy.size() >= Needed;
    }
    carryOutActions(State, Item.m_To, Out);
  }

  /// Removes from an answer what the disabled mechanisms contribute to it.
  peer::KeyAnswer withDisabledMechanisms(const Vm &Self, std::size_t From,
                                         peer::KeyAnswer Answer) const {
    if (!m_Plan.m_Mechanisms.m_Incarnations && Self.m_Known.contains(From)) {
      Answer.m_Incarnation = Self.m_Known.at(From);
    }
    if (!m_Plan.m_Mechanisms.m_MemberSets) {
      Answer.m_Members.clear();
    }
    return Answer;
  }

  static void recordIncarnation(const SystemState &State, Vm &Self, std::size_t From,
                                std::uint64_t Incarnation) {
    const auto Known = Self.m_Known.find(From);
    if (Known != Self.m_Known.end() && Known->second < Incarnation) {
      Self.m_KnownSince = State.m_Now;
    }
    Self.m_Known[From] = Incarnation;
  }

  /// Takes one step of an admitted attempt: the check before the dispatch, the dispatch, or the
  /// end.
  void advanceAttempt(SystemState &State, std::size_t Attempt, kernel::Outcome Ended) {
    const std::size_t Index = m_Plan.m_Attempts[Attempt].m_Vm;
    Vm &Self = State.m_Vms[Index];
    const RequestId Request{Attempt};
    kernel::Actions Out;
    switch (State.m_Stages[Attempt]) {
    case Stage::Admitted:
      if (Self.m_Guard.mayDispatch(Request, makeView(State, Index)) == kernel::Reason::None) {
        State.m_Stages[Attempt] = Stage::Checked;
        return;
      }
      Ended = kernel::Outcome::NotRun;
      break;
    case Stage::Checked:
      State.m_Stages[Attempt] = Stage::Running;
      State.m_Started[Attempt] = true;
      ++State.m_Runs;
      m_Result.m_MaxRuns = std::max(m_Result.m_MaxRuns, State.m_Runs);
      if (State.m_Runs > 1) {
        recordViolation("the operation ran twice");
      }
      return;
    default:
      break;
    }
    Self.m_Guard.finished(Request, Ended, kernel::Reason::None, std::make_shared<const Reply>(),
                          State.m_Now, Out);
    recordAnswer(State, Attempt, Ended);
    carryOutActions(State, Index, Out);
  }

  /// Stops a VM, which loses its keys, and starts it again if it restarts.
  void stopVm(SystemState &State, std::size_t Index, bool Restarts) {
    Vm &Self = State.m_Vms[Index];
    for (std::size_t Attempt = 0; Attempt < m_Plan.m_Attempts.size(); ++Attempt) {
      const bool Arrived = State.m_Stages[Attempt] != Stage::Idle || !inTransit(State, Attempt);
      if (m_Plan.m_Attempts[Attempt].m_Vm == Index && Arrived) {
        State.m_AnswerNotRequired[Attempt] = true;
        State.m_Stages[Attempt] = Stage::Finished;
      }
    }
    ++Self.m_Incarnation;
    Self.m_IsUp = Restarts;
    Self.m_Guard = makeGuard(Index, Self.m_Incarnation);
    if (Restarts) {
      startJoining(State, Index);
    }
  }

  static bool inTransit(const SystemState &State, std::size_t Attempt) {
    return std::ranges::any_of(State.m_Messages, [&](const Message &Item) {
      return Item.m_From == CallerIndex && Item.m_Attempt == Attempt;
    });
  }

  static std::string describeVm(const Vm &Item) {
    std::string Text = Item.m_Guard.describe(Key) + (Item.m_IsUp ? " up" : " down") +
                       (Item.m_Joined ? " joined" : " starting") +
                       std::to_string(Item.m_LeaseSince.time_since_epoch().count()) + "," +
                       std::to_string(Item.m_KnownSince.time_since_epoch().count());
    for (const auto &[Other, Incarnation] : Item.m_Known) {
      Text += " knows " + std::to_string(Other) + "/" + std::to_string(Incarnation);
    }
    for (const std::size_t Other : Item.m_AckedBy) {
      Text += " acked by " + std::to_string(Other);
    }
    return Text;
  }

  static std::uint64_t fingerprint(const SystemState &State) {
    std::vector<std::string> Texts;
    for (const Message &Item : State.m_Messages) {
      Texts.push_back(Item.m_Description);
    }
    std::ranges::sort(Texts);
    std::string Combined = std::to_string(State.m_Now.time_since_epoch().count());
    for (const std::string &Text : Texts) {
      Combined += Text + ";";
    }
    for (const Vm &Item : State.m_Vms) {
      Combined += describeVm(Item);
    }
    for (std::size_t Attempt = 0; Attempt < State.m_Stages.size(); ++Attempt) {
      Combined += static_cast<char>('0' + static_cast<int>(State.m_Stages[Attempt]));
      Combined += State.m_AnswerNotRequired[Attempt] ? 'x' : '.';
    }
    Combined += std::to_string(State.m_Restarts);
    return XXH64(Combined.data(), Combined.size(), 0);
  }

  void recordViolation(const std::string &What) {
    if (!m_Result.m_Violation.empty()) {
      return;
    }
    m_Result.m_Violation = What;
    for (const std::string &Step : m_Path) {
      m_Result.m_Violation += "\n    " + Step;
    }
  }

  /// Applies one step to a copy of a state and explores the states reached from there.
  template <typename F> void branch(const SystemState &From, const std::string &Step, F &&Apply) {
    if (!m_Result.m_Violation.empty()) {
      return;
    }
    m_Path.push_back(Step);
    SystemState Next = From;
    Apply(Next);
    visitState(Next);
    m_Path.pop_back();
  }

  void visitState(const SystemState &State) {
    if (!m_Visited.insert(fingerprint(State)).second) {
      return;
    }
    ++m_Result.m_States;
    branchMessages(State);
    const bool AttemptCanStep = branchAttempts(State);
    const bool TimerCanStep = branchTime(State);
    if (!AttemptCanStep && !TimerCanStep) {
      // Messages in transit may be lost, so every answer must have been given without them.
      checkAllAnswered(State);
    }
    branchFaults(State);
  }

  void branchMessages(const SystemState &State) {
    for (std::size_t Index = 0; Index < State.m_Messages.size(); ++Index) {
      const Message &Item = State.m_Messages[Index];
      if (!State.m_Vms[Item.m_To].m_IsUp) {
        continue;
      }
      branch(State, Item.m_Description, [&](SystemState &Next) {
        Next.m_Messages.erase(Next.m_Messages.begin() + static_cast<std::ptrdiff_t>(Index));
        deliverMessage(Next, Item);
      });
    }
  }

  bool branchAttempts(const SystemState &State) {
    bool AnyStep = false;
    for (std::size_t Attempt = 0; Attempt < State.m_Stages.size(); ++Attempt) {
      const Stage Current = State.m_Stages[Attempt];
      if (Current == Stage::Idle || Current == Stage::Finished) {
        continue;
      }
      AnyStep = true;
      const std::string Step = "attempt " + std::to_string(Attempt) + " stage " +
                               std::to_string(static_cast<int>(Current));
      branch(State, Step,
             [&](SystemState &Next) { advanceAttempt(Next, Attempt, kernel::Outcome::Completed); });
      if (Current == Stage::Running) {
        branch(State, Step + " reply lost",
               [&](SystemState &Next) { advanceAttempt(Next, Attempt, kernel::Outcome::Unknown); });
      }
      if (Current == Stage::Checked) {
        branch(State, Step + " refused by the server", [&](SystemState &Next) {
          Next.m_Stages[Attempt] = Stage::Running;
          advanceAttempt(Next, Attempt, kernel::Outcome::NotRun);
        });
      }
    }
    return AnyStep;
  }

  bool branchTime(const SystemState &State) {
    bool AnyStep = false;
    bool TimerPending = false;
    for (std::size_t Index = 0; Index < VmCount; ++Index) {
      const TimePoint Due = State.m_Vms[Index].m_Guard.nextTimer();
      if (!State.m_Vms[Index].m_IsUp || Due > State.m_Now + QueryTimeout) {
        continue;
      }
      if (Due > State.m_Now) {
        TimerPending = true;
        continue;
      }
      AnyStep = true;
      branch(State, vmName(Index) + " tick", [&](SystemState &Next) {
        kernel::Actions Out;
        Next.m_Vms[Index].m_Guard.tick(Next.m_Now, Out);
        carryOutActions(Next, Index, Out);
      });
    }
    if (TimerPending) {
      AnyStep = true;
      branch(State, "time passes", [&](SystemState &Next) { Next.m_Now += QueryTimeout; });
    }
    return AnyStep;
  }

  /// Each VM may drop a VM that is down at any time, independently of the others.
  void branchDrops(const SystemState &State) {
    for (std::size_t Index = 0; Index < VmCount; ++Index) {
      for (const auto &[Other, Incarnation] : State.m_Vms[Index].m_Known) {
        if (State.m_Vms[Index].m_IsUp && !State.m_Vms[Other].m_IsUp) {
          branch(State, vmName(Index) + " drops " + vmName(Other),
                 [&, Dropped = Other](SystemState &Next) { dropVm(Next, Index, Dropped); });
        }
      }
    }
  }

  void branchFaults(const SystemState &State) {
    branchDrops(State);
    if (State.m_Restarts == m_Plan.m_MaxRestarts) {
      return;
    }
    for (std::size_t Index = 0; Index < VmCount; ++Index) {
      branch(State, vmName(Index) + " restarts", [&](SystemState &Next) {
        ++Next.m_Restarts;
        stopVm(Next, Index, true);
      });
      branch(State, vmName(Index) + " dies", [&](SystemState &Next) {
        ++Next.m_Restarts;
        stopVm(Next, Index, false);
      });
    }
  }

  /// A VM drops another one that left the VM list: the keys that the other one held count as
  /// unknown from then on.
  static void dropVm(SystemState &State, std::size_t Index, std::size_t Dropped) {
    Vm &Self = State.m_Vms[Index];
    if (Self.m_Known.erase(Dropped) != 0) {
      Self.m_KnownSince = State.m_Now;
    }
  }

  void checkAllAnswered(const SystemState &State) {
    for (std::size_t Attempt = 0; Attempt < State.m_Answers.size(); ++Attempt) {
      const bool Arrived = !inTransit(State, Attempt);
      if (Arrived && !State.m_AnswerNotRequired[Attempt] && State.m_Answers[Attempt] != 1) {
        recordViolation("attempt " + std::to_string(Attempt) + " has no answer");
      }
    }
  }

  Scenario m_Plan;
  Exploration m_Result;
  std::unordered_set<std::uint64_t> m_Visited;
  std::vector<std::string> m_Path;
  std::vector<membership::AskTarget> m_Targets;
};

/// \brief Explores every state that the scenario can reach.
/// \return counts, and the first violation with the steps that lead to it
inline Exploration explore(const Scenario &Plan) { return Explorer(Plan).run(); }

} // namespace vanillahill::test
