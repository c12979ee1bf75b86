"""The walk-throughs of docs/OPERATIONS.md: real processes with a fault, its cause found in the logs alone."""

import argparse
import asyncio
import itertools
import json
import os
import pathlib
import re
import tempfile
import unittest

import http1
from soak import ROOT, World

PAGE = ROOT / "docs" / "OPERATIONS.md"
BUILD = pathlib.Path(os.environ.get("VANILLAHILL_BIN", ROOT / "build"))
# Enough that some are kept whole: one in 32 is.
MANY = 160


def example_fields(section):
    """Fields of the example lines in a section of the page, by event."""
    text = PAGE.read_text().split(f"### {section}\n", 1)[1].split("\n### ", 1)[0]
    lines = [json.loads(line) for line in re.findall(r"^    (\{.*\})$", text, re.MULTILINE)]
    return {line["event"]: set(line) for line in lines}


class WalkThrough(unittest.IsolatedAsyncioTestCase):
    # Each seed has addresses of its own.
    seeds = itertools.count(10000 + os.getpid() % 20000)

    async def asyncSetUp(self):
        self.temporary = tempfile.TemporaryDirectory()
        options = argparse.Namespace(seed=next(self.seeds), build=BUILD, vms=1, servers=3,
                                     callers=1, per_second=1)
        self.world = World(options, pathlib.Path(self.temporary.name))
        await self.world.open()
        self.vm = self.world.vms[0]

    async def asyncTearDown(self):
        await self.world.close()
        self.temporary.cleanup()

    async def ask(self, path, name, method="GET"):
        """Sends one request on a connection of its own and returns the answer, or None."""
        reader, writer = await asyncio.open_connection(*self.vm.public)
        try:
            writer.write(http1.encode(f"{method} {path} HTTP/1.1", [
                ("Host", "soak.example"), ("Request-Id", name), ("Deadline-Ms", "4000")]))
            return await http1.read_message(reader)
        finally:
            writer.close()

    def servers(self, service):
        return [one for one in self.world.servers if one.service == service]

    async def lines(self, wanted):
        """The log once a line is there that wanted() accepts; a test that waits in vain is ended."""
        while True:
            found = [json.loads(line) for line in self.vm.log.read_text().splitlines()
                     if line.endswith("}")]
            if any(wanted(line) for line in found):
                return found
            await asyncio.sleep(0.05)

    def check_page(self, section, lines):
        """Lines of the page have the fields that real lines have."""
        for event, fields in example_fields(section).items():
            real = [set(line) for line in lines if line["event"] == event]
            self.assertTrue(any(fields <= one for one in real),
                            f"{section}: no real {event} has {sorted(fields)}")

    async def test_refused_under_load(self):
        for server in self.servers("desk"):
            server.work_s = 2.0
        busy = [asyncio.create_task(self.ask("/post/1", f"busy-{number}", "POST"))
                for number in range(30)]
        while any(2 * one.running < one.slots for one in self.servers("desk")):
            await asyncio.sleep(0.02)
        answers = await asyncio.gather(*(self.ask("/look/1", f"load-{number}")
                                         for number in range(10)))
        await asyncio.gather(*busy)
        refused = {f"load-{number}" for number, one in enumerate(answers) if one.status == 503}
        reached = {run.id for run in self.world.history.ran}
        name = sorted(refused - reached)[0]
        lines = await self.lines(lambda line: line.get("request") == name)
        own = [line for line in lines if line.get("request") == name]
        # Step 1: no send of it has ended, so it has not run.
        self.assertEqual(["request_refused"], [line["event"] for line in own])
        # Step 2: the reason, and the load of the best server that was found.
        self.assertEqual("overload", own[0]["outcome"])
        running, slots = re.match(r"(\d+)\+\d+/(\d+)", own[0]["load"]).groups()
        self.assertGreater(4 * (int(running) + 1), 3 * int(slots))
        self.check_page("Refused under load", lines)

    async def test_failed_although_the_server_was_well(self):
        for server in self.servers("desk"):
            server.work_s = 2.0
        asked = asyncio.create_task(self.ask("/post/1", "cut-1", "POST"))
        while not any(run.id == "cut-1" for run in self.world.history.ran):
            await asyncio.sleep(0.01)
        run = next(run for run in self.world.history.ran if run.id == "cut-1")
        server = next(one for one in self.world.servers if one.name == run.server)
        self.world.proxies[server.slot].reset()
        answer = await asked
        self.assertEqual(502, answer.status)
        lines = await self.lines(lambda line: line["event"] == "request_refused")
        own = {line["event"]: line for line in lines if line.get("request") == "cut-1"}
        # Step 1: the send ended without a reply.
        self.assertEqual("unknown", own["attempt_ended"]["outcome"])
        self.assertEqual(server.name, own["attempt_ended"]["server"])
        # Step 2: why no reply was taken.
        faults = [line for line in lines if line["event"] == "backend_reply_fault"]
        self.assertTrue(any("%s:%d" % server.public in line["peer"] for line in faults))
        # Step 3: it may have run, so it was not sent again.
        self.assertEqual("attempt_lost", own["request_refused"]["outcome"])
        self.check_page("Failed although the server was well", lines)

    async def test_unknown_route(self):
        answer = await self.ask("/none/1", "lost-1")
        self.assertEqual(404, answer.status)
        lines = await self.lines(lambda line: line.get("request") == "lost-1")
        own = next(line for line in lines if line.get("request") == "lost-1")
        self.assertEqual("request_refused", own["event"])
        self.assertEqual(str(self.world.version), own["config"])
        self.assertIn("kind", own["outcome"])

    async def test_handled_by_an_old_configuration(self):
        before = self.world.version
        self.vm.store.set(hold_back=True)
        self.world.routes["look"].service = "view"
        self.world.publish()
        for number in range(0, MANY, 4):
            await asyncio.gather(*(self.ask("/look/1", f"old-{number + each}")
                                   for each in range(4)))
        lines = await self.lines(lambda line: line["event"] == "store_lost")
        answered = [line for line in lines if line["event"] == "request_answered"]
        # Step 1: the version in force for the answer is older than the published one.
        self.assertEqual({str(before)}, {line["config"] for line in answered})
        # Step 2: this VM has not taken the newer one.
        taken = [line for line in lines if line["event"] == "configuration_taken"]
        self.assertNotIn(str(self.world.version), [line["version"] for line in taken])
        # Step 3: because the store did not answer it.
        self.assertIn("store_read_failed", [line["event"] for line in lines])
        self.vm.store.set()
        lines = await self.lines(lambda line: line.get("version") == str(self.world.version))
        lost = next(index for index, line in enumerate(lines) if line["event"] == "store_lost")
        newer = next(index for index, line in enumerate(lines)
                     if line["event"] == "configuration_taken" and
                     line["version"] == str(self.world.version))
        self.assertLess(lost, newer)
        self.check_page("Handled by an old configuration, or late", lines)


if __name__ == "__main__":
    unittest.main()
