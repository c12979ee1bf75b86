#include "vanillahill/load/fault.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <array>
#include <optional>

namespace vanillahill::load {

namespace {

using Json = nlohmann::json;

constexpr double MaxMillis = 1e8;

template <typename T> struct NamedValue {
  std::string_view m_Name;
  T m_Value;
};

constexpr std::array FaultNames = {
    NamedValue<FaultKind>{"slow", FaultKind::Slow},
    NamedValue<FaultKind>{"fail-fast", FaultKind::FailFast},
    NamedValue<FaultKind>{"drain", FaultKind::Drain},
    NamedValue<FaultKind>{"cold", FaultKind::Cold},
    NamedValue<FaultKind>{"shed", FaultKind::Shed},
    NamedValue<FaultKind>{"noise", FaultKind::Noise},
    NamedValue<FaultKind>{"lie-healthy", FaultKind::LieHealthy},
    NamedValue<FaultKind>{"lie-failing", FaultKind::LieFailing},
    NamedValue<FaultKind>{"down", FaultKind::Down},
    NamedValue<FaultKind>{"swap-reply", FaultKind::SwapReply},
    NamedValue<FaultKind>{"cut-reply", FaultKind::CutReply},
    NamedValue<FaultKind>{"late-reply", FaultKind::LateReply},
};

constexpr std::array ModeNames = {
    NamedValue<FailMode>{"error", FailMode::Error},
    NamedValue<FailMode>{"not-run", FailMode::NotRun},
    NamedValue<FailMode>{"reset", FailMode::Reset},
};

/// Reads the fields of one fault object and keeps the first error.
class FaultReader {
public:
  FaultReader(std::string_view File, std::string Pointer)
      : m_File(File), m_Pointer(std::move(Pointer)) {}

  Result<Fault> read(const Json &Object) {
    if (!Object.is_object()) {
      fail(Errc::SettingsWrongType, "", "a fault must be an object");
      return *m_Error;
    }
    for (const auto &[Key, Value] : Object.items()) {
      readField(Key, Value);
    }
    require(Object, "fault");
    require(Object, "server");
    if (m_Error) {
      return *m_Error;
    }
    return m_Fault;
  }

private:
  void readField(const std::string &Key, const Json &Value) {
    if (Key == "fault") {
      readName(Key, Value, FaultNames, m_Fault.m_Kind);
    } else if (Key == "mode") {
      readName(Key, Value, ModeNames, m_Fault.m_Mode);
    } else if (Key == "server") {
      readServer(Key, Value);
    } else if (Duration *Time = durationField(Key)) {
      readMillis(Key, Value, *Time);
    } else {
      readNumberField(Key, Value);
    }
  }

  Duration *durationField(std::string_view Key) {
    if (Key == "at_ms") {
      return &m_Fault.m_At;
    }
    if (Key == "for_ms") {
      return &m_Fault.m_For;
    }
    if (Key == "every_ms") {
      return &m_Fault.m_Every;
    }
    if (Key == "period_ms") {
      return &m_Fault.m_Period;
    }
    return nullptr;
  }

  void readNumberField(const std::string &Key, const Json &Value) {
    constexpr double MaxCount = 1e9;
    double Count = 0;
    if (Key == "factor") {
      readNumber(Key, Value, {1.0, 1000.0}, m_Fault.m_Factor);
    } else if (Key == "share") {
      readNumber(Key, Value, {0.0, 1.0}, m_Fault.m_Share);
    } else if (Key == "low_speed") {
      readNumber(Key, Value, {0.001, 1.0}, m_Fault.m_LowSpeed);
    } else if (Key == "high_speed") {
      readNumber(Key, Value, {0.001, 1.0}, m_Fault.m_HighSpeed);
    } else if (Key == "times") {
      readNumber(Key, Value, {1.0, MaxCount}, Count);
      m_Fault.m_Times = static_cast<std::uint32_t>(Count);
    } else if (Key == "requests") {
      readNumber(Key, Value, {0.0, MaxCount}, Count);
      m_Fault.m_Requests = static_cast<std::uint32_t>(Count);
    } else {
      fail(Errc::SettingsUnknownField, Key, "no fault has this field");
    }
  }

  struct Range {
    double m_Low;
    double m_High;
  };

  void readNumber(const std::string &Key, const Json &Value, Range Allowed, double &Out) {
    if (!Value.is_number()) {
      fail(Errc::SettingsWrongType, Key, "a number is expected, found " + Value.dump());
      return;
    }
    const double Number = Value.get<double>();
    if (Number < Allowed.m_Low || Number > Allowed.m_High) {
      fail(Errc::SettingsOutOfRange, Key,
           fmt::format("{} is not within {} to {}", Number, Allowed.m_Low, Allowed.m_High));
      return;
    }
    Out = Number;
  }

  void readMillis(const std::string &Key, const Json &Value, Duration &Out) {
    double Millis = 0;
    readNumber(Key, Value, {0.0, MaxMillis}, Millis);
    Out = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(Millis));
  }

  void readServer(const std::string &Key, const Json &Value) {
    if (!Value.is_string()) {
      fail(Errc::SettingsWrongType, Key, "a string is expected, found " + Value.dump());
      return;
    }
    m_Fault.m_Server = Value.get<std::string>();
  }

  template <typename Names, typename T>
  void readName(const std::string &Key, const Json &Value, const Names &Allowed, T &Out) {
    std::string List;
    for (const auto &Entry : Allowed) {
      if (Value.is_string() && Value.get_ref<const std::string &>() == Entry.m_Name) {
        Out = Entry.m_Value;
        return;
      }
      List += fmt::format("{}\"{}\"", List.empty() ? "" : ", ", Entry.m_Name);
    }
    fail(Errc::SettingsOutOfRange, Key, fmt::format("{} is none of {}", Value.dump(), List));
  }

  void require(const Json &Object, const std::string &Key) {
    if (!Object.contains(Key)) {
      fail(Errc::SettingsMissingField, Key, "the field is required");
    }
  }

  void fail(Errc Code, std::string_view Key, std::string_view Text) {
    if (m_Error) {
      return;
    }
    const std::string Place = Key.empty() ? m_Pointer : fmt::format("{}/{}", m_Pointer, Key);
    m_Error = Error{Code, "read fault script", m_File, fmt::format("{}: {}", Place, Text)};
  }

  std::string m_File;
  std::string m_Pointer;
  Fault m_Fault;
  std::optional<Error> m_Error;
};

Result<std::vector<Fault>> readList(const Json &List, std::string_view File) {
  if (!List.is_array()) {
    return Error{Errc::SettingsWrongType, "read fault script", std::string(File),
                 "/faults: an array is expected"};
  }
  std::vector<Fault> Faults;
  for (std::size_t Index = 0; Index < List.size(); ++Index) {
    const Result<Fault> One = FaultReader(File, fmt::format("/faults/{}", Index)).read(List[Index]);
    if (!One) {
      return One.error();
    }
    Faults.push_back(*One);
  }
  return Faults;
}

} // namespace

bool Fault::matches(std::string_view Name) const {
  if (m_Server == "*" || m_Server == Name) {
    return true;
  }
  if (!m_Server.ends_with("/*")) {
    return false;
  }
  const std::string_view Prefix = std::string_view(m_Server).substr(0, m_Server.size() - 1);
  return Name.starts_with(Prefix);
}

Result<std::vector<Fault>> parseFaults(std::string_view Text, std::string_view File) {
  const Json Root = Json::parse(Text, nullptr, false);
  if (Root.is_discarded()) {
    return Error{Errc::SettingsNotJson, "read fault script", std::string(File), "not JSON"};
  }
  if (Root.is_object() && Root.contains("faults")) {
    return readList(Root["faults"], File);
  }
  const Result<Fault> One = FaultReader(File, "").read(Root);
  if (!One) {
    return One.error();
  }
  return std::vector<Fault>{*One};
}

} // namespace vanillahill::load
