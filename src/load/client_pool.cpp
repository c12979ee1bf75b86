#include "detail/client_pool.hpp"

namespace vanillahill::load::detail {

ClientPool::ClientPool(boost::asio::io_context &Io,
                       std::vector<boost::asio::ip::tcp::endpoint> Entries,
                       const EntryChooserOptions &Options)
    : m_Io(Io), m_Entries(std::move(Entries)), m_Idle(m_Entries.size()), m_Chooser(Options) {}

void ClientPool::acquire(TimePoint Limit, std::optional<std::size_t> Avoid, const Handler &Done) {
  const TimePoint Now = SystemClock().now();
  const std::optional<std::size_t> Entry = m_Chooser.choose(Now, Avoid);
  if (!Entry || Now >= Limit) {
    Done({});
    return;
  }
  std::vector<LoadClientPtr> &Idle = m_Idle[*Entry];
  while (!Idle.empty()) {
    const LoadClientPtr Client = Idle.back();
    Idle.pop_back();
    if (Client->usable()) {
      Done({.m_Client = Client, .m_Entry = *Entry});
      return;
    }
  }
  open(*Entry, Limit, Avoid, Done);
}

void ClientPool::open(std::size_t Entry, TimePoint Limit, std::optional<std::size_t> Avoid,
                      const Handler &Done) {
  const auto Client = std::make_shared<LoadClient>(m_Io, m_Entries[Entry]);
  Client->connect(Limit, [this, Client, Entry, Limit, Avoid, Done](bool Open) {
    if (Open) {
      Done({.m_Client = Client, .m_Entry = Entry});
      return;
    }
    ++m_Refused;
    m_Chooser.refused(SystemClock().now(), Entry);
    acquire(Limit, Avoid, Done);
  });
}

void ClientPool::release(std::size_t Entry, LoadClientPtr Client) {
  m_Idle[Entry].push_back(std::move(Client));
}

} // namespace vanillahill::load::detail
