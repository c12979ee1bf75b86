"""The reader of the log stands still; the log goes to a stream socket, as service managers have it."""

import asyncio
import pathlib
import socket
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand-2"))

from stand import STORE_PORT, Bed, KeptConnection, Server, main  # noqa: E402

LIMITS = {"cpu_share": 0.2, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0,
          "disk_mb": 0}
HOST = "review.example"
TIMEOUT_S = 1.2
GRACE_S = 0.5
LOOKUPS_PER_S = 110.0
CALM_S = 5.0
STALL_S = 40.0
# Fewer requests than this without an answer at their timeout are taken as noise of the machine.
LEAST_UNANSWERED = 20


async def play(trouble):
    bed = Bed(HERE, 1, LIMITS)
    vm = bed.vms[0]
    idle = []
    tasks = set()
    times = []
    unready = 0
    reads_log = asyncio.Event()
    reads_log.set()
    log_end, process_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_STREAM)
    log_bytes = 0

    async def read_log():
        nonlocal log_bytes
        log_end.setblocking(False)
        while True:
            await reads_log.wait()
            piece = await asyncio.get_running_loop().sock_recv(log_end, 1 << 16)
            if not piece:
                return
            log_bytes += len(piece)

    async def send():
        connection = idle.pop() if idle else KeptConnection(bed, vm, HOST)
        begin = bed.clock()
        request_id, status, _ = await connection.send("GET", "/look/1", int(TIMEOUT_S * 1000))
        times.append((begin, bed.clock() - begin if status else None, request_id))
        idle.append(connection)

    async def look_up():
        while True:
            task = asyncio.create_task(send())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(bed.random.expovariate(LOOKUPS_PER_S))

    async def check_readiness():
        nonlocal unready
        while True:
            if not await vm.is_ready():
                unready += 1
                bed.note("not ready")
            await asyncio.sleep(1.0)

    try:
        bed.servers = [Server(bed, "desk", number, slots=2, work_s=0.09) for number in range(3)]
        bed.publish(7, {"lookups": {
            "host": HOST, "path_prefix": "/look/", "kind": "safe",
            "timeout": f"{int(TIMEOUT_S * 1000)}ms", "target_latency": "250ms", "priority": 2,
            "service": "desk", "max_attempts": 2}}, ["desk"])
        await bed.store.start(f"{bed.prefix}.1", STORE_PORT)
        for server in bed.servers:
            await server.start()
        vm.write_settings()
        vm.start(stdout=process_end.fileno())
        process_end.close()
        background = [asyncio.create_task(read_log())]
        await vm.wait_ready()
        background += [asyncio.create_task(look_up()), asyncio.create_task(check_readiness())]
        await asyncio.sleep(CALM_S)
        if trouble:
            reads_log.clear()
            bed.note("the reader of the log stands still")
        await asyncio.sleep(STALL_S)
        reads_log.set()
        bed.note("the reader of the log reads")
        await asyncio.sleep(CALM_S)
        for task in background[1:]:
            task.cancel()
        while tasks:
            await asyncio.wait(tasks)
        for connection in idle:
            connection.close()
        background[0].cancel()
        await asyncio.sleep(0.1)
    finally:
        unanswered = [entry for entry in times if entry[1] is None or entry[1] > TIMEOUT_S]
        late = [entry for entry in unanswered if entry[1] is None or entry[1] > TIMEOUT_S + GRACE_S]
        bed.note("result:", f"{len(times)} requests, {len(unanswered)} without an answer at their",
                 f"timeout, {len(late)} of these half a second later; {unready} times not ready;",
                 f"{log_bytes} bytes of log")
        print(bed.lines[-1])
        bed.close()
        log_end.close()
    return len(unanswered) < LEAST_UNANSWERED or 2 * len(late) <= len(unanswered)


main(play)
