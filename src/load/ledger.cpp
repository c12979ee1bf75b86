#include "vanillahill/load/ledger.hpp"

#include <fstream>

namespace vanillahill::load {

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

void Ledger::write(TimePoint At, history::Backend Body) {
  writeLine({.m_At = At, .m_Body = std::move(Body), .m_File = {}});
}

void Ledger::write(TimePoint At, history::Send Body) {
  writeLine({.m_At = At, .m_Body = std::move(Body), .m_File = {}});
}

void Ledger::write(TimePoint At, history::Answer Body) {
  writeLine({.m_At = At, .m_Body = std::move(Body), .m_File = {}});
}

void Ledger::writeLine(const history::Record &Line) {
  if (m_State->m_File.is_open()) {
    m_State->m_File << history::toLine(Line) << '\n';
  }
}

void Ledger::flush() {
  if (m_State->m_File.is_open()) {
    m_State->m_File.flush();
  }
}

} // namespace vanillahill::load
