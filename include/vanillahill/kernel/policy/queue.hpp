/// \file
/// Requests that wait in the VM for a slot, and what is refused under overload.
#pragma once

#include "vanillahill/kernel/server_table.hpp"

#include <concepts>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace vanillahill::kernel {

/// A waiting request.
struct Waiting {
  RequestId m_Request{};
  KindIndex m_Kind = 0;
  /// When it began to wait.
  TimePoint m_Since{};
  TimePoint m_Deadline{};
};

/// A request that the queue gave up.
struct Dropped {
  RequestId m_Request{};
  Reason m_Reason = Reason::DeadlineMissed;
};

/// Tries to start a waiting request; tells whether it was started.
template <typename T>
concept StartFunction = requires(T Start, const Waiting &Item) {
  { Start(Item) } -> std::same_as<bool>;
};

/// Orders waiting requests.
template <typename T>
concept QueuePolicy = requires(T Queue, const T &Const, std::span<const KindState> Kinds,
                               Waiting Item, RequestId Request, TimePoint Now,
                               std::vector<Dropped> &Drops, std::size_t Limit,
                               bool (*Start)(const Waiting &)) {
  { Queue.push(Item, Kinds, Limit, Drops) } -> std::same_as<void>;
  { Queue.serve(Kinds, Now, Drops, Start) } -> std::same_as<void>;
  { Queue.remove(Request) } -> std::same_as<bool>;
  { Queue.resizeKinds(Limit) } -> std::same_as<void>;
  { Const.size() } -> std::same_as<std::size_t>;
  { Const.nextDrop(Kinds) } -> std::same_as<TimePoint>;
  { Const.requests() } -> std::same_as<std::vector<RequestId>>;
};

/// One queue for each kind. The kind that earns most weight for each second of a slot goes first.
/// While a kind's queue empties now and then its oldest request goes first and may wait as long
/// as its deadline allows. A queue that has stood for long is overloaded: then the newest goes
/// first and the others are refused early, so that what is served has time left.
class WeightedDeadlineQueue {
public:
  /// A queue that was not empty for this share of its kind's deadline is overloaded.
  static constexpr double StandingShare = 0.25;
  /// Share of the deadline that a request may wait in an overloaded queue.
  static constexpr double OverloadedWaitShare = 0.5;

  /// \brief Adds a request; over the limit the oldest of the kind that earns least is dropped.
  /// \param Drops requests to refuse are appended
  void push(const Waiting &Item, std::span<const KindState> Kinds, std::size_t Limit,
            std::vector<Dropped> &Drops) {
    KindQueue &Queue = m_ByKind[Item.m_Kind];
    if (Queue.m_Items.empty()) {
      Queue.m_StandingSince = Item.m_Since;
    }
    Queue.m_Items.push_back(Item);
    ++m_Size;
    if (m_Size > Limit) {
      dropLeast(Kinds, Drops);
    }
  }

  /// \brief Drops what waited too long, then offers requests in order until none can start.
  /// \param Start is offered one request of each kind at a time
  template <StartFunction F>
  void serve(std::span<const KindState> Kinds, TimePoint Now, std::vector<Dropped> &Drops,
             F &&Start) {
    if (m_Size == 0) {
      return;
    }
    for (KindIndex Kind = 0; Kind < m_ByKind.size(); ++Kind) {
      dropLate(m_ByKind[Kind], Kinds[Kind], Now, Drops);
    }
    for (const KindIndex Kind : byDensity(Kinds)) {
      serveKind(m_ByKind[Kind], Kinds[Kind], Now, Start);
    }
  }

  /// \brief Takes a request out. \return whether it waited \note Complexity: linear in the queue.
  bool remove(RequestId Request) {
    for (KindQueue &Queue : m_ByKind) {
      const auto Found =
          std::find_if(Queue.m_Items.begin(), Queue.m_Items.end(),
                       [Request](const Waiting &Item) { return Item.m_Request == Request; });
      if (Found != Queue.m_Items.end()) {
        Queue.m_Items.erase(Found);
        --m_Size;
        return true;
      }
    }
    return false;
  }

  /// \brief Tells how many kinds there are; kinds only ever get more.
  void resizeKinds(std::size_t Count) { m_ByKind.resize(std::max(Count, m_ByKind.size())); }

  std::size_t size() const { return m_Size; }

  /// \brief When the next request has waited too long; max() when nothing waits.
  TimePoint nextDrop(std::span<const KindState> Kinds) const {
    TimePoint Earliest = TimePoint::max();
    for (KindIndex Kind = 0; Kind < m_ByKind.size(); ++Kind) {
      const KindQueue &Queue = m_ByKind[Kind];
      if (!Queue.m_Items.empty()) {
        Earliest = std::min(Earliest, lastStart(Queue.m_Items.front(), Kinds[Kind]));
        Earliest = std::min(Earliest, std::max(Queue.m_StandingSince + standingTime(Kinds[Kind]),
                                               earlyStart(Queue.m_Items.front())));
      }
    }
    return Earliest == TimePoint::max() ? Earliest : Earliest + std::chrono::nanoseconds(1);
  }

  /// \brief Every waiting request.
  std::vector<RequestId> requests() const {
    std::vector<RequestId> Ids;
    for (const KindQueue &Queue : m_ByKind) {
      for (const Waiting &Item : Queue.m_Items) {
        Ids.push_back(Item.m_Request);
      }
    }
    return Ids;
  }

private:
  struct KindQueue {
    std::deque<Waiting> m_Items;
    TimePoint m_StandingSince{};

    bool isOverloaded(const KindState &Kind, TimePoint Now) const {
      return Now - m_StandingSince > standingTime(Kind);
    }
  };

  static Duration standingTime(const KindState &Kind) {
    return std::chrono::duration_cast<Duration>(Kind.m_Settings.m_Deadline * StandingShare);
  }

  /// Latest start that still allows an answer in time.
  static TimePoint lastStart(const Waiting &Item, const KindState &Kind) {
    return Item.m_Deadline - std::min(Kind.usual(), Kind.m_Settings.m_Deadline / 2);
  }

  /// Latest start in an overloaded queue.
  static TimePoint earlyStart(const Waiting &Item) {
    const auto Allowed = (Item.m_Deadline - Item.m_Since) * OverloadedWaitShare;
    return Item.m_Since + std::chrono::duration_cast<Duration>(Allowed);
  }

  void dropLate(KindQueue &Queue, const KindState &Kind, TimePoint Now,
                std::vector<Dropped> &Drops) {
    const bool Overloaded = Queue.isOverloaded(Kind, Now);
    while (!Queue.m_Items.empty()) {
      const Waiting &Oldest = Queue.m_Items.front();
      const bool Missed = lastStart(Oldest, Kind) < Now;
      const bool Early = Overloaded && earlyStart(Oldest) < Now;
      if (!Missed && !Early) {
        return;
      }
      Drops.push_back({.m_Request = Oldest.m_Request,
                       .m_Reason = Missed ? Reason::DeadlineMissed : Reason::Overload});
      Queue.m_Items.pop_front();
      --m_Size;
    }
  }

  template <StartFunction F>
  void serveKind(KindQueue &Queue, const KindState &Kind, TimePoint Now, F &Start) {
    while (!Queue.m_Items.empty()) {
      const bool Newest = Queue.isOverloaded(Kind, Now);
      const Waiting Item = Newest ? Queue.m_Items.back() : Queue.m_Items.front();
      if (!Start(Item)) {
        return;
      }
      if (Newest) {
        Queue.m_Items.pop_back();
      } else {
        Queue.m_Items.pop_front();
      }
      --m_Size;
    }
  }

  /// Kinds with the most weight for each second of a slot first.
  std::span<const KindIndex> byDensity(std::span<const KindState> Kinds) {
    m_Order.clear();
    for (KindIndex Kind = 0; Kind < m_ByKind.size(); ++Kind) {
      if (!m_ByKind[Kind].m_Items.empty()) {
        m_Order.push_back(Kind);
      }
    }
    std::sort(m_Order.begin(), m_Order.end(), [Kinds](KindIndex A, KindIndex B) {
      return Kinds[A].density() > Kinds[B].density();
    });
    return m_Order;
  }

  void dropLeast(std::span<const KindState> Kinds, std::vector<Dropped> &Drops) {
    KindQueue &Queue = m_ByKind[byDensity(Kinds).back()];
    Drops.push_back({.m_Request = Queue.m_Items.front().m_Request, .m_Reason = Reason::Overload});
    Queue.m_Items.pop_front();
    --m_Size;
  }

  std::vector<KindQueue> m_ByKind;
  /// Scratch space of byDensity().
  std::vector<KindIndex> m_Order;
  std::size_t m_Size = 0;
};

static_assert(QueuePolicy<WeightedDeadlineQueue>);

} // namespace vanillahill::kernel
