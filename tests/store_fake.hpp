/// \file
/// A small store that speaks the platform's protocol: keyed topics, reads, listings and faults.
#pragma once

#include "net_fakes.hpp"

#include <boost/endian/conversion.hpp>

#include <map>
#include <mutex>
#include <optional>

namespace vanillahill::wire::fakes {

/// How the store answers.
enum class StoreFault { None, Refuses, LosesAnswers };

class FakeStore {
public:
  FakeStore() : m_Server([this](const auto &Request) { return answer(Request); }) {}

  std::string address() const { return "127.0.0.1:" + std::to_string(m_Server.port()); }

  /// Appends a record; without a value the key is removed.
  void put(const std::string &Name, const std::string &Key, std::optional<std::string> Value) {
    const std::lock_guard Lock(m_Mutex);
    m_Topics[Name].m_Records.push_back({Key, std::move(Value)});
  }

  /// Bytes that are no record of a keyed topic.
  void putGarbage(const std::string &Name, std::string Raw) {
    const std::lock_guard Lock(m_Mutex);
    m_Topics[Name].m_Records.push_back({"", {}, std::move(Raw)});
  }

  /// Deletes the records so far; the newest of each key can still be listed.
  void compact(const std::string &Name) {
    const std::lock_guard Lock(m_Mutex);
    m_Topics[Name].m_First = m_Topics[Name].m_Records.size();
  }

  void setFault(StoreFault Fault) { m_Fault = Fault; }
  int calls() const { return m_Calls; }

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

  static std::string parameter(const std::string &Target, const std::string &Name) {
    const auto At = Target.find(Name + "=");
    if (At == std::string::npos) {
      return {};
    }
    const auto Begin = At + Name.size() + 1;
    return Target.substr(Begin, Target.find('&', Begin) - Begin);
  }

  std::string answer(const net::fakes::BackendRequest &Request) {
    ++m_Calls;
    if (m_Fault == StoreFault::LosesAnswers) {
      return {};
    }
    if (m_Fault == StoreFault::Refuses) {
      return reply("503 Service Unavailable", "");
    }
    const std::string Target(Request.target());
    const std::lock_guard Lock(m_Mutex);
    const Topic &Wanted = m_Topics[parameter(Target, "topic")];
    if (Target.starts_with("/-/log-newest")) {
      return reply("200 OK", newest(Wanted, parameter(Target, "after")));
    }
    const auto From = std::stoull(parameter(Target, "from"));
    if (From < Wanted.m_First) {
      return reply("410 Gone", "{\"first\":" + std::to_string(Wanted.m_First) + "}");
    }
    return reply("200 OK", records(Wanted, From));
  }

  static std::string reply(const std::string &Status, const std::string &Body) {
    return "HTTP/1.1 " + Status + "\r\nContent-Length: " + std::to_string(Body.size()) +
           "\r\n\r\n" + Body;
  }

  template <typename T> static std::string big(T Value) {
    std::string Bytes(sizeof(T), '\0');
    boost::endian::endian_store<T, sizeof(T), boost::endian::order::big>(
        reinterpret_cast<unsigned char *>(Bytes.data()), Value);
    return Bytes;
  }

  static std::string records(const Topic &Wanted, std::uint64_t From) {
    std::string Body =
        big<std::uint64_t>(Wanted.m_Records.size()) + big<std::uint64_t>(Wanted.m_First);
    for (std::size_t Index = From; Index < Wanted.m_Records.size(); ++Index) {
      const Entry &One = Wanted.m_Records[Index];
      const std::string Raw = !One.m_Raw.empty()
                                  ? One.m_Raw
                                  : std::string(1, static_cast<char>(One.m_Key.size())) +
                                        One.m_Key + One.m_Value.value_or("");
      Body += big<std::uint32_t>(static_cast<std::uint32_t>(Raw.size())) + Raw;
    }
    return Body;
  }

  static std::string base64(std::string_view Text) {
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

  /// Two keys a page, so that paging is used.
  static std::string newest(const Topic &Wanted, const std::string &After) {
    constexpr std::size_t PageSize = 2;
    std::map<std::string, std::string> Live;
    for (const Entry &One : Wanted.m_Records) {
      if (One.m_Value) {
        Live[One.m_Key] = *One.m_Value;
      } else {
        Live.erase(One.m_Key);
      }
    }
    std::string Items;
    std::size_t Count = 0;
    auto Next = Live.upper_bound(After);
    for (; Next != Live.end() && Count < PageSize; ++Next, ++Count) {
      Items += std::string(Count > 0 ? "," : "") + "{\"key\":\"" + Next->first + "\",\"value\":\"" +
               base64(Next->second) + "\",\"offset\":0}";
    }
    return "{\"items\":[" + Items + "],\"has_more\":" + (Next != Live.end() ? "true" : "false") +
           ",\"end\":" + std::to_string(Wanted.m_Records.size()) + "}";
  }

  std::mutex m_Mutex;
  std::map<std::string, Topic> m_Topics;
  std::atomic<StoreFault> m_Fault = StoreFault::None;
  std::atomic<int> m_Calls = 0;
  net::fakes::Backend m_Server;
};

} // namespace vanillahill::wire::fakes
