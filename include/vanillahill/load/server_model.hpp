/// \file
/// One stand-in backend server as a state machine without input or output: slots, queue, faults.
#pragma once

#include "vanillahill/core/time.hpp"
#include "vanillahill/load/fault.hpp"
#include "vanillahill/load/service_time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace vanillahill::load {

/// One request at one server.
using Ticket = std::uint64_t;

enum class OutcomeKind : std::uint8_t {
  /// Took a slot.
  Started,
  /// Ran to its end.
  Completed,
  /// Did not start, and the server says so.
  NotRun,
  /// Did not start, and the server answers an error that does not say so.
  Rejected,
  /// Did not start; the connection is to be reset.
  Reset,
};

struct Outcome {
  Ticket m_Ticket = 0;
  OutcomeKind m_Kind = OutcomeKind::Started;
};

/// What to do to a reply.
enum class ReplyFault : std::uint8_t { None, Swap, Cut, Late };

struct ServerModelOptions {
  std::uint32_t m_Slots = 6;
  /// Requests that may wait; more are refused as not run.
  std::uint32_t m_QueueLimit = 64;
  /// Age of what the health endpoint says.
  Duration m_HealthLag = std::chrono::milliseconds(500);
  std::uint64_t m_Seed = 1;
};

/// What the health endpoint says.
struct HealthReport {
  TimePoint m_At{};
  bool m_TakesWork = true;
  std::uint32_t m_Running = 0;
  std::uint32_t m_Queued = 0;
};

/// A request that is handed to the server.
struct Work {
  Ticket m_Ticket = 0;
  /// Time that it takes at full speed.
  Duration m_Time{};
  /// A request that still waits then is not started.
  TimePoint m_Deadline = TimePoint::max();
};

/// Not thread safe. Every call is given the time, which must not go back.
class ServerModel {
public:
  explicit ServerModel(ServerModelOptions Options);

  /// \brief Takes a request. \param Out what follows from it at once
  void arrive(TimePoint Now, const Work &Request, std::vector<Outcome> &Out);

  /// \brief Gives up a request; a running one frees its slot.
  /// \return false if the request is not here
  bool cancel(TimePoint Now, Ticket Id, std::vector<Outcome> &Out);

  /// \brief Carries time forward. \param Out requests that ended or started since
  void advance(TimePoint Now, std::vector<Outcome> &Out);

  /// \brief Begins a fault that lasts from now for its time.
  void begin(TimePoint Now, const Fault &What, std::vector<Outcome> &Out);

  /// \brief When advance must be called next. \return nothing while idle
  std::optional<TimePoint> nextEvent() const;

  /// \brief What the health endpoint says now, with its lag and its lies.
  HealthReport health(TimePoint Now);

  /// \brief Draws what is done to the next reply. \param Delay set for Late
  ReplyFault replyFault(Duration &Delay);

  bool isLeaving() const { return has(FaultKind::Drain); }
  bool isDown() const { return has(FaultKind::Down); }
  std::uint32_t running() const { return static_cast<std::uint32_t>(m_Running.size()); }
  std::uint32_t queued() const { return static_cast<std::uint32_t>(m_Queue.size()); }
  double speed() const { return m_Speed; }

private:
  struct Running {
    Ticket m_Ticket = 0;
    /// Time left at full speed, in seconds.
    double m_Left = 0;
  };
  struct ActiveFault {
    Fault m_Fault;
    TimePoint m_End;
    TimePoint m_NextShift;
    double m_NoiseSpeed = 1.0;
    std::uint32_t m_RequestsLeft = 0;
  };

  bool has(FaultKind Kind) const { return find(Kind) != nullptr; }
  const ActiveFault *find(FaultKind Kind) const;
  bool chance(double Share);
  std::optional<OutcomeKind> refusal();
  void start(const Work &Request, std::vector<Outcome> &Out);
  void fillSlots(std::vector<Outcome> &Out);
  double coldFactor();
  void work(TimePoint Until);
  void collectDone(std::vector<Outcome> &Out);
  void updateFaults();
  void updateSpeed();
  void report();

  ServerModelOptions m_Options;
  Engine m_Random;
  TimePoint m_Now{};
  double m_Speed = 1.0;
  std::vector<Running> m_Running;
  std::deque<Work> m_Queue;
  std::vector<ActiveFault> m_Faults;
  std::deque<HealthReport> m_Reports;
};

} // namespace vanillahill::load
