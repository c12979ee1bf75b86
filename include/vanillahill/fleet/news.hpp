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
  /// Records that say something new; others in the range do not matter.
  std::vector<Record> m_Records;
  /// The range holds records too long to be told: they must be read.
  bool m_IsPartial = false;
};

/// The sender saw a backend server fail.
struct ServerFailed {
  ServerId m_Server{};
};

/// The sender asks for the newest configuration, because the store does not answer it.
struct ConfigurationWanted {
  /// The version it has.
  std::uint64_t m_Version = 0;
};

/// A piece of a configuration.
struct ConfigurationPiece {
  std::uint64_t m_Version = 0;
  std::uint32_t m_Index = 0;
  std::uint32_t m_Count = 0;
  std::string m_Bytes;
};

using News = std::variant<Hello, PeerList, StoreNews, ServerFailed, ConfigurationWanted,
                          ConfigurationPiece>;

/// \brief Writes a message.
std::string encodeNews(const News &Message);

/// \brief Reads a message.
/// \return Errc::PeerFrameMalformed for anything that encodeNews() does not write
Result<News> decodeNews(std::string_view Datagram);

/// \brief Splits a range into messages that fit into one datagram each.
/// \param Range with the offset of each record, as read
/// \param Keeps tells which records say something new, in their order
std::vector<StoreNews> splitNews(const RecordRange &Range, std::span<const bool> Keeps,
                                 Duration Age, bool MayHaveLapsed);

/// \brief Cuts a configuration into pieces that fit into one datagram each.
std::vector<ConfigurationPiece> cutConfiguration(std::uint64_t Version, std::string_view Text);

/// Puts the pieces of the newest configuration together.
class PieceCollector {
public:
  /// \brief Takes a piece.
  /// \return the whole text once all pieces of its version are there
  std::optional<std::string> take(ConfigurationPiece Piece);

private:
  std::uint64_t m_Version = 0;
  std::vector<std::optional<std::string>> m_Pieces;
};

} // namespace vanillahill::fleet
