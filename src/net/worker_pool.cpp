#include "vanillahill/net/detail/worker_pool.hpp"

#include "vanillahill/observe/log.hpp"

#include <oneapi/tbb/global_control.h>
#include <oneapi/tbb/task_arena.h>
#include <oneapi/tbb/task_group.h>

namespace vanillahill::net {

namespace {

void runUntilStopped(asio::io_context &Io) {
  while (!Io.stopped()) {
    try {
      Io.run();
    } catch (const std::exception &Exception) {
      observe::log(observe::LogLevel::Error, "handler_failed", {{"detail", Exception.what()}});
    }
  }
}

} // namespace

void runWorkers(asio::io_context &Io, unsigned Workers) {
  const oneapi::tbb::global_control Threads(oneapi::tbb::global_control::max_allowed_parallelism,
                                            Workers);
  oneapi::tbb::task_arena Arena(static_cast<int>(Workers));
  Arena.execute([&Io, Workers] {
    oneapi::tbb::task_group Group;
    for (unsigned Index = 1; Index < Workers; ++Index) {
      Group.run([&Io] { runUntilStopped(Io); });
    }
    runUntilStopped(Io);
    Group.wait();
  });
}

} // namespace vanillahill::net
