#include "vanillahill/net/detail/caller_request.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <random>

namespace vanillahill::net {

namespace {

constexpr std::size_t MaxKeyBytes = 64;
/// Limit on the random begin of a route's sequence of shares.
constexpr std::uint64_t MaxFirstCount = 1U << 20U;
constexpr char FirstVisible = 0x21;
constexpr char LastVisible = 0x7e;

constexpr std::string_view KeyHeader = "Idempotency-Key";
constexpr std::string_view KeyFirstHeader = "Idempotency-First";
constexpr std::string_view KeyAgeHeader = "Idempotency-Age-Ms";

std::string_view toStdView(beast::string_view Text) { return {Text.data(), Text.size()}; }

bool isValidKey(std::string_view Text) {
  return !Text.empty() && Text.size() <= MaxKeyBytes &&
         std::all_of(Text.begin(), Text.end(),
                     [](char Byte) { return Byte >= FirstVisible && Byte <= LastVisible; });
}

bool readKey(const HttpRequest &Message, CallerRequest &Out) {
  if (Message.count(KeyHeader) == 0) {
    return true;
  }
  const auto Key = toStdView(Message[KeyHeader]);
  Out.m_Key = std::string(Key);
  return Message.count(KeyHeader) == 1 && isValidKey(Key);
}

bool readFirstFlag(const HttpRequest &Message, CallerRequest &Out) {
  if (Message.count(KeyFirstHeader) == 0) {
    return true;
  }
  const auto Value = toStdView(Message[KeyFirstHeader]);
  Out.m_KeyAge.m_First = Value == "true";
  return Message.count(KeyFirstHeader) == 1 && (Value == "true" || Value == "false");
}

bool readKeyAge(const HttpRequest &Message, CallerRequest &Out) {
  if (Message.count(KeyAgeHeader) == 0) {
    return true;
  }
  const auto Value = toStdView(Message[KeyAgeHeader]);
  std::uint32_t Millis = 0;
  const auto *End = Value.data() + Value.size();
  const auto Parsed = std::from_chars(Value.data(), End, Millis);
  Out.m_KeyAge.m_Age = std::chrono::milliseconds(Millis);
  return Message.count(KeyAgeHeader) == 1 && Parsed.ec == std::errc{} && Parsed.ptr == End;
}

/// The "service/kind" part of a target.
std::string_view routeName(std::string_view Target) {
  if (Target.empty() || Target.front() != '/') {
    return {};
  }
  const auto Path = Target.substr(1, Target.find('?') - 1);
  const auto FirstSlash = Path.find('/');
  if (FirstSlash == std::string_view::npos) {
    return {};
  }
  return Path.substr(0, Path.find('/', FirstSlash + 1));
}

} // namespace

RouteTable::RouteTable(const SiteSettings &Settings, std::uint64_t Seed)
    : m_ListedRoutes(Settings.m_Routes), m_ListedTenants(Settings.m_Tenants) {
  for (std::size_t Index = 0; Index < m_ListedTenants.size(); ++Index) {
    for (const KeyDigest &Key : m_ListedTenants[Index].m_Keys) {
      m_Tenants.emplace(Key, Index);
    }
  }
  for (const auto &Service : Settings.m_Services) {
    m_ListedServices.push_back(
        {.m_Id = Service.m_Id, .m_Name = Service.m_Name, .m_Kinds = Service.m_Kinds});
    for (const auto &Kind : Service.m_Kinds) {
      auto Name = Service.m_Name + "/" + Kind.m_Name;
      const auto Id = idOf<KindId>(Name);
      m_Routes[Id] = {Service.m_Id, Kind.m_Id, std::move(Name)};
    }
  }
  std::mt19937_64 Random(Seed);
  for (const RouteSettings &Listed : Settings.m_Routes) {
    auto Added = std::make_unique<HostRoute>();
    Added->m_ChosenCount = Random() % MaxFirstCount;
    Added->m_Settings = Listed;
    for (const RouteShare &Share : Listed.m_Shares) {
      Added->m_WeightSum += Share.m_Weight;
    }
    m_Hosts[Listed.m_Host].push_back(std::move(Added));
  }
  for (auto &[Host, Routes] : m_Hosts) {
    std::stable_sort(Routes.begin(), Routes.end(), [](const auto &Left, const auto &Right) {
      return Left->m_Settings.m_PathPrefix.size() > Right->m_Settings.m_PathPrefix.size();
    });
  }
}

bool RouteTable::isMadeOf(const SiteSettings &Settings) const {
  return m_ListedRoutes.sharesWith(Settings.m_Routes) &&
         m_ListedTenants.sharesWith(Settings.m_Tenants) &&
         std::equal(m_ListedServices.begin(), m_ListedServices.end(), Settings.m_Services.begin(),
                    Settings.m_Services.end(), [](const auto &Left, const auto &Right) {
                      return Left.m_Id == Right.m_Id && Left.m_Name == Right.m_Name &&
                             Left.m_Kinds.sharesWith(Right.m_Kinds);
                    });
}

RouteTable::Match RouteTable::match(std::string_view Host, std::string_view Path) const {
  const auto Found = m_Hosts.find(std::string(Host));
  if (Found == m_Hosts.end()) {
    return {};
  }
  for (const auto &Listed : Found->second) {
    if (Path.starts_with(Listed->m_Settings.m_PathPrefix)) {
      return {.m_Share = &chooseShare(*Listed), .m_IsPublic = Listed->m_Settings.m_IsPublic};
    }
  }
  return {};
}

const TenantSettings *RouteTable::findTenant(const KeyDigest &Key) const {
  const auto Found = m_Tenants.find(Key);
  return Found == m_Tenants.end() ? nullptr : &m_ListedTenants[Found->second];
}

const RouteShare &RouteTable::chooseShare(const HostRoute &Chosen) {
  const auto &Shares = Chosen.m_Settings.m_Shares;
  // The fractional parts of multiples of the golden ratio are spread evenly over the unit interval,
  // for any number of them.
  constexpr double GoldenRatio = 0.6180339887498949;
  const auto Count = Chosen.m_ChosenCount.fetch_add(1, std::memory_order_relaxed);
  double IntegerPart = 0.0;
  double Position =
      std::modf(static_cast<double>(Count) * GoldenRatio, &IntegerPart) * Chosen.m_WeightSum;
  for (const RouteShare &Share : Shares) {
    if (Position < Share.m_Weight) {
      return Share;
    }
    Position -= Share.m_Weight;
  }
  return Shares.back();
}

const RouteTable::Route *RouteTable::find(std::string_view Target) const {
  const auto Name = routeName(Target);
  const auto Found = m_Routes.find(idOf<KindId>(Name));
  // Ids are hashes: another path can have the id of a known kind, so the names are compared.
  return Found != m_Routes.end() && Found->second.m_Name == Name ? &Found->second : nullptr;
}

void removeConnectionHeaders(http::fields &Headers) {
  std::vector<std::string> Named;
  for (const auto &Token : http::token_list(Headers[http::field::connection])) {
    Named.emplace_back(Token);
  }
  for (const auto &Name : Named) {
    Headers.erase(Name);
  }
  for (const auto Name :
       {http::field::connection, http::field::keep_alive, http::field::proxy_connection,
        http::field::proxy_authenticate, http::field::proxy_authorization, http::field::te,
        http::field::trailer, http::field::transfer_encoding, http::field::upgrade,
        http::field::expect, http::field::content_length}) {
    Headers.erase(Name);
  }
  for (const auto *Name : {"VH-Deadline-Ms", "VH-Exchange", "VH-Vm"}) {
    Headers.erase(Name);
  }
}

ParsedRequest parseCallerRequest(HttpRequest Message, const RouteTable *Routes,
                                 const RequestOrigin & /*Origin*/) {
  if (Message.method() != http::verb::get && Message.method() != http::verb::post) {
    return {nullptr, CallerFault::Method};
  }
  if (Routes == nullptr) {
    return {nullptr, CallerFault::NotServing};
  }
  const auto *Route = Routes->find(toStdView(Message.target()));
  if (Route == nullptr) {
    return {nullptr, CallerFault::UnknownKind};
  }
  auto Request = std::make_shared<CallerRequest>();
  Request->m_Service = Route->m_Service;
  Request->m_Kind = Route->m_Kind;
  if (!readKey(Message, *Request) || !readFirstFlag(Message, *Request) ||
      !readKeyAge(Message, *Request)) {
    return {nullptr, CallerFault::BadKey};
  }
  removeConnectionHeaders(Message.base());
  Message.version(11);
  Message.prepare_payload();
  Request->m_Message = std::move(Message);
  return {std::move(Request), CallerFault::None};
}

} // namespace vanillahill::net
