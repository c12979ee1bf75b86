"""Scenarios that a soak plays beside its faults."""

import asyncio
import dataclasses
import json
import math
import time
import typing

from callers import Caller
from history import Outage, SlowLink
from routes import Route

RATES_BYTES_PER_S = (150e3, 250e3)
# How long one read of a grown configuration takes at first, and when it grows no more.
MIN_READ_S, MAX_READ_S = 1.0, 1.5
ROUTES_PER_STEP = 200
COPY_AGES_S = (1.0, 4.0)
REWRITE_S = 2.0
# Requests per second that a server takes from all VMs together.
LIMITS = (0.0, 0.5, 1.0, 2.5, 4.0)
# How much longer than the drain bound a server says that it leaves before VMs can read it.
UNHEARD_EXTRA_S = 4.0


def add_routes(testbed, count):
    """Adds routes that are published with the next version; returns their names."""
    names = [f"grown{testbed.version}-{number}" for number in range(count)]
    for name in names:
        testbed.routes[name] = Route(name, testbed.random.choice(("desk", "view")),
                                     testbed.random.random() < 0.5, 2.0)
    return names


async def grow_configuration(faults, limit):
    """Versions grow until one read over the slow links takes seconds, then shrink again."""
    testbed = faults.testbed
    rate = testbed.random.uniform(*RATES_BYTES_PER_S)
    links = [SlowLink(vm.name, testbed.clock(), math.inf, rate) for vm in testbed.vms]
    testbed.history.slow_links += links
    for vm in testbed.vms:
        vm.store_proxy.bytes_per_s = rate
    route_bytes = len(json.dumps(Route("grown100-1000", "desk", True, 2.0).resource()))
    while time.monotonic() < limit:
        grown = add_routes(testbed, int(MIN_READ_S * rate / route_bytes))
        testbed.publish()
        # The second version follows while the first is being read; the others only after the bound.
        await asyncio.sleep(testbed.random.uniform(0.2, 0.8))
        grown += add_routes(testbed, ROUTES_PER_STEP // 2)
        testbed.publish()
        while (read_s := testbed.history.version_bytes[-1][1] / rate) < MAX_READ_S:
            await asyncio.sleep(testbed.history.bounds["config"] + read_s)
            if time.monotonic() > limit:
                break
            grown += add_routes(testbed, ROUTES_PER_STEP)
            testbed.publish()
        await asyncio.sleep(testbed.history.bounds["config"] + read_s)
        for name in [name for name in grown if name in testbed.routes]:
            testbed.dropped_routes.append(testbed.routes.pop(name))
        testbed.publish()
        await asyncio.sleep(1.0)
    for vm, link in zip(testbed.vms, links):
        vm.store_proxy.bytes_per_s = None
        link.end = testbed.clock()


async def return_from_copy(faults, limit):
    """The store fails and comes back from an older copy; what it lost is written again."""
    testbed = faults.testbed
    store = testbed.store
    while time.monotonic() < limit:
        await asyncio.sleep(testbed.random.uniform(1.0, 5.0))
        outage = Outage(testbed.clock())
        testbed.history.outages.append(outage)
        store.fault = "refuse"
        await asyncio.sleep(testbed.random.uniform(0.2, 1.5))
        ends = {name: len(topic.records) for name, topic in store.topics.items()}
        lost = store.restore_copy(testbed.random.uniform(*COPY_AGES_S))
        begins = {name: len(topic.records) for name, topic in store.topics.items()}
        # Otherwise VMs reach the store only after the offsets that they know were given out again.
        readable_at_once = testbed.random.random() < 0.5
        store.fault = None if readable_at_once else store.fault
        entries = list(lost.items())
        testbed.random.shuffle(entries)
        for (name, key), value in entries:
            await asyncio.sleep(REWRITE_S / len(entries))
            # A writer that has written something newer since does not repeat the older record.
            if all(key != written for written, _ in store.topics[name].records[begins[name]:]):
                store.append_record(name, key, value)
        while not readable_at_once and any(len(topic.records) < ends[name]
                                           for name, topic in store.topics.items()):
            if len(store.topics["keyed.op"].records) < ends["keyed.op"]:
                await faults.configuration()
            await asyncio.sleep(0.1)
        store.fault = None
        outage.end = testbed.clock()


async def leave_unheard(faults, limit):
    """Servers say in their answers that they leave while VMs can't read it from the store."""
    testbed = faults.testbed
    testbed.announces_leaving = True
    silently = False
    while time.monotonic() < limit:
        await asyncio.sleep(testbed.random.uniform(0.3, 1.5))
        server = faults.choose_removable_server()
        if server is None:
            continue
        begin = testbed.clock()
        testbed.store.fault = "refuse"
        testbed.servers.remove(server)
        server.says_leaving = True
        # A server that leaves silently answers its health path with 200.
        silently = not silently
        if not silently:
            server.state = "draining"
        await asyncio.sleep(testbed.history.bounds["drain"] + UNHEARD_EXTRA_S)
        testbed.store.fault = None
        testbed.store.reset_connections()
        testbed.record_span("store", begin)
        await server.leave(silently)
        await testbed.add_server(server.service, server.address_index)


async def turn_away(faults, limit):
    """Servers answer requests with 503, Not-Executed and Retry-After."""
    testbed = faults.testbed
    while time.monotonic() < limit:
        server = faults.choose_removable_server()
        if server is not None:
            server.fault = "turn_away"
            server.fault_share = testbed.random.choice((0.3, 1.0))
        await asyncio.sleep(testbed.random.uniform(1.0, 5.0))
        if server is not None:
            server.fault = None


async def limit_requests(faults, limit):
    """Servers name how many requests they take from all VMs together, then others, then none."""
    testbed = faults.testbed
    while time.monotonic() < limit:
        named = {faults.choose_removable_server() for _ in range(testbed.random.randint(1, 3))}
        named.discard(None)
        # Sometimes all servers of both services are short.
        if testbed.random.random() < 0.3:
            named = set(faults.healthy_servers())
        for _ in range(testbed.random.randint(1, 3)):
            for server in sorted(named, key=lambda server: server.name):
                server.set_limit(testbed.random.choice(LIMITS))
            await asyncio.sleep(testbed.random.uniform(5.0, 12.0))
        for server in sorted(named, key=lambda server: server.name):
            server.set_limit(None)
        await asyncio.sleep(testbed.random.uniform(0.5, 3.0))


async def crash_servers(faults, limit):
    """A request that crashes each server that runs it comes again and again, at any VM."""
    testbed = faults.testbed
    restarts = set()

    async def start_again(server):
        await asyncio.sleep(testbed.random.uniform(1.0, 3.0))
        await testbed.add_server(server.service, server.address_index)

    async def send_copy(route, target):
        caller = Caller(testbed)
        if await caller.connect():
            await caller.send_request(route, target)
        caller.close_connection()

    route = testbed.routes[testbed.random.choice(("look", "post"))]
    testbed.crashing_target = target = f"{route.prefix}crash?x=1"
    period_s = testbed.random.choice((0.05, 0.3, 1.0))
    copies = set()
    while time.monotonic() < limit:
        copies.add(asyncio.create_task(send_copy(route, target)))
        await asyncio.sleep(testbed.random.expovariate(1 / period_s))
        while testbed.crashed:
            restarts.add(asyncio.create_task(start_again(testbed.crashed.pop())))
    await asyncio.wait(copies | restarts)


@dataclasses.dataclass(frozen=True)
class Scenario:
    play: typing.Callable
    # Names of the faults that are drawn beside it.
    kinds: tuple


SCENARIOS = {
    "growth": Scenario(grow_configuration, ("leave", "join", "crash")),
    "store-copy": Scenario(return_from_copy, ("leave", "join", "configuration")),
    "leaving-header": Scenario(leave_unheard, ("join", "settings_change")),
    "server-limit": Scenario(limit_requests, ("kill", "pause", "planned_stop", "join", "leave",
                                              "settings_change")),
    "crashing-request": Scenario(crash_servers, ("kill", "pause", "planned_stop", "join", "leave",
                                                 "settings_change")),
    "retry-after": Scenario(turn_away, ("join", "leave", "settings_change")),
}
