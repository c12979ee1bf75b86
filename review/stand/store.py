"""Stand-in for the platform's store: the keyed topics that the operator and the servers write."""

import asyncio
import base64
import json
import struct
import urllib.parse

from . import http

PAGE_RECORDS = 500
ANSWER_S = 0.004


class Store:
    def __init__(self, clock):
        self.clock = clock
        self.topics = {"keyed.op": [], "keyed.servers": []}
        self.changed = asyncio.Event()
        self.listener = None
        self.writers = set()
        self.era = 1

    async def start(self, host, port):
        self.listener = await asyncio.start_server(self.serve, host, port)

    def close(self):
        if self.listener:
            self.listener.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def append(self, topic, key, value):
        """Appends a record; returns when it was confirmed."""
        self.topics[topic].append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.clock()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await http.read_message(reader)) is not None:
                await asyncio.sleep(ANSWER_S)
                status, body = await self.answer(request)
                writer.write(http.encode(f"HTTP/1.1 {status}", [("Store-Era", self.era)], body))
                await writer.drain()
        except (http.Broken, OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, request):
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        records = self.topics[query["topic"]]
        if parts.path == "/-/log-newest":
            return "200 OK", self.newest(records, query.get("after", ""))
        begin = int(query["from"])
        if begin > len(records):
            return "410 Gone", json.dumps({"first": 0}).encode()
        limit = self.clock() + int(query.get("wait_ms", 0)) / 1000
        while begin == len(records) and self.clock() < limit:
            try:
                await asyncio.wait_for(self.changed.wait(), limit - self.clock())
            except asyncio.TimeoutError:
                break
        body = struct.pack(">QQ", len(records), 0)
        for key, value in records[begin:]:
            encoded = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(encoded)) + encoded
        return "200 OK", body

    @staticmethod
    def newest(records, after):
        last = {}
        for offset, (key, value) in enumerate(records):
            if value:
                last[key] = (value, offset)
            else:
                last.pop(key, None)
        rest = [item for item in sorted(last.items()) if item[0] > after]
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (value, offset) in rest[:PAGE_RECORDS]]
        return json.dumps({"items": items, "has_more": len(rest) > PAGE_RECORDS,
                           "end": len(records)}).encode()
