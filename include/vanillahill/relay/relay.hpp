/// \file
/// Forwards TCP between VMs with an added delay, and cuts or freezes links: the stand-in for
/// distance between data centres.
#pragma once

#include "vanillahill/relay/rules.hpp"

#include <cstdint>
#include <memory>
#include <span>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace vanillahill::relay {

/// What passed a link.
struct LinkStatus {
  std::string m_Listen;
  std::string m_Target;
  std::uint64_t m_Open = 0;
  std::uint64_t m_Accepted = 0;
  std::uint64_t m_Reset = 0;
  std::uint64_t m_Bytes = 0;
};

/// Many links in one thread. Not thread safe; everything runs on the thread of the io_context.
class Relay {
public:
  explicit Relay(boost::asio::io_context &Io);
  ~Relay();
  Relay(const Relay &) = delete;
  Relay &operator=(const Relay &) = delete;

  /// \brief Listens for one more link.
  /// \return the address bound, or AddressUnusable
  Result<std::string> open(const LinkSettings &Settings);

  /// \brief Carries out changes, all or none.
  /// \return the number of changes, or SettingsConflict for a link that does not exist
  Result<std::size_t> apply(std::span<const FaultChange> Changes);

  std::vector<LinkStatus> status() const;

private:
  struct State;
  std::unique_ptr<State> m_State;
};

} // namespace vanillahill::relay
