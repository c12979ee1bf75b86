#include "vanillahill/load/entry_chooser.hpp"

namespace vanillahill::load {

EntryChooser::EntryChooser(EntryChooserOptions Options)
    : m_Options(Options), m_Random(Options.m_Seed), m_SkipUntil(Options.m_Entries) {}

std::optional<std::size_t> EntryChooser::choose(TimePoint Now, std::optional<std::size_t> Avoid) {
  std::vector<std::size_t> Open;
  for (std::size_t Entry = 0; Entry < m_SkipUntil.size(); ++Entry) {
    if (m_SkipUntil[Entry] <= Now && Entry != Avoid) {
      Open.push_back(Entry);
    }
  }
  if (Open.empty()) {
    const bool AvoidedIsOpen = Avoid && m_SkipUntil[*Avoid] <= Now;
    return AvoidedIsOpen ? Avoid : std::nullopt;
  }
  if (m_Options.m_Spread == Spread::RoundRobin) {
    return Open[m_Next++ % Open.size()];
  }
  return Open[std::uniform_int_distribution<std::size_t>(0, Open.size() - 1)(m_Random)];
}

void EntryChooser::refused(TimePoint Now, std::size_t Entry) {
  m_SkipUntil[Entry] = Now + m_Options.m_SkipTime;
}

} // namespace vanillahill::load
