/// \file
/// Messages between VMs that follow the same store, and their codec. One datagram each.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/core/ids.hpp"
#include "vanillahill/fleet/follower.hpp"

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace vanillahill::fleet {

/// Bytes of one datagram at most: what passes every link in one piece.
inline constexpr std::size_t MostDatagramBytes = 1200;

/// The sender is alive.
struct Hello {
  /// The sender wants to know other VMs.
  bool m_AsksForPeers = false;
};

/// VMs that the sender knows.
struct PeerList {
  std::vector<std::string> m_Ips;
};

/// What the sender read from the store.
struct StoreNews {
  Stream m_Stream = Stream::Configuration;
  std::uint64_t m_From = 0;
  std::uint64_t m_To = 0;
  /// Time since the store was asked.
  Duration m_Age{};
  /// Records may have lapsed while the store was away.
  bool m_MayHaveLapsed = false;
  /// The sender was current for long enough to have noticed an outage of the store.
  bool m_IsSteady = false;
  /// Records that say something new; others in the range do not matter.
  std::vector<Record> m_Records;
  /// The range holds records too long to be told: they must be read.
  bool m_IsPartial = false;
};

/// The sender saw a backend server fail.
struct ServerFailed {
  ServerId m_Server{};
};

/// The sender asks for what it is missing, because the store does not answer it.
struct SnapshotWanted {
  /// Version of the configuration that it has.
  std::uint64_t m_Version = 0;
  /// Its position in the stream of servers; 0 for none.
  std::uint64_t m_ServersPosition = 0;
};

/// A piece of a snapshot. Snapshots are numbered by their sender.
struct SnapshotPiece {
  std::uint64_t m_Number = 0;
  std::uint32_t m_Index = 0;
  std::uint32_t m_Count = 0;
  std::string m_Bytes;
};

/// What one VM knows of the store, for a VM that the store does not answer.
struct Snapshot {
  std::uint64_t m_ConfigurationPosition = 0;
  /// Empty when the asker has it.
  std::string m_ConfigurationText;
  std::uint64_t m_ServersPosition = 0;
  /// The newest record of every server.
  std::vector<Record> m_Servers;
};

using News = std::variant<Hello, PeerList, StoreNews, ServerFailed, SnapshotWanted, SnapshotPiece>;

/// \brief Writes a message.
std::string encodeNews(const News &Message);

/// \brief Reads a message.
/// \return Errc::PeerFrameMalformed for anything that encodeNews() does not write
Result<News> decodeNews(std::string_view Datagram);

/// \brief Splits a range into messages that fit into one datagram each.
/// \param Range every record of the range
/// \param Keeps tells which records say something new, in their order
/// \param Common what all messages say beside their part of the range
std::vector<StoreNews> splitNews(const RecordRange &Range, std::span<const bool> Keeps,
                                 const StoreNews &Common);

/// \brief Writes a snapshot in pieces that fit into one datagram each.
std::vector<SnapshotPiece> cutSnapshot(std::uint64_t Number, const Snapshot &Whole);

/// Puts the pieces of one sender's newest snapshot together.
class PieceCollector {
public:
  /// \brief Takes a piece.
  /// \param Sender snapshots of different senders are kept apart; the latest one to begin counts
  /// \return the snapshot once all of its pieces are there; nothing for a malformed one
  std::optional<Snapshot> take(std::string_view Sender, SnapshotPiece Piece);

private:
  std::string m_Sender;
  std::uint64_t m_Number = 0;
  std::vector<std::optional<std::string>> m_Pieces;
};

} // namespace vanillahill::fleet
