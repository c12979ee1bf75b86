/// \file
/// A fleet of FleetClient objects on one paused clock, with links of limited rate, slow processors,
/// a store and losses.
#pragma once

#include "vanillahill/net/detail/fleet_client.hpp"
#include "vanillahill/observe/log.hpp"

#include <gtest/gtest.h>

#include <deque>
#include <map>

namespace vanillahill::net {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Sizes and speeds of a DistributionFleet.
struct DistributionOptions {
  std::size_t m_Vms = 137;
  std::size_t m_DataCenters = 4;
  Duration m_Bound = milliseconds(2500);
  /// VMs of each data centre with a fast link and processor.
  std::size_t m_FastVms = 2;
  /// Length of a configuration in the store, and of a snapshot with it.
  std::size_t m_TextBytes = 700'000;
  std::size_t m_FrameBytes = 90'000;
  /// Processor time, on a fast VM, to decode a configuration and bring it into force, and to
  /// compress it.
  Duration m_DecodeTime = milliseconds(60);
  Duration m_CompressTime = milliseconds(20);
  /// By how much the other VMs are slower.
  int m_Slowdown = 5;
  /// Share of the VMs that the store turns away, and of the datagrams that are lost.
  double m_TurnedAway = 0.0;
  double m_Lost = 0.0;
  std::uint64_t m_Seed = 1;
};

/// Runs the clients of all VMs. Each VM handles one event at a time and is busy for the processor
/// time that it takes; each transfer takes the time that the links of both ends need for it, one
/// after the other.
class DistributionFleet {
public:
  explicit DistributionFleet(DistributionOptions Options)
      : m_Options(Options), m_Random(Options.m_Seed) {
    Active = this;
    observe::setLogLevel("off");
    addServerRecord();
    publish();
    for (std::size_t Index = 0; Index < m_Options.m_Vms; ++Index) {
      addVm(Index);
    }
    std::uniform_int_distribution<Duration::rep> StartsWithin(0,
                                                              Duration(milliseconds(300)).count());
    for (std::size_t Index = 0; Index < m_Options.m_Vms; ++Index) {
      at(m_Now + Duration(StartsWithin(m_Random)), Index,
         [this, Index] { m_Vms[Index].m_Client->start(); });
    }
  }

  ~DistributionFleet() {
    for (Vm &Each : m_Vms) {
      Each.m_Client->close();
    }
    Active = nullptr;
  }
  DistributionFleet(const DistributionFleet &) = delete;
  DistributionFleet &operator=(const DistributionFleet &) = delete;

  /// Writes the next version of the configuration to the store, at once.
  void publish() {
    ++m_Version;
    m_Configurations.push_back({.m_Key = "config", .m_Value = configurationText(m_Version)});
    m_PublishedAt.push_back(m_Now);
    for (const auto &[Number, Asked] : std::exchange(m_Held, {})) {
      answerRead(Asked);
    }
  }

  void runFor(Duration Time) {
    const TimePoint Until = m_Now + Time;
    while (!m_Events.empty() && m_Events.begin()->first <= Until) {
      auto Next = m_Events.extract(m_Events.begin());
      m_Now = std::max(m_Now, Next.key());
      Next.mapped()();
    }
    m_Now = Until;
  }

  /// Stops the VMs that read the configuration from the store last.
  void killReaders(std::size_t Count) {
    for (; Count > 0 && !m_Readers.empty(); --Count) {
      m_Vms[m_Readers.back()].m_IsDead = true;
      std::erase(m_Readers, std::size_t(m_Readers.back()));
    }
  }

  /// From when each VM that lives had a version in force; the longest time from its publication.
  /// Duration::max() while a VM has not got it.
  Duration slowest(std::uint64_t Version) const {
    Duration Longest{};
    for (const Vm &Each : m_Vms) {
      const auto Found = Each.m_InForceAt.lower_bound(Version);
      if (!Each.m_IsDead) {
        Longest = std::max(Longest, Found == Each.m_InForceAt.end()
                                        ? Duration::max()
                                        : Found->second - m_PublishedAt[Version - 1]);
      }
    }
    return Longest;
  }

  std::uint64_t version() const { return m_Version; }
  /// Whether the store turns DistributionOptions::m_TurnedAway away now.
  bool m_IsTurningAway = false;
  /// Reads of the store, and bytes that it sent.
  std::size_t m_Reads = 0;
  std::size_t m_StoreBytes = 0;

private:
  static constexpr double SlowBytesPerMilli = 1250.0;
  static constexpr double FastBytesPerMilli = 25000.0;
  /// The rate of all reads of the store together.
  static constexpr double StoreBytesPerMilli = 80000.0;
  static constexpr Duration Latency = milliseconds(1);
  static constexpr Duration StoreTime = milliseconds(4);
  static constexpr Duration MessageTime = microseconds(40);
  static constexpr Duration SnapshotSilence = milliseconds(600);
  static constexpr Duration MaxSnapshotTime = seconds(2);
  static constexpr Duration ServerRecordInterval = milliseconds(60);
  static constexpr std::size_t ServerRecordBytes = 250;

  /// Length of the texts that are passed around, in place of DistributionOptions::m_TextBytes.
  static constexpr std::size_t SimulatedTextBytes = 110'000;

  struct Vm {
    std::shared_ptr<FleetClient> m_Client;
    std::string m_Ip;
    bool m_IsFast = false;
    bool m_IsDead = false;
    bool m_IsTurnedAway = false;
    TimePoint m_BusyUntil{};
    TimePoint m_ReceivesUntil{};
    TimePoint m_SendsUntil{};
    std::size_t m_Transfers = 0;
    TimePoint m_TimerAt = TimePoint::max();
    std::function<void()> m_TimerDue;
    /// Time of the next event that looks at the timer.
    TimePoint m_TimerQueuedAt = TimePoint::max();
    /// Events that wait for the processor.
    std::deque<std::function<void()>> m_Inbox;
    bool m_IsAwaited = false;
    std::string m_LastFrame;
    Datagrams::Receiver m_OnDatagram;
    std::map<std::uint64_t, TimePoint> m_InForceAt;
  };

  struct Read {
    std::size_t m_Vm = 0;
    fleet::Stream m_Stream = fleet::Stream::Configuration;
    std::optional<std::uint64_t> m_From;
    TimePoint m_AskedAt{};
    StoreReadBegun m_Begun;
    StoreReadDone m_Done;
  };

  /// Text that does not fit into an announcement when it is compressed.
  static std::string configurationText(std::uint64_t Version) {
    constexpr std::size_t CompressedBytes = 12'000;
    std::mt19937_64 Random(Version);
    std::string Text = std::to_string(Version) + " ";
    while (Text.size() < CompressedBytes) {
      Text.push_back(static_cast<char>(Random() % 255 + 1));
    }
    Text.resize(SimulatedTextBytes, ' ');
    return Text;
  }

  static Result<fleet::Configuration> decodeConfiguration(std::string_view Text) {
    Active->charge(Active->m_Options.m_DecodeTime);
    return fleet::Configuration{.m_Version =
                                    std::stoull(std::string(Text.substr(0, Text.find(' ')))),
                                .m_Services = {{.m_Name = "svc"}}};
  }

  static Result<fleet::ServerEntry> decodeServer(std::string_view Id, std::string_view Text) {
    return fleet::ServerEntry{.m_Id = std::string(Id),
                              .m_Service = "svc",
                              .m_Address = "127.0.0.1:1",
                              .m_BornMillis = 1,
                              .m_Sequence = std::stoull(std::string(Text))};
  }

  void addVm(std::size_t Index) {
    const std::size_t DataCenter = Index % m_Options.m_DataCenters;
    const std::size_t Number = Index / m_Options.m_DataCenters;
    Vm Added{.m_Ip = "10." + std::to_string(DataCenter) + "." + std::to_string(Number / 200) + "." +
                     std::to_string(Number % 200 + 1),
             .m_IsFast = Number < m_Options.m_FastVms,
             .m_IsTurnedAway = std::bernoulli_distribution(m_Options.m_TurnedAway)(m_Random)};
    m_Indices[Added.m_Ip] = Index;
    FleetRuntime Runtime{.m_Now = [this] { return m_Now; },
                         .m_CallAt =
                             [this, Index](TimePoint When, std::function<void()> Due) {
                               setTimer(Index, When, std::move(Due));
                             },
                         .m_Send =
                             [this, Index](const std::string &Ip, std::string_view Datagram) {
                               send(Index, Ip, std::string(Datagram));
                             },
                         .m_Receive =
                             [this, Index](Datagrams::Receiver OnDatagram) {
                               m_Vms[Index].m_OnDatagram = std::move(OnDatagram);
                             },
                         .m_Close = [] {}};
    StoreAccess Access{
        .m_Read =
            [this, Index](fleet::Stream Which, std::optional<std::uint64_t> From, Duration HoldTime,
                          StoreReadBegun OnBegun, StoreReadDone Done) {
              read(Index, Which, From, HoldTime, std::move(OnBegun), std::move(Done));
            },
        .m_DecodeConfiguration = &decodeConfiguration,
        .m_DecodeServer = &decodeServer,
        .m_ConfigurationKey = "config"};
    Added.m_Client = std::make_shared<FleetClient>(
        std::move(Runtime), std::move(Access),
        FleetClientOptions{
            .m_Follower = {.m_Bound = m_Options.m_Bound,
                           .m_Seed = m_Options.m_Seed * 1000 + Index,
                           .m_LinkBitsPerSecond = linkOf(Added) * SimulatedTextBytes /
                                                  static_cast<double>(m_Options.m_TextBytes),
                           .m_Rank = fleet::rankOf(linkOf(Added), Added.m_Ip)},
            .m_Peers = {.m_SelfIp = Added.m_Ip,
                        .m_DataCenter = "dc" + std::to_string(DataCenter),
                        .m_SeedIps = {"10.0.0.1", "10.1.0.1", "10.2.0.1"},
                        .m_Seed = m_Options.m_Seed * 1000 + Index},
            .m_OnSettings = [](const std::shared_ptr<const SiteSettings> &) {},
            .m_OnServerFailed = [](ServerId) {},
            .m_FetchSnapshot =
                [this, Index](const std::string &Ip, const fleet::SnapshotRequest &Wanted,
                              const SnapshotDone &Done) { fetch(Index, Ip, Wanted, Done); }});
    m_Vms.push_back(std::move(Added));
  }

  Duration scaled(const Vm &Of, Duration FastTime) const {
    return Of.m_IsFast ? FastTime : FastTime * m_Options.m_Slowdown;
  }

  static double rateOf(const Vm &Of) { return Of.m_IsFast ? FastBytesPerMilli : SlowBytesPerMilli; }

  static double linkOf(const Vm &Of) {
    constexpr double BitsPerByte = 8.0;
    constexpr double MillisPerSecond = 1000.0;
    return rateOf(Of) * BitsPerByte * MillisPerSecond;
  }

  static Duration timeOf(std::size_t Bytes, double BytesPerMilli) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>(static_cast<double>(Bytes) / BytesPerMilli));
  }

  /// Adds processor time of the VM whose event is being handled.
  void charge(Duration FastTime) {
    if (m_Handling) {
      Vm &Busy = m_Vms[*m_Handling];
      Busy.m_BusyUntil = std::max(Busy.m_BusyUntil, m_Now) + scaled(Busy, FastTime);
    }
  }

  /// When the VM whose event is being handled has come to this point of it.
  TimePoint reached() const {
    return m_Handling ? std::max(m_Now, m_Vms[*m_Handling].m_BusyUntil) : m_Now;
  }

  /// Lets a VM handle an event once its processor is free.
  void at(TimePoint When, std::size_t Index, std::function<void()> Handle) {
    m_Events.emplace(When, [this, Index, Handle = std::move(Handle)]() mutable {
      m_Vms[Index].m_Inbox.push_back(std::move(Handle));
      handleInbox(Index);
    });
  }

  void handleInbox(std::size_t Index) {
    Vm &Handler = m_Vms[Index];
    while (!Handler.m_IsDead && !Handler.m_Inbox.empty() && Handler.m_BusyUntil <= m_Now) {
      const auto Handle = std::move(Handler.m_Inbox.front());
      Handler.m_Inbox.pop_front();
      m_Handling = Index;
      charge(MessageTime);
      Handle();
      Handler.m_InForceAt.try_emplace(Handler.m_Client->version(), reached());
      m_Handling.reset();
    }
    if (Handler.m_IsDead) {
      Handler.m_Inbox.clear();
    }
    if (!Handler.m_Inbox.empty() && !Handler.m_IsAwaited) {
      Handler.m_IsAwaited = true;
      m_Events.emplace(Handler.m_BusyUntil, [this, Index] {
        m_Vms[Index].m_IsAwaited = false;
        handleInbox(Index);
      });
    }
  }

  void setTimer(std::size_t Index, TimePoint When, std::function<void()> Due) {
    Vm &Owner = m_Vms[Index];
    Owner.m_TimerAt = std::max(When, reached());
    Owner.m_TimerDue = std::move(Due);
    queueTimer(Index);
  }

  /// At most one event waits for the timer, unless it was set to an earlier time.
  void queueTimer(std::size_t Index) {
    Vm &Owner = m_Vms[Index];
    if (Owner.m_TimerAt >= Owner.m_TimerQueuedAt) {
      return;
    }
    Owner.m_TimerQueuedAt = Owner.m_TimerAt;
    at(Owner.m_TimerAt, Index, [this, Index, QueuedAt = Owner.m_TimerAt] {
      Vm &Woken = m_Vms[Index];
      if (Woken.m_TimerQueuedAt == QueuedAt) {
        Woken.m_TimerQueuedAt = TimePoint::max();
      }
      if (Woken.m_TimerAt <= m_Now) {
        Woken.m_TimerAt = TimePoint::max();
        std::exchange(Woken.m_TimerDue, nullptr)();
      } else {
        queueTimer(Index);
      }
    });
  }

  void send(std::size_t From, const std::string &Ip, std::string Datagram) {
    const auto To = m_Indices.find(Ip);
    if (To == m_Indices.end() || std::bernoulli_distribution(m_Options.m_Lost)(m_Random)) {
      return;
    }
    at(reached() + Latency, To->second,
       [this, To = To->second, Ip = m_Vms[From].m_Ip, Datagram = std::move(Datagram)] {
         if (m_Vms[To].m_OnDatagram) {
           m_Vms[To].m_OnDatagram(Ip, Datagram);
         }
       });
  }

  void addServerRecord() {
    m_Servers.push_back({.m_Key = "s" + std::to_string(m_Servers.size() % 50),
                         .m_Value = std::to_string(m_Servers.size())});
    m_Events.emplace(m_Now + ServerRecordInterval, [this] { addServerRecord(); });
  }

  void read(std::size_t Index, fleet::Stream Which, std::optional<std::uint64_t> From,
            Duration HoldTime, StoreReadBegun OnBegun, StoreReadDone Done) {
    ++m_Reads;
    if (Which == fleet::Stream::Configuration) {
      std::erase(m_Readers, Index);
      m_Readers.push_back(Index);
    }
    const TimePoint AskedAt = reached();
    m_Events.emplace(AskedAt + Latency, [this, HoldTime,
                                         Asked = Read{.m_Vm = Index,
                                                      .m_Stream = Which,
                                                      .m_From = From,
                                                      .m_AskedAt = AskedAt,
                                                      .m_Begun = std::move(OnBegun),
                                                      .m_Done = std::move(Done)}] {
      if (HoldTime == Duration::zero() || !Asked.m_From ||
          *Asked.m_From < m_Configurations.size()) {
        answerRead(Asked);
        return;
      }
      const std::uint64_t Number = ++m_HeldReads;
      m_Held.emplace(Number, Asked);
      m_Events.emplace(m_Now + HoldTime, [this, Number] {
        if (auto Ended = m_Held.extract(Number)) {
          answerRead(Ended.mapped());
        }
      });
    });
  }

  void answerRead(const Read &Asked) {
    const auto &[Index, Which, From, AskedAt, Begun, Done] = Asked;
    Vm &Reader = m_Vms[Index];
    if (Reader.m_IsTurnedAway && m_IsTurningAway) {
      at(m_Now + StoreTime, Index, [Done = Done] {
        Done(StoreFailure{.m_Error = {Errc::LogUnavailable, "read", "store", "status 503"}});
      });
      return;
    }
    const auto &Log = Which == fleet::Stream::Configuration ? m_Configurations : m_Servers;
    StoreRead Answer{.m_To = {.m_Offset = Log.size()},
                     .m_IsWhole = !From,
                     .m_AnsweredAfter = m_Now + StoreTime - AskedAt};
    std::map<std::string, fleet::Record> Newest;
    for (std::size_t Offset = From.value_or(0); Offset < Log.size(); ++Offset) {
      if (From) {
        Answer.m_Records.push_back(Log[Offset]);
      } else {
        Newest[Log[Offset].m_Key] = Log[Offset];
      }
    }
    for (auto &[Key, Entry] : Newest) {
      Answer.m_Records.push_back(std::move(Entry));
    }
    const std::size_t Each =
        Which == fleet::Stream::Configuration ? m_Options.m_TextBytes : ServerRecordBytes;
    // A listing has the records in base64.
    const std::size_t Bytes = Answer.m_Records.size() * Each * (From ? 3 : 4) / 3;
    m_StoreBytes += Bytes;
    if (From && Begun) {
      at(m_Now + StoreTime + Latency, Index,
         [Begun = Begun, To = Answer.m_To, Bytes, After = Answer.m_AnsweredAfter] {
           Begun(To, Bytes, After);
         });
    }
    m_StoreUntil = std::max(m_StoreUntil, m_Now + StoreTime) + timeOf(Bytes, StoreBytesPerMilli);
    Reader.m_ReceivesUntil = std::max(
        {m_StoreUntil, std::max(Reader.m_ReceivesUntil, m_Now) + timeOf(Bytes, rateOf(Reader))});
    at(Reader.m_ReceivesUntil + Latency, Index,
       [Done = Done, Answer = std::move(Answer)] { Done(Answer); });
  }

  void fetch(std::size_t Index, const std::string &Ip, const fleet::SnapshotRequest &Wanted,
             const SnapshotDone &Done) {
    const TimePoint AskedAt = reached();
    const auto Fail = [this, Index, Done](TimePoint When, const char *Why) {
      at(When, Index, [Done, Why] {
        Done(Error{Errc::LogUnavailable, "fetch snapshot", "", Why});
      });
    };
    const auto Source = m_Indices.find(Ip);
    if (Source == m_Indices.end() || m_Vms[Source->second].m_IsDead) {
      Fail(AskedAt + SnapshotSilence, "no answer");
      return;
    }
    at(AskedAt + Latency, Source->second, [=, this, From = Source->second] {
      Vm &Sender = m_Vms[From];
      if (Sender.m_Transfers >= fleet::SnapshotFetcher::maxTransfers(linkOf(Sender))) {
        Fail(m_Now + Latency, "busy");
        return;
      }
      const std::string Frame = Sender.m_Client->snapshotFrame(Wanted);
      if (Frame.empty()) {
        Fail(m_Now + Latency, "not up to date");
        return;
      }
      if (Frame != Sender.m_LastFrame) {
        Sender.m_LastFrame = Frame;
        charge(m_Options.m_CompressTime);
      }
      transfer(From, Index, AskedAt, Frame, Done, Fail);
    });
  }

  template <typename Failing>
  void transfer(std::size_t From, std::size_t To, TimePoint AskedAt, const std::string &Frame,
                const SnapshotDone &Done, const Failing &Fail) {
    Vm &Sender = m_Vms[From];
    Vm &Receiver = m_Vms[To];
    const TimePoint Begins = std::max(reached(), Sender.m_SendsUntil);
    const TimePoint SentBy = Begins + timeOf(m_Options.m_FrameBytes, rateOf(Sender));
    const TimePoint Ends = std::max(SentBy, std::max(Begins, Receiver.m_ReceivesUntil) +
                                                timeOf(m_Options.m_FrameBytes, rateOf(Receiver)));
    if (Begins > AskedAt + SnapshotSilence) {
      Fail(AskedAt + SnapshotSilence, "silent");
      return;
    }
    Sender.m_SendsUntil = SentBy;
    Receiver.m_ReceivesUntil = Ends;
    ++Sender.m_Transfers;
    m_Events.emplace(Ends, [this, From] { --m_Vms[From].m_Transfers; });
    if (Ends > AskedAt + MaxSnapshotTime) {
      Fail(AskedAt + MaxSnapshotTime, "too slow");
      return;
    }
    at(Ends + Latency, To, [Done, Frame] { Done(Frame); });
  }

  static inline DistributionFleet *Active = nullptr;

  DistributionOptions m_Options;
  std::mt19937_64 m_Random;
  TimePoint m_Now = TimePoint{} + std::chrono::hours(1);
  std::multimap<TimePoint, std::function<void()>> m_Events;
  std::vector<Vm> m_Vms;
  std::map<std::string, std::size_t> m_Indices;
  std::optional<std::size_t> m_Handling;
  std::vector<fleet::Record> m_Configurations;
  std::vector<fleet::Record> m_Servers;
  std::vector<TimePoint> m_PublishedAt;
  /// VMs that read the configuration, in the order of their last reads.
  std::vector<std::size_t> m_Readers;
  /// Reads that the store holds until there is a record.
  std::map<std::uint64_t, Read> m_Held;
  std::uint64_t m_HeldReads = 0;
  std::uint64_t m_Version = 0;
  TimePoint m_StoreUntil{};
};

/// A fifth of the bound is left for what the fleet does not simulate.
inline constexpr Duration DistributionLimit = DistributionOptions{}.m_Bound * 4 / 5;

#ifdef __SANITIZE_ADDRESS__
inline constexpr std::size_t DistributionVms = 20;
#else
inline constexpr std::size_t DistributionVms = 137;
#endif

/// Until all VMs know each other.
inline constexpr Duration SettlingTime = seconds(8);
/// Long enough for the slowest VM, also on a code that misses the limit.
inline constexpr Duration DistributionTime = seconds(4);

/// Publishes versions at different moments between two reads of the store.
inline void expectInTime(const DistributionOptions &Options, int Versions = 5) {
  DistributionFleet Fleet(Options);
  Fleet.runFor(SettlingTime);
  Fleet.m_IsTurningAway = true;
  for (int Round = 0; Round < Versions; ++Round) {
    Fleet.runFor(seconds(3) + milliseconds(170) * Round);
    Fleet.publish();
    Fleet.runFor(DistributionTime);
    EXPECT_LE(toMillis(Fleet.slowest(Fleet.version())), toMillis(DistributionLimit))
        << "version " << Fleet.version() << ", seed " << Options.m_Seed << ", " << Options.m_Vms
        << " VMs";
  }
}

} // namespace vanillahill::net
