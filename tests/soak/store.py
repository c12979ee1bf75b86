"""Simulated store of the platform: keyed topics to append to, read, list and truncate."""

import asyncio
import base64
import bisect
import json
import struct
import urllib.parse

import http1

PAGE_RECORDS = 500


class Topic:
    def __init__(self):
        self.records = []
        # When each record was acknowledged.
        self.times = []
        self.first_offset = 0

    def newest_by_key(self):
        newest = {}
        for offset, (key, value) in enumerate(self.records):
            if value:
                newest[key] = (value, offset)
            else:
                newest.pop(key, None)
        return sorted(newest.items())


class Store:
    """Acknowledges appends at once; what VMs get for their reads depends on the fault in force."""

    def __init__(self, clock):
        self.clock = clock
        self.topics = {"keyed.op": Topic(), "keyed.servers": Topic()}
        # None, "refuse", "silent", "reset", "lose" (every third answer) or "slow".
        self.fault = None
        self.request_count = 0
        # Incremented with each return from an older copy.
        self.era = 1
        self.listener = None
        self.writers = set()

    async def start(self, host, port):
        self.listener = await asyncio.start_server(self.handle_connection, host, port)

    def close(self):
        self.listener.close()
        self.reset_connections()

    def append_record(self, topic, key, value):
        """Appends a record and returns the time at which it was acknowledged."""
        self.topics[topic].records.append((key, value))
        self.topics[topic].times.append(self.clock())
        return self.topics[topic].times[-1]

    def delete_records(self, topic):
        """Deletes all records from the log; the newest of each key stays listed."""
        self.topics[topic].first_offset = len(self.topics[topic].records)

    def restore_copy(self, age_s):
        """Returns to a copy of that age; returns the lost value of each (topic, key)."""
        lost = {}
        for name, topic in self.topics.items():
            end = bisect.bisect_right(topic.times, self.clock() - age_s)
            lost.update({(name, key): value for key, value in topic.records[end:]})
            del topic.records[end:], topic.times[end:]
            topic.first_offset = min(topic.first_offset, end)
        self.era += 1
        self.reset_connections()
        return lost

    def reset_connections(self):
        for writer in list(self.writers):
            writer.transport.abort()

    async def handle_connection(self, reader, writer):
        await http1.serve_connection(reader, writer, self.writers, self.handle_request)

    async def handle_request(self, request, writer):
        self.request_count += 1
        fault = self.fault
        if fault == "silent":
            await asyncio.sleep(3600)
        if fault == "reset" or (fault == "lose" and self.request_count % 3 == 0):
            writer.transport.abort()
            return False
        if fault == "refuse":
            status, body = "503 Service Unavailable", b""
        else:
            await asyncio.sleep(0.3 if fault == "slow" else 0.004)
            status, body = self.handle_read(request)
        writer.write(http1.encode_message(
            f"HTTP/1.1 {status}", [("Store-Era", str(self.era))], body))
        await writer.drain()
        return True

    def handle_read(self, request):
        parts = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        topic = self.topics[query["topic"]]
        if parts.path == "/-/log-newest":
            return "200 OK", self.list_newest(topic, query.get("after", ""))
        begin = int(query["from"])
        if not topic.first_offset <= begin <= len(topic.records):
            return "410 Gone", json.dumps({"first": topic.first_offset}).encode()
        body = struct.pack(">QQ", len(topic.records), topic.first_offset)
        for key, value in topic.records[begin:]:
            encoded = bytes([len(key)]) + key.encode() + value
            body += struct.pack(">I", len(encoded)) + encoded
        return "200 OK", body

    @staticmethod
    def list_newest(topic, after):
        remaining = [entry for entry in topic.newest_by_key() if entry[0] > after]
        items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                 for key, (value, offset) in remaining[:PAGE_RECORDS]]
        return json.dumps({"items": items, "has_more": len(remaining) > PAGE_RECORDS,
                           "end": len(topic.records)}).encode()
