/// \file
/// Runs the request of an idempotency key at most once, also when repeats arrive at other VMs.
///
/// A known first attempt runs at once on the VM that it reached. For any other attempt, that VM
/// queries every VM that may have accepted the key. A queried VM that has not seen the key seals
/// it: it will refuse a first attempt that arrives late. The repeat runs only when every queried VM
/// has answered that the key did not run there. docs/design/at-most-once.md gives the rules and
/// their proof.
#pragma once

#include "vanillahill/kernel/events.hpp"
#include "vanillahill/membership/members.hpp"
#include "vanillahill/settings/settings.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace vanillahill::idempotency {

/// What to do with an arrived request.
enum class Verdict : std::uint8_t {
  /// Queue and dispatch it, and call finished() when it has ended.
  Run,
  /// Peers are being queried, or the request waits for the running attempt of the same key.
  /// Later onAnswer() returns it as runnable, or its Answer is appended.
  Wait,
  /// Its final Answer was appended.
  Answered,
};

/// Construction options of a KeyGuard.
struct KeyGuardOptions {
  IdempotencySettings m_Settings;
  std::uint64_t m_Incarnation = 1;
  /// Makes the query numbers differ between VMs and between process starts.
  std::uint64_t m_Seed = 0;
};

/// The idempotency keys of one VM: a deterministic, copyable state machine. Not thread safe.
class KeyGuard {
public:
  explicit KeyGuard(KeyGuardOptions Options);

  /// \brief Decides on a request of a non-idempotent kind.
  /// \param Request unique in this VM
  /// \param Key may be empty: such a request runs at once, and a repeat of it cannot be recognised
  /// \param Age what the caller states about its first attempt
  /// \param Members the membership at this moment
  /// \param Out queries to peers or the final answer are appended
  /// \return see Verdict
  /// \note Complexity: O(1) for a first attempt, O(VMs) for a repeat.
  Verdict arrived(RequestId Request, std::string_view Key, const kernel::KeyAge &Age,
                  const membership::View &Members, TimePoint Now, kernel::Actions &Out);

  /// \brief Checked immediately before each Dispatch of a request.
  /// \return Reason::None when it may be dispatched; else the reason to refuse it as not run
  kernel::Reason mayDispatch(RequestId Request, const membership::View &Members) const;

  /// \brief Stores the outcome of a request and answers requests that wait for the same key.
  /// \param Ended the outcome sent to the caller; after NotRun a repeat may run
  /// \param Why the reason sent to the caller
  /// \param KeptReply the reply to keep, for Completed
  /// \note Ignores a request without a key.
  void finished(RequestId Request, kernel::Outcome Ended, kernel::Reason Why, ReplyPtr KeptReply,
                TimePoint Now, kernel::Actions &Out);

  /// \brief Removes a request in Verdict::Wait whose caller closed its connection.
  /// \return true when it was waiting; false when Node must still call finished() for it
  bool callerGone(RequestId Request, TimePoint Now);

  /// \brief Answers a peer's query and seals the key if it was not seen here.
  void onQuery(VmId From, const peer::KeyQuery &Query, const membership::View &Members,
               TimePoint Now, kernel::Actions &Out);

  /// \brief Processes a peer's answer to a query.
  /// \return requests that may run now
  std::vector<RequestId> onAnswer(VmId From, const peer::KeyAnswer &Answer,
                                  const membership::View &Members, TimePoint Now,
                                  kernel::Actions &Out);

  /// \brief Ends queries that timed out and removes keys past their retention.
  void tick(TimePoint Now, kernel::Actions &Out);

  /// \brief Time at which tick() is next due.
  TimePoint nextTimer() const;

  /// \brief Replaces the settings, effective from the next call.
  void updateSettings(const IdempotencySettings &Settings) { m_Settings = Settings; }

  /// \brief Describes the state of one key on one line, for logs and tests.
  /// \return phase, owner, waiting requests and state of the query; "none" for an unknown key
  std::string describe(std::string_view Key) const;

  /// \brief Number of keys kept.
  std::size_t size() const { return m_Entries.size(); }
  /// \brief Bytes of kept replies.
  std::size_t answerBytes() const { return m_AnswerBytes; }
  /// \brief How long a key is kept after its last use, counted in time that this process ran.
  Duration retention() const;

private:
  enum class Phase : std::uint8_t {
    /// Peers are being queried on behalf of m_Owner.
    Querying,
    /// m_Owner is queued or running.
    Admitted,
    /// Never run here; a first attempt that arrives here is refused.
    Sealed,
    /// The last attempt here did not run; no peer has queried the key since.
    NotRun,
    /// m_Reply is the answer.
    Answered,
    /// An attempt may have run.
    Unknown,
  };
  /// A query to all peers for one request.
  struct PeerQuery {
    std::uint64_t m_Number = 0;
    /// All VMs that had to be queried, sorted by id.
    std::vector<VmId> m_TargetVms;
    std::vector<membership::AskTarget> m_Pending;
    /// Why the request must not run, from an answer or the lack of one.
    kernel::Reason m_RefusalReason = kernel::Reason::None;
    bool m_IsFirstAttempt = false;
    TimePoint m_Deadline{};
  };
  struct Entry {
    Phase m_Phase = Phase::Sealed;
    RequestId m_Owner{};
    std::vector<RequestId> m_Waiting;
    ReplyPtr m_Reply;
    TimePoint m_KeepUntil{};
    PeerQuery m_PeerQuery;
  };
  struct Expiry {
    TimePoint m_At{};
    std::string m_Key;
  };
  struct KeyHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view Key) const {
      return std::hash<std::string_view>{}(Key);
    }
  };
  using Entries = std::unordered_map<std::string, Entry, KeyHash, std::equal_to<>>;

  Verdict decideOnKnownKey(Entries::iterator Found, RequestId Request, const kernel::KeyAge &Age,
                           const membership::View &Members, TimePoint Now, kernel::Actions &Out);
  Verdict decideOnNewKey(RequestId Request, std::string_view Key, const kernel::KeyAge &Age,
                         const membership::View &Members, TimePoint Now, kernel::Actions &Out);
  Verdict startQuery(Entries::iterator Found, RequestId Request, const kernel::KeyAge &Age,
                     const membership::View &Members, TimePoint Now, kernel::Actions &Out);
  kernel::Reason refusalReason(const kernel::KeyAge &Age, const membership::View &Members) const;
  bool isAgeCoveredByMembership(const kernel::KeyAge &Age, const membership::View &Members,
                                TimePoint Now) const;
  static void applyPeerAnswer(PeerQuery &Query, const membership::AskTarget &Target,
                              const peer::KeyAnswer &Answer, const membership::View &Members);
  void failQuery(Entry &KeyEntry, kernel::Reason Why, kernel::Actions &Out);
  void answerWaiting(Entry &KeyEntry, kernel::Outcome Ended, kernel::Reason Why,
                     kernel::Actions &Out);
  void admitRequest(Entries::iterator Found, RequestId Request);
  void storeReply(Entry &KeyEntry, ReplyPtr KeptReply);
  peer::KeyState stateForPeer(Entry &KeyEntry, VmId From, VmId Self, kernel::Actions &Out);
  Entries::iterator insertKey(std::string_view Key);
  void extendRetention(Entry &KeyEntry) const;
  void advanceActiveTime(TimePoint Now);
  void removeExpiredKeys();
  bool isKeyTableFull() const;

  IdempotencySettings m_Settings;
  Entries m_Entries;
  /// Oldest first.
  std::deque<Expiry> m_Expiries;
  /// Key of each request that owns a key or waits for one.
  std::map<RequestId, std::string> m_KeysByRequest;
  /// Key of each running query.
  std::map<std::uint64_t, std::string> m_KeysByQuery;
  std::uint64_t m_NextQueryNumber = 0;
  std::size_t m_AnswerBytes = 0;
  std::optional<TimePoint> m_LastCall;
  /// Time that this process has run, without the periods in which it was paused.
  TimePoint m_ActiveTime{};
};

} // namespace vanillahill::idempotency
