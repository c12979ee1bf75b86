"""The part of HTTP/1.1 that the stand-ins of the review need."""

import asyncio


class Broken(Exception):
    """The peer sent bytes that are no message, or ended in the middle of one."""


class Message:
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

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Returns (start line, headers), or None when the connection ended before the first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise Broken("head cut off") from error
    except asyncio.LimitOverrunError as error:
        raise Broken("head too large") from error
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:-2]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return b"".join(parts)
            parts.append(chunk[:-2])
    try:
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except asyncio.IncompleteReadError as error:
        raise Broken("body cut off") from error


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    return Message(head[0], head[1], await read_body(reader, head[1]))


def encode(start_line, headers, body=b""):
    lines = [start_line] + [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body
