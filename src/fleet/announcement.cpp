#include "vanillahill/fleet/announcement.hpp"

#include <algorithm>
#include <set>

namespace vanillahill::fleet {

RecordRange CompletedRead::range() const {
  return {.m_Stream = m_Stream,
          .m_From = isConsecutive() ? *m_From : std::min(m_KnownTo.value_or(m_To), m_To),
          .m_To = m_To,
          .m_AskedAt = m_AskedAt};
}

StoreNews announcementOf(const CompletedRead &Read, const Follower &Reader,
                         std::vector<Record> &Records, const std::vector<bool> &ShouldAnnounce) {
  const RecordRange Range = Read.range();
  StoreNews Announcement{.m_Stream = Range.m_Stream, .m_From = Range.m_From, .m_To = Range.m_To};
  std::size_t First = 0;
  if (Read.isConsecutive()) {
    Announcement.m_From = Reader.untoldFrom(Range);
    First = Announcement.m_From.m_Offset - Range.m_From.m_Offset;
  } else if (!Read.m_KnownTo) {
    First = ShouldAnnounce.size();
  }
  for (std::size_t Index = First; Index < ShouldAnnounce.size(); ++Index) {
    if (ShouldAnnounce[Index]) {
      Announcement.m_Records.push_back(std::move(Records[Index]));
    }
  }
  return Announcement;
}

RecordRange rangeOf(const StoreNews &Announcement, TimePoint Now) {
  return {.m_Stream = Announcement.m_Stream,
          .m_From = Announcement.m_From,
          .m_To = Announcement.m_To,
          .m_AskedAt = Now - Announcement.m_Age,
          .m_HeldFor = Announcement.m_HeldFor,
          .m_KeeperRank = Announcement.m_KeeperRank};
}

void addUnlisted(const Catalog &Known, std::vector<Record> &Listing) {
  std::set<std::string, std::less<>> Listed;
  for (const Record &Entry : Listing) {
    Listed.insert(Entry.m_Key);
  }
  for (std::string &Id : Known.missingFrom(Listed)) {
    Listing.push_back({.m_Key = std::move(Id)});
  }
}

} // namespace vanillahill::fleet
