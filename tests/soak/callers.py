"""Callers: they keep connections open, wait as told, give up at times and record what they see."""

import asyncio
import itertools

import http1
from history import Sent, digest

CONNECT_S = 1.0
# Waited for beyond the caller's deadline before it leaves.
PATIENCE_S = 1.0
IMPATIENT_SHARE = 0.05
IMPATIENT_S = 0.08
KEPT_SHARE = 0.9


class Caller:
    """One caller with at most one connection."""

    numbers = itertools.count(1)

    def __init__(self, world):
        self.world = world
        self.vm = None
        self.reader = None
        self.writer = None
        self.used = False

    async def run(self):
        while not self.world.ended:
            route = self.world.random.choice(self.world.routes_in_use())
            wait = await self.ask(route)
            await asyncio.sleep(wait + self.world.random.expovariate(1 / self.world.think_s))
        self.hang_up()

    def hang_up(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
        self.used = False

    async def connect(self):
        self.vm = self.world.random.choice(self.world.vms_in_rotation())
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(*self.vm.public), CONNECT_S)
        except (OSError, asyncio.TimeoutError):
            self.reader = self.writer = None
        return self.writer is not None

    async def ask(self, route):
        """Sends one request and records its end; returns seconds to wait before the next."""
        if self.writer is None and not await self.connect():
            return 0.1
        random = self.world.random
        body = random.randbytes(random.choice((0, 0, 30, 3000))) if not route.safe else b""
        one = Sent(id=f"q{next(self.numbers)}", vm=self.vm.name, route=route.name,
                   method="GET" if route.safe else "POST",
                   target=f"{route.prefix}{random.randint(1, 99)}?x=1", body=digest(body),
                   safe=route.safe, max_attempts=route.max_attempts,
                   time_left=route.deadline_s, at=self.world.clock(),
                   on_kept_connection=self.used)
        self.world.history.sent.append(one)
        impatient = random.random() < IMPATIENT_SHARE
        limit = IMPATIENT_S if impatient else route.deadline_s + PATIENCE_S
        answer = None
        try:
            answer = await asyncio.wait_for(self.exchange(one, route, body), limit)
        except asyncio.TimeoutError:
            one.gave_up = impatient
        except (OSError, asyncio.IncompleteReadError):
            pass
        except (http1.ProtocolError, ValueError) as fault:
            # A head or body that breaks off must not look like an answer: here it does not.
            one.malformed = "" if "cut off" in str(fault) else str(fault)
        one.ended = self.world.clock()
        return self.note(one, answer)

    async def exchange(self, one, route, body):
        head = [("Host", route.host), ("Request-Id", one.id),
                ("Deadline-Ms", str(int(route.deadline_s * 1000)))]
        if body and self.world.random.random() < 0.5:
            lines = [f"{one.method} {one.target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in head]
            lines.append("Transfer-Encoding: chunked")
            chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
            self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + chunk)
        else:
            self.writer.write(http1.encode(f"{one.method} {one.target} HTTP/1.1", head, body))
        await self.writer.drain()
        answer = await http1.read_message(self.reader)
        if answer is None:
            raise ConnectionResetError
        return answer

    def note(self, one, answer):
        if answer is None:
            self.hang_up()
            return 0.0
        one.status = answer.status
        one.answer_id = answer.get("request-id")
        one.signature = answer.get("response-signature")
        one.answer = digest(answer.body)
        self.used = True
        closes = answer.get("connection").lower() == "close"
        if closes or self.world.random.random() > KEPT_SHARE:
            self.hang_up()
        return min(float(answer.get("retry-after", "0")), one.time_left / 3)
