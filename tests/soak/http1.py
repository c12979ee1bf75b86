"""The little of HTTP/1.1 that the stand-ins of the soak need."""

import asyncio

LARGEST_HEAD = 64 * 1024


class ProtocolError(Exception):
    """Bytes that are no message."""


class Message:
    """One request or response with its whole body."""

    def __init__(self, start, headers, body):
        self.start = start
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.start.split(" ", 2)[1])

    @property
    def method(self):
        return self.start.split(" ", 1)[0]

    @property
    def target(self):
        return self.start.split(" ", 2)[1]

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_message(reader):
    """Reads one message; None when the connection ended before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as cut:
        if not cut.partial:
            return None
        raise ProtocolError("head cut off") from cut
    except asyncio.LimitOverrunError as large:
        raise ProtocolError("head too large") from large
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, separator, value = line.partition(":")
        if not separator:
            raise ProtocolError(f"no header: {line!r}")
        headers[name.strip().lower()] = value.strip()
    if not lines[0]:
        raise ProtocolError("no start line")
    return Message(lines[0], headers, await read_body(reader, headers))


async def serve(reader, writer, writers, answer):
    """Answers the requests of one connection until it ends or answer(request, writer) is False."""
    writers.add(writer)
    try:
        while True:
            request = await read_message(reader)
            if request is None or not await answer(request, writer):
                break
    except (ProtocolError, ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError,
            ValueError):
        # The other side or a fault of the soak ended it.
        pass
    finally:
        writers.discard(writer)
        writer.close()


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        return await read_chunks(reader)
    length = int(headers.get("content-length", "0"))
    try:
        return await reader.readexactly(length)
    except asyncio.IncompleteReadError as cut:
        raise ProtocolError("body cut off") from cut


async def read_chunks(reader):
    body = b""
    while True:
        line = await reader.readline()
        size = int(line.split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


def encode(start, headers, body=b""):
    """The bytes of a message; the length is added."""
    lines = [start] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
