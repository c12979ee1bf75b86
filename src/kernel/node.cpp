#include "vanillahill/kernel/node.hpp"

#include "vanillahill/kernel/dispatcher_base.hpp"

#include <algorithm>
#include <map>
#include <unordered_map>

namespace vanillahill::kernel {

namespace {

/// After StopRequested new requests are still taken for this long: the platform's balancer learns
/// late that the VM is leaving.
constexpr Duration DrainLinger = std::chrono::seconds(1);

} // namespace

struct Node::State {
  explicit State(NodeOptions Given) : m_Options(std::move(Given)) {
    m_Context.m_Self = idOf<VmId>(m_Options.m_Name);
    m_Context.m_Random.seed(m_Options.m_Seed);
  }

  void begin(TimePoint Now) {
    if (!m_Settings && m_Options.m_Settings) {
      apply(m_Options.m_Settings, Now);
    }
  }

  void apply(std::shared_ptr<const SiteSettings> Next, TimePoint Now) {
    m_Settings = std::move(Next);
    for (auto &[Id, Dispatcher] : m_Dispatchers) {
      const bool Kept = std::any_of(m_Settings->m_Services.begin(), m_Settings->m_Services.end(),
                                    [Id = Id](const auto &Service) { return Service.m_Id == Id; });
      if (!Kept) {
        Dispatcher->configure(ServiceSettings{.m_Id = Id}, Now);
      }
    }
    for (const ServiceSettings &Service : m_Settings->m_Services) {
      applyService(Service, Now);
    }
    shareSlots();
  }

  void applyService(const ServiceSettings &Service, TimePoint Now) {
    const auto Found = m_Dispatchers.find(Service.m_Id);
    if (Found != m_Dispatchers.end()) {
      Found->second->configure(Service, Now);
      return;
    }
    const DispatcherOptions Options{
        .m_Settings = Service, .m_MaxVms = m_Settings->m_Membership.m_MaxVms, .m_Now = Now};
    m_Dispatchers.emplace(Service.m_Id, makeDispatcher(Options, m_Context));
  }

  void shareSlots() {
    std::vector<VmId> Alive{m_Context.m_Self};
    for (const VmEntry &Vm : m_Vms) {
      if (!Vm.m_Leaving && idOf<VmId>(Vm.m_Name) != m_Context.m_Self) {
        Alive.push_back(idOf<VmId>(Vm.m_Name));
      }
    }
    std::sort(Alive.begin(), Alive.end());
    for (auto &[Id, Dispatcher] : m_Dispatchers) {
      Dispatcher->setMembers(Alive);
    }
  }

  DispatcherBase *find(ServiceId Service) {
    const auto Found = m_Dispatchers.find(Service);
    return Found == m_Dispatchers.end() ? nullptr : Found->second.get();
  }

  void on(const RequestArrived &Input, TimePoint Now, Actions &Out) {
    DispatcherBase *Dispatcher = find(Input.m_Service);
    const KindSettings *Kind = Dispatcher == nullptr ? nullptr : findKind(Input);
    if (Kind == nullptr) {
      const Reason Why = m_Settings ? Reason::UnknownKind : Reason::NotServing;
      Out.push_back(Answer{.m_Request = Input.m_Request, .m_Reason = Why});
      return;
    }
    m_Services.emplace(Input.m_Request, Input.m_Service);
    Dispatcher->arrive(Input.m_Request, Input.m_Kind, Now + Kind->m_Deadline, Now, Out);
  }

  const KindSettings *findKind(const RequestArrived &Input) const {
    for (const ServiceSettings &Service : m_Settings->m_Services) {
      if (Service.m_Id != Input.m_Service) {
        continue;
      }
      for (const KindSettings &Kind : Service.m_Kinds) {
        if (Kind.m_Id == Input.m_Kind) {
          return &Kind;
        }
      }
    }
    return nullptr;
  }

  void on(const CallerGone &Input, TimePoint Now, Actions &Out) {
    const auto Found = m_Services.find(Input.m_Request);
    if (Found != m_Services.end()) {
      find(Found->second)->callerGone(Input.m_Request, Now, Out);
    }
  }

  void on(const AttemptEnded &Input, TimePoint Now, Actions &Out) {
    const auto Found = m_Attempts.find(Input.m_Attempt);
    if (Found == m_Attempts.end()) {
      return;
    }
    const ServiceId Service = Found->second;
    m_Attempts.erase(Found);
    find(Service)->attemptEnded(Input, Now, Out);
  }

  void on(const ProbeEnded &Input, TimePoint Now, Actions &Out) {
    for (auto &[Id, Dispatcher] : m_Dispatchers) {
      Dispatcher->probeEnded(Input, Now, Out);
    }
  }

  void on(const PeerReceived &Input, TimePoint Now, Actions &Out) {
    const ServiceId *Service = nullptr;
    if (const auto *Request = std::get_if<peer::SlotRequest>(&Input.m_Message)) {
      Service = &Request->m_Service;
    } else if (const auto *Loan = std::get_if<peer::SlotLoan>(&Input.m_Message)) {
      Service = &Loan->m_Service;
    } else if (const auto *Returned = std::get_if<peer::SlotReturn>(&Input.m_Message)) {
      Service = &Returned->m_Service;
    }
    DispatcherBase *Dispatcher = Service == nullptr ? nullptr : find(*Service);
    if (Dispatcher != nullptr) {
      Dispatcher->peerMessage(Input.m_From, Input.m_Message, Now, Out);
    }
  }

  void on(const VmListRead &Input, TimePoint /*Now*/, Actions &Out) {
    m_Vms = Input.m_Vms;
    Out.push_back(ConnectPeers{m_Vms});
    shareSlots();
  }

  void on(const LogRead & /*Input*/, TimePoint /*Now*/, Actions & /*Out*/) {}

  void on(const StopRequested & /*Input*/, TimePoint Now, Actions & /*Out*/) {
    if (!m_StopAt) {
      m_StopAt = Now + DrainLinger;
    }
  }

  void on(const TimerFired & /*Input*/, TimePoint Now, Actions &Out) {
    for (auto &[Id, Dispatcher] : m_Dispatchers) {
      Dispatcher->tick(Now, Out);
    }
  }

  /// Keeps the routing tables in step with what was decided.
  void follow(std::span<const Action> Decided) {
    for (const Action &Item : Decided) {
      if (const auto *Sent = std::get_if<Dispatch>(&Item)) {
        m_Attempts.emplace(Sent->m_Attempt, m_Services.at(Sent->m_Request));
      } else if (const auto *Final = std::get_if<Answer>(&Item)) {
        m_Services.erase(Final->m_Request);
      }
    }
  }

  void stopWhenDone(TimePoint Now, Actions &Out) {
    if (m_StopAt && Now >= *m_StopAt && m_Services.empty() && m_Attempts.empty() && !m_Stopped) {
      m_Stopped = true;
      Out.push_back(Stopped{});
    }
  }

  TimePoint nextTimer() const {
    TimePoint Next = m_StopAt && !m_Stopped ? std::max(*m_StopAt, m_Now) : TimePoint::max();
    for (const auto &[Id, Dispatcher] : m_Dispatchers) {
      Next = std::min(Next, Dispatcher->nextTimer(m_Now));
    }
    return Next;
  }

  NodeOptions m_Options;
  DispatcherContext m_Context;
  std::shared_ptr<const SiteSettings> m_Settings;
  std::map<ServiceId, std::unique_ptr<DispatcherBase>> m_Dispatchers;
  std::unordered_map<RequestId, ServiceId> m_Services;
  std::unordered_map<AttemptId, ServiceId> m_Attempts;
  std::vector<VmEntry> m_Vms;
  std::optional<TimePoint> m_StopAt;
  bool m_Stopped = false;
  TimePoint m_Now{};
};

Node::Node(NodeOptions Options) : m_State(std::make_unique<State>(std::move(Options))) {}

Node::~Node() = default;

void Node::handle(const Event &Input, TimePoint Now, Actions &Out) {
  const std::size_t Before = Out.size();
  m_State->m_Now = Now;
  m_State->begin(Now);
  std::visit([&](const auto &Typed) { m_State->on(Typed, Now, Out); }, Input);
  m_State->follow(std::span(Out).subspan(Before));
  m_State->stopWhenDone(Now, Out);
}

TimePoint Node::nextTimer() const { return m_State->nextTimer(); }

std::shared_ptr<const SiteSettings> Node::settings() const { return m_State->m_Settings; }

NodeStatus Node::status(TimePoint Now) const {
  NodeStatus Status;
  Status.m_Name = m_State->m_Options.m_Name;
  Status.m_State = m_State->m_StopAt     ? peer::VmState::Leaving
                   : m_State->m_Settings ? peer::VmState::Serving
                                         : peer::VmState::Starting;
  for (const auto &[Id, Dispatcher] : m_State->m_Dispatchers) {
    Dispatcher->appendStatus(Now, Status);
  }
  return Status;
}

} // namespace vanillahill::kernel
