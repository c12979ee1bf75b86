#include "vanillahill/net/detail/fleet_client.hpp"

#include "vanillahill/fleet/announcement.hpp"
#include "vanillahill/observe/log.hpp"

#include <algorithm>

namespace vanillahill::net {

namespace {

using fleet::Stream;
using observe::LogLevel;

/// A snapshot frame is sent again for this long, as many VMs may fetch it at once.
constexpr Duration SnapshotLifetime = std::chrono::milliseconds(100);

/// Longest time that a configuration takes on the link of a VM that reads it for others, as a share
/// of the bound.
constexpr double MaxReadTimeShare = 0.04;
constexpr double BitsPerByte = 8.0;
/// VMs of each data centre that get long records first: those with the fastest links.
constexpr std::size_t FirstPerDataCenter = 2;
/// The same where no link is fast.
constexpr std::size_t SlowReadersPerDataCenter = 8;

/// An announcement without records, by which a VM offers its snapshot to a few others.
bool isOffer(const fleet::StoreNews &Message) {
  return Message.m_IsPartial && Message.m_From == Message.m_To;
}

} // namespace

/// Another VM announced records that are missing here: they are fetched soon.
void FleetClient::noteMissing(std::string_view Ip, const fleet::StoreNews &Message, TimePoint Now) {
  const bool IsUrgent = Message.m_IsForRelay || isOffer(Message);
  m_Fetcher.announced(Ip, Message.m_Stream, Message.m_To, IsUrgent, Now,
                      Message.m_Sender.m_LinkClass);
  if (Message.m_IsPartial) {
    m_Follower.readUnlessFetched(Message.m_Stream, Message.m_To, Now);
  } else {
    m_Follower.readSoon(Message.m_Stream, Message.m_To, Now);
  }
}

/// Another VM knows that long records are at the store, and does not have them yet. The VMs with
/// the fastest links of each data centre read them; the others fetch them from those.
void FleetClient::onNotice(std::string_view Ip, const fleet::StoreNews &Message, bool IsMissing,
                           TimePoint Now) {
  if (Message.m_IsForRelay && m_NoticedTo < Message.m_To) {
    fleet::StoreNews Passed = Message;
    Passed.m_IsForRelay = false;
    Passed.m_Sender = selfInfo();
    send(m_Peers.local(), Passed);
  }
  m_NoticedTo = std::max(m_NoticedTo, Message.m_To);
  if (!IsMissing) {
    return;
  }
  noticeConfiguration(Ip, Message, Now);
  if (!Message.m_HolderIp.empty() && isFirstInDataCenter() &&
      !m_Follower.isReading(Message.m_Stream)) {
    m_Fetcher.announced(Message.m_HolderIp, Message.m_Stream, Message.m_To, true, Now);
  }
  if (readsForOthers()) {
    m_Follower.readAtOnce(Message.m_Stream, Message.m_To, Now);
  } else {
    m_Follower.readUnlessFetched(Message.m_Stream, Message.m_To, Now,
                                 fleet::rangeOf(Message, Now).currentAt());
  }
  runDueTasks();
}

/// Whether this VM is one of those that get long records first.
bool FleetClient::isFirstInDataCenter() const {
  return m_Peers.localRank(m_Options.m_Follower.linkClass()) < FirstPerDataCenter;
}

/// Whether this VM reads long records from the store as soon as it learns of them. Where no link of
/// the data centre is fast, more VMs read: each can pass the records on to few at a time.
bool FleetClient::readsForOthers() const {
  const double BoundSeconds = std::chrono::duration<double>(m_Options.m_Follower.m_Bound).count();
  const double FastBitsPerSecond = static_cast<double>(m_ConfigurationText.size()) * BitsPerByte /
                                   (BoundSeconds * MaxReadTimeShare);
  const std::uint32_t FastClass = fleet::rankOf(FastBitsPerSecond, {}).m_LinkClass;
  const std::uint32_t OwnClass = m_Options.m_Follower.linkClass();
  const bool HasFast = OwnClass <= FastClass || m_Peers.localWithLink(FastClass) > 0;
  return m_Peers.localRank(OwnClass) < (HasFast ? FirstPerDataCenter : SlowReadersPerDataCenter);
}

/// Announces to the VMs of this data centre which VM of another one has long records that are
/// missing here.
void FleetClient::passHolder(std::string_view HolderIp, const fleet::StoreNews &Message) {
  fleet::StoreNews Notice = Message;
  Notice.m_IsForRelay = false;
  Notice.m_Sender = selfInfo();
  Notice.m_IsNotice = true;
  Notice.m_HolderIp = std::string(HolderIp);
  send(m_Peers.local(), Notice);
}

/// Announces to all VMs that a long configuration is at the store.
void FleetClient::giveNotice(const fleet::Position &To, TimePoint AskedAt, Duration HeldFor) {
  const auto Now = m_Runtime.m_Now();
  fleet::StoreNews Notice{.m_Sender = selfInfo(),
                          .m_Stream = Stream::Configuration,
                          .m_From = To,
                          .m_To = To,
                          .m_Age = ageToState(Stream::Configuration, AskedAt, false, Now),
                          .m_HeldFor = HeldFor,
                          .m_IsPartial = true,
                          .m_IsNotice = true};
  m_NoticedTo = To;
  send(m_Peers.local(), Notice);
  Notice.m_IsForRelay = true;
  send(m_Peers.drawRelays(), Notice);
}

/// Offers fetched records to a few VMs of this data centre, which fetch them at once; a VM with one
/// of the fastest links announces them to all.
void FleetClient::offer(Stream Which, TimePoint Now) {
  const fleet::Position To = m_Follower.knownTo(Which).value_or(fleet::Position{});
  const bool IsForAll = isFirstInDataCenter();
  const fleet::StoreNews Offer{.m_Sender = selfInfo(),
                               .m_Stream = Which,
                               .m_From = IsForAll ? fleet::Position{.m_Era = To.m_Era} : To,
                               .m_To = To,
                               .m_Age = Now - m_Follower.currentAt(Which).value_or(Now),
                               .m_MayHaveLapsed = m_Lapse.mayHaveLapsed(Now),
                               .m_IsSteady = m_Lapse.isSteady(Now),
                               .m_IsPartial = true};
  send(IsForAll ? m_Peers.local() : m_Peers.drawLocal(fleet::SnapshotFetcher::OffersPerVm), Offer);
}

std::string FleetClient::snapshotFrame(const fleet::SnapshotRequest &Wanted) {
  const auto Now = m_Runtime.m_Now();
  observePauses(Now);
  if (!isKnown(Wanted)) {
    return {};
  }
  // A frame without the newest configuration or evacuation would hide it from a VM that cannot
  // read the store.
  const bool HasNewestConfiguration =
      m_SnapshotPositions.m_ConfigurationTo == m_Follower.known().m_ConfigurationTo;
  if (!m_SnapshotFrame.empty() && m_SnapshotPositions.covers(Wanted) && HasNewestConfiguration &&
      !m_Proof.wasSuspendedSince(m_SnapshotMadeAt) && Now - m_SnapshotMadeAt < SnapshotLifetime) {
    return m_SnapshotFrame;
  }
  // The frame may be sent for some time, so its content is that much older at the end. What this VM
  // does not take as a proof must be none for another one.
  const auto AgeOf = [&](Stream Which) {
    const TimePoint CurrentAt = m_Follower.currentAt(Which).value_or(Now);
    return m_Proof.isNeeded() && Which == Stream::Configuration
               ? m_Proof.provenAge(CurrentAt, Now) + SnapshotLifetime
               : Now - CurrentAt + SnapshotLifetime;
  };
  fleet::Snapshot Content{.m_ConfigurationPosition =
                              m_Follower.knownTo(Stream::Configuration).value_or(fleet::Position{}),
                          .m_ConfigurationAge = AgeOf(Stream::Configuration),
                          .m_ConfigurationText = m_ConfigurationText,
                          .m_ServersPosition =
                              m_Follower.knownTo(Stream::Servers).value_or(fleet::Position{}),
                          .m_ServersAge = AgeOf(Stream::Servers)};
  for (const auto &[Id, Text] : m_ServerTexts) {
    Content.m_Servers.push_back({.m_Key = Id, .m_Value = Text});
  }
  if (hasEvacuations()) {
    Content.m_Evacuated = m_Catalog.evacuations().lastingNames();
  }
  m_SnapshotFrame = fleet::encodeCompressed(Content);
  m_SnapshotMadeAt = Now;
  m_SnapshotPositions = {.m_ConfigurationTo = Content.m_ConfigurationPosition,
                         .m_ServersTo = Content.m_ServersPosition};
  return m_SnapshotFrame;
}

/// Whether another VM is known to have read more of the store than this one.
bool FleetClient::needsSnapshot() const {
  return m_Fetcher.hasWanted() ? !isKnown(m_Fetcher.wanted())
                               : !m_Follower.isComplete() && m_Peers.hasLocalCatalog();
}

bool FleetClient::isKnown(const fleet::SnapshotRequest &Wanted) const {
  return m_Follower.isComplete() && m_Follower.known().covers(Wanted);
}

/// Fetches the snapshot of another VM, because this one has no catalog yet or the store does not
/// answer.
void FleetClient::fetchSnapshot(TimePoint Now) {
  if (!m_Fetcher.mayStart(Now)) {
    return;
  }
  auto Source = m_Fetcher.drawHolder(m_Follower.known());
  if (!Source) {
    Source = m_Peers.drawSnapshotSource();
  }
  if (!Source) {
    return;
  }
  m_Fetcher.started();
  m_Options.m_FetchSnapshot(
      *Source, m_Fetcher.wanted(),
      [Self = weak_from_this(), Ip = *Source, Now](const Result<std::string> &Frame) {
        const auto Locked = Self.lock();
        if (Locked && !Locked->m_Closed) {
          Locked->onSnapshot(Ip, Now, Frame);
        }
      });
}

void FleetClient::onSnapshot(const std::string &Ip, TimePoint AskedAt,
                             const Result<std::string> &Frame) {
  const auto Now = m_Runtime.m_Now();
  auto Message = Frame ? fleet::decodeNews(*Frame) : Result<fleet::News>(Frame.error());
  if (Message && !std::holds_alternative<fleet::Snapshot>(*Message)) {
    Message = Error{Errc::PeerFrameMalformed, "fetch snapshot", Ip, "not a snapshot"};
  }
  // After a snapshot without the evacuations the next fetch waits, so that this VM can read the
  // store: VMs of an earlier version would send the same again and again.
  const bool IsComplete =
      Message && (!hasEvacuations() || std::get<fleet::Snapshot>(*Message).m_Evacuated);
  m_Fetcher.ended(Ip, IsComplete, Now);
  if (!Message) {
    Error Fault = Message.error();
    Fault.m_Detail += ", after " + std::to_string(toMillis(Now - AskedAt)) + " ms";
    observe::logFault("snapshot_failed", Fault);
  } else {
    const auto &Received = std::get<fleet::Snapshot>(*Message);
    logSnapshot(Ip, Received, Frame->size(), AskedAt, Now);
    adoptSnapshot(Ip, Received, AskedAt, Now);
    relayPending(Now);
  }
  runDueTasks();
}

void FleetClient::logSnapshot(const std::string &Ip, const fleet::Snapshot &Received,
                              std::size_t FrameBytes, TimePoint AskedAt, TimePoint Now) const {
  observe::log(LogLevel::Info, "snapshot_taken",
               {{"from", Ip},
                {"configuration", toString(Received.m_ConfigurationPosition)},
                {"wanted", toString(m_Fetcher.wanted().m_ConfigurationTo)},
                {"servers_age_ms", std::to_string(toMillis(Received.m_ServersAge))},
                {"bytes", std::to_string(FrameBytes)},
                {"took_ms", std::to_string(toMillis(Now - AskedAt))},
                {"decode_ms", std::to_string(toMillis(m_Runtime.m_Now() - Now))}});
}

void FleetClient::adoptSnapshot(const std::string &Ip, const fleet::Snapshot &Received,
                                TimePoint AskedAt, TimePoint Now) {
  const auto ConfigurationBefore = m_Follower.knownTo(Stream::Configuration);
  const RecordSource Source{.m_Way = "snapshot", .m_From = Ip, .m_BeganAt = AskedAt};
  bool Changed = !Received.m_ConfigurationText.empty() &&
                 applyConfiguration(Received.m_ConfigurationText, Source).value_or(false);
  // Without the evacuations, the stream is not known: this VM reads it.
  if (!hasEvacuations() || Received.m_Evacuated) {
    if (Received.m_Evacuated &&
        !m_Follower.knows(Stream::Configuration, Received.m_ConfigurationPosition)) {
      const bool IsNewEra = ConfigurationBefore &&
                            ConfigurationBefore->m_Era < Received.m_ConfigurationPosition.m_Era;
      Changed = adoptEvacuated(*Received.m_Evacuated, IsNewEra, Now) || Changed;
    }
    m_Follower.adopt(Stream::Configuration, Received.m_ConfigurationPosition,
                     AskedAt - Received.m_ConfigurationAge);
    if (m_Follower.currentAt(Stream::Configuration) == AskedAt - Received.m_ConfigurationAge) {
      m_Proof.note(AskedAt - Received.m_ConfigurationAge, false, Now);
    }
  }
  if (m_Fetcher.wanted().m_ConfigurationTo > ConfigurationBefore.value_or(fleet::Position{})) {
    offer(Stream::Configuration, Now);
  }
  noteEra(Now);
  const auto KnownTo = m_Follower.knownTo(Stream::Servers);
  const bool IsOutdated = Received.m_ServersPosition.m_Era < m_Follower.era();
  if (IsOutdated) {
    logOutdated(Ip, Received.m_ServersPosition.m_Era);
  } else if (!KnownTo || Received.m_ServersPosition > *KnownTo) {
    const auto Previous = m_Follower.currentAt(Stream::Servers);
    m_Follower.adopt(Stream::Servers, Received.m_ServersPosition, AskedAt - Received.m_ServersAge);
    if (m_Fetcher.wanted().m_ServersTo > KnownTo.value_or(fleet::Position{})) {
      offer(Stream::Servers, Now);
    }
    noteEra(Now);
    recordCatalogCurrent(Previous, Now);
    StoreRead Listing{.m_To = Received.m_ServersPosition,
                      .m_Records = Received.m_Servers,
                      .m_IsWhole = true,
                      .m_IsNewEra = KnownTo && KnownTo->m_Era < Received.m_ServersPosition.m_Era};
    fleet::addUnlisted(m_Catalog, Listing.m_Records);
    std::vector<bool> Ignored;
    Changed = applyRecords(Stream::Servers, Listing, Source, Ignored, Now) || Changed;
  }
  if (Changed) {
    publishSettings();
  }
}

} // namespace vanillahill::net
