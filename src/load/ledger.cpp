#include "vanillahill/load/ledger.hpp"

#include <nlohmann/json.hpp>

#include <fstream>

namespace vanillahill::load {

namespace {

using Json = nlohmann::ordered_json;

std::string line(const Json &Object) {
  return Object.dump(-1, ' ', true, Json::error_handler_t::replace) + "\n";
}

std::int64_t nanos(TimePoint At) { return At.time_since_epoch().count(); }

} // namespace

struct Ledger::State {
  std::ofstream m_File;
};

Ledger::Ledger(std::unique_ptr<State> Inner) : m_State(std::move(Inner)) {}
Ledger::Ledger(Ledger &&) noexcept = default;
Ledger &Ledger::operator=(Ledger &&) noexcept = default;
Ledger::~Ledger() = default;

Result<Ledger> Ledger::open(const std::string &Path) {
  auto Inner = std::make_unique<State>();
  if (!Path.empty()) {
    Inner->m_File.open(Path, std::ios::trunc);
    if (!Inner->m_File) {
      return Error{Errc::SettingsUnreadable, "open history", Path, "cannot be written"};
    }
  }
  return Ledger(std::move(Inner));
}

void Ledger::write(const BackendLine &Line) {
  if (!m_State->m_File.is_open()) {
    return;
  }
  m_State->m_File << line({{"t", nanos(Line.m_At)},
                           {"by", "backend"},
                           {"event", Line.m_Event},
                           {"request", Line.m_Request},
                           {"operation", Line.m_Operation},
                           {"server", Line.m_Server},
                           {"vm", Line.m_Vm},
                           {"exchange", Line.m_Exchange}});
}

void Ledger::write(const SendLine &Line) {
  if (!m_State->m_File.is_open()) {
    return;
  }
  m_State->m_File << line({{"t", nanos(Line.m_At)},
                           {"by", "caller"},
                           {"event", "send"},
                           {"request", Line.m_Request},
                           {"operation", Line.m_Operation},
                           {"kind", Line.m_Kind},
                           {"idempotent", Line.m_Idempotent},
                           {"vm", Line.m_Vm},
                           {"key", Line.m_Key},
                           {"first", Line.m_First}});
}

void Ledger::write(const AnswerLine &Line) {
  if (!m_State->m_File.is_open()) {
    return;
  }
  m_State->m_File << line({{"t", nanos(Line.m_At)},
                           {"by", "caller"},
                           {"event", "answer"},
                           {"request", Line.m_Request},
                           {"operation", Line.m_Operation},
                           {"outcome", Line.m_Outcome},
                           {"reason", Line.m_Reason},
                           {"echo", Line.m_Echo},
                           {"whole", Line.m_Whole}});
}

void Ledger::flush() {
  if (m_State->m_File.is_open()) {
    m_State->m_File.flush();
  }
}

} // namespace vanillahill::load
