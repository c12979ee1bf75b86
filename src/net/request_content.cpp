#include "vanillahill/net/detail/request_content.hpp"

#include <sodium.h>
#include <xxhash.h>

namespace vanillahill::net {

namespace {

std::string_view toStdView(beast::string_view Text) { return {Text.data(), Text.size()}; }

/// Digests a sequence of texts. Their lengths count, so that no two sequences are confused.
class ContentDigest {
public:
  ContentDigest() { crypto_generichash_init(&m_State, nullptr, 0, Bytes); }

  void add(std::string_view Text) {
    const std::uint64_t Length = Text.size();
    update(&Length, sizeof(Length));
    update(Text.data(), Text.size());
  }

  std::array<std::uint64_t, 2> finish() {
    std::array<std::uint64_t, 2> Digest{};
    crypto_generichash_final(&m_State, reinterpret_cast<unsigned char *>(Digest.data()), Bytes);
    return Digest;
  }

private:
  static constexpr std::size_t Bytes = crypto_generichash_BYTES_MIN;
  static_assert(Bytes == sizeof(std::array<std::uint64_t, 2>));

  void update(const void *Data, std::size_t Size) {
    crypto_generichash_update(&m_State, static_cast<const unsigned char *>(Data), Size);
  }

  crypto_generichash_state m_State{};
};

} // namespace

std::uint64_t contentHash(const HttpRequest &Message) {
  const auto Host = Message[http::field::host];
  const auto Target = Message.target();
  std::uint64_t Hash = XXH3_64bits_withSeed(Host.data(), Host.size(), Message.body().size());
  Hash = XXH3_64bits_withSeed(Target.data(), Target.size(), Hash);
  const auto Method = Message.method_string();
  return XXH3_64bits_withSeed(Method.data(), Method.size(), Hash);
}

RequestContent contentOf(const HttpRequest &Message, std::string_view Tenant) {
  ContentDigest Digest;
  Digest.add(toStdView(Message.method_string()));
  Digest.add(toStdView(Message.target()));
  for (const auto Name : {http::field::host, http::field::authorization, http::field::cookie}) {
    Digest.add(toStdView(Message[Name]));
  }
  Digest.add(Message.body());
  // Without a tenant the digest is the one that earlier versions make.
  if (!Tenant.empty()) {
    Digest.add(Tenant);
  }
  return {.m_Hash = contentHash(Message), .m_Digest = Digest.finish()};
}

} // namespace vanillahill::net
