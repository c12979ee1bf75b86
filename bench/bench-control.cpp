/// \file
/// Control cost of one VM: bytes a second on its peer links and processor time, for several numbers
/// of VMs. All VMs run in this process on one thread with the real links and the real membership,
/// and serve no request.
#include "vanillahill/membership/members.hpp"
#include "vanillahill/peer/link.hpp"

#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <sys/resource.h>

#include <cstdio>
#include <fstream>
#include <memory>

namespace {

using namespace vanillahill;

/// What is measured.
struct Plan {
  std::vector<std::size_t> m_Vms{5, 10, 20, 40, 100};
  std::size_t m_Services = 93;
  /// Hints that change between two heartbeats.
  std::size_t m_Changing = 1;
  /// 0 keeps the period of the membership, else a fixed one with an acknowledgement for each.
  std::uint32_t m_FixedPeriodMillis = 0;
  std::uint32_t m_AckDelayMillis = 0;
  std::uint32_t m_WarmUpSeconds = 6;
  std::uint32_t m_Seconds = 10;
  std::string m_Json;
};

/// Sums over all VMs at one moment.
struct Sample {
  Duration m_Processor{};
  std::uint64_t m_BytesIn = 0;
  std::uint64_t m_BytesOut = 0;
  std::uint64_t m_Messages = 0;
  std::uint64_t m_Heartbeats = 0;
  std::uint64_t m_Open = 0;
  std::uint64_t m_Lost = 0;
};

/// Figures of one VM.
struct Row {
  std::size_t m_Vms = 0;
  double m_BytesOut = 0;
  double m_BytesIn = 0;
  double m_Messages = 0;
  double m_Heartbeats = 0;
  double m_CorePercent = 0;
  double m_MicrosPerMessage = 0;
  double m_BytesPerMessage = 0;
  std::uint64_t m_Open = 0;
  std::uint64_t m_Lost = 0;
  double m_MemoryMegabytes = 0;
};

std::string nameOf(std::size_t Index) { return fmt::format("e{:03}", Index); }

/// One VM without callers and backend servers.
class Vm {
public:
  Vm(boost::asio::io_context &Io, const Plan &Measured, std::size_t Index)
      : m_Plan(Measured), m_Self(idOf<VmId>(nameOf(Index))), m_Links(Io, linkOptions(Index)),
        m_Members({.m_Self = entry(Index), .m_Incarnation = Index + 1, .m_Seed = Index}),
        m_Timer(Io) {
    for (std::size_t Service = 0; Service < m_Plan.m_Services; ++Service) {
      m_Payload.m_Hints.push_back({idOf<ServiceId>(nameOf(Service)), 6, 0});
    }
    m_Payload.m_Versions = {{"base", 812}, {"khomas", 2207}};
  }

  kernel::VmEntry entry(std::size_t Index) const {
    return {.m_Name = nameOf(Index),
            .m_PeerAddress = "127.0.0.1:" + std::to_string(m_Links.port()),
            .m_DataCenter = "eros"};
  }

  void start(const std::vector<kernel::VmEntry> &All) {
    m_All = All;
    if (m_Plan.m_FixedPeriodMillis > 0) {
      m_Links.connect(m_All);
    } else {
      kernel::Actions Out;
      m_Members.onVmList(m_All, m_Clock.now(), Out);
      carryOut(Out);
    }
    tick();
  }

  void stop() {
    m_Links.stop();
    m_Timer.cancel();
  }

  peer::LinkCounters counters() const { return m_Links.counters(); }
  std::uint64_t heartbeats() const { return m_Heartbeats; }

private:
  peer::PeerLinksOptions linkOptions(std::size_t Index) {
    peer::PeerLinksOptions Out;
    Out.m_SelfName = nameOf(Index);
    Out.m_PeerAddress = "127.0.0.1:0";
    Out.m_PeerToken = "bench";
    Out.m_OnMessage = [this](VmId From, const peer::Message &Value) { onMessage(From, Value); };
    Out.m_AckDelay = std::chrono::milliseconds(m_Plan.m_AckDelayMillis);
    Out.m_Seed = Index;
    return Out;
  }

  void onMessage(VmId From, const peer::Message &Value) {
    const auto *Beat = std::get_if<peer::Heartbeat>(&Value);
    if (m_Plan.m_FixedPeriodMillis > 0) {
      if (Beat != nullptr) {
        m_Links.send(From, peer::HeartbeatAck{Beat->m_Incarnation, Beat->m_Sequence});
      }
      return;
    }
    kernel::Actions Out;
    if (Beat != nullptr) {
      m_Members.onHeartbeat(From, *Beat, m_Clock.now(), Out);
    } else if (const auto *Ack = std::get_if<peer::HeartbeatAck>(&Value)) {
      m_Members.onAck(From, *Ack, m_Clock.now());
    }
    carryOut(Out);
    arm();
  }

  void carryOut(kernel::Actions &Out) {
    for (kernel::Action &One : Out) {
      if (auto *Send = std::get_if<kernel::SendPeer>(&One)) {
        m_Heartbeats += std::holds_alternative<peer::Heartbeat>(Send->m_Message) ? 1 : 0;
        m_Links.send(Send->m_To, std::move(Send->m_Message));
      } else if (const auto *Connect = std::get_if<kernel::ConnectPeers>(&One)) {
        m_Links.connect(Connect->m_Vms);
      }
    }
  }

  void tick() {
    for (std::size_t Index = 0; Index < m_Plan.m_Changing; ++Index) {
      auto &Hint = m_Payload.m_Hints[(m_NextChange++) % m_Payload.m_Hints.size()];
      Hint.m_IdleSlots = (Hint.m_IdleSlots + 1) % 7;
    }
    if (m_Plan.m_FixedPeriodMillis > 0) {
      sendToAll();
    } else {
      if (m_Members.joined() && m_Members.state() == peer::VmState::Starting) {
        m_Members.setState(peer::VmState::Serving);
      }
      kernel::Actions Out;
      m_Members.tick(m_Clock.now(), Out, m_Payload);
      carryOut(Out);
    }
    arm();
  }

  void sendToAll() {
    const auto Nanos = m_Clock.now().time_since_epoch().count();
    m_Payload.m_Sequence = static_cast<std::uint64_t>(Nanos);
    for (const kernel::VmEntry &To : m_All) {
      if (idOf<VmId>(To.m_Name) != m_Self) {
        ++m_Heartbeats;
        m_Links.send(idOf<VmId>(To.m_Name), m_Payload);
      }
    }
    m_NextFixed = m_Clock.now() + std::chrono::milliseconds(m_Plan.m_FixedPeriodMillis);
  }

  void arm() {
    const TimePoint Next = m_Plan.m_FixedPeriodMillis > 0 ? m_NextFixed : m_Members.nextTimer();
    if (Next == m_Armed) {
      return;
    }
    m_Armed = Next;
    m_Timer.expires_at(Next);
    m_Timer.async_wait([this](const boost::system::error_code &Code) {
      if (!Code) {
        m_Armed = TimePoint{};
        tick();
      }
    });
  }

  const Plan &m_Plan;
  VmId m_Self;
  SystemClock m_Clock;
  peer::PeerLinks m_Links;
  membership::Members m_Members;
  boost::asio::steady_timer m_Timer;
  std::vector<kernel::VmEntry> m_All;
  peer::Heartbeat m_Payload;
  TimePoint m_NextFixed{};
  TimePoint m_Armed{};
  std::size_t m_NextChange = 0;
  std::uint64_t m_Heartbeats = 0;
};

using Vms = std::vector<std::unique_ptr<Vm>>;

Duration processorTime() {
  rusage Used{};
  getrusage(RUSAGE_SELF, &Used);
  const auto Of = [](const timeval &Value) {
    return std::chrono::seconds(Value.tv_sec) + std::chrono::microseconds(Value.tv_usec);
  };
  return Of(Used.ru_utime) + Of(Used.ru_stime);
}

double residentMegabytes() {
  std::ifstream Status("/proc/self/statm");
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  Status >> Total >> Resident;
  constexpr double PageBytes = 4096;
  return static_cast<double>(Resident) * PageBytes / 1e6;
}

Sample sample(const Vms &All) {
  Sample Out;
  Out.m_Processor = processorTime();
  for (const auto &One : All) {
    const peer::LinkCounters Counters = One->counters();
    Out.m_BytesIn += Counters.m_BytesIn;
    Out.m_BytesOut += Counters.m_BytesOut;
    Out.m_Messages += Counters.m_FramesIn + Counters.m_FramesOut;
    Out.m_Heartbeats += One->heartbeats();
    Out.m_Open += Counters.m_Open;
    Out.m_Lost += Counters.m_Unsent + Counters.m_Dropped;
  }
  return Out;
}

Row measure(const Plan &Measured, std::size_t Count) {
  const double MemoryBefore = residentMegabytes();
  boost::asio::io_context Io(1);
  Vms All;
  std::vector<kernel::VmEntry> Entries;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    All.push_back(std::make_unique<Vm>(Io, Measured, Index));
    Entries.push_back(All.back()->entry(Index));
  }
  for (const auto &One : All) {
    One->start(Entries);
  }
  Io.run_for(std::chrono::seconds(Measured.m_WarmUpSeconds));
  const Sample Before = sample(All);
  Io.run_for(std::chrono::seconds(Measured.m_Seconds));
  const Sample After = sample(All);
  const double PerVmSecond = static_cast<double>(Count) * Measured.m_Seconds;
  const auto Rate = [&](std::uint64_t Last, std::uint64_t First) {
    return static_cast<double>(Last - First) / PerVmSecond;
  };
  const double Processor =
      std::chrono::duration<double>(After.m_Processor - Before.m_Processor).count();
  Row Out;
  Out.m_Vms = Count;
  Out.m_BytesOut = Rate(After.m_BytesOut, Before.m_BytesOut);
  Out.m_BytesIn = Rate(After.m_BytesIn, Before.m_BytesIn);
  Out.m_Messages = Rate(After.m_Messages, Before.m_Messages);
  Out.m_Heartbeats = Rate(After.m_Heartbeats, Before.m_Heartbeats);
  Out.m_CorePercent = 100 * Processor / PerVmSecond;
  Out.m_MicrosPerMessage = 1e6 * Processor / PerVmSecond / Out.m_Messages;
  Out.m_BytesPerMessage = (Out.m_BytesOut + Out.m_BytesIn) / Out.m_Messages;
  Out.m_Open = After.m_Open / Count;
  Out.m_Lost = After.m_Lost - Before.m_Lost;
  Out.m_MemoryMegabytes = (residentMegabytes() - MemoryBefore) / static_cast<double>(Count);
  for (const auto &One : All) {
    One->stop();
  }
  Io.run_for(std::chrono::seconds(1));
  return Out;
}

nlohmann::json toJson(const Row &Value) {
  return {{"vms", Value.m_Vms},
          {"bytes_out_per_s", Value.m_BytesOut},
          {"bytes_in_per_s", Value.m_BytesIn},
          {"messages_per_s", Value.m_Messages},
          {"heartbeats_per_s", Value.m_Heartbeats},
          {"core_percent", Value.m_CorePercent},
          {"us_per_message", Value.m_MicrosPerMessage},
          {"bytes_per_message", Value.m_BytesPerMessage},
          {"open_links", Value.m_Open},
          {"lost_messages", Value.m_Lost},
          {"memory_mb", Value.m_MemoryMegabytes}};
}

void print(const Row &Value) {
  std::printf("%5zu %11.0f %11.0f %9.1f %12.1f %8.3f %10.2f %10.1f %6llu %6llu %8.2f\n",
              Value.m_Vms, Value.m_BytesOut, Value.m_BytesIn, Value.m_Messages, Value.m_Heartbeats,
              Value.m_CorePercent, Value.m_MicrosPerMessage, Value.m_BytesPerMessage,
              static_cast<unsigned long long>(Value.m_Open),
              static_cast<unsigned long long>(Value.m_Lost), Value.m_MemoryMegabytes);
  std::fflush(stdout);
}

} // namespace

int main(int Argc, char **Argv) {
  Plan Measured;
  CLI::App App("Control cost of one VM on its peer links, for several numbers of VMs.");
  App.add_option("--vms", Measured.m_Vms, "numbers of VMs")->delimiter(',')->capture_default_str();
  App.add_option("--services", Measured.m_Services, "services, one hint each")
      ->check(CLI::Range(1, 1000))
      ->capture_default_str();
  App.add_option("--changing", Measured.m_Changing, "hints that change for each heartbeat")
      ->capture_default_str();
  App.add_option("--fixed-period-ms", Measured.m_FixedPeriodMillis,
                 "heartbeats at this period, each acknowledged; 0: as the membership does")
      ->capture_default_str();
  App.add_option("--ack-delay-ms", Measured.m_AckDelayMillis,
                 "how long an acknowledgement may wait for another message")
      ->capture_default_str();
  App.add_option("--warm-up", Measured.m_WarmUpSeconds, "seconds before measuring")
      ->capture_default_str();
  App.add_option("--seconds", Measured.m_Seconds, "seconds measured")->capture_default_str();
  App.add_option("--json", Measured.m_Json, "file for the figures");
  CLI11_PARSE(App, Argc, Argv);
  std::printf("%5s %11s %11s %9s %12s %8s %10s %10s %6s %6s %8s\n", "VMs", "B/s out", "B/s in",
              "msg/s", "heartbeats/s", "% core", "us/msg", "B/msg", "open", "lost", "MB");
  nlohmann::json Rows = nlohmann::json::array();
  for (const std::size_t Count : Measured.m_Vms) {
    const Row Value = measure(Measured, Count);
    print(Value);
    Rows.push_back(toJson(Value));
  }
  if (!Measured.m_Json.empty()) {
    std::ofstream(Measured.m_Json) << Rows.dump(2) << '\n';
  }
  return 0;
}
