"""A request that crashes the servers which run it, among others of the same path and length."""

import asyncio
import os
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from stand.bed import Bed, Client, play  # noqa: E402
from stand.server import CrashingServer  # noqa: E402

SECONDS = 40.0
FIRST_DEADLY_S = 2.0
DEADLY_PAUSE_S = 1.5
BODY_BYTES = 200
CLIENTS_PER_FRONT = 4
# BUDGET: more than three retries later than stability_window after the third crash.
ALLOWED_RETRIES = 3
STABILITY_WINDOW_S = 3.0
ROUTES = {"r-deposit": {"host": "a.example", "path_prefix": "/deposit/", "kind": "unsafe",
                        "timeout": "2000ms", "target_latency": "400ms", "priority": 1,
                        "service": "till", "max_attempts": 2}}


async def usual_client(bed, front, end):
    """Sends records of one length to one path, each with another content."""
    client = Client(bed, front, "a.example")
    while bed.clock() < end:
        await client.request("POST", "/deposit/new", os.urandom(BODY_BYTES // 2).hex().encode(),
                             1000, kind="unsafe")
        await asyncio.sleep(random.expovariate(4.0))
    client.close()


async def deadly_client(bed, end):
    """Sends the same request again and again, at any machine."""
    await asyncio.sleep(FIRST_DEADLY_S)
    while bed.clock() < end:
        client = Client(bed, random.choice(bed.fronts), "a.example")
        sent = await client.request("POST", "/deposit/new", CrashingServer.deadly_body, 1000,
                                    kind="unsafe")
        sent["deadly"] = True
        client.close()
        await asyncio.sleep(DEADLY_PAUSE_S)


async def scenario(case):
    Bed.server_class = CrashingServer
    CrashingServer.deadly_body = b"D" * BODY_BYTES
    bed = Bed(case, fronts=3)
    CrashingServer.crashes = bed.trouble
    try:
        await bed.open()
        for number in range(8):
            await bed.add_server(f"i-till{number}", "till", work_s=0.06)
        bed.publish(ROUTES, ["till"])
        await bed.start_fronts()
        end = bed.clock() + SECONDS
        await asyncio.gather(*(usual_client(bed, front, end) for front in bed.fronts
                               for _ in range(CLIENTS_PER_FRONT)), deadly_client(bed, end))
        bed.write_history()
        crashes = sorted(bed.crashes)
        counted_from = crashes[2] + STABILITY_WINDOW_S if len(crashes) > 2 else float("inf")
        deadly = {sent["id"] for sent in bed.sent if sent.get("deadly")}
        late = [arrival for arrival in bed.arrivals
                if arrival["id"] in deadly and arrival["at"] > counted_from]
        lost = [sent for sent in bed.sent if not sent.get("deadly") and sent["status"] != 200]
        broken = len(late) > ALLOWED_RETRIES
        verdict = (f"BUDGET {'broken' if broken else 'held'}: {len(deadly)} copies were sent, "
                   f"{len(crashes)} servers crashed under them, {len(late)} copies reached a "
                   f"server later than {STABILITY_WINDOW_S:g} s after the third crash "
                   f"({ALLOWED_RETRIES} allowed); {len(lost)} of "
                   f"{len(bed.sent) - len(deadly)} other requests were not served")
        bed.note(verdict)
        print(verdict)
        return broken
    finally:
        await bed.close()


play(__file__, scenario)
