/// \file
/// Reading and writing the fields of peer messages; shared by the two codecs. Not a public header.
#pragma once

#include "vanillahill/peer/codec.hpp"

#include <nlohmann/json.hpp>

#include <concepts>
#include <limits>
#include <string>
#include <string_view>

namespace vanillahill::peer::wire {

using Json = nlohmann::json;

/// Where a field stands, for error texts.
struct Place {
  std::string_view m_Message;
  /// Name of the list that the entry is part of; empty for a field of the message itself.
  std::string_view m_List{};
  std::size_t m_Index = 0;
};

/// Reads the items of one array in order. The first failure is kept; later reads give defaults.
class FieldReader {
public:
  FieldReader(const Json &Items, std::size_t First, Place Where, std::string &Failure)
      : m_Items(&Items), m_Next(First), m_Place(Where), m_Failure(&Failure) {}

  /// \brief Reads an unsigned integer. \param Field its name \param Max largest value allowed
  template <std::unsigned_integral T>
  T number(std::string_view Field, T Max = std::numeric_limits<T>::max()) {
    const Json *Item = next(Field);
    if (Item == nullptr) {
      return 0;
    }
    if (!Item->is_number_unsigned() || Item->get<std::uint64_t>() > Max) {
      failRange(Field, *Item, Max);
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

  /// \brief Reads a list; \p Read is called with a reader of each entry's own array.
  template <typename T, typename Reader>
  std::vector<T> records(std::string_view Field, Reader Read) {
    std::vector<T> Out;
    const Json *Items = list(Field);
    if (Items == nullptr) {
      return Out;
    }
    Out.reserve(Items->size());
    for (std::size_t Index = 0; Index < Items->size() && good(); ++Index) {
      const Place Where{m_Place.m_Message, Field, Index};
      if (!(*Items)[Index].is_array()) {
        fail(Where, "entry", "expected an array");
        break;
      }
      FieldReader Entry((*Items)[Index], 0, Where, *m_Failure);
      Out.push_back(Read(Entry));
    }
    return Out;
  }

  /// \brief Reads a list of plain values; \p Read is called on one reader for each of them.
  template <typename T, typename Reader>
  std::vector<T> values(std::string_view Field, Reader Read) {
    std::vector<T> Out;
    const Json *Items = list(Field);
    if (Items == nullptr) {
      return Out;
    }
    Out.reserve(Items->size());
    FieldReader Entries(*Items, 0, Place{m_Place.m_Message, Field, 0}, *m_Failure);
    while (Entries.m_Next < Items->size() && good()) {
      Entries.m_Place.m_Index = Entries.m_Next;
      Out.push_back(Read(Entries));
    }
    return Out;
  }

  bool good() const { return m_Failure->empty(); }
  bool more() const { return m_Next < m_Items->size(); }
  void fail(std::string_view Field, std::string_view What) { fail(m_Place, Field, What); }

private:
  const Json *next(std::string_view Field);
  const Json *list(std::string_view Field);
  void failRange(std::string_view Field, const Json &Found, std::uint64_t Max);
  void fail(const Place &Where, std::string_view Field, std::string_view What);

  const Json *m_Items;
  std::size_t m_Next;
  Place m_Place;
  std::string *m_Failure;
};

/// A parsed frame: its type and the array that holds its fields from FirstField on.
struct ParsedFrame {
  Json m_Items;
  std::uint64_t m_Type = 0;
};
inline constexpr std::size_t FirstField = 2;

/// \brief Checks shape, version and type of a frame. Errors: as peer::decode.
Result<ParsedFrame> parseFrame(std::span<const std::uint8_t> Frame);

/// \brief Decodes a parsed frame that stands on its own.
Result<DecodedMessage> decodeParsed(const ParsedFrame &Parsed);

/// \brief The error of a malformed field. \param Detail field and reason
Error malformed(std::string Detail);

/// \brief Starts the array of a message.
Json startMessage(MessageType Type);

/// \brief Turns a message's array into bytes.
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
