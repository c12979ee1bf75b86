"""What callers and backend servers saw during a soak."""

import dataclasses
import hashlib
import math


def digest(body):
    return hashlib.sha256(body).hexdigest()[:16]


@dataclasses.dataclass
class SentRequest:
    """A request that a caller sent, and the answer to it."""

    id: str
    vm: str
    route: str
    method: str
    target: str
    body: str
    safe: bool
    max_attempts: int
    time_left: float
    at: float
    ended: float = 0.0
    # None when the connection ended without an answer.
    status: int | None = None
    answer_id: str = ""
    signature: str = ""
    answer: str = ""
    # What was wrong with bytes that could not be parsed as an answer.
    malformed: str = ""
    gave_up: bool = False
    on_kept_connection: bool = False


@dataclasses.dataclass
class Attempt:
    """One attempt of a request, as the backend server received it."""

    id: str
    server: str
    service: str
    method: str
    target: str
    body: str
    at: float
    time_left: float
    # False when the server refused the request without executing it.
    executed: bool = True
    status: int | None = None
    signature: str = ""
    answer: str = ""
    # The server wrote the complete answer, and no fault truncated it.
    answered: bool = False
    # The answer had Server-Leaving, Server-Limit.
    leaving: bool = False
    limited: bool = False
    # Seconds of Retry-After, and when the answer with it was written.
    retry_after: float = 0.0
    refused_at: float = 0.0


@dataclasses.dataclass
class SlowLink:
    """Time during which the link between a VM and the store had a limited rate."""

    vm: str
    begin: float
    end: float
    bytes_per_s: float


@dataclasses.dataclass
class Outage:
    """From the store's failure until all that its older copy lacked was written again."""

    begin: float
    end: float = math.inf


@dataclasses.dataclass
class Span:
    """Time during which one VM, one server or the store was disturbed."""

    where: str
    begin: float
    end: float


@dataclasses.dataclass
class History:
    bounds: dict
    sent: list = dataclasses.field(default_factory=list)
    ran: list = dataclasses.field(default_factory=list)
    # Disturbances of VMs and servers by name; the name of the store is "store".
    spans: list = dataclasses.field(default_factory=list)
    # (target of the request that crashed a server, at)
    crashes: list = dataclasses.field(default_factory=list)
    # (server, time at which the store acknowledged that it leaves)
    leaving: list = dataclasses.field(default_factory=list)
    # (server, time, requests per second that it names from then on, or None)
    limits: list = dataclasses.field(default_factory=list)
    # (acknowledged at, {route: {services}}) in the order of the configuration versions
    versions: list = dataclasses.field(default_factory=list)
    # (acknowledged at, bytes) of configuration versions
    version_bytes: list = dataclasses.field(default_factory=list)
    slow_links: list = dataclasses.field(default_factory=list)
    # Returns of the store from an older copy, in order
    outages: list = dataclasses.field(default_factory=list)
    # Planned stops: (vm, SIGTERM sent at)
    stops: list = dataclasses.field(default_factory=list)
    # Planned stops that the process did not end by itself, or without its last log line: (vm, SIGTERM
    # sent at, what was wrong)
    bad_stops: list = dataclasses.field(default_factory=list)
    # Unexpected ends of processes: (vm, at, exit status)
    ends: list = dataclasses.field(default_factory=list)
    # Times at which all VMs were ready again after a kill of all
    returns: list = dataclasses.field(default_factory=list)

    def due(self, at, bound):
        """When a bound on what was acknowledged at a time is over; an outage begins it anew."""
        due = at + bound
        for outage in self.outages:
            if outage.begin < due and at < outage.end:
                due = max(due, outage.end + bound)
        return due
