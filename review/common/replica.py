# SPDX-License-Identifier: Apache-2.0
"""Stand-in of a replica as a process of its own: a model replica that holds every layer, or a plain service.

It enters itself in the store and serves. A file named by --trouble switches its trouble on while it exists:
  slow-read  bodies of requests are read slowly
  endless    plain answers have a body without end, sent until the caller closes
"""

import argparse
import asyncio
import json
import os
import random
import time
import urllib.request

import http1

PIECE = b"x" * 262144
MOST_QUEUED = 24


class Replica:
    def __init__(self, options):
        self.options = options
        self.address = ""
        self.orders = 0
        self.link_free_at = {}  # by host, from the start of the request's id
        self.slots = asyncio.Semaphore(options.slots)
        self.queued = 0

    def has_trouble(self, name):
        return self.options.kind == name and os.path.exists(self.options.trouble)

    def note(self, what, request):
        print(f"{time.time():.3f} {self.options.id} {what} {request.header('x-attempt-id')}", flush=True)

    def write_entry(self):
        value = {
            "service": self.options.service, "address": self.address, "zone": self.options.zone,
            "version": "v1", "slots": self.options.slots, "state": "ready", "cold-remaining-ms": 0,
            "sequence": self.orders,
        }
        if self.options.layers:
            value["kind"] = "card"
            value["models"] = [{
                "name": "m", "version": 1, "adapters": [],
                "layers": {"from": 0, "target-version": self.options.layers, "version": 1},
            }]
        body = json.dumps({"id": self.options.id, "value": value}).encode()
        urllib.request.urlopen(urllib.request.Request(self.options.store + "/standin/entry", body)).read()

    async def handle(self, request):
        target = request.header("x-target-instance")
        if target and target != self.options.id:
            await request.read_body()
            request.respond(421, {"x-instance-id": self.options.id})
        elif request.path == "/api/report":
            request.respond(200, {"content-type": "application/json"}, json.dumps({
                "stage": "dual", "models": [], "busy": False, "sequence": self.orders, "queued": 0,
                "in-flight": 0, "kv-used": 0, "kv-total": 100000, "handles": 0}))
        elif request.path == "/api/order":
            await request.read_body()
            request.respond(200, {})  # it already holds what it can hold
        else:
            await self.run(request)

    async def run(self, request):
        if self.has_trouble("slow-read"):
            await request.read_body(pause=self.options.read_pause)
        else:
            await request.read_body()
        if self.queued >= MOST_QUEUED:
            request.respond(503, {"x-attempt-id": request.header("x-attempt-id"), "x-not-executed": "1"})
            return
        self.queued += 1
        async with self.slots:
            self.queued -= 1
            if not request.reader.at_eof():  # its channel may have closed while it waited
                await self.answer(request)

    async def answer(self, request):
        self.note("runs", request)
        if request.header("last-event-id"):
            self.note("goes-on-after-" + request.header("last-event-id"), request)
        head = {"x-attempt-id": request.header("x-attempt-id"), "x-response-signature": f"proof-{self.options.id}"}
        if self.options.layers:
            await self.stream(request, head)
        elif self.has_trouble("endless") and random.random() < self.options.share:
            await self.send_without_end(request, head)
        else:
            await asyncio.sleep(self.options.work)
            request.respond(200, head, "answer of " + request.header("x-attempt-id"))

    async def stream(self, request, head):
        request.start(200, {**head, "content-type": "text/event-stream"})
        last = request.header("last-event-id")
        first = self.options.first_id
        for number in range(int(last) + 1 - first if last else 0, self.options.events):
            request.chunk(f"id: {first + number}\ndata: t{number}\n\n")
            await request.writer.drain()
            await asyncio.sleep(self.options.gap)
        request.end_chunks()

    async def send_without_end(self, request, head):
        """Sends at this replica's part of the rate of the host's link, which all answers to one host share."""
        self.note("sends without end", request)
        request.start(200, head)
        host = request.header("x-attempt-id").split("-")[0]
        while True:
            now = time.monotonic()
            free_at = max(self.link_free_at.get(host, now), now)
            self.link_free_at[host] = free_at + len(PIECE) / self.options.link_bytes
            if free_at > now:
                await asyncio.sleep(free_at - now)
            request.chunk(PIECE)
            await request.writer.drain()

    async def main(self):
        port = await http1.serve(self.handle, self.options.ip, receive_buffer=65536)
        self.address = f"{self.options.ip}:{port}"
        self.write_entry()
        await asyncio.Event().wait()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--id", required=True)
    parser.add_argument("--ip", required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--slots", type=int, default=192)
    parser.add_argument("--layers", type=int, default=0)
    parser.add_argument("--events", type=int, default=20)
    parser.add_argument("--first-id", type=int, default=0)
    parser.add_argument("--gap", type=float, default=0.01)
    parser.add_argument("--work", type=float, default=0.06)
    parser.add_argument("--kind", default="")
    parser.add_argument("--trouble", default="/nonexistent")
    parser.add_argument("--share", type=float, default=1.0)
    parser.add_argument("--read-pause", type=float, default=0.1)
    parser.add_argument("--link-bytes", type=float, default=125e6)
    asyncio.run(Replica(parser.parse_args()).main())


if __name__ == "__main__":
    main()
