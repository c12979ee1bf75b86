/// \file
/// Runs a probed dispatcher against fake servers on a simulated clock.
#pragma once

#include "vanillahill/kernel/probed/dispatcher.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

namespace vanillahill::kernel::probed {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// One fake server: how it answers probes and how long its requests take.
struct FakeServer {
  std::uint32_t m_Slots = 4;
  std::uint32_t m_Running = 0;
  /// Waiting requests that it reports in addition to those in m_Queue.
  std::uint32_t m_Waiting = 0;
  double m_Slowdown = 1.0;
  /// Multiplies the duration of a request when more than three quarters of the slots, its own
  /// included, are taken at its start.
  double m_NearlyFullFactor = 1.0;
  Duration m_Work = milliseconds(100);
  /// Replaces m_Work for requests of these kinds.
  std::map<KindId, Duration> m_WorkOfKind = {};
  bool m_AnswersProbes = true;
  bool m_ReportsLoad = true;
  /// The replies to requests tell the load as well.
  bool m_RepliesTellLoad = false;
  AttemptResult m_Result = AttemptResult::Completed;
  std::uint32_t m_Status = 200;
  /// Its replies say that it is leaving.
  bool m_SaysLeaving = false;
  /// With m_Result NotRun: its replies ask for a pause of this length, if not zero.
  Duration m_PauseFor{};
  /// The same for its replies to probes.
  Duration m_ProbePauseFor{};
  /// Requests per second that its replies name as its limit.
  std::optional<double> m_Limit;
  /// Until when it is cold and says so in its replies to probes.
  std::optional<TimePoint> m_ColdUntil;
  /// Attempts that wait for a slot.
  std::deque<AttemptId> m_Queue;
  /// The request of each attempt that it received.
  std::vector<RequestId> m_Received;
  /// Attempts that were cancelled.
  std::size_t m_Cancelled = 0;
  /// Probes that it received.
  std::size_t m_Probed = 0;
  /// Its process has ended: connections to it are refused.
  bool m_IsDown = false;
};

/// An event of the fake servers. Earlier ones come first, at equal times in order of scheduling.
struct ScheduledEvent {
  TimePoint m_At{};
  std::uint64_t m_Order = 0;
  std::function<void(TimePoint)> m_Callback;
  bool operator>(const ScheduledEvent &Other) const {
    return std::tie(m_At, m_Order) > std::tie(Other.m_At, Other.m_Order);
  }
};

/// A request or probe that was sent to a server.
struct Sent {
  ServerId m_Server{};
  TimePoint m_At{};
  std::size_t m_Vm = 0;
  /// Not set for a probe.
  std::optional<RequestId> m_Request;
};

/// How the links of a VM to all servers fail.
enum class Cut : std::uint8_t {
  None,
  /// Nothing arrives; connections hang.
  Hangs,
  /// Open connections are reset, new ones are refused.
  Refuses,
};

/// A server that ended under a request.
struct Crash {
  ServerId m_Server{};
  TimePoint m_At{};
  RequestId m_Request{};
};

/// A reply in which a server asked for a pause.
struct AskedPause {
  ServerId m_Server{};
  TimePoint m_At{};
  Duration m_Length{};
};

/// Runs the dispatchers of one or more VMs that share the servers. A probe takes 2 ms, or 250 ms at
/// a server that does not answer probes. What one VM tells the others arrives after 1 ms.
class DispatcherHarness {
public:
  /// VMs and servers are spread evenly over the data centres.
  explicit DispatcherHarness(std::size_t Servers,
                             const std::function<void(ServiceSettings &)> &Change = {},
                             std::size_t Vms = 1, std::size_t DataCenters = 1)
      : m_DataCenters(DataCenters) {
    m_Settings = {.m_Id = ServiceId{1}, .m_Name = "service"};
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
      m_Settings.m_Servers.push_back({.m_Id = serverId(Index),
                                      .m_Name = "s" + std::to_string(Index),
                                      .m_DataCenter = dataCenterOf(Index),
                                      .m_Slots = 4});
      m_Servers.emplace(serverId(Index), FakeServer{});
    }
    if (Change) {
      Change(m_Settings);
    }
    for (std::size_t Vm = 0; Vm < Vms; ++Vm) {
      DispatcherContext &Context = m_Contexts.emplace_back();
      Context.m_Self = VmId{static_cast<std::uint32_t>(Vm)};
      Context.m_DataCenter = dataCenterOf(Vm);
      Context.m_Fleet = fleetOf(Vm, Vms);
      Context.m_Random.seed(20261203 + Vm);
      Context.m_Poison = PoisonTracker(
          20261204 + Vm, [this](RequestId Request) { return completedContent(Request); });
      Context.m_Contents = {
          .m_Hash = [this](RequestId Request) { return hashOf(Request); },
          .m_Content = [this](RequestId Request) -> std::optional<RequestContent> {
            return hashOf(Request) ? digest(Request) : std::nullopt;
          },
          .m_IsRelayed = [this](RequestId Request) { return m_RelayOf.contains(Request); }};
      Context.m_Helpers.set(helpersOf(Vm, Vms));
      Context.m_Reach.setServerCount(Servers);
      constexpr std::uint64_t AttemptsPerVm = 1'000'000;
      Context.m_NextAttempt = 1 + Vm * AttemptsPerVm;
      m_Dispatchers.push_back(std::make_unique<Dispatcher>(
          DispatcherOptions{.m_Settings = m_Settings, .m_Now = m_Now}, Context));
      m_Timers.push_back(TimePoint::max());
    }
  }

  /// Idempotent.
  static constexpr KindId Look{1};
  /// Not idempotent.
  static constexpr KindId Post{2};
  static ServerId serverId(std::size_t Index) {
    return ServerId{static_cast<std::uint32_t>(Index + 1)};
  }

  /// "dc" is the first data centre, "dc1" the second one.
  std::string dataCenterOf(std::size_t Index) const {
    const std::size_t Position = Index % m_DataCenters;
    return Position == 0 ? "dc" : "dc" + std::to_string(Position);
  }

  /// The view of a VM that knows all VMs.
  FleetView fleetOf(std::size_t Vm, std::size_t Vms) const {
    FleetView Fleet{.m_Self = VmId{static_cast<std::uint32_t>(Vm)},
                    .m_DataCenter = dataCenterOf(Vm)};
    for (std::size_t Each = Vm % m_DataCenters; Each < Vms; Each += m_DataCenters) {
      Fleet.m_Local.push_back(VmId{static_cast<std::uint32_t>(Each)});
    }
    for (std::size_t Each = 0; Each < m_DataCenters; ++Each) {
      if (dataCenterOf(Each) != Fleet.m_DataCenter) {
        Fleet.m_OtherDataCenters.push_back(dataCenterOf(Each));
      }
    }
    return Fleet;
  }

  /// The other VMs of the data centre, and some of each other one.
  std::vector<HelperVm> helpersOf(std::size_t Vm, std::size_t Vms) const {
    constexpr std::size_t MaxRemote = 32;
    std::map<std::string, std::size_t> Counts;
    std::vector<HelperVm> Helpers;
    for (std::size_t Step = 1; Step < Vms; ++Step) {
      const std::size_t Other = (Vm + Step) % Vms;
      const bool IsLocal = dataCenterOf(Other) == dataCenterOf(Vm);
      if (IsLocal || Counts[dataCenterOf(Other)]++ < MaxRemote) {
        Helpers.push_back({.m_Id = ServerId{static_cast<std::uint32_t>(FirstHelper + Other)},
                           .m_Name = "vm" + std::to_string(Other),
                           .m_IsLocal = IsLocal});
      }
    }
    return Helpers;
  }

  /// A VM learns that VMs have joined or left.
  void changeFleet(std::size_t Vm, FleetView Fleet) {
    Fleet.m_ChangedAt = m_Now;
    DispatcherContext &Context = m_Contexts[Vm];
    if (hasNewVms(Context.m_Fleet, Fleet)) {
      for (const CrashReport &Report :
           Context.m_Poison.reportsForNewVm(Fleet.m_Local.size(), m_Now)) {
        announceCrashReport(Vm, Report);
      }
    }
    Context.m_Fleet = std::move(Fleet);
    m_Dispatchers[Vm]->fleetChanged(m_Now);
  }

  /// Replaces a VM's process by one that knows nothing but the settings. What the former one has
  /// sent runs on; the replies are lost.
  void restart(std::size_t Vm, FleetView Fleet) {
    for (auto &[Attempt, Running] : m_Running) {
      Running.m_IsOrphan = Running.m_IsOrphan || Running.m_Vm == Vm;
    }
    std::erase_if(m_LimitToldAt, [Vm](const auto &Told) { return Told.first.second == Vm; });
    m_Contexts[Vm].m_Poison = PoisonTracker(
        ++m_LastRequest, [this](RequestId Request) { return completedContent(Request); });
    m_Dispatchers[Vm] = std::make_unique<Dispatcher>(
        DispatcherOptions{.m_Settings = m_Settings, .m_Now = m_Now}, m_Contexts[Vm]);
    changeFleet(Vm, std::move(Fleet));
    updateTimer(Vm);
  }

  /// The same for a VM that has not heard of any other one yet.
  void restartAlone(std::size_t Vm) {
    FleetView Alone = fleetOf(Vm, 1);
    Alone.m_Self = m_Contexts[Vm].m_Self;
    Alone.m_DataCenter = m_Contexts[Vm].m_DataCenter;
    Alone.m_Local = {Alone.m_Self};
    Alone.m_OtherDataCenters.clear();
    Alone.m_ChangedAt = TimePoint::min();
    m_Contexts[Vm].m_Fleet = std::move(Alone);
    m_Dispatchers[Vm] = std::make_unique<Dispatcher>(
        DispatcherOptions{.m_Settings = m_Settings, .m_Now = m_Now}, m_Contexts[Vm]);
    updateTimer(Vm);
  }

  /// Whether announcements of limits reach one VM from another one.
  std::function<bool(std::size_t From, std::size_t To)> m_IsAnnounced =
      [](std::size_t, std::size_t) { return true; };

  /// Whether messages about tokens from one VM reach another one.
  std::function<bool(std::size_t From, std::size_t To)> m_MovesTokens =
      [](std::size_t, std::size_t) { return true; };
  /// Messages about tokens that were sent.
  std::size_t m_TokenMessages = 0;

  FakeServer &server(std::size_t Index) { return m_Servers.at(serverId(Index)); }

  /// Whether a server that begins to run the request ends after m_CrashAfter.
  std::function<bool(RequestId)> m_CrashesServer = [](RequestId) { return false; };
  Duration m_CrashAfter = milliseconds(50);
  /// A server that has ended starts again after this time, as another incarnation.
  Duration m_RestartAfter = seconds(3);

  /// A server's process ends: the connections of its requests are closed without a reply.
  void crash(ServerId Server) {
    FakeServer &Fake = m_Servers.at(Server);
    Fake.m_IsDown = true;
    Fake.m_Running = 0;
    Fake.m_Queue.clear();
    std::vector<AttemptId> Lost;
    for (const auto &[Attempt, Running] : m_Running) {
      if (Running.m_Server == Server) {
        Lost.push_back(Attempt);
      }
    }
    for (const AttemptId Attempt : Lost) {
      endAttempt(Attempt, m_Now, AttemptEnd::Crashed);
    }
    schedule(m_RestartAfter, [this, Server](TimePoint) { startAgain(Server); });
  }

  /// Cuts a VM off from all servers, or ends that.
  void cutOff(std::size_t Vm, Cut How) {
    m_Cuts[Vm] = How;
    if (How != Cut::Refuses) {
      return;
    }
    std::vector<AttemptId> Lost;
    for (const auto &[Attempt, Running] : m_Running) {
      if (Running.m_Vm == Vm && raw(Running.m_Server) < FirstHelper) {
        Lost.push_back(Attempt);
      }
    }
    for (const AttemptId Attempt : Lost) {
      endAttempt(Attempt, m_Now, AttemptEnd::Crashed);
    }
  }
  Cut cutOf(std::size_t Vm) const {
    const auto Found = m_Cuts.find(Vm);
    return Found == m_Cuts.end() ? Cut::None : Found->second;
  }

  /// The servers that ended under a request, in order.
  const std::vector<Crash> &crashes() const { return m_Crashes; }

  /// Whether a server runs, and is no former incarnation.
  std::vector<ServerId> runningServers() const {
    std::vector<ServerId> Running;
    for (const ServerSettings &Listed : m_Settings.m_Servers) {
      if (!m_Servers.at(Listed.m_Id).m_IsDown) {
        Running.push_back(Listed.m_Id);
      }
    }
    return Running;
  }

  /// A request arrives at one of the VMs.
  RequestId arrive(KindId Kind, std::size_t Vm = 0) { return arrive(Kind, Vm, m_LastRequest + 1); }

  /// \param Content requests with the same content are copies of each other
  RequestId arrive(KindId Kind, std::size_t Vm, std::uint64_t Content) {
    const RequestId Request{++m_LastRequest};
    m_ArrivedAt[Request] = m_Now;
    m_Contents[Request] = Content;
    m_Kinds[Request] = Kind;
    Actions Out;
    m_Dispatchers[Vm]->arrive(Request, Kind, m_Now + m_Deadline, m_Now, Out);
    applyActions(Vm, Out);
    return Request;
  }

  /// Requests that VMs have passed on to others.
  std::size_t relayed() const { return m_RelayOf.size(); }

  void callerGone(RequestId Request) {
    Actions Out;
    m_Dispatchers[0]->callerGone(Request, m_Now, Out);
    applyActions(0, Out);
  }

  /// The settings that configure() passes to all VMs.
  ServiceSettings &settings() { return m_Settings; }

  void configure() {
    for (std::size_t Vm = 0; Vm < m_Dispatchers.size(); ++Vm) {
      m_Dispatchers[Vm]->configure(m_Settings, m_Now);
      updateTimer(Vm);
    }
  }
  void peerMark(std::size_t Index) { m_Dispatchers[0]->peerMark(serverId(Index), false, m_Now); }

  /// A VM is told to stop: it ends the requests that are still open after this time.
  void stop(std::size_t Vm, Duration EndsAfter) { m_Contexts[Vm].m_EndsAt = m_Now + EndsAfter; }

  /// Advances the clock and runs the events and timers that are due.
  void advance(Duration Step) {
    const TimePoint Until = m_Now + Step;
    while (true) {
      const auto [Timer, Vm] = m_TimerQueue.empty() ? std::pair(TimePoint::max(), std::size_t{0})
                                                    : *m_TimerQueue.begin();
      const TimePoint Event = m_Events.empty() ? TimePoint::max() : m_Events.top().m_At;
      const TimePoint Next = std::min(Timer, Event);
      if (Next > Until) {
        break;
      }
      m_Now = std::max(m_Now, Next);
      if (Event <= Timer) {
        const ScheduledEvent Item = m_Events.top();
        m_Events.pop();
        Item.m_Callback(m_Now);
      } else {
        Actions Out;
        m_Dispatchers[Vm]->tick(m_Now, Out);
        applyActions(Vm, Out);
      }
    }
    m_Now = Until;
  }

  /// The answer to a request; throws when there is none.
  const kernel::Answer &answerOf(RequestId Request) { return m_Answers.at(Request); }
  bool isAnswered(RequestId Request) const { return m_Answers.contains(Request); }
  std::size_t answers() const { return m_Answers.size(); }
  std::size_t unfinished() const {
    std::size_t Sum = 0;
    for (const auto &Each : m_Dispatchers) {
      Sum += Each->unfinished();
    }
    return Sum;
  }
  /// When a request was answered; throws when it was not.
  TimePoint answeredAt(RequestId Request) const { return m_AnsweredAt.at(Request); }
  std::size_t probes() const { return m_Probes; }
  /// Failures that other VMs were told of.
  std::size_t failureReports() const { return m_FailureReports; }
  TimePoint now() const { return m_Now; }
  KindId kindOf(RequestId Request) const { return m_Kinds.at(Request); }
  /// What a request asks for; throws for an unknown one.
  std::uint64_t contentOf(RequestId Request) const { return m_Contents.at(Request); }
  /// When a request arrived; throws for an unknown one.
  TimePoint arrivedAt(RequestId Request) const { return m_ArrivedAt.at(Request); }
  /// When the first VM received the first reply to a request in which a server said that it is
  /// leaving.
  std::optional<TimePoint> saidLeavingAt(ServerId Server) const {
    const auto Found = m_SaidLeavingAt.find(Server);
    return Found == m_SaidLeavingAt.end() ? std::nullopt : std::optional(Found->second);
  }
  /// When a VM received the first reply in which a server named a limit.
  std::optional<TimePoint> limitToldAt(ServerId Server, std::size_t Vm) const {
    const auto Found = m_LimitToldAt.find({Server, Vm});
    return Found == m_LimitToldAt.end() ? std::nullopt : std::optional(Found->second);
  }
  /// The pauses that the servers asked for, in order.
  const std::vector<AskedPause> &askedPauses() const { return m_Pauses; }
  /// Everything that was sent to the servers, in order.
  const std::vector<Sent> &sent() const { return m_Sent; }
  /// Log lines of a type, in order.
  std::vector<Decision> decisions(DecisionType Type) const {
    std::vector<Decision> Found;
    std::copy_if(m_Decisions.begin(), m_Decisions.end(), std::back_inserter(Found),
                 [Type](const Decision &Each) { return Each.m_Type == Type; });
    return Found;
  }
  NodeStatus status() const {
    NodeStatus Status;
    for (const auto &Each : m_Dispatchers) {
      Each->appendStatus(m_Now, Status);
    }
    return Status;
  }
  /// Starts a further server and lists it.
  void startServer(std::size_t Index) {
    m_Settings.m_Servers.push_back({.m_Id = serverId(Index),
                                    .m_Name = "s" + std::to_string(Index),
                                    .m_DataCenter = "dc",
                                    .m_Slots = 4});
    m_Servers.emplace(serverId(Index), FakeServer{});
    configure();
  }
  /// Removes a server from the settings; it goes on running.
  ServerSettings delist(std::size_t Index) {
    const auto Found =
        std::find_if(m_Settings.m_Servers.begin(), m_Settings.m_Servers.end(),
                     [Index](const auto &Listed) { return Listed.m_Id == serverId(Index); });
    ServerSettings Removed = *Found;
    m_Settings.m_Servers.erase(Found);
    configure();
    return Removed;
  }
  void list(const ServerSettings &Server) {
    m_Settings.m_Servers.push_back(Server);
    configure();
  }

  /// Counts the attempts of a request at all servers.
  std::size_t attemptsOf(RequestId Request) const {
    std::size_t Sum = 0;
    for (const auto &[Id, Server] : m_Servers) {
      Sum += static_cast<std::size_t>(
          std::count(Server.m_Received.begin(), Server.m_Received.end(), Request));
    }
    return Sum;
  }

  ServiceSettings m_Settings;
  std::map<ServerId, FakeServer> m_Servers;
  /// Announcements of limits that were sent.
  std::size_t m_LimitAnnouncements = 0;
  /// Announcements of servers that crashed under requests.
  std::size_t m_CrashAnnouncements = 0;
  /// RequestContent::m_Hash of what a request asks for; by default nothing else has the same.
  std::function<std::uint64_t(std::uint64_t Content)> m_HashOf = [](std::uint64_t Content) {
    return Content;
  };
  /// Digests of requests that were computed.
  std::size_t m_DigestsMade = 0;
  /// Time that each request has from its arrival.
  Duration m_Deadline = milliseconds(800);

private:
  /// Id of the first VM as a helper.
  static constexpr std::uint32_t FirstHelper = 1'000'000'000;

  enum class AttemptEnd : std::uint8_t { Finished, Cancelled, Crashed, NotSent, Lost };

  struct RunningAttempt {
    ServerId m_Server{};
    RequestId m_Request{};
    std::size_t m_Vm = 0;
    /// The VM has restarted since.
    bool m_IsOrphan = false;
    /// The server has got it.
    bool m_IsAtServer = false;
  };

  /// To be called after each call of a VM's dispatcher.
  void updateTimer(std::size_t Vm) {
    const TimePoint Next = m_Dispatchers[Vm]->nextTimer(m_Now);
    if (Next != m_Timers[Vm]) {
      m_TimerQueue.erase({m_Timers[Vm], Vm});
      m_TimerQueue.emplace(Next, Vm);
      m_Timers[Vm] = Next;
    }
  }

  void applyActions(std::size_t Vm, const Actions &Requested) {
    updateTimer(Vm);
    for (const Action &Item : Requested) {
      if (const auto *Probed = std::get_if<Probe>(&Item)) {
        probe(Vm, Probed->m_Server);
      } else if (const auto *Wanted = std::get_if<Dispatch>(&Item)) {
        dispatch(Vm, *Wanted);
      } else if (const auto *Cancelled = std::get_if<CancelAttempt>(&Item)) {
        cancel(Cancelled->m_Attempt);
      } else if (const auto *Final = std::get_if<kernel::Answer>(&Item)) {
        EXPECT_TRUE(m_Answers.emplace(Final->m_Request, *Final).second) << "answered twice";
        m_AnsweredAt[Final->m_Request] = m_Now;
        if (const auto Relay = m_RelayOf.find(Final->m_Request); Relay != m_RelayOf.end()) {
          schedule(milliseconds(1), [this, Attempt = Relay->second, Answered = *Final](
                                        TimePoint Now) { endRelay(Attempt, Answered, Now); });
        }
      } else if (const auto *Failed = std::get_if<TellServerFailure>(&Item)) {
        ++m_FailureReports;
        tellOthers(Vm, [this, Server = Failed->m_Server](std::size_t Other, TimePoint Now) {
          m_Dispatchers[Other]->peerMark(Server, false, Now);
        });
      } else if (const auto *Limited = std::get_if<AnnounceServerLimit>(&Item)) {
        ++m_LimitAnnouncements;
        tellOthers(Vm, [this, Vm, Announced = *Limited](std::size_t Other, TimePoint Now) {
          if (!m_IsAnnounced(Vm, Other)) {
            return;
          }
          Actions Out;
          m_Dispatchers[Other]->limitAnnounced({.m_Server = Announced.m_Server,
                                                .m_PerSecond = Announced.m_PerSecond,
                                                .m_Age = Announced.m_Age},
                                               Now, Out);
          applyActions(Other, Out);
        });
      } else if (const auto *Cold = std::get_if<AnnounceServerCold>(&Item)) {
        tellOthers(Vm, [this, Vm, Stated = *Cold](std::size_t Other, TimePoint Now) {
          if (!m_IsAnnounced(Vm, Other)) {
            return;
          }
          Actions Out;
          m_Dispatchers[Other]->coldAnnounced({.m_Server = Stated.m_Server,
                                               .m_ColdFor = Stated.m_ColdFor,
                                               .m_Age = Stated.m_Age + milliseconds(1)},
                                              Now, Out);
          applyActions(Other, Out);
        });
      } else if (const auto *Reach = std::get_if<AnnounceReach>(&Item)) {
        const ServerId Helper{static_cast<std::uint32_t>(FirstHelper + Vm)};
        tellOthers(
            Vm, [this, Vm, Helper, IsCutOff = Reach->m_IsCutOff](std::size_t Other, TimePoint Now) {
              if (m_IsAnnounced(Vm, Other)) {
                m_Contexts[Other].m_Helpers.noteAnnounced(Helper, IsCutOff, Now);
              }
            });
      } else if (const auto *Asked = std::get_if<SendTokenRequest>(&Item)) {
        deliverTokens(Vm, Asked->m_ToVm, [this, Vm, Request = Asked->m_Request](std::size_t To) {
          Actions Out;
          m_Dispatchers[To]->tokensRequested(
              {.m_FromVm = "vm" + std::to_string(Vm), .m_Request = Request}, m_Now, Out);
          applyActions(To, Out);
        });
      } else if (const auto *Granted = std::get_if<SendTokenGrant>(&Item)) {
        deliverTokens(Vm, Granted->m_ToVm, [this, Grant = Granted->m_Grant](std::size_t To) {
          m_Dispatchers[To]->tokensGranted(Grant, m_Now);
        });
      } else if (const auto *Crashed = std::get_if<AnnounceCrashReport>(&Item)) {
        announceCrashReport(Vm, Crashed->m_Report);
      } else if (const auto *Made = std::get_if<Decision>(&Item)) {
        m_Decisions.push_back(*Made);
      }
    }
  }

  std::optional<std::uint64_t> hashOf(RequestId Request) const {
    const auto Found = m_Contents.find(Request);
    const bool IsOpen = Found != m_Contents.end() && !m_Answers.contains(Request);
    return IsOpen ? std::optional(m_HashOf(Found->second)) : std::nullopt;
  }

  std::optional<RequestContent> completedContent(RequestId Request) {
    const auto Found = m_Answers.find(Request);
    const bool IsKept = Found != m_Answers.end() && Found->second.m_Outcome == Outcome::Completed;
    return IsKept ? digest(Request) : std::nullopt;
  }

  std::optional<RequestContent> digest(RequestId Request) {
    ++m_DigestsMade;
    const std::uint64_t Content = m_Contents.at(Request);
    return RequestContent{.m_Hash = m_HashOf(Content), .m_Digest = {Content, 1}};
  }

  void announceCrashReport(std::size_t Vm, const CrashReport &Report) {
    ++m_CrashAnnouncements;
    tellOthers(Vm, [this, Vm, Report](std::size_t Other, TimePoint Now) {
      if (!m_IsAnnounced(Vm, Other)) {
        return;
      }
      DispatcherContext &Context = m_Contexts[Other];
      const auto Merged = Context.m_Poison.receive(Report, Context.m_Fleet.m_Local.size(), Now);
      if (Merged.m_Answer) {
        announceCrashReport(Other, *Merged.m_Answer);
      }
    });
  }

  template <typename Call> void tellOthers(std::size_t Vm, Call Told) {
    schedule(milliseconds(1), [this, Vm, Told](TimePoint Now) {
      for (std::size_t Other = 0; Other < m_Dispatchers.size(); ++Other) {
        if (Other != Vm) {
          Told(Other, Now);
        }
      }
    });
  }

  void probe(std::size_t Vm, ServerId Server) {
    ++m_Probes;
    m_Sent.push_back({.m_Server = Server, .m_At = m_Now, .m_Vm = Vm});
    ++m_Servers.at(Server).m_Probed;
    const FakeServer &Fake = m_Servers.at(Server);
    const Cut Links = cutOf(Vm);
    const bool IsRefused = Links == Cut::Refuses || (Links == Cut::None && Fake.m_IsDown);
    const Duration ProbeTime = IsRefused                                    ? milliseconds(1)
                               : Fake.m_AnswersProbes && Links == Cut::None ? milliseconds(2)
                                                                            : milliseconds(250);
    schedule(ProbeTime, [this, Vm, Server, Links, IsRefused](TimePoint Now) {
      const FakeServer &Probed = m_Servers.at(Server);
      if (IsRefused || Links == Cut::Hangs) {
        Actions Out;
        m_Dispatchers[Vm]->probeEnded({.m_Server = Server, .m_ConnectionRefused = IsRefused}, Now,
                                      Out);
        applyActions(Vm, Out);
        return;
      }
      ProbeEnded Ended{.m_Server = Server,
                       .m_Healthy = Probed.m_AnswersProbes,
                       .m_Answered = Probed.m_AnswersProbes,
                       .m_ServerLeaving = Probed.m_AnswersProbes && Probed.m_SaysLeaving};
      if (Probed.m_AnswersProbes && Probed.m_ReportsLoad) {
        Ended.m_Load = loadOf(Probed);
      }
      if (Probed.m_AnswersProbes && Probed.m_ColdUntil) {
        Ended.m_ColdFor = std::max(*Probed.m_ColdUntil - Now, Duration::zero());
      }
      if (Probed.m_AnswersProbes && Probed.m_ProbePauseFor > Duration::zero()) {
        Ended.m_PauseFor = Probed.m_ProbePauseFor;
        m_Pauses.push_back({.m_Server = Server, .m_At = Now, .m_Length = Ended.m_PauseFor});
      }
      Actions Out;
      m_Dispatchers[Vm]->probeEnded(Ended, Now, Out);
      applyActions(Vm, Out);
    });
  }

  static LoadReport loadOf(const FakeServer &Fake) {
    return {.m_Running = Fake.m_Running,
            .m_Waiting = Fake.m_Waiting + static_cast<std::uint32_t>(Fake.m_Queue.size()),
            .m_Slots = Fake.m_Slots,
            .m_Slowdown = Fake.m_Slowdown};
  }

  /// Passes a request on to another VM, which treats it as one of its own.
  void relay(std::size_t Vm, const Dispatch &Wanted) {
    const std::size_t Helper = raw(Wanted.m_Server) - FirstHelper;
    m_Running.emplace(
        Wanted.m_Attempt,
        RunningAttempt{.m_Server = Wanted.m_Server, .m_Request = Wanted.m_Request, .m_Vm = Vm});
    schedule(milliseconds(1), [this, Helper, Wanted](TimePoint Now) {
      if (!m_Running.contains(Wanted.m_Attempt)) {
        return;
      }
      const RequestId Request{++m_LastRequest};
      m_RelayOf[Request] = Wanted.m_Attempt;
      m_RelayRequests[Wanted.m_Attempt] = {Helper, Request};
      m_Contents[Request] = m_Contents.at(Wanted.m_Request);
      m_Kinds[Request] = m_Kinds.at(Wanted.m_Request);
      m_ArrivedAt[Request] = Now;
      Actions Out;
      m_Dispatchers[Helper]->arrive(Request, m_Kinds.at(Wanted.m_Request), Wanted.m_Deadline, Now,
                                    Out);
      applyActions(Helper, Out);
    });
  }

  void endRelay(AttemptId Attempt, const kernel::Answer &Answered, TimePoint Now) {
    const auto Found = m_Running.find(Attempt);
    if (Found == m_Running.end()) {
      return;
    }
    const std::size_t Vm = Found->second.m_Vm;
    m_Running.erase(Found);
    AttemptEnded Ended{.m_Attempt = Attempt,
                       .m_Result = Answered.m_Outcome == Outcome::Completed
                                       ? AttemptResult::Completed
                                   : Answered.m_Outcome == Outcome::NotRun ? AttemptResult::NotRun
                                                                           : AttemptResult::Unknown,
                       .m_Reply = Answered.m_Reply};
    Actions Out;
    m_Dispatchers[Vm]->attemptEnded(Ended, Now, Out);
    applyActions(Vm, Out);
  }

  void cancelRelay(AttemptId Attempt) {
    schedule(milliseconds(1), [this, Attempt](TimePoint Now) {
      const auto Sent = m_RelayRequests.find(Attempt);
      if (Sent != m_RelayRequests.end() && !m_Answers.contains(Sent->second.second)) {
        Actions Out;
        m_Dispatchers[Sent->second.first]->callerGone(Sent->second.second, Now, Out);
        applyActions(Sent->second.first, Out);
      }
      endRelay(Attempt, {.m_Outcome = Outcome::Unknown}, Now);
    });
  }

  void dispatch(std::size_t Vm, const Dispatch &Wanted) {
    if (raw(Wanted.m_Server) >= FirstHelper) {
      relay(Vm, Wanted);
      return;
    }
    FakeServer &Fake = m_Servers.at(Wanted.m_Server);
    m_Running.emplace(
        Wanted.m_Attempt,
        RunningAttempt{.m_Server = Wanted.m_Server, .m_Request = Wanted.m_Request, .m_Vm = Vm});
    const Cut Links = cutOf(Vm);
    if (Links == Cut::Hangs) {
      // Every second one waits for a new connection, the others are sent on one that hangs.
      const bool IsSent = raw(Wanted.m_Attempt) % 2 == 0;
      const Duration Wait = IsSent ? Wanted.m_Deadline - m_Now + milliseconds(30) : seconds(1);
      schedule(Wait, [this, Attempt = Wanted.m_Attempt, IsSent](TimePoint Now) {
        endAttempt(Attempt, Now, IsSent ? AttemptEnd::Lost : AttemptEnd::NotSent);
      });
      return;
    }
    if (Fake.m_IsDown || Links == Cut::Refuses) {
      schedule(milliseconds(1), [this, Attempt = Wanted.m_Attempt](TimePoint Now) {
        endAttempt(Attempt, Now, AttemptEnd::NotSent);
      });
      return;
    }
    m_Running.at(Wanted.m_Attempt).m_IsAtServer = true;
    Fake.m_Received.push_back(Wanted.m_Request);
    m_Sent.push_back(
        {.m_Server = Wanted.m_Server, .m_At = m_Now, .m_Vm = Vm, .m_Request = Wanted.m_Request});
    if (Fake.m_Running < Fake.m_Slots) {
      startWork(Fake, Wanted.m_Attempt);
    } else {
      Fake.m_Queue.push_back(Wanted.m_Attempt);
    }
  }

  void startWork(FakeServer &Fake, AttemptId Attempt) {
    ++Fake.m_Running;
    const auto OfKind = Fake.m_WorkOfKind.find(m_Kinds.at(m_Running.at(Attempt).m_Request));
    const Duration Work = OfKind == Fake.m_WorkOfKind.end() ? Fake.m_Work : OfKind->second;
    const bool IsNearlyFull = 4 * Fake.m_Running > 3 * Fake.m_Slots;
    const double Factor = Fake.m_Slowdown * (IsNearlyFull ? Fake.m_NearlyFullFactor : 1.0);
    const auto WorkTime = std::chrono::duration_cast<Duration>(Work * Factor);
    schedule(WorkTime, [this, Attempt](TimePoint Now) {
      const auto Found = m_Running.find(Attempt);
      if (Found != m_Running.end() && cutOf(Found->second.m_Vm) == Cut::Hangs) {
        // The reply does not arrive.
        schedule(m_Deadline, [this, Attempt](TimePoint Later) {
          endAttempt(Attempt, Later, AttemptEnd::Lost);
        });
        return;
      }
      endAttempt(Attempt, Now, AttemptEnd::Finished);
    });
    if (m_CrashesServer(m_Running.at(Attempt).m_Request)) {
      schedule(m_CrashAfter, [this, Attempt](TimePoint Now) {
        const auto Found = m_Running.find(Attempt);
        if (Found != m_Running.end()) {
          m_Crashes.push_back({.m_Server = Found->second.m_Server,
                               .m_At = Now,
                               .m_Request = Found->second.m_Request});
          crash(Found->second.m_Server);
        }
      });
    }
  }

  /// Delivers a message about tokens after 1 ms, unless VMs of an earlier version or cut links keep
  /// it from arriving.
  void deliverTokens(std::size_t From, const std::string &Name,
                     std::function<void(std::size_t)> Handle) {
    ++m_TokenMessages;
    const std::size_t To = std::stoul(Name.substr(std::string_view("vm").size()));
    if (m_MovesTokens(From, To)) {
      schedule(milliseconds(1), [To, Handle = std::move(Handle)](TimePoint) { Handle(To); });
    }
  }

  void startAgain(ServerId Server) {
    const auto Listed = std::find_if(m_Settings.m_Servers.begin(), m_Settings.m_Servers.end(),
                                     [Server](const auto &Each) { return Each.m_Id == Server; });
    if (Listed == m_Settings.m_Servers.end()) {
      return;
    }
    FakeServer Next;
    Next.m_Slots = m_Servers.at(Server).m_Slots;
    Next.m_Work = m_Servers.at(Server).m_Work;
    const std::size_t Index = m_Servers.size();
    Listed->m_Id = serverId(Index);
    Listed->m_Name = "s" + std::to_string(Index);
    m_Servers.emplace(Listed->m_Id, Next);
    configure();
  }

  void cancel(AttemptId Attempt) {
    const auto Found = m_Running.find(Attempt);
    ASSERT_NE(Found, m_Running.end());
    if (raw(Found->second.m_Server) >= FirstHelper) {
      cancelRelay(Attempt);
      return;
    }
    ++m_Servers.at(Found->second.m_Server).m_Cancelled;
    schedule(milliseconds(1),
             [this, Attempt](TimePoint Now) { endAttempt(Attempt, Now, AttemptEnd::Cancelled); });
  }

  void endAttempt(AttemptId Attempt, TimePoint Now, AttemptEnd How) {
    const auto Found = m_Running.find(Attempt);
    if (Found == m_Running.end()) {
      return;
    }
    const ServerId Server = Found->second.m_Server;
    FakeServer &Fake = m_Servers.at(Server);
    const std::size_t Vm = Found->second.m_Vm;
    const bool IsOrphan = Found->second.m_IsOrphan;
    const bool IsAtServer = Found->second.m_IsAtServer;
    m_Running.erase(Found);
    if (IsAtServer && !Fake.m_IsDown && std::erase(Fake.m_Queue, Attempt) == 0) {
      --Fake.m_Running;
      if (!Fake.m_Queue.empty()) {
        const AttemptId Next = Fake.m_Queue.front();
        Fake.m_Queue.pop_front();
        startWork(Fake, Next);
      }
    }
    if (IsOrphan) {
      return;
    }
    AttemptEnded Ended{.m_Attempt = Attempt,
                       .m_Result = How == AttemptEnd::Finished  ? Fake.m_Result
                                   : How == AttemptEnd::NotSent ? AttemptResult::NotSent
                                                                : AttemptResult::Unknown,
                       .m_Reply = nullptr,
                       .m_ClosedUnanswered = How == AttemptEnd::Crashed,
                       .m_ConnectionRefused = How == AttemptEnd::NotSent};
    if (Ended.m_Result == AttemptResult::Completed) {
      auto FinalReply = std::make_shared<Reply>();
      FinalReply->m_Status = Fake.m_Status;
      Ended.m_Reply = std::move(FinalReply);
    }
    if (Ended.m_Result == AttemptResult::Completed && Fake.m_RepliesTellLoad) {
      Ended.m_Load = loadOf(Fake);
    }
    Ended.m_ServerLeaving = Fake.m_SaysLeaving && (Ended.m_Result == AttemptResult::Completed ||
                                                   Ended.m_Result == AttemptResult::NotRun);
    if (Ended.m_Result == AttemptResult::NotRun && Fake.m_PauseFor > Duration::zero()) {
      Ended.m_PauseFor = Fake.m_PauseFor;
      m_Pauses.push_back({.m_Server = Server, .m_At = Now, .m_Length = Ended.m_PauseFor});
    }
    if (Ended.m_Result == AttemptResult::Completed) {
      Ended.m_RequestLimit = Fake.m_Limit.value_or(NoRequestLimit);
      if (Fake.m_Limit) {
        m_LimitToldAt.try_emplace({Server, Vm}, Now);
      }
    }
    if (Ended.m_ServerLeaving && Vm == 0) {
      m_SaidLeavingAt.emplace(Server, Now);
    }
    Actions Out;
    m_Dispatchers[Vm]->attemptEnded(Ended, Now, Out);
    applyActions(Vm, Out);
  }

  void schedule(Duration Wait, std::function<void(TimePoint)> Callback) {
    m_Events.push(
        {.m_At = m_Now + Wait, .m_Order = ++m_LastOrder, .m_Callback = std::move(Callback)});
  }

  TimePoint m_Now = TimePoint{} + std::chrono::hours(1);
  const std::size_t m_DataCenters;
  /// A deque: a dispatcher refers to its context.
  std::deque<DispatcherContext> m_Contexts;
  std::vector<std::unique_ptr<Dispatcher>> m_Dispatchers;
  /// Next timer of each VM, and the VMs in order of these.
  std::vector<TimePoint> m_Timers;
  std::set<std::pair<TimePoint, std::size_t>> m_TimerQueue;
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> m_Events;
  std::map<AttemptId, RunningAttempt> m_Running;
  std::map<RequestId, kernel::Answer> m_Answers;
  std::map<RequestId, TimePoint> m_AnsweredAt;
  std::map<RequestId, TimePoint> m_ArrivedAt;
  std::map<ServerId, TimePoint> m_SaidLeavingAt;
  std::map<std::pair<ServerId, std::size_t>, TimePoint> m_LimitToldAt;
  std::vector<Sent> m_Sent;
  std::vector<AskedPause> m_Pauses;
  std::map<RequestId, std::uint64_t> m_Contents;
  std::map<std::size_t, Cut> m_Cuts;
  std::map<RequestId, KindId> m_Kinds;
  /// The attempt of another VM that a passed-on request belongs to, and the reverse.
  std::map<RequestId, AttemptId> m_RelayOf;
  std::map<AttemptId, std::pair<std::size_t, RequestId>> m_RelayRequests;
  std::vector<Crash> m_Crashes;
  std::vector<Decision> m_Decisions;
  std::uint64_t m_LastRequest = 0;
  std::uint64_t m_LastOrder = 0;
  std::size_t m_Probes = 0;
  std::size_t m_FailureReports = 0;
};

} // namespace vanillahill::kernel::probed
