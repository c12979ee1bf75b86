#include "vanillahill/relay/rules.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

namespace vanillahill::relay {

namespace {

using Json = nlohmann::json;

constexpr std::uint64_t MaxDelayMicros = 60'000'000;

/// Reads the entries of "links"; keeps the first problem.
class LinksReader {
public:
  explicit LinksReader(std::string_view Text)
      : m_Document(Json::parse(Text, nullptr, /*allow_exceptions=*/false)) {}

  /// \brief Calls \p Read for each entry. \return the problem, if there is one
  template <typename F> std::optional<Error> each(F Read) {
    if (m_Document.is_discarded()) {
      return Error{Errc::SettingsNotJson, "read links", "request", "not JSON"};
    }
    if (!m_Document.is_object() || !m_Document.contains("links") ||
        !m_Document["links"].is_array() || m_Document.size() != 1) {
      fail(Errc::SettingsWrongType, "", "expected an object with the only field \"links\", a list");
      return m_Problem;
    }
    for (std::size_t Index = 0; Index < m_Document["links"].size() && !m_Problem; ++Index) {
      m_Entry = &m_Document["links"][Index];
      m_Pointer = fmt::format("/links/{}", Index);
      m_Known = 0;
      if (!m_Entry->is_object()) {
        fail(Errc::SettingsWrongType, "", "expected an object");
        break;
      }
      Read();
      if (!m_Problem && m_Known != m_Entry->size()) {
        fail(Errc::SettingsUnknownField, "", "has a field that is not known");
      }
    }
    return m_Problem;
  }

  std::string address(const char *Field) {
    const Json *Found = find(Field);
    if (Found == nullptr) {
      fail(Errc::SettingsMissingField, Field, "expected IP:port");
      return {};
    }
    return string(Field, *Found);
  }

  std::string text(const char *Field) {
    const Json *Found = find(Field);
    return Found == nullptr ? std::string() : string(Field, *Found);
  }

  std::optional<Duration> micros(const char *Field) {
    const Json *Found = find(Field);
    if (Found == nullptr) {
      return std::nullopt;
    }
    if (!Found->is_number_unsigned() || Found->get<std::uint64_t>() > MaxDelayMicros) {
      fail(Errc::SettingsOutOfRange, Field,
           fmt::format("expected microseconds from 0 to {}, found {}", MaxDelayMicros,
                       Found->dump()));
      return std::nullopt;
    }
    return std::chrono::microseconds(Found->get<std::uint64_t>());
  }

  std::optional<bool> flag(const char *Field) {
    const Json *Found = find(Field);
    if (Found == nullptr) {
      return std::nullopt;
    }
    if (!Found->is_boolean()) {
      fail(Errc::SettingsWrongType, Field, "expected true or false, found " + Found->dump());
      return std::nullopt;
    }
    return Found->get<bool>();
  }

private:
  const Json *find(const char *Field) {
    const auto Found = m_Entry->find(Field);
    if (Found == m_Entry->end()) {
      return nullptr;
    }
    ++m_Known;
    return &*Found;
  }

  std::string string(const char *Field, const Json &Found) {
    if (!Found.is_string()) {
      fail(Errc::SettingsWrongType, Field, "expected a string, found " + Found.dump());
      return {};
    }
    return Found.get<std::string>();
  }

  void fail(Errc Code, std::string_view Field, std::string Detail) {
    if (!m_Problem) {
      const std::string Place = Field.empty() ? m_Pointer : fmt::format("{}/{}", m_Pointer, Field);
      m_Problem = Error{Code, "read links", "request", Place + ": " + std::move(Detail)};
    }
  }

  Json m_Document;
  const Json *m_Entry = nullptr;
  std::string m_Pointer;
  std::size_t m_Known = 0;
  std::optional<Error> m_Problem;
};

void change(Rules &Value, const FaultChange &Change) {
  Value.m_Delay = Change.m_Delay.value_or(Value.m_Delay);
  Value.m_Cut = Change.m_Cut.value_or(Value.m_Cut);
  Value.m_Freeze = Change.m_Freeze.value_or(Value.m_Freeze);
}

} // namespace

void RuleTable::apply(const FaultChange &Change) {
  if (!Change.m_From.empty()) {
    change(m_Single.try_emplace(Change.m_From, m_General).first->second, Change);
    return;
  }
  change(m_General, Change);
  for (auto &[From, Value] : m_Single) {
    change(Value, Change);
  }
}

const Rules &RuleTable::of(const std::string &From) const {
  const auto Found = m_Single.find(From);
  return Found == m_Single.end() ? m_General : Found->second;
}

Result<std::vector<LinkSettings>> parseLinks(std::string_view Text) {
  LinksReader Reader(Text);
  std::vector<LinkSettings> Out;
  const std::optional<Error> Problem = Reader.each([&] {
    LinkSettings Entry;
    Entry.m_Listen = Reader.address("listen");
    Entry.m_Target = Reader.address("target");
    Entry.m_Delay = Reader.micros("delay_us").value_or(Duration::zero());
    Out.push_back(std::move(Entry));
  });
  if (Problem) {
    return *Problem;
  }
  return Out;
}

Result<std::vector<FaultChange>> parseFaults(std::string_view Text) {
  LinksReader Reader(Text);
  std::vector<FaultChange> Out;
  const std::optional<Error> Problem = Reader.each([&] {
    FaultChange Entry;
    Entry.m_Listen = Reader.address("listen");
    Entry.m_From = Reader.text("from");
    Entry.m_Delay = Reader.micros("delay_us");
    Entry.m_Cut = Reader.flag("cut");
    Entry.m_Freeze = Reader.flag("freeze");
    Out.push_back(std::move(Entry));
  });
  if (Problem) {
    return *Problem;
  }
  return Out;
}

} // namespace vanillahill::relay
