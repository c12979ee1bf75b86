#include "vanillahill/load/load_runner.hpp"

#include "detail/address.hpp"
#include "detail/answer.hpp"
#include "detail/client_pool.hpp"
#include "detail/measuring.hpp"

#include "vanillahill/load/http_call.hpp"
#include "vanillahill/load/ledger.hpp"

#include <boost/asio/io_context.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <unordered_map>

namespace vanillahill::load {

namespace {

using boost::asio::ip::tcp;
using detail::Acquired;
using detail::Answer;
using detail::HttpRequest;
using ErrorCode = boost::system::error_code;

constexpr Duration LeastRepeatWait = std::chrono::milliseconds(50);
constexpr Duration MostImpatience = std::chrono::milliseconds(30);

TimePoint timeNow() { return SystemClock().now(); }

/// One logical operation of a caller.
struct Operation {
  std::string m_Name;
  std::size_t m_Kind = 0;
  TimePoint m_Intended;
  bool m_Counted = false;
  std::uint32_t m_Attempts = 0;
  std::uint32_t m_Outstanding = 0;
  std::optional<std::size_t> m_LastEntry;
  /// The best ending so far; Completed is final.
  EndedOperation m_Best;
  bool m_HasBest = false;
};

/// One attempt of an operation, on its way.
struct Attempt {
  std::uint64_t m_Operation = 0;
  detail::SentIds m_Ids;
  Acquired m_At;
};

/// The order in which endings win when an operation had several attempts.
int rank(Ending Value) {
  switch (Value) {
  case Ending::Completed:
    return 4;
  case Ending::Unknown:
    return 3;
  case Ending::Cut:
    return 2;
  case Ending::Failed:
    return 1;
  case Ending::NotRun:
    return 0;
  }
  return 0;
}

class Runner {
public:
  Runner(const LoadOptions &Options, std::vector<tcp::endpoint> Entries, Ledger History);
  LoadResult run();

private:
  void scheduleNext();
  void sendDue();
  void begin(const Arrival &Next);
  void beImpatient(std::uint64_t Id);
  void attempt(std::uint64_t Id);
  void later(Duration Wait, std::function<void()> Step);
  void send(std::uint64_t Id, const Acquired &At);
  HttpRequest makeRequest(const Operation &What, const detail::SentIds &Ids) const;
  void answered(const Attempt &Sent, detail::Exchanged &&Got);
  void settle(std::uint64_t Id, const Answer &Got, bool MayRepeat);
  void end(std::uint64_t Id);
  void noteBest(Operation &What, const Answer &Got) const;
  TimePoint limitOf(const Operation &What) const;
  std::string entryName(std::size_t Entry) const;
  void showProgress();

  const LoadOptions &m_Options;
  boost::asio::io_context m_Io{1};
  Ledger m_Ledger;
  detail::ClientPool m_Pool;
  Schedule m_Schedule;
  Engine m_Random;
  boost::asio::steady_timer m_SendTimer;
  boost::asio::steady_timer m_ProgressTimer;
  std::unordered_map<std::uint64_t, Operation> m_Open;
  Arrival m_Next;
  TimePoint m_Start;
  std::uint64_t m_Operations = 0;
  bool m_Sending = true;
  LoadResult m_Result;
};

Runner::Runner(const LoadOptions &Options, std::vector<tcp::endpoint> Entries, Ledger History)
    : m_Options(Options), m_Ledger(std::move(History)),
      m_Pool(m_Io, std::move(Entries),
             {.m_Entries = Options.m_Entries.size(),
              .m_Spread = Options.m_Spread,
              .m_SkipTime = Options.m_SkipTime,
              .m_Seed = Options.m_Seed}),
      m_Schedule(Options.m_Kinds, {Options.m_RequestsPerSecond, Options.m_Seed}),
      m_Random(Options.m_Seed + 1), m_SendTimer(m_Io), m_ProgressTimer(m_Io) {
  for (const KindLoad &Kind : Options.m_Kinds) {
    m_Result.m_Kinds.emplace_back().m_Kind = Kind;
  }
  m_Result.m_Time = Options.m_Time;
}

LoadResult Runner::run() {
  m_Start = timeNow();
  m_Next = m_Schedule.next();
  scheduleNext();
  showProgress();
  m_Io.run();
  m_Ledger.flush();
  m_Result.m_RefusedConnections = m_Pool.refused();
  return std::move(m_Result);
}

void Runner::scheduleNext() {
  m_SendTimer.expires_at(m_Start + m_Next.m_At);
  m_SendTimer.async_wait([this](const ErrorCode &) { sendDue(); });
}

void Runner::sendDue() {
  while (m_Start + m_Next.m_At <= timeNow()) {
    if (m_Next.m_At >= m_Options.m_Warmup + m_Options.m_Time) {
      m_Sending = false;
      m_ProgressTimer.cancel();
      return;
    }
    begin(m_Next);
    m_Next = m_Schedule.next();
  }
  scheduleNext();
}

void Runner::begin(const Arrival &Next) {
  const std::uint64_t Id = ++m_Operations;
  Operation &What = m_Open[Id];
  What.m_Name = fmt::format("{}-{}", m_Options.m_Name, Id);
  What.m_Kind = Next.m_Kind;
  What.m_Intended = m_Start + Next.m_At;
  What.m_Counted = Next.m_At >= m_Options.m_Warmup;
  m_Result.m_SendLag.add(timeNow() - What.m_Intended);
  if (!m_Options.m_Kinds[Next.m_Kind].m_Idempotent) {
    beImpatient(Id);
  }
  attempt(Id);
}

void Runner::beImpatient(std::uint64_t Id) {
  if (m_Options.m_ImpatientShare <= 0) {
    return;
  }
  const bool Impatient = std::bernoulli_distribution(m_Options.m_ImpatientShare)(m_Random);
  std::uniform_int_distribution<std::int64_t> Waits(0, MostImpatience.count());
  const Duration Wait(Waits(m_Random));
  if (Impatient) {
    ++m_Open[Id].m_Outstanding;
    later(Wait, [this, Id] {
      --m_Open[Id].m_Outstanding;
      attempt(Id);
    });
  }
}

void Runner::later(Duration Wait, std::function<void()> Step) {
  const auto Timer = std::make_shared<boost::asio::steady_timer>(m_Io);
  Timer->expires_after(Wait);
  Timer->async_wait([Timer, Step = std::move(Step)](const ErrorCode &) { Step(); });
}

void Runner::attempt(std::uint64_t Id) {
  Operation &What = m_Open[Id];
  ++What.m_Outstanding;
  m_Pool.acquire(limitOf(What), What.m_LastEntry, [this, Id](const Acquired &At) { send(Id, At); });
}

TimePoint Runner::limitOf(const Operation &What) const {
  const Duration Patience = m_Options.m_Kinds[What.m_Kind].m_Deadline + m_Options.m_Patience;
  return std::max(What.m_Intended, timeNow()) + Patience;
}

void Runner::send(std::uint64_t Id, const Acquired &At) {
  if (!At.m_Client) {
    Answer Nobody;
    Nobody.m_Ending = Ending::NotRun;
    Nobody.m_Reason = "no_entry";
    settle(Id, Nobody, false);
    return;
  }
  Operation &What = m_Open[Id];
  const KindLoad &Kind = m_Options.m_Kinds[What.m_Kind];
  Attempt Sent{.m_Operation = Id, .m_Ids = {}, .m_At = At};
  Sent.m_Ids = {.m_Request = fmt::format("{}-{}", What.m_Name, What.m_Attempts),
                .m_Operation = What.m_Name,
                .m_IsRepeat = What.m_Attempts > 0};
  HttpRequest Request = makeRequest(What, Sent.m_Ids);
  ++What.m_Attempts;
  What.m_LastEntry = At.m_Entry;
  m_Ledger.write(timeNow(), history::Send{.m_Request = Sent.m_Ids.m_Request,
                                          .m_Operation = What.m_Name,
                                          .m_Kind = Kind.m_Name,
                                          .m_Idempotent = Kind.m_Idempotent,
                                          .m_Vm = entryName(At.m_Entry),
                                          .m_Key = Kind.m_Idempotent ? std::string() : What.m_Name,
                                          .m_First = !Sent.m_Ids.m_IsRepeat});
  At.m_Client->exchange(std::move(Request), limitOf(What),
                        [this, Sent](detail::Exchanged &&Got) { answered(Sent, std::move(Got)); });
}

HttpRequest Runner::makeRequest(const Operation &What, const detail::SentIds &Ids) const {
  namespace http = boost::beast::http;
  const KindLoad &Kind = m_Options.m_Kinds[What.m_Kind];
  HttpRequest Request;
  Request.version(11);
  Request.target("/" + Kind.m_Name);
  Request.set(http::field::host, "entry");
  Request.set("VH-Request", Ids.m_Request);
  Request.set("VH-Operation", Ids.m_Operation);
  if (Kind.m_Idempotent) {
    Request.method(http::verb::get);
    return Request;
  }
  Request.method(http::verb::post);
  Request.set("Idempotency-Key", What.m_Name);
  if (Ids.m_IsRepeat) {
    // Rounded up: an age below the true one could hide the first attempt.
    const std::int64_t Age = toMillis(timeNow() - What.m_Intended) + 1;
    Request.set("Idempotency-Age-Ms", std::to_string(Age));
  } else {
    Request.set("Idempotency-First", "true");
  }
  Request.set(http::field::content_type, "application/json");
  Request.body() = fmt::format(R"({{"operation":"{}"}})", What.m_Name);
  Request.prepare_payload();
  return Request;
}

void Runner::answered(const Attempt &Sent, detail::Exchanged &&Got) {
  const Answer Read = detail::readAnswer(Got, Sent.m_Ids);
  if (Got.m_Whole) {
    m_Pool.release(Sent.m_At.m_Entry, Sent.m_At.m_Client);
  }
  m_Result.m_Foreign += Read.m_Foreign ? 1 : 0;
  m_Result.m_Incomplete += Read.m_Incomplete ? 1 : 0;
  m_Ledger.write(timeNow(), history::Answer{.m_Request = Sent.m_Ids.m_Request,
                                            .m_Operation = Sent.m_Ids.m_Operation,
                                            .m_Ending = detail::historyEnding(Read.m_Ending),
                                            .m_Reason = Read.m_Reason,
                                            .m_Echo = Read.m_Echo,
                                            .m_Whole = Read.m_Whole});
  settle(Sent.m_Operation, Read, true);
}

void Runner::noteBest(Operation &What, const Answer &Got) const {
  if (What.m_HasBest && rank(Got.m_Ending) <= rank(What.m_Best.m_Ending)) {
    return;
  }
  What.m_HasBest = true;
  What.m_Best.m_Ending = Got.m_Ending;
  What.m_Best.m_Reason = Got.m_Reason;
  What.m_Best.m_Latency = timeNow() - What.m_Intended;
  What.m_Best.m_Way = 2 * m_Options.m_Distance;
}

void Runner::settle(std::uint64_t Id, const Answer &Got, bool MayRepeat) {
  Operation &What = m_Open[Id];
  --What.m_Outstanding;
  noteBest(What, Got);
  const bool Unclear = Got.m_Ending == Ending::Unknown || Got.m_Ending == Ending::Cut;
  const bool Settled = What.m_Best.m_Ending == Ending::Completed;
  if (MayRepeat && Unclear && !Settled && What.m_Attempts <= m_Options.m_Repeats) {
    ++What.m_Outstanding;
    later(std::max(Got.m_RetryAfter, LeastRepeatWait), [this, Id] {
      --m_Open[Id].m_Outstanding;
      attempt(Id);
    });
    return;
  }
  if (What.m_Outstanding == 0) {
    end(Id);
  }
}

void Runner::end(std::uint64_t Id) {
  const auto Found = m_Open.find(Id);
  Operation &What = Found->second;
  What.m_Best.m_Repeats = What.m_Attempts > 0 ? What.m_Attempts - 1 : 0;
  if (What.m_Counted) {
    count(m_Result.m_Kinds[What.m_Kind], What.m_Best);
  }
  m_Open.erase(Found);
}

std::string Runner::entryName(std::size_t Entry) const {
  return Entry < m_Options.m_EntryNames.size() ? m_Options.m_EntryNames[Entry]
                                               : m_Options.m_Entries[Entry];
}

void Runner::showProgress() {
  m_ProgressTimer.expires_after(std::chrono::seconds(1));
  m_ProgressTimer.async_wait([this](const ErrorCode &Failure) {
    if (Failure || !m_Sending) {
      return;
    }
    if (m_Options.m_Progress) {
      m_Options.m_Progress(
          fmt::format("{:.0f} of {:.0f} s, {} sent, {} open, {} completed",
                      std::chrono::duration<double>(timeNow() - m_Start).count(),
                      std::chrono::duration<double>(m_Options.m_Warmup + m_Options.m_Time).count(),
                      m_Operations, m_Open.size(), m_Result.completed()));
    }
    showProgress();
  });
}

} // namespace

Result<LoadResult> runLoad(const LoadOptions &Options) {
  std::vector<tcp::endpoint> Entries;
  for (const std::string &Text : Options.m_Entries) {
    const auto Place = detail::parseAddress(Text);
    if (!Place) {
      return Place.error();
    }
    Entries.push_back(*Place);
  }
  Result<Ledger> History = Ledger::open(Options.m_History);
  if (!History) {
    return History.error();
  }
  if (!Options.m_Control.empty()) {
    const auto Reset = httpCall(
        {.m_Address = Options.m_Control, .m_Method = "POST", .m_Target = "/reset", .m_Body = {}});
    if (!Reset) {
      return Reset.error();
    }
  }
  const TimePoint Start = timeNow();
  LoadResult Measured = Runner(Options, std::move(Entries), std::move(*History)).run();
  Measured.m_MeasuringTime = timeNow() - Start;
  if (!Options.m_Control.empty()) {
    Result<std::vector<MeasuringCost>> Costs = detail::readMeasuring(Options.m_Control);
    if (!Costs) {
      return Costs.error();
    }
    Measured.m_Measuring = std::move(*Costs);
  }
  return Measured;
}

} // namespace vanillahill::load
