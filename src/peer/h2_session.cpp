#include "h2_session.hpp"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string_view>

namespace vanillahill::peer {

namespace {

/// HTTP/2 flow-control window: bytes that a VM may send before the receiver has consumed them.
constexpr std::int32_t WindowBytes = 1 << 20;
/// Sent bytes are removed from the front of the buffer once there are this many.
constexpr std::size_t CompactThresholdBytes = 64U << 10U;
constexpr std::string_view StreamPath = "/vh/peer";
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view StatusOk = "200";
constexpr std::string_view StatusUnauthorized = "401";

nghttp2_nv makeHeader(std::string_view Name, std::string_view Value) {
  // nghttp2 takes pointers to non-const bytes and copies them.
  return {.name = reinterpret_cast<std::uint8_t *>(const_cast<char *>(Name.data())),
          .value = reinterpret_cast<std::uint8_t *>(const_cast<char *>(Value.data())),
          .namelen = Name.size(),
          .valuelen = Value.size(),
          .flags = NGHTTP2_NV_FLAG_NONE};
}

std::string_view toStringView(const std::uint8_t *Data, std::size_t Size) {
  return {reinterpret_cast<const char *>(Data), Size};
}

void throwOnError(int Code) {
  if (Code != 0) {
    throw std::runtime_error(nghttp2_strerror(Code));
  }
}

} // namespace

struct H2Session::Impl {
  Handlers m_Handlers;
  nghttp2_session *m_Session = nullptr;
  std::int32_t m_Stream = -1;
  StreamState m_State = StreamState::Opening;
  PeerIdentity m_Identity;
  std::string m_Path;
  std::string m_Status;
  std::vector<std::uint8_t> m_Data;
  std::size_t m_DataStart = 0;

  ~Impl() { nghttp2_session_del(m_Session); }

  void open(bool Connecting);
  void openStream(const PeerIdentity &Self);
  void onHeader(std::string_view Name, std::string_view Value);
  int onHeadersEnd(const nghttp2_frame &Frame);
  int onRequest(std::int32_t Stream);
  void setState(StreamState Next);
  ssize_t readData(std::span<std::uint8_t> Out);
  nghttp2_data_provider makeDataProvider();

  static Impl &fromUserData(void *User) { return *static_cast<Impl *>(User); }
  static int headerCallback(nghttp2_session *Session, const nghttp2_frame *Frame,
                            const std::uint8_t *Name, std::size_t NameSize,
                            const std::uint8_t *Value, std::size_t ValueSize, std::uint8_t Flags,
                            void *User);
  static int frameCallback(nghttp2_session *Session, const nghttp2_frame *Frame, void *User);
  static int dataCallback(nghttp2_session *Session, std::uint8_t Flags, std::int32_t Stream,
                          const std::uint8_t *Data, std::size_t Size, void *User);
  static int closeCallback(nghttp2_session *Session, std::int32_t Stream, std::uint32_t Code,
                           void *User);
};

int H2Session::Impl::headerCallback(nghttp2_session *, const nghttp2_frame *,
                                    const std::uint8_t *Name, std::size_t NameSize,
                                    const std::uint8_t *Value, std::size_t ValueSize, std::uint8_t,
                                    void *User) {
  fromUserData(User).onHeader(toStringView(Name, NameSize), toStringView(Value, ValueSize));
  return 0;
}

int H2Session::Impl::frameCallback(nghttp2_session *, const nghttp2_frame *Frame, void *User) {
  Impl &Self = fromUserData(User);
  if (Frame->hd.type == NGHTTP2_HEADERS) {
    return Self.onHeadersEnd(*Frame);
  }
  const bool EndsStream = (Frame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  if (Frame->hd.type == NGHTTP2_DATA && EndsStream && Self.m_State == StreamState::Open) {
    Self.m_State = StreamState::Ended;
  }
  return 0;
}

int H2Session::Impl::dataCallback(nghttp2_session *, std::uint8_t, std::int32_t Stream,
                                  const std::uint8_t *Data, std::size_t Size, void *User) {
  Impl &Self = fromUserData(User);
  if (Stream == Self.m_Stream && Self.m_State == StreamState::Open) {
    Self.m_Handlers.m_OnData({Data, Size});
  }
  return 0;
}

int H2Session::Impl::closeCallback(nghttp2_session *, std::int32_t Stream, std::uint32_t,
                                   void *User) {
  Impl &Self = fromUserData(User);
  if (Stream == Self.m_Stream && Self.m_State != StreamState::Refused) {
    Self.m_State = StreamState::Ended;
  }
  return 0;
}

void H2Session::Impl::open(bool Connecting) {
  nghttp2_session_callbacks *Callbacks = nullptr;
  throwOnError(nghttp2_session_callbacks_new(&Callbacks));
  nghttp2_session_callbacks_set_on_header_callback(Callbacks, headerCallback);
  nghttp2_session_callbacks_set_on_frame_recv_callback(Callbacks, frameCallback);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(Callbacks, dataCallback);
  nghttp2_session_callbacks_set_on_stream_close_callback(Callbacks, closeCallback);
  const int Code = Connecting ? nghttp2_session_client_new(&m_Session, Callbacks, this)
                              : nghttp2_session_server_new(&m_Session, Callbacks, this);
  nghttp2_session_callbacks_del(Callbacks);
  throwOnError(Code);
  const std::array<nghttp2_settings_entry, 2> Settings{
      nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1},
      nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WindowBytes}};
  throwOnError(
      nghttp2_submit_settings(m_Session, NGHTTP2_FLAG_NONE, Settings.data(), Settings.size()));
  throwOnError(nghttp2_session_set_local_window_size(m_Session, NGHTTP2_FLAG_NONE, 0, WindowBytes));
}

void H2Session::Impl::openStream(const PeerIdentity &Self) {
  const std::string Authorization = std::string(BearerPrefix) + Self.m_Token;
  const std::array<nghttp2_nv, 6> Headers{
      makeHeader(":method", "POST"),    makeHeader(":scheme", "http"),
      makeHeader(":path", StreamPath),  makeHeader(":authority", "peer"),
      makeHeader("vh-vm", Self.m_Name), makeHeader("authorization", Authorization)};
  const nghttp2_data_provider Source = makeDataProvider();
  m_Stream =
      nghttp2_submit_request(m_Session, nullptr, Headers.data(), Headers.size(), &Source, nullptr);
  if (m_Stream < 0) {
    throw std::runtime_error(nghttp2_strerror(m_Stream));
  }
}

void H2Session::Impl::onHeader(std::string_view Name, std::string_view Value) {
  if (Name == ":path") {
    m_Path = Value;
  } else if (Name == ":status") {
    m_Status = Value;
  } else if (Name == "vh-vm") {
    m_Identity.m_Name = Value;
  } else if (Name == "authorization" && Value.starts_with(BearerPrefix)) {
    m_Identity.m_Token = Value.substr(BearerPrefix.size());
  }
}

int H2Session::Impl::onHeadersEnd(const nghttp2_frame &Frame) {
  if (Frame.headers.cat == NGHTTP2_HCAT_REQUEST && m_Stream < 0) {
    return onRequest(Frame.hd.stream_id);
  }
  if (Frame.headers.cat == NGHTTP2_HCAT_RESPONSE && Frame.hd.stream_id == m_Stream) {
    setState(m_Status == StatusOk ? StreamState::Open : StreamState::Refused);
  }
  return 0;
}

int H2Session::Impl::onRequest(std::int32_t Stream) {
  m_Stream = Stream;
  const bool Admitted = m_Path == StreamPath && m_Handlers.m_Admit(m_Identity);
  setState(Admitted ? StreamState::Open : StreamState::Refused);
  const std::array<nghttp2_nv, 1> Headers{
      makeHeader(":status", Admitted ? StatusOk : StatusUnauthorized)};
  const nghttp2_data_provider Source = makeDataProvider();
  return nghttp2_submit_response(m_Session, Stream, Headers.data(), Headers.size(),
                                 Admitted ? &Source : nullptr);
}

void H2Session::Impl::setState(StreamState Next) {
  m_State = Next;
  if (Next == StreamState::Open) {
    m_Handlers.m_OnOpen();
  }
}

ssize_t H2Session::Impl::readData(std::span<std::uint8_t> Out) {
  const std::size_t Size = std::min(Out.size(), m_Data.size() - m_DataStart);
  if (Size == 0) {
    return NGHTTP2_ERR_DEFERRED;
  }
  std::copy_n(m_Data.begin() + static_cast<std::ptrdiff_t>(m_DataStart), Size, Out.begin());
  m_DataStart += Size;
  if (m_DataStart == m_Data.size()) {
    m_Data.clear();
    m_DataStart = 0;
  } else if (m_DataStart >= CompactThresholdBytes) {
    m_Data.erase(m_Data.begin(), m_Data.begin() + static_cast<std::ptrdiff_t>(m_DataStart));
    m_DataStart = 0;
  }
  return static_cast<ssize_t>(Size);
}

nghttp2_data_provider H2Session::Impl::makeDataProvider() {
  nghttp2_data_provider Out{};
  Out.source.ptr = this;
  Out.read_callback = [](nghttp2_session *, std::int32_t, std::uint8_t *Buffer, std::size_t Size,
                         std::uint32_t *, nghttp2_data_source *Source, void *) {
    return fromUserData(Source->ptr).readData({Buffer, Size});
  };
  return Out;
}

H2Session H2Session::connecting(const PeerIdentity &Self, Handlers Callbacks) {
  auto Value = std::make_unique<Impl>();
  Value->m_Handlers = std::move(Callbacks);
  Value->open(/*Connecting=*/true);
  Value->openStream(Self);
  return H2Session(std::move(Value));
}

H2Session H2Session::accepting(Handlers Callbacks) {
  auto Value = std::make_unique<Impl>();
  Value->m_Handlers = std::move(Callbacks);
  Value->open(/*Connecting=*/false);
  return H2Session(std::move(Value));
}

H2Session::H2Session(std::unique_ptr<Impl> Value) : m_Impl(std::move(Value)) {}
H2Session::H2Session(H2Session &&) noexcept = default;
H2Session &H2Session::operator=(H2Session &&) noexcept = default;
H2Session::~H2Session() = default;

bool H2Session::receive(std::span<const std::uint8_t> Bytes) {
  const ssize_t Taken = nghttp2_session_mem_recv(m_Impl->m_Session, Bytes.data(), Bytes.size());
  return Taken == static_cast<ssize_t>(Bytes.size());
}

void H2Session::send(std::span<const std::uint8_t> Bytes) {
  m_Impl->m_Data.insert(m_Impl->m_Data.end(), Bytes.begin(), Bytes.end());
  if (m_Impl->m_Stream >= 0) {
    nghttp2_session_resume_data(m_Impl->m_Session, m_Impl->m_Stream);
  }
}

std::size_t H2Session::pendingBytes() const { return m_Impl->m_Data.size() - m_Impl->m_DataStart; }

bool H2Session::collectOutput(std::vector<std::uint8_t> &Out) {
  while (true) {
    const std::uint8_t *Bytes = nullptr;
    const ssize_t Size = nghttp2_session_mem_send(m_Impl->m_Session, &Bytes);
    if (Size <= 0) {
      return Size == 0;
    }
    Out.insert(Out.end(), Bytes, Bytes + Size);
  }
}

StreamState H2Session::state() const { return m_Impl->m_State; }

} // namespace vanillahill::peer
