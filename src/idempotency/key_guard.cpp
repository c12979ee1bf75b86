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

/// Retry delay sent to a caller whose answer is not final.
constexpr Duration RetryDelay = 500ms;
/// A longer time between two calls is taken as a pause of this process.
constexpr Duration PauseThreshold = 1s;
/// tick() is due this often while keys are kept, well below PauseThreshold.
constexpr Duration TickPeriod = 400ms;

void appendAnswer(RequestId Request, Outcome Ended, Reason Why, ReplyPtr KeptReply,
                  kernel::Actions &Out) {
  const bool Final = Ended == Outcome::Completed || Why == Reason::KeyExpired;
  Out.emplace_back(kernel::Answer{.m_Request = Request,
                                  .m_Outcome = Ended,
                                  .m_Reason = Why,
                                  .m_Reply = std::move(KeptReply),
                                  .m_RetryAfter = Final ? Duration{} : RetryDelay});
}

/// Outcome of a request refused before its peers were queried: an earlier attempt of a repeat may
/// have run.
Outcome outcomeBeforeQuery(const kernel::KeyAge &Age) {
  return Age.m_First ? Outcome::NotRun : Outcome::Unknown;
}

} // namespace

KeyGuard::KeyGuard(KeyGuardOptions Options) : m_Settings(Options.m_Settings) {
  std::seed_seq Seeds{Options.m_Seed, Options.m_Seed >> 32U, Options.m_Incarnation,
                      Options.m_Incarnation >> 32U};
  std::mt19937_64 Engine(Seeds);
  m_NextQueryNumber = Engine();
}

Duration KeyGuard::retention() const {
  return m_Settings.m_RepeatWindow + 2 * m_Settings.m_TransitLimit;
}

void KeyGuard::advanceActiveTime(TimePoint Now) {
  if (m_LastCall && Now - *m_LastCall <= PauseThreshold) {
    m_ActiveTime += Now - *m_LastCall;
  }
  m_LastCall = Now;
}

bool KeyGuard::isKeyTableFull() const { return m_Entries.size() >= m_Settings.m_MaxKeys; }

KeyGuard::Entries::iterator KeyGuard::insertKey(std::string_view Key) {
  const auto Found = m_Entries.emplace(Key, Entry{}).first;
  extendRetention(Found->second);
  m_Expiries.push_back(Expiry{Found->second.m_KeepUntil, std::string(Key)});
  return Found;
}

void KeyGuard::extendRetention(Entry &KeyEntry) const {
  KeyEntry.m_KeepUntil = m_ActiveTime + retention();
}

void KeyGuard::removeExpiredKeys() {
  while (!m_Expiries.empty() && m_Expiries.front().m_At <= m_ActiveTime) {
    Expiry Oldest = std::move(m_Expiries.front());
    m_Expiries.pop_front();
    const auto Found = m_Entries.find(Oldest.m_Key);
    Entry &KeyEntry = Found->second;
    const bool InUse = KeyEntry.m_Phase == Phase::Querying || KeyEntry.m_Phase == Phase::Admitted;
    if (InUse) {
      extendRetention(KeyEntry);
    }
    if (KeyEntry.m_KeepUntil > m_ActiveTime) {
      Oldest.m_At = m_Expiries.empty() ? KeyEntry.m_KeepUntil
                                       : std::max(KeyEntry.m_KeepUntil, m_Expiries.back().m_At);
      m_Expiries.push_back(std::move(Oldest));
      continue;
    }
    m_AnswerBytes -= KeyEntry.m_Reply ? KeyEntry.m_Reply->m_Body.size() : 0;
    m_Entries.erase(Found);
  }
}

Reason KeyGuard::refusalReason(const kernel::KeyAge &Age, const membership::View &Members) const {
  if (!Members.m_HasLease) {
    return Reason::NoLease;
  }
  const bool Expired = !Age.m_First && Age.m_Age && *Age.m_Age > m_Settings.m_RepeatWindow;
  return Expired ? Reason::KeyExpired : Reason::None;
}

Verdict KeyGuard::arrived(RequestId Request, std::string_view Key, const kernel::KeyAge &Age,
                          const membership::View &Members, TimePoint Now, kernel::Actions &Out) {
  advanceActiveTime(Now);
  removeExpiredKeys();
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
    return decideOnNewKey(Request, Key, Age, Members, Now, Out);
  }
  extendRetention(Found->second);
  return decideOnKnownKey(Found, Request, Age, Members, Now, Out);
}

Verdict KeyGuard::decideOnNewKey(RequestId Request, std::string_view Key, const kernel::KeyAge &Age,
                                 const membership::View &Members, TimePoint Now,
                                 kernel::Actions &Out) {
  Reason Refused = refusalReason(Age, Members);
  if (Refused == Reason::None &&
      (isKeyTableFull() || m_AnswerBytes >= m_Settings.m_MaxAnswerBytes)) {
    Refused = Reason::KeyTableFull;
  }
  if (Refused != Reason::None) {
    appendAnswer(Request, outcomeBeforeQuery(Age), Refused, nullptr, Out);
    return Verdict::Answered;
  }
  const auto Found = insertKey(Key);
  // Right after this VM joined or regained its lease, a first attempt may have been under way for
  // long, and its repeat may have run before this VM could be queried. It is treated as a repeat.
  const bool LeaseIsOldEnough = Members.m_LeaseSince + m_Settings.m_TransitLimit <= Now;
  if (Age.m_First && LeaseIsOldEnough) {
    admitRequest(Found, Request);
    return Verdict::Run;
  }
  return startQuery(Found, Request, Age, Members, Now, Out);
}

Verdict KeyGuard::decideOnKnownKey(Entries::iterator Found, RequestId Request,
                                   const kernel::KeyAge &Age, const membership::View &Members,
                                   TimePoint Now, kernel::Actions &Out) {
  Entry &KeyEntry = Found->second;
  switch (KeyEntry.m_Phase) {
  case Phase::Querying:
  case Phase::Admitted:
    KeyEntry.m_Waiting.push_back(Request);
    m_KeysByRequest.emplace(Request, Found->first);
    return Verdict::Wait;
  case Phase::Answered:
    appendAnswer(Request, Outcome::Completed, Reason::None, KeyEntry.m_Reply, Out);
    return Verdict::Answered;
  case Phase::Unknown:
    appendAnswer(Request, Outcome::Unknown, Reason::KeyUnknown, nullptr, Out);
    return Verdict::Answered;
  case Phase::Sealed:
    if (Age.m_First) {
      // A repeat arrived at another VM and may have run there.
      appendAnswer(Request, Outcome::Unknown, Reason::KeySealed, nullptr, Out);
      return Verdict::Answered;
    }
    break;
  case Phase::NotRun:
    break;
  }
  const Reason Refused = refusalReason(Age, Members);
  if (Refused != Reason::None) {
    appendAnswer(Request, Outcome::Unknown, Refused, nullptr, Out);
    return Verdict::Answered;
  }
  return startQuery(Found, Request, Age, Members, Now, Out);
}

bool KeyGuard::isAgeCoveredByMembership(const kernel::KeyAge &Age, const membership::View &Members,
                                        TimePoint Now) const {
  if (Age.m_First) {
    return true;
  }
  const Duration Claimed = Age.m_Age.value_or(m_Settings.m_RepeatWindow);
  return Now - Claimed - m_Settings.m_TransitLimit >= Members.m_KnownSince;
}

Verdict KeyGuard::startQuery(Entries::iterator Found, RequestId Request, const kernel::KeyAge &Age,
                             const membership::View &Members, TimePoint Now, kernel::Actions &Out) {
  Entry &KeyEntry = Found->second;
  KeyEntry.m_Phase = Phase::Querying;
  KeyEntry.m_Owner = Request;
  m_KeysByRequest.emplace(Request, Found->first);
  KeyEntry.m_PeerQuery = PeerQuery{.m_Number = m_NextQueryNumber++,
                                   .m_TargetVms = {},
                                   .m_Pending = {},
                                   .m_RefusalReason = Reason::None,
                                   .m_IsFirstAttempt = Age.m_First,
                                   .m_Deadline = Now + m_Settings.m_QueryTimeout};
  if (!isAgeCoveredByMembership(Age, Members, Now)) {
    KeyEntry.m_PeerQuery.m_RefusalReason = Reason::KeyUnasked;
  }
  for (const membership::AskTarget &Target : Members.m_MustAsk) {
    KeyEntry.m_PeerQuery.m_TargetVms.push_back(Target.m_Vm);
    if (!Target.m_Reachable) {
      KeyEntry.m_PeerQuery.m_RefusalReason = Reason::KeyUnasked;
      continue;
    }
    KeyEntry.m_PeerQuery.m_Pending.push_back(Target);
    Out.emplace_back(
        kernel::SendPeer{Target.m_Vm, peer::KeyQuery{KeyEntry.m_PeerQuery.m_Number, Found->first}});
  }
  if (!KeyEntry.m_PeerQuery.m_Pending.empty()) {
    m_KeysByQuery.emplace(KeyEntry.m_PeerQuery.m_Number, Found->first);
    return Verdict::Wait;
  }
  if (KeyEntry.m_PeerQuery.m_RefusalReason == Reason::None) {
    admitRequest(Found, Request);
    return Verdict::Run;
  }
  failQuery(KeyEntry, KeyEntry.m_PeerQuery.m_RefusalReason, Out);
  return Verdict::Answered;
}

void KeyGuard::admitRequest(Entries::iterator Found, RequestId Request) {
  Entry &KeyEntry = Found->second;
  KeyEntry.m_Phase = Phase::Admitted;
  KeyEntry.m_Owner = Request;
  m_KeysByRequest.emplace(Request, Found->first);
}

void KeyGuard::answerWaiting(Entry &KeyEntry, Outcome Ended, Reason Why, kernel::Actions &Out) {
  for (const RequestId Waiting : KeyEntry.m_Waiting) {
    appendAnswer(Waiting, Ended, Why, KeyEntry.m_Reply, Out);
    m_KeysByRequest.erase(Waiting);
  }
  KeyEntry.m_Waiting.clear();
}

void KeyGuard::failQuery(Entry &KeyEntry, Reason Why, kernel::Actions &Out) {
  const bool NotRun = KeyEntry.m_PeerQuery.m_IsFirstAttempt && Why == Reason::KeyUnasked;
  const Outcome Ended = NotRun ? Outcome::NotRun : Outcome::Unknown;
  m_KeysByQuery.erase(KeyEntry.m_PeerQuery.m_Number);
  KeyEntry.m_PeerQuery = PeerQuery{};
  KeyEntry.m_Phase = NotRun ? Phase::NotRun : Phase::Sealed;
  appendAnswer(KeyEntry.m_Owner, Ended, Why, nullptr, Out);
  m_KeysByRequest.erase(KeyEntry.m_Owner);
  answerWaiting(KeyEntry, Outcome::Unknown, Why, Out);
}

Reason KeyGuard::mayDispatch(RequestId Request, const membership::View &Members) const {
  const auto Key = m_KeysByRequest.find(Request);
  if (Key == m_KeysByRequest.end()) {
    return Reason::None;
  }
  const Entry &KeyEntry = m_Entries.find(Key->second)->second;
  if (KeyEntry.m_Phase != Phase::Admitted || KeyEntry.m_Owner != Request) {
    return Reason::KeySealed;
  }
  return Members.m_HasLease ? Reason::None : Reason::NoLease;
}

void KeyGuard::storeReply(Entry &KeyEntry, ReplyPtr KeptReply) {
  m_AnswerBytes -= KeyEntry.m_Reply ? KeyEntry.m_Reply->m_Body.size() : 0;
  KeyEntry.m_Reply = std::move(KeptReply);
  m_AnswerBytes += KeyEntry.m_Reply ? KeyEntry.m_Reply->m_Body.size() : 0;
}

void KeyGuard::finished(RequestId Request, Outcome Ended, Reason Why, ReplyPtr KeptReply,
                        TimePoint Now, kernel::Actions &Out) {
  advanceActiveTime(Now);
  const auto Key = m_KeysByRequest.find(Request);
  if (Key == m_KeysByRequest.end()) {
    return;
  }
  Entry &KeyEntry = m_Entries.find(Key->second)->second;
  if (KeyEntry.m_Phase != Phase::Admitted || KeyEntry.m_Owner != Request) {
    return;
  }
  m_KeysByRequest.erase(Key);
  extendRetention(KeyEntry);
  switch (Ended) {
  case Outcome::Completed:
    KeyEntry.m_Phase = Phase::Answered;
    storeReply(KeyEntry, std::move(KeptReply));
    break;
  case Outcome::NotRun:
    KeyEntry.m_Phase = Phase::NotRun;
    break;
  case Outcome::Unknown:
    KeyEntry.m_Phase = Phase::Unknown;
    break;
  }
  answerWaiting(KeyEntry, Ended, Why, Out);
}

bool KeyGuard::callerGone(RequestId Request, TimePoint Now) {
  advanceActiveTime(Now);
  const auto Key = m_KeysByRequest.find(Request);
  if (Key == m_KeysByRequest.end()) {
    return false;
  }
  Entry &KeyEntry = m_Entries.find(Key->second)->second;
  if (KeyEntry.m_Owner != Request) {
    std::erase(KeyEntry.m_Waiting, Request);
    m_KeysByRequest.erase(Key);
    return true;
  }
  if (KeyEntry.m_Phase != Phase::Querying) {
    return false;
  }
  m_KeysByRequest.erase(Key);
  if (!KeyEntry.m_Waiting.empty()) {
    KeyEntry.m_Owner = KeyEntry.m_Waiting.front();
    KeyEntry.m_Waiting.erase(KeyEntry.m_Waiting.begin());
    return true;
  }
  m_KeysByQuery.erase(KeyEntry.m_PeerQuery.m_Number);
  KeyEntry.m_PeerQuery = PeerQuery{};
  KeyEntry.m_Phase = Phase::Sealed;
  return true;
}

peer::KeyState KeyGuard::stateForPeer(Entry &KeyEntry, VmId From, VmId Self, kernel::Actions &Out) {
  switch (KeyEntry.m_Phase) {
  case Phase::Querying:
    // Of two VMs that query each other concurrently, the one with the smaller id continues.
    if (From < Self) {
      failQuery(KeyEntry, Reason::KeySealed, Out);
      return peer::KeyState::SealedBefore;
    }
    return peer::KeyState::Unknown;
  case Phase::Admitted:
  case Phase::Unknown:
    return peer::KeyState::Unknown;
  case Phase::Answered:
    return peer::KeyState::Answered;
  case Phase::NotRun:
    KeyEntry.m_Phase = Phase::Sealed;
    return peer::KeyState::NotRun;
  case Phase::Sealed:
    return peer::KeyState::SealedBefore;
  }
  return peer::KeyState::Unknown;
}

void KeyGuard::onQuery(VmId From, const peer::KeyQuery &Query, const membership::View &Members,
                       TimePoint Now, kernel::Actions &Out) {
  advanceActiveTime(Now);
  removeExpiredKeys();
  peer::KeyAnswer Answer;
  Answer.m_Query = Query.m_Query;
  Answer.m_Incarnation = Members.m_Incarnation;
  Answer.m_Members.push_back(Members.m_Self);
  for (const membership::AskTarget &Target : Members.m_MustAsk) {
    Answer.m_Members.push_back(Target.m_Vm);
  }
  const auto Found = m_Entries.find(Query.m_Key);
  // With a full table the seal could not be kept, so the key is answered as unknown.
  if (Found == m_Entries.end() && !isKeyTableFull()) {
    insertKey(Query.m_Key);
    Answer.m_State = peer::KeyState::Sealed;
  } else if (Found != m_Entries.end()) {
    extendRetention(Found->second);
    Answer.m_State = stateForPeer(Found->second, From, Members.m_Self, Out);
    if (Answer.m_State == peer::KeyState::Answered) {
      Answer.m_Reply = Found->second.m_Reply;
    }
  }
  Out.emplace_back(kernel::SendPeer{From, std::move(Answer)});
}

void KeyGuard::applyPeerAnswer(PeerQuery &Query, const membership::AskTarget &Target,
                               const peer::KeyAnswer &Answer, const membership::View &Members) {
  if (Answer.m_State == peer::KeyState::Unknown) {
    Query.m_RefusalReason = Reason::KeyUnknown;
    return;
  }
  const bool MayHaveRun = Query.m_IsFirstAttempt && Answer.m_State == peer::KeyState::SealedBefore;
  if (MayHaveRun && Query.m_RefusalReason != Reason::KeyUnknown) {
    // The key was sealed for a repeat of this first attempt; the VM of that repeat may have run it
    // and left since.
    Query.m_RefusalReason = Reason::KeySealed;
    return;
  }
  const bool SameProcess = Answer.m_Incarnation == Target.m_Incarnation;
  const auto IsSelfOrTarget = [&](VmId Vm) {
    return Vm == Members.m_Self || std::ranges::binary_search(Query.m_TargetVms, Vm);
  };
  const auto WasTarget = [&](const membership::AskTarget &Other) {
    return IsSelfOrTarget(Other.m_Vm);
  };
  const bool NoVmMissed = std::ranges::all_of(Answer.m_Members, IsSelfOrTarget) &&
                          std::ranges::all_of(Members.m_MustAsk, WasTarget);
  if ((!SameProcess || !NoVmMissed) && Query.m_RefusalReason == Reason::None) {
    Query.m_RefusalReason = Reason::KeyUnasked;
  }
}

std::vector<RequestId> KeyGuard::onAnswer(VmId From, const peer::KeyAnswer &Answer,
                                          const membership::View &Members, TimePoint Now,
                                          kernel::Actions &Out) {
  advanceActiveTime(Now);
  const auto Running = m_KeysByQuery.find(Answer.m_Query);
  if (Running == m_KeysByQuery.end()) {
    return {};
  }
  const auto Found = m_Entries.find(Running->second);
  Entry &KeyEntry = Found->second;
  std::vector<membership::AskTarget> &Pending = KeyEntry.m_PeerQuery.m_Pending;
  const auto Target = std::ranges::find(Pending, From, &membership::AskTarget::m_Vm);
  if (Target == Pending.end()) {
    return {};
  }
  if (Answer.m_State == peer::KeyState::Answered) {
    m_KeysByQuery.erase(Running);
    KeyEntry.m_PeerQuery = PeerQuery{};
    KeyEntry.m_Phase = Phase::Answered;
    storeReply(KeyEntry, Answer.m_Reply);
    KeyEntry.m_Waiting.push_back(KeyEntry.m_Owner);
    answerWaiting(KeyEntry, Outcome::Completed, Reason::None, Out);
    return {};
  }
  applyPeerAnswer(KeyEntry.m_PeerQuery, *Target, Answer, Members);
  Pending.erase(Target);
  if (!Pending.empty()) {
    return {};
  }
  if (KeyEntry.m_PeerQuery.m_RefusalReason != Reason::None) {
    failQuery(KeyEntry, KeyEntry.m_PeerQuery.m_RefusalReason, Out);
    return {};
  }
  m_KeysByQuery.erase(KeyEntry.m_PeerQuery.m_Number);
  KeyEntry.m_PeerQuery = PeerQuery{};
  KeyEntry.m_Phase = Phase::Admitted;
  return {KeyEntry.m_Owner};
}

void KeyGuard::tick(TimePoint Now, kernel::Actions &Out) {
  advanceActiveTime(Now);
  removeExpiredKeys();
  std::vector<std::string> TimedOut;
  for (const auto &[Query, Key] : m_KeysByQuery) {
    if (m_Entries.find(Key)->second.m_PeerQuery.m_Deadline <= Now) {
      TimedOut.push_back(Key);
    }
  }
  for (const std::string &Key : TimedOut) {
    Entry &KeyEntry = m_Entries.find(Key)->second;
    const Reason Refused = KeyEntry.m_PeerQuery.m_RefusalReason;
    failQuery(KeyEntry, Refused == Reason::None ? Reason::KeyUnasked : Refused, Out);
  }
}

TimePoint KeyGuard::nextTimer() const {
  if (m_Entries.empty()) {
    return TimePoint::max();
  }
  TimePoint Next = m_LastCall.value_or(TimePoint{}) + TickPeriod;
  for (const auto &[Query, Key] : m_KeysByQuery) {
    Next = std::min(Next, m_Entries.find(Key)->second.m_PeerQuery.m_Deadline);
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
  const Entry &KeyEntry = Found->second;
  std::string Text = fmt::format(
      "{} owner {}", Names.at(static_cast<std::size_t>(KeyEntry.m_Phase)), raw(KeyEntry.m_Owner));
  for (const RequestId Waiting : KeyEntry.m_Waiting) {
    Text += fmt::format(" joined {}", raw(Waiting));
  }
  for (const membership::AskTarget &Target : KeyEntry.m_PeerQuery.m_Pending) {
    Text += fmt::format(" pending {}/{}", raw(Target.m_Vm), Target.m_Incarnation);
  }
  return Text + fmt::format(" query {} blocked {} until {}", KeyEntry.m_PeerQuery.m_Number,
                            kernel::toString(KeyEntry.m_PeerQuery.m_RefusalReason),
                            KeyEntry.m_PeerQuery.m_Deadline.time_since_epoch().count());
}

} // namespace vanillahill::idempotency
