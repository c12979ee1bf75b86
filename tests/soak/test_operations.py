"""Tests of the walk-throughs of docs/OPERATIONS.md: the logs alone show the cause of a fault."""

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
from soak import ROOT, Testbed

OPERATIONS_PAGE = ROOT / "docs" / "OPERATIONS.md"
BUILD = pathlib.Path(os.environ.get("VANILLAHILL_BIN", ROOT / "build"))
# Enough requests that the log has some of them completely: one in 32 is logged so.
REQUEST_COUNT = 160


def example_fields(section):
    """Fields of the example lines in a section of the page, by event."""
    text = OPERATIONS_PAGE.read_text().split(f"### {section}\n", 1)[1].split("\n### ", 1)[0]
    lines = [json.loads(line) for line in re.findall(r"^    (\{.*\})$", text, re.MULTILINE)]
    return {line["event"]: set(line) for line in lines}


class WalkThrough(unittest.IsolatedAsyncioTestCase):
    # Each seed has loopback addresses of its own.
    seeds = itertools.count(10000 + os.getpid() % 20000)

    async def asyncSetUp(self):
        self.temporary = tempfile.TemporaryDirectory()
        options = argparse.Namespace(seed=next(self.seeds), build=BUILD, vms=1, servers=3,
                                     callers=1, per_second=1)
        self.testbed = Testbed(options, pathlib.Path(self.temporary.name))
        await self.testbed.open()
        self.vm = self.testbed.vms[0]

    async def asyncTearDown(self):
        await self.testbed.close()
        self.temporary.cleanup()

    async def send_request(self, path, request_id, method="GET"):
        """Sends one request on a new connection and returns the answer, or None."""
        reader, writer = await asyncio.open_connection(*self.vm.caller_address)
        try:
            writer.write(http1.encode_message(f"{method} {path} HTTP/1.1", [
                ("Host", "soak.example"), ("Request-Id", request_id), ("Deadline-Ms", "4000")]))
            return await http1.read_message(reader)
        finally:
            writer.close()

    def servers(self, service):
        return [server for server in self.testbed.servers if server.service == service]

    async def wait_for_line(self, matches):
        """Waits until matches() accepts a line of the log; returns all lines.

        It has no time limit of its own: that of the test run ends a wait without a match.
        """
        while True:
            found = [json.loads(line) for line in self.vm.log_path.read_text().splitlines()
                     if line.endswith("}")]
            if any(matches(line) for line in found):
                return found
            await asyncio.sleep(0.05)

    def check_documented_fields(self, section, lines):
        """Checks that the fields of the documented lines are in lines that were logged."""
        for event, fields in example_fields(section).items():
            logged = [set(line) for line in lines if line["event"] == event]
            self.assertTrue(any(fields <= line_fields for line_fields in logged),
                            f"{section}: no logged {event} has {sorted(fields)}")

    async def test_refused_under_load(self):
        for server in self.servers("desk"):
            server.work_s = 2.0
        load_requests = [asyncio.create_task(self.send_request("/post/1", f"busy-{number}", "POST"))
                         for number in range(30)]
        # While a part of the load is under way, one of the requests below could take a free slot or a
        # place in a short queue.
        desk = self.servers("desk")
        while (sum(server.running + server.waiting for server in desk) +
               sum(request.done() for request in load_requests)) < len(load_requests):
            await asyncio.sleep(0.02)
        untried = set()
        for batch in itertools.count():
            answers = await asyncio.gather(*(self.send_request("/look/1", f"load-{batch}-{number}")
                                             for number in range(10)))
            refused = {f"load-{batch}-{number}" for number, answer in enumerate(answers)
                       if answer.status == 503}
            untried = refused - {attempt.id for attempt in self.testbed.history.ran}
            # On a busy machine all probes may be late: then the server itself refuses.
            if untried or all(request.done() for request in load_requests):
                break
        await asyncio.gather(*load_requests)
        request_id = sorted(untried)[0]
        lines = await self.wait_for_line(lambda line: line.get("request") == request_id)
        request_lines = [line for line in lines if line.get("request") == request_id]
        # Step 1: no send of it has ended, so it has not run.
        self.assertEqual(["request_refused"], [line["event"] for line in request_lines])
        # Step 2: the reason, and the load of the best server that was found.
        self.assertEqual("overload", request_lines[0]["outcome"])
        running, slots = re.match(r"(\d+)\+\d+/(\d+)", request_lines[0]["load"]).groups()
        self.assertGreater(4 * (int(running) + 1), 3 * int(slots))
        self.check_documented_fields("Refused under load", lines)

    async def test_failed_although_the_server_was_healthy(self):
        for server in self.servers("desk"):
            server.work_s = 2.0
        pending = asyncio.create_task(self.send_request("/post/1", "cut-1", "POST"))
        while not any(attempt.id == "cut-1" for attempt in self.testbed.history.ran):
            await asyncio.sleep(0.01)
        attempt = next(attempt for attempt in self.testbed.history.ran if attempt.id == "cut-1")
        server = next(server for server in self.testbed.servers if server.name == attempt.server)
        self.testbed.proxies[server.address_index].reset_connections()
        answer = await pending
        self.assertEqual(502, answer.status)
        lines = await self.wait_for_line(lambda line: line["event"] == "request_refused")
        request_lines = {line["event"]: line for line in lines if line.get("request") == "cut-1"}
        # Step 1: the send ended without a reply.
        self.assertEqual("unknown", request_lines["attempt_ended"]["outcome"])
        self.assertEqual(server.name, request_lines["attempt_ended"]["server"])
        # Step 2: why no reply was accepted.
        faults = [line for line in lines if line["event"] == "backend_reply_fault"]
        self.assertTrue(any("%s:%d" % server.registered_address in line["peer"] for line in faults))
        # Step 3: it may have run, so it was not sent again.
        self.assertEqual("attempt_lost", request_lines["request_refused"]["outcome"])
        self.check_documented_fields("Failed although the server was well", lines)

    async def test_unknown_route(self):
        answer = await self.send_request("/none/1", "lost-1")
        self.assertEqual(404, answer.status)
        lines = await self.wait_for_line(lambda line: line.get("request") == "lost-1")
        request_line = next(line for line in lines if line.get("request") == "lost-1")
        self.assertEqual("request_refused", request_line["event"])
        self.assertEqual(str(self.testbed.version), request_line["config"])
        self.assertIn("kind", request_line["outcome"])

    async def test_handled_by_an_old_configuration(self):
        old_version = self.testbed.version
        self.vm.store_proxy.set_faults(hold_back=True)
        self.testbed.routes["look"].service = "view"
        self.testbed.publish()
        for number in range(0, REQUEST_COUNT, 4):
            await asyncio.gather(*(self.send_request("/look/1", f"old-{number + offset}")
                                   for offset in range(4)))
        lines = await self.wait_for_line(lambda line: line["event"] == "store_lost")
        answered = [line for line in lines if line["event"] == "request_answered"]
        # Step 1: the version in force for the answer is older than the published one.
        self.assertEqual({str(old_version)}, {line["config"] for line in answered})
        # Step 2: this VM has not taken the newer one.
        applied = [line for line in lines if line["event"] == "configuration_taken"]
        self.assertNotIn(str(self.testbed.version), [line["version"] for line in applied])
        # Step 3: because the store did not answer it.
        self.assertIn("store_read_failed", [line["event"] for line in lines])
        self.vm.store_proxy.set_faults()
        lines = await self.wait_for_line(
            lambda line: line.get("version") == str(self.testbed.version))
        lost = next(index for index, line in enumerate(lines) if line["event"] == "store_lost")
        newer = next(index for index, line in enumerate(lines)
                     if line["event"] == "configuration_taken" and
                     line["version"] == str(self.testbed.version))
        self.assertLess(lost, newer)
        self.check_documented_fields("Handled by an old configuration, or late", lines)


if __name__ == "__main__":
    unittest.main()
