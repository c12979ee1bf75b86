/// \file
/// Messages between VMs that read the same store, and their codec. Most fit into one datagram;
/// longer ones are compressed and, when still too long, sent in pieces.
#pragma once

#include "vanillahill/core/crash_report.hpp"
#include "vanillahill/core/error.hpp"
#include "vanillahill/core/ids.hpp"
#include "vanillahill/core/tenant_messages.hpp"
#include "vanillahill/core/token_messages.hpp"
#include "vanillahill/fleet/follower.hpp"
#include "vanillahill/fleet/vm_info.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace vanillahill::fleet {

/// Limit on the size of one datagram, so that no link fragments it.
inline constexpr std::size_t MaxDatagramBytes = 1200;

/// Tells that the sender is alive.
struct Hello {
  VmInfo m_Sender;
  /// The sender asks for a PeerList.
  bool m_AsksForPeers = false;
};

/// VMs that the sender knows.
struct PeerList {
  VmInfo m_Sender;
  std::vector<VmGroup> m_Groups;
};

/// Announces what the sender read from the store.
struct StoreNews {
  VmInfo m_Sender;
  /// The receiver is to pass the message on to the VMs of its own data centre.
  bool m_IsForRelay = false;
  Stream m_Stream = Stream::Configuration;
  /// Of the same era as m_To, or of an earlier one: see RecordRange.
  Position m_From;
  Position m_To;
  /// Time since the read was sent.
  Duration m_Age{};
  /// See RecordRange; zero and nothing from a VM of an earlier version.
  Duration m_HeldFor{};
  std::optional<ReaderRank> m_KeeperRank;
  /// As far as the sender knows, records may have lapsed during an outage of the store; see
  /// LapseWatch.
  bool m_MayHaveLapsed = false;
  /// The sender has been current for long enough to have noticed an outage of the store.
  bool m_IsSteady = false;
  /// The records that may be news to the receiver; the other records of the range are left out.
  std::vector<Record> m_Records;
  /// The records are left out because they are too long: the receiver must fetch them from the
  /// sender or read them from the store. With an empty range, the sender offers everything before
  /// the range, which it has fetched itself.
  bool m_IsPartial = false;
  /// With m_IsPartial: the sender knows that the records are at the store, and does not have them
  /// yet. A VM of an earlier version takes it for one that has them.
  bool m_IsNotice = false;
  /// With m_IsNotice: IP of a VM of another data centre that has the records; may be empty.
  std::string m_HolderIp;
};

/// The sender observed the failure of a backend server.
struct ServerFailed {
  ServerId m_Server{};
};

/// A backend server named a limit on the requests that it takes from all VMs together.
struct ServerLimited {
  ServerId m_Server{};
  /// Requests per second; empty when the limit has ended.
  std::optional<double> m_PerSecond;
  /// Time since the sender sent the request to which the server replied.
  Duration m_Age{};
  /// The receiver is to pass the message on to the VMs of its own data centre.
  bool m_IsForRelay = false;
};

/// Servers crashed under a request.
struct RequestCrashes {
  CrashReport m_Report;
  /// The receiver is to pass the message on to the VMs of its own data centre.
  bool m_IsForRelay = false;
};

/// Whether the sender reaches the backend servers.
struct VmReach {
  std::string m_Ip;
  bool m_IsCutOff = false;
  /// The receiver is to pass the message on to the VMs of its own data centre.
  bool m_IsForRelay = false;
};

/// A backend server said how much longer it is cold.
struct ServerCold {
  ServerId m_Server{};
  /// Zero when the server said that it is warm.
  Duration m_ColdFor{};
  /// Time since the sender queried the server.
  Duration m_Age{};
  /// The receiver is to pass the message on to the VMs of its own data centre.
  bool m_IsForRelay = false;
};

/// The contents of the store as one VM knows them, for a VM that has not read the store or that the
/// store does not answer. Too long for datagrams: VMs fetch it from each other over HTTP.
struct Snapshot {
  Position m_ConfigurationPosition;
  /// Time since each stream was last known to be up to date.
  Duration m_ConfigurationAge{};
  std::string m_ConfigurationText;
  Position m_ServersPosition;
  Duration m_ServersAge{};
  /// The newest record of every server.
  std::vector<Record> m_Servers;
  /// The evacuated data centres; nothing from a VM of a version that does not know them.
  std::optional<std::vector<std::string>> m_Evacuated;
};

/// A piece of a message that does not fit into one datagram.
struct Piece {
  /// Identifies the message among those of the same sender.
  std::uint64_t m_MessageNumber = 0;
  std::uint32_t m_Index = 0;
  std::uint32_t m_Count = 0;
  std::string m_Bytes;
};

/// The position in the list is the type in a frame.
using News = std::variant<Hello, PeerList, StoreNews, ServerFailed, Piece, Snapshot, ServerLimited,
                          RequestCrashes, VmReach, ServerCold, TenantQuery, TenantVerdict,
                          TenantReturn, TokenRequest, TokenGrant>;

/// \brief Encodes a message into one frame, whatever its size.
std::string encodeNews(const News &Message);

/// \brief Encodes a message into one compressed frame.
std::string encodeCompressed(const News &Message);

/// \brief Decodes a frame, compressed or not.
/// \return the message. Errors: PeerFrameMalformed for a frame that is not a valid message
Result<News> decodeNews(std::string_view Frame);

/// \brief Encodes a message into datagrams: uncompressed when it fits into one, else compressed,
/// and split into pieces when it still does not fit.
/// \param Number number of the message, for its pieces; a sender never uses one twice
std::vector<std::string> packNews(const News &Message, std::uint64_t Number);

/// Reassembles messages from their pieces; several senders may send at the same time.
class PieceCollector {
public:
  /// Limit on messages being reassembled; when it is exceeded, the oldest one is discarded.
  static constexpr std::size_t MaxIncompleteMessages = 8;

  /// \brief Adds a piece.
  /// \param Sender address of the sender; pieces of different senders are never combined
  /// \param Received the piece; ignored when it is invalid
  /// \return the frame, for decodeNews(), once all of its pieces have arrived
  std::optional<std::string> take(std::string_view Sender, Piece Received);

private:
  struct IncompleteMessage {
    std::string m_Sender;
    std::uint64_t m_MessageNumber = 0;
    std::vector<std::optional<std::string>> m_Pieces;
  };

  std::vector<IncompleteMessage> m_Incomplete;
};

} // namespace vanillahill::fleet
