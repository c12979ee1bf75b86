/// \file
/// A probed dispatcher with small fake servers and a paused clock.
#pragma once

#include "vanillahill/kernel/probed/dispatcher.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <set>

namespace vanillahill::kernel::probed {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One fake server: how it answers probes and how long its work takes.
struct FakeServer {
  std::uint32_t m_Slots = 4;
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  double m_Slowdown = 1.0;
  /// Work that starts when more than three quarters of the slots are taken takes longer by this.
  double m_CrowdedFactor = 1.0;
  Duration m_Work = milliseconds(100);
  bool m_AnswersProbes = true;
  bool m_TellsLoad = true;
  AttemptResult m_Result = AttemptResult::Completed;
  std::uint32_t m_Status = 200;
  /// Attempts that wait there for a slot.
  std::deque<AttemptId> m_Queue;
  /// Attempts that it got.
  std::vector<RequestId> m_Got;
  /// Attempts that were cancelled there.
  std::size_t m_Cancelled = 0;
  std::size_t m_Probed = 0;
};

/// Events of the fakes, in order of time.
struct Due {
  TimePoint m_At{};
  std::uint64_t m_Order = 0;
  std::function<void(TimePoint)> m_Run;
  bool operator>(const Due &Other) const {
    return std::tie(m_At, m_Order) > std::tie(Other.m_At, Other.m_Order);
  }
};

/// Drives one dispatcher. Probes take two milliseconds.
class Desk {
public:
  explicit Desk(std::size_t Servers, const std::function<void(ServiceSettings &)> &Change = {}) {
    m_Settings = {.m_Id = ServiceId{1}, .m_Name = "desk"};
    m_Settings.m_Kinds = {{.m_Id = Look,
                           .m_Name = "look",
                           .m_Deadline = milliseconds(800),
                           .m_Idempotent = true,
                           .m_TargetLatency = milliseconds(250),
                           .m_Priority = 2,
                           .m_MaxAttempts = 2},
                          {.m_Id = Post,
                           .m_Name = "post",
                           .m_Deadline = milliseconds(800),
                           .m_TargetLatency = milliseconds(300),
                           .m_Priority = 1,
                           .m_MaxAttempts = 2}};
    m_Settings.m_Policy = {.m_Name = "probed", .m_ProbesPerSecond = 1000.0, .m_RetryRatio = 0.2};
    for (std::size_t Index = 0; Index < Servers; ++Index) {
      m_Settings.m_Servers.push_back({.m_Id = id(Index),
                                      .m_Name = "s" + std::to_string(Index),
                                      .m_DataCenter = "dc",
                                      .m_Slots = 4});
      m_Servers.emplace(id(Index), FakeServer{});
    }
    if (Change) {
      Change(m_Settings);
    }
    m_Context.m_DataCenter = "dc";
    m_Context.m_Random.seed(20261203);
    m_Dispatcher.emplace(DispatcherOptions{.m_Settings = m_Settings, .m_Now = m_Now}, m_Context);
  }

  static constexpr KindId Look{1};
  static constexpr KindId Post{2};
  static ServerId id(std::size_t Index) { return ServerId{static_cast<std::uint32_t>(Index + 1)}; }

  FakeServer &server(std::size_t Index) { return m_Servers.at(id(Index)); }

  RequestId arrive(KindId Kind) {
    const RequestId Request{++m_LastRequest};
    Actions Out;
    m_Dispatcher->arrive(Request, Kind, m_Now + milliseconds(800), m_Now, Out);
    carryOut(Out);
    return Request;
  }

  void callerGone(RequestId Request) {
    Actions Out;
    m_Dispatcher->callerGone(Request, m_Now, Out);
    carryOut(Out);
  }

  void configure() { m_Dispatcher->configure(m_Settings, m_Now); }
  void peerMark(std::size_t Index) { m_Dispatcher->peerMark(id(Index), false, m_Now); }

  /// Lets time pass.
  void advance(Duration Step) {
    const TimePoint Until = m_Now + Step;
    while (true) {
      const TimePoint Timer = m_Dispatcher->nextTimer(m_Now);
      const TimePoint Event = m_Due.empty() ? TimePoint::max() : m_Due.top().m_At;
      const TimePoint Next = std::min(Timer, Event);
      if (Next > Until) {
        break;
      }
      m_Now = std::max(m_Now, Next);
      if (Event <= Timer) {
        const Due Item = m_Due.top();
        m_Due.pop();
        Item.m_Run(m_Now);
      } else {
        Actions Out;
        m_Dispatcher->tick(m_Now, Out);
        carryOut(Out);
      }
    }
    m_Now = Until;
  }

  /// The answer to a request; fails the test when there is none.
  const kernel::Answer &answerOf(RequestId Request) { return m_Answers.at(Request); }
  bool isAnswered(RequestId Request) const { return m_Answers.contains(Request); }
  std::size_t answers() const { return m_Answers.size(); }
  std::size_t unfinished() const { return m_Dispatcher->unfinished(); }
  std::size_t probes() const { return m_Probes; }
  std::size_t told() const { return m_Told; }
  TimePoint now() const { return m_Now; }

  /// All attempts that a request had.
  std::size_t attemptsOf(RequestId Request) const {
    std::size_t Sum = 0;
    for (const auto &[Id, Server] : m_Servers) {
      Sum +=
          static_cast<std::size_t>(std::count(Server.m_Got.begin(), Server.m_Got.end(), Request));
    }
    return Sum;
  }

  ServiceSettings m_Settings;
  std::map<ServerId, FakeServer> m_Servers;

private:
  void carryOut(const Actions &Steps) {
    for (const Action &Step : Steps) {
      if (const auto *Asked = std::get_if<Probe>(&Step)) {
        probe(Asked->m_Server);
      } else if (const auto *Sent = std::get_if<Dispatch>(&Step)) {
        dispatch(*Sent);
      } else if (const auto *Dropped = std::get_if<CancelAttempt>(&Step)) {
        cancel(Dropped->m_Attempt);
      } else if (const auto *Final = std::get_if<kernel::Answer>(&Step)) {
        EXPECT_TRUE(m_Answers.emplace(Final->m_Request, *Final).second) << "answered twice";
      } else if (std::holds_alternative<TellServerFailure>(Step)) {
        ++m_Told;
      }
    }
  }

  void probe(ServerId Server) {
    ++m_Probes;
    ++m_Servers.at(Server).m_Probed;
    const FakeServer &Fake = m_Servers.at(Server);
    const Duration Takes = Fake.m_AnswersProbes ? milliseconds(2) : milliseconds(250);
    later(Takes, [this, Server](TimePoint Now) {
      const FakeServer &Asked = m_Servers.at(Server);
      ProbeEnded Ended{.m_Server = Server,
                       .m_Healthy = Asked.m_AnswersProbes,
                       .m_Answered = Asked.m_AnswersProbes};
      if (Asked.m_AnswersProbes && Asked.m_TellsLoad) {
        Ended.m_Load = loadOf(Asked);
      }
      Actions Out;
      m_Dispatcher->probeEnded(Ended, Now, Out);
      carryOut(Out);
    });
  }

  static LoadReport loadOf(const FakeServer &Fake) {
    return {.m_Running = Fake.m_Running,
            .m_Waiting = Fake.m_Waiting + static_cast<std::uint32_t>(Fake.m_Queue.size()),
            .m_Slots = Fake.m_Slots,
            .m_Slowdown = Fake.m_Slowdown};
  }

  void dispatch(const Dispatch &Sent) {
    FakeServer &Fake = m_Servers.at(Sent.m_Server);
    Fake.m_Got.push_back(Sent.m_Request);
    m_Running.emplace(Sent.m_Attempt, Sent.m_Server);
    if (Fake.m_Running < Fake.m_Slots) {
      begin(Fake, Sent.m_Attempt);
    } else {
      Fake.m_Queue.push_back(Sent.m_Attempt);
    }
  }

  void begin(FakeServer &Fake, AttemptId Attempt) {
    ++Fake.m_Running;
    const bool IsCrowded = 4 * Fake.m_Running > 3 * Fake.m_Slots;
    const double Factor = Fake.m_Slowdown * (IsCrowded ? Fake.m_CrowdedFactor : 1.0);
    const auto Takes = std::chrono::duration_cast<Duration>(Fake.m_Work * Factor);
    later(Takes, [this, Attempt](TimePoint Now) { end(Attempt, Now, false); });
  }

  void cancel(AttemptId Attempt) {
    const auto Found = m_Running.find(Attempt);
    ASSERT_NE(Found, m_Running.end());
    ++m_Servers.at(Found->second).m_Cancelled;
    later(milliseconds(1), [this, Attempt](TimePoint Now) { end(Attempt, Now, true); });
  }

  void end(AttemptId Attempt, TimePoint Now, bool WasCancelled) {
    const auto Found = m_Running.find(Attempt);
    if (Found == m_Running.end()) {
      return;
    }
    FakeServer &Fake = m_Servers.at(Found->second);
    m_Running.erase(Found);
    if (std::erase(Fake.m_Queue, Attempt) == 0) {
      --Fake.m_Running;
      if (!Fake.m_Queue.empty()) {
        const AttemptId Next = Fake.m_Queue.front();
        Fake.m_Queue.pop_front();
        begin(Fake, Next);
      }
    }
    AttemptEnded Ended{.m_Attempt = Attempt,
                       .m_Result = WasCancelled ? AttemptResult::Unknown : Fake.m_Result};
    if (Ended.m_Result == AttemptResult::Completed) {
      auto Whole = std::make_shared<Reply>();
      Whole->m_Status = Fake.m_Status;
      Ended.m_Reply = std::move(Whole);
    }
    Actions Out;
    m_Dispatcher->attemptEnded(Ended, Now, Out);
    carryOut(Out);
  }

  void later(Duration Wait, std::function<void(TimePoint)> Run) {
    m_Due.push({.m_At = m_Now + Wait, .m_Order = ++m_LastOrder, .m_Run = std::move(Run)});
  }

  TimePoint m_Now = TimePoint{} + std::chrono::hours(1);
  DispatcherContext m_Context;
  std::optional<Dispatcher> m_Dispatcher;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> m_Due;
  std::map<AttemptId, ServerId> m_Running;
  std::map<RequestId, kernel::Answer> m_Answers;
  std::uint64_t m_LastRequest = 0;
  std::uint64_t m_LastOrder = 0;
  std::size_t m_Probes = 0;
  std::size_t m_Told = 0;
};

} // namespace vanillahill::kernel::probed
