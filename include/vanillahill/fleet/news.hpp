/// \file
/// Messages between VMs that follow the same store, and their codec. Most fit into one datagram;
/// longer ones are compressed and sent in pieces.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/core/ids.hpp"
#include "vanillahill/fleet/follower.hpp"

#include <optional>
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
  /// The records are too long to be told: they must be read.
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

/// What one VM knows of the store, for a VM that the store does not answer.
struct Snapshot {
  std::uint64_t m_ConfigurationPosition = 0;
  /// Empty when the asker has it.
  std::string m_ConfigurationText;
  std::uint64_t m_ServersPosition = 0;
  /// The newest record of every server.
  std::vector<Record> m_Servers;
};

/// A piece of a message that does not fit into one datagram. Such messages are numbered by their
/// sender.
struct Piece {
  std::uint64_t m_Number = 0;
  std::uint32_t m_Index = 0;
  std::uint32_t m_Count = 0;
  std::string m_Bytes;
};

using News =
    std::variant<Hello, PeerList, StoreNews, ServerFailed, SnapshotWanted, Piece, Snapshot>;

/// \brief Writes a message, whatever its size.
std::string encodeNews(const News &Message);

/// \brief Reads a message, compressed or not.
/// \return Errc::PeerFrameMalformed for anything that encodeNews() or packNews() does not write
Result<News> decodeNews(std::string_view Frame);

/// \brief Writes a message as datagrams: as it is when it fits into one, else compressed, and in
/// pieces when it still does not fit.
/// \param Number number of the message, for its pieces; a sender never uses one twice
std::vector<std::string> packNews(const News &Message, std::uint64_t Number);

/// Puts the pieces of messages together; several senders may send at the same time.
class PieceCollector {
public:
  /// Messages that are put together at the same time; with more, the oldest is given up.
  static constexpr std::size_t MostUnfinished = 8;

  /// \brief Takes a piece.
  /// \param Sender messages of different senders are kept apart
  /// \return the frame, for decodeNews(), once all of its pieces are there
  std::optional<std::string> take(std::string_view Sender, Piece Received);

private:
  struct Unfinished {
    std::string m_Sender;
    std::uint64_t m_Number = 0;
    std::vector<std::optional<std::string>> m_Pieces;
  };

  std::vector<Unfinished> m_Unfinished;
};

} // namespace vanillahill::fleet
