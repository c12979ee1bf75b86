#include "vanillahill/net/detail/fleet_client.hpp"

#include "vanillahill/observe/log.hpp"

#include <cmath>

namespace vanillahill::net {

using observe::LogLevel;

void FleetClient::handleMessage(std::string_view Ip, const fleet::Hello &Message, TimePoint Now) {
  if (Message.m_AsksForPeers) {
    const std::string Sender(Ip);
    send({&Sender, 1},
         fleet::PeerList{.m_Sender = selfInfo(),
                         .m_Groups = m_Peers.list(Message.m_Sender.m_DataCenter, Now)});
  }
}

void FleetClient::handleMessage(std::string_view /*Ip*/, const fleet::PeerList &Message,
                                TimePoint Now) {
  // The first ones get a query as well: they may know further VMs, and may have a catalog.
  constexpr std::size_t AskedAtOnce = 2;
  const std::vector<std::string> Added = m_Peers.learn(Message.m_Groups, Now);
  for (std::size_t Index = 0; Index < Added.size(); ++Index) {
    sendHello(Added[Index], Index < AskedAtOnce);
  }
  runDueTasks();
}

void FleetClient::handleMessage(std::string_view /*Ip*/, const fleet::ServerFailed &Message,
                                TimePoint /*Now*/) {
  m_Options.m_OnServerFailed(Message.m_Server);
}

void FleetClient::handleMessage(std::string_view /*Ip*/, const fleet::ServerLimited &Message,
                                TimePoint /*Now*/) {
  passOnIfRelay(Message);
  if (m_Options.m_OnServerLimit) {
    m_Options.m_OnServerLimit({.m_Server = Message.m_Server,
                               .m_PerSecond = Message.m_PerSecond.value_or(kernel::NoRequestLimit),
                               .m_Age = Message.m_Age});
  }
}

void FleetClient::handleMessage(std::string_view /*Ip*/, const fleet::VmReach &Message,
                                TimePoint /*Now*/) {
  passOnIfRelay(Message);
  if (m_Options.m_OnReachAnnounced) {
    m_Options.m_OnReachAnnounced(Message.m_Ip, Message.m_IsCutOff);
  }
}

void FleetClient::handleMessage(std::string_view /*Ip*/, const fleet::RequestCrashes &Message,
                                TimePoint /*Now*/) {
  passOnIfRelay(Message);
  if (m_Options.m_OnCrashReport) {
    m_Options.m_OnCrashReport(Message.m_Report);
  }
}

void FleetClient::handleMessage(std::string_view /*Ip*/, const fleet::ServerCold &Message,
                                TimePoint /*Now*/) {
  passOnIfRelay(Message);
  if (m_Options.m_OnServerCold) {
    m_Options.m_OnServerCold(
        {.m_Server = Message.m_Server, .m_ColdFor = Message.m_ColdFor, .m_Age = Message.m_Age});
  }
}

void FleetClient::handleMessage(std::string_view Ip, const fleet::Piece &Message,
                                TimePoint /*Now*/) {
  if (const auto Frame = m_Pieces.take(Ip, Message)) {
    onDatagram(Ip, *Frame);
  }
}

void FleetClient::handleMessage(std::string_view Ip, const fleet::Snapshot & /*Message*/,
                                TimePoint /*Now*/) {
  observe::logFault("datagram_refused", {Errc::PeerFrameMalformed, "read datagram", std::string(Ip),
                                         "snapshots are not sent as datagrams"});
}

fleet::VmInfo FleetClient::selfInfo() const {
  return {.m_DataCenter = m_Options.m_Peers.m_DataCenter,
          .m_LocalVms = static_cast<std::uint32_t>(m_Peers.localSize()),
          .m_HasCatalog = m_Follower.isComplete(),
          .m_Capabilities = (hasEvacuations() ? fleet::capability::OperatorRecords : 0U) |
                            (m_Options.m_CountsTenants ? fleet::capability::TenantCaps : 0U),
          .m_LinkClass = m_Options.m_Follower.linkClass()};
}

/// Passes on which VMs can count requests of tenants, whenever that has changed.
void FleetClient::publishCountingVms() {
  if (!m_Options.m_CountsTenants || m_PublishedCapabilities == m_Peers.capabilityChanges()) {
    return;
  }
  m_PublishedCapabilities = m_Peers.capabilityChanges();
  kernel::CountingVmsChanged Changed;
  for (auto &Group : m_Peers.capable(fleet::capability::TenantCaps)) {
    Changed.m_Groups.push_back(
        {.m_DataCenter = std::move(Group.m_DataCenter), .m_Vms = std::move(Group.m_Ips)});
  }
  Changed.m_Groups.front().m_Vms.push_back(m_Options.m_Peers.m_SelfIp);
  m_Options.m_OnCountingVms(std::move(Changed));
}

void FleetClient::handleMessage(std::string_view Ip, const TenantQuery &Message,
                                TimePoint /*Now*/) {
  if (!m_Options.m_CountsTenants) {
    return;
  }
  kernel::TenantQueryReceived Received{Message};
  if (Received.m_Query.m_AskerIp.empty()) {
    Received.m_Query.m_AskerIp = std::string(Ip);
  }
  m_Options.m_OnTenantMessage(std::move(Received));
}

void FleetClient::handleMessage(std::string_view Ip, const TenantVerdict &Message,
                                TimePoint /*Now*/) {
  if (m_Options.m_CountsTenants) {
    m_Options.m_OnTenantMessage(
        kernel::TenantVerdictReceived{.m_FromIp = std::string(Ip), .m_Verdict = Message});
  }
}

void FleetClient::handleMessage(std::string_view /*Ip*/, const TenantReturn &Message,
                                TimePoint /*Now*/) {
  if (m_Options.m_CountsTenants) {
    m_Options.m_OnTenantMessage(kernel::TenantReturnReceived{Message});
  }
}

void FleetClient::handleMessage(std::string_view Ip, const TokenRequest &Message,
                                TimePoint /*Now*/) {
  if (m_Options.m_OnTokenMessage) {
    m_Options.m_OnTokenMessage(
        kernel::TokenRequestReceived{.m_FromVm = std::string(Ip), .m_Request = Message});
  }
}

void FleetClient::handleMessage(std::string_view /*Ip*/, const TokenGrant &Message,
                                TimePoint /*Now*/) {
  if (m_Options.m_OnTokenMessage) {
    m_Options.m_OnTokenMessage(kernel::TokenGrantReceived{Message});
  }
}

void FleetClient::sendTo(const std::string &Ip, const fleet::News &Message) {
  send({&Ip, 1}, Message);
}

void FleetClient::logFleetSize() {
  const std::size_t Present = m_Peers.fleetSize();
  if (Present == m_LoggedFleetSize) {
    return;
  }
  m_LoggedFleetSize = Present;
  observe::log(LogLevel::Info, "fleet_size",
               {{"vms", std::to_string(Present)}, {"local", std::to_string(m_Peers.localSize())}});
}

/// Passes on which VMs share the work, whenever that has changed.
void FleetClient::publishFleet() {
  const bool MayTakeOver = m_MajorityGuard.mayTakeOver(m_Peers.localSize(), m_Runtime.m_Now());
  if (m_Peers.changes() == m_PublishedFleet || !MayTakeOver || !m_Options.m_OnFleetChanged) {
    return;
  }
  m_PublishedFleet = m_Peers.changes();
  const auto Self = idOf<VmId>(m_Options.m_Peers.m_SelfIp);
  kernel::FleetView Fleet{.m_Self = Self,
                          .m_DataCenter = m_Options.m_Peers.m_DataCenter,
                          .m_Local = {Self},
                          .m_OtherDataCenters = m_Peers.remoteDataCenters()};
  for (const std::string &Ip : m_Peers.local()) {
    Fleet.m_Local.push_back(idOf<VmId>(Ip));
  }
  m_Options.m_OnFleetChanged(std::move(Fleet));
}

void FleetClient::publishHelpers() {
  if (!m_Options.m_OnHelpersChanged) {
    return;
  }
  auto Local = m_Peers.local();
  auto Remote = m_Peers.remote();
  if (Local != m_LocalHelpers || Remote != m_RemoteHelpers) {
    m_LocalHelpers = Local;
    m_RemoteHelpers = Remote;
    m_Options.m_OnHelpersChanged(std::move(Local), std::move(Remote));
  }
}

void FleetClient::sendDueHellos() {
  for (const fleet::DueHello &Due : m_Peers.dueHellos(m_Runtime.m_Now())) {
    sendHello(Due.m_Ip, Due.m_AsksForPeers);
  }
}

void FleetClient::sendHello(const std::string &Ip, bool AsksForPeers) {
  send({&Ip, 1}, fleet::Hello{.m_Sender = selfInfo(), .m_AsksForPeers = AsksForPeers});
}

/// Local VMs only: these send to the same servers first.
void FleetClient::tellServerFailed(ServerId Server) {
  if (m_FailureThrottle.mayAnnounce(Server, m_Runtime.m_Now())) {
    send(m_Peers.local(), fleet::ServerFailed{.m_Server = Server});
  }
}

void FleetClient::announceServerLimit(const kernel::AnnounceServerLimit &Named) {
  fleet::ServerLimited Message{.m_Server = Named.m_Server, .m_Age = Named.m_Age};
  if (std::isfinite(Named.m_PerSecond)) {
    Message.m_PerSecond = Named.m_PerSecond;
  }
  sendToAll(Message);
}

void FleetClient::announceServerCold(const kernel::AnnounceServerCold &Stated) {
  sendToAll(fleet::ServerCold{
      .m_Server = Stated.m_Server, .m_ColdFor = Stated.m_ColdFor, .m_Age = Stated.m_Age});
}

void FleetClient::announceReach(bool IsCutOff) {
  sendToAll(fleet::VmReach{.m_Ip = m_Options.m_Peers.m_SelfIp, .m_IsCutOff = IsCutOff});
}

void FleetClient::announceCrashReport(const CrashReport &Report) {
  sendToAll(fleet::RequestCrashes{.m_Report = Report});
}

/// Sends a message to the local VMs, and to the relays of each other data centre.
template <typename Message> void FleetClient::sendToAll(Message Sent) {
  Sent.m_IsForRelay = false;
  send(m_Peers.local(), Sent);
  Sent.m_IsForRelay = true;
  send(m_Peers.drawRelays(), Sent);
}

template <typename Message> void FleetClient::passOnIfRelay(const Message &Received) {
  if (Received.m_IsForRelay) {
    Message Relayed = Received;
    Relayed.m_IsForRelay = false;
    send(m_Peers.local(), Relayed);
  }
}

void FleetClient::send(std::span<const std::string> Ips, const fleet::News &Message) {
  const auto Datagrams = fleet::packNews(Message, ++m_LastSplitMessage);
  for (const std::string &Ip : Ips) {
    for (const std::string &Datagram : Datagrams) {
      m_Runtime.m_Send(Ip, Datagram);
    }
  }
}

} // namespace vanillahill::net
