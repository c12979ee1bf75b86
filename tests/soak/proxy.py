"""A loopback proxy that delays, slows, resets, refuses or holds back connections."""

import asyncio

CHUNK_BYTES = 64 * 1024
SLOW_CHUNK_BYTES = 4 * 1024


class Proxy:
    """Forwards connections to a target; faults apply to open and new connections alike."""

    def __init__(self, target):
        self.target = target
        self.delay = 0.0
        # While set, bytes to the target, or from it, are held back.
        self.hold_forward = False
        self.hold_back = False
        self.refuses = False
        # Rate of all connections together; None means unlimited.
        self.bytes_per_s = None
        self.busy_until = 0.0
        self.listener = None
        self.writers = set()
        self.faults_changed = asyncio.Event()

    async def start(self, host, port):
        self.listener = await asyncio.start_server(self.handle_connection, host, port)

    def close(self):
        self.set_faults()
        self.listener.close()
        self.reset_connections()

    def set_faults(self, delay=0.0, hold_forward=False, hold_back=False, refuses=False):
        self.delay = delay
        self.hold_forward = hold_forward
        self.hold_back = hold_back
        self.refuses = refuses
        self.faults_changed.set()
        self.faults_changed = asyncio.Event()

    def reset_connections(self):
        """Resets all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle_connection(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        self.writers.update((writer, target_writer))
        try:
            await asyncio.gather(self.forward_bytes(reader, target_writer, "hold_forward"),
                                 self.forward_bytes(target_reader, writer, "hold_back"))
        except asyncio.CancelledError:
            pass
        self.writers.difference_update((writer, target_writer))

    async def forward_bytes(self, reader, writer, hold_attribute):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while getattr(self, hold_attribute):
                    await self.faults_changed.wait()
                await self.write_at_rate(writer, data)
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()

    async def write_at_rate(self, writer, data):
        while data:
            chunk = data[:SLOW_CHUNK_BYTES] if self.bytes_per_s else data
            data = data[len(chunk):]
            if self.bytes_per_s:
                now = asyncio.get_running_loop().time()
                self.busy_until = max(now, self.busy_until) + len(chunk) / self.bytes_per_s
                await asyncio.sleep(self.busy_until - now)
            writer.write(chunk)
            await writer.drain()
