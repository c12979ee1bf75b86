/// \file
/// Keeps the usage caps of tenants over all VMs: each request of a tenant with a cap waits until
/// the VM that counts the tenant's requests has granted it.
#pragma once

#include "vanillahill/kernel/events.hpp"
#include "vanillahill/kernel/status.hpp"
#include "vanillahill/kernel/tenants/cap_ledger.hpp"
#include "vanillahill/kernel/tenants/counting_vms.hpp"

#include <map>
#include <random>
#include <unordered_map>

namespace vanillahill::kernel::tenants {

struct TenantCapsOptions {
  std::string m_SelfIp;
  std::string m_DataCenter;
  std::uint64_t m_Seed = 0;
};

/// What becomes of a request.
enum class Admission : std::uint8_t {
  Admitted,
  /// Waits for a verdict, which onVerdict() or tick() returns.
  Waiting,
  CapReached,
  CapUnknown,
};

/// The end of a wait.
struct Admitted {
  RequestId m_Request{};
  Admission m_Admission = Admission::Admitted;
  /// With CapReached and CapUnknown.
  Duration m_RetryAfter{};
};

/// Both sides of the protocol: the VM that asks and the VM that counts. Not thread safe.
class TenantCaps {
public:
  /// Time after which a query also goes to the VM that takes over. A busy VM answers late, and a
  /// needless second query uses up the reserve.
  static constexpr Duration FirstWait = std::chrono::milliseconds(40);
  /// Time after which a request without a verdict is refused.
  static constexpr Duration LongestWait = std::chrono::milliseconds(120);
  /// A VM that has not answered so many queries in a row in time is not queried for this long.
  static constexpr std::uint32_t SuspectQueries = 2;
  static constexpr Duration SuspectTime = std::chrono::milliseconds(500);
  /// A VM takes over when the one that counts has answered none of its queries for this long, and
  /// at least so many of them: datagrams are lost.
  static constexpr Duration TakeOverSilence = std::chrono::milliseconds(300);
  static constexpr std::uint32_t TakeOverQueries = 4;
  /// Interval of the queries that check this, and after it has taken over.
  static constexpr Duration CheckInterval = std::chrono::milliseconds(80);
  static constexpr Duration TakenOverCheckInterval = std::chrono::milliseconds(400);
  /// The checks end when no VM has requested a take-over for so long.
  static constexpr Duration CheckLifetime = std::chrono::seconds(5);
  /// Limit on how often a query is passed on: views of the fleet may differ.
  static constexpr std::uint32_t MaxHops = 3;
  /// Tenants with counters of their own in a status; the others are summed.
  static constexpr std::size_t MaxListedTenants = 20;

  explicit TenantCaps(TenantCapsOptions Options);

  /// \brief Applies settings.
  void configure(const SiteSettings &Settings, TimePoint Now);

  /// \brief Replaces the VMs that count.
  void setCountingVms(std::vector<CountingGroup> Groups, TimePoint Now);

  /// \brief Whether a tenant's requests are counted.
  bool hasCap(TenantId Tenant) const { return m_Ledger.hasCap(Tenant); }

  /// \brief Decides about a request that has arrived, or asks the VM that counts.
  Admitted arrive(RequestId Request, TenantId Tenant, TimePoint Now, Actions &Out);

  /// \brief Forgets a waiting request whose caller has gone.
  /// \return whether it was waiting
  bool cancel(RequestId Request);

  /// \brief Called with the answer to a request of a tenant; returns the unit of one that did not
  /// run.
  void finished(const Answer &Final, TimePoint Now, Actions &Out);

  /// \brief Handles a query of another VM.
  void onQuery(const TenantQuery &Query, TimePoint Now, Actions &Out);

  /// \brief Handles the answer of another VM.
  /// \return the request that it decides, if any
  std::optional<Admitted> onVerdict(std::string_view FromIp, const TenantVerdict &Verdict,
                                    TimePoint Now, Actions &Out);

  void onReturn(const TenantReturn &Returned, TimePoint Now) {
    m_Ledger.giveBack(Returned.m_Tenant, Returned.m_Units, Now);
  }

  /// \brief Asks further VMs and gives up waiting, as is due.
  std::vector<Admitted> tick(TimePoint Now, Actions &Out);

  /// \brief When tick() is due; max() while nothing waits.
  TimePoint nextTimer() const;

  void appendStatus(TimePoint Now, NodeStatus &Status) const;

private:
  /// A query of this VM without a verdict.
  struct Waiting {
    RequestId m_Request{};
    TenantId m_Tenant{};
    TimePoint m_SentAt{};
    /// VM that was queried first; empty when the second one was queried at once.
    std::string m_FirstIp;
    bool m_HasQueriedSecond = false;
  };
  /// A VM that did not answer in time.
  struct Suspect {
    std::uint32_t m_Unanswered = 0;
    TimePoint m_AvoidedUntil{};
  };
  /// A request of a tenant that was admitted and has no answer.
  struct Open {
    TenantId m_Tenant{};
    /// VM that granted it; empty when the tenant has no cap.
    std::string m_GrantedBy;
  };
  /// Queries that check whether the VM that counts in a data centre, or a VM, still answers.
  struct Watch {
    /// A tenant that it counts.
    TenantId m_Tenant{};
    TimePoint m_UnansweredSince{};
    std::uint32_t m_Unanswered = 0;
    TimePoint m_NextCheckAt{};
    /// When a VM last requested a take-over.
    TimePoint m_WantedAt{};

    bool isSilent(TimePoint Now) const {
      return m_Unanswered >= TakeOverQueries && Now - m_UnansweredSince >= TakeOverSilence;
    }
  };

  void updateRoles(TimePoint Now);
  bool isSuspect(std::string_view Ip, TimePoint Now) const;
  void noteUnanswered(const std::string &Ip, TimePoint Now);
  void repeatQuery(std::uint64_t Number, Waiting &Pending, Actions &Out);
  void rememberDecided(std::uint64_t Number, TenantId Tenant);
  std::string chooseVm(const CountingVms::Place &Where, TenantId Tenant);
  CapDecision decide(TenantId Tenant, std::uint32_t Units, bool IsForSecond, TimePoint Now,
                     Actions &Out);
  bool isFirstSilent(TenantId Tenant, TimePoint Now, Actions &Out);
  void check(const std::string &Watched, Watch &Checked, TimePoint Now, Actions &Out);
  void checkWatches(TimePoint Now, Actions &Out);
  std::optional<Admitted> queryOrDecide(std::uint64_t Number, Waiting &Pending, std::size_t Rank,
                                        TimePoint Now, Actions &Out);
  Admitted conclude(const Waiting &Pending, const CapDecision &Decided, std::string GrantedBy);
  Admitted refuseUnknown(RequestId Request, TenantId Tenant);
  Duration spread(Duration Wait);

  TenantCapsOptions m_Options;
  std::mt19937_64 m_Random;
  SharedList<TenantSettings> m_Tenants;
  CountingVms m_Vms;
  CapLedger m_Ledger;
  std::uint64_t m_LastNumber = 0;
  std::map<std::uint64_t, Waiting> m_Waiting;
  /// Queries of this VM that only check whether another one answers, and what they check.
  std::map<std::uint64_t, std::string> m_Checks;
  std::map<std::string, Watch, std::less<>> m_Watches;
  std::unordered_map<RequestId, Open> m_Open;
  /// The VM that last gave a verdict for a tenant.
  std::unordered_map<TenantId, std::string> m_AnsweredBy;
  std::map<std::string, Suspect, std::less<>> m_Suspects;
  /// Queries that were decided a moment ago, and their tenants. A further grant is returned.
  std::map<std::uint64_t, TenantId> m_Decided;
  std::unordered_map<TenantId, TenantCounters> m_Counters;
};

} // namespace vanillahill::kernel::tenants
