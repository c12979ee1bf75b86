/// \file
/// One connection to the platform, for one request at a time.
#pragma once

#include "vanillahill/net/detail/progress_timeout.hpp"
#include "vanillahill/net/detail/types.hpp"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <optional>

namespace vanillahill::net {

/// One request to the platform.
struct PlatformRequest {
  http::verb m_Method = http::verb::get;
  std::string m_Target;
  std::string m_Body = {};
  /// The request fails when nothing arrives for this long.
  Duration m_Timeout = std::chrono::seconds(2);
  /// Longest time of the request.
  Duration m_MaxTotal = ProgressTimeoutOptions().m_MaxTotal;
};

/// Connects on demand, reuses the connection and closes it after a failure. All members are
/// accessed on its strand only.
class PlatformChannel : public std::enable_shared_from_this<PlatformChannel> {
public:
  using Handler = std::function<void(Result<std::string>)>;

  PlatformChannel(asio::io_context &Io, std::string Address);

  /// \brief Sends a request. The previous request must have ended.
  /// \param Done receives the body of a reply with status 200, or Errc::LogUnavailable
  void request(PlatformRequest Request, Handler Done);

  /// \brief Runs a function on the channel's strand after a delay.
  void runAfter(Duration Wait, std::function<void()> Then);

  /// \brief Closes the connection; the handler of a running request is not called.
  void close();

  const std::string &address() const { return m_Address; }

private:
  using Stream = beast::basic_stream<Tcp, Strand>;

  void connect();
  void sendRequest();
  void receiveSome();
  void handleCompletion(ErrorCode Failure);
  void completeRequest(Result<std::string> Outcome);
  Error requestError(std::string Detail) const;

  const std::string m_Address;
  Stream m_Stream;
  Timer m_Timer;
  beast::flat_buffer m_Buffer;
  PlatformRequest m_CurrentRequest;
  ProgressTimeout m_Progress{{}};
  Handler m_Done;
  http::request<http::string_body> m_Request;
  std::optional<http::response_parser<http::string_body>> m_Parser;
  bool m_IsConnected = false;
  bool m_IsClosed = false;
};

} // namespace vanillahill::net
