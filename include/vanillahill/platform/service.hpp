/// \file
/// What the stand-in answers to each HTTP call, faults included; without sockets.
#pragma once

#include "vanillahill/platform/log_store.hpp"
#include "vanillahill/platform/vm_list.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

namespace vanillahill::platform {

/// How the log behaves.
enum class LogMode : std::uint8_t { Up, Down, Slow };

/// Faults that PUT /fault sets.
struct Faults {
  LogMode m_Log = LogMode::Up;
  /// Delay of each log reply while slow.
  Duration m_SlowDelay = std::chrono::seconds(2);
  /// Probability that an append takes effect and its reply is lost.
  double m_LoseReplies = 0;
  /// The VM list is shown as it was this long ago.
  Duration m_VmListLag{};
};

/// One HTTP call.
struct Call {
  std::string_view m_Method;
  /// Path and query.
  std::string_view m_Target;
  std::string_view m_Body;
};

/// What is to be done with a call.
struct Verdict {
  unsigned m_Status = 200;
  std::string m_Body;
  /// The reply is sent after this.
  Duration m_Delay{};
  /// The connection is closed without a reply.
  bool m_Lost = false;
  /// Ask again when a record was appended or after this time.
  Duration m_Wait{};
};

struct ServiceOptions {
  RetentionOptions m_Retention;
  std::uint64_t m_Seed = 1;
};

/// The log service and the VM list. Not thread safe.
class Service {
public:
  explicit Service(ServiceOptions Options) : m_Log(Options.m_Retention), m_Random(Options.m_Seed) {}

  /// \brief Answers a call.
  /// \param MayWait whether a read without a record may ask to wait
  Verdict answer(const Call &Request, TimePoint Now, bool MayWait);

  /// \brief Offset that the next record gets.
  std::uint64_t nextOffset() const { return m_Log.next(); }

private:
  Verdict answerLog(const Call &Request, TimePoint Now, bool MayWait);
  Verdict appendRecord(const Call &Request, TimePoint Now);
  Verdict readRecords(const Call &Request, TimePoint Now, bool MayWait);
  Verdict answerVms(const Call &Request, TimePoint Now);
  Verdict answerFault(const Call &Request);

  LogStore m_Log;
  VmList m_Vms;
  Faults m_Faults;
  std::mt19937_64 m_Random;
};

} // namespace vanillahill::platform
