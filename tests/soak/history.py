"""What callers and backend servers saw during a soak."""

import dataclasses
import hashlib


def digest(body):
    return hashlib.sha256(body).hexdigest()[:16]


@dataclasses.dataclass
class Sent:
    """One request of a caller and what came back."""

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
    # Bytes that are no answer, or an answer that nobody waited for.
    malformed: str = ""
    gave_up: bool = False
    on_kept_connection: bool = False


@dataclasses.dataclass
class Ran:
    """One request at a backend server."""

    id: str
    server: str
    service: str
    method: str
    target: str
    body: str
    at: float
    time_left: float
    # False when the server refused it before the work.
    executed: bool = True
    status: int | None = None
    signature: str = ""
    answer: str = ""
    # The whole answer was written and nothing was done to it on the way.
    answered: bool = False


@dataclasses.dataclass
class Span:
    """A disturbance of one VM, server or of the store."""

    where: str
    begin: float
    end: float


@dataclasses.dataclass
class History:
    bounds: dict
    sent: list = dataclasses.field(default_factory=list)
    ran: list = dataclasses.field(default_factory=list)
    # Of VMs and servers by name; the store is "store".
    spans: list = dataclasses.field(default_factory=list)
    # (server, when the store acknowledged that it leaves)
    leaving: list = dataclasses.field(default_factory=list)
    # (acknowledged at, {route: {services}}) in the order of versions
    versions: list = dataclasses.field(default_factory=list)
    # (vm, SIGTERM at)
    stops: list = dataclasses.field(default_factory=list)
    # (vm, at, exit status)
    ends: list = dataclasses.field(default_factory=list)
    # (when all VMs were back, after a kill of all)
    returns: list = dataclasses.field(default_factory=list)
