# SPDX-License-Identifier: Apache-2.0
"""Stand-in of the platform's store: topics of records with keys, waiting reads, and a group of duties."""

import asyncio
import base64
import json
import struct
import time
import urllib.parse

import http1

DUTIES = 12


class Topic:
    def __init__(self):
        self.records = []  # (key, value); their places are their offsets
        self.newest = {}
        self.changed = asyncio.Event()

    def put(self, key, value):
        self.records.append((key, value))
        if value:
            self.newest[key] = value
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    def __init__(self):
        self.topics = {}
        self.members = {}  # name: (time of the last join, its ttl in seconds)
        self.generation = 0
        self.is_away = False  # answers 503 meanwhile
        self.era = 1  # counts how often it came back from a copy

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, value):
        self.topic(topic).put(key.encode(), value.encode())

    def take_copy(self):
        return {name: (list(topic.records), dict(topic.newest)) for name, topic in self.topics.items()}

    def restore(self, copy):
        """Comes back from a copy: what was written since is gone, and members are unknown."""
        self.era += 1
        waiting = [topic.changed for topic in self.topics.values()]
        self.topics = {}
        for name, (records, newest) in copy.items():
            topic = self.topic(name)
            topic.records, topic.newest = list(records), dict(newest)
        self.members = {}
        for event in waiting:
            event.set()

    async def start(self, ip):
        return await http1.serve(self.handle, ip)

    async def handle(self, request):
        await request.read_body()
        url = urllib.parse.urlsplit(request.path)
        query = {name: values[0] for name, values in urllib.parse.parse_qs(url.query).items()}
        if url.path == "/standin/entry":  # a replica enters itself
            entry = json.loads(request.body)
            self.put("keyed.servers", entry["id"], json.dumps(entry["value"]) if entry["value"] else "")
            request.respond(200, {})
        elif self.is_away:
            self.respond(request, 503, {})
        elif url.path == "/api/log-read":
            await self.read(request, query)
        elif url.path == "/api/log-newest":
            self.read_newest(request, query)
        elif url.path == "/api/log-append":
            self.append(request, query)
        elif url.path == "/api/log-join":
            self.join(request)
        elif url.path == "/api/log-leave":
            self.members.pop(json.loads(request.body)["member"], None)
            self.generation += 1
            self.respond_json(request, {})
        else:
            self.respond(request, 404, {})

    def respond(self, request, status, headers, body=b""):
        request.respond(status, {**headers, "store-era": str(self.era)}, body)

    def respond_json(self, request, body, status=200):
        self.respond(request, status, {"content-type": "application/json"}, json.dumps(body))

    async def read(self, request, query):
        topic = self.topic(query["topic"])
        begin = int(query["from"])
        wait = int(query.get("wait-ms", 0)) / 1000
        if begin >= len(topic.records) and wait > 0:
            try:
                await asyncio.wait_for(topic.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
        topic = self.topic(query["topic"])  # it may have come back from a copy meanwhile
        if begin > len(topic.records):
            self.respond_json(request, {"first": 0}, 410)
            return
        body = struct.pack(">QQ", len(topic.records), 0)
        for key, value in topic.records[begin:]:
            content = bytes([len(key)]) + key + value
            body += struct.pack(">I", len(content)) + content
        self.respond(request, 200, {}, body)

    def read_newest(self, request, query):
        topic = self.topic(query["topic"])
        after = query.get("after", "").encode()
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {"tls-key": key.decode(), "value": base64.b64encode(topic.newest[key]).decode(), "offset": 0}
            for key in keys[:500]
        ]
        self.respond_json(request, {"items": items, "more": len(keys) > 500, "end": len(topic.records)})

    def append(self, request, query):
        topic = self.topic(query["topic"])
        end = len(topic.records)
        if "at" in query and int(query["at"]) != end:
            self.respond_json(request, {"end": end}, 412)
            return
        body = request.body
        while body:
            size = struct.unpack(">I", body[:4])[0]
            content, body = body[4 : 4 + size], body[4 + size :]
            key_size = content[0]
            topic.put(content[1 : 1 + key_size], content[1 + key_size :])
        self.respond_json(request, {"offset": end, "end": len(topic.records)})

    def join(self, request):
        body = json.loads(request.body)
        now = time.monotonic()
        silent = [name for name, (heard, ttl) in self.members.items() if now - heard > ttl]
        for name in silent:
            del self.members[name]
        if silent or body["member"] not in self.members:
            self.generation += 1
        self.members[body["member"]] = (now, body["ttl_ms"] / 1000)
        rank = sorted(self.members).index(body["member"])
        rows = [[body["topics"][0], duty, 0] for duty in range(DUTIES) if duty % len(self.members) == rank]
        self.respond_json(request, {"generation": self.generation, "parts": rows})
