"""The part of HTTP/1.1 that the soak's callers, backend servers and store need."""

import asyncio

MAX_HEAD_BYTES = 64 * 1024


class ProtocolError(Exception):
    """Received bytes that are not a valid message."""


class Message:
    """One request or response with its complete body."""

    def __init__(self, start_line, headers, body):
        self.start_line = start_line
        self.headers = headers
        self.body = body

    @property
    def status(self):
        return int(self.start_line.split(" ", 2)[1])

    @property
    def method(self):
        return self.start_line.split(" ", 1)[0]

    @property
    def target(self):
        return self.start_line.split(" ", 2)[1]

    def get_header(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_message(reader):
    """Reads one message; returns None when the connection ended before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise ProtocolError("head cut off") from error
    except asyncio.LimitOverrunError as error:
        raise ProtocolError("head too large") from error
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


async def serve_connection(reader, writer, writers, handle_request):
    """Serves one connection until it ends or handle_request(request, writer) returns False."""
    writers.add(writer)
    try:
        while True:
            request = await read_message(reader)
            if request is None or not await handle_request(request, writer):
                break
    except (ProtocolError, ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError,
            ValueError):
        # The peer or an injected fault ended the connection.
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
    except asyncio.IncompleteReadError as error:
        raise ProtocolError("body cut off") from error


async def read_chunks(reader):
    body = b""
    while True:
        line = await reader.readline()
        size = int(line.split(b";")[0], 16)
        chunk = await reader.readexactly(size + 2)
        if size == 0:
            return body
        body += chunk[:-2]


def encode_message(start_line, headers, body=b""):
    """Returns the bytes of a message; Content-Length is added."""
    lines = [start_line] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
