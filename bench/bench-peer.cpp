/// \file
/// Nanoseconds and bytes of each message between VMs, encoded and decoded.
#include "vanillahill/peer/delta.hpp"

#include <benchmark/benchmark.h>

#include <random>

namespace {

using namespace vanillahill;
using namespace vanillahill::peer;

/// A heartbeat of a VM that serves this many services.
Heartbeat heartbeat(std::size_t Services) {
  std::mt19937 Random(20261203);
  Heartbeat Out;
  Out.m_Incarnation = 1764793200;
  Out.m_Sequence = 100000;
  Out.m_State = VmState::Serving;
  Out.m_Versions = {{"base", 812}, {"khomas", 2207}};
  for (std::size_t Index = 0; Index < Services; ++Index) {
    const auto Service = ServiceId{static_cast<std::uint32_t>(Random())};
    Out.m_Hints.push_back({Service, static_cast<std::uint32_t>(Random() % 7), 0});
  }
  return Out;
}

/// Changes the hints of some services as load does.
void changeHints(Heartbeat &Value, std::size_t Count) {
  // Sequences are send times in nanoseconds; see membership/members.hpp.
  constexpr std::uint64_t PeriodNanos = 200'000'000;
  Value.m_Sequence += PeriodNanos;
  for (std::size_t Index = 0; Index < Count; ++Index) {
    std::uint32_t &Idle = Value.m_Hints[Index].m_IdleSlots;
    Idle = (Idle + 1) % 7;
  }
}

Message sample(MessageType Type) {
  switch (Type) {
  case MessageType::HeartbeatAck:
    return HeartbeatAck{1764793200, 100000};
  case MessageType::SlotRequest:
    return SlotRequest{ServiceId{0x9E3779B9}, 2};
  case MessageType::SlotLoan:
    return SlotLoan{ServiceId{0x9E3779B9},
                    {{ServerId{0x85EBCA6B}, 3}, {ServerId{0xC2B2AE35}, 5}},
                    std::chrono::seconds(2)};
  case MessageType::SlotReturn:
    return SlotReturn{ServiceId{0x9E3779B9}, {{ServerId{0x85EBCA6B}, 3}}};
  case MessageType::KeyQuery:
    return KeyQuery{4711, "4f9d0c62-6f0e-4c1c-9d51-70a1b8e2c3d4"};
  case MessageType::KeyAnswer:
    return KeyAnswer{
        4711, KeyState::Answered,
        std::make_shared<const Reply>(Reply{200, "application/json", std::string(512, 'x')})};
  default:
    return ConfigPull{};
  }
}

/// Sets the bytes column and the rate.
void report(benchmark::State &State, std::size_t Bytes) {
  State.counters["bytes"] = static_cast<double>(Bytes);
}

void encodeWhole(benchmark::State &State) {
  const Heartbeat Value = heartbeat(static_cast<std::size_t>(State.range(0)));
  std::size_t Bytes = 0;
  for (auto Step : State) {
    Bytes = encode(Value).size();
  }
  report(State, Bytes);
}
BENCHMARK(encodeWhole)->ArgName("hints")->Arg(0)->Arg(2)->Arg(93);

void decodeWhole(benchmark::State &State) {
  const auto Frame = encode(heartbeat(static_cast<std::size_t>(State.range(0))));
  for (auto Step : State) {
    benchmark::DoNotOptimize(decode(Frame));
  }
  report(State, Frame.size());
}
BENCHMARK(decodeWhole)->ArgName("hints")->Arg(0)->Arg(2)->Arg(93);

void deltaBothEnds(benchmark::State &State) {
  Heartbeat Value = heartbeat(static_cast<std::size_t>(State.range(0)));
  DeltaEncoder Sender(static_cast<std::size_t>(State.range(2)));
  DeltaDecoder Receiver;
  (void)Receiver.decode(Sender.encode(Value));
  std::size_t Bytes = 0;
  for (auto Step : State) {
    changeHints(Value, static_cast<std::size_t>(State.range(1)));
    const auto Frame = Sender.encode(Value);
    Bytes = Frame.size();
    benchmark::DoNotOptimize(Receiver.decode(Frame));
  }
  report(State, Bytes);
}
BENCHMARK(deltaBothEnds)
    ->ArgNames({"hints", "changed", "max"})
    ->Args({2, 0, 93})
    ->Args({2, 2, 93})
    ->Args({93, 0, 93})
    ->Args({93, 1, 93})
    ->Args({93, 93, DefaultHintChanges})
    ->Args({93, 93, 93});

void otherMessage(benchmark::State &State) {
  const Message Value = sample(static_cast<MessageType>(State.range(0)));
  std::size_t Bytes = 0;
  for (auto Step : State) {
    const auto Frame = encode(Value);
    Bytes = Frame.size();
    benchmark::DoNotOptimize(decode(Frame));
  }
  report(State, Bytes);
}
BENCHMARK(otherMessage)->ArgName("type")->DenseRange(1, 6)->Arg(8);

} // namespace

BENCHMARK_MAIN();
