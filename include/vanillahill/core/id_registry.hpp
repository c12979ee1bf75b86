/// \file
/// Identifiers that differ whatever the names are.
#pragma once

#include "vanillahill/core/ids.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace vanillahill {

/// Gives each name an identifier that no other name has: idOf() of the name, or of a longer one
/// while another name has that. VMs give a name the same identifier but for those rare cases. Not
/// thread safe.
template <typename Id> class IdRegistry {
public:
  /// \brief The identifier of a name, the same until it is released.
  /// \note Complexity: logarithmic in the number of names.
  Id of(std::string_view Name) {
    const auto Known = m_Ids.find(Name);
    if (Known != m_Ids.end()) {
      return Known->second;
    }
    std::string Tried(Name);
    Id Given = idOf<Id>(Tried);
    while (!m_Taken.insert(Given).second) {
      Tried.push_back('+');
      Given = idOf<Id>(Tried);
    }
    m_Ids.emplace(Name, Given);
    return Given;
  }

  /// \brief The identifier of a name that has one. \throw std::out_of_range for another name
  Id at(const std::string &Name) const { return m_Ids.at(Name); }

  /// \brief Takes the identifier of a name back.
  void release(std::string_view Name) {
    const auto Known = m_Ids.find(Name);
    if (Known != m_Ids.end()) {
      m_Taken.erase(Known->second);
      m_Ids.erase(Known);
    }
  }

private:
  std::map<std::string, Id, std::less<>> m_Ids;
  std::set<Id> m_Taken;
};

} // namespace vanillahill
