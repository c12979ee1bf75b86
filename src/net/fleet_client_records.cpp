#include "vanillahill/net/detail/fleet_client.hpp"

#include "vanillahill/observe/log.hpp"

#include <algorithm>
#include <set>

namespace vanillahill::net {

namespace {

using fleet::Stream;
using observe::LogLevel;

/// A range with more changed servers than this is logged in one line.
constexpr std::size_t MaxServerLines = 20;
/// Limit on remembered keys of evacuations that were refused.
constexpr std::size_t MaxRefusedEvacuations = 64;

} // namespace

bool FleetClient::applyRecords(Stream Which, const StoreRead &Read, const RecordSource &Source,
                               std::vector<bool> &ShouldAnnounce, TimePoint Now) {
  if (Which == Stream::Configuration) {
    return applyOperatorRecords(Read, Source, ShouldAnnounce, Now);
  }
  std::size_t ChangedCount = 0;
  const bool LogsEach = !Read.m_IsWhole;
  const auto Removed =
      Read.m_IsNewEra ? fleet::Removal::MissingFromCopy : fleet::Removal::Acknowledged;
  for (const fleet::Record &Entry : Read.m_Records) {
    // Other VMs may have carried out a removal that is held back here.
    const bool WasHeldBack = m_Catalog.isRemovalHeld(Entry.m_Key);
    const bool IsNew = applyServer(Entry, Removed, LogsEach && ChangedCount < MaxServerLines, Now);
    ShouldAnnounce.push_back(IsNew || !Entry.m_Value || WasHeldBack);
    ChangedCount += IsNew ? 1 : 0;
  }
  if (Read.m_IsWhole || ChangedCount > MaxServerLines) {
    observe::log(LogLevel::Info, Read.m_IsWhole ? "servers_listed" : "servers_changed",
                 {{"position", toString(Read.m_To)},
                  {"records", std::to_string(Read.m_Records.size())},
                  {"changed", std::to_string(ChangedCount)},
                  {"servers", std::to_string(m_Catalog.serverCount())}});
  }
  return ChangedCount > 0;
}

/// Applies the newest valid configuration among the records. The older ones are neither decoded nor
/// announced: a VM that is behind would spend its processor and its link on them.
/// \return whether the configuration in force changed
bool FleetClient::applyNewestConfiguration(std::span<const fleet::Record> Records,
                                           const RecordSource &Source,
                                           std::vector<bool> &ShouldAnnounce) {
  ShouldAnnounce.assign(Records.size(), false);
  for (std::size_t Index = Records.size(); Index > 0; --Index) {
    const fleet::Record &Entry = Records[Index - 1];
    if (Entry.m_Key != m_Store.m_ConfigurationKey || !Entry.m_Value) {
      continue;
    }
    if (const auto Applied = applyConfiguration(*Entry.m_Value, Source)) {
      ShouldAnnounce[Index - 1] = true;
      return *Applied;
    }
  }
  return false;
}

/// \return whether the configuration is newer than the one in force; nothing for an invalid one
std::optional<bool> FleetClient::applyConfiguration(const std::string &Text,
                                                    const RecordSource &Source) {
  const auto ReceivedAt = m_Runtime.m_Now();
  auto Decoded = m_Store.m_DecodeConfiguration(Text);
  if (!Decoded) {
    observe::logFault("configuration_refused", Decoded.error());
    return std::nullopt;
  }
  const auto Version = Decoded->m_Version;
  if (!m_Catalog.apply(std::move(*Decoded))) {
    return false;
  }
  m_ConfigurationText = Text;
  const auto Now = m_Runtime.m_Now();
  const auto Noticed = std::exchange(m_Noticed, std::nullopt)
                           .value_or(NoticedConfiguration{.m_At = ReceivedAt,
                                                          .m_FromIp = std::string(Source.m_From)});
  observe::log(LogLevel::Info, "configuration_taken",
               {{"version", std::to_string(Version)},
                {"way", std::string(Source.m_Way)},
                {"from", std::string(Source.m_From)},
                {"bytes", std::to_string(Text.size())},
                {"noticed_ms", std::to_string(toMillis(Now - Noticed.m_At))},
                {"noticed_from", Noticed.m_FromIp},
                {"transfer_ms", std::to_string(toMillis(ReceivedAt - Source.m_BeganAt))},
                {"decode_ms", std::to_string(toMillis(Now - ReceivedAt))}});
  return true;
}

/// Notes that another VM knows a configuration that is missing here.
void FleetClient::noticeConfiguration(std::string_view Ip, const fleet::StoreNews &Message,
                                      TimePoint Now) {
  if (Message.m_Stream == Stream::Configuration && !m_Noticed) {
    m_Noticed = {.m_At = Now, .m_FromIp = std::string(Ip)};
  }
}

/// \param Removed why a record without a value is absent
/// \param IsLogged a change gets a log line of its own
bool FleetClient::applyServer(const fleet::Record &Entry, fleet::Removal Removed, bool IsLogged,
                              TimePoint Now) {
  if (!Entry.m_Value) {
    const bool Changed = m_Catalog.remove(Entry.m_Key, Now, Removed);
    m_ServerTexts.erase(Entry.m_Key);
    if (Changed && IsLogged) {
      observe::log(LogLevel::Info, "server_removed", {{"server", Entry.m_Key}});
    }
    return Changed;
  }
  const auto Decoded = m_Store.m_DecodeServer(Entry.m_Key, *Entry.m_Value);
  if (!Decoded) {
    observe::logFault("server_record_skipped", Decoded.error());
    return false;
  }
  const bool Changed = m_Catalog.apply(*Decoded, Now);
  if (m_Catalog.isNewest(*Decoded)) {
    m_ServerTexts[Entry.m_Key] = *Entry.m_Value;
  }
  if (Changed && IsLogged) {
    observe::log(LogLevel::Info, "server_changed",
                 {{"server", Entry.m_Key},
                  {"state", Decoded->m_Draining ? "draining" : "ready"},
                  {"born_ms", std::to_string(Decoded->m_BornMillis)},
                  {"sequence", std::to_string(Decoded->m_Sequence)}});
  }
  return Changed;
}

/// Applies the configuration and the evacuations among the records of the operator.
bool FleetClient::applyOperatorRecords(const StoreRead &Read, const RecordSource &Source,
                                       std::vector<bool> &ShouldAnnounce, TimePoint Now) {
  bool Changed = applyNewestConfiguration(Read.m_Records, Source, ShouldAnnounce);
  if (!hasEvacuations()) {
    return Changed;
  }
  // Other VMs may have announced more of the stream while the read ran. Evacuations have no
  // version, so the older records must not replace what is known.
  const bool IsOutdated = m_Follower.knownTo(Stream::Configuration) > Read.m_To;
  for (std::size_t Index = 0; Index < Read.m_Records.size(); ++Index) {
    const fleet::Record &Entry = Read.m_Records[Index];
    if (m_Store.m_IsEvacuationKey(Entry.m_Key)) {
      ShouldAnnounce[Index] = true;
      Changed = (!IsOutdated && applyEvacuation(Entry, Read.m_IsNewEra, Now)) || Changed;
    }
  }
  return Changed;
}

bool FleetClient::hasEvacuations() const {
  return m_Store.m_IsEvacuationKey != nullptr && !m_Options.m_DataCenters.empty();
}

/// \param IsNewEra a record without a value may only be missing from the store's copy
/// \return whether a data centre was evacuated or taken back
bool FleetClient::applyEvacuation(const fleet::Record &Entry, bool IsNewEra, TimePoint Now) {
  auto Decoded = m_Store.m_DecodeEvacuation(
      Entry.m_Key, Entry.m_Value ? std::optional<std::string_view>(*Entry.m_Value) : std::nullopt);
  const auto &Known = m_Options.m_DataCenters;
  if (Decoded && std::find(Known.begin(), Known.end(), *Decoded) == Known.end()) {
    Decoded = Error{Errc::RecordMalformed, "read evacuation", Entry.m_Key,
                    "is no data centre of this deployment"};
  }
  if (!Decoded) {
    if (m_RefusedEvacuations.size() < MaxRefusedEvacuations &&
        m_RefusedEvacuations.insert(Entry.m_Key).second) {
      observe::logFault("evacuation_refused", Decoded.error());
    }
    return false;
  }
  fleet::Evacuations &Evacuations = m_Catalog.evacuations();
  if (!Entry.m_Value && IsNewEra) {
    Evacuations.endLater(*Decoded, Now);
    return false;
  }
  const bool Changed = Entry.m_Value ? Evacuations.begin(*Decoded, Now) : Evacuations.end(*Decoded);
  if (Changed) {
    logEvacuation(*Decoded, Entry.m_Value.has_value(), Now);
  }
  return Changed;
}

/// Takes the evacuated data centres from another VM that knows more of the stream.
/// \param IsNewEra those that it does not name may only be missing from the store's copy
bool FleetClient::adoptEvacuated(const std::vector<std::string> &Evacuated, bool IsNewEra,
                                 TimePoint Now) {
  bool Changed = false;
  for (const std::string &DataCenter : m_Options.m_DataCenters) {
    const bool IsNamed =
        std::find(Evacuated.begin(), Evacuated.end(), DataCenter) != Evacuated.end();
    fleet::Evacuations &Evacuations = m_Catalog.evacuations();
    if (!IsNamed && IsNewEra) {
      Evacuations.endLater(DataCenter, Now);
    } else if (IsNamed ? Evacuations.begin(DataCenter, Now) : Evacuations.end(DataCenter)) {
      logEvacuation(DataCenter, IsNamed, Now);
      Changed = true;
    }
  }
  return Changed;
}

/// A VM of an earlier version announces what it read without the evacuations.
bool FleetClient::mayLackEvacuations(const fleet::StoreNews &Message) const {
  return hasEvacuations() && Message.m_Stream == Stream::Configuration &&
         !Message.m_Sender.can(fleet::capability::OperatorRecords) &&
         !m_Follower.knows(Stream::Configuration, Message.m_To);
}

/// Adds a removal for each data centre that a listing does not name as evacuated. VMs that receive
/// the announcement of the listing may know of evacuations that this VM does not.
void FleetClient::addUnlistedEvacuations(std::vector<fleet::Record> &Listing) const {
  if (!hasEvacuations()) {
    return;
  }
  std::set<std::string> Listed;
  for (const fleet::Record &Entry : Listing) {
    Listed.insert(Entry.m_Key);
  }
  for (const std::string &DataCenter : m_Options.m_DataCenters) {
    std::string Key = m_Store.m_EvacuationKey(DataCenter);
    if (!Listed.contains(Key)) {
      Listing.push_back({.m_Key = std::move(Key)});
    }
  }
}

void FleetClient::logEvacuation(std::string_view DataCenter, bool HasBegun, TimePoint Now) const {
  const auto CurrentAt = m_Follower.currentAt(Stream::Configuration).value_or(Now);
  observe::log(LogLevel::Warning, HasBegun ? "data_center_evacuated" : "data_center_taken_back",
               {{"data_center", std::string(DataCenter)},
                {"key", m_Store.m_EvacuationKey(DataCenter)},
                {"age_ms", std::to_string(toMillis(Now - CurrentAt))}});
}

} // namespace vanillahill::net
