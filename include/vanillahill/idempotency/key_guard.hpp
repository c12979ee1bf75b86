/// \file
/// At most one run for each idempotency key, over repeats that come through other VMs.
///
/// A known first attempt runs at once on the VM that it reached. Anything else asks every VM that
/// may have taken the key; each that has not seen it seals it, so that a late first attempt is
/// refused there. The repeat runs only when all have answered so. docs/design/at-most-once.md gives
/// the rules and their proof.
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

/// What to do with a request that arrived.
enum class Verdict : std::uint8_t {
  /// Queue and dispatch it; tell finished() its end.
  Run,
  /// Its peers are being asked, or it waits for the same key's running attempt. It comes back from
  /// onAnswer() or tick() as runnable, or an Answer is appended.
  Wait,
  /// Its final Answer was appended.
  Answered,
};

/// What a KeyGuard is told at its start.
struct KeyGuardOptions {
  IdempotencySettings m_Settings;
  std::uint64_t m_Incarnation = 1;
  /// Makes the numbers of queries differ between VMs and between starts.
  std::uint64_t m_Seed = 0;
};

/// The keys of one VM: a deterministic state machine, not thread safe, a value that may be copied.
class KeyGuard {
public:
  explicit KeyGuard(KeyGuardOptions Options);

  /// \brief Decides on a request of a non-idempotent kind.
  /// \param Request unique in this VM
  /// \param Key may be empty: such a request runs once and no repeat of it can be told
  /// \param Age what the caller says of its first attempt
  /// \param Members the membership at this moment
  /// \param Out queries to peers or the final answer are appended
  /// \return see Verdict
  /// \note Complexity: O(1) for a first attempt, O(VMs) for a repeat.
  Verdict arrived(RequestId Request, std::string_view Key, const kernel::KeyAge &Age,
                  const membership::View &Members, TimePoint Now, kernel::Actions &Out);

  /// \brief Checked immediately before each Dispatch of a request.
  /// \return Reason::None when it may go; else the reason to refuse it as not run
  kernel::Reason mayDispatch(RequestId Request, const membership::View &Members) const;

  /// \brief Keeps how a request ended and answers those that wait for the same key.
  /// \param Ended as told to the caller; NotRun frees the key for a repeat
  /// \param Why the reason told to the caller
  /// \param Kept the reply, for Completed
  /// \note Ignores a request without a key.
  void finished(RequestId Request, kernel::Outcome Ended, kernel::Reason Why, ReplyPtr Kept,
                TimePoint Now, kernel::Actions &Out);

  /// \brief The caller of a request in Verdict::Wait closed its connection: it is forgotten.
  /// \return true when it was waiting; false when Node must finish it
  bool callerGone(RequestId Request, TimePoint Now);

  /// \brief Answers a peer's query; a key not seen here is sealed.
  void onQuery(VmId From, const peer::KeyQuery &Query, const membership::View &Members,
               TimePoint Now, kernel::Actions &Out);

  /// \brief Takes a peer's answer.
  /// \return requests that may run now
  std::vector<RequestId> onAnswer(VmId From, const peer::KeyAnswer &Answer,
                                  const membership::View &Members, TimePoint Now,
                                  kernel::Actions &Out);

  /// \brief Ends queries that ran out of time and forgets keys past their retention.
  void tick(TimePoint Now, kernel::Actions &Out);

  /// \brief When tick() is wanted next.
  TimePoint nextTimer() const;

  /// \brief Takes new settings from the next call on.
  void updateSettings(const IdempotencySettings &Settings) { m_Settings = Settings; }

  /// \brief What is known of one key, on one line, for logs and tests.
  /// \return phase, owner, waiting requests and the state of its query; "none" for an unseen key
  std::string describe(std::string_view Key) const;

  /// \brief Number of keys kept.
  std::size_t size() const { return m_Entries.size(); }
  /// \brief Bytes of kept answers.
  std::size_t answerBytes() const { return m_AnswerBytes; }
  /// \brief How long a key is kept after its last use, in time that this process ran.
  Duration retention() const;

private:
  enum class Phase : std::uint8_t {
    /// Peers are being asked for m_Owner.
    Asking,
    /// m_Owner is queued or runs.
    Admitted,
    /// Never run here and never to be run here by a first attempt.
    Sealed,
    /// The last attempt here did not run; nobody has asked since.
    NotRun,
    /// m_Reply is the answer.
    Answered,
    /// An attempt may have run.
    Unknown,
  };
  /// A query to all peers for one request.
  struct Ask {
    std::uint64_t m_Query = 0;
    /// All that were asked, sorted by id.
    std::vector<VmId> m_Asked;
    std::vector<membership::AskTarget> m_Pending;
    /// Set when an answer, or the lack of one, rules a run out.
    kernel::Reason m_Blocked = kernel::Reason::None;
    bool m_First = false;
    TimePoint m_Until{};
  };
  struct Entry {
    Phase m_Phase = Phase::Sealed;
    RequestId m_Owner{};
    std::vector<RequestId> m_Joined;
    ReplyPtr m_Reply;
    TimePoint m_KeepUntil{};
    Ask m_Ask;
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

  Verdict arrivedKnown(Entries::iterator Found, RequestId Request, const kernel::KeyAge &Age,
                       const membership::View &Members, TimePoint Now, kernel::Actions &Out);
  Verdict arrivedNew(RequestId Request, std::string_view Key, const kernel::KeyAge &Age,
                     const membership::View &Members, TimePoint Now, kernel::Actions &Out);
  Verdict startAsk(Entries::iterator Found, RequestId Request, const kernel::KeyAge &Age,
                   const membership::View &Members, TimePoint Now, kernel::Actions &Out);
  kernel::Reason refusalOf(const kernel::KeyAge &Age, const membership::View &Members) const;
  bool ageIsCovered(const kernel::KeyAge &Age, const membership::View &Members,
                    TimePoint Now) const;
  static void applyAnswer(Ask &Value, const membership::AskTarget &Target,
                          const peer::KeyAnswer &Answer, const membership::View &Members);
  void failAsk(Entry &Value, kernel::Reason Why, kernel::Actions &Out);
  void answerAll(Entry &Value, kernel::Outcome Ended, kernel::Reason Why, kernel::Actions &Out);
  void admit(Entries::iterator Found, RequestId Request);
  void storeReply(Entry &Value, ReplyPtr Kept);
  peer::KeyState stateForPeer(Entry &Value, VmId From, VmId Self, kernel::Actions &Out);
  Entries::iterator insert(std::string_view Key);
  void keep(Entry &Value) const;
  void advance(TimePoint Now);
  void forgetOld();
  bool keysFull() const;

  IdempotencySettings m_Settings;
  Entries m_Entries;
  /// Oldest first.
  std::deque<Expiry> m_Expiries;
  /// Key of each request that owns or waits for one.
  std::map<RequestId, std::string> m_Requests;
  /// Key of each running query.
  std::map<std::uint64_t, std::string> m_Asks;
  std::uint64_t m_NextQuery = 0;
  std::size_t m_AnswerBytes = 0;
  std::optional<TimePoint> m_LastCall;
  /// Time that this process has run; gaps in which it was paused do not count.
  TimePoint m_Active{};
};

} // namespace vanillahill::idempotency
