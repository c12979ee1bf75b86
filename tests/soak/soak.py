#!/usr/bin/env python3
"""Soak of vanillahill-front: real processes on loopback, seeded faults, and a checked history.

Each VM is one process with a loopback address of its own. The store, the backend servers, the
callers and a proxy on each link run in this process. Every process started is ended by its id.
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
from backends import HEALTH_PATH, HEARTBEAT_TIMEOUT_S, Server
from callers import Caller, send_together
from checker import Checker
from history import History, Span
from proxy import Proxy
from routes import Route
from scenarios import SCENARIOS
from store import Store

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
CALLER_PORT, READY_PORT, PEER_PORT, STORE_PORT, SERVER_PORT = 8000, 8001, 8002, 9000, 9001
DATA_CENTERS = ("dc1", "dc2")
SERVICES = ("desk", "view")
# Bounds that VMs get in their settings and that the checker enforces, seconds and counts.
BOUNDS = {"grace": 6.0, "drain": 2.0, "config": 2.0, "stability_window": 3.0, "recovery": 15.0,
          "budget_ratio": 0.2, "budget_window": 10.0, "budget_slack": 12, "probes_per_s": 60}
READY_TIMEOUT_S = 30.0
UNREADY_PROBES_UNTIL_REMOVED = 2
ADDRESS_REUSE_DELAY_S = 2.0
STALL_PROBE_PERIOD_S = 0.05
# Shorter delays are ignored: a busy machine delays this process by some tens of milliseconds.
MIN_STALL_S = 0.25
# How long a server has been hanging when a planned stop begins.
HANG_BEFORE_STOP_S = 0.3
LONG_REQUESTS = 12


class Vm:
    """One entry process with the proxies in front of it and of the store."""

    def __init__(self, testbed, number):
        self.testbed = testbed
        self.name = f"vm-{number}"
        self.ip = f"{testbed.prefix}.{number + 10}"
        self.data_center = DATA_CENTERS[number % len(DATA_CENTERS)]
        self.caller_address = (f"{testbed.prefix}.{number + 90}", CALLER_PORT)
        self.store_address = (f"{testbed.prefix}.{number + 90}", STORE_PORT)
        self.caller_proxy = Proxy((self.ip, CALLER_PORT))
        self.store_proxy = Proxy((f"{testbed.prefix}.1", STORE_PORT))
        self.settings_path = testbed.folder / f"{self.name}.json"
        self.log_path = testbed.folder / f"{self.name}.log"
        self.process = None
        self.fault_running = False
        self.unready_probes = 0

    def write_settings(self):
        seconds = {"grace", "drain", "config", "budget_window"}
        bounds = {name: f"{value}s" if name in seconds else value for name, value in BOUNDS.items()
                  if name not in ("stability_window", "recovery")}
        self.settings_path.write_text(json.dumps({
            "self": {"node": self.name, "ip": self.ip, "zone": self.data_center,
                     "limits": {"cores": 1}},
            "network": {"listen": {"front": f"{self.ip}:{CALLER_PORT}",
                                   "ready": f"{self.ip}:{READY_PORT}"},
                        "internal_port_range": [PEER_PORT, PEER_PORT + 1],
                        "seeds": [f"{self.testbed.prefix}.{seed + 10}:8003" for seed in (0, 1)]},
            "platform": {"platform": {"address": "%s:%d" % self.store_address}},
            "terms": {"bounds": bounds}}))

    def start(self, output=None):
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                [self.testbed.program, "--settings", str(self.settings_path), "serve"],
                stdout=log if output is None else output, stderr=log)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, READY_PORT), 1.0)
        except (OSError, asyncio.TimeoutError):
            return False
        try:
            writer.write(http1.encode_message("GET /-/readiness HTTP/1.1", [("Host", self.ip)]))
            answer = await asyncio.wait_for(http1.read_message(reader), 1.0)
            return answer is not None and answer.status == 200
        except (OSError, asyncio.TimeoutError, http1.ProtocolError, asyncio.IncompleteReadError):
            return False
        finally:
            writer.close()

    async def wait_ready(self):
        limit = time.monotonic() + READY_TIMEOUT_S
        while not await self.is_ready():
            if time.monotonic() > limit:
                raise TimeoutError(f"{self.name} is not ready after {READY_TIMEOUT_S:.0f} s")
            await asyncio.sleep(0.05)

    def send_signal(self, signal_number):
        if self.process.poll() is None:
            self.process.send_signal(signal_number)

    async def wait_end(self, timeout_s):
        limit = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < limit:
            await asyncio.sleep(0.02)
        return self.process.poll()


class Testbed:
    """The processes, simulated peers and recorded history of one seed."""

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
        self.announces_leaving = False
        # A request with this target crashes the server that runs it.
        self.crashing_target = None
        self.crashed = []
        self.routes = {"look": Route("look", "desk", True, 1.5),
                       "post": Route("post", "desk", False, 2.0),
                       "list": Route("list", "view", True, 2.5),
                       # Its requests may last longer than a planned stop.
                       "wait": Route("wait", "desk", False, BOUNDS["grace"] + 3.0)}
        self.dropped_routes = []
        self.version = 1
        self.vms = [Vm(self, number) for number in range(options.vms)]
        self.servers = []
        self.proxies = {}
        self.address_count = options.servers
        self.fault_counts = collections.Counter()

    def clock(self):
        return time.monotonic() - self.begin

    # Routes and VMs that callers choose from.

    def routes_in_use(self):
        return list(self.routes.values()) + self.dropped_routes[-1:]

    def vms_in_rotation(self):
        ready = [vm for vm in self.vms if vm.unready_probes < UNREADY_PROBES_UNTIL_REMOVED]
        return ready if 2 * len(ready) >= len(self.vms) else self.vms

    async def poll_readiness(self):
        while not self.ended:
            for vm in self.vms:
                vm.unready_probes = 0 if await vm.is_ready() else vm.unready_probes + 1
            await asyncio.sleep(1.0)

    async def watch_event_loop(self):
        """Records a stall of this process as a disturbance of the store, which runs in it."""
        while not self.ended:
            before = self.clock()
            await asyncio.sleep(STALL_PROBE_PERIOD_S)
            if self.clock() - before > STALL_PROBE_PERIOD_S + MIN_STALL_S:
                self.record_span("store", before)

    async def watch_processes(self):
        """Records and restarts a process that ended although no fault ended it."""
        while not self.ended:
            for vm in self.vms:
                if not vm.fault_running and vm.process.poll() is not None:
                    self.history.ends.append((vm.name, self.clock(), vm.process.returncode))
                    vm.start()
            await asyncio.sleep(0.1)

    # Store and servers.

    def publish(self):
        """Writes a configuration version with the current routes."""
        self.version += self.random.randint(1, 3)
        resources = [route.resource() for route in self.routes.values()]
        resources += [{"resource_kind": "services", "metadata": {"name": name},
                       "spec": {"health_path": HEALTH_PATH, "max_connections": 200}}
                      for name in SERVICES]
        resources.append({"resource_kind": "limits", "metadata": {},
                          "spec": {"max_header_bytes": 16384, "max_body_bytes": 1 << 20,
                                   "header_timeout": "5s", "idle_timeout": "20s"}})
        body = json.dumps({"version": f"r{self.version}", "resources": resources}).encode()
        at = self.store.append_record("keyed.op", "config", body)
        allowed = {route.name: {route.service} for route in self.routes.values()}
        self.history.versions.append((at, allowed))
        self.history.version_bytes.append((at, len(body)))

    async def add_server(self, service, address_index, name=None):
        """Starts a server at the numbered address, behind a proxy."""
        listen_address = (f"{self.prefix}.2", SERVER_PORT + address_index)
        registered_address = (f"{self.prefix}.3", SERVER_PORT + address_index)
        if address_index not in self.proxies:
            self.proxies[address_index] = Proxy(listen_address)
            await self.proxies[address_index].start(*registered_address)
        server = Server(self, service, listen_address, registered_address,
                        self.random.choice(DATA_CENTERS), name)
        server.address_index = address_index
        await server.start()
        self.servers.append(server)
        return server

    def record_span(self, where, begin):
        self.history.spans.append(Span(where, begin, self.clock()))

    # Start and stop.

    async def open(self):
        await self.store.start(f"{self.prefix}.1", STORE_PORT)
        for address_index in range(self.address_count):
            await self.add_server(SERVICES[address_index % 3 // 2], address_index)
        self.publish()
        for vm in self.vms:
            await vm.caller_proxy.start(*vm.caller_address)
            await vm.store_proxy.start(*vm.store_address)
            vm.write_settings()
            vm.start()
        await asyncio.gather(*(vm.wait_ready() for vm in self.vms))
        for vm in self.vms:
            self.record_span(vm.name, 0.0)

    async def close(self):
        self.ended = True
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.kill()
                vm.process.wait()
        for server in self.servers:
            await server.crash()
        self.store.close()
        for proxy in [*self.proxies.values(), *(vm.caller_proxy for vm in self.vms),
                      *(vm.store_proxy for vm in self.vms)]:
            proxy.close()
        # Tasks of aborted connections end in the next iterations of the event loop.
        await asyncio.sleep(0.05)


class Faults:
    """Draws faults from the seed and injects them; faults may overlap."""

    def __init__(self, testbed, options):
        self.testbed = testbed
        self.random = testbed.random
        self.scenarios = [SCENARIOS[name] for name in options.scenario]
        self.kinds = self.all_kinds()
        if self.scenarios and not options.mixed:
            self.kinds = [getattr(self, name) for scenario in self.scenarios
                          for name in scenario.kinds]
        self.running = set()
        self.errors = []

    def all_kinds(self):
        return [self.kill, self.pause, self.planned_stop, self.planned_stop, self.settings_change,
                self.caller_link, self.store_link, self.server_link, self.store_fault,
                self.store_shorten, self.server_fault, self.server_fault, self.crash, self.leave,
                self.leave, self.join, self.configuration, self.configuration, self.bad_record,
                self.kill_all]

    async def run(self, seconds):
        limit = time.monotonic() + seconds
        for scenario in self.scenarios:
            self.start(scenario.play(self, limit))
        while time.monotonic() < limit:
            kind = self.random.choice(self.kinds)
            self.testbed.fault_counts[kind.__name__] += 1
            self.start(kind())
            await asyncio.sleep(self.random.uniform(0.2, 1.6))
        while self.running:
            await asyncio.wait(self.running)

    def start(self, fault):
        task = asyncio.create_task(fault)
        self.running.add(task)
        task.add_done_callback(self.record_end)

    def record_end(self, task):
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.errors.append(repr(task.exception()))

    def choose_vm(self):
        free = [vm for vm in self.testbed.vms if not vm.fault_running]
        return self.random.choice(free) if free else None

    def healthy_servers(self, service=None):
        return [server for server in self.testbed.servers
                if server.state == "ready" and server.fault is None
                and (service is None or server.service == service)]

    # Processes.

    async def kill(self, vm=None, down_s=None):
        vm = vm or self.choose_vm()
        if vm is None:
            return
        vm.fault_running = True
        begin = self.testbed.clock()
        vm.send_signal(signal.SIGKILL)
        await vm.wait_end(5.0)
        await asyncio.sleep(self.random.uniform(0.1, 2.0) if down_s is None else down_s)
        await self.restart(vm)
        self.testbed.record_span(vm.name, begin)
        self.testbed.record_span(vm.name + " process", begin)

    async def restart(self, vm):
        vm.start()
        vm.fault_running = False
        await vm.wait_ready()

    async def kill_all(self):
        if any(vm.fault_running for vm in self.testbed.vms):
            return
        await asyncio.gather(*(self.kill(vm, 0.3) for vm in self.testbed.vms))
        self.testbed.history.returns.append(self.testbed.clock())

    async def pause(self):
        vm = self.choose_vm()
        if vm is None:
            return
        vm.fault_running = True
        begin = self.testbed.clock()
        vm.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.1, 4.0))
        vm.send_signal(signal.SIGCONT)
        vm.fault_running = False
        self.testbed.record_span(vm.name, begin)
        self.testbed.record_span(vm.name + " process", begin)

    async def planned_stop(self):
        vm = self.choose_vm()
        if vm is None:
            return
        vm.fault_running = True
        # Half of the stops find requests that do not end in time.
        hanging = None
        if self.random.random() < 0.5 and len(self.healthy_servers("desk")) > 2:
            hanging = self.random.choice(self.healthy_servers("desk"))
            hanging.fault, hanging.fault_share = "hang", 1.0
            hang_begin = self.testbed.clock()
            requests = asyncio.create_task(send_together(
                self.testbed, vm, self.testbed.routes["wait"], LONG_REQUESTS))
            await asyncio.sleep(HANG_BEFORE_STOP_S)
        begin = self.testbed.clock()
        await self.stop(vm, begin)
        if hanging is not None:
            hanging.fault = None
            self.testbed.record_span(hanging.name, hang_begin)
            await requests
        await self.restart(vm)
        self.testbed.record_span(vm.name + " planned", begin)
        self.testbed.record_span(vm.name + " process", begin)

    async def stop(self, vm, begin):
        """Stops a process as planned; records when it must be killed or does not log its end."""
        history = self.testbed.history
        history.stops.append((vm.name, begin))
        log_size = vm.log_path.stat().st_size
        vm.send_signal(signal.SIGTERM)
        if await vm.wait_end(BOUNDS["grace"]) is None:
            history.bad_stops.append((vm.name, begin, "still there after grace, killed"))
            vm.send_signal(signal.SIGKILL)
            await vm.wait_end(5.0)
            return
        if vm.process.returncode != 0:
            history.ends.append((vm.name, self.testbed.clock(), vm.process.returncode))
        if b'"event":"stopped"' not in vm.log_path.read_bytes()[log_size:]:
            history.bad_stops.append((vm.name, begin, "no \"stopped\" in its log"))

    async def settings_change(self):
        vm = self.choose_vm()
        if vm is None:
            return
        vm.write_settings()
        if self.random.random() < 0.5:
            vm.send_signal(signal.SIGHUP)

    # Links.

    async def disturb_link(self, link, where):
        begin = self.testbed.clock()
        kind = self.random.choice(("delay", "forward", "back", "refuse", "reset"))
        if kind == "reset":
            link.reset_connections()
        else:
            link.set_faults(delay=self.random.uniform(0.01, 0.2) if kind == "delay" else 0.0,
                            hold_forward=kind == "forward", hold_back=kind == "back",
                            refuses=kind == "refuse")
            await asyncio.sleep(self.random.uniform(0.2, 4.0))
            link.set_faults()
        self.testbed.record_span(where, begin)

    async def caller_link(self):
        vm = self.random.choice(self.testbed.vms)
        await self.disturb_link(vm.caller_proxy, vm.name)

    async def store_link(self):
        vm = self.random.choice(self.testbed.vms)
        await self.disturb_link(vm.store_proxy, vm.name)

    async def server_link(self):
        server = self.random.choice(self.testbed.servers)
        await self.disturb_link(self.testbed.proxies[server.address_index], server.name)

    # Store.

    async def store_fault(self):
        begin = self.testbed.clock()
        self.testbed.store.fault = self.random.choice(("refuse", "silent", "reset", "lose", "slow"))
        await asyncio.sleep(self.random.uniform(0.3, 4.0))
        self.testbed.store.fault = None
        self.testbed.store.reset_connections()
        self.testbed.record_span("store", begin)

    async def store_shorten(self):
        self.testbed.store.delete_records(self.random.choice(("keyed.op", "keyed.servers")))

    async def bad_record(self):
        bad = self.random.choice((b"{", b"\xff\x00", b"[]", b'{"service":7}', b'{"state":"new"}',
                                  b'{"service":"desk","address":"x","sequence":-1}'))
        self.testbed.store.append_record("keyed.servers", f"x-{self.random.randint(1, 3)}", bad)
        self.testbed.store.append_record("keyed.op", "other", bad)

    async def configuration(self):
        testbed = self.testbed
        extra = [name for name in testbed.routes if name not in ("look", "post", "list", "wait")]
        choice = self.random.choice(("add", "drop", "move"))
        if choice == "drop" and extra:
            testbed.dropped_routes.append(testbed.routes.pop(extra[0]))
        elif choice == "move" and extra:
            route = testbed.routes[extra[0]]
            route.service = SERVICES[1 - SERVICES.index(route.service)]
        else:
            name = f"more{testbed.version}"
            testbed.routes[name] = Route(name, self.random.choice(SERVICES),
                                         self.random.random() < 0.5, 2.0)
        testbed.publish()

    # Backend servers.

    async def server_fault(self):
        healthy = self.healthy_servers()
        if len(healthy) < 4:
            return
        server = self.random.choice(healthy)
        begin = self.testbed.clock()
        server.fault = self.random.choice(("errors", "reset", "hang", "refuse", "cut", "extra",
                                           "unframed", "slow", "mute", "sick"))
        server.fault_share = self.random.uniform(0.1, 1.0)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        server.fault = None
        self.testbed.record_span(server.name, begin)

    async def crash(self):
        """A server ends; later the same server or one of a random service starts at its address."""
        server = self.choose_removable_server()
        if server is None:
            return
        begin = self.testbed.clock()
        self.testbed.servers.remove(server)
        await server.crash()
        await asyncio.sleep(self.random.choice((0.3, HEARTBEAT_TIMEOUT_S)))
        same_server = self.random.random() < 0.4
        if not same_server:
            server.unregister()
            await asyncio.sleep(ADDRESS_REUSE_DELAY_S)
        await self.testbed.add_server(
            server.service if same_server else self.random.choice(SERVICES),
            server.address_index, server.name if same_server else None)
        self.testbed.record_span(server.name, begin)

    async def leave(self):
        server = self.choose_removable_server()
        if server is None:
            return
        self.testbed.servers.remove(server)
        await server.leave(silently=self.random.random() < 0.4)
        await asyncio.sleep(ADDRESS_REUSE_DELAY_S)
        await self.testbed.add_server(self.random.choice(SERVICES), server.address_index)

    def choose_removable_server(self):
        """A healthy server whose service keeps at least two others."""
        removable = [server for server in self.healthy_servers()
                     if len(self.healthy_servers(server.service)) > 2]
        return self.random.choice(removable) if removable else None

    async def join(self):
        if self.testbed.address_count < 24:
            address_index = self.testbed.address_count
            self.testbed.address_count += 1
            await self.testbed.add_server(self.random.choice(SERVICES), address_index)


async def run_seed(options, folder):
    testbed = Testbed(options, folder)
    try:
        await testbed.open()
        callers = [asyncio.create_task(Caller(testbed).run()) for _ in range(options.callers)]
        watchers = [asyncio.create_task(testbed.poll_readiness()),
                    asyncio.create_task(testbed.watch_processes()),
                    asyncio.create_task(testbed.watch_event_loop())]
        faults = Faults(testbed, options)
        await faults.run(options.seconds)
        # After this time the checker counts every VM, server and the store as undisturbed again.
        await asyncio.sleep(BOUNDS["stability_window"] + 1.0)
        testbed.ended = True
        # A request that hangs lasts until the longest deadline.
        await asyncio.wait(callers, timeout=BOUNDS["grace"] + 5.0)
        await asyncio.wait(watchers, timeout=5.0)
    finally:
        await testbed.close()
    checker = Checker(testbed.history)
    violations = checker.check()
    testbed.judged_counts = checker.judged
    violations += [("SOAK", text) for text in faults.errors]
    return testbed, violations


def to_json_value(value):
    """Converts sets and dataclass instances for JSON."""
    return sorted(value) if isinstance(value, set) else vars(value)


def print_report(options, testbed, violations):
    sent = testbed.history.sent
    answers = collections.Counter(request.status for request in sent)
    shown = ", ".join(f"{status or 'cut'} {count}" for status, count in answers.most_common())
    kinds = ", ".join(f"{name} {count}" for name, count in sorted(testbed.fault_counts.items()))
    judged = ", ".join(f"{name} {count}" for name, count in testbed.judged_counts.items() if count)
    print(f"soak: seed {options.seed}, {options.seconds:g} s, {options.vms} VMs: "
          f"{', '.join([*options.scenario, kinds])}")
    print(f"soak: seed {options.seed}: judged: {judged or 'none'}")
    print(f"soak: seed {options.seed}: {len(sent)} requests: {shown}; "
          f"{len(violations)} violations")
    for rule, text in violations[:20]:
        print(f"soak: seed {options.seed}: {rule}: {text}")


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1,
                        help="number of seeds, run one after another")
    parser.add_argument("--seconds", type=float, default=20, help="time with faults for each seed")
    parser.add_argument("--regressions", action="store_true",
                        help="also run the seeds of regressions.txt")
    parser.add_argument("--scenario", action="append", default=[], choices=SCENARIOS,
                        help="play it all the time; may be repeated")
    parser.add_argument("--mixed", action="store_true",
                        help="with a scenario, draw all faults, not only those that suit it")
    parser.add_argument("--vms", type=int, default=5)
    parser.add_argument("--servers", type=int, default=9)
    parser.add_argument("--callers", type=int, default=24)
    parser.add_argument("--per-second", type=float, default=60,
                        help="request rate of all callers together")
    parser.add_argument("--build", type=pathlib.Path, default=ROOT / "build")
    parser.add_argument("--keep", type=pathlib.Path,
                        help="folder in which logs and histories are kept")
    return parser.parse_args()


def read_regressions():
    """Yields seeds that once failed, each with the seconds to run it and its scenarios."""
    for line in (pathlib.Path(__file__).parent / "regressions.txt").read_text().splitlines():
        if line and not line.startswith("#"):
            seed, seconds, scenario, _ = line.split(" ", 3)
            yield int(seed), float(seconds), [] if scenario == "-" else [scenario]


def main():
    options = parse_arguments()
    runs = [(seed, options.seconds, options.scenario)
            for seed in range(options.seed, options.seed + options.seeds)]
    if options.regressions:
        runs += read_regressions()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(128 + signal.SIGTERM))
    failed_seeds = []
    for options.seed, options.seconds, options.scenario in runs:
        seed = options.seed
        with tempfile.TemporaryDirectory() as temporary:
            folder = options.keep / str(seed) if options.keep else pathlib.Path(temporary)
            folder.mkdir(parents=True, exist_ok=True)
            testbed, violations = asyncio.run(run_seed(options, folder))
            print_report(options, testbed, violations)
            if violations:
                failed_seeds.append(seed)
                if options.keep:
                    (folder / "history.json").write_text(
                        json.dumps(testbed.history, default=to_json_value, indent=0))
    print(f"soak: {len(runs)} seeds, red: {failed_seeds or 'none'}")
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
