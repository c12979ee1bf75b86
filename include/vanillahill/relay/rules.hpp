/// \file
/// What a relay does to the bytes of its links, and the JSON that says so.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/core/time.hpp"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace vanillahill::relay {

/// What holds for the connections of one link.
struct Rules {
  /// Added to each chunk of bytes, in each direction.
  Duration m_Delay{};
  /// Connections are closed, new ones are reset.
  bool m_Cut = false;
  /// Connections stay open and nothing passes.
  bool m_Freeze = false;
};

/// One link: a port that is listened on and the address that its bytes go to.
struct LinkSettings {
  /// IP:port; port 0 takes a free one.
  std::string m_Listen;
  std::string m_Target;
  Duration m_Delay{};
};

/// A change of what holds on one link; what is not set stays.
struct FaultChange {
  std::string m_Listen;
  /// IP address of the connecting side that it is limited to; empty for all.
  std::string m_From;
  std::optional<Duration> m_Delay;
  std::optional<bool> m_Cut;
  std::optional<bool> m_Freeze;
};

/// Rules of one link, in general and for single connecting addresses.
class RuleTable {
public:
  explicit RuleTable(Rules General) : m_General(General) {}

  /// \brief Takes a change. One without an address also holds for every single address.
  void apply(const FaultChange &Change);

  /// \brief What holds for a connecting address.
  const Rules &of(const std::string &From) const;

private:
  Rules m_General;
  std::map<std::string, Rules> m_Single;
};

/// \brief Reads `{"links":[{"listen":..,"target":..,"delay_us":..}]}`.
/// \return the links, or an error that names the JSON pointer and what is allowed
Result<std::vector<LinkSettings>> parseLinks(std::string_view Text);

/// \brief Reads `{"links":[{"listen":..,"from":..,"delay_us":..,"cut":..,"freeze":..}]}`.
/// \return the changes, or an error that names the JSON pointer and what is allowed
Result<std::vector<FaultChange>> parseFaults(std::string_view Text);

} // namespace vanillahill::relay
