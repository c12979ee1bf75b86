/// \file
/// Finds requests that crash the backend servers that run them, and decides when such a request may
/// be sent again.
#pragma once

#include "vanillahill/core/crash_report.hpp"
#include "vanillahill/core/time.hpp"

#include <functional>
#include <optional>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace vanillahill::kernel {

/// Access to what the callers of open requests asked for. Nothing is returned for a request whose
/// caller is gone.
struct RequestContents {
  std::function<std::optional<std::uint64_t>(RequestId)> m_Hash;
  std::function<std::optional<RequestContent>(RequestId)> m_Content;
  /// The same for a request that a server has completed; nothing if it is no longer kept.
  std::function<std::optional<RequestContent>(RequestId)> m_Completed;
  /// Whether another VM has passed the request on.
  std::function<bool(RequestId)> m_IsRelayed;
};

/// A request that a server completed.
struct Completion {
  RequestId m_Request{};
  /// RequestContent::m_Hash.
  std::uint64_t m_Hash = 0;
  TimePoint m_At{};
};

/// The requests under which servers crashed. The reports of all VMs are merged: the union of the
/// crashes, so neither order, loss nor duplicates of announcements matter. The verdict counts the
/// moments at which servers crashed: whatever servers that crash at the same moment have in common,
/// it is not one copy of a request.
///
/// A server that crashes takes its other requests with it, and one moment says little. After the
/// second one a copy is sent only now and then, from one VM or few: its completion clears the
/// request, its crash confirms the suspicion. From the third one on the request is blocked, but for
/// few trials after long pauses. Not thread safe.
class PoisonTracker {
public:
  /// Moments from which a request is sent only now and then.
  static constexpr std::size_t MomentsToSuspect = 2;
  /// Moments from which a request is blocked.
  static constexpr std::size_t MomentsToBlock = 3;
  /// Crashes with less time between them belong to one moment.
  static constexpr Duration MomentSpacing = std::chrono::milliseconds(30);
  /// A crash does not count against a request if this VM has seen an identical one completed within
  /// this time: a popular request is in flight whenever several servers crash.
  static constexpr Duration CompletionLifetime = std::chrono::seconds(10);
  /// Completed requests that are remembered for that.
  static constexpr std::size_t MaxCompletions = 512;
  /// Pause of a suspected request. Each VM adds a random part of RetestSpread, so that one VM is
  /// the first.
  static constexpr Duration RetestPause = std::chrono::seconds(2);
  static constexpr Duration RetestSpread = std::chrono::seconds(8);
  /// Sendings of a suspected or blocked request over all VMs: each may cost a server.
  static constexpr std::uint32_t MaxTrials = 3;
  /// Pause of a blocked request. Each VM adds a random part of the pause.
  static constexpr Duration TrialPause = std::chrono::minutes(5);
  /// From the second trial on, each pause is longer by this factor.
  static constexpr int TrialPauseFactor = 8;
  /// A request that has neither come nor crashed a server for this long is forgotten.
  static constexpr Duration Lifetime = std::chrono::hours(1);
  /// The same for one that is cleared.
  static constexpr Duration ClearedLifetime = std::chrono::minutes(1);
  /// Requests that are remembered at most.
  static constexpr std::size_t MaxRequests = 512;
  /// What is known of a request that still comes is announced in this interval.
  static constexpr Duration AnnounceInterval = std::chrono::seconds(10);
  /// How many VMs of a data centre answer one that knows less, on average.
  static constexpr double AnsweringVms = 3.0;
  /// Announcements per second of one VM; some 900 servers may crash at once.
  static constexpr double AnnouncementsPerSecond = 20.0;

  /// \param Completed see RequestContents; called only for requests with the same
  /// RequestContent::m_Hash as one under which a server crashed
  explicit PoisonTracker(std::uint64_t Seed = 0,
                         std::function<std::optional<RequestContent>(RequestId)> Completed = {})
      : m_Completed(std::move(Completed)), m_Random(Seed) {}

  /// \brief Whether a request with this hash has to be looked up.
  bool mayKnow(std::uint64_t Hash) const { return m_Hashes.contains(Hash); }

  /// \brief At how many moments servers crashed under a request.
  std::size_t moments(const RequestContent &Content) const;

  /// \brief How long a request must not be sent from this VM; zero when it may be sent now,
  /// Duration::max() when nothing is known that ends the block.
  Duration blockedFor(const RequestContent &Content, TimePoint Now) const;

  /// \brief Notes that a request has come and was refused.
  /// \return the report to announce, if it is time for that
  std::optional<CrashReport> recordRefusal(const RequestContent &Content, TimePoint Now);

  /// \brief Notes that a request is sent.
  /// \return the report to announce: the sending is a trial, and no other VM is to make another one
  std::optional<CrashReport> recordSending(const RequestContent &Content, TimePoint Now);

  /// What recordCrash() did.
  struct Recorded {
    /// To be announced; not set if nothing is new.
    std::optional<CrashReport> m_Report;
    /// The completion for which the crash is not held against the request.
    std::optional<Completion> m_ClearedBy;
  };

  /// \brief Notes that a server crashed while it ran the request.
  Recorded recordCrash(const RequestContent &Content, ServerId Server, TimePoint Now);

  /// \brief Remembers that a server completed a request.
  void noteCompletion(const Completion &Done);

  /// \brief Notes that a server completed the request.
  /// \return the report to announce, if the request was not clear before
  std::optional<CrashReport> recordCompletion(const RequestContent &Content, TimePoint Now);

  /// What receive() did.
  struct Received {
    /// More crashes are known than before, or the request is cleared.
    bool m_IsChanged = false;
    /// To be announced, as the sender knows less.
    std::optional<CrashReport> m_Answer;
    /// The completion on this VM that clears the request.
    std::optional<Completion> m_ClearedBy;
  };

  /// \brief Merges another VM's report.
  /// \param LocalVms VMs of this data centre, this one included
  Received receive(const CrashReport &Report, std::size_t LocalVms, TimePoint Now);

  /// \brief The reports that a VM which has joined should know.
  /// \param LocalVms VMs of this data centre, this one included
  std::vector<CrashReport> reportsForNewVm(std::size_t LocalVms, TimePoint Now);

  /// \brief Requests that are suspected or blocked.
  std::size_t suspects() const;

  /// \brief Requests that are remembered, including cleared ones.
  std::size_t size() const { return m_Requests.size(); }

private:
  struct Crash {
    ServerId m_Server{};
    TimePoint m_At{};
  };

  struct Entry {
    RequestContent m_Content;
    /// See CrashReport.
    std::uint32_t m_Generation = 0;
    std::uint32_t m_Trials = 0;
    /// One for each moment.
    boost::container::static_vector<Crash, CrashReport::MaxCrashes> m_Crashes;
    /// Until when this VM does not send the request.
    TimePoint m_BlockedUntil = TimePoint::min();
    /// When the request last came or crashed a server, as far as this VM knows.
    TimePoint m_SeenAt{};
    /// When the report was last announced by this VM or received from another one.
    TimePoint m_AnnouncedAt{};
  };

  Entry *find(const RequestContent &Content);
  const Entry *find(const RequestContent &Content) const;
  Entry &add(const RequestContent &Content, TimePoint Now);
  void makeRoom(TimePoint Now);
  std::optional<Completion> recentCompletion(const RequestContent &Content, TimePoint Now);
  static bool addCrash(Entry &Known, ServerId Server, TimePoint At);
  void updateBlock(Entry &Known, TimePoint Now);
  std::optional<CrashReport> announcementOf(Entry &Known, TimePoint Now);
  bool draw(std::size_t LocalVms);

  /// The digest is as good a hash as any.
  struct DigestHash {
    std::size_t operator()(const RequestContent &Content) const { return Content.m_Digest[0]; }
  };
  using Requests = std::unordered_map<RequestContent, Entry, DigestHash>;

  Requests::iterator remove(Requests::iterator Known);

  Requests m_Requests;
  /// RequestContent::m_Hash of each request.
  std::unordered_multiset<std::uint64_t> m_Hashes;
  struct RememberedCompletion {
    Completion m_Done;
    /// Set once it is needed; stays empty if the request is no longer kept by then.
    std::optional<RequestContent> m_Content = std::nullopt;
    bool m_IsLookedUp = false;
  };

  std::function<std::optional<RequestContent>(RequestId)> m_Completed;
  /// The last completed requests; the next one replaces that at m_NextCompletion.
  std::vector<RememberedCompletion> m_Completions;
  std::size_t m_NextCompletion = 0;
  std::mt19937_64 m_Random;
  double m_AnnouncementsLeft = AnnouncementsPerSecond;
  TimePoint m_RefilledAt{};
};

} // namespace vanillahill::kernel
