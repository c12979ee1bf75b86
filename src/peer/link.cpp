#include "vanillahill/peer/link.hpp"

#include "connection.hpp"
#include "endpoint.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace vanillahill::peer {

namespace {

using Tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Maximum number of accepted connections that have not presented a valid token yet.
constexpr std::size_t MaxUnauthenticatedConnections = 256;
/// Delay after a failed accept, for example when no file descriptor is free.
constexpr Duration AcceptRetryDelay = std::chrono::milliseconds(100);
/// Maximum length of the name of a connecting VM.
constexpr std::size_t MaxVmNameBytes = 128;
/// Maximum number of times that the backoff is doubled.
constexpr unsigned MaxBackoffDoublings = 16;

/// Compares two tokens; for equal lengths the time does not depend on where they differ.
bool sameToken(std::string_view Left, std::string_view Right) {
  if (Left.size() != Right.size()) {
    return false;
  }
  unsigned Difference = 0;
  for (std::size_t Index = 0; Index < Left.size(); ++Index) {
    Difference |= static_cast<unsigned char>(Left[Index]) ^ static_cast<unsigned>(Right[Index]);
  }
  return Difference == 0;
}

/// State of the link to one other VM.
struct Link {
  std::string m_Name;
  Tcp::endpoint m_Address;
  /// The VM was in the set of the latest connect().
  bool m_Wanted = false;
  bool m_EverOpen = false;
  unsigned m_Failures = 0;
  ConnectionPtr m_Connection;
};

} // namespace

/// The table of links. Its lock is never held while a connection is called.
struct PeerLinks::State final : ConnectionOwner, std::enable_shared_from_this<PeerLinks::State> {
  State(boost::asio::io_context &Io, PeerLinksOptions Options);

  void start();
  void connect(std::span<const kernel::VmEntry> Vms);
  void send(VmId To, Message Value);
  void stop();

  bool onRequest(const ConnectionPtr &From, const PeerIdentity &Shown) override;
  void onOpen(const Connection &From) override;
  void onMessage(const Connection &From, Message Value) override;
  void onClosed(const ConnectionPtr &From, bool WasOpen) override;
  void onProblem(const Error &Value) override;

  void listen();
  void accept();
  void handleAccepted(Tcp::socket Socket);
  void retryAcceptLater();
  void startAckTimer();
  void flushWaiting();
  std::string refusalReason(const PeerIdentity &Shown) const;
  bool opensConnection(const Link &Value) const {
    return Value.m_Wanted && m_Options.m_SelfName < Value.m_Name;
  }
  void updateLink(const kernel::VmEntry &Vm, const Tcp::endpoint &Address,
                  std::vector<ConnectionPtr> &ToClose);
  void openConnection(Link &Value);
  Duration backoffDelay(unsigned Failures);
  ConnectionPtr createConnection(Tcp::socket Socket);

  boost::asio::io_context &m_Io;
  PeerLinksOptions m_Options;
  std::shared_ptr<SharedCounters> m_Counters = std::make_shared<SharedCounters>();
  Tcp::acceptor m_Acceptor;
  boost::asio::steady_timer m_AcceptTimer;
  boost::asio::steady_timer m_AckTimer;
  std::uint16_t m_Port = 0;
  /// Outgoing connections bind to the listening address, so that peers see that address.
  std::optional<boost::asio::ip::address> m_LocalAddress;

  mutable std::mutex m_Lock;
  std::atomic<bool> m_Stopped = false;
  std::map<VmId, Link> m_Links;
  std::set<ConnectionPtr> m_Unauthenticated;
  std::mt19937_64 m_Random;
};

PeerLinks::State::State(boost::asio::io_context &Io, PeerLinksOptions Options)
    : m_Io(Io), m_Options(std::move(Options)), m_Acceptor(boost::asio::make_strand(Io)),
      m_AcceptTimer(m_Acceptor.get_executor()), m_AckTimer(m_Acceptor.get_executor()),
      m_Random(m_Options.m_Seed ^ raw(idOf<VmId>(m_Options.m_SelfName))) {
  listen();
}

void PeerLinks::State::listen() {
  const std::optional<Tcp::endpoint> Address = parseEndpoint(m_Options.m_PeerAddress);
  const ErrorCode Code =
      Address ? listenOn(m_Acceptor, *Address) : ErrorCode(boost::asio::error::invalid_argument);
  if (Code) {
    throw_exception_from_error(
        {Errc::AddressUnusable, "listen for peers", m_Options.m_PeerAddress, Code.message()}, {});
  }
  if (!Address->address().is_unspecified()) {
    m_LocalAddress = Address->address();
  }
  m_Port = m_Acceptor.local_endpoint().port();
}

void PeerLinks::State::start() {
  boost::asio::post(m_Acceptor.get_executor(), [Me = shared_from_this()] {
    Me->accept();
    Me->startAckTimer();
  });
}

void PeerLinks::State::accept() {
  m_Acceptor.async_accept(boost::asio::make_strand(m_Io),
                          [Me = shared_from_this()](const ErrorCode &Code, Tcp::socket Socket) {
                            if (!Me->m_Acceptor.is_open()) {
                              return;
                            }
                            if (Code) {
                              Me->retryAcceptLater();
                              return;
                            }
                            Me->handleAccepted(std::move(Socket));
                            Me->accept();
                          });
}

void PeerLinks::State::retryAcceptLater() {
  m_AcceptTimer.expires_after(AcceptRetryDelay);
  m_AcceptTimer.async_wait([Me = shared_from_this()](const ErrorCode &Code) {
    if (!Code && Me->m_Acceptor.is_open()) {
      Me->accept();
    }
  });
}

void PeerLinks::State::handleAccepted(Tcp::socket Socket) {
  const ConnectionPtr Accepted = createConnection(std::move(Socket));
  {
    const std::lock_guard Guard(m_Lock);
    if (m_Stopped || m_Unauthenticated.size() >= MaxUnauthenticatedConnections) {
      return;
    }
    m_Unauthenticated.insert(Accepted);
  }
  Accepted->startAccepted();
}

void PeerLinks::State::startAckTimer() {
  if (m_Options.m_AckDelay <= Duration::zero()) {
    return;
  }
  m_AckTimer.expires_after(m_Options.m_AckDelay);
  m_AckTimer.async_wait([Me = shared_from_this()](const ErrorCode &Code) {
    if (!Code && Me->m_Acceptor.is_open()) {
      Me->flushWaiting();
      Me->startAckTimer();
    }
  });
}

void PeerLinks::State::flushWaiting() {
  std::vector<ConnectionPtr> All;
  {
    const std::lock_guard Guard(m_Lock);
    for (const auto &[Id, Value] : m_Links) {
      if (Value.m_Connection) {
        All.push_back(Value.m_Connection);
      }
    }
  }
  for (const ConnectionPtr &One : All) {
    One->flushWaiting();
  }
}

ConnectionPtr PeerLinks::State::createConnection(Tcp::socket Socket) {
  return std::make_shared<Connection>(
      std::move(Socket), shared_from_this(), m_Counters,
      ConnectionLimits{.m_MaxFrameBytes = m_Options.m_MaxFrameBytes,
                       .m_MaxQueued = m_Options.m_MaxQueued,
                       .m_ConnectTimeout = m_Options.m_ConnectTimeout,
                       .m_IdleTimeout = m_Options.m_IdleTimeout});
}

void PeerLinks::State::connect(std::span<const kernel::VmEntry> Vms) {
  std::vector<std::pair<const kernel::VmEntry *, Tcp::endpoint>> Wanted;
  for (const kernel::VmEntry &Vm : Vms) {
    const std::optional<Tcp::endpoint> Address = parseEndpoint(Vm.m_PeerAddress);
    if (!Address) {
      onProblem({Errc::AddressUnusable, "connect to peer", Vm.m_Name,
                 fmt::format("address \"{}\", expected IP:port", Vm.m_PeerAddress)});
    } else if (Vm.m_Name != m_Options.m_SelfName) {
      Wanted.emplace_back(&Vm, *Address);
    }
  }
  std::vector<ConnectionPtr> ToClose;
  {
    const std::lock_guard Guard(m_Lock);
    if (m_Stopped) {
      return;
    }
    std::set<VmId> Kept;
    for (const auto &[Vm, Address] : Wanted) {
      updateLink(*Vm, Address, ToClose);
      Kept.insert(idOf<VmId>(Vm->m_Name));
    }
    std::erase_if(m_Links, [&](const auto &Entry) {
      const bool Dropped = Entry.second.m_Wanted && !Kept.contains(Entry.first);
      if (Dropped) {
        ToClose.push_back(Entry.second.m_Connection);
      }
      return Dropped;
    });
  }
  for (const ConnectionPtr &One : ToClose) {
    if (One) {
      One->abandon();
    }
  }
}

void PeerLinks::State::updateLink(const kernel::VmEntry &Vm, const Tcp::endpoint &Address,
                                  std::vector<ConnectionPtr> &ToClose) {
  Link &Value = m_Links[idOf<VmId>(Vm.m_Name)];
  const bool Moved = Value.m_Wanted && Value.m_Address != Address;
  Value.m_Name = Vm.m_Name;
  Value.m_Address = Address;
  Value.m_Wanted = true;
  if (!opensConnection(Value)) {
    return;
  }
  if (Moved) {
    ToClose.push_back(std::exchange(Value.m_Connection, nullptr));
  }
  if (!Value.m_Connection) {
    Value.m_Failures = 0;
    openConnection(Value);
  }
}

void PeerLinks::State::openConnection(Link &Value) {
  Value.m_Connection = createConnection(Tcp::socket(boost::asio::make_strand(m_Io)));
  const Duration Delay =
      Value.m_EverOpen || Value.m_Failures > 0 ? backoffDelay(Value.m_Failures) : Duration::zero();
  Value.m_Connection->startConnecting(
      {.m_Remote = Value.m_Address, .m_Local = m_LocalAddress, .m_Delay = Delay},
      {.m_Name = m_Options.m_SelfName, .m_Token = m_Options.m_PeerToken}, Value.m_Name);
}

Duration PeerLinks::State::backoffDelay(unsigned Failures) {
  const unsigned Doublings = std::min(Failures, MaxBackoffDoublings);
  const Duration MaxDelay =
      std::min(m_Options.m_MaxBackoff, m_Options.m_MinBackoff * (std::int64_t{1} << Doublings));
  std::uniform_int_distribution<std::int64_t> Jitter(MaxDelay.count() / 2, MaxDelay.count());
  return Duration(Jitter(m_Random));
}

void PeerLinks::State::send(VmId To, Message Value) {
  ConnectionPtr Found;
  {
    const std::lock_guard Guard(m_Lock);
    const auto Entry = m_Links.find(To);
    if (Entry != m_Links.end()) {
      Found = Entry->second.m_Connection;
    }
  }
  if (!Found || !Found->open()) {
    ++m_Counters->m_Unsent;
    return;
  }
  const bool MayWait =
      m_Options.m_AckDelay > Duration::zero() && std::holds_alternative<HeartbeatAck>(Value);
  Found->send(std::move(Value), MayWait);
}

void PeerLinks::State::stop() {
  std::vector<ConnectionPtr> Linked;
  std::set<ConnectionPtr> Unauthenticated;
  {
    const std::lock_guard Guard(m_Lock);
    if (m_Stopped) {
      return;
    }
    m_Stopped = true;
    for (const auto &[Id, Value] : m_Links) {
      if (Value.m_Connection) {
        Linked.push_back(Value.m_Connection);
      }
    }
    m_Links.clear();
    Unauthenticated.swap(m_Unauthenticated);
  }
  boost::asio::post(m_Acceptor.get_executor(), [Me = shared_from_this()] {
    ErrorCode Ignored;
    Me->m_Acceptor.close(Ignored);
    Me->m_AcceptTimer.cancel();
    Me->m_AckTimer.cancel();
  });
  for (const ConnectionPtr &One : Linked) {
    One->drain();
  }
  for (const ConnectionPtr &One : Unauthenticated) {
    One->abandon();
  }
}

std::string PeerLinks::State::refusalReason(const PeerIdentity &Shown) const {
  if (!sameToken(Shown.m_Token, m_Options.m_PeerToken)) {
    return "the token is wrong";
  }
  if (Shown.m_Name.empty() || Shown.m_Name.size() > MaxVmNameBytes) {
    return fmt::format("the name has {} bytes, 1 to {} are allowed", Shown.m_Name.size(),
                       MaxVmNameBytes);
  }
  if (Shown.m_Name >= m_Options.m_SelfName) {
    return fmt::format("only a VM with a smaller name than \"{}\" connects", m_Options.m_SelfName);
  }
  return {};
}

bool PeerLinks::State::onRequest(const ConnectionPtr &From, const PeerIdentity &Shown) {
  if (std::string Problem = refusalReason(Shown); !Problem.empty()) {
    ++m_Counters->m_Refused;
    onProblem({Errc::PeerTokenMismatch, "accept peer", Shown.m_Name.substr(0, MaxVmNameBytes),
               std::move(Problem)});
    return false;
  }
  From->setPeer(Shown.m_Name);
  ConnectionPtr Earlier;
  {
    const std::lock_guard Guard(m_Lock);
    m_Unauthenticated.erase(From);
    if (m_Stopped) {
      return false;
    }
    Link &Value = m_Links[From->peer()];
    Value.m_Name = Shown.m_Name;
    Earlier = std::exchange(Value.m_Connection, From);
  }
  if (Earlier) {
    Earlier->abandon();
  }
  return true;
}

void PeerLinks::State::onOpen(const Connection &From) {
  {
    const std::lock_guard Guard(m_Lock);
    const auto Entry = m_Links.find(From.peer());
    if (Entry == m_Links.end() || Entry->second.m_Connection.get() != &From) {
      return;
    }
    if (std::exchange(Entry->second.m_EverOpen, true)) {
      ++m_Counters->m_Reconnects;
    }
  }
  if (m_Options.m_OnOpen) {
    m_Options.m_OnOpen(From.peer());
  }
}

void PeerLinks::State::onMessage(const Connection &From, Message Value) {
  if (m_Stopped) {
    return;
  }
  m_Options.m_OnMessage(From.peer(), std::move(Value));
}

void PeerLinks::State::onClosed(const ConnectionPtr &From, bool WasOpen) {
  const std::lock_guard Guard(m_Lock);
  m_Unauthenticated.erase(From);
  const auto Entry = m_Links.find(From->peer());
  if (m_Stopped || Entry == m_Links.end() || Entry->second.m_Connection != From) {
    return;
  }
  Link &Value = Entry->second;
  Value.m_Connection = nullptr;
  Value.m_Failures = WasOpen ? 0 : Value.m_Failures + 1;
  if (opensConnection(Value)) {
    openConnection(Value);
  } else if (!Value.m_Wanted) {
    m_Links.erase(Entry);
  }
}

void PeerLinks::State::onProblem(const Error &Value) {
  if (m_Options.m_OnProblem && !m_Stopped) {
    m_Options.m_OnProblem(Value);
  }
}

PeerLinks::PeerLinks(boost::asio::io_context &Io, PeerLinksOptions Options)
    : m_State(std::make_shared<State>(Io, std::move(Options))) {
  m_State->start();
}

PeerLinks::~PeerLinks() { stop(); }

void PeerLinks::connect(std::span<const kernel::VmEntry> Vms) { m_State->connect(Vms); }

void PeerLinks::send(VmId To, Message Value) { m_State->send(To, std::move(Value)); }

void PeerLinks::stop() { m_State->stop(); }

std::uint16_t PeerLinks::port() const { return m_State->m_Port; }

LinkCounters PeerLinks::counters() const {
  const SharedCounters &From = *m_State->m_Counters;
  return {.m_BytesIn = From.m_BytesIn,
          .m_BytesOut = From.m_BytesOut,
          .m_FramesIn = From.m_FramesIn,
          .m_FramesOut = From.m_FramesOut,
          .m_Malformed = From.m_Malformed,
          .m_UnknownTypes = From.m_UnknownTypes,
          .m_Reconnects = From.m_Reconnects,
          .m_Dropped = From.m_Dropped,
          .m_Unsent = From.m_Unsent,
          .m_Refused = From.m_Refused,
          .m_Open = From.m_Open};
}

} // namespace vanillahill::peer
