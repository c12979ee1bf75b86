/// \file
/// Aliases of Asio and Beast types, and socket functions, shared by the sources of net.
#pragma once

#include "vanillahill/core/error.hpp"
#include "vanillahill/core/time.hpp"
#include "vanillahill/kernel/events.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/http.hpp>

#include <functional>

namespace vanillahill::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using Strand = asio::strand<asio::io_context::executor_type>;
using Socket = asio::basic_stream_socket<Tcp, Strand>;
using Acceptor = asio::basic_socket_acceptor<Tcp, Strand>;
using Timer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                         asio::wait_traits<std::chrono::steady_clock>, Strand>;

/// Passes one event to the kernel. Thread safe; may be called from inside an action.
using EventSink = std::function<void(const kernel::Event &)>;

/// \brief Reads "IP:port", with the IP in brackets for IPv6.
/// \return the address; Errc::AddressUnusable if the text has another form
Result<Tcp::endpoint> parseEndpoint(std::string_view Text);

/// \brief Opens a listening socket with SO_REUSEADDR.
/// \return Errc::AddressUnusable with the system's reason
Result<Acceptor> listenOn(asio::io_context &Io, std::string_view Address);

/// \brief Formats an address as "IP:port", with the IP in brackets for IPv6.
std::string toText(const Tcp::endpoint &Endpoint);

/// \brief Shuts down both directions, which still sends buffered data, then closes the socket.
/// Errors are ignored, since the peer may be gone.
void closeSocket(Socket &Stream);

/// \brief Sets TCP_NODELAY, so that small writes are sent at once.
void setNoDelay(Socket &Stream);

} // namespace vanillahill::net
