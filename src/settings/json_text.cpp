#include "json_text.hpp"

#include <set>

namespace vanillahill::settings {

namespace {

using Json = nlohmann::json;

/// Parser callback that reports keys that occur twice in one object.
class DuplicateFinder {
public:
  DuplicateFinder(const std::string &File, Problems &Found) : m_File(File), m_Problems(Found) {}

  void operator()(Json::parse_event_t Event, const Json &Value) {
    switch (Event) {
    case Json::parse_event_t::object_start:
    case Json::parse_event_t::array_start:
      m_Levels.emplace_back();
      break;
    case Json::parse_event_t::object_end:
    case Json::parse_event_t::array_end:
      m_Levels.pop_back();
      break;
    case Json::parse_event_t::key:
      checkKey(Value.get<std::string>());
      break;
    case Json::parse_event_t::value:
      break;
    }
  }

private:
  struct Level {
    std::set<std::string> m_Keys;
    std::string m_CurrentKey;
  };

  void checkKey(const std::string &Key) {
    Level &Top = m_Levels.back();
    Top.m_CurrentKey = Key;
    if (!Top.m_Keys.insert(Key).second) {
      m_Problems.push_back({Errc::SettingsConflict, m_File, pointer(), "key \"" + Key + "\" twice",
                            "each name once in an object"});
    }
  }

  std::string pointer() const {
    Json::json_pointer Result;
    for (const Level &Each : m_Levels) {
      Result /= Each.m_CurrentKey;
    }
    return Result.to_string();
  }

  const std::string &m_File;
  Problems &m_Problems;
  std::vector<Level> m_Levels;
};

} // namespace

std::optional<Json> parseJson(std::string_view Text, const std::string &File, Problems &Found) {
  DuplicateFinder Finder(File, Found);
  bool TooDeep = false;
  const auto Callback = [&](int Depth, Json::parse_event_t Event, Json &Value) {
    TooDeep = TooDeep || Depth > MaxJsonDepth;
    if (!TooDeep) {
      Finder(Event, Value);
    }
    return !TooDeep;
  };
  try {
    Json Document = Json::parse(Text, Callback);
    if (!TooDeep) {
      return Document;
    }
    Found.push_back({Errc::SettingsOutOfRange, File, "", "deeper nesting",
                     "at most " + std::to_string(MaxJsonDepth) + " levels"});
    return std::nullopt;
  } catch (const Json::exception &Raised) {
    Found.push_back({Errc::SettingsNotJson, File, "", Raised.what(), "one JSON document"});
    return std::nullopt;
  }
}

} // namespace vanillahill::settings
