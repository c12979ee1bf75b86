#!/usr/bin/env python3
"""Soak of vanillahill-front: real processes on loopback, seeded faults from outside, checked history.

Each VM is one process with a loopback address of its own. The store, the backend servers, the
callers and a proxy on each link live in this process. Everything started is ended by its process id.
"""

import argparse
import asyncio
import collections
import json
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import time

import http1
from backends import HEALTH_PATH, LAPSE_S, Server
from callers import Caller
from checker import Checker
from history import History, Span
from proxy import Proxy
from store import Store

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
CALLER_PORT, READY_PORT, PEER_PORT, STORE_PORT, SERVER_PORT = 8000, 8001, 8002, 9000, 9001
DATA_CENTERS = ("dc1", "dc2")
SERVICES = ("desk", "view")
# Bounds that VMs are told and the checker holds them to, seconds and counts.
BOUNDS = {"grace": 6.0, "drain": 2.0, "config": 2.0, "stability_window": 3.0, "recovery": 15.0,
          "budget_ratio": 0.2, "budget_window": 10.0, "budget_slack": 12, "probes_per_s": 60}
READY_LIMIT_S = 30.0
MISSES_UNTIL_OUT = 2
REUSE_AFTER_S = 2.0
WATCH_S = 0.05
# A busy machine holds this process up for some tens of milliseconds at times.
STALL_S = 0.25


class Route:
    def __init__(self, name, service, safe, deadline_s):
        self.name = name
        self.service = service
        self.safe = safe
        self.deadline_s = deadline_s
        self.host = "soak.example"
        self.prefix = f"/{name}/"
        self.max_attempts = 2

    def spec(self):
        return {"host": self.host, "path_prefix": self.prefix,
                "kind": "safe" if self.safe else "unsafe",
                "timeout": f"{int(self.deadline_s * 1000)}ms",
                "target_latency": f"{int(self.deadline_s * 300)}ms", "priority": 1,
                "service": self.service, "max_attempts": self.max_attempts}


class Vm:
    """One entry process, and the proxies of its links to callers and to the store."""

    def __init__(self, world, number):
        self.world = world
        self.name = f"vm-{number}"
        self.ip = f"{world.prefix}.{number + 10}"
        self.data_center = DATA_CENTERS[number % len(DATA_CENTERS)]
        self.public = (f"{world.prefix}.{number + 90}", CALLER_PORT)
        self.store_address = (f"{world.prefix}.{number + 90}", STORE_PORT)
        self.callers = Proxy((self.ip, CALLER_PORT))
        self.store = Proxy((f"{world.prefix}.1", STORE_PORT))
        self.settings = world.folder / f"{self.name}.json"
        self.log = world.folder / f"{self.name}.log"
        self.process = None
        self.busy = False
        self.misses = 0

    def write_settings(self):
        seconds = {"grace", "drain", "config", "budget_window"}
        bounds = {name: f"{value}s" if name in seconds else value for name, value in BOUNDS.items()
                  if name not in ("stability_window", "recovery")}
        self.settings.write_text(json.dumps({
            "self": {"node": self.name, "ip": self.ip, "zone": self.data_center,
                     "limits": {"cores": 1}},
            "network": {"listen": {"front": f"{self.ip}:{CALLER_PORT}",
                                   "ready": f"{self.ip}:{READY_PORT}"},
                        "internal_port_range": [PEER_PORT, PEER_PORT + 1],
                        "seeds": [f"{self.world.prefix}.{seed + 10}:8003" for seed in (0, 1)]},
            "platform": {"platform": {"address": "%s:%d" % self.store_address}},
            "terms": {"bounds": bounds}}))

    def start(self):
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [self.world.program, "--settings", str(self.settings), "serve"],
                stdout=log, stderr=log)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, READY_PORT), 1.0)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(http1.encode("GET /-/readiness HTTP/1.1", [("Host", self.ip)]))
            answer = await asyncio.wait_for(http1.read_message(reader), 1.0)
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError, http1.ProtocolError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    async def wait_ready(self):
        limit = time.monotonic() + READY_LIMIT_S
        while not await self.is_ready():
            if time.monotonic() > limit:
                raise TimeoutError(f"{self.name} is not ready after {READY_LIMIT_S:.0f} s")
            await asyncio.sleep(0.05)

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_end(self, limit_s):
        limit = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < limit:
            await asyncio.sleep(0.02)
        return self.process.poll()


class World:
    """Everything of one run."""

    def __init__(self, options, folder):
        self.random = random.Random(options.seed)
        self.folder = folder
        self.program = str(options.build / "vanillahill-front")
        self.begin = time.monotonic()
        self.prefix = f"127.{20 + options.seed % 200}.{1 + options.seed // 200 % 200}"
        self.think_s = options.callers / options.per_second
        self.history = History(BOUNDS)
        self.store = Store(self.clock)
        self.ended = False
        self.routes = {"look": Route("look", "desk", True, 1.5),
                       "post": Route("post", "desk", False, 2.0),
                       "list": Route("list", "view", True, 2.5)}
        self.dropped = []
        self.version = 1
        self.vms = [Vm(self, number) for number in range(options.vms)]
        self.servers = []
        self.proxies = {}
        self.ports = options.servers
        self.counts = collections.Counter()

    def clock(self):
        return time.monotonic() - self.begin

    # What callers choose from.

    def routes_in_use(self):
        return list(self.routes.values()) + self.dropped[-1:]

    def vms_in_rotation(self):
        ready = [vm for vm in self.vms if vm.misses < MISSES_UNTIL_OUT]
        return ready if 2 * len(ready) >= len(self.vms) else self.vms

    async def question_readiness(self):
        while not self.ended:
            for vm in self.vms:
                vm.misses = 0 if await vm.is_ready() else vm.misses + 1
            await asyncio.sleep(1.0)

    async def watch_self(self):
        """The store runs here too: when this process stands still, the store was slow."""
        while not self.ended:
            before = self.clock()
            await asyncio.sleep(WATCH_S)
            if self.clock() - before > WATCH_S + STALL_S:
                self.span("store", before)

    async def watch_processes(self):
        """Notes a process that ends though nobody ended it."""
        while not self.ended:
            for vm in self.vms:
                if not vm.busy and vm.process.poll() is not None:
                    self.history.ends.append((vm.name, self.clock(), vm.process.returncode))
                    vm.start()
            await asyncio.sleep(0.1)

    # Store and servers.

    def publish(self):
        """Writes the configuration with the routes of now."""
        self.version += self.random.randint(1, 3)
        resources = [{"resource_kind": "routes", "metadata": {"name": route.name},
                      "spec": route.spec()} for route in self.routes.values()]
        resources += [{"resource_kind": "services", "metadata": {"name": name},
                       "spec": {"health_path": HEALTH_PATH, "max_connections": 200}}
                      for name in SERVICES]
        resources.append({"resource_kind": "limits", "metadata": {},
                          "spec": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                                   "header_timeout": "5s", "idle_timeout": "20s"}})
        body = json.dumps({"version": f"r{self.version}", "resources": resources}).encode()
        at = self.store.put("keyed.op", "config", body)
        allowed = {route.name: {route.service} for route in self.routes.values()}
        self.history.versions.append((at, allowed))

    async def add_server(self, service, slot, name=None):
        """Starts a server in a slot: an address with a proxy in front."""
        real = (f"{self.prefix}.2", SERVER_PORT + slot)
        public = (f"{self.prefix}.3", SERVER_PORT + slot)
        if slot not in self.proxies:
            self.proxies[slot] = Proxy(real)
            await self.proxies[slot].start(*public)
        server = Server(self, service, real, public, self.random.choice(DATA_CENTERS), name)
        server.slot = slot
        await server.start()
        self.servers.append(server)
        return server

    def span(self, where, begin):
        self.history.spans.append(Span(where, begin, self.clock()))

    # A run.

    async def open(self):
        await self.store.start(f"{self.prefix}.1", STORE_PORT)
        for slot in range(self.ports):
            await self.add_server(SERVICES[slot % 3 // 2], slot)
        self.publish()
        for vm in self.vms:
            await vm.callers.start(*vm.public)
            await vm.store.start(*vm.store_address)
            vm.write_settings()
            vm.start()
        await asyncio.gather(*(vm.wait_ready() for vm in self.vms))
        for vm in self.vms:
            self.span(vm.name, 0.0)

    async def close(self):
        self.ended = True
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.kill()
                vm.process.wait()
        for server in self.servers:
            await server.crash()
        self.store.close()
        for proxy in [*self.proxies.values(), *(vm.callers for vm in self.vms),
                      *(vm.store for vm in self.vms)]:
            proxy.close()
        # Connections that were aborted end in the next turns of the loop.
        await asyncio.sleep(0.05)


class Faults:
    """Draws faults from the seed and carries them out, overlapping."""

    def __init__(self, world):
        self.world = world
        self.random = world.random
        self.running = set()
        self.failures = []

    def kinds(self):
        return [self.kill, self.pause, self.planned_stop, self.planned_stop, self.settings_change,
                self.caller_link, self.store_link, self.server_link, self.store_fault,
                self.store_shorten, self.server_fault, self.server_fault, self.crash, self.leave,
                self.leave, self.join, self.configuration, self.configuration, self.bad_record,
                self.kill_all]

    async def run(self, seconds):
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            kind = self.random.choice(self.kinds())
            self.world.counts[kind.__name__] += 1
            task = asyncio.create_task(kind())
            self.running.add(task)
            task.add_done_callback(self.note_end)
            await asyncio.sleep(self.random.uniform(0.2, 1.6))
        while self.running:
            await asyncio.wait(self.running)

    def note_end(self, task):
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.failures.append(repr(task.exception()))

    def free_vm(self):
        free = [vm for vm in self.world.vms if not vm.busy]
        return self.random.choice(free) if free else None

    def steady_servers(self, service=None):
        return [one for one in self.world.servers if one.state == "ready" and one.fault is None
                and (service is None or one.service == service)]

    # Processes.

    async def kill(self, vm=None, down_s=None):
        vm = vm or self.free_vm()
        if vm is None:
            return
        vm.busy = True
        begin = self.world.clock()
        vm.send(signal.SIGKILL)
        await vm.wait_end(5.0)
        await asyncio.sleep(self.random.uniform(0.1, 2.0) if down_s is None else down_s)
        await self.restart(vm)
        self.world.span(vm.name, begin)

    async def restart(self, vm):
        vm.start()
        vm.busy = False
        await vm.wait_ready()

    async def kill_all(self):
        if any(vm.busy for vm in self.world.vms):
            return
        await asyncio.gather(*(self.kill(vm, 0.3) for vm in self.world.vms))
        self.world.history.returns.append(self.world.clock())

    async def pause(self):
        vm = self.free_vm()
        if vm is None:
            return
        vm.busy = True
        begin = self.world.clock()
        vm.send(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.1, 4.0))
        vm.send(signal.SIGCONT)
        vm.busy = False
        self.world.span(vm.name, begin)

    async def planned_stop(self):
        vm = self.free_vm()
        if vm is None:
            return
        vm.busy = True
        begin = self.world.clock()
        self.world.history.stops.append((vm.name, begin))
        vm.send(signal.SIGTERM)
        if await vm.wait_end(BOUNDS["grace"]) is None:
            vm.send(signal.SIGKILL)
            await vm.wait_end(5.0)
        elif vm.process.returncode != 0:
            self.world.history.ends.append((vm.name, self.world.clock(), vm.process.returncode))
        await self.restart(vm)
        self.world.span(vm.name + " planned", begin)

    async def settings_change(self):
        vm = self.free_vm()
        if vm is None:
            return
        vm.write_settings()
        if self.random.random() < 0.5:
            vm.send(signal.SIGHUP)

    # Links.

    async def disturb(self, link, where):
        begin = self.world.clock()
        kind = self.random.choice(("delay", "forward", "back", "refuse", "reset"))
        if kind == "reset":
            link.reset()
        else:
            link.set(delay=self.random.uniform(0.01, 0.2) if kind == "delay" else 0.0,
                     hold_forward=kind == "forward", hold_back=kind == "back",
                     refuses=kind == "refuse")
            await asyncio.sleep(self.random.uniform(0.2, 4.0))
            link.set()
        self.world.span(where, begin)

    async def caller_link(self):
        vm = self.random.choice(self.world.vms)
        await self.disturb(vm.callers, vm.name)

    async def store_link(self):
        vm = self.random.choice(self.world.vms)
        await self.disturb(vm.store, vm.name)

    async def server_link(self):
        server = self.random.choice(self.world.servers)
        await self.disturb(self.world.proxies[server.slot], server.name)

    # Store.

    async def store_fault(self):
        begin = self.world.clock()
        self.world.store.fault = self.random.choice(("refuse", "silent", "reset", "lose", "slow"))
        await asyncio.sleep(self.random.uniform(0.3, 4.0))
        self.world.store.fault = None
        for writer in list(self.world.store.writers):
            writer.transport.abort()
        self.world.span("store", begin)

    async def store_shorten(self):
        self.world.store.shorten(self.random.choice(("keyed.op", "keyed.servers")))

    async def bad_record(self):
        bad = self.random.choice((b"{", b"\xff\x00", b"[]", b'{"service":7}', b'{"state":"new"}',
                                  b'{"service":"desk","address":"x","sequence":-1}'))
        self.world.store.put("keyed.servers", f"x-{self.random.randint(1, 3)}", bad)
        self.world.store.put("keyed.op", "other", bad)

    async def configuration(self):
        world = self.world
        extra = [name for name in world.routes if name not in ("look", "post", "list")]
        choice = self.random.choice(("add", "drop", "move"))
        if choice == "drop" and extra:
            world.dropped.append(world.routes.pop(extra[0]))
        elif choice == "move" and extra:
            route = world.routes[extra[0]]
            route.service = SERVICES[1 - SERVICES.index(route.service)]
        else:
            name = f"more{world.version}"
            world.routes[name] = Route(name, self.random.choice(SERVICES),
                                       self.random.random() < 0.5, 2.0)
        world.publish()

    # Backend servers.

    async def server_fault(self):
        steady = self.steady_servers()
        if len(steady) < 4:
            return
        server = self.random.choice(steady)
        begin = self.world.clock()
        server.fault = self.random.choice(("errors", "reset", "hang", "refuse", "cut", "extra",
                                           "unframed", "slow", "mute", "sick"))
        server.fault_share = self.random.uniform(0.1, 1.0)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        server.fault = None
        self.world.span(server.name, begin)

    async def crash(self):
        """A server ends; later one starts at its address: itself, or one of the other service."""
        server = self.leaver()
        if server is None:
            return
        begin = self.world.clock()
        self.world.servers.remove(server)
        await server.crash()
        await asyncio.sleep(self.random.choice((0.3, LAPSE_S)))
        same = self.random.random() < 0.4
        if not same:
            server.unregister()
            await asyncio.sleep(REUSE_AFTER_S)
        await self.world.add_server(server.service if same else self.random.choice(SERVICES),
                                    server.slot, server.name if same else None)
        self.world.span(server.name, begin)

    async def leave(self):
        server = self.leaver()
        if server is None:
            return
        self.world.servers.remove(server)
        await server.leave(silently=self.random.random() < 0.4)
        await asyncio.sleep(REUSE_AFTER_S)
        await self.world.add_server(self.random.choice(SERVICES), server.slot)

    def leaver(self):
        """A server without which its service still has two."""
        fit = [one for one in self.steady_servers()
               if len(self.steady_servers(one.service)) > 2]
        return self.random.choice(fit) if fit else None

    async def join(self):
        if self.world.ports < 24:
            slot = self.world.ports
            self.world.ports += 1
            await self.world.add_server(self.random.choice(SERVICES), slot)


async def play(options, folder):
    world = World(options, folder)
    try:
        await world.open()
        callers = [asyncio.create_task(Caller(world).run()) for _ in range(options.callers)]
        watchers = [asyncio.create_task(world.question_readiness()),
                    asyncio.create_task(world.watch_processes()),
                    asyncio.create_task(world.watch_self())]
        faults = Faults(world)
        await faults.run(options.seconds)
        # Whatever was disturbed is given the time to recover, and is then judged calm.
        await asyncio.sleep(BOUNDS["stability_window"] + 1.0)
        world.ended = True
        await asyncio.wait(callers, timeout=5.0)
        await asyncio.wait(watchers, timeout=5.0)
    finally:
        await world.close()
    violations = Checker(world.history).check()
    violations += [("SOAK", text) for text in faults.failures]
    return world, violations


def plain(value):
    """Sets and records as JSON can hold them."""
    return sorted(value) if isinstance(value, set) else vars(value)


def report(options, world, violations):
    sent = world.history.sent
    answers = collections.Counter(one.status for one in sent)
    shown = ", ".join(f"{status or 'cut'} {count}" for status, count in answers.most_common())
    kinds = ", ".join(f"{name} {count}" for name, count in sorted(world.counts.items()))
    print(f"soak: seed {options.seed}, {options.seconds:g} s, {options.vms} VMs: {kinds}")
    print(f"soak: seed {options.seed}: {len(sent)} requests: {shown}; "
          f"{len(violations)} violations")
    for rule, text in violations[:20]:
        print(f"soak: seed {options.seed}: {rule}: {text}")


def arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="how many, one after another")
    parser.add_argument("--seconds", type=float, default=20, help="with faults, for each seed")
    parser.add_argument("--regressions", action="store_true",
                        help="then the seeds of regressions.txt")
    parser.add_argument("--vms", type=int, default=5)
    parser.add_argument("--servers", type=int, default=9)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--per-second", type=float, default=60, help="requests of all callers")
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "build")
    parser.add_argument("--keep", type=pathlib.Path, help="folder that keeps logs and histories")
    return parser.parse_args()


def regressions():
    """Seeds that failed once, with the seconds that each is played."""
    for line in (pathlib.Path(__file__).parent / "regressions.txt").read_text().splitlines():
        if line and not line.startswith("#"):
            seed, seconds, _ = line.split(" ", 2)
            yield int(seed), float(seconds)


def main():
    options = arguments()
    plays = [(seed, options.seconds) for seed in range(options.seed, options.seed + options.seeds)]
    if options.regressions:
        plays += regressions()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    red = []
    for seed, seconds in plays:
        options.seed = seed
        options.seconds = seconds
        with tempfile.TemporaryDirectory() as temporary:
            folder = options.keep / str(seed) if options.keep else pathlib.Path(temporary)
            folder.mkdir(parents=True, exist_ok=True)
            world, violations = asyncio.run(play(options, folder))
            report(options, world, violations)
            if violations:
                red.append(seed)
                if options.keep:
                    (folder / "history.json").write_text(
                        json.dumps(world.history, default=plain, indent=0))
    print(f"soak: {len(plays)} seeds, red: {red or 'none'}")
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
