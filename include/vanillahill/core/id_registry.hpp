/// \file
/// Assigns unique identifiers to names, also when the hashes of two names collide.
#pragma once

#include "vanillahill/core/ids.hpp"

#include <map>
#include <set>
#include <string>
#include <string_view>

namespace vanillahill {

/// Assigns each name a unique identifier: idOf() of the name or, while another name holds that
/// identifier, idOf() of the name with "+" appended as often as needed. VMs assign the same
/// identifier to a name except after such a collision, which is rare. Not thread safe.
template <typename Id> class IdRegistry {
public:
  /// \brief Returns the identifier of a name, assigning one if it has none. It stays the same until
  /// release().
  /// \note Complexity: logarithmic in the number of names.
  Id of(std::string_view Name) {
    const auto Known = m_Ids.find(Name);
    if (Known != m_Ids.end()) {
      return Known->second;
    }
    std::string Candidate(Name);
    Id Assigned = idOf<Id>(Candidate);
    while (!m_Taken.insert(Assigned).second) {
      Candidate.push_back('+');
      Assigned = idOf<Id>(Candidate);
    }
    m_Ids.emplace(Name, Assigned);
    return Assigned;
  }

  /// \brief The identifier of a name that has one. \throw std::out_of_range for another name
  Id at(const std::string &Name) const { return m_Ids.at(Name); }

  /// \brief Releases the identifier of a name; no effect on an unknown name.
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
