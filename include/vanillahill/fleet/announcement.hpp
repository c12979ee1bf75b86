/// \file
/// Builds the announcement of a read, and compares listings with what is known.
#pragma once

#include "vanillahill/fleet/catalog.hpp"
#include "vanillahill/fleet/follower.hpp"
#include "vanillahill/fleet/news.hpp"

#include <optional>
#include <vector>

namespace vanillahill::fleet {

/// What a read of a stream returned, and what was known before.
struct CompletedRead {
  Stream m_Stream = Stream::Configuration;
  /// Where the read began; nothing for a listing.
  std::optional<Position> m_From;
  /// Position up to which the stream was known before; nothing for a first read.
  std::optional<Position> m_KnownTo;
  Position m_To;
  /// Number of records that were read.
  std::size_t m_Records = 0;
  TimePoint m_AskedAt{};

  /// \brief Whether the read returned all records from its begin on, one for each offset.
  bool isConsecutive() const { return m_From && m_From->m_Offset + m_Records == m_To.m_Offset; }

  /// \brief What the other VMs can make of it. For a listing this is the difference from what was
  /// known before.
  RecordRange range() const;
};

/// \brief Builds the announcement of a read, with the records that no VM has announced yet.
/// \param Records the records; those that are announced are moved from
/// \param ShouldAnnounce for each record whether it may be news to other VMs
StoreNews announcementOf(const CompletedRead &Read, const Follower &Reader,
                         std::vector<Record> &Records, const std::vector<bool> &ShouldAnnounce);

/// \brief The range that an announcement covers.
RecordRange rangeOf(const StoreNews &Announcement, TimePoint Now);

/// \brief Adds a removal for each known server that a listing of all servers does not contain.
void addUnlisted(const Catalog &Known, std::vector<Record> &Listing);

} // namespace vanillahill::fleet
