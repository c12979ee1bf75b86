/// \file
/// Explores every interleaving of the repeats protocol: KeyGuards of three VMs, attempts of one
/// operation, messages in any order, a bounded number of restarts or deaths. A VM that takes no
/// step while others do is a paused VM and a message that is never taken from the air is a lost
/// one, so every pause and every loss is covered.
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

/// Each mechanism can be taken out, to show that its loss is found.
struct Rules {
  bool m_Seal = true;
  bool m_Lease = true;
  bool m_NewcomerAcks = true;
  bool m_Incarnations = true;
  bool m_MemberSets = true;
  bool m_KnownSince = true;
};

/// One attempt, on its way to a VM from the beginning.
struct AttemptPlan {
  std::size_t m_Vm = 0;
  bool m_First = false;
};

struct Scenario {
  std::vector<AttemptPlan> m_Attempts;
  int m_Restarts = 0;
  /// VM 2 starts now and is known to nobody.
  bool m_Newcomer = false;
  /// A VM that starts joins after one acknowledgement: the other VM is silent to it.
  bool m_OneAck = false;
  /// VM 2 has lost its lease and was dropped by the others long ago, yet callers reach it.
  bool m_Dropped = false;
  Rules m_Rules{};
};

struct Exploration {
  std::size_t m_States = 0;
  /// Most runs of the operation in any state.
  int m_MostRuns = 0;
  /// The first violation found; empty when there is none.
  std::string m_Violation;
};

/// A VM says that it has started.
struct Hello {
  std::uint64_t m_Incarnation = 0;
};
/// The receiver knows the sender from now on.
struct HelloAck {
  std::uint64_t m_Incarnation = 0;
};

constexpr std::size_t Vms = 3;
constexpr std::size_t Caller = Vms;

struct Message {
  std::size_t m_From = Caller;
  std::size_t m_To = 0;
  std::variant<AttemptPlan, peer::KeyQuery, peer::KeyAnswer, Hello, HelloAck> m_Body;
  std::size_t m_Attempt = 0;
  std::string m_Text;
};

enum class Stage : std::uint8_t { Idle, Admitted, Checked, Running, Over };

/// One VM: the real KeyGuard and a membership reduced to what the protocol needs of it.
struct Vm {
  idempotency::KeyGuard m_Guard;
  std::uint64_t m_Incarnation = 1;
  bool m_Up = true;
  bool m_Joined = true;
  bool m_Lease = true;
  TimePoint m_LeaseSince{};
  TimePoint m_KnownSince{};
  std::map<std::size_t, std::uint64_t> m_Known;
  std::set<std::size_t> m_AckedBy;
};

struct World {
  std::vector<Vm> m_Vms;
  std::vector<Message> m_Messages;
  std::vector<Stage> m_Stages;
  std::vector<int> m_Answers;
  std::vector<bool> m_Started;
  std::vector<bool> m_Excused;
  TimePoint m_Now{std::chrono::hours(24)};
  int m_Runs = 0;
  int m_Restarts = 0;
};

class Explorer {
public:
  explicit Explorer(const Scenario &Plan) : m_Plan(Plan) {}

  Exploration run() {
    visit(initial());
    return m_Result;
  }

private:
  static constexpr const char *Key = "k";
  static constexpr Duration QueryTimeout = std::chrono::milliseconds(20);

  static VmId idOfVm(std::size_t Index) { return VmId{static_cast<std::uint32_t>(Index + 1)}; }
  static std::size_t indexOf(VmId Id) { return raw(Id) - 1; }
  static std::string name(std::size_t Index) { return std::string(1, "ABC*"[Index]); }

  static idempotency::KeyGuard makeGuard(std::size_t Index, std::uint64_t Incarnation) {
    IdempotencySettings Settings;
    Settings.m_QueryTimeout = QueryTimeout;
    Settings.m_TransitLimit = std::chrono::seconds(1);
    return idempotency::KeyGuard(
        {.m_Settings = Settings, .m_Incarnation = Incarnation, .m_Seed = Index});
  }

  World initial() const {
    World Start;
    for (std::size_t Index = 0; Index < Vms; ++Index) {
      Start.m_Vms.push_back(Vm{.m_Guard = makeGuard(Index, 1), .m_Known = {}, .m_AckedBy = {}});
      for (std::size_t Other = 0; Other < Vms; ++Other) {
        if (Other != Index && (Other != 2 || !(m_Plan.m_Newcomer || m_Plan.m_Dropped))) {
          Start.m_Vms[Index].m_Known[Other] = 1;
        }
      }
    }
    for (std::size_t Index = 0; Index < m_Plan.m_Attempts.size(); ++Index) {
      const AttemptPlan &Attempt = m_Plan.m_Attempts[Index];
      send(Start, {.m_To = Attempt.m_Vm, .m_Body = Attempt, .m_Attempt = Index, .m_Text = {}});
    }
    Start.m_Stages.resize(m_Plan.m_Attempts.size(), Stage::Idle);
    Start.m_Answers.resize(m_Plan.m_Attempts.size(), 0);
    Start.m_Started.resize(m_Plan.m_Attempts.size(), false);
    Start.m_Excused.resize(m_Plan.m_Attempts.size(), false);
    if (m_Plan.m_Dropped) {
      Start.m_Vms[2].m_Lease = false;
      Start.m_Vms[0].m_KnownSince = Start.m_Now - std::chrono::hours(1);
      Start.m_Vms[1].m_KnownSince = Start.m_Now - std::chrono::hours(1);
    }
    if (m_Plan.m_Newcomer) {
      begin(Start, 2);
      Start.m_Vms[2].m_Joined = !m_Plan.m_Rules.m_NewcomerAcks;
    }
    return Start;
  }

  static void send(World &At, Message Item) {
    Item.m_Text = name(Item.m_From) + ">" + name(Item.m_To) + " ";
    if (const auto *Query = std::get_if<peer::KeyQuery>(&Item.m_Body)) {
      Item.m_Text += "query " + std::to_string(Query->m_Query);
    } else if (const auto *Answer = std::get_if<peer::KeyAnswer>(&Item.m_Body)) {
      Item.m_Text += "answer " + std::to_string(Answer->m_Query) + " state " +
                     std::to_string(raw(Answer->m_State)) + " of " +
                     std::to_string(Answer->m_Incarnation) + " members " +
                     std::to_string(Answer->m_Members.size());
    } else if (const auto *Start = std::get_if<Hello>(&Item.m_Body)) {
      Item.m_Text += "hello " + std::to_string(Start->m_Incarnation);
    } else if (const auto *Ack = std::get_if<HelloAck>(&Item.m_Body)) {
      Item.m_Text += "ack " + std::to_string(Ack->m_Incarnation);
    } else {
      const bool First = std::get<AttemptPlan>(Item.m_Body).m_First;
      Item.m_Text += (First ? "first " : "repeat ") + std::to_string(Item.m_Attempt);
    }
    At.m_Messages.push_back(std::move(Item));
  }

  /// The VM starts anew: it joins once every other VM has acknowledged its hello.
  static void begin(World &At, std::size_t Index) {
    Vm &Self = At.m_Vms[Index];
    Self.m_Joined = false;
    Self.m_AckedBy.clear();
    Self.m_LeaseSince = At.m_Now;
    Self.m_KnownSince = At.m_Now;
    for (std::size_t Other = 0; Other < Vms; ++Other) {
      if (Other != Index) {
        send(At,
             {.m_From = Index, .m_To = Other, .m_Body = Hello{Self.m_Incarnation}, .m_Text = {}});
      }
    }
  }

  membership::View view(const World &At, std::size_t Index) {
    const Vm &Self = At.m_Vms[Index];
    m_Targets.clear();
    for (const auto &[Other, Incarnation] : Self.m_Known) {
      m_Targets.push_back({idOfVm(Other), Incarnation, true});
    }
    return {.m_Self = idOfVm(Index),
            .m_Incarnation = Self.m_Incarnation,
            .m_HasLease = !m_Plan.m_Rules.m_Lease || (Self.m_Joined && Self.m_Lease),
            .m_LeaseSince = Self.m_LeaseSince,
            .m_KnownSince = m_Plan.m_Rules.m_KnownSince ? Self.m_KnownSince : TimePoint{},
            .m_MustAsk = m_Targets};
  }

  /// Takes the actions of a VM: messages into the air, answers to the callers.
  void carryOut(World &At, std::size_t From, const kernel::Actions &Actions) {
    for (const kernel::Action &Item : Actions) {
      if (const auto *Sent = std::get_if<kernel::SendPeer>(&Item)) {
        Message Next{.m_From = From, .m_To = indexOf(Sent->m_To), .m_Body = Hello{}, .m_Text = {}};
        if (const auto *Query = std::get_if<peer::KeyQuery>(&Sent->m_Message)) {
          Next.m_Body = *Query;
        } else {
          Next.m_Body = std::get<peer::KeyAnswer>(Sent->m_Message);
        }
        send(At, std::move(Next));
      } else if (const auto *Final = std::get_if<kernel::Answer>(&Item)) {
        answer(At, raw(Final->m_Request), Final->m_Outcome);
      }
    }
  }

  void answer(World &At, std::size_t Attempt, kernel::Outcome Ended) {
    At.m_Stages[Attempt] = Stage::Over;
    if (++At.m_Answers[Attempt] > 1) {
      fail("attempt answered twice");
    }
    if (Ended == kernel::Outcome::NotRun && At.m_Started[Attempt]) {
      fail("not-run was said of an attempt that ran");
    }
  }

  void deliver(World &At, const Message &Item) {
    Vm &Self = At.m_Vms[Item.m_To];
    kernel::Actions Out;
    const membership::View View = view(At, Item.m_To);
    if (const auto *Attempt = std::get_if<AttemptPlan>(&Item.m_Body)) {
      const kernel::KeyAge Age{.m_First = Attempt->m_First, .m_Age = Duration{}};
      const auto Verdict =
          Self.m_Guard.arrived(RequestId{Item.m_Attempt}, Key, Age, View, At.m_Now, Out);
      if (Verdict == idempotency::Verdict::Run) {
        At.m_Stages[Item.m_Attempt] = Stage::Admitted;
      }
    } else if (const auto *Query = std::get_if<peer::KeyQuery>(&Item.m_Body)) {
      idempotency::KeyGuard Copy = Self.m_Guard;
      idempotency::KeyGuard &Asked = m_Plan.m_Rules.m_Seal ? Self.m_Guard : Copy;
      Asked.onQuery(idOfVm(Item.m_From), *Query, View, At.m_Now, Out);
    } else if (const auto *Answer = std::get_if<peer::KeyAnswer>(&Item.m_Body)) {
      for (const RequestId Request : Self.m_Guard.onAnswer(
               idOfVm(Item.m_From), mutated(Self, Item.m_From, *Answer), View, At.m_Now, Out)) {
        At.m_Stages[raw(Request)] = Stage::Admitted;
      }
    } else if (const auto *Start = std::get_if<Hello>(&Item.m_Body)) {
      learn(At, Self, Item.m_From, Start->m_Incarnation);
      send(At, {.m_From = Item.m_To,
                .m_To = Item.m_From,
                .m_Body = HelloAck{Self.m_Incarnation},
                .m_Text = {}});
    } else {
      Self.m_Known[Item.m_From] = std::get<HelloAck>(Item.m_Body).m_Incarnation;
      Self.m_AckedBy.insert(Item.m_From);
      const std::size_t Needed = m_Plan.m_OneAck ? 1 : Vms - 1;
      Self.m_Joined = Self.m_Joined || Self.m_AckedBy.size() >= Needed;
    }
    carryOut(At, Item.m_To, Out);
  }

  peer::KeyAnswer mutated(const Vm &Self, std::size_t From, peer::KeyAnswer Answer) const {
    if (!m_Plan.m_Rules.m_Incarnations && Self.m_Known.contains(From)) {
      Answer.m_Incarnation = Self.m_Known.at(From);
    }
    if (!m_Plan.m_Rules.m_MemberSets) {
      Answer.m_Members.clear();
    }
    return Answer;
  }

  static void learn(const World &At, Vm &Self, std::size_t From, std::uint64_t Incarnation) {
    const auto Known = Self.m_Known.find(From);
    if (Known != Self.m_Known.end() && Known->second < Incarnation) {
      Self.m_KnownSince = At.m_Now;
    }
    Self.m_Known[From] = Incarnation;
  }

  /// One step of an admitted attempt: the last check, the write, the end.
  void proceed(World &At, std::size_t Attempt, kernel::Outcome Ended) {
    const std::size_t Index = m_Plan.m_Attempts[Attempt].m_Vm;
    Vm &Self = At.m_Vms[Index];
    const RequestId Request{Attempt};
    kernel::Actions Out;
    switch (At.m_Stages[Attempt]) {
    case Stage::Admitted:
      if (Self.m_Guard.mayDispatch(Request, view(At, Index)) == kernel::Reason::None) {
        At.m_Stages[Attempt] = Stage::Checked;
        return;
      }
      Ended = kernel::Outcome::NotRun;
      break;
    case Stage::Checked:
      At.m_Stages[Attempt] = Stage::Running;
      At.m_Started[Attempt] = true;
      ++At.m_Runs;
      m_Result.m_MostRuns = std::max(m_Result.m_MostRuns, At.m_Runs);
      if (At.m_Runs > 1) {
        fail("the operation ran twice");
      }
      return;
    default:
      break;
    }
    Self.m_Guard.finished(Request, Ended, kernel::Reason::None, std::make_shared<const Reply>(),
                          At.m_Now, Out);
    answer(At, Attempt, Ended);
    carryOut(At, Index, Out);
  }

  void restart(World &At, std::size_t Index, bool Returns) {
    Vm &Self = At.m_Vms[Index];
    for (std::size_t Attempt = 0; Attempt < m_Plan.m_Attempts.size(); ++Attempt) {
      const bool Arrived = At.m_Stages[Attempt] != Stage::Idle || !inTransit(At, Attempt);
      if (m_Plan.m_Attempts[Attempt].m_Vm == Index && Arrived) {
        At.m_Excused[Attempt] = true;
        At.m_Stages[Attempt] = Stage::Over;
      }
    }
    ++Self.m_Incarnation;
    Self.m_Up = Returns;
    Self.m_Guard = makeGuard(Index, Self.m_Incarnation);
    if (Returns) {
      begin(At, Index);
    }
  }

  static bool inTransit(const World &At, std::size_t Attempt) {
    return std::ranges::any_of(At.m_Messages, [&](const Message &Item) {
      return Item.m_From == Caller && Item.m_Attempt == Attempt;
    });
  }

  static std::string describe(const Vm &Item) {
    std::string Text = Item.m_Guard.describe(Key) + (Item.m_Up ? " up" : " down") +
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

  static std::uint64_t fingerprint(const World &At) {
    std::vector<std::string> Texts;
    for (const Message &Item : At.m_Messages) {
      Texts.push_back(Item.m_Text);
    }
    std::ranges::sort(Texts);
    std::string Whole = std::to_string(At.m_Now.time_since_epoch().count());
    for (const std::string &Text : Texts) {
      Whole += Text + ";";
    }
    for (const Vm &Item : At.m_Vms) {
      Whole += describe(Item);
    }
    for (std::size_t Attempt = 0; Attempt < At.m_Stages.size(); ++Attempt) {
      Whole += static_cast<char>('0' + static_cast<int>(At.m_Stages[Attempt]));
      Whole += At.m_Excused[Attempt] ? 'x' : '.';
    }
    Whole += std::to_string(At.m_Restarts);
    return XXH64(Whole.data(), Whole.size(), 0);
  }

  void fail(const std::string &What) {
    if (!m_Result.m_Violation.empty()) {
      return;
    }
    m_Result.m_Violation = What;
    for (const std::string &Step : m_Path) {
      m_Result.m_Violation += "\n    " + Step;
    }
  }

  /// Applies one step to a copy of the world and explores from there.
  template <typename F> void branch(const World &From, const std::string &Step, F &&Apply) {
    if (!m_Result.m_Violation.empty()) {
      return;
    }
    m_Path.push_back(Step);
    World Next = From;
    Apply(Next);
    visit(Next);
    m_Path.pop_back();
  }

  void visit(const World &At) {
    if (!m_Seen.insert(fingerprint(At)).second) {
      return;
    }
    ++m_Result.m_States;
    branchMessages(At);
    const bool AttemptsMove = branchAttempts(At);
    const bool TimeMoves = branchTime(At);
    if (!AttemptsMove && !TimeMoves) {
      // Whatever is still in the air may be lost: the answers must not depend on it.
      checkAnswered(At);
    }
    branchFaults(At);
  }

  void branchMessages(const World &At) {
    for (std::size_t Index = 0; Index < At.m_Messages.size(); ++Index) {
      const Message &Item = At.m_Messages[Index];
      if (!At.m_Vms[Item.m_To].m_Up) {
        continue;
      }
      branch(At, Item.m_Text, [&](World &Next) {
        Next.m_Messages.erase(Next.m_Messages.begin() + static_cast<std::ptrdiff_t>(Index));
        deliver(Next, Item);
      });
    }
  }

  bool branchAttempts(const World &At) {
    bool Moved = false;
    for (std::size_t Attempt = 0; Attempt < At.m_Stages.size(); ++Attempt) {
      const Stage Present = At.m_Stages[Attempt];
      if (Present == Stage::Idle || Present == Stage::Over) {
        continue;
      }
      Moved = true;
      const std::string Step = "attempt " + std::to_string(Attempt) + " stage " +
                               std::to_string(static_cast<int>(Present));
      branch(At, Step, [&](World &Next) { proceed(Next, Attempt, kernel::Outcome::Completed); });
      if (Present == Stage::Running) {
        branch(At, Step + " reply lost",
               [&](World &Next) { proceed(Next, Attempt, kernel::Outcome::Unknown); });
      }
      if (Present == Stage::Checked) {
        branch(At, Step + " refused by the server", [&](World &Next) {
          Next.m_Stages[Attempt] = Stage::Running;
          proceed(Next, Attempt, kernel::Outcome::NotRun);
        });
      }
    }
    return Moved;
  }

  bool branchTime(const World &At) {
    bool Moved = false;
    bool Pending = false;
    for (std::size_t Index = 0; Index < Vms; ++Index) {
      const TimePoint Due = At.m_Vms[Index].m_Guard.nextTimer();
      if (!At.m_Vms[Index].m_Up || Due > At.m_Now + QueryTimeout) {
        continue;
      }
      if (Due > At.m_Now) {
        Pending = true;
        continue;
      }
      Moved = true;
      branch(At, name(Index) + " tick", [&](World &Next) {
        kernel::Actions Out;
        Next.m_Vms[Index].m_Guard.tick(Next.m_Now, Out);
        carryOut(Next, Index, Out);
      });
    }
    if (Pending) {
      Moved = true;
      branch(At, "time passes", [&](World &Next) { Next.m_Now += QueryTimeout; });
    }
    return Moved;
  }

  /// Each VM drops a dead one at a time of its own.
  void branchDrops(const World &At) {
    for (std::size_t Index = 0; Index < Vms; ++Index) {
      for (const auto &[Other, Incarnation] : At.m_Vms[Index].m_Known) {
        if (At.m_Vms[Index].m_Up && !At.m_Vms[Other].m_Up) {
          branch(At, name(Index) + " drops " + name(Other),
                 [&, Gone = Other](World &Next) { drop(Next, Index, Gone); });
        }
      }
    }
  }

  void branchFaults(const World &At) {
    branchDrops(At);
    if (At.m_Restarts == m_Plan.m_Restarts) {
      return;
    }
    for (std::size_t Index = 0; Index < Vms; ++Index) {
      branch(At, name(Index) + " restarts", [&](World &Next) {
        ++Next.m_Restarts;
        restart(Next, Index, true);
      });
      branch(At, name(Index) + " dies", [&](World &Next) {
        ++Next.m_Restarts;
        restart(Next, Index, false);
      });
    }
  }

  /// A VM drops one that the list has dropped: its keys count as unknown from then on.
  static void drop(World &At, std::size_t Index, std::size_t Gone) {
    Vm &Self = At.m_Vms[Index];
    if (Self.m_Known.erase(Gone) != 0) {
      Self.m_KnownSince = At.m_Now;
    }
  }

  void checkAnswered(const World &At) {
    for (std::size_t Attempt = 0; Attempt < At.m_Answers.size(); ++Attempt) {
      const bool Arrived = !inTransit(At, Attempt);
      if (Arrived && !At.m_Excused[Attempt] && At.m_Answers[Attempt] != 1) {
        fail("attempt " + std::to_string(Attempt) + " has no answer");
      }
    }
  }

  Scenario m_Plan;
  Exploration m_Result;
  std::unordered_set<std::uint64_t> m_Seen;
  std::vector<std::string> m_Path;
  std::vector<membership::AskTarget> m_Targets;
};

/// \brief Explores every state that the scenario can reach.
/// \return counts and the first violation with the steps that lead to it
inline Exploration explore(const Scenario &Plan) { return Explorer(Plan).run(); }

} // namespace vanillahill::test
