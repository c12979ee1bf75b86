"""Simulated backend servers: they register in the store, and misbehave when a fault is set."""

import asyncio
import itertools
import json

import http1
from history import Attempt, digest

HEARTBEAT_PERIOD_S = 1.5
# A server that sends no heartbeat for this long is removed from the store.
HEARTBEAT_TIMEOUT_S = 3 * HEARTBEAT_PERIOD_S
# How long a leaving server still serves after the drain bound.
LEAVE_EXTRA_S = 0.6
LEAVE_POLL_PERIOD_S = 0.2
HEALTH_PATH = "/health"


class Server:
    """One incarnation of a backend server, which executes requests in its slots."""

    numbers = itertools.count(1)

    def __init__(self, testbed, service, listen_address, registered_address, data_center,
                 name=None):
        self.testbed = testbed
        self.service = service
        # The server registers the address of a proxy in front of its own.
        self.listen_address = listen_address
        self.registered_address = registered_address
        self.data_center = data_center
        self.name = name or f"i-{next(self.numbers)}"
        self.born = int(testbed.clock() * 1000) + 1
        self.sequence = 0
        self.slots = testbed.random.randint(2, 5)
        self.work_s = testbed.random.uniform(0.01, 0.06)
        self.free_slots = asyncio.Semaphore(self.slots)
        self.running = 0
        self.waiting = 0
        self.state = "ready"
        self.fault = None
        self.fault_share = 0.0
        # All answers have Server-Leaving.
        self.says_leaving = False
        # Requests per second that all answers name in Server-Limit.
        self.limit = None
        self.answer_count = 0
        self.listener = None
        self.writers = set()
        self.heartbeat_task = None

    async def start(self):
        self.listener = await asyncio.start_server(self.handle_connection, *self.listen_address)
        self.heartbeat_task = asyncio.create_task(self.send_heartbeats())

    async def send_heartbeats(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_PERIOD_S)

    def register(self):
        self.sequence += 1
        record = {"service": self.service, "address": "%s:%d" % self.registered_address,
                  "zone": self.data_center, "version": "v1", "capacity": self.slots,
                  "state": self.state, "warmup_left": "0ms", "sequence": self.sequence,
                  "born": self.born}
        return self.testbed.store.append_record("keyed.servers", self.name,
                                                json.dumps(record).encode())

    def unregister(self):
        self.heartbeat_task.cancel()
        return self.testbed.store.append_record("keyed.servers", self.name, b"")

    async def crash(self):
        """Ends at once, without unregistering from the store."""
        self.heartbeat_task.cancel()
        self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def crash_under(self, request):
        """The process ends: its address refuses connections until another one starts there."""
        if self in self.testbed.servers:
            self.testbed.servers.remove(self)
            self.testbed.history.crashes.append((request.target, self.testbed.clock()))
            self.testbed.crashed.append(self)
            self.testbed.proxies.pop(self.address_index).close()
            await self.crash()
        return False

    async def leave(self, silently):
        """Registers as draining, or only removes its record, and serves until after the bound."""
        history = self.testbed.history
        self.says_leaving |= self.testbed.announces_leaving
        if silently:
            acknowledged_at = self.unregister()
        else:
            self.state = "draining"
            acknowledged_at = self.register()
        history.leaving.append((self.name, acknowledged_at))
        while (remaining_s := history.due(acknowledged_at, history.bounds["drain"]) +
               LEAVE_EXTRA_S - self.testbed.clock()) > 0:
            await asyncio.sleep(min(remaining_s, LEAVE_POLL_PERIOD_S))
        if not silently:
            self.unregister()
        self.listener.close()
        for writer in list(self.writers):
            writer.close()

    async def handle_connection(self, reader, writer):
        await http1.serve_connection(reader, writer, self.writers, self.handle_request)

    def common_headers(self):
        headers = [("Backend-Load", f"{self.running},{self.waiting},{self.slots},100")]
        headers += [("Server-Leaving", "1")] * self.says_leaving
        if self.limit is not None:
            headers.append(("Server-Limit", f"{self.limit:g}"))
        return headers

    def set_limit(self, limit):
        self.limit = limit
        self.testbed.history.limits.append((self.name, self.testbed.clock(), limit))

    async def handle_request(self, request, writer):
        if request.target == HEALTH_PATH:
            return await self.send_health_answer(writer)
        attempt = Attempt(request.get_header("request-id"), self.name, self.service,
                          request.method, request.target, digest(request.body),
                          self.testbed.clock(),
                          float(request.get_header("deadline-ms", "1e9")) / 1000, executed=False)
        self.testbed.history.ran.append(attempt)
        if request.get_header("target-instance") != self.name:
            return await self.send_refusal(request, writer, "421 Misdirected Request")
        misbehaves = self.fault and self.testbed.random.random() < self.fault_share
        fault = self.fault if misbehaves else None
        if fault == "turn_away":
            attempt.retry_after = round(self.testbed.random.uniform(0.8, 3.0), 2)
            attempt.refused_at = self.testbed.clock()
            return await self.send_refusal(request, writer, "503 Service Unavailable",
                                           [("Retry-After", str(attempt.retry_after))])
        if fault == "refuse" or self.waiting >= 2 * self.slots:
            return await self.send_refusal(request, writer, "503 Service Unavailable")
        self.waiting += 1
        async with self.free_slots:
            self.waiting -= 1
            attempt.executed = True
            if request.target == self.testbed.crashing_target:
                await asyncio.sleep(self.work_s / 2)
                return await self.crash_under(request)
            self.running += 1
            try:
                await asyncio.sleep(self.work_s * (6 if fault == "slow" else 1))
                return await self.send_answer(request, writer, attempt, fault)
            finally:
                self.running -= 1

    async def send_health_answer(self, writer):
        if self.fault == "mute":
            await asyncio.sleep(3600)
        healthy = self.state == "ready" and self.fault != "sick"
        status = "200 OK" if healthy else "503 Service Unavailable"
        writer.write(http1.encode_message(f"HTTP/1.1 {status}", [
            ("Instance-Id", self.name), *self.common_headers()]))
        await writer.drain()
        return True

    async def send_refusal(self, request, writer, status, headers=()):
        writer.write(http1.encode_message(f"HTTP/1.1 {status}", [
            ("Request-Id", request.get_header("request-id")), ("Not-Executed", "1"),
            *headers, *self.common_headers()]))
        await writer.drain()
        return True

    async def send_answer(self, request, writer, attempt, fault):
        self.answer_count += 1
        if fault == "hang":
            await asyncio.sleep(3600)
        if fault == "reset":
            writer.transport.abort()
            return False
        body = f"{self.name} {attempt.id} ".encode() * self.testbed.random.randint(1, 60)
        attempt.status = 500 if fault == "errors" else 200
        attempt.signature = f"{self.name}.{self.answer_count}.{attempt.id}"
        attempt.answer = digest(body)
        attempt.leaving = self.says_leaving
        attempt.limited = self.limit is not None
        headers = [("Request-Id", attempt.id), ("Response-Signature", attempt.signature),
                   *self.common_headers()]
        if self.state == "draining":
            headers.append(("Connection", "close"))
        start_line = f"HTTP/1.1 {attempt.status} {'OK' if attempt.status == 200 else 'Failed'}"
        message = http1.encode_message(start_line, headers, body)
        if fault == "cut":
            writer.write(message[:-max(1, len(body) // 2)])
            await writer.drain()
            writer.transport.abort()
            return False
        if fault == "unframed":
            message = message.replace(f"Content-Length: {len(body)}\r\n".encode(), b"")
        writer.write(message)
        if fault == "extra":
            writer.write(http1.encode_message("HTTP/1.1 200 OK", [
                ("Request-Id", "stale"), ("Response-Signature", "stale")], b"x"))
        await writer.drain()
        attempt.answered = True
        return fault != "unframed" and self.state == "ready"
