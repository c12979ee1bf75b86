/// \file
/// The queue of requests that wait in the VM for a slot, and which of them are refused under
/// overload.
#pragma once

#include "vanillahill/kernel/kind_table.hpp"
#include "vanillahill/kernel/server_table.hpp"

#include <concepts>
#include <deque>
#include <optional>
#include <span>
#include <vector>

namespace vanillahill::kernel {

/// A request in the queue.
struct WaitingRequest {
  RequestId m_Request{};
  KindIndex m_Kind = 0;
  TimePoint m_WaitingSince{};
  TimePoint m_Deadline{};
};

/// A request that the queue removed without starting it, and why.
struct DroppedRequest {
  RequestId m_Request{};
  Reason m_Reason = Reason::DeadlineMissed;
};

/// Tries to start a waiting request; returns whether the request leaves the queue.
template <typename T>
concept StartFunction = requires(T Start, const WaitingRequest &Item) {
  { Start(Item) } -> std::same_as<bool>;
};

/// Orders waiting requests and drops those that waited too long.
template <typename T>
concept QueuePolicy = requires(T Queue, const T &Const, std::span<const KindState> Kinds,
                               WaitingRequest Item, RequestId Request, TimePoint Now,
                               std::vector<DroppedRequest> &Drops, std::size_t Limit,
                               bool (*Start)(const WaitingRequest &)) {
  { Queue.push(Item, Kinds, Limit, Drops) } -> std::same_as<void>;
  { Queue.serve(Kinds, Now, Drops, Start) } -> std::same_as<void>;
  { Queue.remove(Request) } -> std::same_as<bool>;
  { Queue.resizeKinds(Limit) } -> std::same_as<void>;
  { Const.size() } -> std::same_as<std::size_t>;
  { Const.nextDrop(Kinds) } -> std::same_as<TimePoint>;
  { Const.requests() } -> std::same_as<std::vector<RequestId>>;
};

/// One queue for each kind. The kind with the most weight per slot second is served first. As long
/// as a kind's queue becomes empty now and then, its oldest request is served first and may wait as
/// long as its deadline allows. A queue that has not been empty for long is overloaded: its newest
/// request is served first and the older ones are refused before their deadline, so that the
/// requests that are served have time left.
class WeightedDeadlineQueue {
public:
  /// A queue that was not empty for longer than this share of its kind's deadline is overloaded.
  static constexpr double MaxNonEmptyShare = 0.25;
  /// Share of the deadline that a request may wait in an overloaded queue.
  static constexpr double OverloadedWaitShare = 0.5;

  /// \brief Adds a request. Over the limit, drops the oldest request of the kind with the least
  /// weight per slot second.
  /// \param Drops the dropped request is appended
  void push(const WaitingRequest &Item, std::span<const KindState> Kinds, std::size_t Limit,
            std::vector<DroppedRequest> &Drops) {
    KindQueue &Queue = m_ByKind[Item.m_Kind];
    if (Queue.m_Items.empty()) {
      Queue.m_NonEmptySince = Item.m_WaitingSince;
    }
    Queue.m_Items.push_back(Item);
    ++m_Size;
    if (m_Size > Limit) {
      dropLowestPriority(Kinds, Drops);
    }
  }

  /// \brief Drops requests that waited too long, then starts requests of each kind in order until
  /// one cannot start.
  /// \param Drops the dropped requests are appended
  /// \param Start called with one request at a time; false ends the turn of its kind
  template <StartFunction F>
  void serve(std::span<const KindState> Kinds, TimePoint Now, std::vector<DroppedRequest> &Drops,
             F &&Start) {
    if (m_Size == 0) {
      return;
    }
    for (KindIndex Kind = 0; Kind < m_ByKind.size(); ++Kind) {
      dropLate(m_ByKind[Kind], Kinds[Kind], Now, Drops);
    }
    for (const KindIndex Kind : kindsByPriority(Kinds)) {
      serveKind(m_ByKind[Kind], Kinds[Kind], Now, Start);
    }
  }

  /// \brief Removes a request. \return whether it waited \note Complexity: linear in the queue.
  bool remove(RequestId Request) {
    for (KindQueue &Queue : m_ByKind) {
      const auto Found =
          std::find_if(Queue.m_Items.begin(), Queue.m_Items.end(),
                       [Request](const WaitingRequest &Item) { return Item.m_Request == Request; });
      if (Found != Queue.m_Items.end()) {
        Queue.m_Items.erase(Found);
        --m_Size;
        return true;
      }
    }
    return false;
  }

  /// \brief Sets the number of kinds, which never shrinks.
  void resizeKinds(std::size_t Count) { m_ByKind.resize(std::max(Count, m_ByKind.size())); }

  std::size_t size() const { return m_Size; }

  /// \brief When serve() has to drop the next request; max() when nothing waits.
  TimePoint nextDrop(std::span<const KindState> Kinds) const {
    TimePoint Earliest = TimePoint::max();
    for (KindIndex Kind = 0; Kind < m_ByKind.size(); ++Kind) {
      const KindQueue &Queue = m_ByKind[Kind];
      if (!Queue.m_Items.empty()) {
        Earliest = std::min(Earliest, latestStart(Queue.m_Items.front(), Kinds[Kind]));
        Earliest = std::min(Earliest, std::max(Queue.m_NonEmptySince + maxNonEmptyTime(Kinds[Kind]),
                                               latestStartOverloaded(Queue.m_Items.front())));
      }
    }
    return Earliest == TimePoint::max() ? Earliest : Earliest + std::chrono::nanoseconds(1);
  }

  /// \brief Every waiting request.
  std::vector<RequestId> requests() const {
    std::vector<RequestId> Ids;
    for (const KindQueue &Queue : m_ByKind) {
      for (const WaitingRequest &Item : Queue.m_Items) {
        Ids.push_back(Item.m_Request);
      }
    }
    return Ids;
  }

private:
  struct KindQueue {
    std::deque<WaitingRequest> m_Items;
    TimePoint m_NonEmptySince{};

    bool isOverloaded(const KindState &Kind, TimePoint Now) const {
      return Now - m_NonEmptySince > maxNonEmptyTime(Kind);
    }
  };

  static Duration maxNonEmptyTime(const KindState &Kind) {
    return std::chrono::duration_cast<Duration>(Kind.m_Settings.m_Deadline * MaxNonEmptyShare);
  }

  /// Latest start that still allows an answer before the deadline.
  static TimePoint latestStart(const WaitingRequest &Item, const KindState &Kind) {
    return Item.m_Deadline - std::min(Kind.usualTime(), Kind.m_Settings.m_Deadline / 2);
  }

  /// Latest start while the queue is overloaded.
  static TimePoint latestStartOverloaded(const WaitingRequest &Item) {
    const auto Allowed = (Item.m_Deadline - Item.m_WaitingSince) * OverloadedWaitShare;
    return Item.m_WaitingSince + std::chrono::duration_cast<Duration>(Allowed);
  }

  void dropLate(KindQueue &Queue, const KindState &Kind, TimePoint Now,
                std::vector<DroppedRequest> &Drops) {
    const bool Overloaded = Queue.isOverloaded(Kind, Now);
    while (!Queue.m_Items.empty()) {
      const WaitingRequest &Oldest = Queue.m_Items.front();
      const bool Missed = latestStart(Oldest, Kind) < Now;
      const bool WaitedTooLong = Overloaded && latestStartOverloaded(Oldest) < Now;
      if (!Missed && !WaitedTooLong) {
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
      const bool NewestFirst = Queue.isOverloaded(Kind, Now);
      const WaitingRequest Item = NewestFirst ? Queue.m_Items.back() : Queue.m_Items.front();
      if (!Start(Item)) {
        return;
      }
      if (NewestFirst) {
        Queue.m_Items.pop_back();
      } else {
        Queue.m_Items.pop_front();
      }
      --m_Size;
    }
  }

  /// Kinds with waiting requests, by descending weight per slot second.
  std::span<const KindIndex> kindsByPriority(std::span<const KindState> Kinds) {
    m_Order.clear();
    for (KindIndex Kind = 0; Kind < m_ByKind.size(); ++Kind) {
      if (!m_ByKind[Kind].m_Items.empty()) {
        m_Order.push_back(Kind);
      }
    }
    std::sort(m_Order.begin(), m_Order.end(), [Kinds](KindIndex A, KindIndex B) {
      return Kinds[A].weightPerSlotSecond() > Kinds[B].weightPerSlotSecond();
    });
    return m_Order;
  }

  void dropLowestPriority(std::span<const KindState> Kinds, std::vector<DroppedRequest> &Drops) {
    KindQueue &Queue = m_ByKind[kindsByPriority(Kinds).back()];
    Drops.push_back({.m_Request = Queue.m_Items.front().m_Request, .m_Reason = Reason::Overload});
    Queue.m_Items.pop_front();
    --m_Size;
  }

  std::vector<KindQueue> m_ByKind;
  /// Scratch space of kindsByPriority().
  std::vector<KindIndex> m_Order;
  std::size_t m_Size = 0;
};

static_assert(QueuePolicy<WeightedDeadlineQueue>);

} // namespace vanillahill::kernel
