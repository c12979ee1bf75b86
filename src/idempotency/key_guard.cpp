#include "vanillahill/idempotency/key_guard.hpp"

#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <random>

namespace vanillahill::idempotency {

namespace {

using namespace std::chrono_literals;
using kernel::Outcome;
using kernel::Reason;

/// When a caller should come back whose key could not be settled.
constexpr Duration RetryDelay = 500ms;
/// A longer time between two calls means that this process was paused.
constexpr Duration PauseGap = 1s;
/// tick() is wanted this often while keys are kept, well below PauseGap.
constexpr Duration TickPeriod = 400ms;

void appendAnswer(RequestId Request, Outcome Ended, Reason Why, ReplyPtr Kept,
                  kernel::Actions &Out) {
  const bool Final = Ended == Outcome::Completed || Why == Reason::KeyExpired;
  Out.emplace_back(kernel::Answer{.m_Request = Request,
                                  .m_Outcome = Ended,
                                  .m_Reason = Why,
                                  .m_Reply = std::move(Kept),
                                  .m_RetryAfter = Final ? Duration{} : RetryDelay});
}

/// A refusal before the peers were asked: nothing is known of earlier attempts of a repeat.
Outcome outcomeUnasked(const kernel::KeyAge &Age) {
  return Age.m_First ? Outcome::NotRun : Outcome::Unknown;
}

} // namespace

KeyGuard::KeyGuard(KeyGuardOptions Options) : m_Settings(Options.m_Settings) {
  std::seed_seq Seeds{Options.m_Seed, Options.m_Seed >> 32U, Options.m_Incarnation,
                      Options.m_Incarnation >> 32U};
  std::mt19937_64 Engine(Seeds);
  m_NextQuery = Engine();
}

Duration KeyGuard::retention() const {
  return m_Settings.m_RepeatWindow + 2 * m_Settings.m_TransitLimit;
}

void KeyGuard::advance(TimePoint Now) {
  if (m_LastCall && Now - *m_LastCall <= PauseGap) {
    m_Active += Now - *m_LastCall;
  }
  m_LastCall = Now;
}

bool KeyGuard::keysFull() const { return m_Entries.size() >= m_Settings.m_MaxKeys; }

KeyGuard::Entries::iterator KeyGuard::insert(std::string_view Key) {
  const auto Found = m_Entries.emplace(Key, Entry{}).first;
  keep(Found->second);
  m_Expiries.push_back(Expiry{Found->second.m_KeepUntil, std::string(Key)});
  return Found;
}

void KeyGuard::keep(Entry &Value) const { Value.m_KeepUntil = m_Active + retention(); }

void KeyGuard::forgetOld() {
  while (!m_Expiries.empty() && m_Expiries.front().m_At <= m_Active) {
    Expiry Oldest = std::move(m_Expiries.front());
    m_Expiries.pop_front();
    const auto Found = m_Entries.find(Oldest.m_Key);
    Entry &Value = Found->second;
    const bool InUse = Value.m_Phase == Phase::Asking || Value.m_Phase == Phase::Admitted;
    if (InUse) {
      keep(Value);
    }
    if (Value.m_KeepUntil > m_Active) {
      Oldest.m_At = m_Expiries.empty() ? Value.m_KeepUntil
                                       : std::max(Value.m_KeepUntil, m_Expiries.back().m_At);
      m_Expiries.push_back(std::move(Oldest));
      continue;
    }
    m_AnswerBytes -= Value.m_Reply ? Value.m_Reply->m_Body.size() : 0;
    m_Entries.erase(Found);
  }
}

Reason KeyGuard::refusalOf(const kernel::KeyAge &Age, const membership::View &Members) const {
  if (!Members.m_HasLease) {
    return Reason::NoLease;
  }
  const bool Expired = !Age.m_First && Age.m_Age && *Age.m_Age > m_Settings.m_RepeatWindow;
  return Expired ? Reason::KeyExpired : Reason::None;
}

Verdict KeyGuard::arrived(RequestId Request, std::string_view Key, const kernel::KeyAge &Age,
                          const membership::View &Members, TimePoint Now, kernel::Actions &Out) {
  advance(Now);
  forgetOld();
  if (Key.empty()) {
    const bool Repeat = !Age.m_First && Age.m_Age.has_value();
    if (!Repeat) {
      return Verdict::Run;
    }
    appendAnswer(Request, Outcome::Unknown, Reason::KeyMissing, nullptr, Out);
    return Verdict::Answered;
  }
  const auto Found = m_Entries.find(Key);
  if (Found == m_Entries.end()) {
    return arrivedNew(Request, Key, Age, Members, Now, Out);
  }
  keep(Found->second);
  return arrivedKnown(Found, Request, Age, Members, Now, Out);
}

Verdict KeyGuard::arrivedNew(RequestId Request, std::string_view Key, const kernel::KeyAge &Age,
                             const membership::View &Members, TimePoint Now, kernel::Actions &Out) {
  Reason Refused = refusalOf(Age, Members);
  if (Refused == Reason::None && (keysFull() || m_AnswerBytes >= m_Settings.m_MaxAnswerBytes)) {
    Refused = Reason::KeyTableFull;
  }
  if (Refused != Reason::None) {
    appendAnswer(Request, outcomeUnasked(Age), Refused, nullptr, Out);
    return Verdict::Answered;
  }
  const auto Found = insert(Key);
  // A repeat may have run before this VM could be asked: right after it joined or regained its
  // lease, a first attempt that was long under way is treated as a repeat.
  const bool Settled = Members.m_LeaseSince + m_Settings.m_TransitLimit <= Now;
  if (Age.m_First && Settled) {
    admit(Found, Request);
    return Verdict::Run;
  }
  return startAsk(Found, Request, Age, Members, Now, Out);
}

Verdict KeyGuard::arrivedKnown(Entries::iterator Found, RequestId Request,
                               const kernel::KeyAge &Age, const membership::View &Members,
                               TimePoint Now, kernel::Actions &Out) {
  Entry &Value = Found->second;
  switch (Value.m_Phase) {
  case Phase::Asking:
  case Phase::Admitted:
    Value.m_Joined.push_back(Request);
    m_Requests.emplace(Request, Found->first);
    return Verdict::Wait;
  case Phase::Answered:
    appendAnswer(Request, Outcome::Completed, Reason::None, Value.m_Reply, Out);
    return Verdict::Answered;
  case Phase::Unknown:
    appendAnswer(Request, Outcome::Unknown, Reason::KeyUnknown, nullptr, Out);
    return Verdict::Answered;
  case Phase::Sealed:
    if (Age.m_First) {
      // A repeat went through another VM and may have run there.
      appendAnswer(Request, Outcome::Unknown, Reason::KeySealed, nullptr, Out);
      return Verdict::Answered;
    }
    break;
  case Phase::NotRun:
    break;
  }
  const Reason Refused = refusalOf(Age, Members);
  if (Refused != Reason::None) {
    appendAnswer(Request, Outcome::Unknown, Refused, nullptr, Out);
    return Verdict::Answered;
  }
  return startAsk(Found, Request, Age, Members, Now, Out);
}

bool KeyGuard::ageIsCovered(const kernel::KeyAge &Age, const membership::View &Members,
                            TimePoint Now) const {
  if (Age.m_First) {
    return true;
  }
  const Duration Claimed = Age.m_Age.value_or(m_Settings.m_RepeatWindow);
  return Now - Claimed - m_Settings.m_TransitLimit >= Members.m_KnownSince;
}

Verdict KeyGuard::startAsk(Entries::iterator Found, RequestId Request, const kernel::KeyAge &Age,
                           const membership::View &Members, TimePoint Now, kernel::Actions &Out) {
  Entry &Value = Found->second;
  Value.m_Phase = Phase::Asking;
  Value.m_Owner = Request;
  m_Requests.emplace(Request, Found->first);
  Value.m_Ask = Ask{.m_Query = m_NextQuery++,
                    .m_Asked = {},
                    .m_Pending = {},
                    .m_Blocked = Reason::None,
                    .m_First = Age.m_First,
                    .m_Until = Now + m_Settings.m_QueryTimeout};
  if (!ageIsCovered(Age, Members, Now)) {
    Value.m_Ask.m_Blocked = Reason::KeyUnasked;
  }
  for (const membership::AskTarget &Target : Members.m_MustAsk) {
    Value.m_Ask.m_Asked.push_back(Target.m_Vm);
    if (!Target.m_Reachable) {
      Value.m_Ask.m_Blocked = Reason::KeyUnasked;
      continue;
    }
    Value.m_Ask.m_Pending.push_back(Target);
    Out.emplace_back(
        kernel::SendPeer{Target.m_Vm, peer::KeyQuery{Value.m_Ask.m_Query, Found->first}});
  }
  if (!Value.m_Ask.m_Pending.empty()) {
    m_Asks.emplace(Value.m_Ask.m_Query, Found->first);
    return Verdict::Wait;
  }
  if (Value.m_Ask.m_Blocked == Reason::None) {
    admit(Found, Request);
    return Verdict::Run;
  }
  failAsk(Value, Value.m_Ask.m_Blocked, Out);
  return Verdict::Answered;
}

void KeyGuard::admit(Entries::iterator Found, RequestId Request) {
  Entry &Value = Found->second;
  Value.m_Phase = Phase::Admitted;
  Value.m_Owner = Request;
  m_Requests.emplace(Request, Found->first);
}

void KeyGuard::answerAll(Entry &Value, Outcome Ended, Reason Why, kernel::Actions &Out) {
  for (const RequestId Waiting : Value.m_Joined) {
    appendAnswer(Waiting, Ended, Why, Value.m_Reply, Out);
    m_Requests.erase(Waiting);
  }
  Value.m_Joined.clear();
}

void KeyGuard::failAsk(Entry &Value, Reason Why, kernel::Actions &Out) {
  const bool NotRun = Value.m_Ask.m_First && Why == Reason::KeyUnasked;
  const Outcome Ended = NotRun ? Outcome::NotRun : Outcome::Unknown;
  m_Asks.erase(Value.m_Ask.m_Query);
  Value.m_Ask = Ask{};
  Value.m_Phase = NotRun ? Phase::NotRun : Phase::Sealed;
  appendAnswer(Value.m_Owner, Ended, Why, nullptr, Out);
  m_Requests.erase(Value.m_Owner);
  answerAll(Value, Outcome::Unknown, Why, Out);
}

Reason KeyGuard::mayDispatch(RequestId Request, const membership::View &Members) const {
  const auto Key = m_Requests.find(Request);
  if (Key == m_Requests.end()) {
    return Reason::None;
  }
  const Entry &Value = m_Entries.find(Key->second)->second;
  if (Value.m_Phase != Phase::Admitted || Value.m_Owner != Request) {
    return Reason::KeySealed;
  }
  return Members.m_HasLease ? Reason::None : Reason::NoLease;
}

void KeyGuard::storeReply(Entry &Value, ReplyPtr Kept) {
  m_AnswerBytes -= Value.m_Reply ? Value.m_Reply->m_Body.size() : 0;
  Value.m_Reply = std::move(Kept);
  m_AnswerBytes += Value.m_Reply ? Value.m_Reply->m_Body.size() : 0;
}

void KeyGuard::finished(RequestId Request, Outcome Ended, Reason Why, ReplyPtr Kept, TimePoint Now,
                        kernel::Actions &Out) {
  advance(Now);
  const auto Key = m_Requests.find(Request);
  if (Key == m_Requests.end()) {
    return;
  }
  Entry &Value = m_Entries.find(Key->second)->second;
  if (Value.m_Phase != Phase::Admitted || Value.m_Owner != Request) {
    return;
  }
  m_Requests.erase(Key);
  keep(Value);
  switch (Ended) {
  case Outcome::Completed:
    Value.m_Phase = Phase::Answered;
    storeReply(Value, std::move(Kept));
    break;
  case Outcome::NotRun:
    Value.m_Phase = Phase::NotRun;
    break;
  case Outcome::Unknown:
    Value.m_Phase = Phase::Unknown;
    break;
  }
  answerAll(Value, Ended, Why, Out);
}

bool KeyGuard::callerGone(RequestId Request, TimePoint Now) {
  advance(Now);
  const auto Key = m_Requests.find(Request);
  if (Key == m_Requests.end()) {
    return false;
  }
  Entry &Value = m_Entries.find(Key->second)->second;
  if (Value.m_Owner != Request) {
    std::erase(Value.m_Joined, Request);
    m_Requests.erase(Key);
    return true;
  }
  if (Value.m_Phase != Phase::Asking) {
    return false;
  }
  m_Requests.erase(Key);
  if (!Value.m_Joined.empty()) {
    Value.m_Owner = Value.m_Joined.front();
    Value.m_Joined.erase(Value.m_Joined.begin());
    return true;
  }
  m_Asks.erase(Value.m_Ask.m_Query);
  Value.m_Ask = Ask{};
  Value.m_Phase = Phase::Sealed;
  return true;
}

peer::KeyState KeyGuard::stateForPeer(Entry &Value, VmId From, VmId Self, kernel::Actions &Out) {
  switch (Value.m_Phase) {
  case Phase::Asking:
    // Of two VMs that ask at once, the one with the smaller id goes on.
    if (From < Self) {
      failAsk(Value, Reason::KeySealed, Out);
      return peer::KeyState::SealedBefore;
    }
    return peer::KeyState::Unknown;
  case Phase::Admitted:
  case Phase::Unknown:
    return peer::KeyState::Unknown;
  case Phase::Answered:
    return peer::KeyState::Answered;
  case Phase::NotRun:
    Value.m_Phase = Phase::Sealed;
    return peer::KeyState::NotRun;
  case Phase::Sealed:
    return peer::KeyState::SealedBefore;
  }
  return peer::KeyState::Unknown;
}

void KeyGuard::onQuery(VmId From, const peer::KeyQuery &Query, const membership::View &Members,
                       TimePoint Now, kernel::Actions &Out) {
  advance(Now);
  forgetOld();
  peer::KeyAnswer Answer;
  Answer.m_Query = Query.m_Query;
  Answer.m_Incarnation = Members.m_Incarnation;
  Answer.m_Members.push_back(Members.m_Self);
  for (const membership::AskTarget &Target : Members.m_MustAsk) {
    Answer.m_Members.push_back(Target.m_Vm);
  }
  const auto Found = m_Entries.find(Query.m_Key);
  // Without room a seal could not be kept, so the key counts as unknown.
  if (Found == m_Entries.end() && !keysFull()) {
    insert(Query.m_Key);
    Answer.m_State = peer::KeyState::Sealed;
  } else if (Found != m_Entries.end()) {
    keep(Found->second);
    Answer.m_State = stateForPeer(Found->second, From, Members.m_Self, Out);
    if (Answer.m_State == peer::KeyState::Answered) {
      Answer.m_Reply = Found->second.m_Reply;
    }
  }
  Out.emplace_back(kernel::SendPeer{From, std::move(Answer)});
}

void KeyGuard::applyAnswer(Ask &Value, const membership::AskTarget &Target,
                           const peer::KeyAnswer &Answer, const membership::View &Members) {
  if (Answer.m_State == peer::KeyState::Unknown) {
    Value.m_Blocked = Reason::KeyUnknown;
    return;
  }
  const bool MayHaveRun = Value.m_First && Answer.m_State == peer::KeyState::SealedBefore;
  if (MayHaveRun && Value.m_Blocked != Reason::KeyUnknown) {
    // A repeat of this first attempt has asked before; its VM may have run it and be gone.
    Value.m_Blocked = Reason::KeySealed;
    return;
  }
  const bool SameProcess = Answer.m_Incarnation == Target.m_Incarnation;
  const auto Known = [&](VmId Vm) {
    return Vm == Members.m_Self || std::ranges::binary_search(Value.m_Asked, Vm);
  };
  const auto AskedToo = [&](const membership::AskTarget &Other) { return Known(Other.m_Vm); };
  const bool AllAsked = std::ranges::all_of(Answer.m_Members, Known) &&
                        std::ranges::all_of(Members.m_MustAsk, AskedToo);
  if ((!SameProcess || !AllAsked) && Value.m_Blocked == Reason::None) {
    Value.m_Blocked = Reason::KeyUnasked;
  }
}

std::vector<RequestId> KeyGuard::onAnswer(VmId From, const peer::KeyAnswer &Answer,
                                          const membership::View &Members, TimePoint Now,
                                          kernel::Actions &Out) {
  advance(Now);
  const auto Running = m_Asks.find(Answer.m_Query);
  if (Running == m_Asks.end()) {
    return {};
  }
  const auto Found = m_Entries.find(Running->second);
  Entry &Value = Found->second;
  std::vector<membership::AskTarget> &Pending = Value.m_Ask.m_Pending;
  const auto Target = std::ranges::find(Pending, From, &membership::AskTarget::m_Vm);
  if (Target == Pending.end()) {
    return {};
  }
  if (Answer.m_State == peer::KeyState::Answered) {
    m_Asks.erase(Running);
    Value.m_Ask = Ask{};
    Value.m_Phase = Phase::Answered;
    storeReply(Value, Answer.m_Reply);
    Value.m_Joined.push_back(Value.m_Owner);
    answerAll(Value, Outcome::Completed, Reason::None, Out);
    return {};
  }
  applyAnswer(Value.m_Ask, *Target, Answer, Members);
  Pending.erase(Target);
  if (!Pending.empty()) {
    return {};
  }
  if (Value.m_Ask.m_Blocked != Reason::None) {
    failAsk(Value, Value.m_Ask.m_Blocked, Out);
    return {};
  }
  m_Asks.erase(Value.m_Ask.m_Query);
  Value.m_Ask = Ask{};
  Value.m_Phase = Phase::Admitted;
  return {Value.m_Owner};
}

void KeyGuard::tick(TimePoint Now, kernel::Actions &Out) {
  advance(Now);
  forgetOld();
  std::vector<std::string> Late;
  for (const auto &[Query, Key] : m_Asks) {
    if (m_Entries.find(Key)->second.m_Ask.m_Until <= Now) {
      Late.push_back(Key);
    }
  }
  for (const std::string &Key : Late) {
    Entry &Value = m_Entries.find(Key)->second;
    const Reason Blocked = Value.m_Ask.m_Blocked;
    failAsk(Value, Blocked == Reason::None ? Reason::KeyUnasked : Blocked, Out);
  }
}

TimePoint KeyGuard::nextTimer() const {
  if (m_Entries.empty()) {
    return TimePoint::max();
  }
  TimePoint Next = m_LastCall.value_or(TimePoint{}) + TickPeriod;
  for (const auto &[Query, Key] : m_Asks) {
    Next = std::min(Next, m_Entries.find(Key)->second.m_Ask.m_Until);
  }
  return Next;
}

std::string KeyGuard::describe(std::string_view Key) const {
  const auto Found = m_Entries.find(Key);
  if (Found == m_Entries.end()) {
    return "none";
  }
  constexpr std::array<std::string_view, 6> Names = {"asking",  "admitted", "sealed",
                                                     "not-run", "answered", "unknown"};
  const Entry &Value = Found->second;
  std::string Text = fmt::format("{} owner {}", Names.at(static_cast<std::size_t>(Value.m_Phase)),
                                 raw(Value.m_Owner));
  for (const RequestId Waiting : Value.m_Joined) {
    Text += fmt::format(" joined {}", raw(Waiting));
  }
  for (const membership::AskTarget &Target : Value.m_Ask.m_Pending) {
    Text += fmt::format(" pending {}/{}", raw(Target.m_Vm), Target.m_Incarnation);
  }
  return Text + fmt::format(" query {} blocked {} until {}", Value.m_Ask.m_Query,
                            kernel::toString(Value.m_Ask.m_Blocked),
                            Value.m_Ask.m_Until.time_since_epoch().count());
}

} // namespace vanillahill::idempotency
