"""A proxy on loopback that delays, resets, cuts one way or silences the connections through it."""

import asyncio

CHUNK = 64 * 1024


class Proxy:
    """Forwards one address to another; faults hold for open and new connections alike."""

    def __init__(self, target):
        self.target = target
        self.delay = 0.0
        # Bytes towards the target, or back from it, are held while set.
        self.hold_forward = False
        self.hold_back = False
        self.refuses = False
        self.server = None
        self.writers = set()
        self.changed = asyncio.Event()

    async def start(self, host, port):
        self.server = await asyncio.start_server(self.accept, host, port)

    def close(self):
        self.set()
        self.server.close()
        self.reset()

    def set(self, delay=0.0, hold_forward=False, hold_back=False, refuses=False):
        self.delay = delay
        self.hold_forward = hold_forward
        self.hold_back = hold_back
        self.refuses = refuses
        self.changed.set()
        self.changed = asyncio.Event()

    def reset(self):
        """Resets all open connections."""
        for writer in list(self.writers):
            writer.transport.abort()

    async def accept(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        self.writers.update((writer, far_writer))
        try:
            await asyncio.gather(self.pump(reader, far_writer, "hold_forward"),
                                 self.pump(far_reader, writer, "hold_back"))
        except asyncio.CancelledError:
            pass
        self.writers.difference_update((writer, far_writer))

    async def pump(self, reader, writer, hold):
        try:
            while data := await reader.read(CHUNK):
                if self.delay:
                    await asyncio.sleep(self.delay)
                while getattr(self, hold):
                    await self.changed.wait()
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
