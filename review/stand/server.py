"""Stand-in for a backend server that tells its load."""

import asyncio
import hashlib
import json

from . import http

HEARTBEAT_S = 1.5


class Server:
    """Registers in the store, runs requests in its slots and signs its answers."""

    def __init__(self, bed, name, service, address, zone, slots=6, work_s=0.05):
        self.bed = bed
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Semaphore(slots)
        self.state = "ready"
        self.listener = None
        self.writers = set()
        self.beat_task = None
        self.limit = 128 << 20

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, *self.address, limit=1 << 20)
        self.beat_task = asyncio.create_task(self.beat())

    async def beat(self):
        while True:
            self.register()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self):
        self.sequence += 1
        return self.bed.store.append("keyed.servers", self.name, json.dumps({
            "service": self.service, "address": "%s:%d" % self.address, "zone": self.zone,
            "version": "v1", "capacity": self.slots, "state": self.state, "warmup_left": "0ms",
            "sequence": self.sequence}).encode())

    def close(self):
        if self.beat_task:
            self.beat_task.cancel()
        if self.listener:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def load(self):
        return ("Backend-Load", f"{self.running},{self.waiting},{self.slots},100")

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await http.read_message(reader)) is not None:
                if not await self.handle(request, writer):
                    break
        except (http.Broken, OSError, ValueError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        if request.target == "/health":
            writer.write(http.encode("HTTP/1.1 200 OK", [("Instance-Id", self.name), self.load()]))
            await writer.drain()
            return True
        identity = request.get("request-id")
        arrival = {"id": identity, "server": self.name, "service": self.service,
                   "at": self.bed.clock(), "method": request.method, "target": request.target,
                   "bytes": len(request.body),
                   "body": hashlib.sha256(request.body).hexdigest()[:16], "ran": False}
        self.bed.arrivals.append(arrival)
        if request.get("target-instance") not in ("", self.name):
            return await self.refuse(request, writer, "421 Misdirected Request", arrival)
        if self.waiting >= 2 * self.slots:
            return await self.refuse(request, writer, "503 Service Unavailable", arrival)
        self.waiting += 1
        async with self.free:
            self.waiting -= 1
            self.running += 1
            arrival["ran"] = True
            try:
                return await self.run(request, writer, arrival)
            finally:
                self.running -= 1

    async def refuse(self, request, writer, status, arrival):
        arrival["refused"] = status
        writer.write(http.encode(f"HTTP/1.1 {status}", [
            ("Request-Id", request.get("request-id")), ("Not-Executed", "1"), self.load()]))
        await writer.drain()
        return True

    async def run(self, request, writer, arrival):
        await asyncio.sleep(self.work_s)
        await self.reply(request, writer, arrival)
        return True

    async def reply(self, request, writer, arrival, body=None):
        identity = request.get("request-id")
        body = f"{self.name} {identity} ".encode() * 20 if body is None else body
        arrival["signature"] = f"{self.name}.{identity}"
        arrival["answer"] = hashlib.sha256(body).hexdigest()[:16]
        arrival["answered_at"] = self.bed.clock()
        writer.write(http.encode("HTTP/1.1 200 OK", [
            ("Request-Id", identity), ("Response-Signature", arrival["signature"]), self.load()],
            body))
        await writer.drain()
        arrival["sent"] = True


class CrashingServer(Server):
    """Crashes under one request; another incarnation starts at its address some seconds later."""

    deadly_body = b""
    # False: the request is run like any other.
    crashes = True
    run_before_crash_s = 0.02
    down_s = 2.0

    async def run(self, request, writer, arrival):
        if not self.crashes or request.body != self.deadly_body:
            return await super().run(request, writer, arrival)
        await asyncio.sleep(self.run_before_crash_s)
        if self.listener is None:
            return False
        arrival["crashed"] = True
        self.bed.crashes.append(self.bed.clock())
        self.bed.note(f"server {self.name} crashes under request {arrival['id']}")
        self.close()
        self.listener = None
        self.bed.servers.remove(self)
        asyncio.get_running_loop().call_later(
            self.down_s, lambda: asyncio.ensure_future(self.start_next()))
        return False

    async def start_next(self):
        """Each start is a new incarnation with a new id."""
        if self.bed.ended:
            return
        self.bed.incarnations += 1
        added = type(self)(self.bed, f"{self.name.split('.')[0]}.{self.bed.incarnations}",
                           self.service, self.address, self.zone, self.slots, self.work_s)
        await added.start()
        self.bed.servers.append(added)
