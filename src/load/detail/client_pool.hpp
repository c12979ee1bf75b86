/// \file
/// Connections of the callers to every entry VM.
#pragma once

#include "load_client.hpp"

#include "vanillahill/load/entry_chooser.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace vanillahill::load::detail {

using LoadClientPtr = std::shared_ptr<LoadClient>;

/// A connection to the chosen VM, or none if no VM accepts one.
struct Acquired {
  LoadClientPtr m_Client;
  std::size_t m_Entry = 0;
};

/// Chooses VMs and keeps idle connections. One thread.
class ClientPool {
public:
  using Handler = std::function<void(const Acquired &)>;

  ClientPool(boost::asio::io_context &Io, std::vector<boost::asio::ip::tcp::endpoint> Entries,
             const EntryChooserOptions &Options);

  /// \brief Finds an open connection, trying other VMs when one refuses.
  /// \param Limit when to give up \param Avoid a VM to be left out if there is another
  void acquire(TimePoint Limit, std::optional<std::size_t> Avoid, const Handler &Done);
  /// \brief Takes a connection back after a whole exchange.
  void release(std::size_t Entry, LoadClientPtr Client);
  std::uint64_t refused() const { return m_Refused; }

private:
  void open(std::size_t Entry, TimePoint Limit, std::optional<std::size_t> Avoid,
            const Handler &Done);

  boost::asio::io_context &m_Io;
  std::vector<boost::asio::ip::tcp::endpoint> m_Entries;
  std::vector<std::vector<LoadClientPtr>> m_Idle;
  EntryChooser m_Chooser;
  std::uint64_t m_Refused = 0;
};

} // namespace vanillahill::load::detail
