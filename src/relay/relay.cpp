#include "vanillahill/relay/relay.hpp"

#include "../peer/endpoint.hpp"
#include "session.hpp"

#include <boost/asio/io_context.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace vanillahill::relay {

namespace {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// One link with its open connections.
struct Link {
  Link(boost::asio::io_context &Io, Rules General) : m_Acceptor(Io), m_Table(General) {}

  Tcp::acceptor m_Acceptor;
  Tcp::endpoint m_Target;
  RuleTable m_Table;
  LinkStatus m_Status;
  std::map<SessionId, SessionPtr> m_Sessions;
};

/// Closes so that the other side sees a reset.
void reset(Tcp::socket &Socket) {
  ErrorCode Ignored;
  Socket.set_option(Tcp::socket::linger(true, 0), Ignored);
  Socket.close(Ignored);
}

} // namespace

struct Relay::State {
  explicit State(boost::asio::io_context &Io) : m_Io(Io) {}

  void accept(Link &From) {
    From.m_Acceptor.async_accept([this, &From](const ErrorCode &Code, Tcp::socket Socket) {
      if (!From.m_Acceptor.is_open()) {
        return;
      }
      if (!Code) {
        serve(From, std::move(Socket));
      }
      accept(From);
    });
  }

  void serve(Link &On, Tcp::socket Socket) {
    ErrorCode Code;
    const std::string From = Socket.remote_endpoint(Code).address().to_string();
    if (Code || On.m_Table.of(From).m_Cut) {
      ++On.m_Status.m_Reset;
      reset(Socket);
      return;
    }
    ++On.m_Status.m_Accepted;
    const SessionId Id{m_NextSession++};
    const SessionPtr Opened = std::make_shared<Session>(
        std::move(Socket), From,
        Session::Hooks{.m_Rules = [&On, From]() -> const Rules & { return On.m_Table.of(From); },
                       .m_OnBytes = [&On](std::size_t Size) { On.m_Status.m_Bytes += Size; },
                       .m_OnClosed = [&On, Id] { On.m_Sessions.erase(Id); }});
    On.m_Sessions.emplace(Id, Opened);
    Opened->start(On.m_Target);
  }

  void apply(Link &To, const FaultChange &Change) {
    To.m_Table.apply(Change);
    const std::map<SessionId, SessionPtr> Open = To.m_Sessions;
    for (const auto &[Id, One] : Open) {
      if (To.m_Table.of(One->from()).m_Cut) {
        One->reset();
      } else {
        One->resume();
      }
    }
  }

  boost::asio::io_context &m_Io;
  std::map<std::string, Link> m_Links;
  std::uint64_t m_NextSession = 1;
};

Relay::Relay(boost::asio::io_context &Io) : m_State(std::make_unique<State>(Io)) {}

Relay::~Relay() = default;

Result<std::string> Relay::open(const LinkSettings &Settings) {
  const auto Listen = peer::parseEndpoint(Settings.m_Listen);
  const auto Target = peer::parseEndpoint(Settings.m_Target);
  if (!Listen || !Target) {
    return Error{Errc::AddressUnusable, "open link", Listen ? Settings.m_Target : Settings.m_Listen,
                 "expected IP:port"};
  }
  Link Opened(m_State->m_Io, Rules{.m_Delay = Settings.m_Delay});
  if (const ErrorCode Code = peer::listenOn(Opened.m_Acceptor, *Listen)) {
    return Error{Errc::AddressUnusable, "open link", Settings.m_Listen, Code.message()};
  }
  Opened.m_Target = *Target;
  Opened.m_Status.m_Listen = peer::toText(Opened.m_Acceptor.local_endpoint());
  Opened.m_Status.m_Target = Settings.m_Target;
  std::string Bound = Opened.m_Status.m_Listen;
  const auto [Place, Inserted] = m_State->m_Links.emplace(Bound, std::move(Opened));
  m_State->accept(Place->second);
  return Bound;
}

Result<std::size_t> Relay::apply(std::span<const FaultChange> Changes) {
  for (const FaultChange &Change : Changes) {
    if (!m_State->m_Links.contains(Change.m_Listen)) {
      return Error{Errc::SettingsConflict, "apply fault", Change.m_Listen, "no link listens there"};
    }
  }
  for (const FaultChange &Change : Changes) {
    m_State->apply(m_State->m_Links.at(Change.m_Listen), Change);
  }
  return Changes.size();
}

std::vector<LinkStatus> Relay::status() const {
  std::vector<LinkStatus> Out;
  for (const auto &[Listen, Value] : m_State->m_Links) {
    Out.push_back(Value.m_Status);
    Out.back().m_Open = Value.m_Sessions.size();
  }
  return Out;
}

} // namespace vanillahill::relay
