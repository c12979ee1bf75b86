/// \file
/// Reading and writing the fields of peer messages; shared by the two codecs. Internal.
#pragma once

#include "vanillahill/peer/codec.hpp"

#include <nlohmann/json.hpp>

#include <concepts>
#include <limits>
#include <string>
#include <string_view>

namespace vanillahill::peer::wire {

using Json = nlohmann::json;

/// Path of a field, for error messages.
struct FieldPath {
  std::string_view m_Message;
  /// Name of the list that the entry is part of; empty for a field of the message itself.
  std::string_view m_List{};
  std::size_t m_Index = 0;
};

/// Reads the items of one array in order. The first failure is kept; later reads return defaults.
class FieldReader {
public:
  FieldReader(const Json &Items, std::size_t First, FieldPath Where, std::string &Failure)
      : m_Items(&Items), m_Next(First), m_Path(Where), m_Failure(&Failure) {}

  /// \brief Reads an unsigned integer. \param Field its name
  /// \param MaxValue maximum value
  template <std::unsigned_integral T>
  T number(std::string_view Field, T MaxValue = std::numeric_limits<T>::max()) {
    const Json *Item = next(Field);
    if (Item == nullptr) {
      return 0;
    }
    if (!Item->is_number_unsigned() || Item->get<std::uint64_t>() > MaxValue) {
      failRange(Field, *Item, MaxValue);
      return 0;
    }
    return static_cast<T>(Item->get<std::uint64_t>());
  }

  /// \brief Reads an identifier.
  template <typename Id> Id id(std::string_view Field) {
    return static_cast<Id>(number<std::underlying_type_t<Id>>(Field));
  }

  /// \brief Reads an enumeration whose values run from 0 to Last.
  template <typename E> E enumeration(std::string_view Field, E Last) {
    return static_cast<E>(number<std::underlying_type_t<E>>(Field, raw(Last)));
  }

  std::int64_t integer(std::string_view Field);
  std::string text(std::string_view Field);
  Duration duration(std::string_view Field);
  ReplyPtr reply(std::string_view Field);

  /// \brief Reads a list; \p Read is called for each entry, with a reader of the entry's array.
  template <typename T, typename Reader>
  std::vector<T> records(std::string_view Field, Reader Read) {
    std::vector<T> Out;
    const Json *Items = list(Field);
    if (Items == nullptr) {
      return Out;
    }
    Out.reserve(Items->size());
    for (std::size_t Index = 0; Index < Items->size() && good(); ++Index) {
      const FieldPath Where{m_Path.m_Message, Field, Index};
      if (!(*Items)[Index].is_array()) {
        fail(Where, "entry", "expected an array");
        break;
      }
      FieldReader Entry((*Items)[Index], 0, Where, *m_Failure);
      Out.push_back(Read(Entry));
    }
    return Out;
  }

  /// \brief Reads a list of plain values; \p Read is called for each value, with one reader of the
  /// list.
  template <typename T, typename Reader>
  std::vector<T> values(std::string_view Field, Reader Read) {
    std::vector<T> Out;
    const Json *Items = list(Field);
    if (Items == nullptr) {
      return Out;
    }
    Out.reserve(Items->size());
    FieldReader Entries(*Items, 0, FieldPath{m_Path.m_Message, Field, 0}, *m_Failure);
    while (Entries.m_Next < Items->size() && good()) {
      Entries.m_Path.m_Index = Entries.m_Next;
      Out.push_back(Read(Entries));
    }
    return Out;
  }

  bool good() const { return m_Failure->empty(); }
  bool hasMore() const { return m_Next < m_Items->size(); }
  void fail(std::string_view Field, std::string_view What) { fail(m_Path, Field, What); }

private:
  const Json *next(std::string_view Field);
  const Json *list(std::string_view Field);
  void failRange(std::string_view Field, const Json &Found, std::uint64_t MaxValue);
  void fail(const FieldPath &Where, std::string_view Field, std::string_view What);

  const Json *m_Items;
  std::size_t m_Next;
  FieldPath m_Path;
  std::string *m_Failure;
};

/// A parsed frame: its type and its array, whose fields start at index FirstField.
struct ParsedFrame {
  Json m_Items;
  std::uint64_t m_Type = 0;
};
inline constexpr std::size_t FirstField = 2;

/// \brief Parses a frame and checks its CBOR structure, version and type. Errors: as peer::decode.
Result<ParsedFrame> parseFrame(std::span<const std::uint8_t> Frame);

/// \brief Decodes a parsed frame that does not refer to an earlier one.
Result<DecodedMessage> decodeParsed(const ParsedFrame &Parsed);

/// \brief The error of a malformed field. \param Detail field and reason
Error malformed(std::string Detail);

/// \brief Starts the array of a message.
Json startMessage(MessageType Type);

/// \brief Serializes a message's array to CBOR.
std::vector<std::uint8_t> toBytes(const Json &Items);

Json toItems(const std::vector<FileVersion> &Values);
Json toItems(const std::vector<ServiceHint> &Values);
Json toItems(const std::vector<ServerId> &Values);
Json toItems(const std::vector<VmId> &Values);
Json toItems(const std::vector<std::string> &Values);

std::vector<FileVersion> readVersions(FieldReader &From);
std::vector<ServiceHint> readHints(FieldReader &From);
std::vector<ServerId> readServers(FieldReader &From, std::string_view Field);
std::vector<VmId> readVms(FieldReader &From, std::string_view Field);
std::vector<std::string> readTexts(FieldReader &From, std::string_view Field);

} // namespace vanillahill::peer::wire
