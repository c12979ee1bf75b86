#include "node_state.hpp"

namespace vanillahill::kernel {

namespace {

membership::MembersOptions membersOptions(const NodeOptions &Options) {
  return {.m_Self = {.m_Name = Options.m_Name,
                     .m_PeerAddress = Options.m_PeerAddress,
                     .m_DataCenter = Options.m_DataCenter},
          .m_Incarnation = Options.m_Incarnation,
          .m_Settings = {},
          .m_Seed = Options.m_Seed};
}

} // namespace

Node::State::State(NodeOptions Options)
    : m_Options(std::move(Options)), m_Members(membersOptions(m_Options)),
      m_KeyGuard(
          {.m_Settings = {}, .m_Incarnation = m_Options.m_Incarnation, .m_Seed = m_Options.m_Seed}),
      m_Replica({.m_Site = m_Options.m_Site,
                 .m_Seed = m_Options.m_Seed ^ raw(idOf<VmId>(m_Options.m_Name)),
                 .m_Policies = m_PolicyNames}),
      m_TenantCaps({.m_SelfIp = m_Options.m_Ip,
                    .m_DataCenter = m_Options.m_DataCenter,
                    .m_Seed = m_Options.m_Seed}) {
  m_Context.m_Self = idOf<VmId>(m_Options.m_Name);
  m_Context.m_DataCenter = m_Options.m_DataCenter;
  m_Context.m_Gate = this;
  m_Context.m_Fleet = {.m_Self = m_Context.m_Self,
                       .m_DataCenter = m_Options.m_DataCenter,
                       .m_Local = {m_Context.m_Self}};
  m_Context.m_Random.seed(m_Options.m_Seed);
  m_Context.m_Contents = m_Options.m_Contents;
  m_Context.m_Poison = PoisonTracker(m_Options.m_Seed, m_Options.m_Contents.m_Completed);
}

Node::Node(NodeOptions Options) : m_State(std::make_unique<State>(std::move(Options))) {}

Node::~Node() = default;

void Node::handle(const Event &Input, TimePoint Now, Actions &Out) {
  const std::size_t FirstNew = Out.size();
  m_State->m_Now = Now;
  m_State->applyInitialSettings(Now, Out);
  std::visit([&](const auto &Typed) { m_State->onEvent(Typed, Now, Out); }, Input);
  m_State->recordActions(FirstNew, Now, Out);
  m_State->stopIfDrained(Now, Out);
  m_State->updateDispatcherTimers(Now);
}

TimePoint Node::nextTimer() const { return m_State->nextTimer(); }

std::shared_ptr<const SiteSettings> Node::settings() const { return m_State->m_Settings; }

NodeStatus Node::status(TimePoint Now) const { return m_State->status(Now); }

} // namespace vanillahill::kernel
