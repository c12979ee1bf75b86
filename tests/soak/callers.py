"""Simulated callers: they wait as Retry-After says, sometimes give up, and record the results."""

import asyncio
import itertools

import http1
from history import SentRequest, digest

CONNECT_TIMEOUT_S = 1.0
# How long a caller waits for the answer after its deadline.
DEADLINE_MARGIN_S = 1.0
IMPATIENT_SHARE = 0.05
IMPATIENT_TIMEOUT_S = 0.08
KEEP_OPEN_SHARE = 0.9


class Caller:
    """One caller with at most one connection, which it keeps open between requests."""

    numbers = itertools.count(1)

    def __init__(self, testbed):
        self.testbed = testbed
        self.vm = None
        self.reader = None
        self.writer = None
        self.connection_used = False

    async def run(self):
        while not self.testbed.ended:
            route = self.testbed.random.choice(self.testbed.routes_in_use())
            wait_s = await self.send_request(route)
            await asyncio.sleep(wait_s + self.testbed.random.expovariate(1 / self.testbed.think_s))
        self.close_connection()

    def close_connection(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None
        self.connection_used = False

    async def connect(self, vm=None):
        self.vm = vm or self.testbed.random.choice(self.testbed.vms_in_rotation())
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(*self.vm.caller_address), CONNECT_TIMEOUT_S)
        except (OSError, asyncio.TimeoutError):
            self.reader = self.writer = None
        return self.writer is not None

    async def send_request(self, route, target=None):
        """Sends one request and records the result; returns seconds to wait before the next.

        With a target, the request is a copy of all others with that target.
        """
        if self.writer is None and not await self.connect():
            return 0.1
        random = self.testbed.random
        has_body = target is None and not route.safe
        body = random.randbytes(random.choice((0, 0, 30, 3000))) if has_body else b""
        request = SentRequest(id=f"q{next(self.numbers)}", vm=self.vm.name, route=route.name,
                              method="GET" if route.safe else "POST",
                              target=target or f"{route.prefix}{random.randint(1, 99)}?x=1",
                              body=digest(body),
                              safe=route.safe, max_attempts=route.max_attempts,
                              time_left=route.deadline_s, at=self.testbed.clock(),
                              on_kept_connection=self.connection_used)
        self.testbed.history.sent.append(request)
        impatient = random.random() < IMPATIENT_SHARE
        timeout = IMPATIENT_TIMEOUT_S if impatient else route.deadline_s + DEADLINE_MARGIN_S
        answer = None
        try:
            answer = await asyncio.wait_for(self.exchange(request, route, body), timeout)
        except asyncio.TimeoutError:
            request.gave_up = impatient
        except (OSError, asyncio.IncompleteReadError):
            pass
        except (http1.ProtocolError, ValueError) as error:
            # A truncated head or body cannot be taken for an answer, so it is not malformed.
            request.malformed = "" if "cut off" in str(error) else str(error)
        request.ended = self.testbed.clock()
        return self.record_answer(request, answer)

    async def exchange(self, request, route, body):
        head = [("Host", route.host), ("Request-Id", request.id),
                ("Deadline-Ms", str(int(route.deadline_s * 1000)))]
        if body and self.testbed.random.random() < 0.5:
            lines = [f"{request.method} {request.target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in head]
            lines.append("Transfer-Encoding: chunked")
            chunk = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
            self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + chunk)
        else:
            self.writer.write(http1.encode_message(
                f"{request.method} {request.target} HTTP/1.1", head, body))
        await self.writer.drain()
        answer = await http1.read_message(self.reader)
        if answer is None:
            raise ConnectionResetError
        return answer

    def record_answer(self, request, answer):
        if answer is None:
            self.close_connection()
            return 0.0
        request.status = answer.status
        request.answer_id = answer.get_header("request-id")
        request.signature = answer.get_header("response-signature")
        request.answer = digest(answer.body)
        self.connection_used = True
        closes = answer.get_header("connection").lower() == "close"
        if closes or self.testbed.random.random() > KEEP_OPEN_SHARE:
            self.close_connection()
        return min(float(answer.get_header("retry-after", "0")), request.time_left / 3)


async def send_together(testbed, vm, route, count):
    """Sends requests to one VM at once, each on a connection of its own."""
    async def send_one():
        caller = Caller(testbed)
        if await caller.connect(vm):
            await caller.send_request(route)
            caller.close_connection()
    await asyncio.gather(*(send_one() for _ in range(count)))
