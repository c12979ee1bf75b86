"""Tests of a planned stop of a real process that something keeps from ending."""

import argparse
import asyncio
import itertools
import json
import os
import pathlib
import signal
import tempfile
import time
import unittest
import unittest.mock

import callers
from callers import send_together
from soak import BOUNDS, ROOT, Faults, Testbed

BUILD = pathlib.Path(os.environ.get("VANILLAHILL_BIN", ROOT / "build"))
REQUESTS = 6


def fill(pipe_end):
    """Writes to a pipe until it holds no more."""
    os.set_blocking(pipe_end, False)
    try:
        while True:
            os.write(pipe_end, b"\n" * 4096)
    except BlockingIOError:
        pass


class PlannedStop(unittest.IsolatedAsyncioTestCase):
    # Each seed has loopback addresses of its own.
    seeds = itertools.count(30000 + os.getpid() % 9000)

    async def asyncSetUp(self):
        self.temporary = tempfile.TemporaryDirectory()
        options = argparse.Namespace(seed=next(self.seeds), scenario=[], mixed=False,
                                     build=BUILD, vms=1, servers=3,
                                     callers=1, per_second=1)
        self.options = options
        self.testbed = Testbed(options, pathlib.Path(self.temporary.name))
        await self.testbed.open()
        self.vm = self.testbed.vms[0]

    async def asyncTearDown(self):
        await self.testbed.close()
        self.temporary.cleanup()

    async def hang_requests(self):
        """Sends requests that no server answers; returns once the servers have some."""
        for server in self.testbed.servers:
            server.fault, server.fault_share = "hang", 1.0
        sending = asyncio.create_task(
            send_together(self.testbed, self.vm, self.testbed.routes["wait"], REQUESTS))
        while not any(attempt.executed for attempt in self.testbed.history.ran):
            await asyncio.sleep(0.01)
        return sending

    # A caller that gives up gets no answer.
    @unittest.mock.patch.object(callers, "IMPATIENT_SHARE", 0.0)
    async def test_ends_before_grace_beside_servers_that_hang(self):
        sending = await self.hang_requests()
        await Faults(self.testbed, self.options).stop(self.vm, self.testbed.clock())
        await sending
        self.assertEqual([], self.testbed.history.bad_stops)
        lines = [json.loads(line) for line in self.vm.log_path.read_text().splitlines()]
        stopped = next(line for line in lines if line["event"] == "stopped")
        self.assertEqual("0", stopped["cut"])
        sent = self.testbed.history.sent
        # Each got an answer, and none that ran is said not to have run.
        self.assertNotIn(None, [request.status for request in sent])
        ran = {attempt.id for attempt in self.testbed.history.ran if attempt.executed}
        self.assertEqual({502}, {request.status for request in sent if request.id in ran})
        self.assertEqual(sum(request.status == 502 for request in sent),
                         int(stopped["ended_may_have_run"]))
        for request in sent:
            if request.id in ran:
                self.assertGreaterEqual(request.ended - request.at, BOUNDS["grace"] * 5 / 6)

    async def restart_with_full_pipe(self):
        """Starts the process anew with a full pipe as standard output; returns the read end."""
        self.vm.send_signal(signal.SIGKILL)
        await self.vm.wait_end(5.0)
        read_end, write_end = os.pipe()
        fill(write_end)
        self.vm.start(write_end)
        os.close(write_end)
        await self.vm.wait_ready()
        return read_end

    async def test_writes_its_last_line_for_a_reader_that_reads_late(self):
        read_end = await self.restart_with_full_pipe()
        self.vm.send_signal(signal.SIGTERM)
        # Later than the process would have ended otherwise.
        await asyncio.sleep(BOUNDS["grace"] / 2 + 0.5)
        os.set_blocking(read_end, False)
        text = b""
        limit = time.monotonic() + BOUNDS["grace"]
        while b'"event":"stopped"' not in text and time.monotonic() < limit:
            try:
                text += os.read(read_end, 1 << 16)
            except BlockingIOError:
                pass
            await asyncio.sleep(0.01)
        os.close(read_end)
        self.assertIn(b'"event":"stopped"', text)
        self.assertEqual(0, await self.vm.wait_end(BOUNDS["grace"]))

    async def test_ends_before_grace_though_its_log_is_not_read(self):
        read_end = await self.restart_with_full_pipe()
        self.vm.send_signal(signal.SIGTERM)
        self.assertEqual(0, await self.vm.wait_end(BOUNDS["grace"]))
        os.close(read_end)


if __name__ == "__main__":
    unittest.main()
