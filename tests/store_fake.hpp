/// \file
/// Fake of the platform's store: keyed topics, reads, paged listings and faults.
#pragma once

#include "net_fakes.hpp"

#include <boost/endian/conversion.hpp>

#include <map>
#include <mutex>
#include <optional>

namespace vanillahill::wire::fakes {

/// Fault with which the store answers every call.
enum class StoreFault { None, Answers503, SendsNoAnswer };

/// \param Headers further lines of the head, each with its line end
inline std::string formatReply(const std::string &Status, const std::string &Body,
                               const std::string &Headers = {}) {
  return "HTTP/1.1 " + Status + "\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

template <typename T> std::string encodeBigEndian(T Value) {
  std::string Bytes(sizeof(T), '\0');
  boost::endian::endian_store<T, sizeof(T), boost::endian::order::big>(
      reinterpret_cast<unsigned char *>(Bytes.data()), Value);
  return Bytes;
}

class FakeStore {
public:
  FakeStore() : m_Server([this](const auto &Request) { return answer(Request); }) {}

  std::string address() const { return "127.0.0.1:" + std::to_string(m_Server.port()); }

  /// Appends a record; without a value the key is removed.
  void put(const std::string &Name, const std::string &Key, std::optional<std::string> Value) {
    const std::lock_guard Lock(m_Mutex);
    m_Topics[Name].m_Records.push_back({Key, std::move(Value)});
  }

  /// Appends bytes that need not be a valid record of a keyed topic.
  void putRawRecord(const std::string &Name, std::string Raw) {
    const std::lock_guard Lock(m_Mutex);
    m_Topics[Name].m_Records.push_back({"", {}, std::move(Raw)});
  }

  /// Makes the present records unavailable to reads; the newest of each key can still be listed.
  void deleteRecords(const std::string &Name) {
    const std::lock_guard Lock(m_Mutex);
    m_Topics[Name].m_First = m_Topics[Name].m_Records.size();
  }

  /// Returns from a copy that lacks the newest records of a topic, in the next era.
  void returnFromCopy(const std::string &Name, std::size_t LostRecords) {
    const std::lock_guard Lock(m_Mutex);
    auto &Records = m_Topics[Name].m_Records;
    Records.resize(Records.size() - std::min(Records.size(), LostRecords));
    ++m_Era;
  }

  /// Each answer gets this value as its Store-Era header in place of the era's number.
  void setEraText(std::string Text) {
    const std::lock_guard Lock(m_Mutex);
    m_EraText = std::move(Text);
  }

  void setFault(StoreFault Fault) { m_Fault = Fault; }
  int callCount() const { return m_CallCount; }

private:
  struct Entry {
    std::string m_Key;
    std::optional<std::string> m_Value;
    std::string m_Raw = {};
  };
  struct Topic {
    std::vector<Entry> m_Records;
    std::size_t m_First = 0;
  };

  static std::string queryParameter(const std::string &Target, const std::string &Name) {
    const auto At = Target.find(Name + "=");
    if (At == std::string::npos) {
      return {};
    }
    const auto Begin = At + Name.size() + 1;
    return Target.substr(Begin, Target.find('&', Begin) - Begin);
  }

  std::string answer(const net::fakes::BackendRequest &Request) {
    ++m_CallCount;
    if (m_Fault == StoreFault::SendsNoAnswer) {
      return {};
    }
    const std::string Target(Request.target());
    const std::lock_guard Lock(m_Mutex);
    std::string EraHeader;
    if (!m_EraText.empty() || m_Era > 0) {
      EraHeader = "Store-Era: " + (m_EraText.empty() ? std::to_string(m_Era) : m_EraText) + "\r\n";
    }
    if (m_Fault == StoreFault::Answers503) {
      return formatReply("503 Service Unavailable", "", EraHeader);
    }
    const Topic &Wanted = m_Topics[queryParameter(Target, "topic")];
    if (Target.starts_with("/-/log-newest")) {
      return formatReply("200 OK", encodeNewestPage(Wanted, queryParameter(Target, "after")),
                         EraHeader);
    }
    const auto From = std::stoull(queryParameter(Target, "from"));
    if (From < Wanted.m_First || From > Wanted.m_Records.size()) {
      return formatReply("410 Gone", "{\"first\":" + std::to_string(Wanted.m_First) + "}",
                         EraHeader);
    }
    return formatReply("200 OK", encodeRecords(Wanted, From), EraHeader);
  }

  static std::string encodeRecords(const Topic &Wanted, std::uint64_t From) {
    std::string Body = encodeBigEndian<std::uint64_t>(Wanted.m_Records.size()) +
                       encodeBigEndian<std::uint64_t>(Wanted.m_First);
    for (std::size_t Index = From; Index < Wanted.m_Records.size(); ++Index) {
      const Entry &Stored = Wanted.m_Records[Index];
      const std::string Raw = !Stored.m_Raw.empty()
                                  ? Stored.m_Raw
                                  : std::string(1, static_cast<char>(Stored.m_Key.size())) +
                                        Stored.m_Key + Stored.m_Value.value_or("");
      Body += encodeBigEndian<std::uint32_t>(static_cast<std::uint32_t>(Raw.size())) + Raw;
    }
    return Body;
  }

  static std::string encodeBase64(std::string_view Text) {
    static constexpr std::string_view Digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string Encoded;
    for (std::size_t At = 0; At < Text.size(); At += 3) {
      std::uint32_t Bits = 0;
      const std::size_t Bytes = std::min<std::size_t>(3, Text.size() - At);
      for (std::size_t Index = 0; Index < 3; ++Index) {
        Bits = Bits << 8U | (Index < Bytes ? static_cast<unsigned char>(Text[At + Index]) : 0U);
      }
      for (std::size_t Index = 0; Index < 4; ++Index) {
        Encoded += Index <= Bytes ? Digits[Bits >> (18U - 6U * Index) & 63U] : '=';
      }
    }
    return Encoded;
  }

  /// Returns at most two keys per page, so that tests with three keys exercise paging.
  static std::string encodeNewestPage(const Topic &Wanted, const std::string &After) {
    constexpr std::size_t PageSize = 2;
    std::map<std::string, std::string> Latest;
    for (const Entry &Stored : Wanted.m_Records) {
      if (Stored.m_Value) {
        Latest[Stored.m_Key] = *Stored.m_Value;
      } else {
        Latest.erase(Stored.m_Key);
      }
    }
    std::string Items;
    std::size_t Count = 0;
    auto Next = Latest.upper_bound(After);
    for (; Next != Latest.end() && Count < PageSize; ++Next, ++Count) {
      Items += std::string(Count > 0 ? "," : "") + "{\"key\":\"" + Next->first + "\",\"value\":\"" +
               encodeBase64(Next->second) + "\",\"offset\":0}";
    }
    return "{\"items\":[" + Items + "],\"has_more\":" + (Next != Latest.end() ? "true" : "false") +
           ",\"end\":" + std::to_string(Wanted.m_Records.size()) + "}";
  }

  std::mutex m_Mutex;
  std::map<std::string, Topic> m_Topics;
  std::uint64_t m_Era = 0;
  std::string m_EraText;
  std::atomic<StoreFault> m_Fault = StoreFault::None;
  std::atomic<int> m_CallCount = 0;
  net::fakes::Backend m_Server;
};

} // namespace vanillahill::wire::fakes
