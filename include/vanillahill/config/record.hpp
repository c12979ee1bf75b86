/// \file
/// Configuration records as stored in the platform's log: changes by operators and checkpoints by
/// VMs.
#pragma once

#include "vanillahill/core/error.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace vanillahill::config {

/// Name of the shared file.
inline constexpr std::string_view BaseFile = "base";

/// Content of a change that withdraws an overlay.
inline constexpr std::string_view WithdrawnContent = "null";

/// Size of the longest record that is decoded.
inline constexpr std::size_t MaxRecordBytes = 4U << 20U;

/// \brief Name of the overlay file of a site: "overlay/<site>".
std::string overlayFile(std::string_view Site);

/// \brief The site of an overlay file. \return nothing for any other name
std::optional<std::string_view> siteOf(std::string_view File);

/// One version of one file, written by an operator.
struct Change {
  /// "base" or "overlay/<site>".
  std::string m_File;
  /// One more than m_BuildsOn.
  std::uint64_t m_Version = 0;
  /// The version that the operator changed; 0 for a new file.
  std::uint64_t m_BuildsOn = 0;
  /// Identifies the change; a repeat of the same change has the same id.
  std::string m_ChangeId;
  std::string m_Operator;
  /// Wall-clock time of writing, in milliseconds since 1970. Only displayed.
  std::int64_t m_WrittenMillis = 0;
  /// JSON text without white space, keys sorted.
  std::string m_Content;
  bool operator==(const Change &) const = default;
};

/// A change that won earlier.
struct PastChange {
  std::string m_ChangeId;
  std::uint64_t m_Version = 0;
  bool operator==(const PastChange &) const = default;
};

/// The version in force of one file, and the ids that won last.
struct FileState {
  Change m_Change;
  /// Oldest first; the last one is m_Change.
  std::vector<PastChange> m_Recent;
  bool operator==(const FileState &) const = default;
};

/// The whole state after the replay of every record before an offset. Contains the current versions
/// again, so that they stay available after their change records have aged out of the log.
struct Checkpoint {
  /// Offset of the first record that is not included.
  std::uint64_t m_AsOf = 0;
  /// Sorted by file.
  std::vector<FileState> m_Files;
  bool operator==(const Checkpoint &) const = default;
};

using Record = std::variant<Change, Checkpoint>;

/// \brief A record as text, with its digest (XXH3, 128 bits). \note Content must be JSON.
std::string encode(const Change &Value);
std::string encode(const Checkpoint &Value);

/// \brief Decodes a record of the log.
/// \return the record, RecordMalformed or RecordDigestMismatch
/// \note Complexity: linear in the text. Never throws, whatever the text contains.
Result<Record> decode(std::string_view Text);

/// \brief Rewrites JSON text without white space and with sorted keys, as stored in records.
/// \return the text, or nothing when it is not JSON
std::optional<std::string> canonicalJson(std::string_view Text);

} // namespace vanillahill::config
