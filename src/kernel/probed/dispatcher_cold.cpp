#include "vanillahill/kernel/probed/dispatcher.hpp"

namespace vanillahill::kernel::probed {

namespace {

/// Source of what another VM announced.
constexpr std::string_view ColdAnnouncement = "vm";

} // namespace

/// Records that a server is cold or warm. Load pattern: a server that has just started looks idle,
/// so all VMs would send to it at once, and it crashes under that.
/// \param Source what the server replied to, or "vm" for an announcement of another VM
void Dispatcher::recordCold(BackendView &Backend, const ColdStatement &Stated,
                            std::string_view Source, TimePoint Now, Actions &Out) {
  if (m_Settings.m_ColdPerSecond <= 0.0) {
    return;
  }
  ColdState &Cold = Backend.m_Fitness.cold();
  const bool WasCold = Cold.isCold(Now);
  const bool IsNews = Cold.record(Stated, Now);
  updateColdShare(Backend, Now);
  if (IsNews && Source != ColdAnnouncement) {
    Out.push_back(AnnounceServerCold{.m_Server = Backend.m_Settings.m_Id,
                                     .m_ColdFor = Stated.m_For,
                                     .m_Age = Now - Stated.m_SaidAt});
  }
  if (WasCold == Cold.isCold(Now)) {
    return;
  }
  Decision Entry{.m_Type = WasCold ? DecisionType::ServerWarm : DecisionType::ServerCold,
                 .m_Expected = Stated.m_For,
                 .m_Took = Now - Stated.m_SaidAt,
                 .m_RequestLimit = m_Settings.m_ColdPerSecond,
                 .m_LimitShare = Cold.share(),
                 .m_Outcome = Source};
  addBackendState(Entry, Backend, Now);
  Out.push_back(std::move(Entry));
}

void Dispatcher::updateColdShare(BackendView &Backend, TimePoint Now) {
  ColdState &Cold = Backend.m_Fitness.cold();
  if (m_Settings.m_ColdPerSecond <= 0.0) {
    // The rate may have been taken out of the configuration.
    Cold = {};
    return;
  }
  if (!Cold.isCold(Now)) {
    Cold.removeShare();
    return;
  }
  // A VM that does not know any other one yet would use the whole rate.
  const TimePoint ChangedAt = m_Context.m_Fleet.m_ChangedAt;
  const TimePoint ViewSince = ChangedAt == TimePoint::min() ? m_CreatedAt : ChangedAt;
  Cold.setShare(coldShare(m_Context.m_Fleet, Backend.m_Settings, m_Settings.m_ColdPerSecond),
                ViewSince + TakeOverDelay, Now);
}

void Dispatcher::coldAnnounced(const ServerColdReceived &Announced, TimePoint Now, Actions &Out) {
  if (BackendView *Backend = findBackend(Announced.m_Server)) {
    recordCold(*Backend, {.m_For = Announced.m_ColdFor, .m_SaidAt = Now - Announced.m_Age},
               ColdAnnouncement, Now, Out);
  }
}

} // namespace vanillahill::kernel::probed
